#ifndef CATKINGRADE_CONTROL_ANNOUNCEMENT_H
#define CATKINGRADE_CONTROL_ANNOUNCEMENT_H

#include "catkingrade/kernel/buffer.h"
#include "catkingrade/rpc/messages.h"

// What an upstream says of itself over HTTP.
struct announcement {
    char *group; // control group of its database; "fleet" unless named
    struct ck_upstream upstream;
};

int announcement_parse(const char *body, struct announcement *announcement,
                       struct buffer *errors);
void announcement_free(struct announcement *announcement);

#endif
