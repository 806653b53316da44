#ifndef CATKINGRADE_PLUGINS_LIBPQ_UPSTREAM_H
#define CATKINGRADE_PLUGINS_LIBPQ_UPSTREAM_H

#include "catkingrade/entry/upstream_link.h"

// Driver of PostgreSQL upstreams, based on libpq. Each link is one nonblocking
// connection, which belongs to one loop and runs one operation at a time.
extern const struct upstream_driver libpq_upstream_driver;

#endif
