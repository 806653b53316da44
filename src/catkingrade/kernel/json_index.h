#ifndef CATKINGRADE_KERNEL_JSON_INDEX_H
#define CATKINGRADE_KERNEL_JSON_INDEX_H

#include <stddef.h>

#include "catkingrade/kernel/buffer.h"

// Where each key of a JSON text with comments stands, as a dotted path with
// its line; json-c keeps neither lines nor duplicate keys.
struct json_index;

struct json_index *json_index_create(const char *text);
void json_index_destroy(struct json_index *index);
unsigned json_index_find_line(const struct json_index *index,
                              const char *path);
int json_index_check_duplicates(const struct json_index *index,
                                const char *file, struct buffer *errors);

#endif
