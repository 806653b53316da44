#ifndef CATKINGRADE_ENTRY_UPSTREAM_LINK_H
#define CATKINGRADE_ENTRY_UPSTREAM_LINK_H

#include <stdbool.h>
#include <stdint.h>

#include "catkingrade/decide/scheduler_defs.h"
#include "catkingrade/entry/job.h"
#include "catkingrade/kernel/loop.h"

// A connection to an upstream. Everything it does ends in one call of its
// events, always from the loop and never from inside an operation.
struct upstream_link;

struct upstream_link_ops {
    // Runs a job; ends in finished. One at a time.
    void (*run)(struct upstream_link *link, struct job *job);
    // Discards all session state; ends in checked.
    void (*reset)(struct upstream_link *link);
    // One round trip; ends in checked.
    void (*prove)(struct upstream_link *link);
    // Asks for role and log position; ends in sampled.
    void (*sample)(struct upstream_link *link);
    // Asks the upstream to stop the job that runs; no event of its own.
    void (*cancel)(struct upstream_link *link);
    // Closes and frees the link; no event comes after it.
    void (*close)(struct upstream_link *link);
};

struct upstream_link {
    const struct upstream_link_ops *ops;
};

enum upstream_fault {
    UPSTREAM_FAULT_NONE,
    UPSTREAM_FAULT_REFUSED,              // the host answered with a refusal
    UPSTREAM_FAULT_SILENT,               // no answer within the time limit
    UPSTREAM_FAULT_CONN_LOST,            // the connection ended
    UPSTREAM_FAULT_TOO_MANY_CONNECTIONS, // the server takes no more
                                         // connections
    UPSTREAM_FAULT_BUSY, // it answered that it can't answer this now
};

struct upstream_sample {
    enum upstream_fault fault;
    bool is_primary;
    struct ck_position position;
    uint64_t term;       // that the upstream itself counts; 0: it counts none
    int64_t asked_at_us; // monotonic
    int64_t round_trip_us;
};

// After a fault the link is dead: only close may follow.
struct upstream_link_events {
    void (*opened)(void *data, enum upstream_fault fault);
    void (*finished)(void *data, struct job *job,
                     enum scheduler_result result);
    void (*checked)(void *data, enum upstream_fault fault);
    void (*sampled)(void *data, const struct upstream_sample *sample);
    void (*lost)(void *data); // ended while nothing was running
};

// Where and how to connect; valid during open only.
struct upstream_target {
    const char *host;
    unsigned port;
    bool relayed; // it is another entry, which runs the statements
    const char *database;
    const char *upstream; // the name that it announces
    const char *user;
    const char *password;
    const char *sslmode;
    int64_t connect_timeout_us;
    int64_t check_timeout_us; // of reset, prove and sample
};

struct upstream_driver {
    // Begins to open a link; ends in opened. Never returns NULL.
    struct upstream_link *(*open)(struct loop *loop,
                                  const struct upstream_target *target,
                                  const struct upstream_link_events *events,
                                  void *data);
};

#endif
