#include <check.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "catkingrade/decide/group/group.h"
#include "catkingrade/decide/group/publication.h"
#include "catkingrade/kernel/memory.h"
#include "catkingrade/kernel/outcome.h"
#include "test/fake/changes.h"
#include "test/suite.h"

#define ONE_DATABASE "[{\"name\": \"roster1\"}]"

static struct group_state *
make_group(void)
{
    struct group_state *group = group_create(GROUP_FLEET_NAME);

    changes_set_customer(group, ONE_DATABASE, "wait");
    return group;
}

static int
apply_supersede(struct group_state *group, uint64_t term)
{
    struct ck_change change = {.kind = CK_CHANGE_SUPERSEDE};

    change.ck_change_u.supersede.database = (char *)"roster1";
    change.ck_change_u.supersede.term = term;
    change.ck_change_u.supersede.reason = (char *)"test";
    return changes_apply(group, 0, &change, "", -1, NULL);
}

static int
apply_candidate(struct group_state *group, enum ck_change_kind kind,
                uint64_t term, const char *primary)
{
    struct ck_change change = {.kind = kind};

    change.ck_change_u.primary.database = (char *)"roster1";
    change.ck_change_u.primary.term = term;
    change.ck_change_u.primary.primary = (char *)(uintptr_t)primary;
    return changes_apply(group, 0, &change, "", -1, NULL);
}

static int
apply_primary(struct group_state *group, uint64_t term, const char *primary)
{
    return apply_candidate(group, CK_CHANGE_PRIMARY, term, primary);
}

static int
apply_promotion(struct group_state *group, uint64_t term, const char *primary)
{
    return apply_candidate(group, CK_CHANGE_PROMOTION, term, primary);
}

// Guards against lost updates and changes that are applied twice: two
// operators change the same revision of a customer, and both retry their
// change because the answer was lost.
START_TEST(test_same_expected_revision_conflicts)
{
    struct group_state *group = make_group();
    struct group_result first;
    struct group_result second;
    struct group_result again;
    uint64_t revision = group_find_customer(group, "pootafdruk")->revision;
    const char *one = "{\"customer\": \"pootafdruk\", \"template\": "
                      "\"roster\", \"parameters\": {\"max_age_ms\": 1, "
                      "\"databases\": " ONE_DATABASE "}}";
    const char *two = "{\"customer\": \"pootafdruk\", \"template\": "
                      "\"roster\", \"parameters\": {\"max_age_ms\": 2, "
                      "\"databases\": " ONE_DATABASE "}}";

    changes_apply_document(group, CK_CHANGE_CUSTOMER, "pootafdruk", one, "a",
                           (int64_t)revision, &first);
    changes_apply_document(group, CK_CHANGE_CUSTOMER, "pootafdruk", two, "b",
                           (int64_t)revision, &second);
    ck_assert_int_eq(first.outcome, OUTCOME_OK);
    ck_assert_int_eq(second.outcome, OUTCOME_CONFLICT);
    ck_assert_uint_eq(second.revision, first.revision);
    ck_assert_uint_eq(group_find_customer(group, "pootafdruk")->max_age_ms, 1);
    // A retry with the same change id gets the recorded result.
    changes_apply_document(group, CK_CHANGE_CUSTOMER, "pootafdruk", one, "a",
                           (int64_t)revision, &again);
    ck_assert(again.replayed);
    ck_assert_int_eq(again.outcome, OUTCOME_OK);
    ck_assert_uint_eq(again.revision, first.revision);
    changes_apply_document(group, CK_CHANGE_CUSTOMER, "pootafdruk", two, "b",
                           (int64_t)revision, &again);
    ck_assert(again.replayed);
    ck_assert_int_eq(again.outcome, OUTCOME_CONFLICT);
    // A change id that was used for another change is rejected.
    changes_apply_document(group, CK_CHANGE_CUSTOMER, "pootafdruk", two, "a",
                           -1, &again);
    ck_assert_int_eq(again.outcome, OUTCOME_INVALID);
    ck_assert_uint_eq(group_find_customer(group, "pootafdruk")->max_age_ms, 1);
    group_destroy(group);
}
END_TEST

