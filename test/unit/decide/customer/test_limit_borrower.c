#include "catkingrade/decide/customer/limit_borrower.h"

#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "catkingrade/kernel/memory.h"
#include "catkingrade/kernel/outcome.h"
#include "test/suite.h"

#define MS_US    INT64_C(1000)
#define START_US INT64_C(1000000000)
#define WAIT_US  (133 * MS_US)

static int tickets[16];

static void
ignore_ticket(void *ticket)
{
    (void)ticket;
}

static struct limit_borrower *
create(void)
{
    static const struct limit limits[] = {{.customer = "ada"},
                                          {.customer = "bob"}};
    struct limit_borrower *borrower = limit_borrower_create(1);

    limit_borrower_set_limits(borrower, limits, ARRAY_SIZE(limits));
    return borrower;
}

static enum limit_verdict
admit(struct limit_borrower *borrower, int64_t now_us, const char *customer,
      int ticket)
{
    int64_t retry_after_us = 0;

    return limit_borrower_admit(borrower, now_us, customer, 0, WAIT_US,
                                &tickets[ticket], &retry_after_us);
}

static void
answer(struct limit_borrower *borrower, int64_t now_us, uint64_t sequence,
       struct ck_lent_row *row)
{
    struct ck_borrow_result result = {.outcome = OUTCOME_OK,
                                      .sequence = sequence};

    result.rows.rows_val = row;
    result.rows.rows_len = 1;
    limit_borrower_handle_answer(borrower, now_us, &result);
}

// Guards against calls for customers without a limit.
START_TEST(test_no_limit_needs_no_token)
{
    struct limit_borrower *borrower = limit_borrower_create(1);
    struct ck_borrow_args args;

    ck_assert_int_eq(admit(borrower, START_US, "ada", 0), LIMIT_ADMIT);
    limit_borrower_destroy(borrower, ignore_ticket);
    borrower = create();
    ck_assert_int_eq(admit(borrower, START_US, "eve", 0), LIMIT_ADMIT);
    ck_assert_int_eq(admit(borrower, START_US, "", 0), LIMIT_ADMIT);
    ck_assert(!limit_borrower_fill_call(borrower, START_US, &args));
    ck_assert_int_eq(limit_borrower_get_wake_us(borrower), INT64_MAX);
    limit_borrower_destroy(borrower, ignore_ticket);
}
END_TEST

// Guards against an operation that waits although its token has arrived, and
// against one call for each of several operations that wait together.
START_TEST(test_waiting_operations_share_a_call)
{
    struct limit_borrower *borrower = create();
    struct ck_borrow_args args;
    struct limit_decision decision;
    struct ck_lent_row row = {
        .customer = "ada", .granted = 2, .valid_ms = 2000};

    ck_assert_int_eq(admit(borrower, START_US, "ada", 0), LIMIT_WAIT);
    ck_assert_int_eq(admit(borrower, START_US, "ada", 1), LIMIT_WAIT);
    ck_assert_int_eq(admit(borrower, START_US, "bob", 2), LIMIT_WAIT);
    ck_assert_int_eq(limit_borrower_get_wake_us(borrower), START_US);
    ck_assert(limit_borrower_fill_call(borrower, START_US, &args));
    ck_assert_uint_eq(args.rows.rows_len, 2);
    ck_assert(!limit_borrower_fill_call(borrower, START_US, &args));
    answer(borrower, START_US + MS_US, 1, &row);
    for (int i = 0; i < 2; i++) {
        ck_assert(limit_borrower_next_decision(borrower, START_US, &decision));
        ck_assert_int_eq(decision.verdict, LIMIT_ADMIT);
        ck_assert_ptr_eq(decision.ticket, &tickets[i]);
    }
    ck_assert(!limit_borrower_next_decision(borrower, START_US, &decision));
    limit_borrower_destroy(borrower, ignore_ticket);
}
END_TEST

