#include "catkingrade/entry/limiter.h"

#include <apr_general.h>
#include <check.h>
#include <semaphore.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "catkingrade/entry/worker.h"
#include "catkingrade/kernel/memory.h"
#include "catkingrade/kernel/outcome.h"
#include "test/suite.h"

// The rate limits in an entry without upstreams: a request that gets a token
// is refused by the scheduler, since there is no primary.

#define SETTINGS                                                              \
    "{\"vm\": \"vm\", \"failure_domain\": \"d\", \"roles\": [\"entry\"], "    \
    "\"listen\": {\"postgres\": \"127.0.0.1:1\", \"rpc\": \"127.0.0.1:2\"}, " \
    "\"traffic_threads\": 1, \"sample_upstreams\": false}"
#define PATIENCE_MS 2000

enum step {
    STEP_SUBMIT,
    STEP_CANCEL,
    STEP_CLOSE,
    STEP_FINISH,
    STEP_SETTLE, // does nothing: earlier tasks have run when it is done
};

static struct {
    struct settings *settings;
    struct loop *control_loop;
    struct entry *entry;
    struct limiter *limiter;
    sem_t done;
    enum step step;
    enum scheduler_class request_class;
    bool is_relayed;
    struct database *database;
    struct entry_session session;
    struct entry_request *request;
    unsigned outcomes;
    int outcome;
    char reason[128];
    int64_t retry_after_us;
} rig;

static void
handle_refusal(struct entry_session *session, struct entry_request *request,
               int outcome, int64_t retry_after_us)
{
    (void)session;
    rig.outcomes++;
    rig.outcome = outcome;
    rig.retry_after_us = retry_after_us;
    (void)strncpy(rig.reason, request->reason == NULL ? "" : request->reason,
                  sizeof(rig.reason) - 1);
    rig.request = NULL;
}

static void
handle_end(struct entry_session *session)
{
    (void)session;
}

static const struct entry_session_ops session_ops = {
    .refuse = handle_refusal,
    .end = handle_end,
};

static void
submit_request(void)
{
    struct entry_request *request = xcalloc(1, sizeof(*request));

    if (rig.database == NULL) {
        rig.database =
            worker_open_database(entry_get_worker(rig.entry, 0), "b");
        ck_assert_ptr_nonnull(rig.database);
        rig.session.ops = &session_ops;
        rig.session.id = 1;
        database_open_session(rig.database, &rig.session, false, true);
    }
    request->session = &rig.session;
    request->is_relayed = rig.is_relayed;
    request->params.request_class = rig.request_class;
    request->params.queue_timeout_us = 50000;
    request->params.deadline_us = monotonic_get_us() + 100000;
    request->params.max_age_us = -1;
    (void)strcpy(request->params.customer, "ada");
    rig.request = request;
    database_submit(rig.database, request);
}

static void
run_step(void *data)
{
    (void)data;
    switch (rig.step) {
    case STEP_SUBMIT:
        submit_request();
        break;
    case STEP_CANCEL:
        database_cancel(rig.database, rig.request);
        break;
    case STEP_CLOSE:
        database_close_session(rig.database, &rig.session, rig.request);
        rig.request = NULL;
        break;
    case STEP_FINISH:
        database_finish(rig.database);
        break;
    case STEP_SETTLE:
        break;
    }
    (void)sem_post(&rig.done);
}

// Runs a step on the worker's thread.
static void
run(enum step step)
{
    rig.step = step;
    loop_post(worker_get_loop(entry_get_worker(rig.entry, 0)), run_step, NULL,
              NULL);
    (void)sem_wait(&rig.done);
}

static void
start_rig(void)
{
    static struct limit limits[] = {{.customer = "ada"}};
    struct ck_database database = {
        .name = "b", .customer = "team", .group = "fleet", .primary = ""};
    struct ck_view_delta delta = {
        .to_revision = 1,
        .full = true,
        .databases = {.databases_len = 1, .databases_val = &database},
    };
    struct buffer errors = {0};

    apr_initialize();
    memset(&rig, 0, sizeof(rig));
    (void)sem_init(&rig.done, 0, 0);
    rig.settings = settings_parse("test", SETTINGS, &errors);
    ck_assert_ptr_nonnull(rig.settings);
    rig.control_loop = loop_create();
    rig.entry = entry_create(rig.settings, rig.control_loop, NULL);
    rig.limiter = entry_get_limiter(rig.entry);
    rig.request_class = SCHEDULER_CLASS_WRITE;
    ck_assert_int_eq(entry_start(rig.entry), OUTCOME_OK);
    struct view *empty = view_create();
    struct view *view = view_apply_delta(empty, "fleet", &delta);
    entry_post_view(rig.entry, view);
    view_release(view);
    view_release(empty);
    entry_set_limits(rig.entry, limits, ARRAY_SIZE(limits));
}

static void
stop_rig(void)
{
    entry_destroy(rig.entry);
    loop_destroy(rig.control_loop);
    settings_destroy(rig.settings);
    (void)sem_destroy(&rig.done);
}

