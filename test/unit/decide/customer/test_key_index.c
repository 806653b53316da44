#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "catkingrade/decide/customer/key_digest.h"
#include "catkingrade/decide/customer/key_index.h"
#include "catkingrade/kernel/memory.h"
#include "test/suite.h"

#define CUSTOMERS 50
#define KEYS      3

// Customers cust-i, each with the keys key-i-0 to key-i-2.
struct fixture {
    struct ck_declared_customer customers[CUSTOMERS];
    const struct ck_declared_customer *pointers[CUSTOMERS];
};

static void
make_digest(unsigned customer, unsigned number, ck_key_digest digest)
{
    char *key = xasprintf("key-%u-%u", customer, number);

    key_digest_compute(key, strlen(key), digest);
    free(key);
}

static void
fixture_create(struct fixture *fixture)
{
    memset(fixture, 0, sizeof(*fixture));
    for (unsigned i = 0; i < CUSTOMERS; i++) {
        struct ck_declared_customer *customer = &fixture->customers[i];
        customer->name = xasprintf("cust-%u", i);
        customer->keys.keys_len = KEYS;
        customer->keys.keys_val = xcalloc(KEYS, sizeof(ck_key_digest));
        for (unsigned j = 0; j < KEYS; j++) {
            make_digest(i, j, customer->keys.keys_val[j]);
        }
        fixture->pointers[i] = customer;
    }
}

static void
fixture_destroy(struct fixture *fixture)
{
    for (unsigned i = 0; i < CUSTOMERS; i++) {
        free(fixture->customers[i].name);
        free(fixture->customers[i].keys.keys_val);
    }
}

// Guards against a digest that differs from SHA-256, which an operator's tools
// compute as well. The expected value is that of FIPS 180-4 for "abc".
START_TEST(test_digest)
{
    static const unsigned char expected[] = {
        0xba, 0x78, 0x16, 0xbf, 0x8f, 0x01, 0xcf, 0xea, 0x41, 0x41, 0x40,
        0xde, 0x5d, 0xae, 0x22, 0x23, 0xb0, 0x03, 0x61, 0xa3, 0x96, 0x17,
        0x7a, 0x9c, 0xb4, 0x10, 0xff, 0x61, 0xf2, 0x00, 0x15, 0xad};
    ck_key_digest digest;

    key_digest_compute("abcdef", 3, digest);
    ck_assert_int_eq(memcmp(digest, expected, sizeof(expected)), 0);
}
END_TEST

// Guards against a key that is not found, or found under another customer.
START_TEST(test_find)
{
    struct fixture fixture;
    ck_key_digest digest;

    fixture_create(&fixture);
    struct key_index *index = key_index_create(fixture.pointers, CUSTOMERS);
    for (unsigned i = 0; i < CUSTOMERS; i++) {
        for (unsigned j = 0; j < KEYS; j++) {
            make_digest(i, j, digest);
            ck_assert_ptr_eq(key_index_find(index, digest),
                             &fixture.customers[i]);
        }
        make_digest(i, KEYS, digest);
        ck_assert_ptr_null(key_index_find(index, digest));
    }
    key_index_destroy(index);
    fixture_destroy(&fixture);
}
END_TEST

// Guards against two customers with one key that go unnoticed, and against a
// key that one customer has twice and that counts as shared.
START_TEST(test_conflicts)
{
    struct fixture fixture;
    struct key_index_conflict conflict = {0};

    fixture_create(&fixture);
    make_digest(7, 0, fixture.customers[7].keys.keys_val[1]);
    struct key_index *index = key_index_create(fixture.pointers, CUSTOMERS);
    ck_assert_uint_eq(key_index_list_conflicts(index, &conflict, 1), 0);
    key_index_destroy(index);
    make_digest(7, 0, fixture.customers[30].keys.keys_val[2]);
    index = key_index_create(fixture.pointers, CUSTOMERS);
    ck_assert_uint_eq(key_index_list_conflicts(index, &conflict, 1), 1);
    ck_assert(conflict.first != conflict.second);
    ck_assert(conflict.first == &fixture.customers[7] ||
              conflict.second == &fixture.customers[7]);
    ck_assert(conflict.first == &fixture.customers[30] ||
              conflict.second == &fixture.customers[30]);
    key_index_destroy(index);
    fixture_destroy(&fixture);
}
END_TEST

// Guards against a search in an index without keys.
START_TEST(test_empty)
{
    struct key_index *index = key_index_create(NULL, 0);
    ck_key_digest digest;

    make_digest(1, 1, digest);
    ck_assert_ptr_null(key_index_find(index, digest));
    key_index_destroy(index);
}
END_TEST

static void
add_tests(TCase *tests)
{
    tcase_add_test(tests, test_digest);
    tcase_add_test(tests, test_find);
    tcase_add_test(tests, test_conflicts);
    tcase_add_test(tests, test_empty);
}

TEST_MAIN("key_index", add_tests)
