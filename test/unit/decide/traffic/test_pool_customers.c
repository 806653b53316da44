#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "catkingrade/decide/random.h"
#include "catkingrade/kernel/memory.h"
#include "test/fake/scheduler_rig.h"
#include "test/suite.h"

// Connections that belong to customers.

#define CONNS_MAX     512
#define OPENING_US    (12 * SCHEDULER_RIG_MS_US)
#define NO_CUSTOMER   ""
#define LIMIT         4 // connections of the quota without that for samples
#define RANDOM_SEEDS  300
#define RANDOM_EVENTS 600
#define SESSIONS      40

static struct scheduler_rig rig;

// What the adapter knows of a connection.
struct adapter_conn {
    uint32_t id;
    uint32_t upstream;
    char customer[64];
    bool used; // this element
    bool opened;
    bool checking; // a reset or a validation is in flight
    bool in_transaction;
    int64_t due_us;   // end of the opening
    uint64_t request; // in flight; 0: none
};

// Customer of each request, by its id, and whether it has ended.
struct adapter_request {
    char customer[64];
    uint64_t session;
    enum scheduler_class request_class;
    bool ended;
};

static struct adapter_conn conns[CONNS_MAX];
static struct adapter_request *requests;
static size_t requests_capacity;
static uint32_t limits[4];
static bool relayed; // the view's upstream is a relay
static unsigned opened_count;
static unsigned evicted_count;
static unsigned unowned_count;

static struct adapter_conn *
find_conn(uint32_t id)
{
    for (size_t i = 0; i < CONNS_MAX; i++) {
        if (conns[i].used && conns[i].id == id) {
            return &conns[i];
        }
    }
    return NULL;
}

static uint32_t
count_open(uint32_t upstream)
{
    uint32_t count = 0;

    for (size_t i = 0; i < CONNS_MAX; i++) {
        count += conns[i].used && conns[i].upstream == upstream;
    }
    return count;
}

static void
add_conn(const struct scheduler_action *action)
{
    size_t i = 0;

    while (conns[i].used) {
        i++;
    }
    ck_assert_uint_lt(i, CONNS_MAX);
    conns[i] = (struct adapter_conn){.id = action->conn,
                                     .upstream = action->upstream,
                                     .used = true,
                                     .due_us = rig.now_us + OPENING_US};
    (void)snprintf(conns[i].customer, sizeof(conns[i].customer), "%s",
                   action->customer);
    opened_count++;
    unowned_count += action->customer[0] == '\0';
    ck_assert_uint_le(count_open(action->upstream), limits[action->upstream]);
}

// Executes the actions of the last step in their order, and checks that the
// limit of each upstream holds after each of them and that no request is sent
// on the connection of another customer.
static void
run_actions(void)
{
    for (size_t i = 0; i < rig.actions.count; i++) {
        const struct scheduler_action *action = &rig.actions.items[i];
        struct adapter_conn *conn = find_conn(action->conn);
        switch (action->kind) {
        case SCHEDULER_ACTION_OPEN:
            add_conn(action);
            break;
        case SCHEDULER_ACTION_CLOSE:
            ck_assert_ptr_nonnull(conn);
            if (action->close_reason == SCHEDULER_CLOSE_EVICTED) {
                ck_assert(conn->opened && conn->request == 0 &&
                          !conn->in_transaction);
                evicted_count++;
            }
            conn->used = false;
            break;
        case SCHEDULER_ACTION_SEND:
            ck_assert_ptr_nonnull(conn);
            ck_assert(conn->opened && conn->request == 0);
            ck_assert_str_eq(conn->customer,
                             relayed ? NO_CUSTOMER
                                     : requests[action->request].customer);
            conn->request = action->request;
            break;
        case SCHEDULER_ACTION_RESET:
        case SCHEDULER_ACTION_VALIDATE:
            ck_assert_ptr_nonnull(conn);
            conn->checking = true;
            break;
        case SCHEDULER_ACTION_ANSWER:
        case SCHEDULER_ACTION_WARN:
        case SCHEDULER_ACTION_REFUSE:
        case SCHEDULER_ACTION_UNKNOWN:
            ck_assert(!requests[action->request].ended);
            requests[action->request].ended = true;
            break;
        default:
            break;
        }
    }
    rig.actions.count = 0;
}

