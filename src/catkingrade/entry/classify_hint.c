#include "catkingrade/entry/classify_hint.h"

#include <errno.h>
#include <openssl/sha.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "catkingrade/kernel/memory.h"

#define HINT_MARKER          "catkingrade:"
#define HINT_MARKER_BYTES    (sizeof(HINT_MARKER) - 1)
#define HINT_WHITESPACE      " \t\r\n"
#define HINT_DIGEST_PREFIX   "sha256:"
#define HINT_MAX_NUMBER_SIZE 20

static size_t
hint_skip_whitespace(const char *text, size_t at, size_t size_bytes)
{
    while (at < size_bytes && text[at] != '\0' &&
           strchr(HINT_WHITESPACE, text[at]) != NULL) {
        at++;
    }
    return at;
}

// Returns the size of the leading hint with its comment marks, or 0 when the
// text does not begin with one.
size_t
classify_hint_get_size(const char *text, size_t size_bytes)
{
    size_t at = hint_skip_whitespace(text, 0, size_bytes);

    if (size_bytes - at < 2 || memcmp(text + at, "/*", 2) != 0) {
        return 0;
    }
    at = hint_skip_whitespace(text, at + 2, size_bytes);
    if (size_bytes - at < HINT_MARKER_BYTES ||
        memcmp(text + at, HINT_MARKER, HINT_MARKER_BYTES) != 0) {
        return 0;
    }
    const char *end = memmem(text + at, size_bytes - at, "*/", 2);
    return end == NULL ? 0 : (size_t)(end - text) + 2;
}

static void
hint_copy_text(char *to, size_t to_size, const char *value, size_t size_bytes)
{
    if (size_bytes >= to_size) {
        size_bytes = to_size - 1;
    }
    memcpy(to, value, size_bytes);
    to[size_bytes] = '\0';
}

// Copies an idempotency key. One that does not fit is replaced by its digest,
// so that two long keys never become one by being cut.
static void
hint_copy_key(struct classification *result, const char *value,
              size_t size_bytes)
{
    unsigned char digest[SHA256_DIGEST_LENGTH];

    if (size_bytes < sizeof(result->hint_key)) {
        hint_copy_text(result->hint_key, sizeof(result->hint_key), value,
                       size_bytes);
        return;
    }
    SHA256((const unsigned char *)value, size_bytes, digest);
    int at = snprintf(result->hint_key, sizeof(result->hint_key),
                      HINT_DIGEST_PREFIX);
    for (size_t i = 0; i < sizeof(digest); i++) {
        at += snprintf(result->hint_key + at, sizeof(result->hint_key) - at,
                       "%02x", digest[i]);
    }
}

// Reads a whole number that is not negative; -1 when it is none.
static long
hint_parse_number(const char *value, size_t size_bytes)
{
    char text[HINT_MAX_NUMBER_SIZE];
    char *end = NULL;

    if (size_bytes == 0 || size_bytes >= sizeof(text)) {
        return -1;
    }
    hint_copy_text(text, sizeof(text), value, size_bytes);
    errno = 0;
    long number = strtol(text, &end, 10);
    return *end != '\0' || number < 0 || errno != 0 ? -1 : number;
}

static bool
hint_name_equals(const char *word, size_t size_bytes, const char *name)
{
    return strlen(name) == size_bytes && memcmp(word, name, size_bytes) == 0;
}

// Takes one NAME=VALUE; a name that is not known is ignored.
static void
hint_apply_option(struct classification *result, const char *word,
                  size_t size_bytes)
{
    const char *equals = memchr(word, '=', size_bytes);

    if (equals == NULL) {
        return;
    }
    size_t name_size = (size_t)(equals - word);
    const char *value = equals + 1;
    size_t value_size = size_bytes - name_size - 1;

    if (hint_name_equals(word, name_size, "type")) {
        hint_copy_text(result->hint_type, sizeof(result->hint_type), value,
                       value_size);
    }
    else if (hint_name_equals(word, name_size, "key")) {
        hint_copy_key(result, value, value_size);
    }
    else if (hint_name_equals(word, name_size, "max_age_ms")) {
        result->hint_max_age_ms = hint_parse_number(value, value_size);
    }
    else if (hint_name_equals(word, name_size, "deadline_ms")) {
        result->hint_deadline_ms = hint_parse_number(value, value_size);
    }
    else if (hint_name_equals(word, name_size, "repeatable")) {
        long number = hint_parse_number(value, value_size);
        result->hint_repeatable =
            number == 0 || number == 1 ? (int)number : -1;
    }
}

// Reads the words of a hint that classify_hint_get_size found.
void
classify_hint_parse(const char *text, size_t size_bytes,
                    struct classification *result)
{
    if (size_bytes == 0) {
        return;
    }
    const char *mark =
        memmem(text, size_bytes, HINT_MARKER, HINT_MARKER_BYTES);
    INVARIANT(mark != NULL);
    size_t at = (size_t)(mark - text) + HINT_MARKER_BYTES;
    size_t end = size_bytes - 2;

    while ((at = hint_skip_whitespace(text, at, end)) < end) {
        size_t start = at;
        while (at < end && strchr(HINT_WHITESPACE, text[at]) == NULL) {
            at++;
        }
        hint_apply_option(result, text + start, at - start);
    }
}
