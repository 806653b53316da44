#ifndef CATKINGRADE_CONTROL_UPSTREAM_ADMIN_H
#define CATKINGRADE_CONTROL_UPSTREAM_ADMIN_H

#include <stdbool.h>
#include <stdint.h>

#include "catkingrade/kernel/loop.h"
#include "catkingrade/kernel/settings.h"
#include "catkingrade/rpc/messages.h"

// The control side's operations at upstreams: probe, promote, follow and
// fence. Each opens a connection of its own and has a time limit. Protocols
// implement them.
struct upstream_admin;

enum upstream_admin_kind {
    UPSTREAM_ADMIN_PROBE,
    UPSTREAM_ADMIN_PROMOTE,
    UPSTREAM_ADMIN_FOLLOW,
    UPSTREAM_ADMIN_FENCE,
};

struct upstream_admin_result {
    enum upstream_admin_kind kind;
    const char *upstream;
    int outcome;  // OUTCOME_OVERLOADED: it lives, and can't tell more now
    bool refused; // the upstream's host answered and said no
    bool is_primary;
    struct ck_position position;
};

typedef void (*upstream_admin_fn)(void *data,
                                  const struct upstream_admin_result *result);

struct upstream_admin_request {
    enum upstream_admin_kind kind;
    const struct ck_upstream *upstream; // copied
    const struct ck_upstream *primary;  // FOLLOW; copied
    // Grows with each leader of the group: orders promotions by several.
    uint64_t fencing_token;
    // Whether this VM still leads; asked right before a promotion is sent.
    bool (*may_promote)(void *data);
    upstream_admin_fn done;
    void *data; // of may_promote and done
};

struct upstream_admin_ops {
    void (*destroy)(struct upstream_admin *admin);
    // Ends in done, never from inside the call.
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
