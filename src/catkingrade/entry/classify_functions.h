#ifndef CATKINGRADE_ENTRY_CLASSIFY_FUNCTIONS_H
#define CATKINGRADE_ENTRY_CLASSIFY_FUNCTIONS_H

#include <stdbool.h>

// List of PostgreSQL's built-in functions that are safe to run on a replica.

bool classify_is_read_function(const char *name);

#endif