// Guards against a retried change being applied again on a voter that restored
// a snapshot, and against accepting a truncated snapshot or that of another
// group.
START_TEST(test_snapshot_keeps_recorded_results)
{
    struct group_state *group = make_group();
    struct group_result first;
    struct group_result again;
    struct buffer bytes = {0};
    struct buffer copy_bytes = {0};
    struct ck_upstream upstream =
        changes_make_upstream("u1", "roster1", "noord", "10.0.0.1");

    changes_apply_document(group, CK_CHANGE_TEMPLATE, "other",
                           "{\"template\": \"other\", \"customer\": {}}", "x",
                           0, &first);
    ck_assert_int_eq(changes_apply_upstream(group, &upstream), OUTCOME_OK);
    ck_assert_int_eq(apply_primary(group, 1, "u1"), OUTCOME_OK);
    group_encode(group, &bytes);
    struct group_state *copy =
        group_decode(GROUP_FLEET_NAME, bytes.data, buffer_get_size(&bytes));
    ck_assert_ptr_nonnull(copy);
    group_encode(copy, &copy_bytes);
    ck_assert_uint_eq(buffer_get_size(&bytes), buffer_get_size(&copy_bytes));
    ck_assert_int_eq(
        memcmp(bytes.data, copy_bytes.data, buffer_get_size(&bytes)), 0);
    changes_apply_document(copy, CK_CHANGE_TEMPLATE, "other",
                           "{\"template\": \"other\", \"customer\": {}}", "x",
                           0, &again);
    ck_assert(again.replayed);
    ck_assert_uint_eq(again.revision, first.revision);
    ck_assert_str_eq(group_find_database(copy, "roster1")->primary, "u1");
    ck_assert_str_eq(group_find_upstream(copy, "u1")->host, "10.0.0.1");
    // A truncated snapshot and that of another group are rejected.
    for (size_t size = 0; size < buffer_get_size(&bytes); size += 7) {
        ck_assert_ptr_null(group_decode(GROUP_FLEET_NAME, bytes.data, size));
    }
    ck_assert_ptr_null(
        group_decode("noord", bytes.data, buffer_get_size(&bytes)));
    buffer_free(&bytes);
    buffer_free(&copy_bytes);
    group_destroy(group);
    group_destroy(copy);
}
END_TEST

// Checks that the oldest results are discarded at
// GROUP_MAX_RECORDED_RESULTS.
START_TEST(test_recorded_results_are_bounded)
{
    struct group_state *group = make_group();
    struct group_result result;
    char change_id[32];

    for (int i = 0; i < GROUP_MAX_RECORDED_RESULTS + 5; i++) {
        (void)snprintf(change_id, sizeof(change_id), "id-%d", i);
        changes_apply_document(group, CK_CHANGE_CUSTOMER, "nobody",
                               "{\"customer\": \"nobody\", "
                               "\"template\": \"none\"}",
                               change_id, -1, &result);
        ck_assert(!result.replayed);
    }
    changes_apply_document(group, CK_CHANGE_CUSTOMER, "nobody",
                           "{\"customer\": \"nobody\", "
                           "\"template\": \"none\"}",
                           "id-5", -1, &result);
    ck_assert(result.replayed);
    changes_apply_document(group, CK_CHANGE_CUSTOMER, "nobody",
                           "{\"customer\": \"nobody\", "
                           "\"template\": \"none\"}",
                           "id-4", -1, &result);
    ck_assert(!result.replayed);
    group_destroy(group);
}
END_TEST

