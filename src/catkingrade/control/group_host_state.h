#ifndef CATKINGRADE_CONTROL_GROUP_HOST_STATE_H
#define CATKINGRADE_CONTROL_GROUP_HOST_STATE_H

#include "catkingrade/control/group_host.h"
#include "catkingrade/decide/coordinator/coordinator.h"
#include "catkingrade/decide/group/group.h"
#include "catkingrade/decide/raft/raft.h"
#include "catkingrade/kernel/loop.h"

// Kinds of waiters: which request or proposal waits for the result.
enum host_waiter_kind {
    HOST_WAITER_COORDINATOR,  // a proposal of the coordinator
    HOST_WAITER_APPLY,        // a change from an operator
    HOST_WAITER_VOTERS,       // a command to add or remove a voter
    HOST_WAITER_RENEW,        // a lease renewal in the coordinator
    HOST_WAITER_COMMAND,      // an operator's command in the coordinator
    HOST_WAITER_ANNOUNCEMENT, // an announcement in the coordinator
    HOST_WAITER_CHANGE,       // a change submitted on this VM
};

// A request or proposal that waits for a result. Raft and the coordinator
// identify it by its token.
struct host_waiter {
    uint64_t token;
    enum host_waiter_kind kind;
    uint64_t coordinator_token;       // COORDINATOR
    struct rpcnet_request *request;   // APPLY, VOTERS, RENEW, COMMAND
    group_host_change_fn change_done; // ANNOUNCEMENT, CHANGE
    void *change_data;                // argument of change_done
    struct host_waiter *next;
};

struct limit_lender;

// Rate limits of customers, while this voter leads.
struct host_limits {
    struct limit_lender *lender; // NULL: no entry has borrowed
    int64_t begun_us;            // begin of the leadership
    uint64_t first_number;       // of the declaration at that time; 0: none
    uint64_t term;               // of Raft, as last seen
    int64_t term_since_us;
    bool settled; // the term before was seen to be long
};

#define HOST_MAX_VOTERS 15
// Text of a list of voter ids: up to 20 digits, a separator and a mark each.
#define HOST_VOTERS_TEXT_SIZE (HOST_MAX_VOTERS * 22 + 1)

// A voter in the voter list, and since when this leader has seen it there.
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
    struct raft_actions actions; // requested by Raft, not executed yet
    struct loop_timer *raft_timer;
    int64_t raft_wake_us; // when Raft wants its next TICK
    struct loop_timer *coordinator_timer;
    struct host_waiter *waiters;
    uint64_t last_token;
    bool leads;  // the leader, and its term's first entry is applied
    bool failed; // the store failed; raft_timer reopens it
    uint64_t elections;
    struct host_limits limits;
    uint64_t last_sender_id; // of the last Raft message
    struct settings_address last_sender_address;
    // Time of the last check of the voters; 0: none since this voter became
    // the leader.
    int64_t voters_checked_us;
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
const struct ck_voter *host_find_voter(const struct group_host *host,
                                       uint64_t id);

void host_copy_address(const struct ck_voter *voter,
                       struct settings_address *address);

// group_actions.c
extern const char *const host_role_names[]; // by enum raft_role
struct group_state *host_decode_state(const struct group_host *host,
                                      const struct raft_snapshot *snapshot);
int host_write_action(struct group_host *host,
                      const struct raft_action *action);
void host_run_action(struct group_host *host,
                     const struct raft_action *action);
void host_refuse_proposal(struct group_host *host,
                          const struct raft_action *action);

// group_coordinator.c
void host_step_coordinator(struct group_host *host,
                           struct coordinator_event *event);
void host_update_leadership(struct group_host *host);
void host_handle_coordinator_timer(void *data);

// group_limits.c
void host_note_term(struct group_host *host);
void host_reset_limits(struct group_host *host);
uint64_t host_describe_limits(struct group_host *host, const char *name,
                              uint64_t cursor, struct buffer *json);

// group_voters.c
void host_begin_voters(struct group_host *host);
void host_select_standby(struct group_host *host);
void host_maintain_voters(struct group_host *host);
void host_format_voters(const struct group_host *host,
                        char text[HOST_VOTERS_TEXT_SIZE]);
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
