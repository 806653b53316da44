#ifndef CATKINGRADE_CONTROL_FORWARD_H
#define CATKINGRADE_CONTROL_FORWARD_H

#include "catkingrade/rpc/messages.h"

// Forwards a change or a read to the leader of a control group. The call is
// executed locally if this VM's voter leads the group. Otherwise it is sent by
// RPC to the known leader, or to other daemons until one names the leader.
struct control;

// Called once, on the control loop. declaration and text are borrowed.
typedef void (*forward_apply_fn)(void *data, int outcome, const char *text);
typedef void (*forward_read_fn)(
    void *data, int outcome, const struct ck_packed_declaration *declaration);

void forward_apply(struct control *control, const char *group,
                   const struct ck_change *change, forward_apply_fn done,
                   void *data);
void forward_read_declaration(struct control *control, const char *group,
                              forward_read_fn done, void *data);

#endif
