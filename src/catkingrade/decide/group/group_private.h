#ifndef CATKINGRADE_DECIDE_GROUP_PRIVATE_H
#define CATKINGRADE_DECIDE_GROUP_PRIVATE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "catkingrade/decide/group/document.h"
#include "catkingrade/decide/group/group.h"
#include "catkingrade/decide/group/group_index.h"

// Internals of struct group_state that the group_*.c files share.

// Kinds of names in the index. Every object has one of the first seven kinds;
// the other kinds are secondary keys.
enum group_kind {
    GROUP_TEMPLATE = 'T',
    GROUP_CUSTOMER = 'C',
    GROUP_DAEMON = 'D',
    GROUP_DATABASE = 'B',
    GROUP_DECLARATION = 'S',     // at most one, GROUP_DECLARATION_NAME
    GROUP_PROMOTION = 'P',       // by database, until its term begins
    GROUP_HISTORY = 'H',         // by database, from its first promotion on
    GROUP_UPSTREAM = 'U',        // upstream name -> object of its database
    GROUP_ADDRESS = 'A',         // "host:port" -> object of the database
    GROUP_LISTED_DATABASE = 'L', // database name -> customer listing it
    GROUP_CHANGE_ID = 'I',       // change id -> recorded result
};

#define GROUP_DECLARATION_NAME "declaration"

// A named object with the revision of its last change. A doubly linked list
// holds all objects in ascending order of revision.
struct group_object {
    enum group_kind kind;
    char *name;
    uint64_t revision;
    bool removed; // tombstone, kept so that deltas report the removal
    struct group_object *older;
    struct group_object *newer;
    char *document; // JSON text, GROUP_TEMPLATE and GROUP_CUSTOMER
    struct document_customer expanded; // GROUP_CUSTOMER
    struct ck_daemon daemon;
    struct ck_database database;
    struct ck_packed_declaration declaration;
    bool has_customers; // GROUP_DECLARATION: it declares customers
    bool refuses_keys;  // GROUP_DECLARATION, see ck_declaration_in_force
    struct ck_primary_change promotion;
    struct ck_history history;
    bool declared; // GROUP_CUSTOMER made by a declaration; empty document
};

// The recorded result of a change with a change id. A retry of the change
// gets this result again and is not applied twice.
struct group_recorded_result {
    char *change_id;
    uint64_t fingerprint; // hash of the encoded change
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
    size_t databases_count; // without removed databases
    size_t daemons_count;
    struct group_recorded_result *results; // ring buffer
    size_t results_start;
    size_t results_count;
};

// The customers that a change of a template or customer document would change.
struct group_plan {
    struct group_object **customers;    // NULL: a new customer
    struct document_customer *expanded; // the new state of each customer
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
// Increments the group's revision, assigns it to the object and moves the
// object to the end of the list.
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

// group_documents.c: templates and customers.
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

// group_declaration.c
void group_apply_declaration(struct group_state *group,
                             const struct ck_packed_declaration *packed,
                             struct group_result *result);
int group_check_declaration(const struct group_state *group,
                            const struct ck_packed_declaration *packed,
                            struct group_result *result);
bool group_restore_declaration(struct group_object *object);
void group_restore_declared_customer(struct group_state *group,
                                     struct group_object *object);

// group_query_declared.c
int group_query_declared_customers(const struct group_state *group,
                                   const char *name, uint64_t cursor,
                                   struct buffer *json, uint64_t *next_cursor);

// group_routing.c: daemons, upstreams and terms.
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
void group_apply_promoted(struct group_state *group,
                          const struct ck_promoted_change *change,
                          struct group_result *result);
void group_apply_promotion(struct group_state *group,
                           const struct ck_primary_change *change,
                           struct group_result *result);

#endif
