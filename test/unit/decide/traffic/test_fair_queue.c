#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "catkingrade/decide/random.h"
#include "catkingrade/kernel/memory.h"
#include "catkingrade/kernel/outcome.h"
#include "test/fake/scheduler_rig.h"
#include "test/suite.h"

// Shares of customers on a saturated upstream. A simulated adapter and
// upstream run the load in steps of STEP_US.

#define STEP_US     500
#define SERVICE_US  5000
#define OPENING_US  12000
#define SLOTS       4
#define SMALL       20 // small customers
#define LARGE       0  // index of the large customer
#define SOURCES_MAX 64
#define CONNS_MAX   128
#define SECOND_US   INT64_C(1000000)
// Slot capacity in requests per second.
#define CAPACITY (SLOTS * SECOND_US / SERVICE_US)

enum kind { URGENT, BY_AGE, OWN };

static const char *const type_names[] = {"urgent", "by-age", "own"};
static const int64_t type_deadlines_us[] = {400000, 800000, 1500000};

// Requests of one customer and type at a rate.
struct source {
    int customer;
    enum kind kind;
    double per_s;
    double due; // requests due, with a fraction
    unsigned sent;
    unsigned served;
    unsigned refused;
    int64_t waited_us; // total, of the served
    int64_t longest_us;
};

struct sim_request {
    struct source *source;
    int64_t sent_us;
    bool transaction; // stays idle in a transaction
    bool ended;
};

struct sim_conn {
    uint32_t id;
    bool used;
    bool opened;
    bool holds; // an idle transaction
    uint64_t request;
    int64_t due_us;
};

static struct scheduler_rig rig;
static struct source sources[SOURCES_MAX];
static size_t sources_count;
static struct sim_conn conns[CONNS_MAX];
static struct sim_request *requests;
static size_t requests_capacity;
static uint64_t dice;
static unsigned starts;
static unsigned refused_beside_free_slot;

static unsigned
count_used_slots(void)
{
    unsigned count = 0;

    for (size_t i = 0; i < CONNS_MAX; i++) {
        count += conns[i].used && (conns[i].request != 0 || conns[i].holds);
    }
    return count;
}

static struct sim_conn *
find_conn(uint32_t id)
{
    for (size_t i = 0; i < CONNS_MAX; i++) {
        if (conns[i].used && conns[i].id == id) {
            return &conns[i];
        }
    }
    return NULL;
}

static void
open_conn(uint32_t id)
{
    for (size_t i = 0; i < CONNS_MAX; i++) {
        if (!conns[i].used) {
            conns[i] = (struct sim_conn){
                .id = id, .used = true, .due_us = rig.now_us + OPENING_US};
            return;
        }
    }
    ck_abort_msg("too many connections");
}

static void
start_request(struct sim_conn *conn, uint64_t id)
{
    struct sim_request *request = &requests[id];
    int64_t waited_us = rig.now_us - request->sent_us;

    conn->request = id;
    // Service times vary, so that the slots become free at different times.
    conn->due_us =
        rig.now_us + SERVICE_US / 2 + (int64_t)random_below(&dice, SERVICE_US);
    starts++;
    request->source->served++;
    request->source->waited_us += waited_us;
    if (waited_us > request->source->longest_us) {
        request->source->longest_us = waited_us;
    }
}

static void
run_actions(void)
{
    for (size_t i = 0; i < rig.actions.count; i++) {
        const struct scheduler_action *action = &rig.actions.items[i];
        struct sim_conn *conn = find_conn(action->conn);
        switch (action->kind) {
        case SCHEDULER_ACTION_OPEN:
            open_conn(action->conn);
            break;
        case SCHEDULER_ACTION_CLOSE:
            conn->used = false;
            break;
        case SCHEDULER_ACTION_VALIDATE:
        case SCHEDULER_ACTION_RESET:
            conn->opened = false;
            conn->due_us = rig.now_us;
            break;
        case SCHEDULER_ACTION_SEND:
            start_request(conn, action->request);
            break;
        case SCHEDULER_ACTION_REFUSE:
            requests[action->request].source->refused++;
            requests[action->request].ended = true;
            refused_beside_free_slot += count_used_slots() < SLOTS;
            break;
        case SCHEDULER_ACTION_UNKNOWN:
            ck_abort_msg("no request may end as unknown here");
            break;
        default:
            break;
        }
    }
    rig.actions.count = 0;
}

static void
send_request(struct source *source, bool transaction)
{
    struct scheduler_event event = {
        .kind = SCHEDULER_EVENT_REQUEST,
        .request = {.session = ++rig.next_request,
                    .request = rig.next_request,
                    .request_class = transaction ? SCHEDULER_CLASS_BEGIN
                                                 : SCHEDULER_CLASS_WRITE,
                    .deadline_us =
                        rig.now_us + type_deadlines_us[source->kind],
                    .queue_timeout_us = type_deadlines_us[source->kind] / 2,
                    .max_age_us = -1}};

    if (rig.next_request >= requests_capacity) {
        requests_capacity = requests_capacity * 2 + 1024;
        requests = xrealloc(requests, requests_capacity * sizeof(*requests));
    }
    requests[rig.next_request] = (struct sim_request){
        .source = source, .sent_us = rig.now_us, .transaction = transaction};
    (void)snprintf(event.request.type, sizeof(event.request.type), "%s",
                   type_names[source->kind]);
    (void)snprintf(event.request.customer, sizeof(event.request.customer),
                   "customer-%d", source->customer);
    source->sent++;
    scheduler_rig_open_session(&rig, event.request.session, NULL);
    run_actions();
    scheduler_rig_step(&rig, &event);
    run_actions();
}

