#include <check.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "catkingrade/entry/view.h"
#include "catkingrade/kernel/memory.h"
#include "test/suite.h"

static char *
text(const char *constant)
{
    return (char *)(uintptr_t)constant;
}

static struct ck_database
make_database(const char *name, const char *group, uint64_t term)
{
    struct ck_database database = {
        .name = text(name),
        .customer = text("roster"),
        .group = text(group),
        .term = term,
        .primary = text(""),
    };
    return database;
}

static struct ck_view_delta
make_delta(uint64_t from, uint64_t to, bool full, struct ck_database *rows,
           unsigned count)
{
    struct ck_view_delta delta = {
        .from_revision = from,
        .to_revision = to,
        .full = full,
        .databases = {.databases_len = count, .databases_val = rows},
    };
    return delta;
}

static struct view *
apply(struct view *view, const char *group, const struct ck_view_delta *delta)
{
    struct view *next = view_apply_delta(view, group, delta);

    view_release(view);
    return next;
}

// Guards against an inconsistent view: a delta that leaves a gap after the
// group's revision must be rejected, and applying a delta must not change a
// view that is still referenced.
START_TEST(test_delta_with_gap_is_rejected)
{
    struct ck_database rows[] = {make_database("b", "noord", 1),
                                 make_database("a", "noord", 1)};
    struct ck_view_delta first = make_delta(0, 5, true, rows, 2);
    struct ck_view_delta gap = make_delta(6, 7, false, rows, 1);
    struct view *view = apply(view_create(), "noord", &first);

    ck_assert_ptr_nonnull(view);
    ck_assert_uint_eq(view_get_revision(view, "noord"), 5);
    ck_assert_uint_eq(view_get_revision(view, "zuid"), 0);
    ck_assert_ptr_null(view_apply_delta(view, "noord", &gap));
    rows[0].term = 2;
    struct ck_view_delta next = make_delta(5, 6, false, rows, 1);
    struct view *older = view_retain(view);
    view = apply(view, "noord", &next);
    ck_assert_uint_eq(view_find_database(view, "b")->term, 2);
    ck_assert_uint_eq(view_find_database(older, "b")->term, 1);
    ck_assert_uint_eq(view_find_database(view, "a")->term, 1);
    view_release(older);
    view_release(view);
}
END_TEST

// Guards against a view going back to an older revision when a delta arrives
// late.
START_TEST(test_older_delta_is_ignored)
{
    struct ck_database rows[] = {make_database("a", "noord", 9)};
    struct ck_view_delta newer = make_delta(0, 9, true, rows, 1);
    struct view *view = apply(view_create(), "noord", &newer);

    rows[0].term = 3;
    struct ck_view_delta older = make_delta(0, 3, true, rows, 1);
    view = apply(view, "noord", &older);
    ck_assert_uint_eq(view_find_database(view, "a")->term, 9);
    ck_assert_uint_eq(view_get_revision(view, "noord"), 9);
    view_release(view);
}
END_TEST

// A full delta removes the objects of its own group that it does not contain,
// and no objects of other groups.
START_TEST(test_full_delta_replaces_only_its_group)
{
    struct ck_database noord[] = {make_database("n1", "noord", 1),
                                  make_database("n2", "noord", 1)};
    struct ck_database zuid[] = {make_database("z1", "zuid", 1)};
    struct ck_view_delta delta = make_delta(0, 1, true, noord, 2);
    struct view *view = apply(view_create(), "noord", &delta);

    delta = make_delta(0, 1, true, zuid, 1);
    view = apply(view, "zuid", &delta);
    // First of two parts: objects are removed only with the last part.
    delta = make_delta(0, 4, true, &noord[1], 1);
    delta.more = true;
    view = apply(view, "noord", &delta);
    ck_assert_ptr_nonnull(view_find_database(view, "n1"));
    delta = make_delta(4, 4, false, NULL, 0);
    view = apply(view, "noord", &delta);
    ck_assert_ptr_null(view_find_database(view, "n1"));
    ck_assert_ptr_nonnull(view_find_database(view, "n2"));
    ck_assert_ptr_nonnull(view_find_database(view, "z1"));
    ck_assert_uint_eq(view_get_databases_count(view), 2);
    view_release(view);
}
END_TEST

