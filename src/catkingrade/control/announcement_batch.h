#ifndef CATKINGRADE_CONTROL_ANNOUNCEMENT_BATCH_H
#define CATKINGRADE_CONTROL_ANNOUNCEMENT_BATCH_H

#include "catkingrade/control/forward.h"
#include "catkingrade/kernel/settings.h"
#include "catkingrade/rpc/messages.h"

// Announcements of upstreams on their way to the leader of a group, as one
// list.
//
// The batch answers the load of thousands of upstreams that announce
// themselves every second though nothing has changed: the leader gets some
// lists a second from each control VM and not a call from each upstream, and a
// leader that is late makes no upstream call again.
struct announcement_batch;

struct announcement_batch *announcement_batch_create(struct control *control,
                                                     const char *group);
void announcement_batch_destroy(struct announcement_batch *batch);
void announcement_submit(struct control *control, const char *group,
                         const struct ck_upstream *upstream,
                         forward_apply_fn done, void *data);
void announcement_batch_add(struct announcement_batch *batch,
                            const struct settings_address *leader,
                            const struct ck_upstream *upstream);

#endif
