#ifndef CATKINGRADE_KERNEL_JSON_INDEX_H
#define CATKINGRADE_KERNEL_JSON_INDEX_H

#include <stddef.h>

#include "catkingrade/kernel/buffer.h"

// An index of the keys in a JSON text with comments: the dotted path of each
// key and its line number. Error messages and the check for duplicate keys
// need it, because json-c keeps neither line numbers nor duplicate keys.
struct json_index;

struct json_index *json_index_create(const char *text);
void json_index_destroy(struct json_index *index);
unsigned json_index_find_line(const struct json_index *index,
                              const char *path);
int json_index_check_duplicates(const struct json_index *index,
                                const char *file, struct buffer *errors);

#endif
