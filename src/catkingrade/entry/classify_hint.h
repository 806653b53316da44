#ifndef CATKINGRADE_ENTRY_CLASSIFY_HINT_H
#define CATKINGRADE_ENTRY_CLASSIFY_HINT_H

#include <stddef.h>

#include "catkingrade/entry/classify.h"

// Hints. A hint is a comment at the start of a statement text in which the
// caller sets options of the request, for example
// /* catkingrade: type=booking key=abc-1 deadline_ms=500 */
size_t classify_hint_get_size(const char *text, size_t size_bytes);
void classify_hint_parse(const char *text, size_t size_bytes,
                         struct classification *result);

void classify_unparsed(struct classification *result);
void classify_text_without_hint(const char *text, size_t size_bytes,
                                struct classification *result);

#endif
