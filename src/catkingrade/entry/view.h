#ifndef CATKINGRADE_ENTRY_VIEW_H
#define CATKINGRADE_ENTRY_VIEW_H

#include <stddef.h>
#include <stdint.h>

#include "catkingrade/kernel/buffer.h"
#include "catkingrade/rpc/messages.h"

// What an entry serves: an immutable snapshot of customers and databases with
// a count of its holders; threads swap it by pointer. The revisions of the
// control groups only grow from one view to the next.
struct view;

struct view *view_create(void);
struct view *view_retain(struct view *view);
void view_release(struct view *view);
// Returns a new view with a group's delta applied, or NULL when the delta
// does not join on (its from_revision is above the group's revision here).
struct view *view_apply_delta(const struct view *view, const char *group,
                              const struct ck_view_delta *delta);
uint64_t view_get_revision(const struct view *view, const char *group);
const struct ck_database *view_find_database(const struct view *view,
                                             const char *name);
const struct ck_customer *view_find_customer(const struct view *view,
                                             const char *name);
const struct ck_declaration *view_get_declaration(const struct view *view,
                                                  uint64_t *number);
size_t view_get_databases_count(const struct view *view);
const struct ck_database *view_get_database(const struct view *view,
                                            size_t place);
// Reads a static view from a JSON file; NULL with lines in errors on failure.
struct view *view_load(const char *path, struct buffer *errors);

#endif