// Guards against two primaries in one term: a new term needs a higher number
// and the end of the previous term.
START_TEST(test_term_transitions)
{
    struct group_state *group = make_group();
    struct ck_upstream one =
        changes_make_upstream("u1", "roster1", "noord", "10.0.0.1");
    struct ck_upstream two =
        changes_make_upstream("u2", "roster1", "midden", "10.0.0.2");

    changes_apply_upstream(group, &one);
    changes_apply_upstream(group, &two);
    ck_assert_int_eq(apply_primary(group, 1, "u9"), OUTCOME_NOT_FOUND);
    ck_assert_int_eq(apply_primary(group, 1, "u1"), OUTCOME_OK);
    ck_assert_int_eq(apply_primary(group, 1, "u2"), OUTCOME_FENCED);
    ck_assert_int_eq(apply_primary(group, 2, "u2"), OUTCOME_CONFLICT);
    ck_assert_int_eq(apply_supersede(group, 0), OUTCOME_FENCED);
    ck_assert_int_eq(apply_supersede(group, 1), OUTCOME_OK);
    uint64_t revision = group_get_revision(group);
    ck_assert_int_eq(apply_supersede(group, 1), OUTCOME_OK);
    ck_assert_uint_eq(group_get_revision(group), revision);
    ck_assert(group_find_database(group, "roster1")->superseding);
    ck_assert_int_eq(apply_primary(group, 2, "u2"), OUTCOME_OK);
    ck_assert(!group_find_database(group, "roster1")->superseding);
    ck_assert_int_eq(apply_supersede(group, 1), OUTCOME_FENCED);
    group_destroy(group);
}
END_TEST

static int
apply_promoted(struct group_state *group, uint64_t term, uint64_t number)
{
    struct ck_change change = {.kind = CK_CHANGE_PROMOTED};

    change.ck_change_u.promoted.database = (char *)"roster1";
    change.ck_change_u.promoted.begin.timeline = term;
    change.ck_change_u.promoted.begin.lsn = number;
    return changes_apply(group, 0, &change, "", -1, NULL);
}

// Guards against promotions that a voter forgets, so that a log which they
// gave up is promoted: they are kept in their order, also in a snapshot.
START_TEST(test_promotions_are_kept_with_their_begin)
{
    struct group_state *group = make_group();
    struct buffer bytes = {0};
    struct ck_upstream one =
        changes_make_upstream("u1", "roster1", "noord", "10.0.0.1");

    ck_assert_int_eq(apply_promoted(group, 2, 10), OUTCOME_NOT_FOUND);
    changes_apply_upstream(group, &one);
    ck_assert_ptr_null(group_find_history(group, "roster1"));
    for (uint64_t i = 1; i <= CK_HISTORY_SIZE + 2; i++) {
        ck_assert_int_eq(apply_promoted(group, i, 10 * i), OUTCOME_OK);
    }
    group_encode(group, &bytes);
    struct group_state *copy =
        group_decode(GROUP_FLEET_NAME, bytes.data, buffer_get_size(&bytes));
    ck_assert_ptr_nonnull(copy);
    ck_assert_int_eq(apply_promoted(copy, CK_HISTORY_SIZE + 1, 7), OUTCOME_OK);
    const struct ck_history *history = group_find_history(copy, "roster1");
    u_int count = history->begins.begins_len;
    ck_assert_uint_eq(count, CK_HISTORY_SIZE - 1);
    ck_assert_uint_eq(history->begins.begins_val[0].timeline, 3);
    ck_assert_uint_eq(history->begins.begins_val[0].lsn, 30);
    ck_assert_uint_eq(history->begins.begins_val[count - 1].timeline,
                      CK_HISTORY_SIZE + 1);
    ck_assert_uint_eq(history->begins.begins_val[count - 1].lsn, 7);
    buffer_free(&bytes);
    group_destroy(copy);
    group_destroy(group);
}
END_TEST