static void
end_due(struct sim_conn *conn)
{
    if (!conn->used || conn->due_us > rig.now_us) {
        return;
    }
    if (!conn->opened) {
        conn->opened = true;
        // The first report is ignored for a connection that is validated, the
        // second one for one that opens.
        scheduler_rig_post_conn_event(&rig, SCHEDULER_EVENT_CONN_OPENED,
                                      conn->id);
        run_actions();
        scheduler_rig_post_conn_event(&rig, SCHEDULER_EVENT_CONN_READY,
                                      conn->id);
        run_actions();
        return;
    }
    if (conn->request != 0) {
        uint64_t request = conn->request;
        conn->request = 0;
        conn->holds = requests[request].transaction;
        scheduler_rig_post_result(&rig, request, conn->id,
                                  SCHEDULER_RESULT_DONE, conn->holds, 200);
        run_actions();
    }
}

// Runs the sources for some time. Arrivals are random, with the sources' mean
// rates.
static void
run(int64_t duration_us)
{
    int64_t end_us = rig.now_us + duration_us;

    while (rig.now_us < end_us) {
        scheduler_rig_tick(&rig, STEP_US);
        run_actions();
        if (rig.now_us % 50000 < STEP_US) {
            scheduler_rig_post_sample(&rig, 0, 200);
            run_actions();
        }
        for (size_t i = 0; i < CONNS_MAX; i++) {
            end_due(&conns[i]);
        }
        for (size_t i = 0; i < sources_count; i++) {
            double mean = sources[i].per_s * STEP_US / SECOND_US;
            double draw = random_below(&dice, 1000000) / 1e6;
            sources[i].due += 2 * mean * draw;
            for (; sources[i].due >= 1; sources[i].due--) {
                send_request(&sources[i], false);
            }
        }
    }
}

static struct source *
add_source(int customer, enum kind kind, double per_s)
{
    ck_assert_uint_lt(sources_count, SOURCES_MAX);
    struct source *source = &sources[sources_count++];

    *source =
        (struct source){.customer = customer, .kind = kind, .per_s = per_s};
    // Spreads the first requests.
    source->due = random_below(&dice, 1000) / 1e3;
    return source;
}

static void
start(uint32_t connections)
{
    memset(conns, 0, sizeof(conns));
    sources_count = 0;
    starts = refused_beside_free_slot = 0;
    dice = 1 + (uint64_t)connections;
    scheduler_rig_init(&rig, 1);
    rig.customer.types.types_len = 3;
    for (int i = 0; i < 3; i++) {
        rig.types[i] = (struct ck_request_type){
            .name = (char *)type_names[i],
            .weight = 4U >> i,
            .deadline_ms = (u_int)(type_deadlines_us[i] / 1000),
            .queue_limit = 1000,
            .max_age_ms = 2000};
    }
    // One connection of the quota is reserved for samples.
    rig.quotas[0] =
        (struct ck_quota){.upstream = rig.names[0],
                          .slots = SLOTS,
                          .connections = connections + 1,
                          .guaranteed_slots = SLOTS,
                          .guaranteed_connections = connections + 1};
    scheduler_rig_post_view(&rig);
    run_actions();
    scheduler_rig_post_sample(&rig, 0, 100);
    run_actions();
}

static void
stop(void)
{
    scheduler_rig_free(&rig);
    free(requests);
    requests = NULL;
    requests_capacity = 0;
}

static void
add_small(enum kind kind, double per_s)
{
    for (int i = 1; i <= SMALL; i++) {
        (void)add_source(i, kind, per_s);
    }
}

// Clears the results, so that those of the start are not counted.
static void
clear_results(void)
{
    for (size_t i = 0; i < sources_count; i++) {
        sources[i].sent = sources[i].served = sources[i].refused = 0;
        sources[i].waited_us = sources[i].longest_us = 0;
    }
    starts = refused_beside_free_slot = 0;
}

// Returns the mean wait of the small customers, of which none may be refused.
static int64_t
get_small_wait_us(void)
{
    int64_t waited_us = 0;
    unsigned served = 0;

    for (size_t i = 0; i < sources_count; i++) {
        if (sources[i].customer != LARGE) {
            ck_assert_uint_eq(sources[i].refused, 0);
            waited_us += sources[i].waited_us;
            served += sources[i].served;
        }
    }
    return waited_us / (served == 0 ? 1 : served);
}

