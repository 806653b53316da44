#include "catkingrade/kernel/json_reader.h"

#include <inttypes.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>

#include "catkingrade/kernel/memory.h"
#include "catkingrade/kernel/outcome.h"

#define JSON_READER_MAX_DEPTH 24
#define JSON_READER_PATH_SIZE 512

static unsigned
json_reader_count_lines(const char *text, size_t offset)
{
    unsigned line = 1;

    for (size_t i = 0; i < offset && text[i] != '\0'; i++) {
        line += text[i] == '\n' ? 1 : 0;
    }
    return line;
}

static int
json_reader_parse(struct json_reader *reader, const char *text)
{
    struct json_tokener *tokener = json_tokener_new_ex(JSON_READER_MAX_DEPTH);

    INVARIANT(tokener != NULL);
    // Includes the terminating zero byte, which completes a number or comment
    // at the end of the text.
    reader->root = json_tokener_parse_ex(tokener, text, (int)strlen(text) + 1);
    enum json_tokener_error error = json_tokener_get_error(tokener);
    size_t offset = json_tokener_get_parse_end(tokener);
    json_tokener_free(tokener);
    if (error != json_tokener_success) {
        buffer_append_format(reader->errors, "%s:%u: %s\n", reader->file,
                             json_reader_count_lines(text, offset),
                             json_tokener_error_desc(error));
        return OUTCOME_INVALID;
    }
    if (!json_object_is_type(reader->root, json_type_object)) {
        buffer_append_format(reader->errors, "%s:1: must be an object\n",
                             reader->file);
        return OUTCOME_INVALID;
    }
    if (offset < strlen(text)) {
        reader->rest_line = json_reader_count_lines(text, offset);
    }
    return OUTCOME_OK;
}

// Parses a JSON text and checks it for duplicate keys. Returns OUTCOME_OK, or
// OUTCOME_INVALID with lines appended to errors. The caller closes the reader
// in either case; file and errors must outlive it.
int
json_reader_open(struct json_reader *reader, const char *file,
                 const char *text, struct buffer *errors)
{
    memset(reader, 0, sizeof(*reader));
    reader->file = file;
    reader->errors = errors;
    reader->index = json_index_create(text);
    int outcome = json_reader_parse(reader, text);
    if (outcome == OUTCOME_OK) {
        outcome = json_index_check_duplicates(reader->index, file, errors);
    }
    reader->failed = outcome != OUTCOME_OK;
    return outcome;
}

// Frees the parsed document and the index.
void
json_reader_close(struct json_reader *reader)
{
    json_object_put(reader->root);
    json_index_destroy(reader->index);
    memset(reader, 0, sizeof(*reader));
}

// Appends an error line for a path and marks the reader as failed.
void
json_reader_add_error(struct json_reader *reader, const char *path,
                      const char *format, ...)
{
    char text[512];
    va_list args;

    va_start(args, format);
    (void)vsnprintf(text, sizeof(text), format, args);
    va_end(args);
    buffer_append_format(reader->errors, "%s:%u: %s: %s\n", reader->file,
                         json_index_find_line(reader->index, path), path,
                         text);
    reader->failed = true;
}

static void
json_reader_join(char *joined, const char *path, const char *key)
{
    (void)snprintf(joined, JSON_READER_PATH_SIZE, "%s%s%s", path,
                   path[0] == '\0' ? "" : ".", key);
}

// Adds an error for each text below a value that has a zero byte.
static void
json_reader_check_value(struct json_reader *reader, struct json_object *value,
                        const char *path)
{
    char joined[JSON_READER_PATH_SIZE];

    if (json_object_is_type(value, json_type_string) &&
        strlen(json_object_get_string(value)) !=
            (size_t)json_object_get_string_len(value)) {
        json_reader_add_error(reader, path, "must not have a zero byte");
    }
    if (json_object_is_type(value, json_type_array)) {
        for (size_t i = 0; i < json_object_array_length(value); i++) {
            (void)snprintf(joined, sizeof(joined), "%s[%zu]", path, i);
            json_reader_check_value(
                reader, json_object_array_get_idx(value, i), joined);
        }
    }
    if (json_object_is_type(value, json_type_object)) {
        json_object_object_foreach(value, key, member)
        {
            json_reader_join(joined, path, key);
            json_reader_check_value(reader, member, joined);
        }
    }
}

// Adds an error for each text that has a zero byte, at which all other
// functions end it, and one if anything but blanks and comments follows the
// object. Documents that control groups have accepted are not checked, so that
// each version of this program reads them alike.
void
json_reader_check_whole(struct json_reader *reader)
{
    if (reader->rest_line != 0) {
        buffer_append_format(reader->errors,
                             "%s:%u: text follows the object\n", reader->file,
                             reader->rest_line);
        reader->failed = true;
    }
    json_reader_check_value(reader, reader->root, "");
}

// Returns a member, borrowed, or NULL if it is missing. A member of the wrong
// type also yields NULL and adds an error.
static struct json_object *
json_reader_find(struct json_reader *reader, struct json_object *object,
                 const char *path, const char *key, enum json_type type,
                 const char *type_text)
{
    char joined[JSON_READER_PATH_SIZE];
    struct json_object *member = NULL;

    if (!json_object_object_get_ex(object, key, &member)) {
        return NULL;
    }
    if (!json_object_is_type(member, type)) {
        json_reader_join(joined, path, key);
        json_reader_add_error(reader, joined, "must be %s", type_text);
        return NULL;
    }
    return member;
}

