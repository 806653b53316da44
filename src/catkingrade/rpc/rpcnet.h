#ifndef CATKINGRADE_RPC_RPCNET_H
#define CATKINGRADE_RPC_RPCNET_H

#include <rpc/rpc.h>
#include <stddef.h>
#include <stdint.h>

#include "catkingrade/kernel/loop.h"
#include "catkingrade/kernel/settings.h"
#include "catkingrade/rpc/datagram.h"
#include "catkingrade/rpc/messages.h"

// ONC RPC over one UDP socket, asynchronous, on one loop. Each datagram is
// authenticated by an HMAC-SHA256 under the shared key and carries the
// sender's hybrid logical clock. A call is sent again under the same xid
// until its time limit, so a procedure may run more than once: arguments that
// change something carry an identity of their own.
struct rpcnet;

// The caller of a request; reply to it exactly once, at once or later.
struct rpcnet_request;

typedef void (*rpcnet_handler_fn)(void *data, struct rpcnet_request *request,
                                  const void *args);
// result is NULL unless outcome is OUTCOME_OK; OUTCOME_TIMEOUT otherwise.
typedef void (*rpcnet_done_fn)(void *data, int outcome, const void *result);

// The XDR routines of a procedure's types. A procedure without a result is
// one way: no reply is sent, and its request is not to be replied to.
struct rpcnet_procedure {
    uint32_t procedure;
    xdrproc_t args_xdr;
    size_t args_size_bytes;
    xdrproc_t result_xdr;
    size_t result_size_bytes;
};

extern const struct rpcnet_procedure rpcnet_renew;
extern const struct rpcnet_procedure rpcnet_notify;
extern const struct rpcnet_procedure rpcnet_raft;
extern const struct rpcnet_procedure rpcnet_apply;
extern const struct rpcnet_procedure rpcnet_query;
extern const struct rpcnet_procedure rpcnet_command;
extern const struct rpcnet_procedure rpcnet_read_declaration;

struct rpcnet *rpcnet_create(struct loop *loop,
                             const struct settings_address *local,
                             const struct datagram_key *key);
void rpcnet_destroy(struct rpcnet *rpcnet);
void rpcnet_set_handler(struct rpcnet *rpcnet,
                        const struct rpcnet_procedure *types,
                        rpcnet_handler_fn handler, void *data);
void rpcnet_reply(struct rpcnet_request *request, const void *result);
const struct settings_address *
rpcnet_request_get_peer(const struct rpcnet_request *request);
void rpcnet_call(struct rpcnet *rpcnet, const struct settings_address *peer,
                 const struct rpcnet_procedure *types, const void *args,
                 int64_t timeout_us, int64_t retry_us, rpcnet_done_fn done,
                 void *data);
int rpcnet_send(struct rpcnet *rpcnet, const struct settings_address *peer,
                const struct rpcnet_procedure *types, const void *args);
int rpcnet_call_blocking(const struct settings_address *peer,
                         const struct datagram_key *key,
                         const struct rpcnet_procedure *types,
                         const void *args, void *result, int64_t timeout_us);

#endif
