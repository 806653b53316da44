#ifndef CATKINGRADE_ENTRY_UPSTREAM_POSITION_H
#define CATKINGRADE_ENTRY_UPSTREAM_POSITION_H

#include <stdint.h>

int upstream_position_parse_lsn(const char *text, uint64_t *lsn);

#endif
