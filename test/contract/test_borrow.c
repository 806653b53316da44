#include <check.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "catkingrade/decide/group/declaration.h"
#include "catkingrade/kernel/memory.h"
#include "catkingrade/kernel/outcome.h"
#include "catkingrade/rpc/codec.h"
#include "test/fake/installation.h"
#include "test/suite.h"

// Calls for tokens of rate limits to three control VMs.

#define CALL_TIMEOUT_US 1000000
#define STEP_US         100000
#define MAX_STEPS       300

static const struct datagram_key no_key;
static struct installation installation;

static int
apply_declaration(int daemon, const struct ck_packed_declaration *packed)
{
    struct ck_apply_args args = {.group = "fleet", .change_id = "limits-1"};
    struct ck_apply_result result = {0};

    args.change.kind = CK_CHANGE_DECLARATION;
    args.change.ck_change_u.declaration = *packed;
    int outcome =
        rpcnet_call_blocking(&installation.daemons[daemon].rpc, &no_key,
                             &rpcnet_apply, &args, &result, CALL_TIMEOUT_US);
    if (outcome == OUTCOME_OK) {
        outcome = result.outcome;
        codec_free((xdrproc_t)xdr_ck_apply_result, &result);
    }
    return outcome;
}

// Declares a customer with a limit and one without.
static void
declare_limits(void)
{
    struct ck_declared_customer customers[] = {
        {.name = "ada",
         .is_limited = true,
         .rate_per_1000_s = 1000,
         .burst = 10},
        {.name = "bob"},
    };
    struct ck_declaration declaration = {
        .customers = {.customers_len = ARRAY_SIZE(customers),
                      .customers_val = customers},
    };
    struct ck_packed_declaration packed;
    int outcome = OUTCOME_NOT_LEADER;

    ck_assert_int_eq(declaration_pack(&declaration, 1, &packed), OUTCOME_OK);
    for (int i = 0; i < MAX_STEPS && outcome != OUTCOME_OK; i++) {
        outcome = apply_declaration(i % 3, &packed);
        usleep(STEP_US);
    }
    ck_assert_int_eq(outcome, OUTCOME_OK);
    declaration_free_packed(&packed);
}

// Borrows at one daemon. Returns the outcome, and the tokens granted.
static int
borrow(int daemon, uint64_t sequence, const char *customer, unsigned wanted,
       unsigned *granted)
{
    struct ck_borrow_row row = {.customer = (char *)(uintptr_t)customer,
                                .waiting = wanted};
    struct ck_borrow_args args = {.group = "fleet",
                                  .vm = "test",
                                  .incarnation = 1,
                                  .sequence = sequence,
                                  .applied = sequence - 1};
    struct ck_borrow_result result = {0};

    args.rows.rows_val = &row;
    args.rows.rows_len = 1;
    int outcome =
        rpcnet_call_blocking(&installation.daemons[daemon].rpc, &no_key,
                             &rpcnet_borrow, &args, &result, CALL_TIMEOUT_US);
    if (outcome == OUTCOME_OK) {
        outcome = result.outcome;
        *granted =
            result.rows.rows_len == 1 ? result.rows.rows_val[0].granted : 0;
        codec_free((xdrproc_t)xdr_ck_borrow_result, &result);
    }
    return outcome;
}

// Checks that a query of the leader shows the one customer with a limit.
static void
check_query(int leader)
{
    struct ck_query_args args = {
        .kind = CK_QUERY_LIMITS, .group = "fleet", .name = ""};
    struct ck_query_result result = {0};

    ck_assert_int_eq(rpcnet_call_blocking(&installation.daemons[leader].rpc,
                                          &no_key, &rpcnet_query, &args,
                                          &result, CALL_TIMEOUT_US),
                     OUTCOME_OK);
    ck_assert_int_eq(result.outcome, OUTCOME_OK);
    ck_assert_ptr_nonnull(strstr(result.json,
                                 "{\"customer\":\"ada\",\"rate_per_s\":1,"
                                 "\"burst\":10,\"left\":"));
    ck_assert_ptr_null(strstr(result.json, "bob"));
    codec_free((xdrproc_t)xdr_ck_query_result, &result);
}

// Guards against a voter that lends without leading, a leader that does not
// know the declaration, and one that lends what its predecessor has lent.
START_TEST(test_only_the_leader_lends)
{
    struct installation_params params = {.name = "borrow",
                                         .daemons_count = 3,
                                         .voters_count = 3,
                                         .settings = ""};
    unsigned granted = 0;
    unsigned sum = 0;

    installation_start(&installation, &params);
    declare_limits();
    int leader = installation_find_leader(&installation);
    for (int i = 0; i < 3; i++) {
        ck_assert_int_eq(borrow(i, 1, "ada", 3, &granted),
                         i == leader ? OUTCOME_OK : OUTCOME_NOT_LEADER);
    }
    ck_assert_int_eq(borrow(leader, 1, "ada", 3, &granted), OUTCOME_OK);
    ck_assert_uint_eq(granted, 3);
    for (uint64_t sequence = 2; sequence < 40; sequence++) {
        ck_assert_int_eq(borrow(leader, sequence, "ada", 1, &granted),
                         OUTCOME_OK);
        sum += granted;
    }
    // A burst of 10, half of the slack of 20, and what comes in meanwhile.
    ck_assert_uint_ge(sum, 17);
    ck_assert_uint_le(sum, 25);
    ck_assert_int_eq(borrow(leader, 40, "bob", 99, &granted), OUTCOME_OK);
    ck_assert_uint_eq(granted, 99);
    check_query(leader);
    installation_kill_daemon(&installation, leader);
    int next = installation_find_leader(&installation);
    ck_assert_int_eq(borrow(next, 41, "ada", 30, &granted), OUTCOME_OK);
    // What comes in since its election.
    ck_assert_uint_le(granted, 6);
    installation_stop(&installation);
}
END_TEST

static void
add_tests(TCase *tests)
{
    tcase_add_test(tests, test_only_the_leader_lends);
}

TEST_MAIN("borrow", add_tests)