static uint64_t
post(uint64_t session, enum scheduler_class request_class,
     const char *customer)
{
    struct scheduler_event event = {.kind = SCHEDULER_EVENT_REQUEST,
                                    .request = {.session = session,
                                                .request = ++rig.next_request,
                                                .request_class = request_class,
                                                .max_age_us = -1}};

    if (rig.next_request >= requests_capacity) {
        requests_capacity = requests_capacity * 2 + 64;
        requests = xrealloc(requests, requests_capacity * sizeof(*requests));
    }
    struct adapter_request *request = &requests[rig.next_request];
    *request = (struct adapter_request){.session = session,
                                        .request_class = request_class};
    (void)snprintf(request->customer, sizeof(request->customer), "%s",
                   customer);
    (void)snprintf(event.request.customer, sizeof(event.request.customer),
                   "%s", customer);
    scheduler_rig_step(&rig, &event);
    run_actions();
    return rig.next_request;
}

// Reports the connections as open whose opening takes no longer.
static void
complete_opens(void)
{
    for (size_t i = 0; i < CONNS_MAX; i++) {
        struct adapter_conn *conn = &conns[i];
        if (!conn->used || (conn->opened && !conn->checking) ||
            conn->due_us > rig.now_us) {
            continue;
        }
        enum scheduler_event_kind kind = conn->opened
                                             ? SCHEDULER_EVENT_CONN_READY
                                             : SCHEDULER_EVENT_CONN_OPENED;
        conn->opened = true;
        conn->checking = false;
        scheduler_rig_post_conn_event(&rig, kind, conn->id);
        run_actions();
    }
}

static void
advance(int64_t by_us)
{
    scheduler_rig_tick(&rig, by_us);
    run_actions();
    complete_opens();
}

// Ends the request that is in flight on a connection.
static void
finish(struct adapter_conn *conn, enum scheduler_result result,
       bool in_transaction)
{
    uint64_t request = conn->request;

    conn->request = 0;
    conn->in_transaction = in_transaction;
    scheduler_rig_post_result(&rig, request, conn->id, result, in_transaction,
                              200);
    run_actions();
}

static struct adapter_conn *
find_running(uint64_t request)
{
    for (size_t i = 0; i < CONNS_MAX; i++) {
        if (conns[i].used && conns[i].request == request) {
            return &conns[i];
        }
    }
    return NULL;
}

// Runs a request of a customer to its end. Returns how long it waited.
static int64_t
serve(uint64_t session, enum scheduler_class request_class,
      const char *customer)
{
    int64_t since_us = rig.now_us;
    uint64_t request = post(session, request_class, customer);

    while (find_running(request) == NULL) {
        ck_assert(!requests[request].ended);
        advance(SCHEDULER_RIG_MS_US);
        scheduler_rig_post_sample(&rig, 0, 200);
        run_actions();
        ck_assert_int_lt(rig.now_us - since_us, 1000 * SCHEDULER_RIG_MS_US);
    }
    int64_t waited_us = rig.now_us - since_us;
    advance(SCHEDULER_RIG_MS_US);
    finish(find_running(request), SCHEDULER_RESULT_DONE, false);
    return waited_us;
}

static void
set_quotas(uint32_t slots, uint32_t connections)
{
    for (uint32_t i = 0; i < rig.database.upstreams.upstreams_len; i++) {
        // One connection of the quota is reserved for samples.
        rig.quotas[i] =
            (struct ck_quota){.upstream = rig.names[i],
                              .slots = slots,
                              .connections = connections + 1,
                              .guaranteed_slots = slots,
                              .guaranteed_connections = connections + 1};
        limits[i] = connections;
    }
}

// Starts the scheduler; the spare connections that it opens before the first
// request of a customer are not counted.
static void
start(uint32_t upstreams, uint32_t slots, uint32_t connections)
{
    memset(conns, 0, sizeof(conns));
    opened_count = evicted_count = unowned_count = 0;
    scheduler_rig_init(&rig, upstreams);
    set_quotas(slots, connections);
    scheduler_rig_post_view(&rig);
    run_actions();
    for (uint32_t i = 0; i < upstreams; i++) {
        scheduler_rig_post_sample(&rig, i, 100);
        run_actions();
    }
    for (uint64_t session = 1; session <= SESSIONS; session++) {
        scheduler_rig_open_session(&rig, session, NULL);
        run_actions();
    }
    advance(OPENING_US);
    opened_count = unowned_count = 0;
}

