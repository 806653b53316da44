#ifndef CATKINGRADE_ENTRY_CLASSIFY_HINT_H
#define CATKINGRADE_ENTRY_CLASSIFY_HINT_H

#include <stddef.h>

#include "catkingrade/entry/classify.h"

// The leading comment of a statement that tells what the caller wants.
size_t classify_hint_find(const char *text, size_t size_bytes);
void classify_hint_read(const char *text, size_t size_bytes,
                        struct classification *result);

void classify_body(const char *text, size_t size_bytes,
                   struct classification *result);

#endif