START_TEST(test_removed_customer)
{
    struct ck_database rows[] = {make_database("a", "fleet", 1)};
    struct ck_customer customer = {.name = text("roster"),
                                   .template_name = text("")};
    struct ck_view_delta delta = make_delta(0, 1, true, rows, 1);
    ck_name names[] = {text("roster")};

    delta.customers.customers_len = 1;
    delta.customers.customers_val = &customer;
    struct view *view = apply(view_create(), "fleet", &delta);
    ck_assert_ptr_nonnull(view_find_customer(view, "roster"));
    delta = make_delta(1, 2, false, NULL, 0);
    delta.customers_removed.customers_removed_len = 1;
    delta.customers_removed.customers_removed_val = names;
    view = apply(view, "fleet", &delta);
    ck_assert_ptr_null(view_find_customer(view, "roster"));
    ck_assert_ptr_nonnull(view_find_database(view, "a"));
    view_release(view);
}
END_TEST

static struct view *
load_text(const char *json, struct buffer *errors)
{
    char path[] = "/tmp/test_view_XXXXXX";
    int fd = mkstemp(path);

    ck_assert_int_ge(fd, 0);
    ck_assert_int_eq(write(fd, json, strlen(json)), (ssize_t)strlen(json));
    close(fd);
    struct view *view = view_load(path, errors);
    unlink(path);
    buffer_append_u8(errors, 0);
    return view;
}

#define CUSTOMERS                                                             \
    "{\"customers\": [{\"name\": \"roster\", \"max_age_ms\": 2000,\n"         \
    "  \"types\": [{\"name\": \"booking\", \"weight\": 10}],\n"               \
    "  \"callers\": [{\"user\": \"walker\"}]}],\n"

#define NAME_TOO_LONG                                                         \
    "0123456789012345678901234567890123456789012345678901234567890123"

START_TEST(test_load)
{
    struct buffer errors = {0};
    struct view *view = load_text(
        CUSTOMERS "\"databases\": [{\"name\": \"noord\", "
                  "\"customer\": \"roster\", \"primary\": \"n1\",\n"
                  " // three upstreams\n \"upstreams\": [{\"name\": \"n1\", "
                  "\"host\": \"127.0.0.1\", \"port\": 5001}]}]}",
        &errors);

    ck_assert_msg(view != NULL, "%s", (const char *)errors.data);
    const struct ck_customer *customer = view_find_customer(view, "roster");
    ck_assert_uint_eq(customer->max_age_ms, 2000);
    ck_assert_uint_eq(customer->types.types_len, 1);
    ck_assert_str_eq(customer->databases.databases_val[0], "noord");
    const struct ck_database *database = view_find_database(view, "noord");
    ck_assert_uint_eq(database->term, 1);
    ck_assert_uint_eq(database->upstreams.upstreams_val[0].port, 5001);
    view_release(view);
    buffer_free(&errors);
}
END_TEST

struct load_error {
    const char *text;
    const char *error;
};

static const struct load_error load_errors[] = {
    {CUSTOMERS "\"data\": []}", "data: unknown key"},
    {CUSTOMERS "\"databases\": [3]}", "databases[0]: must be an object"},
    {CUSTOMERS "\"databases\": [{\"name\": \"a\", \"customer\": \"x\"}]}",
     "databases[0]: customer: \"x\" is not known"},
    {CUSTOMERS "\"databases\": [{\"name\": \"a\", \"customer\": \"roster\", "
               "\"primary\": \"b\"}]}",
     "databases[0]: primary: \"b\" is not one of its upstreams"},
    {CUSTOMERS "\"databases\": [{\"name\": \"a\", \"customer\": \"roster\", "
               "\"upstreams\": [{\"name\": \"n\", \"host\": \"127.0.0.1\", "
               "\"port\": 70000}]}]}",
     "70000 is out of range"},
    {CUSTOMERS "\"databases\": [{\"name\": \"a\", \"customer\": \"roster\", "
               "\"group\": \"" NAME_TOO_LONG "\"}]}",
     "databases[0]: group: longer than 63 characters"},
    {"{", ": "},
};

START_TEST(test_load_error)
{
    struct buffer errors = {0};

    ck_assert_ptr_null(load_text(load_errors[_i].text, &errors));
    ck_assert_msg(
        strstr((const char *)errors.data, load_errors[_i].error) != NULL,
        "wanted %s, got %s", load_errors[_i].error, (const char *)errors.data);
    buffer_free(&errors);
}
END_TEST

static struct ck_route
make_route(const char *name, unsigned deadline_ms)
{
    struct ck_route route = {.name = text(name),
                             .database = text("roster"),
                             .deadline_ms = deadline_ms};
    return route;
}

