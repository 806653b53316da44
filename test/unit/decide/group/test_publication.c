#include <check.h>
#include <string.h>

#include "catkingrade/decide/group/declaration.h"
#include "catkingrade/decide/group/group.h"
#include "catkingrade/decide/group/publication.h"
#include "catkingrade/kernel/memory.h"
#include "catkingrade/kernel/outcome.h"
#include "test/fake/changes.h"
#include "test/suite.h"

#define ROUTES_COUNT    40
#define DATABASES_COUNT 4
#define CUSTOMERS_COUNT 30
#define SMALL_BYTES     300 // less than the objects of one declaration take

// A control group with a declaration that the tests change.
struct fixture {
    struct group_state *group;
    struct publication *publication;
    struct ck_declaration declaration;
    uint64_t number;
};

static void
fixture_create(struct fixture *fixture)
{
    struct ck_declaration *declaration = &fixture->declaration;

    memset(fixture, 0, sizeof(*fixture));
    fixture->group = group_create(GROUP_FLEET_NAME);
    fixture->publication = publication_create();
    declaration->databases.databases_len = DATABASES_COUNT;
    declaration->databases.databases_val =
        xcalloc(DATABASES_COUNT, sizeof(struct ck_declared_database));
    for (u_int i = 0; i < DATABASES_COUNT; i++) {
        declaration->databases.databases_val[i].name =
            xasprintf("database%u", i);
        declaration->databases.databases_val[i].connections = 9;
    }
    declaration->routes.routes_len = ROUTES_COUNT;
    declaration->routes.routes_val =
        xcalloc(ROUTES_COUNT, sizeof(struct ck_route));
    for (u_int i = 0; i < ROUTES_COUNT; i++) {
        struct ck_route *route = &declaration->routes.routes_val[i];
        route->name = xasprintf("route%u", i);
        route->database = xasprintf("database%u", i % DATABASES_COUNT);
        route->deadline_ms = 1000;
    }
}

static void
fixture_destroy(struct fixture *fixture)
{
    declaration_free(&fixture->declaration);
    publication_destroy(fixture->publication);
    group_destroy(fixture->group);
}

// Declares the fixture's declaration under the next number and publishes it.
static void
declare(struct fixture *fixture)
{
    struct ck_change change = {.kind = CK_CHANGE_DECLARATION};
    struct group_result result;

    fixture->number++;
    ck_assert_int_eq(declaration_pack(&fixture->declaration, fixture->number,
                                      &change.ck_change_u.declaration),
                     OUTCOME_OK);
    ck_assert_int_eq(changes_apply(fixture->group, fixture->number, &change,
                                   "", -1, &result),
                     OUTCOME_OK);
    declaration_free_packed(&change.ck_change_u.declaration);
    publication_update(fixture->publication, fixture->group);
}

// Announces an upstream and publishes its database.
static void
announce(struct fixture *fixture, unsigned number)
{
    char *name = xasprintf("u%u", number);
    char *database = xasprintf("database%u", number % DATABASES_COUNT);
    char *host = xasprintf("10.0.0.%u", number);
    struct ck_upstream upstream =
        changes_make_upstream(name, database, "noord", host);

    ck_assert_int_eq(changes_apply_upstream(fixture->group, &upstream),
                     OUTCOME_OK);
    publication_update(fixture->publication, fixture->group);
    free(name);
    free(database);
    free(host);
}

// Fills and unpacks the delta after a revision.
static struct ck_view_delta
get_delta(struct fixture *fixture, uint64_t from_revision,
          size_t max_size_bytes)
{
    struct ck_packed_delta packed;
    struct ck_view_delta delta;

    publication_fill_delta(fixture->publication, from_revision, max_size_bytes,
                           &packed);
    ck_assert_int_eq(publication_unpack_delta(&packed, &delta), OUTCOME_OK);
    ck_assert_uint_eq(delta.from_revision, from_revision);
    ck_assert_uint_eq(delta.to_revision, packed.to_revision);
    ck_assert_int_eq(delta.more, packed.more);
    return delta;
}

