#ifndef CATKINGRADE_ENTRY_UPSTREAM_POSITION_H
#define CATKINGRADE_ENTRY_UPSTREAM_POSITION_H

#include <stdint.h>

// Log positions of PostgreSQL upstreams.

int upstream_position_parse_lsn(const char *text, uint64_t *lsn);

#endif
