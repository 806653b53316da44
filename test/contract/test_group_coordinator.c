// Contract tests of operations at upstreams that one leadership of a control
// VM has begun and that end in the next one of the same VM.

#include <apr_general.h>
#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "catkingrade/control/group_host.h"
#include "catkingrade/control/group_host_state.h"
#include "catkingrade/decide/group/declaration.h"
#include "catkingrade/kernel/loop.h"
#include "catkingrade/kernel/memory.h"
#include "catkingrade/kernel/outcome.h"
#include "test/fake/changes.h"
#include "test/fake/process.h"
#include "test/suite.h"

#define DATABASE     "roster1"
#define MS           INT64_C(1000)
#define MAX_REQUESTS 64
#define SETTINGS                                                              \
    "{\"vm\": \"c1\", \"failure_domain\": \"z1\", \"roles\": [\"entry\"], "   \
    "\"listen\": {\"rpc\": \"127.0.0.1:1\", \"http\": \"127.0.0.1:2\", "      \
    "\"postgres\": \"127.0.0.1:3\"}}"

// An operation that the control VM has begun. It ends when the test says so.
struct operation {
    char upstream[8];
    struct upstream_admin_request request;
};

// A control group of one voter, whose operations at upstreams are kept.
struct rig {
    struct upstream_admin admin;
    char *folder;
    struct settings *settings;
    struct daemon daemon;
    struct store *store;
    struct group_host *host;
    struct operation operations[MAX_REQUESTS];
    size_t operations_count;
};

static void
keep_request(struct upstream_admin *admin,
             const struct upstream_admin_request *request)
{
    struct rig *rig = (struct rig *)admin;

    ck_assert_uint_lt(rig->operations_count, MAX_REQUESTS);
    struct operation *operation = &rig->operations[rig->operations_count++];
    (void)snprintf(operation->upstream, sizeof(operation->upstream), "%s",
                   request->upstream->name);
    operation->request = *request;
}

static const struct upstream_admin_ops keeping_ops = {.run = keep_request};

static void
flush(void *data)
{
    struct rig *rig = data;

    while (group_host_write_actions(rig->host)) {
        bool synced = store_sync(rig->store) == OUTCOME_OK;
        (void)group_host_run_actions(rig->host, synced);
    }
    loop_stop(rig->daemon.control_loop); // after each iteration
}

static void
expect_ok(void *data, int outcome, const char *text)
{
    (void)data;
    ck_assert_msg(outcome == OUTCOME_OK, "%d %s", outcome, text);
}

static void
run_until_leading(struct rig *rig, uint64_t term)
{
    while (!group_host_leads(rig->host) ||
           raft_get_term(rig->host->raft) < term) {
        loop_run(rig->daemon.control_loop);
    }
}

// Declares the database and announces its upstreams, u1 and u2, which the
// coordinator probes before the choice of the first primary.
static void
declare(struct rig *rig)
{
    struct ck_change change = {.kind = CK_CHANGE_DECLARATION};
    struct ck_route route = {.name = (char *)"booking",
                             .database = (char *)DATABASE,
                             .deadline_ms = 1000};
    struct ck_declared_database database = {.name = (char *)DATABASE,
                                            .connections = 33};
    struct ck_declaration declaration = {
        .routes = {.routes_len = 1, .routes_val = &route},
        .databases = {.databases_len = 1, .databases_val = &database},
        .original = {.original_len = 4, .original_val = (char *)"text"}};

    ck_assert_int_eq(
        declaration_pack(&declaration, 1, &change.ck_change_u.declaration),
        OUTCOME_OK);
    group_host_submit_change(rig->host, &change, expect_ok, NULL);
    declaration_free_packed(&change.ck_change_u.declaration);
    flush(rig);
    for (int i = 1; i <= 2; i++) {
        char name[] = {'u', (char)('0' + i), '\0'};
        struct ck_upstream upstream =
            changes_make_upstream(name, DATABASE, "z1", name);
        group_host_submit_announcement(rig->host, &upstream, expect_ok, NULL);
        flush(rig);
    }
}