// A changed declaration was sent whole to every entry. Only its changed and
// removed routes are, with its number.
START_TEST(test_only_changed_routes_are_sent)
{
    struct fixture fixture;

    fixture_create(&fixture);
    declare(&fixture);
    uint64_t revision = publication_get_revision(fixture.publication);
    fixture.declaration.routes.routes_val[7].deadline_ms = 5;
    free(fixture.declaration.routes.routes_val[ROUTES_COUNT - 1].name);
    free(fixture.declaration.routes.routes_val[ROUTES_COUNT - 1].database);
    fixture.declaration.routes.routes_len--;
    declare(&fixture);
    struct ck_view_delta delta =
        get_delta(&fixture, revision, PUBLICATION_MAX_DELTA_BYTES);
    ck_assert_uint_eq(delta.routes.routes_len, 1);
    ck_assert_str_eq(delta.routes.routes_val[0].name, "route7");
    ck_assert_uint_eq(delta.routes.routes_val[0].deadline_ms, 5);
    ck_assert_uint_eq(delta.routes_removed.routes_removed_len, 1);
    ck_assert_str_eq(delta.routes_removed.routes_removed_val[0], "route39");
    ck_assert_uint_eq(delta.declared.declared_len, 1);
    ck_assert_uint_eq(delta.declared.declared_val[0].number, 2);
    ck_assert_uint_eq(delta.customers.customers_len, 0);
    publication_free_delta(&delta);
    fixture_destroy(&fixture);
}
END_TEST

// A route that was removed and is declared again must be sent again, although
// its bytes may be those it had before.
START_TEST(test_route_that_returns_is_sent)
{
    struct fixture fixture;

    fixture_create(&fixture);
    declare(&fixture);
    fixture.declaration.routes.routes_len--;
    declare(&fixture);
    uint64_t revision = publication_get_revision(fixture.publication);
    fixture.declaration.routes.routes_len++;
    declare(&fixture);
    struct ck_view_delta delta =
        get_delta(&fixture, revision, PUBLICATION_MAX_DELTA_BYTES);
    ck_assert_uint_eq(delta.routes.routes_len, 1);
    ck_assert_str_eq(delta.routes.routes_val[0].name, "route39");
    ck_assert_uint_eq(delta.routes_removed.routes_removed_len, 0);
    publication_free_delta(&delta);
    fixture_destroy(&fixture);
}
END_TEST

// A new leader knows the routes that there are, but not those that were
// removed before: it sends them all, and says since when they are all.
START_TEST(test_new_leader_sends_all_routes)
{
    struct fixture fixture;

    fixture_create(&fixture);
    declare(&fixture);
    uint64_t revision = publication_get_revision(fixture.publication);
    fixture.declaration.routes.routes_len--;
    declare(&fixture);
    publication_destroy(fixture.publication);
    fixture.publication = publication_create();
    publication_update(fixture.publication, fixture.group);
    struct ck_view_delta delta =
        get_delta(&fixture, revision, PUBLICATION_MAX_DELTA_BYTES);
    ck_assert_uint_eq(delta.routes.routes_len, ROUTES_COUNT - 1);
    ck_assert_uint_gt(delta.routes_since, revision);
    ck_assert_uint_le(delta.routes_since, delta.to_revision);
    publication_free_delta(&delta);
    fixture.declaration.routes.routes_len++;
    fixture_destroy(&fixture);
}
END_TEST

// Adds customers to the fixture's declaration.
static void
add_customers(struct fixture *fixture)
{
    struct ck_declaration *declaration = &fixture->declaration;

    declaration->customers.customers_len = CUSTOMERS_COUNT;
    declaration->customers.customers_val =
        xcalloc(CUSTOMERS_COUNT, sizeof(struct ck_declared_customer));
    for (u_int i = 0; i < CUSTOMERS_COUNT; i++) {
        struct ck_declared_customer *customer =
            &declaration->customers.customers_val[i];
        customer->name = xasprintf("customer%u", i);
        customer->keys.keys_len = 1;
        customer->keys.keys_val = xcalloc(1, sizeof(ck_key_digest));
        customer->keys.keys_val[0][0] = (char)(i + 1);
    }
}

