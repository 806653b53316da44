#include <string.h>

#include "catkingrade/decide/group/declaration.h"
#include "catkingrade/decide/group/declaration_index.h"
#include "catkingrade/decide/group/group.h"
#include "catkingrade/decide/group/publication.h"
#include "catkingrade/kernel/memory.h"
#include "catkingrade/kernel/outcome.h"
#include "test/fake/changes.h"
#include "test/suite.h"

// A declaration with one database and two routes to it.
struct sample {
    struct ck_declaration declaration;
    struct ck_route routes[3];
    struct ck_declared_database databases[2];
};

static void
make_sample(struct sample *sample)
{
    *sample = (struct sample){
        .routes = {{.name = (char *)"booking",
                    .database = (char *)"roster1",
                    .deadline_ms = 1000},
                   {.name = (char *)"reading",
                    .database = (char *)"roster1",
                    .reads = CK_READS_BY_AGE,
                    .max_age_ms = 1500,
                    .deadline_ms = 3000}},
        .databases = {
            {.name = (char *)"roster1", .connections = 33, .confirm = 1}}};
    sample->declaration.routes.routes_val = sample->routes;
    sample->declaration.routes.routes_len = 2;
    sample->declaration.databases.databases_val = sample->databases;
    sample->declaration.databases.databases_len = 1;
    sample->declaration.original.original_val = (char *)"as it was sent";
    sample->declaration.original.original_len = 14;
}

static int
apply(struct group_state *group, const struct sample *sample, uint64_t number,
      struct group_result *result)
{
    struct ck_change change = {.kind = CK_CHANGE_DECLARATION};

    ck_assert_int_eq(declaration_pack(&sample->declaration, number,
                                      &change.ck_change_u.declaration),
                     OUTCOME_OK);
    int outcome = changes_apply(group, number, &change, "", -1, result);
    declaration_free_packed(&change.ck_change_u.declaration);
    return outcome;
}

// Returns the route of a declaration with this name, or NULL.
static const struct ck_route *
find_route(const struct ck_declaration *declaration, const char *name)
{
    struct declaration_index *index = declaration_index_create(declaration);
    const struct ck_route *route = declaration_index_find_route(index, name);

    declaration_index_destroy(index);
    return route;
}

START_TEST(test_pack_and_unpack)
{
    struct sample sample;
    struct ck_packed_declaration packed;
    struct ck_declaration back;

    make_sample(&sample);
    ck_assert_int_eq(declaration_pack(&sample.declaration, 7, &packed),
                     OUTCOME_OK);
    ck_assert_uint_eq(packed.number, 7);
    ck_assert_int_eq(declaration_unpack(&packed, &back), OUTCOME_OK);
    ck_assert_uint_eq(back.routes.routes_len, 2);
    ck_assert_uint_eq(find_route(&back, "reading")->max_age_ms, 1500);
    ck_assert_ptr_null(find_route(&back, "read"));
    ck_assert_uint_eq(back.original.original_len, 14);
    ck_assert_int_eq(memcmp(back.original.original_val, "as it was sent", 14),
                     0);
    declaration_free(&back);
    for (u_int cut = 0; cut < packed.data.data_len; cut++) {
        struct ck_packed_declaration shorter = packed;
        shorter.data.data_len = cut;
        ck_assert_int_eq(declaration_unpack(&shorter, &back), OUTCOME_CORRUPT);
    }
    declaration_free_packed(&packed);
}
END_TEST