// Adds an error for each member of object whose key is not in keys, a list
// that ends with NULL. Returns whether all keys are known.
bool
json_reader_check_keys(struct json_reader *reader, struct json_object *object,
                       const char *path, const char *const *keys)
{
    bool all_known = true;

    json_object_object_foreach(object, member_key, member)
    {
        size_t i = 0;
        (void)member;
        while (keys[i] != NULL && strcmp(keys[i], member_key) != 0) {
            i++;
        }
        if (keys[i] == NULL) {
            char joined[JSON_READER_PATH_SIZE];
            json_reader_join(joined, path, member_key);
            json_reader_add_error(reader, joined, "unknown key");
            all_known = false;
        }
    }
    return all_known;
}

// Returns a copy of a string member, or of fallback, which the caller frees.
// Returns NULL if both are missing. A missing required member adds an error.
char *
json_reader_get_text(struct json_reader *reader, struct json_object *object,
                     const char *path, const char *key, const char *fallback,
                     bool required)
{
    char joined[JSON_READER_PATH_SIZE];
    struct json_object *member = json_reader_find(reader, object, path, key,
                                                  json_type_string, "a text");

    if (member != NULL) {
        return xstrdup(json_object_get_string(member));
    }
    if (required && !json_object_object_get_ex(object, key, &member)) {
        json_reader_join(joined, path, key);
        json_reader_add_error(reader, joined, "missing");
    }
    return fallback == NULL ? NULL : xstrdup(fallback);
}

// Returns an integer member, or fallback. A value outside min to max adds an
// error and yields fallback.
int64_t
json_reader_get_number(struct json_reader *reader, struct json_object *object,
                       const char *path, const char *key, int64_t fallback,
                       int64_t min, int64_t max)
{
    char joined[JSON_READER_PATH_SIZE];
    struct json_object *member = json_reader_find(
        reader, object, path, key, json_type_int, "a whole number");

    if (member == NULL) {
        return fallback;
    }
    int64_t value = json_object_get_int64(member);
    if (value < min || value > max) {
        json_reader_join(joined, path, key);
        json_reader_add_error(reader, joined,
                              "%" PRId64 " is out of range; allowed are "
                              "%" PRId64 " to %" PRId64,
                              value, min, max);
        return fallback;
    }
    return value;
}

// Returns a member that is a number with or without a fraction, or fallback. A
// value outside min to max adds an error and yields fallback.
double
json_reader_get_fraction(struct json_reader *reader,
                         struct json_object *object, const char *path,
                         const char *key, double fallback, double min,
                         double max)
{
    char joined[JSON_READER_PATH_SIZE];
    struct json_object *member = NULL;

    if (!json_object_object_get_ex(object, key, &member)) {
        return fallback;
    }
    double value = json_object_get_double(member);
    if ((json_object_is_type(member, json_type_int) ||
         json_object_is_type(member, json_type_double)) &&
        value >= min && value <= max) {
        return value;
    }
    json_reader_join(joined, path, key);
    json_reader_add_error(reader, joined, "must be a number from %g to %g",
                          min, max);
    return fallback;
}

// Returns a boolean member, or fallback.
bool
json_reader_get_bool(struct json_reader *reader, struct json_object *object,
                     const char *path, const char *key, bool fallback)
{
    struct json_object *member = json_reader_find(
        reader, object, path, key, json_type_boolean, "true or false");

    return member == NULL ? fallback : json_object_get_boolean(member) != 0;
}

// Returns the index of a string member's value in choices, a list that ends
// with NULL, or fallback. A value that is not in choices adds an error and
// yields fallback.
int
json_reader_get_choice(struct json_reader *reader, struct json_object *object,
                       const char *path, const char *key,
                       const char *const *choices, int fallback)
{
    char joined[JSON_READER_PATH_SIZE];
    struct buffer list = {0};
    struct json_object *member = json_reader_find(reader, object, path, key,
                                                  json_type_string, "a text");

    if (member == NULL) {
        return fallback;
    }
    const char *value = json_object_get_string(member);
    for (int i = 0; choices[i] != NULL; i++) {
        if (strcmp(choices[i], value) == 0) {
            buffer_free(&list);
            return i;
        }
        buffer_append_format(&list, "%s%s", i == 0 ? "" : ", ", choices[i]);
    }
    json_reader_join(joined, path, key);
    json_reader_add_error(reader, joined, "\"%s\" is not one of %.*s", value,
                          (int)buffer_get_size(&list),
                          (const char *)buffer_get_data(&list));
    buffer_free(&list);
    return fallback;
}

// Returns an object member, borrowed, or NULL.
struct json_object *
json_reader_get_object(struct json_reader *reader, struct json_object *object,
                       const char *path, const char *key)
{
    return json_reader_find(reader, object, path, key, json_type_object,
                            "an object");
}

// Returns an array member, borrowed, or NULL.
struct json_object *
json_reader_get_array(struct json_reader *reader, struct json_object *object,
                      const char *path, const char *key)
{
    return json_reader_find(reader, object, path, key, json_type_array,
                            "a list");
}
