#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "catkingrade/decide/group/group_private.h"
#include "catkingrade/kernel/memory.h"
#include "catkingrade/kernel/outcome.h"
#include "catkingrade/rpc/codec.h"

// Applies the changes that daemons and the coordinator make: registered
// daemons, announced upstreams, and the terms of databases with their primary.

// Sets a result, of success or of failure, with an unformatted message.
static void
group_result_set_text(struct group_result *result, int outcome,
                      uint64_t revision, const char *message)
{
    group_result_set(result, outcome, revision, "%s", message);
}

static bool
group_daemons_equal(const struct ck_daemon *left,
                    const struct ck_daemon *right)
{
    return left->incarnation == right->incarnation &&
           left->port == right->port && left->roles == right->roles &&
           strcmp(left->host, right->host) == 0 &&
           strcmp(left->failure_domain, right->failure_domain) == 0;
}

// Registers a daemon or updates its incarnation, address, failure domain or
// roles.
void
group_apply_daemon(struct group_state *group, const struct ck_daemon *daemon,
                   struct group_result *result)
{
    if (daemon->vm[0] == '\0') {
        group_result_set_text(result, OUTCOME_INVALID, 0,
                              "a daemon needs a VM name");
        return;
    }
    struct group_object *object = group_find(group, GROUP_DAEMON, daemon->vm);
    if (object != NULL && group_daemons_equal(&object->daemon, daemon)) {
        group_result_set_text(result, OUTCOME_OK, object->revision,
                              "no change");
        return;
    }
    if (object == NULL) {
        object = group_add(group, GROUP_DAEMON, daemon->vm);
        group->daemons_count++;
    }
    codec_free((xdrproc_t)xdr_ck_daemon, &object->daemon);
    codec_copy((xdrproc_t)xdr_ck_daemon, daemon, &object->daemon,
               sizeof(object->daemon));
    group_result_set_text(result, OUTCOME_OK,
                          group_assign_revision(group, object), "registered");
}

// Removes an expired daemon. A daemon that has registered again with another
// incarnation in the meantime is kept; result is then OUTCOME_NOT_FOUND.
void
group_apply_daemon_expire(struct group_state *group,
                          const struct ck_daemon *daemon,
                          struct group_result *result)
{
    struct group_object *object = group_find(group, GROUP_DAEMON, daemon->vm);

    if (object == NULL || object->daemon.incarnation != daemon->incarnation) {
        group_result_set_text(result, OUTCOME_NOT_FOUND, 0,
                              "no such incarnation");
        return;
    }
    uint64_t revision = group_assign_revision(group, object);
    group->daemons_count--;
    group_delete(group, object);
    group_result_set_text(result, OUTCOME_OK, revision, "expired");
}

// Checks an announced upstream against its customer and the other upstreams.
// Returns whether it may be added or updated; if not, result has the reason.
// An upstream that started later takes over an address that is in use.
bool
group_check_upstream(const struct group_state *group,
                     const struct ck_upstream *upstream,
                     struct group_result *result)
{
    const char *deciding =
        group_find_deciding_group(group, upstream->database);
    const struct group_object *object =
        group_find(group, GROUP_UPSTREAM, upstream->name);
    const struct ck_upstream *existing =
        group_find_upstream(group, upstream->name);
    const struct ck_upstream *at_address =
        group_find_upstream_at(group, upstream->host, upstream->port);

    if (deciding == NULL) {
        group_result_set(result, OUTCOME_NOT_FOUND, 0,
                         "no customer lists database \"%s\"",
                         upstream->database);
    }
    else if (strcmp(deciding, group->name) != 0) {
        group_result_set(result, OUTCOME_INVALID, 0,
                         "database \"%s\" is decided by control group %s",
                         upstream->database, deciding);
    }
    else if (object != NULL && strcmp(object->name, upstream->database) != 0) {
        group_result_set(result, OUTCOME_CONFLICT, object->revision,
                         "upstream %s belongs to database %s", upstream->name,
                         object->name);
    }
    else if (existing != NULL && object != NULL &&
             upstream->incarnation < existing->incarnation) {
        group_result_set(result, OUTCOME_CONFLICT, object->revision,
                         "upstream %s has started again since",
                         upstream->name);
    }
    else if (at_address != NULL &&
             strcmp(at_address->name, upstream->name) != 0 &&
             upstream->incarnation <= at_address->incarnation) {
        group_result_set(result, OUTCOME_CONFLICT, 0,
                         "address %s:%u is that of upstream %s",
                         upstream->host, upstream->port, at_address->name);
    }
    else if (object != NULL && existing != NULL &&
             strcmp(existing->failure_domain, upstream->failure_domain) != 0) {
        group_result_set(result, OUTCOME_CONFLICT, object->revision,
                         "upstream %s is in failure domain %s", upstream->name,
                         existing->failure_domain);
    }
    else if (upstream->name[0] == '\0' || upstream->host[0] == '\0' ||
             upstream->port == 0 || upstream->port > UINT16_MAX) {
        group_result_set(result, OUTCOME_INVALID, 0,
                         "an upstream needs a name, an IP number and a port");
    }
    else {
        return true;
    }
    return false;
}

