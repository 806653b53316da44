#include "catkingrade/kernel/utf8.h"

#include <stdbool.h>
#include <stdint.h>

#define UTF8_FIRST_OF_TWO      0xc2
#define UTF8_LAST_OF_FOUR      0xf4
#define UTF8_CONTINUATION      0x80
#define UTF8_CONTINUATION_MASK 0xc0
#define UTF8_LAST_CONTINUATION 0xbf

// Returns whether the second byte makes the character neither longer than
// needed nor a surrogate or beyond U+10FFFF.
static bool
utf8_is_second_byte(uint8_t first, uint8_t second)
{
    uint8_t low = first == 0xe0   ? 0xa0
                  : first == 0xf0 ? 0x90
                                  : UTF8_CONTINUATION;
    uint8_t high = first == 0xed   ? 0x9f
                   : first == 0xf4 ? 0x8f
                                   : UTF8_LAST_CONTINUATION;

    return second >= low && second <= high;
}

size_t
utf8_get_character_size(const char *text, size_t size_bytes)
{
    const uint8_t *bytes = (const uint8_t *)text;
    uint8_t first = bytes[0];
    size_t size = first < 0xe0 ? 2 : first < 0xf0 ? 3 : 4;

    if (first < UTF8_CONTINUATION) {
        return 1;
    }
    if (first < UTF8_FIRST_OF_TWO || first > UTF8_LAST_OF_FOUR ||
        size > size_bytes || !utf8_is_second_byte(first, bytes[1])) {
        return 0;
    }
    for (size_t i = 2; i < size; i++) {
        if ((bytes[i] & UTF8_CONTINUATION_MASK) != UTF8_CONTINUATION) {
            return 0;
        }
    }
    return size;
}
