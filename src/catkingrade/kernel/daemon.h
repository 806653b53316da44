#ifndef CATKINGRADE_KERNEL_DAEMON_H
#define CATKINGRADE_KERNEL_DAEMON_H

#include <stdatomic.h>
#include <stdbool.h>
#include <stdint.h>

struct control;
struct entry;
struct http;
struct lease_agent;
struct loop;
struct rpcnet;
struct settings;
struct upstream_admin_driver;

// One process of catkingraded. Plug-ins reach each other through it; each
// pointer is NULL until its plug-in has started and after it has stopped.
struct daemon {
    struct settings *settings;
    struct loop *control_loop; // the thread for control state
    uint64_t incarnation;      // random, new at every start
    bool bootstrap;            // the operator says: the groups are new
    struct rpcnet *rpcnet;
    struct control *control;
    struct entry *entry;
    struct lease_agent *lease_agent;
    struct http *http;
    // How control reaches upstreams; NULL: as PostgreSQL servers.
    const struct upstream_admin_driver *admin_driver;
    atomic_bool ready;    // readyz
    atomic_bool draining; // a planned stop has begun
};

int daemon_run(struct daemon *daemon);
void daemon_request_stop(struct daemon *daemon);

#endif