// Returns whether two records of an upstream differ in nothing but their
// sequence numbers.
bool
group_is_same_upstream(const struct ck_upstream *left,
                       const struct ck_upstream *right)
{
    return left->port == right->port && left->slots == right->slots &&
           left->connections == right->connections &&
           left->state == right->state &&
           left->incarnation == right->incarnation &&
           strcmp(left->host, right->host) == 0;
}

static struct ck_upstream *
group_add_upstream(struct ck_database *database)
{
    u_int count = database->upstreams.upstreams_len + 1;

    database->upstreams.upstreams_val = xrealloc(
        database->upstreams.upstreams_val, count * sizeof(struct ck_upstream));
    database->upstreams.upstreams_len = count;
    struct ck_upstream *upstream =
        &database->upstreams.upstreams_val[count - 1];
    memset(upstream, 0, sizeof(*upstream));
    return upstream;
}

// Adds a database when the first of its upstreams is announced.
static struct group_object *
group_add_database(struct group_state *group, const char *name)
{
    struct group_object *object = group_add(group, GROUP_DATABASE, name);
    const struct group_object *customer =
        group_find(group, GROUP_LISTED_DATABASE, name);

    object->database.name = xstrdup(name);
    object->database.customer = xstrdup(customer->name);
    object->database.group = xstrdup(group->name);
    object->database.primary = xstrdup("");
    group->databases_count++;
    return object;
}

// Removes an upstream's address from the index, unless another upstream uses
// the address.
static void
group_remove_address(struct group_state *group,
                     const struct ck_upstream *upstream)
{
    char address[96];
    const struct ck_upstream *at_address =
        group_find_upstream_at(group, upstream->host, upstream->port);

    if (at_address == upstream) {
        group_format_address(address, upstream->host, upstream->port);
        group_index_remove(group->index, GROUP_ADDRESS, address);
    }
}

// Replaces the announced limits of an upstream by the connection limit of its
// customer, if the customer sets one. The number of statements that run at
// once is then bounded by the connection limit alone.
void
group_override_upstream_limits(const struct group_state *group,
                               struct ck_upstream *upstream)
{
    const struct ck_customer *customer =
        group_find_customer_of_database(group, upstream->database);

    if (customer != NULL && customer->connections > 0) {
        upstream->connections = customer->connections;
        upstream->slots = customer->connections;
    }
}

// Marks another upstream that is registered at the address of the given,
// later started upstream as lost.
static void
group_expire_replaced_upstream(struct group_state *group,
                               const struct ck_upstream *upstream)
{
    const struct ck_upstream *at_address =
        group_find_upstream_at(group, upstream->host, upstream->port);

    if (at_address == NULL || strcmp(at_address->name, upstream->name) == 0) {
        return;
    }
    struct group_object *object =
        group_find(group, GROUP_UPSTREAM, at_address->name);
    struct ck_upstream *old =
        group_find_member_upstream(&object->database, at_address->name);
    group_remove_address(group, old);
    old->state = CK_UPSTREAM_LOST;
    (void)group_assign_revision(group, object);
}

// Adds an announced upstream to its database or updates its address, limits,
// state or incarnation.
void
group_apply_upstream(struct group_state *group,
                     const struct ck_upstream *announced,
                     struct group_result *result)
{
    struct ck_upstream limited = *announced;

    if (!group_check_upstream(group, announced, result)) {
        return;
    }
    const struct ck_upstream *upstream = &limited;
    group_override_upstream_limits(group, &limited);
    group_expire_replaced_upstream(group, upstream);
    struct group_object *object =
        group_find(group, GROUP_DATABASE, upstream->database);
    if (object == NULL) {
        object = group_add_database(group, upstream->database);
    }
    struct ck_upstream *existing =
        group_find_member_upstream(&object->database, upstream->name);
    if (existing != NULL && group_is_same_upstream(existing, upstream)) {
        group_result_set_text(result, OUTCOME_OK, object->revision,
                              "no change");
        return;
    }
    if (existing == NULL) {
        existing = group_add_upstream(&object->database);
    }
    else {
        group_remove_address(group, existing);
    }
    codec_free((xdrproc_t)xdr_ck_upstream, existing);
    codec_copy((xdrproc_t)xdr_ck_upstream, upstream, existing,
               sizeof(*existing));
    group_index_database(group, object);
    group_result_set_text(result, OUTCOME_OK,
                          group_assign_revision(group, object), "announced");
}