// A delta of a declaration lists only the routes that have changed; the others
// must stay, and those removed must go.
START_TEST(test_routes_change_one_by_one)
{
    struct ck_route both[] = {make_route("booking", 1),
                              make_route("reading", 2)};
    struct ck_route changed[] = {make_route("reading", 3)};
    struct ck_declared numbers[] = {{.number = 1}, {.number = 2}};
    char *removed[] = {text("booking")};
    struct ck_view_delta first = make_delta(0, 5, true, NULL, 0);
    struct ck_view_delta second = make_delta(5, 6, false, NULL, 0);
    struct ck_view_delta third = make_delta(6, 7, false, NULL, 0);
    struct view *view = view_create();

    ck_assert_uint_eq(view_get_declared(view)->number, 0);
    first.routes.routes_val = both;
    first.routes.routes_len = 2;
    first.declared.declared_val = &numbers[0];
    first.declared.declared_len = 1;
    view = apply(view, "fleet", &first);
    ck_assert_uint_eq(view_get_declared(view)->number, 1);
    second.routes.routes_val = changed;
    second.routes.routes_len = 1;
    second.declared.declared_val = &numbers[1];
    second.declared.declared_len = 1;
    view = apply(view, "fleet", &second);
    ck_assert_uint_eq(view_get_declared(view)->number, 2);
    ck_assert_uint_eq(view_find_route(view, "booking")->deadline_ms, 1);
    ck_assert_uint_eq(view_find_route(view, "reading")->deadline_ms, 3);
    third.routes_removed.routes_removed_val = removed;
    third.routes_removed.routes_removed_len = 1;
    view = apply(view, "fleet", &third);
    ck_assert_ptr_null(view_find_route(view, "booking"));
    ck_assert_ptr_nonnull(view_find_route(view, "reading"));
    view_release(view);
}
END_TEST

// A full delta replaces the routes with its last part; a delta of another
// group does not touch them.
START_TEST(test_full_delta_replaces_routes)
{
    struct ck_route old[] = {make_route("booking", 1),
                             make_route("reading", 2)};
    struct ck_route new[] = {make_route("reading", 3)};
    struct ck_view_delta first = make_delta(0, 5, true, NULL, 0);
    struct ck_view_delta other = make_delta(0, 9, true, NULL, 0);
    struct ck_view_delta part = make_delta(0, 6, true, NULL, 0);
    struct ck_view_delta last = make_delta(6, 7, false, NULL, 0);
    struct view *view = view_create();

    first.routes.routes_val = old;
    first.routes.routes_len = 2;
    view = apply(view, "fleet", &first);
    view = apply(view, "noord", &other);
    ck_assert_ptr_nonnull(view_find_route(view, "booking"));
    part.routes.routes_val = new;
    part.routes.routes_len = 1;
    part.more = true;
    view = apply(view, "fleet", &part);
    ck_assert_ptr_nonnull(view_find_route(view, "booking"));
    view = apply(view, "fleet", &last);
    ck_assert_ptr_null(view_find_route(view, "booking"));
    ck_assert_uint_eq(view_find_route(view, "reading")->deadline_ms, 3);
    view_release(view);
}
END_TEST

// Guards against a route that was removed and is still served: the leader
// changes before an entry learns of the removal, and the new leader sends all
// routes that there are.
START_TEST(test_routes_that_a_new_leader_lacks_are_removed)
{
    struct ck_route old[] = {make_route("booking", 1),
                             make_route("reading", 2)};
    struct ck_route new[] = {make_route("reading", 3)};
    struct ck_view_delta first = make_delta(0, 5, true, NULL, 0);
    struct ck_view_delta part = make_delta(5, 7, false, NULL, 0);
    struct ck_view_delta last = make_delta(7, 9, false, NULL, 0);
    struct ck_view_delta later = make_delta(9, 10, false, NULL, 0);
    struct view *view = view_create();

    first.routes.routes_val = old;
    first.routes.routes_len = 2;
    view = apply(view, "fleet", &first);
    part.routes_since = last.routes_since = later.routes_since = 6;
    part.routes.routes_val = new;
    part.routes.routes_len = 1;
    part.more = true;
    view = apply(view, "fleet", &part);
    view = apply(view, "fleet", &last);
    ck_assert_ptr_null(view_find_route(view, "booking"));
    ck_assert_uint_eq(view_find_route(view, "reading")->deadline_ms, 3);
    view = apply(view, "fleet", &later);
    ck_assert_ptr_nonnull(view_find_route(view, "reading"));
    view_release(view);
}
END_TEST

