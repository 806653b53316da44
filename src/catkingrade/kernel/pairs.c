#include "catkingrade/kernel/pairs.h"

#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>

#include "catkingrade/kernel/memory.h"
#include "catkingrade/kernel/utf8.h"

#define PAIRS_SPEC_SIZE   16
#define PAIRS_NUMBER_SIZE 64
#define PAIRS_ESCAPE_SIZE 5 // \xNN with the NUL
#define PAIRS_CUT_MARK    "..."
#define PAIRS_KEY_CHARS   "abcdefghijklmnopqrstuvwxyz_0123456789"

// l, ll, z and j are read alike.
_Static_assert(sizeof(long) == sizeof(long long) &&
                   sizeof(size_t) == sizeof(long long),
               "integers with a length modifier have one size");

// Text that is being written.
struct pairs {
    char *text;
    size_t length;
    size_t size;
    bool full; // something did not fit, and nothing is added after it
};

static void
pairs_add(struct pairs *pairs, const char *bytes, size_t size)
{
    if (pairs->full || size >= pairs->size - pairs->length) {
        pairs->full = true;
        return;
    }
    memcpy(pairs->text + pairs->length, bytes, size);
    pairs->length += size;
}

static void
pairs_add_escaped(struct pairs *pairs, unsigned char byte)
{
    char text[PAIRS_ESCAPE_SIZE];

    (void)snprintf(text, sizeof(text), "\\x%02x", byte);
    pairs_add(pairs, text, sizeof(text) - 1);
}

// Returns whether the text so far ends with a space and the characters of a
// key, so that an equals sign would begin a pair.
static bool
pairs_ends_with_key(const struct pairs *pairs)
{
    size_t at = pairs->length;

    while (at > 0 && strchr(PAIRS_KEY_CHARS, pairs->text[at - 1]) != NULL) {
        at--;
    }
    return at > 0 && at < pairs->length && pairs->text[at - 1] == ' ';
}

// Adds the character at the start of a text. Returns its size in the text.
static size_t
pairs_add_character(struct pairs *pairs, const unsigned char *text,
                    size_t size, bool in_value)
{
    size_t count = utf8_get_character_size((const char *)text, size);
    bool is_control = count == 1
                          ? text[0] < 0x20 || text[0] == 0x7f
                          : count == 2 && text[0] == 0xc2 && text[1] < 0xa0;

    if (count == 0) {
        pairs_add_escaped(pairs, text[0]);
        return 1;
    }
    if (text[0] == '\n' && !in_value) {
        pairs_add(pairs, " ", 1);
        return 1;
    }
    if (is_control ||
        (in_value && text[0] == '=' && pairs_ends_with_key(pairs))) {
        pairs_add_escaped(pairs, text[count - 1]);
        return count;
    }
    pairs_add(pairs, (const char *)text, count);
    return count;
}

static void
pairs_add_text(struct pairs *pairs, const char *text, size_t size,
               bool in_value)
{
    size_t end = pairs->length + PAIRS_VALUE_MAX_BYTES;

    for (size_t i = 0; i < size && !pairs->full;) {
        if (in_value && pairs->length >= end) {
            pairs_add(pairs, PAIRS_CUT_MARK, strlen(PAIRS_CUT_MARK));
            return;
        }
        i += pairs_add_character(pairs, (const unsigned char *)text + i,
                                 size - i, in_value);
    }
}

// The arguments of a format. A va_list of its own can be passed on by pointer.
struct pairs_arguments {
    va_list list;
};

// One conversion of a format.
struct pairs_spec {
    char text[PAIRS_SPEC_SIZE]; // from the percent sign to the conversion
    char conversion;
    char length; // l, q for ll, z, j or another character
};

// Reads the conversion after a percent sign. Returns the rest of the format.
static const char *
pairs_read_spec(const char *format, struct pairs_spec *spec)
{
    size_t size = strspn(format, "-+ #0123456789.*hlzj") + 1;

    INVARIANT(size + 1 < sizeof(spec->text));
    spec->text[0] = '%';
    memcpy(spec->text + 1, format, size);
    spec->text[size + 1] = '\0';
    spec->conversion = format[size - 1];
    spec->length = size > 1 ? format[size - 2] : '\0';
    if (size > 2 && spec->length == 'l' && format[size - 3] == 'l') {
        spec->length = 'q';
    }
    return format + size;
}