START_TEST(test_check_names_each_fault)
{
    static const struct {
        const char *fault;
        unsigned fault_kind;
    } rows[] = {{"route reading: no database elsewhere", 0},
                {"route reading: its deadline is 0", 1},
                {"two routes have the name booking", 2},
                {"two databases have the name roster1", 3},
                {"a route has no name", 4}};

    for (size_t i = 0; i < sizeof(rows) / sizeof(rows[0]); i++) {
        struct sample sample;
        struct buffer errors = {0};
        make_sample(&sample);
        switch (rows[i].fault_kind) {
        case 0:
            sample.routes[1].database = (char *)"elsewhere";
            break;
        case 1:
            sample.routes[1].deadline_ms = 0;
            break;
        case 2:
            sample.routes[1].name = (char *)"booking";
            break;
        case 3:
            sample.databases[1] = sample.databases[0];
            sample.declaration.databases.databases_len = 2;
            break;
        default:
            sample.routes[0].name = (char *)"";
            break;
        }
        ck_assert_int_eq(declaration_check(&sample.declaration, &errors),
                         OUTCOME_INVALID);
        buffer_append_u8(&errors, 0);
        ck_assert_msg(strstr((const char *)buffer_get_data(&errors),
                             rows[i].fault) != NULL,
                      "%s: %s", rows[i].fault,
                      (const char *)buffer_get_data(&errors));
        buffer_free(&errors);
    }
}
END_TEST

// Guards against an older declaration replacing a newer one: a declaration
// whose number is not higher than the current number is accepted without
// effect. An invalid declaration is refused whatever its number.
START_TEST(test_highest_number_is_in_force)
{
    struct group_state *group = group_create(GROUP_FLEET_NAME);
    struct group_result result;
    struct sample sample;
    struct ck_declaration back;

    make_sample(&sample);
    ck_assert_ptr_null(group_get_declaration(group));
    ck_assert_int_eq(apply(group, &sample, 5, &result), OUTCOME_OK);
    uint64_t revision = group_get_revision(group);
    sample.routes[0].deadline_ms = 9;
    ck_assert_int_eq(apply(group, &sample, 5, &result), OUTCOME_OK);
    ck_assert_int_eq(apply(group, &sample, 4, &result), OUTCOME_OK);
    ck_assert_uint_eq(group_get_revision(group), revision);
    ck_assert_int_eq(declaration_unpack(group_get_declaration(group), &back),
                     OUTCOME_OK);
    ck_assert_uint_eq(find_route(&back, "booking")->deadline_ms, 1000);
    declaration_free(&back);
    sample.routes[0].deadline_ms = 0;
    ck_assert_int_eq(apply(group, &sample, 3, &result), OUTCOME_INVALID);
    ck_assert_int_eq(apply(group, &sample, 9, &result), OUTCOME_INVALID);
    ck_assert_uint_eq(group_get_declaration(group)->number, 5);
    group_destroy(group);
}
END_TEST

static ck_promotion_policy
get_promotion(const struct group_state *group)
{
    return group_find_customer_of_database(group, "roster1")->promotion;
}

// Guards against the loss of acknowledged writes: a database whose writes
// replicas confirm is never promoted automatically without all of them, also
// if an earlier declaration did not ask for confirmations.
START_TEST(test_confirmed_writes_exclude_availability_first)
{
    struct group_state *group = group_create(GROUP_FLEET_NAME);
    struct group_result result;
    struct sample sample;

    make_sample(&sample);
    sample.databases[0].confirm = 0;
    ck_assert_int_eq(apply(group, &sample, 1, &result), OUTCOME_OK);
    ck_assert_int_eq(get_promotion(group), CK_PROMOTION_AVAILABLE);
    sample.databases[0].confirm = 1;
    ck_assert_int_eq(apply(group, &sample, 2, &result), OUTCOME_OK);
    ck_assert_int_eq(get_promotion(group), CK_PROMOTION_OPERATOR);
    sample.databases[0].confirm = 0;
    ck_assert_int_eq(apply(group, &sample, 3, &result), OUTCOME_OK);
    ck_assert_int_eq(get_promotion(group), CK_PROMOTION_AVAILABLE);
    group_destroy(group);
}
END_TEST