// Guards against keys that are sent to all entries with every declaration, and
// against a removed customer or key that entries do not learn of together with
// the declaration's number.
START_TEST(test_only_changed_customers_are_sent)
{
    struct fixture fixture;

    fixture_create(&fixture);
    add_customers(&fixture);
    declare(&fixture);
    uint64_t revision = publication_get_revision(fixture.publication);
    struct ck_declared_customer *customers =
        fixture.declaration.customers.customers_val;
    customers[3].keys.keys_val[0][1] = 9;
    fixture.declaration.customers.customers_len--;
    declare(&fixture);
    struct ck_view_delta delta = get_delta(&fixture, revision, SMALL_BYTES);
    ck_assert_uint_eq(delta.declared.declared_len, 1);
    ck_assert_uint_eq(delta.declared_customers.declared_customers_len, 1);
    const struct ck_declared_customer *changed =
        delta.declared_customers.declared_customers_val;
    ck_assert_str_eq(changed->name, "customer3");
    ck_assert_int_eq(changed->keys.keys_val[0][1], 9);
    ck_assert_uint_eq(
        delta.declared_customers_removed.declared_customers_removed_len, 1);
    ck_assert_str_eq(
        delta.declared_customers_removed.declared_customers_removed_val[0],
        "customer29");
    ck_assert_uint_eq(delta.routes.routes_len, 0);
    publication_free_delta(&delta);
    // A declaration without any change of a customer sends none.
    revision = publication_get_revision(fixture.publication);
    declare(&fixture);
    delta = get_delta(&fixture, revision, SMALL_BYTES);
    ck_assert_uint_eq(delta.declared.declared_len, 1);
    ck_assert_uint_eq(delta.declared_customers.declared_customers_len, 0);
    publication_free_delta(&delta);
    fixture.declaration.customers.customers_len++;
    fixture_destroy(&fixture);
}
END_TEST

// Guards against a removed customer that stays in force after a change of
// leader: the new leader does not know that it was removed, so that it sends
// all customers and says since when they are all.
START_TEST(test_new_leader_sends_all_customers)
{
    struct fixture fixture;

    fixture_create(&fixture);
    add_customers(&fixture);
    declare(&fixture);
    uint64_t revision = publication_get_revision(fixture.publication);
    fixture.declaration.customers.customers_len--;
    declare(&fixture);
    publication_destroy(fixture.publication);
    fixture.publication = publication_create();
    publication_update(fixture.publication, fixture.group);
    struct ck_view_delta delta =
        get_delta(&fixture, revision, PUBLICATION_MAX_DELTA_BYTES);
    ck_assert_uint_eq(delta.declared_customers.declared_customers_len,
                      CUSTOMERS_COUNT - 1);
    ck_assert_uint_gt(delta.routes_since, revision);
    ck_assert_uint_le(delta.routes_since, delta.to_revision);
    publication_free_delta(&delta);
    fixture.declaration.customers.customers_len++;
    fixture_destroy(&fixture);
}
END_TEST

// Half of a declaration must never be in force: a delta ends between two
// revisions only, however small its limit is.
START_TEST(test_declaration_is_sent_whole)
{
    struct fixture fixture;
    uint64_t revision = 0;
    u_int routes_count = 0;
    unsigned parts = 0;

    fixture_create(&fixture);
    declare(&fixture);
    for (unsigned i = 1; i <= 9; i++) {
        announce(&fixture, i);
    }
    fixture.declaration.routes.routes_val[7].deadline_ms = 5;
    declare(&fixture);
    for (bool more = true; more; parts++) {
        struct ck_view_delta delta =
            get_delta(&fixture, revision, SMALL_BYTES);
        ck_assert(delta.to_revision > revision);
        ck_assert(delta.declared.declared_len == 0 ||
                  delta.declared.declared_val[0].number == 2);
        routes_count += delta.routes.routes_len;
        revision = delta.to_revision;
        more = delta.more;
        publication_free_delta(&delta);
    }
    ck_assert_uint_eq(revision, publication_get_revision(fixture.publication));
    ck_assert_uint_gt(parts, 2);
    ck_assert_uint_eq(routes_count, ROUTES_COUNT);
    fixture_destroy(&fixture);
}
END_TEST