// Answers the call that is due with one row, and delivers the decisions.
static void
answer(struct ck_lent_row row)
{
    struct ck_borrow_args args = {0};
    struct ck_borrow_result result = {.outcome = OUTCOME_OK};

    ck_assert(limiter_fill_call(rig.limiter, &args));
    ck_assert_uint_eq(args.rows.rows_len, 1);
    ck_assert_str_eq(args.rows.rows_val[0].customer, "ada");
    result.sequence = args.sequence;
    row.customer = "ada";
    result.rows.rows_val = &row;
    result.rows.rows_len = 1;
    limiter_handle_answer(rig.limiter, &result);
    limiter_deliver(rig.limiter);
    run(STEP_SETTLE);
}

// Waits for the outcome of the request, which may take the scheduler a while.
static void
wait_for_outcome(void)
{
    for (int i = 0; i < PATIENCE_MS && rig.outcomes == 0; i++) {
        struct timespec pause = {.tv_nsec = 1000000};
        (void)nanosleep(&pause, NULL);
        run(STEP_SETTLE);
    }
    ck_assert_uint_eq(rig.outcomes, 1);
}

// Guards against a request that never gets to the scheduler.
START_TEST(test_token_lets_a_request_pass)
{
    start_rig();
    run(STEP_SUBMIT);
    ck_assert_uint_eq(rig.outcomes, 0);
    answer((struct ck_lent_row){.granted = 1, .valid_ms = 1000});
    wait_for_outcome();
    ck_assert_str_ne(rig.reason, "the customer is over its rate limit");
    ck_assert_str_ne(rig.reason, "no token could be borrowed in time");
    stop_rig();
}
END_TEST

// Guards against a refusal that does not say that nothing was run, or when to
// retry.
START_TEST(test_request_over_the_limit_is_refused)
{
    start_rig();
    run(STEP_SUBMIT);
    answer((struct ck_lent_row){.retry_after_ms = 100});
    ck_assert_uint_eq(rig.outcomes, 1);
    ck_assert_int_eq(rig.outcome, OUTCOME_OVERLOADED);
    ck_assert_str_eq(rig.reason, "the customer is over its rate limit");
    ck_assert_int_ge(rig.retry_after_us, 90000);
    run(STEP_SUBMIT);
    ck_assert_uint_eq(rig.outcomes, 2);
    ck_assert_str_eq(rig.reason, "the customer is over its rate limit");
    stop_rig();
}
END_TEST

// Guards against a wait beyond the request's time to queue.
START_TEST(test_request_without_an_answer_is_refused)
{
    struct timespec pause = {.tv_nsec = 60000000};

    start_rig();
    run(STEP_SUBMIT);
    (void)nanosleep(&pause, NULL);
    limiter_deliver(rig.limiter);
    run(STEP_SETTLE);
    ck_assert_uint_eq(rig.outcomes, 1);
    ck_assert_int_eq(rig.outcome, OUTCOME_OVERLOADED);
    ck_assert_str_eq(rig.reason, "no token could be borrowed in time");
    stop_rig();
}
END_TEST

// Guards against requests that are counted twice: those of other entries, and
// those within a transaction.
START_TEST(test_other_requests_need_no_token)
{
    struct ck_borrow_args args = {0};

    start_rig();
    rig.is_relayed = true;
    run(STEP_SUBMIT);
    wait_for_outcome();
    rig.is_relayed = false;
    rig.outcomes = 0;
    rig.request_class = SCHEDULER_CLASS_ROLLBACK;
    run(STEP_SUBMIT);
    ck_assert(!limiter_fill_call(rig.limiter, &args));
    stop_rig();
}
END_TEST

// Guards against a decision about a request that has ended: cancelled, of a
// closed session, or at the end of the entry, before and after the decision.
START_TEST(test_waiting_request_is_released)
{
    static const enum step steps[] = {STEP_CANCEL, STEP_CLOSE, STEP_FINISH};
    struct ck_borrow_args args = {0};

    for (size_t i = 0; i < ARRAY_SIZE(steps); i++) {
        start_rig();
        run(STEP_SUBMIT);
        ck_assert(limiter_fill_call(rig.limiter, &args));
        run(steps[i]);
        ck_assert_uint_eq(rig.outcomes, steps[i] == STEP_CLOSE ? 0 : 1);
        struct ck_lent_row row = {
            .customer = "ada", .granted = 1, .valid_ms = 1000};
        struct ck_borrow_result result = {.outcome = OUTCOME_OK,
                                          .sequence = args.sequence};
        result.rows.rows_val = &row;
        result.rows.rows_len = 1;
        limiter_handle_answer(rig.limiter, &result);
        limiter_deliver(rig.limiter);
        run(STEP_SETTLE);
        ck_assert_uint_eq(rig.outcomes, steps[i] == STEP_CLOSE ? 0 : 1);
        stop_rig();
    }
    // An entry that is destroyed while a request waits.
    start_rig();
    run(STEP_SUBMIT);
    stop_rig();
}
END_TEST

static void
add_tests(TCase *tests)
{
    tcase_add_test(tests, test_token_lets_a_request_pass);
    tcase_add_test(tests, test_request_over_the_limit_is_refused);
    tcase_add_test(tests, test_request_without_an_answer_is_refused);
    tcase_add_test(tests, test_other_requests_need_no_token);
    tcase_add_test(tests, test_waiting_request_is_released);
}

TEST_MAIN("limiter", add_tests)
