#ifndef CATKINGRADE_CONTROL_GROUP_HOST_STATE_H
#define CATKINGRADE_CONTROL_GROUP_HOST_STATE_H

#include "catkingrade/control/group_host.h"
#include "catkingrade/decide/coordinator.h"
#include "catkingrade/decide/group.h"
#include "catkingrade/decide/raft.h"
#include "catkingrade/kernel/loop.h"

// Who waits for the outcome of a token.
enum host_waiter_kind {
    HOST_WAITER_COORDINATOR,  // the leader machine's own proposal
    HOST_WAITER_APPLY,        // an operator's change
    HOST_WAITER_VOTERS,       // a command that changes the voters
    HOST_WAITER_RENEW,        // a renewal at the leader machine
    HOST_WAITER_COMMAND,      // a command at the leader machine
    HOST_WAITER_ANNOUNCEMENT, // an announcement at the leader machine
    HOST_WAITER_CHANGE,       // a change that this daemon has brought
};

struct host_waiter {
    uint64_t token;
    enum host_waiter_kind kind;
    uint64_t coordinator_token; // LEADER
    struct rpcnet_request *request;
    group_host_change_fn change_done;
    void *change_data;
    struct host_waiter *next;
};

#define HOST_MAX_VOTERS 15

// Since when the leader has seen a voter in the list.
struct host_member {
    uint64_t id;
    int64_t since_us;
};

struct group_host {
    struct group_host_params params;
    struct loop *loop;
    struct raft *raft;
    struct store_group *stored;
    struct group_state *state;
    struct coordinator *coordinator;
    struct raft_actions actions; // decided and not carried out
    struct loop_timer *raft_timer;
    struct loop_timer *coordinator_timer;
    struct host_waiter *waiters;
    uint64_t last_token;
    bool leads;
    bool failed; // the store failed; reopened by the timer
    uint64_t elections;
    uint64_t last_sender; // of a message of the log
    struct settings_address last_sender_address;
    int64_t voters_checked_us; // when the voters were looked at last
    struct host_member members[HOST_MAX_VOTERS];
    size_t members_count;
};

// group_host.c
void host_step_raft(struct group_host *host, const struct raft_event *event);
void host_fill_leader_hint(const struct group_host *host, char **leader_host,
                           u_int *leader_port);
struct host_waiter *host_add_waiter(struct group_host *host,
                                    enum host_waiter_kind kind);
bool host_remove_waiter(struct group_host *host, uint64_t token,
                        struct host_waiter *waiter);

// group_leader.c
void host_step_coordinator(struct group_host *host,
                           struct coordinator_event *event);
void host_update_leadership(struct group_host *host);
void host_handle_coordinator_timer(void *data);

// group_voters.c
void host_maintain_voters(struct group_host *host);
int host_check_join(const struct group_host *host,
                    const struct ck_voter *voter, uint64_t *number);

// group_requests.c
void host_reply_apply(struct group_host *host, struct rpcnet_request *request,
                      int outcome, const struct group_result *result);
void host_reply_command(struct group_host *host,
                        struct rpcnet_request *request, int outcome,
                        const char *text);
void host_reply_renew(struct group_host *host, struct rpcnet_request *request,
                      int outcome, uint64_t sequence);

#endif
