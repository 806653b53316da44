#ifndef CATKINGRADE_RPC_RPCNET_H
#define CATKINGRADE_RPC_RPCNET_H

#include <rpc/rpc.h>
#include <stddef.h>
#include <stdint.h>

#include "catkingrade/kernel/counters.h"
#include "catkingrade/kernel/loop.h"
#include "catkingrade/kernel/settings.h"
#include "catkingrade/kernel/work_time.h"
#include "catkingrade/rpc/datagram.h"
#include "catkingrade/rpc/messages.h"

// Asynchronous ONC RPC over one UDP socket on one event loop. Each datagram is
// authenticated by an HMAC-SHA256 under the shared key and carries the hybrid
// logical clock of its sender. A call is retransmitted under the same xid
// until a reply arrives or its timeout expires, so a procedure may run more
// than once for one call. The arguments of procedures that change state
// therefore carry an identifier (a change id or a sequence number) that makes
// the procedure idempotent.
struct rpcnet;

// A received call. The handler passes it to rpcnet_reply exactly once, during
// the handler call or later, unless the procedure is one-way.
struct rpcnet_request;

typedef void (*rpcnet_handler_fn)(void *data, struct rpcnet_request *request,
                                  const void *args);
// Called once when a call ends. result is NULL unless outcome is OUTCOME_OK.
// Other outcomes: OUTCOME_TIMEOUT (no reply; the procedure may have run, or
// the call could not be encoded), OUTCOME_UNAVAILABLE (the peer replied with
// an RPC error) and OUTCOME_CLOSED (rpcnet_destroy).
typedef void (*rpcnet_done_fn)(void *data, int outcome, const void *result);

// The number of a procedure, the XDR routines and sizes of its argument and
// result types, the counter of the bytes sent for it and the kind of work as
// which its handling is timed. A procedure without a result_xdr is one-way: no
// reply is sent, and its handler must not call rpcnet_reply.
struct rpcnet_procedure {
    uint32_t number;
    xdrproc_t args_xdr;
    size_t args_size_bytes;
    xdrproc_t result_xdr;
    size_t result_size_bytes;
    enum counter sent_bytes;
    enum work_time work;
    // Handled when it is read, before calls that have arrived earlier.
    bool is_urgent;
};

extern const struct rpcnet_procedure rpcnet_renew;
extern const struct rpcnet_procedure rpcnet_notify;
extern const struct rpcnet_procedure rpcnet_raft;
extern const struct rpcnet_procedure rpcnet_apply;
extern const struct rpcnet_procedure rpcnet_announce;
extern const struct rpcnet_procedure rpcnet_query;
extern const struct rpcnet_procedure rpcnet_command;
extern const struct rpcnet_procedure rpcnet_read_declaration;
extern const struct rpcnet_procedure rpcnet_borrow;

struct rpcnet *rpcnet_create(struct loop *loop,
                             const struct settings_address *local,
                             const struct datagram_key *key);
void rpcnet_destroy(struct rpcnet *rpcnet);
void rpcnet_set_handler(struct rpcnet *rpcnet,
                        const struct rpcnet_procedure *procedure,
                        rpcnet_handler_fn handler, void *data);
void rpcnet_reply(struct rpcnet_request *request, const void *result);
const struct settings_address *
rpcnet_request_get_peer(const struct rpcnet_request *request);
void rpcnet_call(struct rpcnet *rpcnet, const struct settings_address *peer,
                 const struct rpcnet_procedure *procedure, const void *args,
                 int64_t timeout_us, int64_t retry_us, rpcnet_done_fn done,
                 void *data);
int rpcnet_send(struct rpcnet *rpcnet, const struct settings_address *peer,
                const struct rpcnet_procedure *procedure, const void *args);
int rpcnet_call_blocking(const struct settings_address *peer,
                         const struct datagram_key *key,
                         const struct rpcnet_procedure *procedure,
                         const void *args, void *result, int64_t timeout_us);

#endif
