#ifndef CATKINGRADE_ENTRY_VIEW_H
#define CATKINGRADE_ENTRY_VIEW_H

#include <stddef.h>
#include <stdint.h>

#include "catkingrade/entry/declared_customers.h"
#include "catkingrade/kernel/buffer.h"
#include "catkingrade/rpc/messages.h"

// View: an immutable snapshot of the customers, databases, routes and declared
// customers that an entry serves. It is reference counted with an atomic
// count; threads share it and switch to a newer view by replacing their
// pointer. The revision of each control group never decreases from one view to
// the next.
struct view;

struct view *view_create(void);
struct view *view_retain(struct view *view);
void view_release(struct view *view);
struct view *view_apply_delta(const struct view *view, const char *group,
                              const struct ck_view_delta *delta);
uint64_t view_get_revision(const struct view *view, const char *group);
const struct ck_database *view_find_database(const struct view *view,
                                             const char *name);
const struct ck_customer *view_find_customer(const struct view *view,
                                             const char *name);
const struct ck_route *view_find_route(const struct view *view,
                                       const char *name);
const struct ck_declared *view_get_declared(const struct view *view);
const struct declared_customers *
view_get_declared_customers(const struct view *view);
uint64_t view_get_access_version(const struct view *view);
size_t view_get_databases_count(const struct view *view);
const struct ck_database *view_get_database(const struct view *view,
                                            size_t index);
struct view *view_load(const char *path, struct buffer *errors);

#endif