// Guards against tokens of an answer that is late, or an answer to another
// call: the leader may count them as unused.
START_TEST(test_late_answer_is_ignored)
{
    struct limit_borrower *borrower = create();
    struct ck_borrow_args args;
    struct limit_decision decision;
    struct ck_lent_row row = {
        .customer = "ada", .granted = 1, .stock = 5, .valid_ms = 2000};
    int64_t now_us = START_US;

    (void)admit(borrower, now_us, "ada", 0);
    ck_assert(limit_borrower_fill_call(borrower, now_us, &args));
    now_us += LIMIT_CALL_US;
    answer(borrower, now_us, 1, &row);
    ck_assert(limit_borrower_next_decision(borrower, now_us, &decision));
    ck_assert_int_eq(decision.verdict, LIMIT_TIMEOUT);
    ck_assert_int_gt(decision.retry_after_us, 0);
    now_us += 100 * MS_US;
    ck_assert_int_eq(admit(borrower, now_us, "ada", 1), LIMIT_WAIT);
    ck_assert(limit_borrower_fill_call(borrower, now_us, &args));
    ck_assert_uint_eq(args.sequence, 2);
    ck_assert_uint_eq(args.applied, 0);
    answer(borrower, now_us, 1, &row);
    ck_assert(!limit_borrower_next_decision(borrower, now_us, &decision));
    answer(borrower, now_us, 2, &row);
    ck_assert(limit_borrower_next_decision(borrower, now_us, &decision));
    ck_assert_int_eq(decision.verdict, LIMIT_ADMIT);
    limit_borrower_destroy(borrower, ignore_ticket);
}
END_TEST

// Guards against a refusal without a delay, and against calls of a customer
// that the leader has told to wait. Delays are spread between clients.
START_TEST(test_over_the_limit_is_refused_at_once)
{
    struct limit_borrower *borrower = create();
    struct ck_borrow_args args;
    struct limit_decision decision;
    struct ck_lent_row row = {.customer = "ada", .retry_after_ms = 100};
    int64_t delays[2] = {0};

    (void)admit(borrower, START_US, "ada", 0);
    ck_assert(limit_borrower_fill_call(borrower, START_US, &args));
    answer(borrower, START_US, 1, &row);
    ck_assert(limit_borrower_next_decision(borrower, START_US, &decision));
    ck_assert_int_eq(decision.verdict, LIMIT_REFUSE);
    ck_assert_int_ge(decision.retry_after_us, 100 * MS_US);
    for (int i = 0; i < 2; i++) {
        ck_assert_int_eq(limit_borrower_admit(borrower, START_US + MS_US,
                                              "ada", 0, WAIT_US, &tickets[1],
                                              &delays[i]),
                         LIMIT_REFUSE);
        ck_assert_int_ge(delays[i], 99 * MS_US);
        ck_assert_int_le(delays[i], 198 * MS_US);
    }
    ck_assert_int_ne(delays[0], delays[1]);
    ck_assert(!limit_borrower_fill_call(borrower, START_US + MS_US, &args));
    ck_assert_int_eq(admit(borrower, START_US + 101 * MS_US, "ada", 2),
                     LIMIT_WAIT);
    limit_borrower_destroy(borrower, ignore_ticket);
}
END_TEST

