#include "catkingrade/control/forward.h"

#include <apr_general.h>
#include <string.h>

#include "catkingrade/control/announcement_batch.h"
#include "catkingrade/control/control_state.h"
#include "catkingrade/kernel/daemon.h"
#include "catkingrade/kernel/memory.h"
#include "catkingrade/kernel/outcome.h"
#include "catkingrade/kernel/settings.h"
#include "test/fake/process.h"
#include "test/suite.h"

// Guards against a change that fails because the leader that got it hands over
// or loses its leadership: the change must be sent again.

// A VM without a voter that forwards to a leader at another RPC address. The
// leader answers the first call with an outcome, and later ones with OK.
static struct {
    struct settings settings;
    struct settings_address leader_address;
    struct daemon daemon;
    struct control control;
    struct rpcnet *leader;
    int first_outcome;
    unsigned calls;
    unsigned done_count;
    int outcome;
} rig;

static void
answer_apply(void *data, struct rpcnet_request *request, const void *args)
{
    struct ck_apply_result result = {.leader_host = "", .message = ""};

    (void)data;
    (void)args;
    result.outcome = rig.calls++ == 0 ? rig.first_outcome : OUTCOME_OK;
    rpcnet_reply(request, &result);
}

static void
set_address(struct settings_address *address)
{
    (void)strcpy(address->host, "127.0.0.1");
    address->port = (uint16_t)process_get_free_port();
}

static void
start_rig(int first_outcome)
{
    static const struct datagram_key key = {"0123456789abcdef", 16};

    apr_initialize();
    memset(&rig, 0, sizeof(rig));
    rig.first_outcome = first_outcome;
    set_address(&rig.settings.rpc);
    set_address(&rig.leader_address);
    rig.settings.seeds = &rig.leader_address;
    rig.settings.seeds_count = 1;
    rig.daemon.settings = &rig.settings;
    rig.daemon.control_loop = loop_create();
    rig.daemon.rpcnet =
        rpcnet_create(rig.daemon.control_loop, &rig.settings.rpc, &key);
    rig.leader =
        rpcnet_create(rig.daemon.control_loop, &rig.leader_address, &key);
    rpcnet_set_handler(rig.leader, &rpcnet_apply, answer_apply, NULL);
    rig.control.daemon = &rig.daemon;
    rig.control.loop = rig.daemon.control_loop;
}

static void
stop_rig(void)
{
    rpcnet_destroy(rig.leader);
    rpcnet_destroy(rig.daemon.rpcnet);
    loop_destroy(rig.daemon.control_loop);
}

static void
take_result(void *data, int outcome, const char *text)
{
    (void)data;
    (void)text;
    rig.done_count++;
    rig.outcome = outcome;
    loop_stop(rig.daemon.control_loop);
}

struct forward_row {
    enum ck_change_kind kind;
    int first_outcome;
    int outcome;
    unsigned calls;
};

static const struct forward_row forward_rows[] = {
    {CK_CHANGE_DECLARATION, OUTCOME_OK, OUTCOME_OK, 1},
    {CK_CHANGE_DECLARATION, OUTCOME_UNKNOWN, OUTCOME_OK, 2},
    {CK_CHANGE_DECLARATION, OUTCOME_AGAIN, OUTCOME_OK, 2},
    {CK_CHANGE_DECLARATION, OUTCOME_NOT_LEADER, OUTCOME_OK, 2},
    {CK_CHANGE_DECLARATION, OUTCOME_INVALID, OUTCOME_INVALID, 1},
    {CK_CHANGE_DECLARATION, OUTCOME_OVERLOADED, OUTCOME_OVERLOADED, 1},
    {CK_CHANGE_UPSTREAM, OUTCOME_UNKNOWN, OUTCOME_OK, 2},
    // A withdrawal that is deferred: the upstream announces it again.
    {CK_CHANGE_UPSTREAM, OUTCOME_AGAIN, OUTCOME_AGAIN, 1},
};

START_TEST(test_change_is_sent_again)
{
    const struct forward_row *row = &forward_rows[_i];
    struct ck_change change = {.kind = row->kind};

    if (row->kind == CK_CHANGE_UPSTREAM) {
        struct ck_upstream *upstream = &change.ck_change_u.upstream;
        upstream->name = upstream->database = "a";
        upstream->failure_domain = upstream->host = "";
    }
    start_rig(row->first_outcome);
    forward_apply(&rig.control, "fleet", &change, take_result, NULL);
    loop_run(rig.daemon.control_loop);
    ck_assert_uint_eq(rig.done_count, 1);
    ck_assert_int_eq(rig.outcome, row->outcome);
    ck_assert_uint_eq(rig.calls, row->calls);
    stop_rig();
}
END_TEST

#define ANNOUNCED 100

// A leader that leaves the first lists of announcements without an answer.
static struct {
    unsigned unanswered;
    unsigned lists;
    unsigned listed;
} lists;

static void
answer_list(void *data, struct rpcnet_request *request, const void *args)
{
    const struct ck_announce_args *announce = args;
    struct ck_announce_result result = {.outcome = OUTCOME_OK};

    (void)data;
    if (lists.unanswered > 0) {
        lists.unanswered--;
        free(request);
        return;
    }
    lists.lists++;
    lists.listed += announce->upstreams.upstreams_len;
    rpcnet_reply(request, &result);
    if (lists.listed == ANNOUNCED) {
        loop_stop(rig.daemon.control_loop);
    }
}

// Announcements that change nothing go to the leader in lists. Guards against
// a late leader that gets each of them as a call of its own as well: a list
// without an answer is sent again.
START_TEST(test_announcements_are_gathered)
{
    struct ck_upstream upstream = {.name = (char *)(uintptr_t) "a",
                                   .database = (char *)(uintptr_t) "a",
                                   .failure_domain = (char *)(uintptr_t) "",
                                   .host = (char *)(uintptr_t) ""};

    start_rig(OUTCOME_OK);
    memset(&lists, 0, sizeof(lists));
    lists.unanswered = (unsigned)_i;
    rpcnet_set_handler(rig.leader, &rpcnet_announce, answer_list, NULL);
    struct announcement_batch *batch =
        announcement_batch_create(&rig.control, "fleet");
    for (size_t i = 0; i < ANNOUNCED; i++) {
        announcement_batch_add(batch, &rig.leader_address, &upstream);
    }
    loop_run(rig.daemon.control_loop);
    ck_assert_uint_eq(lists.lists, 2);
    ck_assert_uint_eq(lists.listed, ANNOUNCED);
    ck_assert_uint_eq(rig.calls, 0);
    announcement_batch_destroy(batch);
    stop_rig();
}
END_TEST

static void
add_tests(TCase *tests)
{
    tcase_add_loop_test(tests, test_announcements_are_gathered, 0, 3);
    tcase_add_loop_test(tests, test_change_is_sent_again, 0,
                        ARRAY_SIZE(forward_rows));
}

TEST_MAIN("forward", add_tests)
