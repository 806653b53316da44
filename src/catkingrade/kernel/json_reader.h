#ifndef CATKINGRADE_KERNEL_JSON_READER_H
#define CATKINGRADE_KERNEL_JSON_READER_H

#include <json-c/json.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "catkingrade/kernel/buffer.h"
#include "catkingrade/kernel/json_index.h"

// Parser and validator for a JSON text with comments. The root must be an
// object. Each error is appended to errors as one line with file name, line
// number and dotted path, and sets failed.
struct json_reader {
    const char *file;
    struct json_index *index;
    struct json_object *root;
    struct buffer *errors;
    unsigned rest_line; // of the text that follows the object; 0: none
    bool failed;
};

int json_reader_open(struct json_reader *reader, const char *file,
                     const char *text, struct buffer *errors);
void json_reader_check_whole(struct json_reader *reader);
void json_reader_close(struct json_reader *reader);
void json_reader_add_error(struct json_reader *reader, const char *path,
                           const char *format, ...)
    __attribute__((format(printf, 3, 4)));

// In the functions below, path is the dotted path of object ("" for the root)
// and key is the name of the member. The json_reader_get functions return
// fallback or NULL for a missing member, and also for a member of the wrong
// type, which adds an error.
bool json_reader_check_keys(struct json_reader *reader,
                            struct json_object *object, const char *path,
                            const char *const *keys);
char *json_reader_get_text(struct json_reader *reader,
                           struct json_object *object, const char *path,
                           const char *key, const char *fallback,
                           bool required);
int64_t json_reader_get_number(struct json_reader *reader,
                               struct json_object *object, const char *path,
                               const char *key, int64_t fallback, int64_t min,
                               int64_t max);
double json_reader_get_fraction(struct json_reader *reader,
                                struct json_object *object, const char *path,
                                const char *key, double fallback, double min,
                                double max);
bool json_reader_get_bool(struct json_reader *reader,
                          struct json_object *object, const char *path,
                          const char *key, bool fallback);
int json_reader_get_choice(struct json_reader *reader,
                           struct json_object *object, const char *path,
                           const char *key, const char *const *choices,
                           int fallback);
struct json_object *json_reader_get_object(struct json_reader *reader,
                                           struct json_object *object,
                                           const char *path, const char *key);
struct json_object *json_reader_get_array(struct json_reader *reader,
                                          struct json_object *object,
                                          const char *path, const char *key);

#endif