// A new declaration adds and removes databases. The connection limit of the
// declaration overrides the announced limit, also after the limit has changed.
START_TEST(test_declaration_updates_databases)
{
    struct group_state *group = group_create(GROUP_FLEET_NAME);
    struct group_result result;
    struct sample sample;
    struct ck_upstream upstream =
        changes_make_upstream("u1", "roster1", "noord", "10.0.0.1");

    ck_assert_int_eq(changes_apply_upstream(group, &upstream),
                     OUTCOME_NOT_FOUND);
    make_sample(&sample);
    ck_assert_int_eq(apply(group, &sample, 1, &result), OUTCOME_OK);
    ck_assert_uint_eq(group_find_customer(group, "roster1")->confirm, 1);
    ck_assert_int_eq(changes_apply_upstream(group, &upstream), OUTCOME_OK);
    ck_assert_uint_eq(group_find_upstream(group, "u1")->connections, 33);
    sample.databases[0].connections = 20;
    ck_assert_int_eq(apply(group, &sample, 2, &result), OUTCOME_OK);
    ck_assert_uint_eq(group_find_upstream(group, "u1")->connections, 20);
    ck_assert_uint_eq(group_find_upstream(group, "u1")->slots, 20);
    sample.declaration.routes.routes_len = 0;
    sample.declaration.databases.databases_len = 0;
    ck_assert_int_eq(apply(group, &sample, 3, &result), OUTCOME_OK);
    ck_assert_ptr_null(group_find_database(group, "roster1"));
    ck_assert_int_eq(changes_apply_upstream(group, &upstream),
                     OUTCOME_NOT_FOUND);
    sample.declaration.databases.databases_len = 1;
    ck_assert_int_eq(apply(group, &sample, 4, &result), OUTCOME_OK);
    ck_assert_ptr_nonnull(group_find_database(group, "roster1"));
    group_destroy(group);
}
END_TEST

// Guards against state lost in snapshots: a group restored from a snapshot
// must encode to the same bytes. An entry that starts must receive the
// declaration with its first delta.
START_TEST(test_snapshot_and_delta)
{
    struct group_state *group = group_create(GROUP_FLEET_NAME);
    struct group_result result;
    struct sample sample;
    struct ck_upstream upstream =
        changes_make_upstream("u1", "roster1", "noord", "10.0.0.1");
    struct buffer first = {0};
    struct buffer second = {0};
    struct ck_packed_delta packed;
    struct ck_view_delta delta;
    struct publication *publication = publication_create();

    make_sample(&sample);
    ck_assert_int_eq(apply(group, &sample, 1, &result), OUTCOME_OK);
    ck_assert_int_eq(changes_apply_upstream(group, &upstream), OUTCOME_OK);
    group_encode(group, &first);
    group_destroy(group);
    group = group_decode(GROUP_FLEET_NAME, buffer_get_data(&first),
                         buffer_get_size(&first));
    ck_assert_ptr_nonnull(group);
    group_encode(group, &second);
    ck_assert_uint_eq(buffer_get_size(&first), buffer_get_size(&second));
    ck_assert_int_eq(memcmp(buffer_get_data(&first), buffer_get_data(&second),
                            buffer_get_size(&first)),
                     0);
    publication_update(publication, group);
    publication_fill_delta(publication, 0, PUBLICATION_MAX_DELTA_BYTES,
                           &packed);
    ck_assert_int_eq(publication_unpack_delta(&packed, &delta), OUTCOME_OK);
    ck_assert_uint_eq(delta.declared.declared_len, 1);
    ck_assert_uint_eq(delta.declared.declared_val[0].number, 1);
    ck_assert_uint_eq(delta.routes.routes_len, 2);
    publication_free_delta(&delta);
    publication_destroy(publication);
    sample.databases[0].connections = 12;
    ck_assert_int_eq(apply(group, &sample, 2, &result), OUTCOME_OK);
    ck_assert_uint_eq(group_find_upstream(group, "u1")->connections, 12);
    buffer_free(&first);
    buffer_free(&second);
    group_destroy(group);
}
END_TEST

