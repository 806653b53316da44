#include <check.h>
#include <malloc.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "catkingrade/decide/customer/key_digest.h"
#include "catkingrade/decide/random.h"
#include "catkingrade/entry/declared_customers.h"
#include "catkingrade/kernel/memory.h"
#include "test/suite.h"

#define NAMES           40
#define ROUNDS          400
#define DESIGN_SIZE     10000
#define DESIGN_KEYS     2
#define DESIGN_MAX_KIB  (8 * 1024)
#define BYTES_PER_KIB   1024
#define DIGEST_TEXT_MAX 32

static char *
text(const char *constant)
{
    return (char *)(uintptr_t)constant;
}

// The digest of a customer's key in a version of the customer.
static void
make_digest(unsigned name, unsigned version, ck_key_digest digest)
{
    char key[DIGEST_TEXT_MAX];

    int size = snprintf(key, sizeof(key), "key-%u-%u", name, version);
    key_digest_compute(key, (size_t)size, digest);
}

// Applies a random delta and the same change to an array of versions, where 0
// means that there is no such customer.
static struct declared_customers *
apply_random(struct declared_customers *table, unsigned versions[NAMES],
             uint64_t *seed, uint64_t generation, uint64_t min_generation)
{
    struct ck_declared_customer changed[NAMES];
    ck_key_digest digests[NAMES];
    ck_name removed[NAMES];
    char names[NAMES][16];
    struct ck_view_delta delta = {0};

    delta.declared_customers.declared_customers_val = changed;
    delta.declared_customers_removed.declared_customers_removed_val = removed;
    memset(changed, 0, sizeof(changed));
    for (unsigned i = NAMES; i > 0; i--) {
        unsigned name = (i * 7) % NAMES; // not in the order of the names
        unsigned choice = random_below(seed, 4);
        (void)snprintf(names[name], sizeof(names[name]), "cust-%u", name);
        if (choice == 0) {
            u_int index = delta.declared_customers.declared_customers_len++;
            versions[name] += 1;
            make_digest(name, versions[name], digests[index]);
            changed[index].name = names[name];
            changed[index].keys.keys_val = &digests[index];
            changed[index].keys.keys_len = 1;
        }
        else if (choice == 1 && min_generation == 0) {
            removed[delta.declared_customers_removed
                        .declared_customers_removed_len++] = names[name];
            versions[name] = 0;
        }
        else if (min_generation > 0) {
            versions[name] = 0;
        }
    }
    struct declared_customers *next = declared_customers_apply_delta(
        table, &delta, generation, min_generation);
    declared_customers_release(table);
    return next;
}

static void
check_customer(const struct declared_customers *table, unsigned name,
               unsigned version)
{
    char customer_name[16];
    ck_key_digest digest;

    (void)snprintf(customer_name, sizeof(customer_name), "cust-%u", name);
    const struct ck_declared_customer *customer =
        declared_customers_find(table, customer_name);
    ck_assert((customer != NULL) == (version > 0));
    make_digest(name, version, digest);
    ck_assert_ptr_eq(declared_customers_find_key(table, digest), customer);
    make_digest(name, version + 1, digest);
    ck_assert_ptr_null(declared_customers_find_key(table, digest));
}

// Guards against customers that are lost, stay after their removal or keep an
// old key: compares a table with an array under random deltas. A delta that
// starts a generation drops all customers that it does not have.
START_TEST(test_table_against_array)
{
    struct declared_customers *table = declared_customers_create();
    unsigned versions[NAMES] = {0};
    uint64_t seed = (uint64_t)_i;
    uint64_t generation = 1;

    for (int round = 0; round < ROUNDS; round++) {
        bool is_full = random_below(&seed, 10) == 0;
        size_t count = 0;
        generation += is_full ? 1 : 0;
        table = apply_random(table, versions, &seed, generation,
                             is_full ? generation : 0);
        for (unsigned name = 0; name < NAMES; name++) {
            check_customer(table, name, versions[name]);
            count += versions[name] > 0 ? 1 : 0;
        }
        ck_assert_uint_eq(declared_customers_get_count(table), count);
    }
    declared_customers_release(table);
}
END_TEST

