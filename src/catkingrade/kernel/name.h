#ifndef CATKINGRADE_KERNEL_NAME_H
#define CATKINGRADE_KERNEL_NAME_H

#include <stdbool.h>
#include <stddef.h>

// Checks of names that come from outside. A name is passed on in messages,
// documents, logs and pages, each of which ends it at other bytes.

// Returns whether a name is not empty and has no control character, which
// includes zero bytes, line ends and DEL.
bool name_is_printable(const char *name, size_t size_bytes);
// Returns whether a name is printable and has no blank.
bool name_is_word(const char *name, size_t size_bytes);
// Returns whether a text is valid UTF-8 (RFC 3629).
bool name_is_utf8(const char *text, size_t size_bytes);

#endif
