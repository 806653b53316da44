#ifndef CATKINGRADE_DECIDE_GROUP_H
#define CATKINGRADE_DECIDE_GROUP_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "catkingrade/kernel/buffer.h"
#include "catkingrade/rpc/messages.h"

#define GROUP_FLEET_NAME           "fleet"
#define GROUP_MAX_RECORDED_RESULTS 20000
#define GROUP_DELTA_MAX_SIZE_BYTES 40000

// The replicated state of one control group: templates, customers, daemons
// and databases with their upstreams and terms. It changes only through
// group_apply, so every voter that applied the same entries holds the same
// state. Each object that changes takes the next revision of the group.
struct group_state;

// What an applied change came to. revision is that of the object changed, or
// on OUTCOME_CONFLICT the one that it has now.
struct group_result {
    int outcome;
    uint64_t revision;
    bool replayed; // an earlier answer to the same change id
    char message[512];
};

// Answers whether an entry serves a database; NULL stands for all.
typedef bool (*group_serves_fn)(void *data,
                                const struct ck_database *database);

struct group_delta_filter {
    group_serves_fn serves;
    void *data;
    size_t max_size_bytes; // 0: GROUP_DELTA_MAX_SIZE_BYTES
};

// Calls of group_visit_*; returning false ends the visit.
typedef bool (*group_visit_database_fn)(void *data,
                                        const struct ck_database *database);
typedef bool (*group_visit_customer_fn)(void *data,
                                        const struct ck_customer *customer);
typedef bool (*group_visit_daemon_fn)(void *data,
                                      const struct ck_daemon *daemon);

struct group_state *group_create(const char *name);
void group_destroy(struct group_state *group);
void group_apply(struct group_state *group, uint64_t index,
                 const void *payload_bytes, size_t size_bytes,
                 struct group_result *result);
// The same for a payload that is already decoded.
void group_apply_payload(struct group_state *group, uint64_t index,
                         const struct ck_log_payload *payload,
                         struct group_result *result);
// Judges a change without making it; effect gets the lines that an operator
// is shown. Used for dry runs and before a proposal.
void group_check(const struct group_state *group,
                 const struct ck_apply_args *args, struct group_result *result,
                 struct buffer *effect);

bool group_check_upstream(const struct group_state *group,
                          const struct ck_upstream *upstream,
                          struct group_result *result);

// Puts the limits that the customer sets in place of the announced ones.
void group_override_upstream_limits(const struct group_state *group,
                                    struct ck_upstream *upstream);

// The declaration in force, NULL before the first.
const struct ck_packed_declaration *
group_get_declaration(const struct group_state *group);

void group_encode(const struct group_state *group, struct buffer *out);
// Returns NULL when the bytes are no snapshot of this group.
struct group_state *group_decode(const char *name, const void *data,
                                 size_t size_bytes);

// Fills a delta whose texts are borrowed from the state: it is valid until
// the next change and its lists are freed with group_delta_clear.
void group_fill_delta(const struct group_state *group, uint64_t from_revision,
                      const struct group_delta_filter *filter,
                      struct ck_view_delta *out);
void group_delta_clear(struct ck_view_delta *delta);

// Writes a JSON array of one page to json; returns the next cursor, 0 at the
// end, or OUTCOME_NOT_SUPPORTED for a kind that no group answers.
int group_query(const struct group_state *group, enum ck_query_kind kind,
                const char *name, uint64_t cursor, struct buffer *json,
                uint64_t *next_cursor);

const char *group_get_name(const struct group_state *group);
uint64_t group_get_revision(const struct group_state *group);
uint64_t group_get_applied_index(const struct group_state *group);
size_t group_get_databases_count(const struct group_state *group);
size_t group_get_daemons_count(const struct group_state *group);

// Lookups; NULL when there is none. Borrowed until the next change.
const struct ck_database *group_find_database(const struct group_state *group,
                                              const char *name);
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
// The control group that decides a database, by its customer's document, also
// before the first upstream announced itself; NULL when no customer lists it.
const char *group_find_deciding_group(const struct group_state *group,
                                      const char *database);

void group_visit_databases(const struct group_state *group,
                           group_visit_database_fn visit, void *data);
void group_visit_customers(const struct group_state *group,
                           group_visit_customer_fn visit, void *data);
void group_visit_daemons(const struct group_state *group,
                         group_visit_daemon_fn visit, void *data);

#endif
