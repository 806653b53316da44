#ifndef CATKINGRADE_KERNEL_PAIRS_H
#define CATKINGRADE_KERNEL_PAIRS_H

#include <stdarg.h>
#include <stddef.h>

// Texts of key=value pairs, separated by spaces, for logs and events. The keys
// come from a format, the values also from other parties. A reader splits the
// text at each space that is followed by a key, which is made of the
// characters a-z, 0-9 and _, and an equals sign.

#define PAIRS_VALUE_MAX_BYTES 512 // of a text value; the rest is left out

// Appends text to the first length bytes of a NUL-terminated out, with control
// characters and bytes that are not UTF-8 written as \xNN. Returns the new
// length, at most size - 1.
size_t pairs_append_text(char *out, size_t length, size_t size,
                         const char *text);

// Returns a copy of a text with control characters and bytes that are not
// UTF-8 written as \xNN, and with a space for each line end. The caller frees
// it.
char *pairs_copy_printable(const char *text);

// Formats pairs into out; never ends a UTF-8 character or a key in the middle.
// A text within a value (%s after key=) can't begin another pair: an equals
// sign that would is written as \x3d. A text in place of pairs (%s after a
// space or at the start) may contain pairs. Texts are escaped as by
// pairs_append_text, except that a line end in place of pairs becomes a space.
// Returns the length. The format is that of printf, with %s and %.*s for texts
// and with integers and floating point numbers.
size_t pairs_format(char *out, size_t size, const char *format, va_list args)
    __attribute__((format(printf, 3, 0)));

#endif
