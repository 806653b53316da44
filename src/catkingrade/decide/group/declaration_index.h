#ifndef CATKINGRADE_DECIDE_DECLARATION_INDEX_H
#define CATKINGRADE_DECIDE_DECLARATION_INDEX_H

#include <stddef.h>

#include "catkingrade/rpc/messages.h"

// The databases and routes of a declaration by name. Of several with the same
// name, the first one is found. The declaration must not change while its
// index is in use.
struct declaration_index;

struct declaration_index *
declaration_index_create(const struct ck_declaration *declaration);
void declaration_index_destroy(struct declaration_index *index);
const struct ck_declared_database *
declaration_index_find_database(const struct declaration_index *index,
                                const char *name);
const struct ck_route *
declaration_index_find_route(const struct declaration_index *index,
                             const char *name);
const struct ck_route *const *
declaration_index_list_routes(const struct declaration_index *index,
                              const char *database, size_t *count);

#endif
