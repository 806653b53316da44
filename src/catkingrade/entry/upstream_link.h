#ifndef CATKINGRADE_ENTRY_UPSTREAM_LINK_H
#define CATKINGRADE_ENTRY_UPSTREAM_LINK_H

#include <stdbool.h>
#include <stdint.h>

#include "catkingrade/decide/traffic/scheduler_defs.h"
#include "catkingrade/entry/job.h"
#include "catkingrade/kernel/loop.h"

// Interface of the upstream drivers. A link is one connection to an upstream.
// Operations are asynchronous: each ends with one call of an event function,
// made from the event loop and never from within the operation itself.

struct upstream_link;

struct upstream_link_ops {
    // Runs a job; ends with finished. Only one operation may be in progress.
    void (*run)(struct upstream_link *link, struct job *job);
    // Discards all session state; ends with checked.
    void (*reset)(struct upstream_link *link);
    // Checks that the upstream answers, with one round trip; ends with
    // checked.
    void (*validate)(struct upstream_link *link);
    // Requests role and log position; ends with sampled.
    void (*sample)(struct upstream_link *link);
    // Asks the upstream to cancel the running job; has no event of its own.
    void (*cancel)(struct upstream_link *link);
    // Closes and frees the link; no event follows.
    void (*close)(struct upstream_link *link);
};

struct upstream_link {
    const struct upstream_link_ops *ops;
};

// Failure of an operation.
enum upstream_fault {
    UPSTREAM_FAULT_NONE,
    UPSTREAM_FAULT_REFUSED,              // answered with a refusal or an error
    UPSTREAM_FAULT_SILENT,               // no answer within the time limit
    UPSTREAM_FAULT_CONN_LOST,            // the connection was closed
    UPSTREAM_FAULT_TOO_MANY_CONNECTIONS, // at its connection limit
    UPSTREAM_FAULT_BUSY, // alive, but could not serve the operation now
};

// Role and log position of an upstream, as reported by the upstream.
struct upstream_sample {
    enum upstream_fault fault;
    bool is_primary;
    struct ck_position position;
    uint64_t term;       // counted by the upstream itself; 0: it has none
    int64_t asked_at_us; // monotonic time before the request was sent
    int64_t round_trip_us;
};

// Event functions. After a fault the link is unusable: only close may follow.
struct upstream_link_events {
    void (*opened)(void *data, enum upstream_fault fault);
    void (*finished)(void *data, struct job *job,
                     enum scheduler_result result);
    void (*checked)(void *data, enum upstream_fault fault);
    void (*sampled)(void *data, const struct upstream_sample *sample);
    void (*lost)(void *data); // closed by the upstream while idle
};

// Address and options of a link. The pointers are valid during open only.
struct upstream_target {
    const char *host;
    unsigned port;
    bool relayed; // the target is another entry, which runs the statements
    const char *database;
    const char *upstream; // name announced by the upstream
    const char *customer; // that the connection serves; empty: any
    const char *user;
    const char *password;
    const char *sslmode;
    int64_t connect_timeout_us;
    int64_t check_timeout_us; // of reset, validate and sample
};

struct upstream_driver {
    // Starts to open a link; ends with opened. Never returns NULL.
    struct upstream_link *(*open)(struct loop *loop,
                                  const struct upstream_target *target,
                                  const struct upstream_link_events *events,
                                  void *data);
};

#endif