// Returns whether entries are told that no key is valid, once as the group is
// and once as it is restored from its snapshot.
static bool
refuses_keys(struct group_state **group)
{
    bool refuses[2];

    for (int i = 0; i < 2; i++) {
        struct publication *publication = publication_create();
        struct ck_packed_delta packed;
        struct ck_view_delta delta;
        struct buffer bytes = {0};
        publication_update(publication, *group);
        publication_fill_delta(publication, 0, PUBLICATION_MAX_DELTA_BYTES,
                               &packed);
        ck_assert_int_eq(publication_unpack_delta(&packed, &delta),
                         OUTCOME_OK);
        ck_assert_uint_eq(delta.declared.declared_len, 1);
        refuses[i] = delta.declared.declared_val[0].refuses_keys;
        publication_free_delta(&delta);
        publication_destroy(publication);
        group_encode(*group, &bytes);
        group_destroy(*group);
        *group = group_decode(GROUP_FLEET_NAME, buffer_get_data(&bytes),
                              buffer_get_size(&bytes));
        ck_assert_ptr_nonnull(*group);
        buffer_free(&bytes);
    }
    ck_assert(refuses[0] == refuses[1]);
    return refuses[0];
}

// Guards against keys that come into use once the last customer is gone: by an
// empty list, by one that is left out afterwards, and after a restart from a
// snapshot. Without any list from the start no key is refused.
START_TEST(test_keys_without_customers)
{
    static const struct {
        u_int customers;
        bool list;
        bool refuses;
    } rows[] = {{0, false, false}, {0, false, false}, {1, true, false},
                {0, true, true},   {0, false, true},  {1, true, false},
                {0, false, true},  {0, false, true},  {1, true, false},
                {0, true, true}};
    struct ck_declared_customer customer = {.name = (char *)"cust-a"};
    struct group_state *group = group_create(GROUP_FLEET_NAME);
    struct group_result result;
    struct sample sample;

    make_sample(&sample);
    sample.declaration.customers.customers_val = &customer;
    for (size_t i = 0; i < ARRAY_SIZE(rows); i++) {
        sample.declaration.customers.customers_len = rows[i].customers;
        sample.declaration.refuses_keys =
            rows[i].list && rows[i].customers == 0;
        ck_assert_int_eq(apply(group, &sample, i + 1, &result), OUTCOME_OK);
        ck_assert_msg(refuses_keys(&group) == rows[i].refuses, "row %zu", i);
    }
    // An older number changes nothing, also not the use of keys.
    sample.declaration.customers.customers_len = 1;
    ck_assert_int_eq(apply(group, &sample, 1, &result), OUTCOME_OK);
    ck_assert(refuses_keys(&group));
    group_destroy(group);
}
END_TEST

// Guards against an empty list, the first one that a group gets, that is
// taken for a missing one.
START_TEST(test_first_list_is_empty)
{
    struct group_state *group = group_create(GROUP_FLEET_NAME);
    struct group_result result;
    struct sample sample;

    make_sample(&sample);
    sample.declaration.refuses_keys = TRUE;
    ck_assert_int_eq(apply(group, &sample, 1, &result), OUTCOME_OK);
    ck_assert(refuses_keys(&group));
    group_destroy(group);
}
END_TEST

#define MANY_DATABASES  8900
#define MANY_TEXT_BYTES 300 // of the operator's text for each database

// Makes a declaration of many databases with one route to each.
static void
make_many(struct ck_declaration *declaration)
{
    u_int count = MANY_DATABASES;

    memset(declaration, 0, sizeof(*declaration));
    declaration->routes.routes_val = xcalloc(count, sizeof(struct ck_route));
    declaration->routes.routes_len = count;
    declaration->databases.databases_val =
        xcalloc(count, sizeof(struct ck_declared_database));
    declaration->databases.databases_len = count;
    for (u_int i = 0; i < count; i++) {
        struct ck_route *route = &declaration->routes.routes_val[i];
        struct ck_declared_database *database =
            &declaration->databases.databases_val[i];
        database->name = xasprintf("roster-%u", i * 2654435761U);
        database->connections = 10 + i % 7;
        route->name = xasprintf("booking-%u", i * 2246822519U);
        route->database = xstrdup(database->name);
        route->deadline_ms = 1000 + i % 900;
    }
    declaration->original.original_len = count * MANY_TEXT_BYTES;
    declaration->original.original_val =
        xcalloc(declaration->original.original_len, 1);
    for (u_int i = 0; i < declaration->original.original_len; i += 20) {
        declaration->original.original_val[i] = (char)(i * 2654435761U >> 24);
    }
}

