#ifndef CATKINGRADE_DECIDE_GROUP_PRIVATE_H
#define CATKINGRADE_DECIDE_GROUP_PRIVATE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "catkingrade/decide/document.h"
#include "catkingrade/decide/group.h"
#include "catkingrade/decide/group_index.h"

// Kinds of names in the index. The first five own their objects.
enum group_kind {
    GROUP_TEMPLATE = 'T',
    GROUP_CUSTOMER = 'C',
    GROUP_DAEMON = 'D',
    GROUP_DATABASE = 'B',
    GROUP_DECLARATION = 'S', // at most one, of the name below
    GROUP_UPSTREAM = 'U',    // to the object of its database
    GROUP_ADDRESS = 'A',     // "host:port", to the object of its database
    GROUP_LISTED_DATABASE =
        'L', // a database's name, to the customer that lists it
    GROUP_CHANGE_ID = 'I',
};

#define GROUP_DECLARATION_NAME "declaration"

// A named thing with the revision of its last change. All objects stand in
// one list in the order of their revisions.
struct group_object {
    enum group_kind kind;
    char *name;
    uint64_t revision;
    bool removed; // entries still have to learn it
    struct group_object *older;
    struct group_object *newer;
    char *document;                    // of a template or customer
    struct document_customer expanded; // GROUP_CUSTOMER
    struct ck_daemon daemon;
    struct ck_database database;
    struct ck_packed_declaration declaration;
    bool declared; // GROUP_CUSTOMER: by a declaration, without a document
};

// The outcome of a change whose id is remembered.
struct group_recorded_result {
    char *change_id;
    uint64_t fingerprint; // of the change
    uint64_t revision;
    int outcome;
    char *message;
};

struct group_state {
    char *name;
    uint64_t revision;
    uint64_t applied_index;
    struct group_index *index;
    struct group_object *oldest;
    struct group_object *newest;
    size_t databases_count; // that are not removed
    size_t daemons_count;
    struct group_recorded_result *remembered; // a ring
    size_t results_start;
    size_t results_count;
};

// What a change of a template or customer will do, before it is done.
struct group_plan {
    struct group_object **customers; // NULL: a new one
    struct document_customer *expanded;
    size_t count;
};

void group_result_set(struct group_result *result, int outcome,
                      uint64_t revision, const char *format, ...)
    __attribute__((format(printf, 4, 5)));

struct group_object *group_find(const struct group_state *group,
                                enum group_kind kind, const char *name);
struct group_object *group_add(struct group_state *group, enum group_kind kind,
                               const char *name);
void group_free_object(struct group_object *object);
void group_delete(struct group_state *group, struct group_object *object);
// Gives the object the next revision and moves it to the end of the list.
uint64_t group_assign_revision(struct group_state *group,
                               struct group_object *object);
void group_link(struct group_state *group, struct group_object *object);
struct ck_upstream *
group_find_member_upstream(const struct ck_database *database,
                           const char *name);
void group_format_address(char text[96], const char *host, unsigned port);
void group_index_database(struct group_state *group,
                          struct group_object *object);
void group_index_customer(struct group_state *group,
                          struct group_object *object);
void group_record_result(struct group_state *group, const char *change_id,
                         uint64_t fingerprint,
                         const struct group_result *result);

// Documents: templates and customers.
int group_plan_document(const struct group_state *group,
                        const struct ck_change *change,
                        struct group_plan *plan, struct buffer *effect,
                        struct group_result *result);
void group_plan_clear(struct group_plan *plan);
void group_apply_document(struct group_state *group,
                          const struct ck_change *change,
                          struct group_result *result);
void group_apply_template_delete(struct group_state *group, const char *name,
                                 struct group_result *result);
int group_check_template_delete(const struct group_state *group,
                                const char *name, struct group_result *result);
void group_apply_customer_state(struct group_state *group,
                                const struct ck_customer_state_change *change,
                                struct group_result *result);
int group_check_customer_state(const struct group_state *group,
                               const struct ck_customer_state_change *change,
                               struct group_result *result);

void group_set_database_listed(struct group_state *group, const char *database,
                               bool listed);

// Declarations.
void group_apply_declaration(struct group_state *group,
                             const struct ck_packed_declaration *packed,
                             struct group_result *result);
int group_check_declaration(const struct group_state *group,
                            const struct ck_packed_declaration *packed,
                            struct group_result *result);
void group_restore_declared_customer(struct group_state *group,
                                     struct group_object *object);

// Routing: daemons, upstreams and terms.
void group_apply_daemon(struct group_state *group,
                        const struct ck_daemon *daemon,
                        struct group_result *result);
void group_apply_daemon_expire(struct group_state *group,
                               const struct ck_daemon *daemon,
                               struct group_result *result);
void group_apply_upstream(struct group_state *group,
                          const struct ck_upstream *announced,
                          struct group_result *result);
void group_apply_upstream_expire(struct group_state *group,
                                 const struct ck_upstream *upstream,
                                 struct group_result *result);
void group_apply_supersede(struct group_state *group,
                           const struct ck_supersede_change *change,
                           struct group_result *result);
void group_apply_primary(struct group_state *group,
                         const struct ck_primary_change *change,
                         struct group_result *result);

#endif