static int64_t
get_small_longest_us(void)
{
    int64_t longest_us = 0;

    for (size_t i = 0; i < sources_count; i++) {
        if (sources[i].customer != LARGE &&
            sources[i].longest_us > longest_us) {
            longest_us = sources[i].longest_us;
        }
    }
    return longest_us;
}

// Kinds of the requests of the large and the small customers.
static const struct {
    enum kind large;
    enum kind small;
} floods[] = {{URGENT, URGENT}, {OWN, OWN}, {OWN, URGENT}, {URGENT, OWN}};

// Guards against a customer within its fair share that is refused, or waits,
// because of another one that sends 7.5 times its usual load, whatever the
// kinds of their requests are. With room for all connections the small
// customers wait for a free slot and for each other only.
START_TEST(test_flood_waits_behind_its_own_requests)
{
    start(48);
    add_small(floods[_i].small, 20);
    struct source *large = add_source(LARGE, floods[_i].large, 0);
    run(2 * SECOND_US);
    clear_results();
    run(8 * SECOND_US);
    int64_t absent_us = get_small_wait_us();
    large->per_s = 100;
    run(2 * SECOND_US);
    clear_results();
    large->per_s = 750;
    run(12 * SECOND_US);
    int64_t flood_us = get_small_wait_us();
    // A slot becomes free each SERVICE_US / SLOTS on average; the wait grows
    // by no more than twice that, or by the window within which urgency
    // decides.
    int64_t more_us = 2 * SERVICE_US / SLOTS;
    if (floods[_i].large == URGENT && floods[_i].small == OWN) {
        more_us = 50000;
    }
    ck_assert_msg(flood_us <= absent_us + more_us,
                  "waited %ld us beside the flood, %ld us without it",
                  (long)flood_us, (long)absent_us);
    ck_assert_msg(get_small_longest_us() <= 100000, "longest wait %ld us",
                  (long)get_small_longest_us());
    // What the others leave is not lost to the large customer.
    ck_assert_msg(starts >= 12 * CAPACITY * 9 / 10, "%u starts", starts);
    ck_assert_uint_gt(large->refused, 0);
    ck_assert_uint_eq(refused_beside_free_slot, 0);
    stop();
}
END_TEST

// Guards against requests that are refused because a customer of a saturated
// upstream has no connection yet while others send all the time: fewer
// connections than customers.
START_TEST(test_flood_with_few_connections)
{
    start(8);
    add_small(URGENT, 2);
    struct source *large = add_source(LARGE, URGENT, 750);
    run(12 * SECOND_US);
    (void)get_small_wait_us();
    ck_assert_msg(get_small_longest_us() <= 200000, "longest wait %ld us",
                  (long)get_small_longest_us());
    ck_assert_uint_gt(large->served, 12 * CAPACITY / 2);
    stop();
}
END_TEST

// Guards against urgent requests that wait behind less urgent ones in a burst,
// and against less urgent ones that get no slot while it lasts.
START_TEST(test_burst_of_urgent_kind)
{
    start(48);
    add_small(OWN, 30);
    run(2 * SECOND_US);
    for (int i = 1; i <= SMALL; i++) {
        (void)add_source(i, URGENT, 0);
    }
    clear_results();
    for (int n = 0; n < 5; n++) {
        for (size_t i = SMALL; i < 2 * SMALL; i++) {
            send_request(&sources[i], false);
        }
    }
    // 100 requests take 125 ms of all slots, 143 ms of seven eighths of them.
    run(150000);
    unsigned urgent = 0;
    unsigned other = 0;
    for (size_t i = 0; i < sources_count; i++) {
        *(sources[i].kind == URGENT ? &urgent : &other) += sources[i].served;
        ck_assert_uint_eq(sources[i].refused, 0);
    }
    ck_assert_msg(urgent >= 100 * 8 / 10, "%u urgent requests", urgent);
    ck_assert_msg(other >= 120 / 10, "%u other requests", other);
    stop();
}
END_TEST

// Guards against customers that are refused because the idle transactions of
// another one hold most slots and connections: those that are left suffice.
START_TEST(test_idle_transactions_hold_connections)
{
    start(8);
    add_small(BY_AGE, 4);
    struct source *large = add_source(LARGE, URGENT, 0);
    run(2 * SECOND_US);
    for (int i = 0; i < SLOTS - 1; i++) {
        send_request(large, true);
    }
    run(SECOND_US);
    ck_assert_uint_ge(count_used_slots(), SLOTS - 1);
    clear_results();
    run(10 * SECOND_US);
    (void)get_small_wait_us();
    ck_assert_uint_eq(refused_beside_free_slot, 0);
    stop();
}
END_TEST

static void
add_tests(TCase *tests)
{
    tcase_add_loop_test(tests, test_flood_waits_behind_its_own_requests, 0,
                        (int)(sizeof(floods) / sizeof(floods[0])));
    tcase_add_test(tests, test_flood_with_few_connections);
    tcase_add_test(tests, test_burst_of_urgent_kind);
    tcase_add_test(tests, test_idle_transactions_hold_connections);
}

TEST_MAIN("fair_queue", add_tests)