static void
pairs_add_string(struct pairs *pairs, const struct pairs_spec *spec,
                 struct pairs_arguments *arguments)
{
    bool in_value = pairs->length > 0 && pairs->text[pairs->length - 1] != ' ';
    size_t limit = SIZE_MAX;

    if (strcmp(spec->text, "%.*s") == 0) {
        int precision = va_arg(arguments->list, int);
        limit = precision < 0 ? SIZE_MAX : (size_t)precision;
    }
    else {
        INVARIANT(strcmp(spec->text, "%s") == 0);
    }
    const char *text = va_arg(arguments->list, const char *);
    text = text == NULL ? "(null)" : text;
    pairs_add_text(pairs, text, strnlen(text, limit), in_value);
}

#pragma GCC diagnostic push
#pragma GCC diagnostic ignored "-Wformat-nonliteral"
static int
pairs_print_real(char text[PAIRS_NUMBER_SIZE], const char *format,
                 struct pairs_arguments *arguments)
{
    return snprintf(text, PAIRS_NUMBER_SIZE, format,
                    va_arg(arguments->list, double));
}

static int
pairs_print_long(char text[PAIRS_NUMBER_SIZE], const char *format,
                 struct pairs_arguments *arguments)
{
    return snprintf(text, PAIRS_NUMBER_SIZE, format,
                    va_arg(arguments->list, long long));
}

static int
pairs_print_int(char text[PAIRS_NUMBER_SIZE], const char *format,
                struct pairs_arguments *arguments)
{
    return snprintf(text, PAIRS_NUMBER_SIZE, format,
                    va_arg(arguments->list, int));
}

static void
pairs_add_number(struct pairs *pairs, const struct pairs_spec *spec,
                 struct pairs_arguments *arguments)
{
    char text[PAIRS_NUMBER_SIZE];
    int size = 0;

    if (strchr("diuxXoc", spec->conversion) == NULL) {
        INVARIANT(strchr("feg", spec->conversion) != NULL);
        size = pairs_print_real(text, spec->text, arguments);
    }
    else if (spec->length != '\0' && strchr("lqzj", spec->length) != NULL) {
        size = pairs_print_long(text, spec->text, arguments);
    }
    else {
        size = pairs_print_int(text, spec->text, arguments);
    }
    INVARIANT(size >= 0 && (size_t)size < sizeof(text));
    pairs_add(pairs, text, (size_t)size);
}
#pragma GCC diagnostic pop

static void
pairs_add_format(struct pairs *pairs, const char *format,
                 struct pairs_arguments *arguments)
{
    struct pairs_spec spec;

    while (*format != '\0') {
        size_t size = strcspn(format, "%");
        pairs_add(pairs, format, size);
        format += size;
        if (*format == '\0') {
            return;
        }
        format = pairs_read_spec(format + 1, &spec);
        if (spec.conversion == '%') {
            pairs_add(pairs, "%", 1);
        }
        else if (spec.conversion == 's') {
            pairs_add_string(pairs, &spec, arguments);
        }
        else {
            pairs_add_number(pairs, &spec, arguments);
        }
    }
}

size_t
pairs_append_text(char *out, size_t length, size_t size, const char *text)
{
    struct pairs pairs = {.text = out, .length = length, .size = size};

    pairs_add_text(&pairs, text, strlen(text), true);
    out[pairs.length] = '\0';
    return pairs.length;
}

char *
pairs_copy_printable(const char *text)
{
    size_t length = strlen(text);
    size_t size = length * (PAIRS_ESCAPE_SIZE - 1) + 1;
    struct pairs pairs = {.text = xmalloc(size), .size = size};

    pairs_add_text(&pairs, text, length, false);
    pairs.text[pairs.length] = '\0';
    return pairs.text;
}

size_t
pairs_format(char *out, size_t size, const char *format, va_list args)
{
    struct pairs pairs = {.text = out, .size = size};
    struct pairs_arguments arguments;

    va_copy(arguments.list, args);
    pairs_add_format(&pairs, format, &arguments);
    va_end(arguments.list);
    out[pairs.length] = '\0';
    return pairs.length;
}