// An entry that has received a part of the state when it changes continues
// with what it lacks, whether or not that part is still kept.
START_TEST(test_changes_between_two_parts)
{
    struct fixture fixture;

    fixture_create(&fixture);
    declare(&fixture);
    for (unsigned i = 1; i <= 9; i++) {
        announce(&fixture, i);
    }
    struct ck_view_delta first = get_delta(&fixture, 0, SMALL_BYTES);
    ck_assert(first.more);
    announce(&fixture, 10);
    struct ck_view_delta rest =
        get_delta(&fixture, first.to_revision, PUBLICATION_MAX_DELTA_BYTES);
    ck_assert(!rest.more);
    ck_assert_uint_eq(rest.databases.databases_len +
                          first.databases.databases_len,
                      DATABASES_COUNT);
    ck_assert_uint_eq(rest.to_revision,
                      publication_get_revision(fixture.publication));
    publication_free_delta(&first);
    publication_free_delta(&rest);
    fixture_destroy(&fixture);
}
END_TEST

// Guards against a crash of an entry that receives a damaged delta.
START_TEST(test_corrupt_deltas_are_refused)
{
    struct fixture fixture;
    struct ck_packed_delta packed;
    struct ck_view_delta delta;

    fixture_create(&fixture);
    declare(&fixture);
    publication_fill_delta(fixture.publication, 0, PUBLICATION_MAX_DELTA_BYTES,
                           &packed);
    u_int size = packed.data.data_len;
    char *copy = xmalloc(size);
    for (u_int i = 1; i < size; i++) {
        struct ck_packed_delta cut = packed;
        cut.data.data_len = i;
        ck_assert_int_eq(publication_unpack_delta(&cut, &delta),
                         OUTCOME_PROTOCOL);
    }
    for (u_int i = 0; i < size; i++) {
        struct ck_packed_delta changed = packed;
        memcpy(copy, packed.data.data_val, size);
        copy[i] = (char)(copy[i] ^ 0x55);
        changed.data.data_val = copy;
        if (publication_unpack_delta(&changed, &delta) == OUTCOME_OK) {
            publication_free_delta(&delta);
        }
    }
    free(copy);
    fixture_destroy(&fixture);
}
END_TEST

// An entry that knows everything gets an empty delta.
START_TEST(test_nothing_new)
{
    struct fixture fixture;

    fixture_create(&fixture);
    declare(&fixture);
    uint64_t revision = publication_get_revision(fixture.publication);
    struct ck_view_delta delta =
        get_delta(&fixture, revision, PUBLICATION_MAX_DELTA_BYTES);
    ck_assert_uint_eq(delta.to_revision, revision);
    ck_assert_uint_eq(delta.routes.routes_len, 0);
    ck_assert_uint_eq(delta.declared.declared_len, 0);
    ck_assert(!delta.more);
    publication_free_delta(&delta);
    fixture_destroy(&fixture);
}
END_TEST

static void
add_tests(TCase *tests)
{
    tcase_add_test(tests, test_only_changed_routes_are_sent);
    tcase_add_test(tests, test_route_that_returns_is_sent);
    tcase_add_test(tests, test_declaration_is_sent_whole);
    tcase_add_test(tests, test_new_leader_sends_all_routes);
    tcase_add_test(tests, test_only_changed_customers_are_sent);
    tcase_add_test(tests, test_new_leader_sends_all_customers);
    tcase_add_test(tests, test_changes_between_two_parts);
    tcase_add_test(tests, test_corrupt_deltas_are_refused);
    tcase_add_test(tests, test_nothing_new);
}

TEST_MAIN("publication", add_tests)