// Removes a lost upstream from its database. OUTCOME_CONFLICT if the upstream
// is the primary or a failover of the database is in progress.
static void
group_remove_upstream(struct group_state *group, struct group_object *object,
                      struct ck_upstream *existing,
                      struct group_result *result)
{
    struct ck_database *database = &object->database;
    size_t index = (size_t)(existing - database->upstreams.upstreams_val);

    if (database->superseding ||
        strcmp(database->primary, existing->name) == 0) {
        group_result_set_text(result, OUTCOME_CONFLICT, object->revision,
                              "the upstream is needed for a failover");
        return;
    }
    group_index_remove(group->index, GROUP_UPSTREAM, existing->name);
    codec_free((xdrproc_t)xdr_ck_upstream, existing);
    database->upstreams.upstreams_len--;
    memmove(existing, existing + 1,
            (database->upstreams.upstreams_len - index) * sizeof(*existing));
    group_result_set_text(result, OUTCOME_OK,
                          group_assign_revision(group, object), "removed");
}

// Marks an upstream as lost. It stays a member of its database, because
// whether a replica is complete depends on the number of members. If the
// change has the state CK_UPSTREAM_LOST, an upstream that is already lost is
// removed instead. With the sequence GROUP_SEQUENCE_WITHDRAWN this incarnation
// of the upstream has left for good, which later leaders learn from the state.
void
group_apply_upstream_expire(struct group_state *group,
                            const struct ck_upstream *upstream,
                            struct group_result *result)
{
    struct group_object *object =
        group_find(group, GROUP_UPSTREAM, upstream->name);
    struct ck_upstream *existing =
        object == NULL
            ? NULL
            : group_find_member_upstream(&object->database, upstream->name);
    bool removal = upstream->state == CK_UPSTREAM_LOST;

    if (existing == NULL) {
        group_result_set_text(result, OUTCOME_NOT_FOUND, 0,
                              "no such upstream");
        return;
    }
    bool is_withdrawn = upstream->sequence == GROUP_SEQUENCE_WITHDRAWN &&
                        upstream->incarnation == existing->incarnation;
    if (!removal && is_withdrawn) {
        existing->sequence = GROUP_SEQUENCE_WITHDRAWN;
    }
    if (removal != (existing->state == CK_UPSTREAM_LOST)) {
        group_result_set_text(result, removal ? OUTCOME_CONFLICT : OUTCOME_OK,
                              object->revision, "no change");
        return;
    }
    if (removal) {
        group_remove_upstream(group, object, existing, result);
        return;
    }
    group_remove_address(group, existing);
    existing->state = CK_UPSTREAM_LOST;
    group_result_set_text(result, OUTCOME_OK,
                          group_assign_revision(group, object), "lost");
}

// Returns the database that a change names. Returns NULL, with the result set,
// if there is none.
static struct group_object *
group_find_declared_database(const struct group_state *group, const char *name,
                             struct group_result *result)
{
    struct group_object *object = group_find(group, GROUP_DATABASE, name);

    if (object == NULL || object->removed) {
        group_result_set_text(result, OUTCOME_NOT_FOUND, 0,
                              "no such database");
        return NULL;
    }
    return object;
}

// Ends the current term of a database. Another term is OUTCOME_FENCED. Ending
// a term is idempotent.
void
group_apply_supersede(struct group_state *group,
                      const struct ck_supersede_change *change,
                      struct group_result *result)
{
    struct group_object *object =
        group_find_declared_database(group, change->database, result);

    if (object == NULL) {
        return;
    }
    if (change->term != object->database.term) {
        group_result_set(result, OUTCOME_FENCED, object->revision,
                         "term is %" PRIu64 ", not %" PRIu64,
                         (uint64_t)object->database.term,
                         (uint64_t)change->term);
        return;
    }
    if (object->database.superseding) {
        group_result_set_text(result, OUTCOME_OK, object->revision,
                              "no change");
        return;
    }
    object->database.superseding = true;
    group_result_set_text(result, OUTCOME_OK,
                          group_assign_revision(group, object),
                          change->reason);
}