// Guards against a second promotion for one term: the ordered one is known to
// each voter, also from a snapshot, until its term begins.
START_TEST(test_ordered_promotion_is_known_until_its_term)
{
    struct group_state *group = make_group();
    struct buffer bytes = {0};
    struct buffer copy_bytes = {0};
    struct ck_upstream one =
        changes_make_upstream("u1", "roster1", "noord", "10.0.0.1");
    struct ck_upstream two =
        changes_make_upstream("u2", "roster1", "midden", "10.0.0.2");

    changes_apply_upstream(group, &one);
    changes_apply_upstream(group, &two);
    ck_assert_ptr_null(group_find_promotion(group, "roster1"));
    ck_assert_int_eq(apply_promotion(group, 1, "u9"), OUTCOME_NOT_FOUND);
    ck_assert_int_eq(apply_promotion(group, 1, "u1"), OUTCOME_OK);
    ck_assert_int_eq(apply_primary(group, 1, "u1"), OUTCOME_OK);
    ck_assert_ptr_null(group_find_promotion(group, "roster1"));
    ck_assert_int_eq(apply_promotion(group, 2, "u2"), OUTCOME_CONFLICT);
    ck_assert_int_eq(apply_supersede(group, 1), OUTCOME_OK);
    ck_assert_int_eq(apply_promotion(group, 1, "u2"), OUTCOME_FENCED);
    ck_assert_int_eq(apply_promotion(group, 2, "u1"), OUTCOME_OK);
    ck_assert_int_eq(apply_promotion(group, 2, "u2"), OUTCOME_OK);
    group_encode(group, &bytes);
    struct group_state *copy =
        group_decode(GROUP_FLEET_NAME, bytes.data, buffer_get_size(&bytes));
    ck_assert_ptr_nonnull(copy);
    ck_assert_str_eq(group_find_promotion(copy, "roster1")->primary, "u2");
    group_encode(copy, &copy_bytes);
    ck_assert_uint_eq(buffer_get_size(&bytes), buffer_get_size(&copy_bytes));
    ck_assert_mem_eq(bytes.data, copy_bytes.data, buffer_get_size(&bytes));
    ck_assert_int_eq(apply_primary(copy, 2, "u2"), OUTCOME_OK);
    ck_assert_ptr_null(group_find_promotion(copy, "roster1"));
    buffer_free(&bytes);
    buffer_free(&copy_bytes);
    group_destroy(copy);
    group_destroy(group);
}
END_TEST

struct announcement {
    const char *name;
    const char *database;
    const char *failure_domain;
    const char *host;
    int outcome;
    const char *message;
};

static const struct announcement announcements[] = {
    {"u1", "roster1", "noord", "10.0.0.1", OUTCOME_OK, "no change"},
    {"u1", "roster1", "noord", "10.0.0.9", OUTCOME_OK, "announced"},
    {"u2", "roster1", "noord", "10.0.0.1", OUTCOME_CONFLICT,
     "address 10.0.0.1:5432 is that of upstream u1"},
    {"u1", "roster2", "noord", "10.0.0.1", OUTCOME_CONFLICT,
     "upstream u1 belongs to database roster1"},
    {"u1", "roster1", "zuid", "10.0.0.1", OUTCOME_CONFLICT,
     "upstream u1 is in failure domain noord"},
    {"u3", "quotes", "noord", "10.0.0.3", OUTCOME_NOT_FOUND,
     "no customer lists database \"quotes\""},
    {"u3", "local", "noord", "10.0.0.3", OUTCOME_INVALID,
     "database \"local\" is decided by control group noord"},
    {"", "roster1", "noord", "10.0.0.3", OUTCOME_INVALID,
     "an upstream needs a name, an IP number and a port"},
};

START_TEST(test_upstream_announcement)
{
    const struct announcement *row = &announcements[_i];
    struct group_state *group = group_create(GROUP_FLEET_NAME);
    struct group_result result;
    struct ck_upstream first =
        changes_make_upstream("u1", "roster1", "noord", "10.0.0.1");
    struct ck_change change = {.kind = CK_CHANGE_UPSTREAM};

    changes_set_customer(group,
                         "[{\"name\": \"roster1\"}, {\"name\": \"roster2\"},"
                         " {\"name\": \"local\", \"group\": \"noord\"}]",
                         "wait");
    ck_assert_int_eq(changes_apply_upstream(group, &first), OUTCOME_OK);
    change.ck_change_u.upstream = changes_make_upstream(
        row->name, row->database, row->failure_domain, row->host);
    ck_assert_int_eq(changes_apply(group, 0, &change, "", -1, &result),
                     row->outcome);
    ck_assert_str_eq(result.message, row->message);
    group_destroy(group);
}
END_TEST

