#ifndef CATKINGRADE_PLUGINS_LIBPQ_UPSTREAM_H
#define CATKINGRADE_PLUGINS_LIBPQ_UPSTREAM_H

#include "catkingrade/entry/upstream_link.h"

extern const struct upstream_driver libpq_upstream_driver;

#endif