// Guards against an entry that serves a new route and then a removed one: the
// routes that a new leader lacks go with the delta that brings its
// declaration, also if other changes are left.
START_TEST(test_routes_are_removed_with_the_declaration)
{
    struct ck_route old[] = {make_route("booking", 1)};
    struct ck_route new[] = {make_route("reading", 2)};
    struct ck_declared declared = {.number = 2};
    struct ck_view_delta first = make_delta(0, 5, true, NULL, 0);
    struct ck_view_delta part = make_delta(5, 7, false, NULL, 0);
    struct view *view = view_create();

    first.routes.routes_val = old;
    first.routes.routes_len = 1;
    view = apply(view, "fleet", &first);
    part.routes_since = 6;
    part.routes.routes_val = new;
    part.routes.routes_len = 1;
    part.declared.declared_val = &declared;
    part.declared.declared_len = 1;
    part.more = true;
    view = apply(view, "fleet", &part);
    ck_assert_ptr_null(view_find_route(view, "booking"));
    ck_assert_ptr_nonnull(view_find_route(view, "reading"));
    view_release(view);
}
END_TEST

// Sets the declared customers of a delta: one for each character of names,
// which is the name and the first byte of the only key. The arrays are valid
// until the next call with the same index.
static void
set_customers(struct ck_view_delta *delta, unsigned index, const char *names)
{
    static struct ck_declared_customer customers[4][4];
    static char customer_names[4][4][2];
    static ck_key_digest keys[4][4];
    unsigned count = (unsigned)strlen(names);

    memset(customers[index], 0, sizeof(customers[index]));
    for (unsigned i = 0; i < count; i++) {
        customer_names[index][i][0] = names[i];
        keys[index][i][0] = names[i];
        customers[index][i].name = customer_names[index][i];
        customers[index][i].keys.keys_len = 1;
        customers[index][i].keys.keys_val = &keys[index][i];
    }
    delta->declared_customers.declared_customers_val = customers[index];
    delta->declared_customers.declared_customers_len = count;
}

// Returns the name of the customer with a key, "" if there is none.
static const char *
find_key(const struct view *view, char first_byte)
{
    ck_key_digest digest = {first_byte};
    const struct ck_declared_customer *customer =
        declared_customers_find_key(view_get_declared_customers(view), digest);

    return customer == NULL ? "" : customer->name;
}

// Guards against keys that are added or removed late, and against a check of
// all sessions for a view in which no customer has changed.
START_TEST(test_declared_customers_change_one_by_one)
{
    char *removed[] = {text("a")};
    struct ck_view_delta first = make_delta(0, 5, true, NULL, 0);
    struct ck_view_delta second = make_delta(5, 6, false, NULL, 0);
    struct ck_view_delta third = make_delta(6, 7, false, NULL, 0);
    struct view *view = view_create();

    set_customers(&first, 0, "ba");
    view = apply(view, "fleet", &first);
    ck_assert_str_eq(find_key(view, 'a'), "a");
    ck_assert_str_eq(find_key(view, 'b'), "b");
    uint64_t version = view_get_access_version(view);
    set_customers(&second, 1, "c");
    second.declared_customers_removed.declared_customers_removed_val = removed;
    second.declared_customers_removed.declared_customers_removed_len = 1;
    view = apply(view, "fleet", &second);
    ck_assert_str_eq(find_key(view, 'a'), "");
    ck_assert_str_eq(find_key(view, 'b'), "b");
    ck_assert_str_eq(find_key(view, 'c'), "c");
    ck_assert_uint_ne(view_get_access_version(view), version);
    version = view_get_access_version(view);
    view = apply(view, "fleet", &third);
    ck_assert_uint_eq(view_get_access_version(view), version);
    view_release(view);
}
END_TEST

// Guards against a removed key that is still accepted: the leader changes
// before an entry learns of the removal, and the new leader sends all
// customers that there are, in the delta with its declaration.
START_TEST(test_customers_that_a_new_leader_lacks_are_removed)
{
    struct ck_declared declared = {.number = 2};
    struct ck_view_delta first = make_delta(0, 5, true, NULL, 0);
    struct ck_view_delta part = make_delta(5, 7, false, NULL, 0);
    struct ck_view_delta last = make_delta(7, 9, false, NULL, 0);
    struct view *view = view_create();

    set_customers(&first, 0, "ab");
    view = apply(view, "fleet", &first);
    part.routes_since = last.routes_since = 6;
    set_customers(&part, 1, "b");
    part.declared.declared_val = &declared;
    part.declared.declared_len = 1;
    part.more = true;
    view = apply(view, "fleet", &part);
    ck_assert_str_eq(find_key(view, 'a'), "");
    ck_assert_str_eq(find_key(view, 'b'), "b");
    view = apply(view, "fleet", &last);
    ck_assert_str_eq(find_key(view, 'b'), "b");
    view_release(view);
}
END_TEST

