#ifndef CATKINGRADE_ENTRY_SESSION_H
#define CATKINGRADE_ENTRY_SESSION_H

#include <stdbool.h>
#include <stdint.h>

#include "catkingrade/decide/traffic/scheduler_defs.h"
#include "catkingrade/entry/job.h"
#include "catkingrade/entry/session_floors.h"

// Interface between a database of the entry and the sessions of the protocol
// front ends.

struct database;
struct entry_session;
struct limiter_ticket;

// One request of a session. It lives from its arrival until its outcome has
// been passed to the session and no connection runs its job.
struct entry_request {
    struct entry_session *session; // NULL: session closed or already answered
    struct database *database;
    uint64_t id;
    struct scheduler_request params;
    struct job job;
    unsigned priority; // of the route; 0: highest
    // Constant text: why the upstream was chosen or the request refused.
    const char *reason;
    char upstream[CK_NAME_SIZE + 1];   // that ran the last attempt
    char relay_host[CK_HOST_SIZE + 1]; // that ran it; empty: no relay
    bool on_replica;
    unsigned attempts;
    int64_t submitted_us; // monotonic
    int64_t phase_us;     // monotonic; start of the current phase
    bool running;         // a connection is running the job
    bool decided;         // the outcome was passed to the session, if open
    bool cancelled;
    // From another entry, which has the client and has counted the request
    // for the customer's rate limit.
    bool is_relayed;
    struct limiter_ticket *ticket; // waits for a token; NULL: does not
};

// Callbacks of a protocol front end. Each request of an open session ends with
// exactly one call of answer, refuse or unknown.
struct entry_session_ops {
    // The request is done; job.answer holds the complete answer. warning: the
    // write has not been confirmed by the required number of replicas.
    void (*answer)(struct entry_session *session,
                   struct entry_request *request, bool warning);
    // The request was not run. outcome is an enum outcome.
    void (*refuse)(struct entry_session *session,
                   struct entry_request *request, int outcome,
                   int64_t retry_after_us);
    // Whether the request took effect is unknown.
    void (*unknown)(struct entry_session *session,
                    struct entry_request *request);
    // Ends the session when it is next outside a transaction.
    void (*end)(struct entry_session *session);
};

// Base of the session types of the protocols; their first member.
struct entry_session {
    const struct entry_session_ops *ops;
    struct database *database; // NULL until the session is opened there
    uint64_t id;
    struct scheduler_floor floor;
    int64_t floor_us; // monotonic time at which the floor was last raised
    struct session_floors *left_floors; // NULL until it leaves a database
    const char *route; // route name, passed on to relay entries; or NULL
    // Name of the customer to which the session's key belongs; empty: none.
    char customer[CK_NAME_SIZE + 1];
};

#endif
