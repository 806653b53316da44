#ifndef CATKINGRADE_ENTRY_SESSION_H
#define CATKINGRADE_ENTRY_SESSION_H

#include <stdbool.h>
#include <stdint.h>

#include "catkingrade/decide/scheduler_defs.h"
#include "catkingrade/entry/job.h"

struct database;
struct entry_session;

// One request of a session, from its arrival until its outcome is decided
// and no connection runs it anymore.
struct entry_request {
    struct entry_session *session; // NULL: the caller went away or has answer
    struct database *database;
    uint64_t id;
    struct scheduler_request params;
    struct job job;
    const char *reason; // constant text: why it ran where it ran
    char upstream[CK_NAME_SIZE + 1];
    bool on_replica;
    unsigned attempts;
    int64_t submitted_us;
    int64_t phase_us; // when its present phase began
    bool running;     // a connection works on its job
    bool decided;     // its outcome has been told to the session
    bool cancelled;
};

// How a session of some protocol learns what became of its requests; each
// request ends in exactly one of answer, refuse and unknown.
struct entry_session_ops {
    // done: job.answer holds the whole answer. warning: it is not confirmed.
    void (*answer)(struct entry_session *session,
                   struct entry_request *request, bool warning);
    // not_run.
    void (*refuse)(struct entry_session *session,
                   struct entry_request *request, int outcome,
                   int64_t retry_after_us);
    void (*unknown)(struct entry_session *session,
                    struct entry_request *request);
    // Ends the session at its next transaction boundary.
    void (*end)(struct entry_session *session);
};

// First member of a protocol's session.
struct entry_session {
    const struct entry_session_ops *ops;
    struct database *database; // NULL until it is open
    uint64_t id;
    struct scheduler_floor floor;
    int64_t floor_us;  // when it was raised last
    const char *route; // its name, where statements may go over other entries
};

#endif