// Guards against removed keys that survive a full delta, also one without any
// customer, and against another group's full delta that drops customers.
START_TEST(test_full_delta_replaces_customers)
{
    struct ck_view_delta first = make_delta(0, 5, true, NULL, 0);
    struct ck_view_delta other = make_delta(0, 9, true, NULL, 0);
    struct ck_view_delta part = make_delta(0, 6, true, NULL, 0);
    struct ck_view_delta last = make_delta(6, 7, false, NULL, 0);
    struct ck_view_delta empty = make_delta(0, 8, true, NULL, 0);
    struct view *view = view_create();

    set_customers(&first, 0, "ab");
    view = apply(view, "fleet", &first);
    view = apply(view, "noord", &other);
    ck_assert_str_eq(find_key(view, 'a'), "a");
    set_customers(&part, 1, "b");
    part.more = true;
    view = apply(view, "fleet", &part);
    view = apply(view, "fleet", &last);
    ck_assert_str_eq(find_key(view, 'a'), "");
    ck_assert_str_eq(find_key(view, 'b'), "b");
    view = apply(view, "fleet", &empty);
    ck_assert_str_eq(find_key(view, 'b'), "");
    view_release(view);
}
END_TEST

// Guards against a session without a key that stays on a route which is no
// longer public.
START_TEST(test_public_route_changes_access)
{
    struct ck_route before[] = {make_route("booking", 1)};
    struct ck_route same[] = {make_route("booking", 2)};
    struct ck_route after[] = {make_route("booking", 1)};
    struct ck_view_delta first = make_delta(0, 5, true, NULL, 0);
    struct ck_view_delta second = make_delta(5, 6, false, NULL, 0);
    struct ck_view_delta third = make_delta(6, 7, false, NULL, 0);
    struct view *view = view_create();

    before[0].is_public = same[0].is_public = true;
    first.routes.routes_val = before;
    second.routes.routes_val = same;
    third.routes.routes_val = after;
    first.routes.routes_len = second.routes.routes_len = 1;
    third.routes.routes_len = 1;
    view = apply(view, "fleet", &first);
    uint64_t version = view_get_access_version(view);
    view = apply(view, "fleet", &second);
    ck_assert_uint_eq(view_get_access_version(view), version);
    view = apply(view, "fleet", &third);
    ck_assert_uint_ne(view_get_access_version(view), version);
    view_release(view);
}
END_TEST

// Guards against open sessions that are not checked when the first list of
// customers that a deployment gets is empty, as no customer changes.
START_TEST(test_refused_keys_change_access)
{
    struct ck_declared declared[] = {{.number = 1},
                                     {.number = 2},
                                     {.number = 3, .refuses_keys = TRUE},
                                     {.number = 4, .refuses_keys = TRUE},
                                     {.number = 5}};
    static const bool changes[] = {false, false, true, false, true};
    struct view *view = view_create();

    for (unsigned i = 0; i < ARRAY_SIZE(changes); i++) {
        struct ck_view_delta delta = make_delta(i, i + 1, i == 0, NULL, 0);
        uint64_t version = view_get_access_version(view);
        delta.declared.declared_val = &declared[i];
        delta.declared.declared_len = 1;
        view = apply(view, "fleet", &delta);
        ck_assert(changes[i] == (view_get_access_version(view) != version));
        ck_assert(view_get_declared(view)->refuses_keys ==
                  declared[i].refuses_keys);
    }
    view_release(view);
}
END_TEST

static void
add_tests(TCase *tests)
{
    tcase_add_test(tests, test_declared_customers_change_one_by_one);
    tcase_add_test(tests, test_customers_that_a_new_leader_lacks_are_removed);
    tcase_add_test(tests, test_full_delta_replaces_customers);
    tcase_add_test(tests, test_public_route_changes_access);
    tcase_add_test(tests, test_refused_keys_change_access);
    tcase_add_test(tests, test_routes_are_removed_with_the_declaration);
    tcase_add_test(tests, test_routes_that_a_new_leader_lacks_are_removed);
    tcase_add_test(tests, test_routes_change_one_by_one);
    tcase_add_test(tests, test_full_delta_replaces_routes);
    tcase_add_test(tests, test_delta_with_gap_is_rejected);
    tcase_add_test(tests, test_older_delta_is_ignored);
    tcase_add_test(tests, test_full_delta_replaces_only_its_group);
    tcase_add_test(tests, test_removed_customer);
    tcase_add_test(tests, test_load);
    tcase_add_loop_test(tests, test_load_error, 0,
                        sizeof(load_errors) / sizeof(load_errors[0]));
}

TEST_MAIN("view", add_tests)
