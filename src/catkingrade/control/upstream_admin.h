#ifndef CATKINGRADE_CONTROL_UPSTREAM_ADMIN_H
#define CATKINGRADE_CONTROL_UPSTREAM_ADMIN_H

#include <stdbool.h>

#include "catkingrade/kernel/loop.h"
#include "catkingrade/kernel/settings.h"
#include "catkingrade/rpc/messages.h"

// Runs the control side's statements at upstreams: probe, promote, follow and
// fence. Each opens a connection of its own and has a time limit.
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
    int outcome;
    bool refused; // the upstream's host answered and said no
    bool is_primary;
    struct ck_position position;
};

typedef void (*upstream_admin_fn)(void *data,
                                  const struct upstream_admin_result *result);

struct upstream_admin *upstream_admin_create(struct loop *loop,
                                             const struct settings *settings);
void upstream_admin_destroy(struct upstream_admin *admin);
void upstream_admin_run(struct upstream_admin *admin,
                        enum upstream_admin_kind kind,
                        const struct ck_upstream *upstream,
                        const struct ck_upstream *primary,
                        upstream_admin_fn done, void *data);

#endif
