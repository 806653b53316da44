#include "catkingrade/decide/customer/limit_lender.h"

#include <check.h>
#include <string.h>

#include "catkingrade/kernel/memory.h"
#include "catkingrade/kernel/outcome.h"
#include "test/suite.h"

#define MS_US    INT64_C(1000)
#define S_US     INT64_C(1000000)
#define START_US (1000 * S_US)
// A burst of 10 and a half of the slack of 20, and a fifth of the excess of 2.
#define FULL 20

static struct limit limits[] = {
    {.customer = "ada", .rate_per_s = 2, .burst = 10}};

static struct limit_lender *
create(bool is_new_group)
{
    struct limit_lender_params params = {
        .bound = {.window_us = 5 * S_US, .excess = 0.1, .slack = 20}};
    struct limit_lender *lender = limit_lender_create(&params);

    limit_lender_begin(lender, START_US, false);
    if (is_new_group) {
        limit_lender_set_limits(lender, START_US, 0, NULL, 0);
    }
    limit_lender_set_limits(lender, START_US, 1, limits, ARRAY_SIZE(limits));
    return lender;
}

static struct ck_lent_row
borrow(struct limit_lender *lender, int64_t now_us, const char *vm,
       uint64_t sequence, struct ck_borrow_row row)
{
    struct ck_borrow_args args = {.vm = (char *)(uintptr_t)vm,
                                  .incarnation = 1,
                                  .sequence = sequence,
                                  .applied = sequence - 1};

    if (row.customer == NULL) {
        row.customer = "ada";
    }
    args.rows.rows_val = &row;
    args.rows.rows_len = 1;
    const struct ck_borrow_result *result =
        limit_lender_borrow(lender, now_us, &args);
    ck_assert_int_eq(result->outcome, OUTCOME_OK);
    ck_assert_uint_eq(result->rows.rows_len, 1);
    return result->rows.rows_val[0];
}

// Borrows tokens one by one, in calls from a sequence number on; returns how
// many were granted.
static unsigned
drain_from(struct limit_lender *lender, int64_t now_us, unsigned sequence,
           unsigned wanted)
{
    unsigned granted = 0;

    for (unsigned i = 0; i < wanted; i++) {
        // The used token is reported before the next one is asked for.
        granted += borrow(lender, now_us, "vm", sequence + i,
                          (struct ck_borrow_row){.waiting = 1})
                       .granted;
    }
    return granted;
}

static unsigned
drain(struct limit_lender *lender, int64_t now_us, unsigned wanted)
{
    return drain_from(lender, now_us, 1, wanted);
}

// Guards against refusals of a customer below its limit for the sake of urgent
// operations that it does not have.
START_TEST(test_no_reserve_without_urgent_operations)
{
    struct limit_lender *lender = create(true);
    unsigned granted = 0;

    for (unsigned i = 1; i <= 40; i++) {
        granted +=
            borrow(lender, START_US + 2 * S_US, "vm", i,
                   (struct ck_borrow_row){.waiting = 1, .least_urgent = 1})
                .granted;
    }
    ck_assert_uint_eq(granted, FULL);
    limit_lender_destroy(lender);
}
END_TEST

// Guards against a customer at its limit whose urgent operations are refused
// because less urgent ones have used up its tokens.
START_TEST(test_urgent_operations_have_a_reserve)
{
    struct limit_lender *lender = create(true);
    int64_t now_us = START_US + 2 * S_US; // no longer a new leader
    // Two urgent operations a second ask.
    struct ck_lent_row row =
        borrow(lender, now_us, "vm", 1, (struct ck_borrow_row){.waiting = 4});

    ck_assert_uint_eq(row.granted, 4);
    row = borrow(lender, now_us, "other", 1,
                 (struct ck_borrow_row){.waiting = 40, .least_urgent = 40});
    ck_assert_uint_gt(row.granted, 0);
    ck_assert_uint_lt(row.granted, 40);
    for (unsigned i = 2; i < 40; i++) {
        row = borrow(lender, now_us, "vm", i,
                     (struct ck_borrow_row){.waiting = 1, .least_urgent = 1});
    }
    ck_assert_uint_eq(row.granted, 0);
    ck_assert(!row.wait);
    ck_assert_uint_eq(row.retry_priority, 2);
    row = borrow(lender, now_us, "vm", 40,
                 (struct ck_borrow_row){.waiting = 2, .least_urgent = 1});
    ck_assert_uint_eq(row.granted, 1);
    ck_assert_uint_eq(row.retry_priority, 2);
    limit_lender_destroy(lender);
}
END_TEST