// Guards against an address that stays blocked by a lost upstream.
START_TEST(test_lost_upstream_releases_address)
{
    struct group_state *group = make_group();
    struct ck_upstream one =
        changes_make_upstream("u1", "roster1", "noord", "10.0.0.1");
    struct ck_upstream two =
        changes_make_upstream("u2", "roster1", "noord", "10.0.0.1");
    struct ck_change change = {.kind = CK_CHANGE_UPSTREAM_EXPIRE};

    changes_apply_upstream(group, &one);
    ck_assert_int_eq(changes_apply_upstream(group, &two), OUTCOME_CONFLICT);
    change.ck_change_u.upstream = one;
    ck_assert_int_eq(changes_apply(group, 0, &change, "", -1, NULL),
                     OUTCOME_OK);
    ck_assert_int_eq(changes_apply_upstream(group, &two), OUTCOME_OK);
    // u1 stays a member of the database but can't reclaim the address.
    ck_assert_int_eq(group_find_upstream(group, "u1")->state,
                     CK_UPSTREAM_LOST);
    ck_assert_int_eq(changes_apply_upstream(group, &one), OUTCOME_CONFLICT);
    group_destroy(group);
}
END_TEST

START_TEST(test_template_dry_run_effect)
{
    struct group_state *group = make_group();
    struct group_result result;
    struct buffer effect = {0};
    char *document = strdup(CHANGES_TEMPLATE_ROSTER);
    struct ck_apply_args args = {.change_id = (char *)"", .dry_run = true};
    uint64_t revision = group_get_revision(group);

    char *default_text = strstr(document, "\"default\": 2000");
    memcpy(default_text, "\"default\": 3000", strlen("\"default\": 3000"));
    args.change.kind = CK_CHANGE_TEMPLATE;
    args.change.ck_change_u.document.name = (char *)"roster";
    args.change.ck_change_u.document.document = document;
    group_check(group, &args, &result, &effect);
    buffer_append_u8(&effect, 0);
    ck_assert_int_eq(result.outcome, OUTCOME_OK);
    ck_assert_str_eq((const char *)effect.data,
                     "pootafdruk: max_age_ms: 2000 -> 3000\n");
    ck_assert_uint_eq(group_get_revision(group), revision);
    ck_assert_int_eq(changes_apply_document(group, CK_CHANGE_TEMPLATE,
                                            "roster", document, "", -1,
                                            &result),
                     OUTCOME_OK);
    ck_assert_uint_eq(group_find_customer(group, "pootafdruk")->max_age_ms,
                      3000);
    free(document);
    buffer_free(&effect);
    group_destroy(group);
}
END_TEST

START_TEST(test_template_in_use_is_not_deleted)
{
    struct group_state *group = make_group();
    struct group_result result;
    struct ck_change change = {.kind = CK_CHANGE_TEMPLATE_DELETE};

    change.ck_change_u.template_name = (char *)"roster";
    changes_apply(group, 0, &change, "", -1, &result);
    ck_assert_int_eq(result.outcome, OUTCOME_INVALID);
    ck_assert_str_eq(result.message,
                     "template roster is used by customer pootafdruk");
    changes_apply_document(group, CK_CHANGE_TEMPLATE, "spare",
                           "{\"template\": \"spare\", \"customer\": {}}", "",
                           -1, NULL);
    change.ck_change_u.template_name = (char *)"spare";
    ck_assert_int_eq(changes_apply(group, 0, &change, "", -1, NULL),
                     OUTCOME_OK);
    ck_assert_ptr_null(group_find_template_document(group, "spare"));
    group_destroy(group);
}
END_TEST

START_TEST(test_customer_state_only_advances)
{
    struct group_state *group = make_group();
    struct ck_change change = {.kind = CK_CHANGE_CUSTOMER_STATE};

    change.ck_change_u.customer_state.customer = (char *)"pootafdruk";
    change.ck_change_u.customer_state.report = (char *)"";
    change.ck_change_u.customer_state.state = CK_CUSTOMER_CLOSED;
    ck_assert_int_eq(changes_apply(group, 0, &change, "", -1, NULL),
                     OUTCOME_OK);
    change.ck_change_u.customer_state.state = CK_CUSTOMER_OPEN;
    ck_assert_int_eq(changes_apply(group, 0, &change, "", -1, NULL),
                     OUTCOME_INVALID);
    group_destroy(group);
}
END_TEST