// Guards against a check of all sessions for a delta without customers, and
// against a change in a table that a view still uses.
START_TEST(test_tables_are_shared_and_immutable)
{
    struct ck_declared_customer customer = {.name = text("a")};
    ck_name removed = text("a");
    struct ck_view_delta empty = {0};
    struct ck_view_delta add = {0};
    struct ck_view_delta remove = {0};
    struct declared_customers *first = declared_customers_create();

    struct declared_customers *same =
        declared_customers_apply_delta(first, &empty, 2, 2);
    ck_assert_ptr_eq(first, same);
    add.declared_customers.declared_customers_val = &customer;
    add.declared_customers.declared_customers_len = 1;
    struct declared_customers *second =
        declared_customers_apply_delta(first, &add, 2, 0);
    remove.declared_customers_removed.declared_customers_removed_val =
        &removed;
    remove.declared_customers_removed.declared_customers_removed_len = 1;
    struct declared_customers *third =
        declared_customers_apply_delta(second, &remove, 2, 0);
    ck_assert_uint_eq(declared_customers_get_count(first), 0);
    ck_assert_uint_eq(declared_customers_get_count(second), 1);
    ck_assert_uint_eq(declared_customers_get_count(third), 0);
    declared_customers_release(first);
    declared_customers_release(same);
    declared_customers_release(third);
    ck_assert_str_eq(declared_customers_get(second, 0)->name, "a");
    declared_customers_release(second);
}
END_TEST

#if !defined(__SANITIZE_ADDRESS__)
// Returns the allocated bytes, those of large blocks included.
static size_t
count_used_bytes(void)
{
    struct mallinfo2 info = mallinfo2();

    return info.uordblks + info.hblkhd;
}

// Guards against a table that takes a large part of an entry's memory: 10,000
// customers with two keys each may take at most 8 MB of the entry's 160.
START_TEST(test_memory_at_design_size)
{
    struct ck_declared_customer *customers =
        xcalloc(DESIGN_SIZE, sizeof(*customers));
    struct ck_view_delta delta = {0};

    for (unsigned i = 0; i < DESIGN_SIZE; i++) {
        customers[i].name = xasprintf("customer-number-%u", i);
        customers[i].keys.keys_len = DESIGN_KEYS;
        customers[i].keys.keys_val =
            xcalloc(DESIGN_KEYS, sizeof(ck_key_digest));
        for (unsigned j = 0; j < DESIGN_KEYS; j++) {
            make_digest(i, j, customers[i].keys.keys_val[j]);
        }
    }
    delta.declared_customers.declared_customers_val = customers;
    delta.declared_customers.declared_customers_len = DESIGN_SIZE;
    struct declared_customers *empty = declared_customers_create();
    size_t before_bytes = count_used_bytes();
    struct declared_customers *table =
        declared_customers_apply_delta(empty, &delta, 1, 0);
    size_t kib = (count_used_bytes() - before_bytes) / BYTES_PER_KIB;
    printf("%d customers take %zu KiB\n", DESIGN_SIZE, kib);
    ck_assert_uint_lt(kib, DESIGN_MAX_KIB);
    declared_customers_release(table);
    declared_customers_release(empty);
    for (unsigned i = 0; i < DESIGN_SIZE; i++) {
        free(customers[i].name);
        free(customers[i].keys.keys_val);
    }
    free(customers);
}
END_TEST
#endif

static void
add_tests(TCase *tests)
{
    tcase_add_loop_test(tests, test_table_against_array, 0, 4);
    tcase_add_test(tests, test_tables_are_shared_and_immutable);
#if !defined(__SANITIZE_ADDRESS__)
    tcase_add_test(tests, test_memory_at_design_size);
#endif
}

TEST_MAIN("declared_customers", add_tests)