// Guards against more tokens than the bucket has, and against a refusal
// without a time to ask again.
START_TEST(test_bucket_empties_and_fills)
{
    struct limit_lender *lender = create(true);

    ck_assert_uint_eq(drain(lender, START_US, 30), FULL);
    // A new leader does not know who is over the limit.
    struct ck_lent_row row = borrow(lender, START_US, "vm", 40,
                                    (struct ck_borrow_row){.waiting = 1});
    ck_assert_uint_eq(row.granted, 0);
    ck_assert(row.wait);
    ck_assert_uint_eq(drain_from(lender, START_US + S_US, 41, 30), 2);
    row = borrow(lender, START_US + S_US, "vm", 80,
                 (struct ck_borrow_row){.waiting = 1});
    ck_assert_uint_eq(row.granted, 0);
    ck_assert(!row.wait);
    ck_assert_uint_ge(row.retry_after_ms, 50);
    row = borrow(lender, START_US + 2 * S_US, "vm", 81,
                 (struct ck_borrow_row){.waiting = 5});
    ck_assert_uint_eq(row.granted, 2);
    limit_lender_destroy(lender);
}
END_TEST

// Guards against a new leader that lends what an earlier one may have lent.
START_TEST(test_new_leader_starts_empty)
{
    struct limit_lender *lender = create(false);

    ck_assert_uint_eq(drain(lender, START_US, 5), 0);
    ck_assert_uint_eq(borrow(lender, START_US + S_US, "vm", 6,
                             (struct ck_borrow_row){.waiting = 5})
                          .granted,
                      2);
    limit_lender_begin(lender, START_US + 2 * S_US, true);
    limit_lender_set_limits(lender, START_US + 2 * S_US, 1, limits, 1);
    ck_assert_uint_eq(borrow(lender, START_US + 2 * S_US, "vm", 7,
                             (struct ck_borrow_row){.waiting = 9})
                          .granted,
                      4); // a fifth of the tolerance of 22
    limit_lender_destroy(lender);
}
END_TEST

// Guards against a doubled call that is granted twice, and against tokens that
// are lost with an answer.
START_TEST(test_calls_are_counted_once)
{
    struct limit_lender *lender = create(true);
    struct ck_borrow_row row = {.customer = "ada", .waiting = 3};
    struct ck_borrow_args args = {.vm = "vm", .incarnation = 1, .sequence = 1};

    args.rows.rows_val = &row;
    args.rows.rows_len = 1;
    for (int i = 0; i < 4; i++) {
        const struct ck_borrow_result *result =
            limit_lender_borrow(lender, START_US, &args);
        ck_assert_uint_eq(result->rows.rows_val[0].granted, 3);
    }
    // The entry has not got the answer.
    args.sequence = 2;
    (void)limit_lender_borrow(lender, START_US, &args);
    // The first call is late.
    args.sequence = 1;
    ck_assert_int_eq(limit_lender_borrow(lender, START_US, &args)->outcome,
                     OUTCOME_CONFLICT);
    // The tokens of call 2 are used.
    unsigned granted = 0;
    for (uint64_t i = 3; i < 30; i++) {
        granted += borrow(lender, START_US, "vm", i,
                          (struct ck_borrow_row){.waiting = 1})
                       .granted;
    }
    ck_assert_uint_eq(granted, FULL - 3);
    limit_lender_destroy(lender);
}
END_TEST