// Checks that the pages of a delta are contiguous and together complete.
START_TEST(test_delta_pagination)
{
    struct group_state *group = make_group();
    struct publication *publication = publication_create();
    struct ck_packed_delta delta;
    struct ck_view_delta part;
    uint64_t revision = 0;
    size_t databases = 0;
    size_t pages = 0;
    char name[16];
    char host[32];

    for (int i = 0; i < 20; i++) {
        (void)snprintf(name, sizeof(name), "u%d", i);
        (void)snprintf(host, sizeof(host), "10.0.0.%d", i);
        struct ck_upstream upstream =
            changes_make_upstream(name, "roster1", "noord", host);
        ck_assert_int_eq(changes_apply_upstream(group, &upstream), OUTCOME_OK);
    }
    publication_update(publication, group);
    do {
        publication_fill_delta(publication, revision, 300, &delta);
        ck_assert_int_eq(publication_unpack_delta(&delta, &part), OUTCOME_OK);
        ck_assert_uint_eq(part.from_revision, revision);
        ck_assert_uint_eq(delta.from_revision, revision);
        ck_assert_uint_gt(delta.to_revision, revision);
        ck_assert_int_eq(delta.full, revision == 0);
        revision = delta.to_revision;
        databases += part.databases.databases_len;
        bool more = delta.more;
        publication_free_delta(&part);
        pages++;
        if (!more) {
            break;
        }
    } while (pages < 100);
    ck_assert_uint_eq(revision, group_get_revision(group));
    ck_assert_uint_eq(databases, 1);
    ck_assert_uint_gt(pages, 1);
    publication_fill_delta(publication, revision, 300, &delta);
    ck_assert_uint_eq(delta.to_revision, revision);
    ck_assert(!delta.full);
    publication_destroy(publication);
    group_destroy(group);
}
END_TEST

// Checks that the control group of a failure domain accepts upstreams only for
// the databases that it decides, and that it doesn't publish customers, which
// the fleet's control group alone does.
START_TEST(test_failure_domain_group)
{
    struct group_state *group = group_create("noord");
    struct ck_packed_delta packed;
    struct ck_view_delta delta;
    struct publication *publication = publication_create();
    struct ck_upstream local =
        changes_make_upstream("u1", "local", "noord", "10.0.0.1");
    struct ck_upstream spanning =
        changes_make_upstream("u2", "roster1", "noord", "10.0.0.2");

    changes_set_customer(group,
                         "[{\"name\": \"roster1\"},"
                         " {\"name\": \"local\", \"group\": \"noord\"}]",
                         "wait");
    ck_assert_int_eq(changes_apply_upstream(group, &local), OUTCOME_OK);
    ck_assert_int_eq(changes_apply_upstream(group, &spanning),
                     OUTCOME_INVALID);
    ck_assert_str_eq(group_find_deciding_group(group, "roster1"), "fleet");
    ck_assert_str_eq(group_find_database(group, "local")->group, "noord");
    ck_assert_str_eq(group_find_database(group, "local")->customer,
                     "pootafdruk");
    publication_update(publication, group);
    publication_fill_delta(publication, 0, PUBLICATION_MAX_DELTA_BYTES,
                           &packed);
    ck_assert_int_eq(publication_unpack_delta(&packed, &delta), OUTCOME_OK);
    ck_assert_uint_eq(delta.customers.customers_len, 0);
    ck_assert_uint_eq(delta.databases.databases_len, 1);
    ck_assert_uint_eq(delta.to_revision, group_get_revision(group));
    publication_free_delta(&delta);
    publication_destroy(publication);
    group_destroy(group);
}
END_TEST

static int
apply_expire(struct group_state *group, const char *name,
             ck_upstream_state state)
{
    struct ck_change change = {.kind = CK_CHANGE_UPSTREAM_EXPIRE};

    change.ck_change_u.upstream =
        changes_make_upstream(name, "roster1", "noord", "10.0.0.1");
    change.ck_change_u.upstream.state = state;
    return changes_apply(group, 0, &change, "", -1, NULL);
}

