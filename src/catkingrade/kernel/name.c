#include "catkingrade/kernel/name.h"

#include "catkingrade/kernel/utf8.h"

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

bool
name_is_utf8(const char *text, size_t size_bytes)
{
    size_t size = 0;

    for (size_t i = 0; i < size_bytes; i += size) {
        size = utf8_get_character_size(text + i, size_bytes - i);
        if (size == 0) {
            return false;
        }
    }
    return true;
}