// Guards against urgent operations that are refused or delayed with the less
// urgent ones of their customer: a token goes to the most urgent operation,
// and a refusal holds from its priority on.
START_TEST(test_urgent_operations_go_first)
{
    struct limit_borrower *borrower = create();
    struct ck_borrow_args args = {0};
    struct limit_decision decision;
    int64_t now_us = START_US;
    int64_t retry_after_us = 0;
    static int urgent;
    static int later;

    ck_assert_int_eq(limit_borrower_admit(borrower, now_us, "ada", 2, WAIT_US,
                                          &later, &retry_after_us),
                     LIMIT_WAIT);
    ck_assert_int_eq(limit_borrower_admit(borrower, now_us, "ada", 0, WAIT_US,
                                          &urgent, &retry_after_us),
                     LIMIT_WAIT);
    ck_assert(limit_borrower_fill_call(borrower, now_us, &args));
    ck_assert_uint_eq(args.rows.rows_val[0].waiting, 2);
    ck_assert_uint_eq(args.rows.rows_val[0].least_urgent, 1);
    struct ck_lent_row row = {.customer = "ada",
                              .granted = 1,
                              .retry_after_ms = 500,
                              .retry_priority = 2};
    answer(borrower, now_us, 1, &row);
    ck_assert(limit_borrower_next_decision(borrower, now_us, &decision));
    ck_assert_int_eq(decision.verdict, LIMIT_ADMIT);
    ck_assert_ptr_eq(decision.ticket, &urgent);
    ck_assert(limit_borrower_next_decision(borrower, now_us, &decision));
    ck_assert_int_eq(decision.verdict, LIMIT_REFUSE);
    ck_assert_ptr_eq(decision.ticket, &later);
    ck_assert_int_eq(limit_borrower_admit(borrower, now_us, "ada", 2, WAIT_US,
                                          &later, &retry_after_us),
                     LIMIT_REFUSE);
    ck_assert_int_eq(limit_borrower_admit(borrower, now_us, "ada", 0, WAIT_US,
                                          &urgent, &retry_after_us),
                     LIMIT_WAIT);
    ck_assert(limit_borrower_fill_call(borrower, now_us, &args));
    limit_borrower_destroy(borrower, ignore_ticket);
}
END_TEST

// Guards against refusals of customers below their limits while no leader
// answers, and against an outage that admits without bound: one operation of a
// customer that was served lately, once in several seconds, and none of
// others.
START_TEST(test_outage_admits_little)
{
    struct limit_borrower *borrower = create();
    struct ck_borrow_args args = {0};
    int64_t now_us = (1000 * MS_US);

    ck_assert_int_eq(admit(borrower, now_us, "ada", 1), LIMIT_WAIT);
    ck_assert(limit_borrower_fill_call(borrower, now_us, &args));
    struct ck_lent_row row = {.customer = "ada", .granted = 1, .plenty = TRUE};
    answer(borrower, now_us, 1, &row);
    struct limit_decision decision;
    ck_assert(limit_borrower_next_decision(borrower, now_us, &decision));
    for (int outage = 0; outage < 2; outage++) {
        now_us += 400 * MS_US;
        ck_assert_int_eq(admit(borrower, now_us, "ada", 2), LIMIT_WAIT);
        ck_assert(limit_borrower_fill_call(borrower, now_us, &args));
        limit_borrower_handle_failure(borrower, now_us, args.sequence,
                                      50 * MS_US);
        int admitted = 0;
        while (limit_borrower_next_decision(borrower, now_us, &decision)) {
            admitted += decision.verdict == LIMIT_ADMIT;
        }
        ck_assert_int_eq(admitted, outage == 0 ? 1 : 0);
        ck_assert_int_eq(admit(borrower, now_us, "ada", 3), LIMIT_WAIT);
        ck_assert_int_eq(admit(borrower, now_us, "bob", 4), LIMIT_WAIT);
    }
    // After a second without an answer only the operations that wait do so.
    now_us += 1000 * MS_US;
    ck_assert_int_eq(admit(borrower, now_us, "ada", 5), LIMIT_TIMEOUT);
    while (limit_borrower_next_decision(borrower, now_us, &decision)) {
        ck_assert_int_eq(decision.verdict, LIMIT_TIMEOUT);
    }
    ck_assert_int_eq(admit(borrower, now_us, "ada", 6), LIMIT_WAIT);
    limit_borrower_destroy(borrower, ignore_ticket);
}
END_TEST