START_TEST(test_upstream_removal)
{
    struct group_state *group = make_group();
    struct ck_upstream one =
        changes_make_upstream("u1", "roster1", "noord", "10.0.0.1");
    struct ck_upstream two =
        changes_make_upstream("u2", "roster1", "noord", "10.0.0.2");

    changes_apply_upstream(group, &one);
    changes_apply_upstream(group, &two);
    ck_assert_int_eq(apply_primary(group, 1, "u1"), OUTCOME_OK);
    // An upstream isn't removed while it is present, while it is the primary
    // or during a failover.
    ck_assert_int_eq(apply_expire(group, "u2", CK_UPSTREAM_LOST),
                     OUTCOME_CONFLICT);
    ck_assert_int_eq(apply_expire(group, "u1", CK_UPSTREAM_READY), OUTCOME_OK);
    ck_assert_int_eq(apply_expire(group, "u1", CK_UPSTREAM_LOST),
                     OUTCOME_CONFLICT);
    ck_assert_int_eq(apply_expire(group, "u2", CK_UPSTREAM_READY), OUTCOME_OK);
    ck_assert_int_eq(apply_supersede(group, 1), OUTCOME_OK);
    ck_assert_int_eq(apply_expire(group, "u2", CK_UPSTREAM_LOST),
                     OUTCOME_CONFLICT);
    ck_assert_int_eq(apply_primary(group, 2, "u1"), OUTCOME_OK);
    ck_assert_int_eq(apply_expire(group, "u2", CK_UPSTREAM_LOST), OUTCOME_OK);
    ck_assert_ptr_null(group_find_upstream(group, "u2"));
    ck_assert_uint_eq(
        group_find_database(group, "roster1")->upstreams.upstreams_len, 1);
    group_destroy(group);
}
END_TEST

START_TEST(test_query_pages)
{
    struct group_state *group = make_group();
    struct buffer json = {0};
    uint64_t next = 0;

    ck_assert_int_eq(
        group_query(group, CK_QUERY_CUSTOMERS, "", 0, &json, &next),
        OUTCOME_OK);
    buffer_append_u8(&json, 0);
    ck_assert_ptr_nonnull(strstr((const char *)json.data, "pootafdruk"));
    ck_assert_uint_eq(next, 0);
    buffer_clear(&json);
    ck_assert_int_eq(
        group_query(group, CK_QUERY_TEMPLATES, "none", 0, &json, &next),
        OUTCOME_OK);
    buffer_append_u8(&json, 0);
    ck_assert_str_eq((const char *)json.data, "[]");
    ck_assert_int_eq(
        group_query(group, CK_QUERY_COUNTERS, "", 0, &json, &next),
        OUTCOME_NOT_SUPPORTED);
    buffer_free(&json);
    group_destroy(group);
}
END_TEST

// Guards against voters that diverge at a log entry that cannot be decoded.
START_TEST(test_undecodable_log_entry_is_ignored)
{
    struct group_state *group = make_group();
    struct group_result result;
    uint64_t revision = group_get_revision(group);

    group_apply(group, 77, "abc", 3, &result);
    ck_assert_int_eq(result.outcome, OUTCOME_PROTOCOL);
    ck_assert_uint_eq(group_get_revision(group), revision);
    ck_assert_uint_eq(group_get_applied_index(group), 77);
    group_destroy(group);
}
END_TEST

static void
add_tests(TCase *tests)
{
    tcase_add_test(tests, test_same_expected_revision_conflicts);
    tcase_add_test(tests, test_snapshot_keeps_recorded_results);
    tcase_add_test(tests, test_recorded_results_are_bounded);
    tcase_add_test(tests, test_term_transitions);
    tcase_add_test(tests, test_ordered_promotion_is_known_until_its_term);
    tcase_add_test(tests, test_promotions_are_kept_with_their_begin);
    tcase_add_loop_test(tests, test_upstream_announcement, 0,
                        ARRAY_SIZE(announcements));
    tcase_add_test(tests, test_lost_upstream_releases_address);
    tcase_add_test(tests, test_template_dry_run_effect);
    tcase_add_test(tests, test_template_in_use_is_not_deleted);
    tcase_add_test(tests, test_customer_state_only_advances);
    tcase_add_test(tests, test_delta_pagination);
    tcase_add_test(tests, test_failure_domain_group);
    tcase_add_test(tests, test_upstream_removal);
    tcase_add_test(tests, test_query_pages);
    tcase_add_test(tests, test_undecodable_log_entry_is_ignored);
}

TEST_MAIN("group", add_tests)
