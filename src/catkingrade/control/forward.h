#ifndef CATKINGRADE_CONTROL_FORWARD_H
#define CATKINGRADE_CONTROL_FORWARD_H

#include "catkingrade/rpc/messages.h"

// Calls to the leader of a control group from any daemon: here when this VM
// leads, otherwise at the VM that does, which is looked for.
struct control;

typedef void (*forward_apply_fn)(void *data, int outcome, const char *text);
typedef void (*forward_read_fn)(
    void *data, int outcome, const struct ck_packed_declaration *declaration);

void forward_apply(struct control *control, const char *group,
                   const struct ck_change *change, forward_apply_fn done,
                   void *data);
void forward_read_declaration(struct control *control, const char *group,
                              forward_read_fn done, void *data);

#endif
