#ifndef CATKINGRADE_RPC_RPCNET_H
#define CATKINGRADE_RPC_RPCNET_H

#include <rpc/rpc.h>
#include <stddef.h>
#include <stdint.h>

#include "catkingrade/kernel/loop.h"
#include "catkingrade/kernel/settings.h"
#include "catkingrade/rpc/messages.h"

// ONC RPC over one UDP socket, asynchronous, on one loop. Each datagram is
// authenticated by an HMAC-SHA256 under the shared key in the RPC verifier,
// and carries the sender's hybrid logical clock in its credential.
struct rpcnet;

// The caller of a request; reply with it, at once or later, at most once.
struct rpcnet_request;

typedef void (*rpcnet_handler_fn)(void *data, struct rpcnet_request *request,
                                  const void *args);
// result is NULL unless outcome is OUTCOME_OK; OUTCOME_TIMEOUT otherwise.
typedef void (*rpcnet_done_fn)(void *data, int outcome, const void *result);

struct rpcnet *rpcnet_create(struct loop *loop,
                             const struct settings_address *local,
                             const uint8_t *key, size_t key_size_bytes);
void rpcnet_destroy(struct rpcnet *rpcnet);
// Registers the handler of a procedure with the XDR routines of its types.
void rpcnet_set_handler(struct rpcnet *rpcnet, uint32_t procedure,
                        xdrproc_t args_xdr, size_t args_size_bytes,
                        xdrproc_t result_xdr, rpcnet_handler_fn handler,
                        void *data);
void rpcnet_reply(struct rpcnet_request *request, const void *result);
const struct settings_address *
rpcnet_request_get_peer(const struct rpcnet_request *request);
// Calls a procedure; done is called exactly once, within timeout_us. The
// datagram is sent again under the same xid each retry_us.
void rpcnet_call(struct rpcnet *rpcnet, const struct settings_address *peer,
                 uint32_t procedure, xdrproc_t args_xdr, const void *args,
                 xdrproc_t result_xdr, size_t result_size_bytes,
                 int64_t timeout_us, int64_t retry_us, rpcnet_done_fn done,
                 void *data);
// Sends a call and expects no reply.
int rpcnet_send(struct rpcnet *rpcnet, const struct settings_address *peer,
                uint32_t procedure, xdrproc_t args_xdr, const void *args);
// A call that blocks the thread until timeout_us, for the command line tool.
int rpcnet_call_blocking(const struct settings_address *peer,
                         const uint8_t *key, size_t key_size_bytes,
                         uint32_t procedure, xdrproc_t args_xdr,
                         const void *args, xdrproc_t result_xdr, void *result,
                         int64_t timeout_us);

#endif