static void
stop(void)
{
    scheduler_rig_free(&rig);
    free(requests);
    requests = NULL;
    requests_capacity = 0;
}

// Guards against two customers that alternate and make every request open a
// connection although a second one is allowed.
START_TEST(test_alternating_customers_keep_their_connections)
{
    start(1, 4, 2);
    for (int i = 0; i < 50; i++) {
        (void)serve(1, SCHEDULER_CLASS_WRITE, i % 2 == 0 ? "north" : "south");
    }
    ck_assert_uint_le(opened_count, 2);
    ck_assert_uint_eq(unowned_count, 0);
    stop();
}
END_TEST

// Guards against a rare customer whose requests close a connection that a
// large customer uses all the time.
START_TEST(test_rare_customers_take_place_of_rare_ones)
{
    char rare[64];

    start(1, 4, LIMIT);
    for (int i = 0; i < 200; i++) {
        (void)serve(1, SCHEDULER_CLASS_WRITE, "north");
        (void)serve(2, SCHEDULER_CLASS_WRITE, "south");
    }
    opened_count = 0;
    for (int i = 0; i < 100; i++) {
        (void)snprintf(rare, sizeof(rare), "rare-%d", i);
        (void)serve(3, SCHEDULER_CLASS_WRITE, rare);
        for (int k = 0; k < 10; k++) {
            (void)serve(1, SCHEDULER_CLASS_WRITE, "north");
            (void)serve(2, SCHEDULER_CLASS_WRITE, "south");
        }
    }
    ck_assert_uint_le(opened_count, 100);
    stop();
}
END_TEST

// Guards against a rare customer that waits until a large one, which uses all
// connections without a pause, has no more requests.
START_TEST(test_rare_customer_gets_next_released_connection)
{
    uint64_t rare = 0;
    int64_t since_us = 0;

    start(1, LIMIT, LIMIT);
    for (uint64_t session = 1; session <= 30; session++) {
        (void)post(session, SCHEDULER_CLASS_WRITE, "large");
    }
    for (int i = 0; i < 2000; i++) {
        advance(SCHEDULER_RIG_MS_US);
        scheduler_rig_post_sample(&rig, 0, 200);
        run_actions();
        for (size_t k = 0; k < CONNS_MAX; k++) {
            uint64_t request = conns[k].request;
            if (!conns[k].used || request == 0 || i % 5 != (int)k % 5) {
                continue;
            }
            uint64_t session = requests[request].session;
            if (request == rare) {
                ck_assert_int_le(rig.now_us - since_us,
                                 150 * SCHEDULER_RIG_MS_US);
                rare = 0;
            }
            finish(&conns[k], SCHEDULER_RESULT_DONE, false);
            if (session <= 30) {
                (void)post(session, SCHEDULER_CLASS_WRITE, "large");
            }
        }
        if (rare == 0 && i % 100 == 50 && i < 1800) {
            rare = post(31, SCHEDULER_CLASS_WRITE, "rare");
            since_us = rig.now_us;
        }
    }
    ck_assert_uint_eq(rare, 0);
    stop();
}
END_TEST

// Guards against links to a relay that are opened for one customer: a relay
// serves all of them on each link.
START_TEST(test_relayed_connections_belong_to_no_customer)
{
    const struct scheduler_event event = {.kind = SCHEDULER_EVENT_VIEW,
                                          .view = {.customer = &rig.customer,
                                                   .database = &rig.database,
                                                   .failure_domain = "noord",
                                                   .relayed = true}};
    char customer[64];

    start(1, 4, 4);
    relayed = true;
    rig.names[0][0] = 'r';
    rig.database.primary = rig.names[0];
    limits[1] = 30;
    scheduler_rig_step(&rig, &event);
    run_actions();
    for (uint64_t session = 1; session <= 30; session++) {
        (void)snprintf(customer, sizeof(customer), "customer-%u",
                       (unsigned)session);
        (void)serve(session, SCHEDULER_CLASS_WRITE, customer);
    }
    // A link serves the requests of all customers one after the other.
    ck_assert_uint_le(opened_count, 4);
    ck_assert_uint_eq(unowned_count, opened_count);
    ck_assert_uint_eq(evicted_count, 0);
    relayed = false;
    stop();
}
END_TEST

