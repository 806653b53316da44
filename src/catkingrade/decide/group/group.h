#ifndef CATKINGRADE_DECIDE_GROUP_H
#define CATKINGRADE_DECIDE_GROUP_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "catkingrade/kernel/buffer.h"
#include "catkingrade/rpc/messages.h"

// Main header of decide/group: the replicated state of a control group, that
// is its customers, databases, upstreams, daemons and declaration, and how
// each change in the log affects it.

// The control group that publishes customers. It also decides a database whose
// customer names no control group.
#define GROUP_FLEET_NAME "fleet"
// Sequence of an upstream that has left for good: above that of any
// announcement of its incarnation, which therefore counts as stale.
#define GROUP_SEQUENCE_WITHDRAWN UINT64_MAX
// Number of changes with a change id whose result is kept for retries.
#define GROUP_MAX_RECORDED_RESULTS 20000
// The replicated state machine of one control group: templates, customers,
// daemons, the declaration, and databases with their upstreams and terms.
// Only group_apply and group_apply_payload change the state, so all voters
// that applied the same log entries have the same state. Each change of an
// object increments the group's revision and assigns it to the object.
struct group_state;

// The result of an applied change. revision is the revision of the changed
// object; for OUTCOME_CONFLICT it is the object's current revision.
struct group_result {
    int outcome;
    uint64_t revision;
    bool replayed; // recorded result of an earlier change with this id
    char message[512];
};

// Callbacks of the group_visit_* functions; returning false ends the
// iteration.
typedef bool (*group_visit_database_fn)(void *data,
                                        const struct ck_database *database);
typedef bool (*group_visit_customer_fn)(void *data,
                                        const struct ck_customer *customer);
typedef bool (*group_visit_daemon_fn)(void *data,
                                      const struct ck_daemon *daemon);

// Gets the name of a database that has changed or was removed, or the name of
// the VM of a daemon that was registered or has changed.
typedef void (*group_visit_change_fn)(void *data, bool is_daemon,
                                      const char *name);

struct group_state *group_create(const char *name);
void group_destroy(struct group_state *group);
void group_apply(struct group_state *group, uint64_t index,
                 const void *payload_bytes, size_t size_bytes,
                 struct group_result *result);
// Like group_apply, for a payload that is already decoded.
void group_apply_payload(struct group_state *group, uint64_t index,
                         const struct ck_log_payload *payload,
                         struct group_result *result);
// Validates a change without applying it and appends a description of its
// effects for the operator to effect. Used for dry runs and before a change is
// proposed to the Raft log.
void group_check(const struct group_state *group,
                 const struct ck_apply_args *args, struct group_result *result,
                 struct buffer *effect);

// Checks whether an announced upstream may be added or updated; if not, result
// has the reason.
bool group_check_upstream(const struct group_state *group,
                          const struct ck_upstream *upstream,
                          struct group_result *result);

// Replaces the limits that the upstream announced by those of its customer, if
// the customer sets any.
bool group_is_same_upstream(const struct ck_upstream *left,
                            const struct ck_upstream *right);
void group_override_upstream_limits(const struct group_state *group,
                                    struct ck_upstream *upstream);

// Returns the declaration in force, or NULL before the first one.
const struct ck_packed_declaration *
group_get_declaration(const struct group_state *group);

// Appends a snapshot of the state to out.
void group_encode(const struct group_state *group, struct buffer *out);
// Restores a state from a snapshot. Returns NULL if data is not a valid
// snapshot of the group with this name.
struct group_state *group_decode(const char *name, const void *data,
                                 size_t size_bytes);

// Appends one page of objects to json as a JSON array and sets *next_cursor to
// the start of the next page, or 0 after the last page. An empty name selects
// all objects of the kind. Returns OUTCOME_OK, or OUTCOME_NOT_SUPPORTED for a
// kind that is not part of the group's state.
int group_query(const struct group_state *group, enum ck_query_kind kind,
                const char *name, uint64_t cursor, struct buffer *json,
                uint64_t *next_cursor);

const char *group_get_name(const struct group_state *group);
uint64_t group_get_revision(const struct group_state *group);
uint64_t group_get_applied_index(const struct group_state *group);
size_t group_get_databases_count(const struct group_state *group);
size_t group_get_daemons_count(const struct group_state *group);

// Lookups. They return NULL if the object does not exist or was removed. The
// returned object is borrowed until the next change.
const struct ck_database *group_find_database(const struct group_state *group,
                                              const char *name);
const struct ck_primary_change *
group_find_promotion(const struct group_state *group, const char *database);
const struct ck_history *group_find_history(const struct group_state *group,
                                            const char *database);
const struct ck_customer *group_find_customer(const struct group_state *group,
                                              const char *name);
const struct ck_customer *
group_find_customer_of_database(const struct group_state *group,
                                const char *database);
const struct ck_daemon *group_find_daemon(const struct group_state *group,
                                          const char *vm);
const struct ck_upstream *group_find_upstream(const struct group_state *group,
                                              const char *name);
const struct ck_upstream *
group_find_upstream_at(const struct group_state *group, const char *host,
                       unsigned port);
const char *group_find_template_document(const struct group_state *group,
                                         const char *name);
// Returns the control group that decides a database, that is, holds its
// upstreams and terms. The customer that lists the database determines the
// group, so it is known before the first upstream of the database announces
// itself. Returns NULL if no customer lists the database.
const char *group_find_deciding_group(const struct group_state *group,
                                      const char *database);

void group_visit_databases(const struct group_state *group,
                           group_visit_database_fn visit, void *data);
void group_visit_customers(const struct group_state *group,
                           group_visit_customer_fn visit, void *data);
void group_visit_daemons(const struct group_state *group,
                         group_visit_daemon_fn visit, void *data);
// Calls visit for each database and daemon that changed after a revision.
// Daemons that have expired are not visited.
void group_visit_changes(const struct group_state *group, uint64_t revision,
                         group_visit_change_fn visit, void *data);

#endif
