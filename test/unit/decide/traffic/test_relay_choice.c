#include "catkingrade/decide/traffic/relay_choice.h"

#include <check.h>
#include <stdio.h>
#include <string.h>

#include "test/fake/scheduler_rig.h"
#include "test/suite.h"

// The relay of a customer, and the requests of an entry that divides its
// customers among relays.

#define RELAYS    4
#define CUSTOMERS 200

static struct scheduler_rig rig;
static char hosts[RELAYS + 1][16];

// Guards against a missing relay that moves the customers of the other relays,
// and against one relay that gets most customers.
START_TEST(test_missing_relay_moves_only_its_customers)
{
    unsigned counts[RELAYS] = {0};

    for (int i = 0; i < CUSTOMERS; i++) {
        char customer[32];
        int best = 0;
        int best_without_last = 0;
        uint64_t ranks[RELAYS];
        (void)snprintf(customer, sizeof(customer), "customer-%d", i);
        for (int k = 0; k < RELAYS; k++) {
            char host[32];
            (void)snprintf(host, sizeof(host), "10.0.0.%d", k);
            ranks[k] = relay_choice_get_rank("roster", customer, host);
            best = ranks[k] > ranks[best] ? k : best;
            if (k < RELAYS - 1 && ranks[k] > ranks[best_without_last]) {
                best_without_last = k;
            }
        }
        ck_assert(best == RELAYS - 1 || best == best_without_last);
        counts[best]++;
    }
    for (int k = 0; k < RELAYS; k++) {
        ck_assert_uint_ge(counts[k], CUSTOMERS / RELAYS / 2);
    }
}
END_TEST

static void
post_view(void)
{
    const struct scheduler_event event = {.kind = SCHEDULER_EVENT_VIEW,
                                          .view = {.customer = &rig.customer,
                                                   .database = &rig.database,
                                                   .failure_domain = "noord",
                                                   .relayed = true}};

    scheduler_rig_step(&rig, &event);
}

// Starts with the nearest relay, u0, and RELAYS relays for customers.
static void
start(void)
{
    scheduler_rig_init_guarded(&rig, RELAYS + 1);
    hosts[0][0] = '\0';
    rig.upstreams[0].host = hosts[0];
    for (unsigned i = 1; i <= RELAYS; i++) {
        (void)snprintf(hosts[i], sizeof(hosts[i]), "10.0.0.%u", i);
        rig.upstreams[i].host = hosts[i];
    }
    post_view();
}

// Runs a request of a customer to its end. Returns the upstream of its link,
// or SCHEDULER_NO_ID if none was opened.
static uint32_t
serve(const char *customer, enum scheduler_class request_class,
      bool *on_replica)
{
    struct scheduler_event event = {.kind = SCHEDULER_EVENT_REQUEST,
                                    .request = {.session = ++rig.next_request,
                                                .request = rig.next_request,
                                                .request_class = request_class,
                                                .max_age_us = -1}};

    (void)snprintf(event.request.customer, sizeof(event.request.customer),
                   "%s", customer);
    scheduler_rig_open_session(&rig, event.request.session, NULL);
    scheduler_rig_complete_opens(&rig);
    scheduler_rig_step(&rig, &event);
    scheduler_rig_complete_opens(&rig);
    const struct scheduler_action *sent = scheduler_rig_find_action(
        &rig, SCHEDULER_ACTION_SEND, event.request.request);
    if (sent == NULL) {
        return SCHEDULER_NO_ID;
    }
    uint32_t upstream = sent->upstream;
    *on_replica = sent->on_replica;
    scheduler_rig_post_result(&rig, event.request.request, sent->conn,
                              SCHEDULER_RESULT_DONE, false, 1);
    return upstream;
}

// Guards against reads and writes of one customer that use different relays,
// and against requests without a customer that leave the nearest relay.
START_TEST(test_customer_uses_one_relay)
{
    bool used[RELAYS + 1] = {false};
    bool on_replica = false;

    start();
    for (int i = 0; i < 40; i++) {
        char customer[32];
        (void)snprintf(customer, sizeof(customer), "customer-%d", i);
        uint32_t relay = serve(customer, SCHEDULER_CLASS_WRITE, &on_replica);
        ck_assert(!on_replica);
        ck_assert(relay >= 1 && relay <= RELAYS);
        used[relay] = true;
        ck_assert_uint_eq(serve(customer, SCHEDULER_CLASS_READ, &on_replica),
                          relay);
        ck_assert(!on_replica);
        ck_assert_uint_eq(serve("", SCHEDULER_CLASS_WRITE, &on_replica), 0);
    }
    for (int i = 1; i <= RELAYS; i++) {
        ck_assert(used[i]);
    }
    scheduler_rig_free(&rig);
}
END_TEST

// Guards against requests that wait for the relay of their customer after it
// has refused a link: they go to the next relay, and return after some time.
START_TEST(test_failed_relay_is_left)
{
    bool on_replica = false;
    struct scheduler_event event = {
        .kind = SCHEDULER_EVENT_REQUEST,
        .request = {.session = 500,
                    .request = 500,
                    .request_class = SCHEDULER_CLASS_WRITE,
                    .customer = "north",
                    .max_age_us = -1}};

    start();
    scheduler_rig_open_session(&rig, 500, NULL);
    scheduler_rig_step(&rig, &event);
    const struct scheduler_action *open =
        scheduler_rig_find_action(&rig, SCHEDULER_ACTION_OPEN, 0);
    ck_assert_ptr_nonnull(open);
    uint32_t relay = open->upstream;
    const struct scheduler_event failed = {
        .kind = SCHEDULER_EVENT_CONN_FAILED,
        .conn = {.upstream = relay, .conn = open->conn, .refused = true}};
    scheduler_rig_step(&rig, &failed);
    scheduler_rig_complete_opens(&rig);
    const struct scheduler_action *sent =
        scheduler_rig_find_action(&rig, SCHEDULER_ACTION_SEND, 500);
    ck_assert_ptr_nonnull(sent);
    uint32_t next = sent->upstream;
    ck_assert_uint_ne(next, relay);
    scheduler_rig_post_result(&rig, 500, sent->conn, SCHEDULER_RESULT_DONE,
                              false, 1);
    ck_assert_uint_eq(serve("north", SCHEDULER_CLASS_READ, &on_replica), next);
    scheduler_rig_tick(&rig, 6000 * SCHEDULER_RIG_MS_US);
    ck_assert_uint_eq(serve("north", SCHEDULER_CLASS_READ, &on_replica),
                      relay);
    scheduler_rig_free(&rig);
}
END_TEST

// Guards against a link to a former relay that is used for its successor in
// the list.
START_TEST(test_replaced_relay_loses_its_links)
{
    bool on_replica = false;

    start();
    uint32_t relay = serve("north", SCHEDULER_CLASS_WRITE, &on_replica);
    (void)snprintf(hosts[relay], sizeof(hosts[relay]), "10.0.1.1");
    post_view();
    const struct scheduler_action *closed =
        scheduler_rig_find_action(&rig, SCHEDULER_ACTION_CLOSE, 0);
    ck_assert_ptr_nonnull(closed);
    ck_assert_uint_eq(closed->upstream, relay);
    scheduler_rig_free(&rig);
}
END_TEST

static void
add_tests(TCase *tests)
{
    tcase_add_test(tests, test_missing_relay_moves_only_its_customers);
    tcase_add_test(tests, test_customer_uses_one_relay);
    tcase_add_test(tests, test_failed_relay_is_left);
    tcase_add_test(tests, test_replaced_relay_loses_its_links);
}

TEST_MAIN("relay_choice", add_tests)