// Guards against an idle connection of a customer that is above a smaller
// quota and stays open, and against one that is opened above it.
START_TEST(test_smaller_quota_holds_for_customers)
{
    char customer[64];

    start(1, 4, 6);
    for (int i = 0; i < 12; i++) {
        (void)snprintf(customer, sizeof(customer), "customer-%d", i);
        (void)serve(1, SCHEDULER_CLASS_WRITE, customer);
    }
    ck_assert_uint_eq(count_open(0), 6);
    set_quotas(4, 2);
    scheduler_rig_post_view(&rig);
    run_actions();
    ck_assert_uint_eq(count_open(0), 2);
    for (int i = 0; i < 12; i++) {
        (void)snprintf(customer, sizeof(customer), "customer-%d", i);
        (void)serve(1, SCHEDULER_CLASS_WRITE, customer);
    }
    ck_assert_uint_eq(count_open(0), 2);
    stop();
}
END_TEST

// Guards against a smaller quota that closes the connections of customers in
// frequent use and keeps those of rare ones.
START_TEST(test_smaller_quota_keeps_frequent_customers)
{
    char customer[64];

    start(1, 4, 6);
    for (int i = 0; i < 40; i++) {
        (void)serve(1, SCHEDULER_CLASS_WRITE, "north");
        (void)serve(2, SCHEDULER_CLASS_WRITE, "south");
        if (i % 10 == 0) {
            (void)snprintf(customer, sizeof(customer), "rare-%d", i);
            (void)serve(3, SCHEDULER_CLASS_WRITE, customer);
        }
    }
    ck_assert_uint_eq(count_open(0), 6);
    set_quotas(4, 2);
    scheduler_rig_post_view(&rig);
    run_actions();
    opened_count = 0;
    (void)serve(1, SCHEDULER_CLASS_WRITE, "north");
    (void)serve(2, SCHEDULER_CLASS_WRITE, "south");
    ck_assert_uint_eq(opened_count, 0);
    stop();
}
END_TEST

static enum scheduler_class
pick_class(uint64_t *random)
{
    static const enum scheduler_class classes[] = {
        SCHEDULER_CLASS_READ, SCHEDULER_CLASS_READ, SCHEDULER_CLASS_WRITE,
        SCHEDULER_CLASS_BEGIN};

    return classes[random_below(random, 4)];
}

static void
post_random(uint64_t *random, uint64_t *last_request, const bool *in_tx)
{
    uint64_t session = 1 + random_below(random, SESSIONS - 1);
    // Small numbers are frequent, so that a few customers are large.
    uint32_t rank = random_below(random, 1 + random_below(random, 30));
    char customer[64] = "";

    if (last_request[session] != 0 && !requests[last_request[session]].ended) {
        return;
    }
    if (in_tx[session]) {
        (void)snprintf(customer, sizeof(customer), "%s",
                       requests[last_request[session]].customer);
        last_request[session] =
            post(session,
                 random_below(random, 2) == 0 ? SCHEDULER_CLASS_IN_TRANSACTION
                                              : SCHEDULER_CLASS_COMMIT,
                 customer);
        return;
    }
    if (rank > 0) {
        (void)snprintf(customer, sizeof(customer), "customer-%u", rank);
    }
    last_request[session] = post(session, pick_class(random), customer);
}

static void
finish_random(uint64_t *random, bool *in_tx)
{
    struct adapter_conn *conn = &conns[random_below(random, 48)];

    if (!conn->used || conn->request == 0) {
        return;
    }
    struct adapter_request *request = &requests[conn->request];
    bool opens = request->request_class == SCHEDULER_CLASS_BEGIN ||
                 request->request_class == SCHEDULER_CLASS_IN_TRANSACTION;
    uint64_t session = request->session;
    bool abandoned = request->ended;
    if (random_below(random, 12) == 0) {
        in_tx[session] = false;
        uint64_t id = conn->request;
        uint32_t conn_id = conn->id;
        scheduler_rig_post_result(&rig, id, conn_id,
                                  SCHEDULER_RESULT_CONN_LOST, false, 200);
        run_actions();
        return;
    }
    in_tx[session] = opens && !abandoned;
    finish(conn, SCHEDULER_RESULT_DONE, opens && !abandoned);
}

