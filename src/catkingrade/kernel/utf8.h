#ifndef CATKINGRADE_KERNEL_UTF8_H
#define CATKINGRADE_KERNEL_UTF8_H

#include <stddef.h>

// Returns the size in bytes of the UTF-8 character (RFC 3629) at the start of
// a text of size_bytes bytes, at least one. Returns 0 if the text does not
// start with one; overlong forms, surrogates and what lies beyond U+10FFFF are
// none.
size_t utf8_get_character_size(const char *text, size_t size_bytes);

#endif
