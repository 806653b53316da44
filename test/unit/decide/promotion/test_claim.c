// Unit tests of what the claim of an upstream to be the primary is worth.

#include <check.h>
#include <stdio.h>

#include "catkingrade/decide/promotion/claim.h"
#include "test/suite.h"

#define CASES 32

static struct claim_params
make_case(int number)
{
    return (struct claim_params){
        .is_first = (number & 1) != 0,
        .is_last_primary = (number & 2) != 0,
        .is_ordered = (number & 4) != 0,
        .may_be_superseded = (number & 8) != 0,
        .can_be_demoted = (number & 16) != 0,
    };
}

// Guards against an upstream that is published although another one may have
// been promoted since, in each combination of what is known.
START_TEST(test_claim_needs_order_once_another_was_ordered)
{
    struct claim_params params = make_case(_i);

    params.may_be_superseded = true;
    enum claim_verdict verdict = claim_judge(&params);
    ck_assert_int_ne(verdict, CLAIM_FIRST);
    ck_assert_int_ne(verdict, CLAIM_KEPT);
    ck_assert_int_eq(verdict == CLAIM_ORDERED, params.is_ordered);
    ck_assert_int_eq(verdict == CLAIM_UNKNOWN,
                     !params.is_ordered && params.can_be_demoted);
}
END_TEST

// Guards against a change of primary that waits for a fence though no
// promotion was ordered: the primary of the ended term stays at once.
START_TEST(test_claim_of_last_primary_stands_while_none_was_ordered)
{
    struct claim_params params = make_case(_i);

    params.is_last_primary = true;
    params.may_be_superseded = false;
    ck_assert_int_ne(claim_judge(&params), CLAIM_UNKNOWN);
    params.is_first = false;
    params.is_ordered = false;
    ck_assert_int_eq(claim_judge(&params), CLAIM_KEPT);
}
END_TEST

// Guards against a former primary that is published on its own word: only the
// first term of a database begins with one.
START_TEST(test_claim_of_other_upstream_stands_in_first_term_only)
{
    struct claim_params params = make_case(_i);

    params.is_last_primary = false;
    params.is_ordered = false;
    params.may_be_superseded = false;
    params.can_be_demoted = true;
    ck_assert_int_eq(claim_judge(&params),
                     params.is_first ? CLAIM_FIRST : CLAIM_UNKNOWN);
}
END_TEST

static void
add_tests(TCase *tests)
{
    tcase_add_loop_test(tests, test_claim_needs_order_once_another_was_ordered,
                        0, CASES);
    tcase_add_loop_test(
        tests, test_claim_of_last_primary_stands_while_none_was_ordered, 0,
        CASES);
    tcase_add_loop_test(tests,
                        test_claim_of_other_upstream_stands_in_first_term_only,
                        0, CASES);
}

TEST_MAIN("claim", add_tests)
