#ifndef CATKINGRADE_CONTROL_UPSTREAM_ADMIN_H
#define CATKINGRADE_CONTROL_UPSTREAM_ADMIN_H

#include <stdbool.h>
#include <stdint.h>

#include "catkingrade/kernel/loop.h"
#include "catkingrade/kernel/settings.h"
#include "catkingrade/rpc/messages.h"

// Operations of the control plane at upstreams, implemented by one driver per
// protocol. Each operation opens its own connection and has a timeout.
struct upstream_admin;

enum upstream_admin_kind {
    UPSTREAM_ADMIN_PROBE,   // read the position and whether it is a primary
    UPSTREAM_ADMIN_PROMOTE, // make it the primary
    UPSTREAM_ADMIN_FOLLOW,  // make it replicate from the given primary
    UPSTREAM_ADMIN_FENCE,   // make it read-only
};

struct upstream_admin_result {
    enum upstream_admin_kind kind;
    const char *upstream;
    uint64_t fencing_token; // of the request
    int outcome;  // OUTCOME_OVERLOADED: alive, but too busy to respond
    bool refused; // the host or server refused; false: no answer
    bool is_primary;
    struct ck_position position;
    uint64_t term; // that the upstream counts, or its timeline; 0: unknown
    struct ck_position last_write; // of its log: term and number
};

typedef void (*upstream_admin_fn)(void *data,
                                  const struct upstream_admin_result *result);

struct upstream_admin_request {
    enum upstream_admin_kind kind;
    const struct ck_upstream *upstream; // copied
    const struct ck_upstream *primary;  // FOLLOW; copied
    // Higher for each new leader of the group, so that the platform can reject
    // a promotion requested by an earlier leader. PostgreSQL has no use for
    // it, so libpq_admin_driver does not send it.
    uint64_t fencing_token;
    // Called with the fencing token right before anything that changes an
    // upstream is sent, but not for a probe. Returns false if this VM no
    // longer leads the group in that term; it is then not sent. NULL: it is
    // sent in any case.
    bool (*may_change)(void *data, uint64_t fencing_token);
    upstream_admin_fn done;
    void *data; // argument of may_change and done
};

struct upstream_admin_ops {
    // A fenced upstream is a replica. Otherwise it is read-only, and still
    // the primary as it sees itself.
    bool fence_demotes;
    void (*destroy)(struct upstream_admin *admin);
    // Starts an operation. Its end is reported through done, never from
    // inside this call.
    void (*run)(struct upstream_admin *admin,
                const struct upstream_admin_request *request);
};

struct upstream_admin {
    const struct upstream_admin_ops *ops;
};

struct upstream_admin_driver {
    struct upstream_admin *(*create)(struct loop *loop,
                                     const struct settings *settings);
};

extern const struct upstream_admin_driver libpq_admin_driver;

#endif