// Guards against a stock that is kept, or used after its validity, and against
// one that is never returned.
START_TEST(test_stock_is_used_returned_and_expires)
{
    struct limit_borrower *borrower = create();
    struct ck_borrow_args args;
    struct ck_lent_row row = {
        .customer = "ada", .granted = 8, .stock = 3, .valid_ms = 2000};
    int64_t now_us = START_US;

    for (int i = 0; i < 8; i++) {
        (void)admit(borrower, now_us, "ada", i);
    }
    ck_assert(limit_borrower_fill_call(borrower, now_us, &args));
    answer(borrower, now_us, 1, &row);
    ck_assert_int_eq(admit(borrower, now_us, "ada", 9), LIMIT_ADMIT);
    // Four seconds later the customer is not used steadily any more.
    ck_assert_int_le(limit_borrower_get_wake_us(borrower),
                     now_us + 1000 * MS_US);
    now_us += 1500 * MS_US;
    ck_assert(limit_borrower_fill_call(borrower, now_us, &args));
    ck_assert_uint_eq(args.rows.rows_len, 1);
    ck_assert_uint_eq(args.rows.rows_val[0].held, 2);
    row = (struct ck_lent_row){
        .customer = "ada", .kept = 2, .valid_ms = 2000, .plenty = TRUE};
    answer(borrower, now_us, 2, &row);
    now_us += 1990 * MS_US;
    ck_assert(limit_borrower_fill_call(borrower, now_us, &args));
    ck_assert_uint_eq(
        args.rows.rows_val[0].held + args.rows.rows_val[0].returned, 2);
    limit_borrower_handle_failure(borrower, now_us, 3, 50 * MS_US);
    now_us += 11 * MS_US;
    // Without an answer one operation is admitted; the tokens have expired.
    ck_assert_int_eq(admit(borrower, now_us, "ada", 10), LIMIT_ADMIT);
    ck_assert_int_eq(admit(borrower, now_us, "ada", 11), LIMIT_WAIT);
    limit_borrower_destroy(borrower, ignore_ticket);
}
END_TEST

// Guards against a wait that does not end when its client leaves, when the
// leader does not answer, or when the limit is removed.
START_TEST(test_waits_end)
{
    struct limit_borrower *borrower = create();
    struct limit_decision decision;
    static const struct limit limits[] = {{.customer = "ada"}};

    (void)admit(borrower, START_US, "ada", 0);
    (void)admit(borrower, START_US, "ada", 1);
    (void)admit(borrower, START_US, "bob", 2);
    ck_assert(limit_borrower_cancel(borrower, "ada", &tickets[0]));
    ck_assert(!limit_borrower_cancel(borrower, "ada", &tickets[0]));
    limit_borrower_set_limits(borrower, limits, ARRAY_SIZE(limits));
    ck_assert(limit_borrower_next_decision(borrower, START_US, &decision));
    ck_assert_ptr_eq(decision.ticket, &tickets[2]);
    ck_assert_int_eq(decision.verdict, LIMIT_ADMIT);
    ck_assert(!limit_borrower_next_decision(borrower, START_US, &decision));
    ck_assert(
        limit_borrower_next_decision(borrower, START_US + WAIT_US, &decision));
    ck_assert_ptr_eq(decision.ticket, &tickets[1]);
    ck_assert_int_eq(decision.verdict, LIMIT_TIMEOUT);
    limit_borrower_destroy(borrower, ignore_ticket);
}
END_TEST

static void
add_tests(TCase *tests)
{
    tcase_add_test(tests, test_no_limit_needs_no_token);
    tcase_add_test(tests, test_waiting_operations_share_a_call);
    tcase_add_test(tests, test_late_answer_is_ignored);
    tcase_add_test(tests, test_over_the_limit_is_refused_at_once);
    tcase_add_test(tests, test_urgent_operations_go_first);
    tcase_add_test(tests, test_outage_admits_little);
    tcase_add_test(tests, test_stock_is_used_returned_and_expires);
    tcase_add_test(tests, test_waits_end);
}

TEST_MAIN("limit_borrower", add_tests)