static void
rig_start(struct rig *rig)
{
    struct buffer report = {0};

    memset(rig, 0, sizeof(*rig));
    ck_assert_int_eq(apr_initialize(), APR_SUCCESS);
    rig->admin.ops = &keeping_ops;
    rig->folder = process_make_folder("group_coordinator");
    rig->settings = settings_parse("a.json", SETTINGS, &report);
    ck_assert_ptr_nonnull(rig->settings);
    rig->settings->election_us = 50 * MS;
    rig->settings->heartbeat_us = 20 * MS;
    rig->daemon.settings = rig->settings;
    rig->daemon.control_loop = loop_create();
    rig->daemon.incarnation = 1;
    const struct store_params store = {.dir = rig->folder, .vm = "c1"};
    ck_assert_int_eq(store_open(&store, &rig->store, &report), OUTCOME_OK);
    static struct settings_voter voter = {.id = 1, .vm = (char *)"c1"};
    static const struct settings_group group = {.name = (char *)"fleet",
                                                .failure_domain = (char *)"",
                                                .voters = &voter,
                                                .voters_count = 1};
    const struct group_host_params params = {.daemon = &rig->daemon,
                                             .store = rig->store,
                                             .admin = &rig->admin,
                                             .group = &group,
                                             .self = 1,
                                             .bootstrap = true};
    ck_assert_int_eq(group_host_create(&params, &rig->host), OUTCOME_OK);
    loop_set_iteration_end_task(rig->daemon.control_loop, flush, rig);
    run_until_leading(rig, 1);
    declare(rig);
    buffer_free(&report);
}

static void
rig_finish(struct rig *rig)
{
    group_host_destroy(rig->host);
    store_close(rig->store);
    loop_destroy(rig->daemon.control_loop);
    settings_destroy(rig->settings);
    free(rig->folder);
}

// Returns a probe of an upstream of the present term.
static const struct operation *
run_until_probed(struct rig *rig, const char *upstream)
{
    for (;;) {
        for (size_t i = 0; i < rig->operations_count; i++) {
            const struct operation *operation = &rig->operations[i];
            if (operation->request.kind == UPSTREAM_ADMIN_PROBE &&
                operation->request.fencing_token ==
                    raft_get_term(rig->host->raft) &&
                strcmp(operation->upstream, upstream) == 0) {
                return operation;
            }
        }
        loop_run(rig->daemon.control_loop);
    }
}

// Has another voter lead the next term, and this one the term after it.
static void
lose_and_regain_lead(struct rig *rig)
{
    const struct settings_address nowhere = {.port = 0};
    uint64_t term = raft_get_term(rig->host->raft);
    struct ck_raft_message message = {.group = (char *)"fleet",
                                      .from = 2,
                                      .to = 1,
                                      .term = term + 1,
                                      .body = {.kind = CK_RAFT_APPEND}};

    group_host_handle_raft(rig->host, &message, &nowhere);
    flush(rig);
    ck_assert(!group_host_leads(rig->host));
    run_until_leading(rig, term + 2);
}

static void
answer(const struct operation *operation, bool is_primary)
{
    struct upstream_admin_result result = {
        .kind = UPSTREAM_ADMIN_PROBE,
        .upstream = operation->upstream,
        .fencing_token = operation->request.fencing_token,
        .outcome = OUTCOME_OK,
        .is_primary = is_primary,
        .position = {.timeline = 1, .lsn = 50},
    };

    operation->request.done(operation->request.data, &result);
}

// Guards against a promotion with a lower fencing token than the platform has
// seen: one of an earlier leadership that is asked for again.
START_TEST(test_promotion_is_not_sent_in_later_term)
{
    struct rig rig;

    rig_start(&rig);
    struct upstream_admin_request before =
        run_until_probed(&rig, "u1")->request;
    ck_assert(before.may_change(before.data, before.fencing_token));
    lose_and_regain_lead(&rig);
    struct upstream_admin_request now = run_until_probed(&rig, "u1")->request;
    ck_assert_uint_gt(now.fencing_token, before.fencing_token);
    ck_assert(now.may_change(now.data, now.fencing_token));
    ck_assert(!before.may_change(before.data, before.fencing_token));
    rig_finish(&rig);
}
END_TEST

// Guards against a choice of primary by what an upstream said to an earlier
// leadership.
START_TEST(test_result_of_earlier_term_is_ignored)
{
    struct rig rig;

    rig_start(&rig);
    const struct operation *before = run_until_probed(&rig, "u1");
    lose_and_regain_lead(&rig);
    const struct operation *first = run_until_probed(&rig, "u1");
    answer(run_until_probed(&rig, "u2"), true);
    answer(before, true);
    answer(first, false);
    const struct ck_database *database = NULL;
    do {
        loop_run(rig.daemon.control_loop);
        database = group_find_database(rig.host->state, DATABASE);
    } while (database->term == 0);
    ck_assert_str_eq(database->primary, "u2");
    rig_finish(&rig);
}
END_TEST

static void
add_tests(TCase *tests)
{
    tcase_add_test(tests, test_promotion_is_not_sent_in_later_term);
    tcase_add_test(tests, test_result_of_earlier_term_is_ignored);
}

TEST_MAIN("group_coordinator", add_tests)