// Guards against more tokens at silent entries than the tolerance allows, and
// against tokens that stay lent after their validity.
START_TEST(test_held_tokens_are_bounded)
{
    struct limit_lender *lender = create(true);
    static const char *const vms[] = {"a", "b", "c", "d", "e",
                                      "f", "g", "h", "i", "j"};
    unsigned granted = 0;
    struct ck_lent_row row = {0};

    for (size_t i = 0; i < ARRAY_SIZE(vms); i++) {
        row = borrow(lender, START_US, vms[i], 1,
                     (struct ck_borrow_row){.waiting = 1});
        granted += row.granted;
    }
    // A quarter of the slack and half of the excess.
    ck_assert_uint_eq(granted, 6);
    ck_assert(row.wait);
    // The answers for operations that waited are used or lost by then.
    row = borrow(lender, START_US + LIMIT_CALL_US + 60 * MS_US, "k", 1,
                 (struct ck_borrow_row){.waiting = 1, .stock = 100});
    ck_assert_uint_eq(row.granted, 1);
    ck_assert_uint_gt(row.stock, 0);
    ck_assert_uint_le(row.stock, 4);
    limit_lender_destroy(lender);
}
END_TEST

// Guards against tokens in hand that outlive a lower limit, and against a
// removed limit that returns with a full bucket.
START_TEST(test_limits_change)
{
    struct limit_lender *lender = create(true);
    struct limit lower[] = {{.customer = "ada", .rate_per_s = 1}};

    ck_assert_uint_eq(
        borrow(lender, START_US, "vm", 1, (struct ck_borrow_row){.held = 4})
            .kept,
        4);
    limit_lender_set_limits(lender, START_US, 2, lower, 1);
    ck_assert_uint_le(drain(lender, START_US + 30 * S_US, 1), 1);
    unsigned granted = 0;
    for (uint64_t i = 2; i < 30; i++) {
        granted += borrow(lender, START_US + 30 * S_US, "vm", i,
                          (struct ck_borrow_row){.waiting = 1})
                       .granted;
    }
    ck_assert_uint_eq(granted, 10); // half of the slack
    limit_lender_set_limits(lender, START_US + 31 * S_US, 3, NULL, 0);
    ck_assert_uint_eq(borrow(lender, START_US + 31 * S_US, "vm", 30,
                             (struct ck_borrow_row){.waiting = 99})
                          .granted,
                      99);
    limit_lender_set_limits(lender, START_US + 32 * S_US, 4, lower, 1);
    ck_assert_uint_le(borrow(lender, START_US + 32 * S_US, "vm", 31,
                             (struct ck_borrow_row){.waiting = 9})
                          .granted,
                      2);
    limit_lender_destroy(lender);
}
END_TEST

// Guards against a query that shows something else than what entries can get.
START_TEST(test_description)
{
    struct limit_lender *lender = create(true);
    struct buffer json = {0};

    (void)borrow(lender, START_US, "vm", 1,
                 (struct ck_borrow_row){.waiting = 3});
    ck_assert_uint_eq(limit_lender_describe(lender, START_US, "", 0, &json),
                      0);
    buffer_append_u8(&json, 0);
    ck_assert_str_eq((const char *)buffer_get_data(&json),
                     "[{\"customer\":\"ada\",\"rate_per_s\":2,\"burst\":10,"
                     "\"left\":17.4,\"lent\":3,\"entries\":1}]");
    buffer_free(&json);
    ck_assert_uint_eq(limit_lender_describe(lender, START_US, "eve", 0, &json),
                      0);
    buffer_append_u8(&json, 0);
    ck_assert_str_eq((const char *)buffer_get_data(&json), "[]");
    buffer_free(&json);
    limit_lender_destroy(lender);
}
END_TEST

static void
add_tests(TCase *tests)
{
    tcase_add_test(tests, test_no_reserve_without_urgent_operations);
    tcase_add_test(tests, test_urgent_operations_have_a_reserve);
    tcase_add_test(tests, test_bucket_empties_and_fills);
    tcase_add_test(tests, test_new_leader_starts_empty);
    tcase_add_test(tests, test_calls_are_counted_once);
    tcase_add_test(tests, test_held_tokens_are_bounded);
    tcase_add_test(tests, test_limits_change);
    tcase_add_test(tests, test_description);
}

TEST_MAIN("limit_lender", add_tests)
