#ifndef CATKINGRADE_CONTROL_CONTROL_STATE_H
#define CATKINGRADE_CONTROL_CONTROL_STATE_H

#include "catkingrade/control/control.h"
#include "catkingrade/control/group_host.h"
#include "catkingrade/control/upstream_admin.h"
#include "catkingrade/kernel/loop.h"
#include "catkingrade/kernel/work_time.h"
#include "catkingrade/rpc/rpcnet.h"
#include "catkingrade/store/store.h"

struct announcement_batch;
struct http_call;
struct membership_agent;

// Internals of the control plane, shared by the sources of this folder.
struct control {
    struct daemon *daemon;
    struct loop *loop;
    struct store *store;
    struct upstream_admin *admin;
    struct group_host **hosts;
    size_t hosts_count;
    struct announcement_batch *announcements; // of the fleet's group
    int64_t work_sums_us[WORK_TIME_COUNT];    // at the end of the last turn
    struct membership_agent
        *membership_agent; // NULL: voters change only by command
};

// control.c
struct group_host *control_find_host(const struct control *control,
                                     const char *group);
const struct settings_group *control_find_group(const struct control *control,
                                                const char *group);

int control_open_host(struct control *control, const char *group,
                      uint64_t self);
void control_remove_host(struct control *control, const char *group);
size_t control_list_peers(const struct control *control, const char *group,
                          struct settings_address *items, size_t max_count);

// queries.c
void control_handle_daemon_query(struct control *control,
                                 struct rpcnet_request *request,
                                 const struct ck_query_args *args);

// forward.c
void control_handle_announcement(void *data, struct http_call *call);

#endif
