#ifndef CATKINGRADE_ENTRY_CLASSIFY_FUNCTIONS_H
#define CATKINGRADE_ENTRY_CLASSIFY_FUNCTIONS_H

#include <stdbool.h>

bool classify_is_read_function(const char *name);

#endif
