#ifndef CATKINGRADE_KERNEL_DAEMON_H
#define CATKINGRADE_KERNEL_DAEMON_H

#include <stdatomic.h>
#include <stdbool.h>
#include <stdint.h>

struct control;
struct entry;
struct http;
struct lease_agent;
struct limit_agent;
struct loop;
struct rpcnet;
struct settings;
struct upstream_admin_driver;

// State of one catkingraded process, through which the plug-ins reach each
// other. The pointer to a plug-in's module is NULL before the plug-in has
// started and after it has stopped.
struct daemon {
    struct settings *settings;
    struct loop *control_loop; // event loop of the control thread
    uint64_t incarnation;      // random number, new at each start
    bool bootstrap;            // flag --bootstrap: the control groups are new
    struct rpcnet *rpcnet;
    struct control *control;
    struct entry *entry;
    struct lease_agent *lease_agent;
    struct limit_agent *limit_agent;
    struct http *http;
    // Driver for administrative operations at upstreams; NULL: PostgreSQL.
    const struct upstream_admin_driver *admin_driver;
    atomic_bool ready;    // result of the HTTP health check /readyz
    atomic_bool draining; // a planned stop is in progress
};

int daemon_run(struct daemon *daemon);
void daemon_request_stop(struct daemon *daemon);

#endif