// Checks that the term is new, that the previous term has ended and that the
// new primary is an upstream of the database.
static bool
group_check_primary(const struct group_object *object,
                    const struct ck_primary_change *change,
                    struct group_result *result)
{
    const struct ck_database *database = &object->database;

    if (change->term <= database->term) {
        group_result_set(result, OUTCOME_FENCED, object->revision,
                         "term is already %" PRIu64, (uint64_t)database->term);
        return false;
    }
    if (database->term > 0 && !database->superseding) {
        group_result_set(result, OUTCOME_CONFLICT, object->revision,
                         "term %" PRIu64 " has not been superseded",
                         (uint64_t)database->term);
        return false;
    }
    if (group_find_member_upstream(database, change->primary) == NULL) {
        group_result_set(result, OUTCOME_NOT_FOUND, object->revision,
                         "%s is no upstream of the database", change->primary);
        return false;
    }
    return true;
}

// Records that an upstream is about to be promoted for the next term. A later
// order for the same term replaces it.
void
group_apply_promotion(struct group_state *group,
                      const struct ck_primary_change *change,
                      struct group_result *result)
{
    const struct group_object *database =
        group_find_declared_database(group, change->database, result);

    if (database == NULL) {
        return;
    }
    if (!group_check_primary(database, change, result)) {
        return;
    }
    struct group_object *object =
        group_find(group, GROUP_PROMOTION, change->database);
    if (object == NULL) {
        object = group_add(group, GROUP_PROMOTION, change->database);
    }
    codec_free((xdrproc_t)xdr_ck_primary_change, &object->promotion);
    codec_copy((xdrproc_t)xdr_ck_primary_change, change, &object->promotion,
               sizeof(object->promotion));
    group_result_set_text(result, OUTCOME_OK, group->revision, "ordered");
}

// Returns the promotion that was ordered for the next term of a database, or
// NULL. It is borrowed until the next change.
const struct ck_primary_change *
group_find_promotion(const struct group_state *group, const char *database)
{
    const struct group_object *object =
        group_find(group, GROUP_PROMOTION, database);

    return object == NULL ? NULL : &object->promotion;
}

// Adds a promotion to a history, and drops the oldest one if there are too
// many. A term that has begun anew replaces itself and later ones.
static void
group_add_begin(struct ck_history *history, const struct ck_position *begin)
{
    struct ck_position *begins = history->begins.begins_val;
    u_int count = history->begins.begins_len;

    while (count > 0 && begins[count - 1].timeline >= begin->timeline) {
        count--;
    }
    if (count == CK_HISTORY_SIZE) {
        count--;
        memmove(begins, begins + 1, count * sizeof(*begins));
    }
    begins = xrealloc(begins, (count + 1) * sizeof(*begins));
    begins[count] = *begin;
    history->begins.begins_val = begins;
    history->begins.begins_len = count + 1;
}

// Records that a promotion has taken effect.
void
group_apply_promoted(struct group_state *group,
                     const struct ck_promoted_change *change,
                     struct group_result *result)
{
    const struct group_object *database =
        group_find_declared_database(group, change->database, result);

    if (database == NULL) {
        return;
    }
    struct group_object *object =
        group_find(group, GROUP_HISTORY, change->database);
    if (object == NULL) {
        object = group_add(group, GROUP_HISTORY, change->database);
    }
    group_add_begin(&object->history, &change->begin);
    group_result_set_text(result, OUTCOME_OK, group->revision, "recorded");
}

// Returns the promotions of a database that have taken effect, or NULL. They
// are borrowed until the next change.
const struct ck_history *
group_find_history(const struct group_state *group, const char *database)
{
    const struct group_object *object =
        group_find(group, GROUP_HISTORY, database);

    return object == NULL ? NULL : &object->history;
}

static void
group_end_promotion(struct group_state *group, const char *database)
{
    struct group_object *object = group_find(group, GROUP_PROMOTION, database);

    if (object != NULL) {
        group_delete(group, object);
    }
}

// Starts a new term of a database with its primary. The previous term must
// have been ended with group_apply_supersede.
void
group_apply_primary(struct group_state *group,
                    const struct ck_primary_change *change,
                    struct group_result *result)
{
    struct group_object *object =
        group_find_declared_database(group, change->database, result);

    if (object == NULL) {
        return;
    }
    if (!group_check_primary(object, change, result)) {
        return;
    }
    struct ck_database *database = &object->database;
    free(database->primary);
    database->primary = xstrdup(change->primary);
    database->term = change->term;
    database->base = change->base;
    database->superseding = false;
    group_end_promotion(group, change->database);
    group_result_set_text(result, OUTCOME_OK,
                          group_assign_revision(group, object), "promoted");
}
