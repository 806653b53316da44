#include "catkingrade/rpc/rpcnet.h"

// The procedures of daemons.

#define RPCNET_PROCEDURE(name, id, args, result, bytes, time)                 \
    const struct rpcnet_procedure rpcnet_##name = {                           \
        .number = (id),                                                       \
        .args_xdr = (xdrproc_t)xdr_##args,                                    \
        .args_size_bytes = sizeof(args),                                      \
        .result_xdr = (xdrproc_t)xdr_##result,                                \
        .result_size_bytes = sizeof(result),                                  \
        .sent_bytes = (bytes),                                                \
        .work = (time)}

RPCNET_PROCEDURE(renew, CK_RENEW, ck_renew_args, ck_renew_result,
                 COUNTER_RPC_RENEW_BYTES, WORK_TIME_RENEWAL);
RPCNET_PROCEDURE(notify, CK_NOTIFY, ck_notify_args, ck_notify_result,
                 COUNTER_RPC_NOTIFY_BYTES, WORK_TIME_NOTIFICATION);
RPCNET_PROCEDURE(apply, CK_APPLY, ck_apply_args, ck_apply_result,
                 COUNTER_RPC_APPLY_BYTES, WORK_TIME_CHANGE);
RPCNET_PROCEDURE(query, CK_QUERY, ck_query_args, ck_query_result,
                 COUNTER_RPC_QUERY_BYTES, WORK_TIME_QUERY);
RPCNET_PROCEDURE(command, CK_COMMAND, ck_command_args, ck_command_result,
                 COUNTER_RPC_QUERY_BYTES, WORK_TIME_QUERY);
RPCNET_PROCEDURE(read_declaration, CK_READ_DECLARATION,
                 ck_read_declaration_args, ck_read_declaration_result,
                 COUNTER_RPC_QUERY_BYTES, WORK_TIME_QUERY);
RPCNET_PROCEDURE(announce, CK_ANNOUNCE, ck_announce_args, ck_announce_result,
                 COUNTER_RPC_APPLY_BYTES, WORK_TIME_ANNOUNCEMENT);
RPCNET_PROCEDURE(borrow, CK_BORROW, ck_borrow_args, ck_borrow_result,
                 COUNTER_RPC_BORROW_BYTES, WORK_TIME_BORROW);
const struct rpcnet_procedure rpcnet_raft = {
    .number = CK_RAFT,
    .args_xdr = (xdrproc_t)xdr_ck_raft_message,
    .args_size_bytes = sizeof(ck_raft_message),
    .sent_bytes = COUNTER_RPC_RAFT_BYTES,
    .work = WORK_TIME_RAFT,
    .is_urgent = true};
