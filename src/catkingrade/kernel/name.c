#include "catkingrade/kernel/name.h"

#include <stdint.h>

#define NAME_DEL 0x7f

static bool
name_has_only_bytes_from(const char *name, size_t size_bytes,
                         unsigned char lowest)
{
    for (size_t i = 0; i < size_bytes; i++) {
        if ((unsigned char)name[i] < lowest || name[i] == NAME_DEL) {
            return false;
        }
    }
    return size_bytes > 0;
}

bool
name_is_printable(const char *name, size_t size_bytes)
{
    return name_has_only_bytes_from(name, size_bytes, ' ');
}

bool
name_is_word(const char *name, size_t size_bytes)
{
    return name_has_only_bytes_from(name, size_bytes, ' ' + 1);
}

// Returns the size of the character that begins with this byte, or 0.
static size_t
name_get_character_size(uint8_t first)
{
    if (first < 0x80) {
        return 1;
    }
    if (first >= 0xc2 && first <= 0xdf) {
        return 2;
    }
    if (first >= 0xe0 && first <= 0xef) {
        return 3;
    }
    return first >= 0xf0 && first <= 0xf4 ? 4 : 0;
}

// Returns whether the second byte neither makes the character longer than
// needed nor a surrogate or beyond U+10FFFF.
static bool
name_is_second_byte(uint8_t first, uint8_t second)
{
    switch (first) {
    case 0xe0:
        return second >= 0xa0;
    case 0xed:
        return second <= 0x9f;
    case 0xf0:
        return second >= 0x90;
    case 0xf4:
        return second <= 0x8f;
    default:
        return true;
    }
}

bool
name_is_utf8(const char *text, size_t size_bytes)
{
    const uint8_t *bytes = (const uint8_t *)text;
    size_t size = 0;

    for (size_t i = 0; i < size_bytes; i += size) {
        size = name_get_character_size(bytes[i]);
        if (size == 0 || size > size_bytes - i ||
            (size > 1 && !name_is_second_byte(bytes[i], bytes[i + 1]))) {
            return false;
        }
        for (size_t j = 1; j < size; j++) {
            if ((bytes[i + j] & 0xc0) != 0x80) {
                return false;
            }
        }
    }
    return true;
}
