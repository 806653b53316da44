#ifndef CATKINGRADE_CONTROL_ANNOUNCEMENT_H
#define CATKINGRADE_CONTROL_ANNOUNCEMENT_H

#include "catkingrade/kernel/buffer.h"
#include "catkingrade/rpc/messages.h"

// Announcement of an upstream: a JSON object, sent by HTTP POST to /announce,
// with the upstream's address, capacity and state. An announcement adds the
// upstream to its control group or updates it.
struct announcement {
    char *group; // control group of the database; default "fleet"
    struct ck_upstream upstream;
};

// Parses the JSON text body. Returns OUTCOME_OK, or OUTCOME_INVALID with one
// line per error appended to errors; announcement then owns no memory.
int announcement_parse(const char *body, struct announcement *announcement,
                       struct buffer *errors);
void announcement_free(struct announcement *announcement);

#endif
