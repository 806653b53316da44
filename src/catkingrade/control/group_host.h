#ifndef CATKINGRADE_CONTROL_GROUP_HOST_H
#define CATKINGRADE_CONTROL_GROUP_HOST_H

#include <stdbool.h>

#include "catkingrade/control/upstream_admin.h"
#include "catkingrade/kernel/buffer.h"
#include "catkingrade/kernel/daemon.h"
#include "catkingrade/kernel/settings.h"
#include "catkingrade/rpc/rpcnet.h"
#include "catkingrade/store/store.h"

// Runs this VM's voter of one control group, on the control loop. It connects
// the Raft log (decide/raft/raft.h) with the store and with RPC, applies
// committed entries to the group state, and, while this voter is the Raft
// leader, runs the group's coordinator (decide/coordinator/coordinator.h).
//
// Raft actions are executed in batches at the end of a loop iteration:
// group_host_write_actions, one store sync for all groups, then
// group_host_run_actions.
struct group_host;

struct group_host_params {
    struct daemon *daemon;
    struct store *store;
    struct upstream_admin *admin;
    const struct settings_group *group;
    uint64_t self;  // voter id of this VM in the group
    bool bootstrap; // the operator declared the group new
};

// Receives the result of a submitted change. text is the reason for an error,
// borrowed.
typedef void (*group_host_change_fn)(void *data, int outcome,
                                     const char *text);

int group_host_create(const struct group_host_params *params,
                      struct group_host **out);
void group_host_destroy(struct group_host *host);
const char *group_host_get_name(const struct group_host *host);
uint64_t group_host_get_self(const struct group_host *host);
bool group_host_is_in_contact(const struct group_host *host);
bool group_host_leads(const struct group_host *host);
bool group_host_hears_leader(const struct group_host *host);
bool group_host_write_actions(struct group_host *host);
bool group_host_run_actions(struct group_host *host, bool synced);

void group_host_handle_raft(struct group_host *host,
                            const struct ck_raft_message *message,
                            const struct settings_address *from);
void group_host_handle_renew(struct group_host *host,
                             struct rpcnet_request *request,
                             const struct ck_renew_args *args);
void group_host_handle_apply(struct group_host *host,
                             struct rpcnet_request *request,
                             const struct ck_apply_args *args);
void group_host_handle_query(struct group_host *host,
                             struct rpcnet_request *request,
                             const struct ck_query_args *args);
void group_host_handle_command(struct group_host *host,
                               struct rpcnet_request *request,
                               const struct ck_command_args *args);
void group_host_handle_announce(struct group_host *host,
                                struct rpcnet_request *request,
                                const struct ck_announce_args *args);
void group_host_handle_borrow(struct group_host *host,
                              struct rpcnet_request *request,
                              const struct ck_borrow_args *args);
bool group_host_has_upstream(const struct group_host *host,
                             const struct ck_upstream *announced);
void group_host_submit_announcement(struct group_host *host,
                                    const struct ck_upstream *upstream,
                                    group_host_change_fn done, void *data);
void group_host_submit_change(struct group_host *host,
                              const struct ck_change *change,
                              group_host_change_fn done, void *data);
void group_host_read_declaration(const struct group_host *host,
                                 struct ck_read_declaration_result *result);
size_t group_host_list_voters(const struct group_host *host,
                              struct settings_address *addresses,
                              size_t max_count);

void group_host_transfer(struct group_host *host);
void group_host_get_leader(const struct group_host *host,
                           struct settings_address *address);
void group_host_describe(const struct group_host *host, struct buffer *json);

#endif