static void
change_random(uint64_t *random, bool *in_tx, uint64_t *last_request)
{
    switch (random_below(random, 6)) {
    case 0:
        set_quotas(1 + random_below(random, 4), 1 + random_below(random, 6));
        scheduler_rig_post_view(&rig);
        run_actions();
        break;
    case 1: {
        uint64_t session = 1 + random_below(random, SESSIONS - 1);
        const struct scheduler_event event = {
            .kind = SCHEDULER_EVENT_SESSION_CLOSE, .session = session};
        scheduler_rig_step(&rig, &event);
        run_actions();
        scheduler_rig_open_session(&rig, session, NULL);
        run_actions();
        in_tx[session] = false;
        last_request[session] = 0;
        break;
    }
    case 2: {
        struct adapter_conn *conn = &conns[random_below(random, 16)];
        if (conn->used && !conn->opened) {
            conn->used = false;
            scheduler_rig_post_conn_event(&rig, SCHEDULER_EVENT_CONN_FAILED,
                                          conn->id);
            run_actions();
        }
        break;
    }
    case 3: {
        const struct scheduler_event event = {
            .kind = SCHEDULER_EVENT_REQUEST_CANCEL,
            .request_cancel =
                1 + random_below(random, 20) +
                (rig.next_request > 20 ? rig.next_request - 20 : 0)};
        scheduler_rig_step(&rig, &event);
        run_actions();
        break;
    }
    default:
        advance(random_below(random, 60) * SCHEDULER_RIG_MS_US);
    }
}

static void
run_random(uint64_t seed)
{
    uint64_t random = seed;
    uint64_t last_request[SESSIONS + 1] = {0};
    bool in_tx[SESSIONS + 1] = {false};

    start(3, 1 + random_below(&random, 4), 1 + random_below(&random, 6));
    for (int i = 0; i < RANDOM_EVENTS; i++) {
        switch (random_below(&random, 8)) {
        case 0:
        case 1:
        case 2:
            post_random(&random, last_request, in_tx);
            break;
        case 3:
        case 4:
        case 5:
            finish_random(&random, in_tx);
            break;
        case 6:
            advance(random_below(&random, 8) * SCHEDULER_RIG_MS_US);
            for (uint32_t k = 0; k < 3; k++) {
                scheduler_rig_post_sample(&rig, k, 200);
                run_actions();
            }
            break;
        default:
            if (random_below(&random, 3) == 0) {
                change_random(&random, in_tx, last_request);
            }
        }
    }
    stop();
}

// Guards against a connection above the limit of an upstream at any moment,
// and against a request that is sent in the name of another customer. Runs as
// many seeds as POOL_SEEDS says.
START_TEST(test_limit_and_owner_hold_for_random_events)
{
    const char *text = getenv("POOL_SEEDS");
    uint64_t seeds = text == NULL ? RANDOM_SEEDS : strtoull(text, NULL, 10);
    unsigned evicted = 0;

    for (uint64_t seed = 1; seed <= seeds; seed++) {
        run_random(seed);
        evicted += evicted_count;
    }
    ck_assert_uint_gt(evicted, seeds);
}
END_TEST

static void
add_tests(TCase *tests)
{
    tcase_set_timeout(tests, 600);
    tcase_add_test(tests, test_alternating_customers_keep_their_connections);
    tcase_add_test(tests, test_rare_customers_take_place_of_rare_ones);
    tcase_add_test(tests, test_rare_customer_gets_next_released_connection);
    tcase_add_test(tests, test_relayed_connections_belong_to_no_customer);
    tcase_add_test(tests, test_smaller_quota_holds_for_customers);
    tcase_add_test(tests, test_smaller_quota_keeps_frequent_customers);
    tcase_add_test(tests, test_limit_and_owner_hold_for_random_events);
}

TEST_MAIN("pool_customers", add_tests)
