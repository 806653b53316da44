#ifndef CATKINGRADE_ENTRY_CLASSIFY_HINT_H
#define CATKINGRADE_ENTRY_CLASSIFY_HINT_H

#include <stddef.h>

#include "catkingrade/entry/classify.h"

// The leading comment of a statement that tells what the caller wants.
size_t classify_hint_get_size(const char *text, size_t size_bytes);
void classify_hint_parse(const char *text, size_t size_bytes,
                         struct classification *result);

void classify_text_without_hint(const char *text, size_t size_bytes,
                                struct classification *result);

#endif
