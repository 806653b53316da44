#ifndef CATKINGRADE_DECIDE_GROUP_INDEX_H
#define CATKINGRADE_DECIDE_GROUP_INDEX_H

#include <stddef.h>

// A hash map with separate chaining. The key is a name and a letter for its
// kind, the value is a pointer that the map does not own.
struct group_index;

struct group_index *group_index_create(void);
void group_index_destroy(struct group_index *index);
void *group_index_get(const struct group_index *index, char kind,
                      const char *name);
// Adds a name or replaces its value. The name is copied.
void group_index_put(struct group_index *index, char kind, const char *name,
                     void *value);
void group_index_remove(struct group_index *index, char kind,
                        const char *name);

#endif