// A declaration of as many databases as a deployment may have was refused
// since it did not fit into one datagram.
START_TEST(test_declaration_of_many_databases)
{
    struct group_state *group = group_create(GROUP_FLEET_NAME);
    struct ck_change change = {.kind = CK_CHANGE_DECLARATION};
    struct ck_packed_declaration *packed = &change.ck_change_u.declaration;
    struct ck_declaration declaration;
    struct ck_declaration back;
    struct group_result result;

    make_many(&declaration);
    ck_assert_int_eq(declaration_pack(&declaration, 1, packed), OUTCOME_OK);
    ck_assert_int_eq(changes_apply(group, 1, &change, "", -1, &result),
                     OUTCOME_OK);
    ck_assert_ptr_nonnull(group_find_customer(
        group, declaration.databases.databases_val[MANY_DATABASES - 1].name));
    ck_assert_int_eq(declaration_unpack(group_get_declaration(group), &back),
                     OUTCOME_OK);
    ck_assert_uint_eq(back.original.original_len,
                      declaration.original.original_len);
    ck_assert_int_eq(memcmp(back.original.original_val,
                            declaration.original.original_val,
                            back.original.original_len),
                     0);
    declaration_free(&back);
    declaration_free_packed(packed);
    declaration_free(&declaration);
    group_destroy(group);
}
END_TEST

// Guards against two upstreams at one address: the upstream with the later
// incarnation is kept and the earlier one becomes lost. Announcements of an
// earlier incarnation are refused.
START_TEST(test_address_goes_to_the_later_start)
{
    struct group_state *group = group_create(GROUP_FLEET_NAME);
    struct group_result result;
    struct sample sample;
    struct ck_upstream old =
        changes_make_upstream("u1", "roster1", "noord", "10.0.0.1");
    struct ck_upstream fresh =
        changes_make_upstream("u2", "roster1", "noord", "10.0.0.1");

    make_sample(&sample);
    ck_assert_int_eq(apply(group, &sample, 1, &result), OUTCOME_OK);
    old.incarnation = 100;
    fresh.incarnation = 200;
    ck_assert_int_eq(changes_apply_upstream(group, &old), OUTCOME_OK);
    ck_assert_int_eq(changes_apply_upstream(group, &fresh), OUTCOME_OK);
    ck_assert_int_eq(group_find_upstream(group, "u1")->state,
                     CK_UPSTREAM_LOST);
    ck_assert_int_eq(group_find_upstream(group, "u2")->state,
                     CK_UPSTREAM_READY);
    old.sequence = 9;
    ck_assert_int_eq(changes_apply_upstream(group, &old), OUTCOME_CONFLICT);
    fresh.incarnation = 150;
    ck_assert_int_eq(changes_apply_upstream(group, &fresh), OUTCOME_CONFLICT);
    group_destroy(group);
}
END_TEST

static void
add_tests(TCase *tests)
{
    tcase_add_test(tests, test_pack_and_unpack);
    tcase_add_test(tests, test_check_names_each_fault);
    tcase_add_test(tests, test_highest_number_is_in_force);
    tcase_add_test(tests, test_confirmed_writes_exclude_availability_first);
    tcase_add_test(tests, test_declaration_updates_databases);
    tcase_add_test(tests, test_snapshot_and_delta);
    tcase_add_test(tests, test_keys_without_customers);
    tcase_add_test(tests, test_first_list_is_empty);
    tcase_add_test(tests, test_declaration_of_many_databases);
    tcase_add_test(tests, test_address_goes_to_the_later_start);
}

TEST_MAIN("declaration", add_tests)
