#include <check.h>
#include <json-c/json.h>
#include <stdio.h>
#include <string.h>

#include "catkingrade/kernel/memory.h"
#include "test/fake/scheduler_fleet.h"
#include "test/suite.h"

// Replays recorded traces of client actions and faults, and random ones,
// against several entries with their schedulers on a virtual clock. The
// checkers of the fake fleet verify the guarantees during and after each run.

#define LINE_SIZE 512
#define END_US    (6000 * SCHEDULER_FLEET_MS_US)

static const char *const traces[] = {
    "roaming", "failover", "superseded", "transactions", "silent", "leaving",
};

static int64_t
get_number(struct json_object *line, const char *key, int64_t fallback)
{
    struct json_object *value = NULL;

    return json_object_object_get_ex(line, key, &value)
               ? json_object_get_int64(value)
               : fallback;
}

static const char *
get_text(struct json_object *line, const char *key)
{
    struct json_object *value = NULL;

    return json_object_object_get_ex(line, key, &value)
               ? json_object_get_string(value)
               : "";
}

static enum scheduler_fleet_outcome
get_outcome(struct json_object *line)
{
    static const char *const names[] = {"", "done", "not_run", "unknown"};
    const char *text = get_text(line, "outcome");

    for (int i = 0; i < (int)ARRAY_SIZE(names); i++) {
        if (strcmp(names[i], text) == 0) {
            return (enum scheduler_fleet_outcome)i;
        }
    }
    ck_abort_msg("unknown outcome: %s", text);
}

// Runs a trace line that posts a request. Returns false for other lines.
static bool
run_request(struct scheduler_fleet *fleet, struct json_object *line,
            int number)
{
    static const struct {
        const char *name;
        enum scheduler_class request_class;
    } classes[] = {{"read", SCHEDULER_CLASS_READ},
                   {"write", SCHEDULER_CLASS_WRITE},
                   {"begin", SCHEDULER_CLASS_BEGIN},
                   {"insert", SCHEDULER_CLASS_IN_TRANSACTION},
                   {"commit", SCHEDULER_CLASS_COMMIT}};

    for (size_t i = 0; i < ARRAY_SIZE(classes); i++) {
        if (strcmp(classes[i].name, get_text(line, "do")) != 0) {
            continue;
        }
        int64_t max_age_ms = get_number(line, "max_age_ms", -1);
        fleet->request_time_us =
            get_number(line, "time_ms", 0) * SCHEDULER_FLEET_MS_US;
        uint64_t id = scheduler_fleet_post_request(
            fleet, (uint64_t)get_number(line, "session", 0),
            classes[i].request_class,
            max_age_ms < 0 ? -1 : max_age_ms * SCHEDULER_FLEET_MS_US, false);
        struct scheduler_fleet_request *request = &fleet->requests[id];
        request->line = number;
        request->expected = get_outcome(line);
        request->expected_replica = (int)get_number(line, "replica", -1);
        return true;
    }
    return false;
}

// Runs a trace line that opens or closes a session. Returns false for others.
static bool
run_session(struct scheduler_fleet *fleet, struct json_object *line)
{
    const char *verb = get_text(line, "do");
    const char *token = get_text(line, "token");
    uint64_t session = (uint64_t)get_number(line, "session", 0);

    if (strcmp(verb, "open") == 0) {
        scheduler_fleet_open_session(
            fleet, session, (uint32_t)get_number(line, "entry", 0),
            strcmp(token, "new") == 0   ? SCHEDULER_FLEET_TOKEN_NEW
            : strcmp(token, "own") == 0 ? SCHEDULER_FLEET_TOKEN_OWN
                                        : SCHEDULER_FLEET_TOKEN_NONE);
        return true;
    }
    if (strcmp(verb, "close") == 0) {
        scheduler_fleet_close_session(fleet, session);
        return true;
    }
    return false;
}

// Runs a trace line that changes an upstream. Returns false for others.
static bool
run_upstream(struct scheduler_fleet *fleet, struct json_object *line)
{
    const char *verb = get_text(line, "do");
    uint32_t upstream = (uint32_t)get_number(line, "upstream", 0);
    struct scheduler_fleet_upstream *up = &fleet->upstreams[upstream];

    if (strcmp(verb, "lag") == 0) {
        up->lag_us = get_number(line, "ms", 0) * SCHEDULER_FLEET_MS_US;
    }
    else if (strcmp(verb, "service") == 0) {
        up->service_us = get_number(line, "ms", 0) * SCHEDULER_FLEET_MS_US;
    }
    else if (strcmp(verb, "crash") == 0) {
        scheduler_fleet_crash_upstream(fleet, upstream);
    }
    else if (strcmp(verb, "start") == 0) {
        up->down = false;
        up->is_primary = false;
        up->is_following = true;
    }
    else if (strcmp(verb, "stop_replication") == 0) {
        up->lag_us = INT64_C(1) << 50;
    }
    else if (strcmp(verb, "leaving") == 0) {
        fleet->upstream_states[upstream] = CK_UPSTREAM_LEAVING;
        scheduler_fleet_post_views(fleet);
    }
    else {
        return false;
    }
    return true;
}

// Runs a trace line on control, entries or the network. Returns false for
// others.
static bool
run_control(struct scheduler_fleet *fleet, struct json_object *line)
{
    const char *verb = get_text(line, "do");
    uint32_t entry = (uint32_t)get_number(line, "entry", 0);
    bool cut = get_number(line, "cut", 0) != 0;

    if (strcmp(verb, "failover") == 0) {
        scheduler_fleet_start_failover(fleet);
    }
    else if (strcmp(verb, "confirm") == 0) {
        fleet->confirm = (uint32_t)get_number(line, "replicas", 1);
        scheduler_fleet_post_views(fleet);
    }
    else if (strcmp(verb, "customer") == 0) {
        fleet->customer_state = CK_CUSTOMER_DRAINING;
        scheduler_fleet_post_views(fleet);
    }
    else if (strcmp(verb, "drain") == 0) {
        scheduler_fleet_drain_entry(fleet, entry);
    }
    else if (strcmp(verb, "control_cut") == 0) {
        fleet->entries[entry].control_path_down = cut;
    }
    else if (strcmp(verb, "cut") == 0) {
        scheduler_fleet_set_path_down(
            fleet, entry, (uint32_t)get_number(line, "upstream", 0), cut);
    }
    else {
        return false;
    }
    return true;
}

static struct scheduler_fleet *
create_fleet(struct json_object *line)
{
    return scheduler_fleet_create(1, (uint32_t)get_number(line, "entries", 1),
                                  (uint32_t)get_number(line, "upstreams", 1),
                                  (uint32_t)get_number(line, "slots", 6));
}

// Guards against violated guarantees and unexpected outcomes in the traces of
// test/replay/traffic. The first line of a trace describes the fleet; each
// further line is an action at a time.
START_TEST(test_trace)
{
    char path[LINE_SIZE];
    char text[LINE_SIZE];
    struct scheduler_fleet *fleet = NULL;
    int number = 0;

    (void)snprintf(path, sizeof(path), "%s/test/replay/traffic/%s.jsonl",
                   TEST_SOURCE_DIR, traces[_i]);
    FILE *file = fopen(path, "r");
    ck_assert_ptr_nonnull(file);
    while (fgets(text, sizeof(text), file) != NULL) {
        struct json_object *line = json_tokener_parse(text);
        ck_assert_msg(line != NULL, "%s:%d", path, ++number);
        number += line == NULL ? 0 : 1;
        if (fleet == NULL) {
            fleet = create_fleet(line);
        }
        else {
            scheduler_fleet_run_until(fleet, get_number(line, "at_ms", 0) *
                                                 SCHEDULER_FLEET_MS_US);
            ck_assert_msg(
                run_request(fleet, line, number) || run_session(fleet, line) ||
                    run_upstream(fleet, line) || run_control(fleet, line),
                "%s:%d: unknown action", path, number);
        }
        json_object_put(line);
    }
    (void)fclose(file);
    scheduler_fleet_run_until(fleet,
                              network_get_now_us(fleet->network) + END_US);
    scheduler_fleet_check_final_state(fleet);
    ck_assert_msg(fleet->violations == 0, "%s: %s", path,
                  fleet->first_violation);
    scheduler_fleet_destroy(fleet);
}
END_TEST

static uint64_t
pick(struct scheduler_fleet *fleet, uint64_t limit)
{
    return network_get_random(fleet->network) % limit;
}

// Injects or repairs one fault.
static void
run_random_fault(struct scheduler_fleet *fleet)
{
    uint32_t entry = (uint32_t)pick(fleet, fleet->entries_count);
    uint32_t upstream = (uint32_t)pick(fleet, fleet->upstreams_count);
    struct scheduler_fleet_upstream *up = &fleet->upstreams[upstream];

    switch (pick(fleet, 7)) {
    case 0:
        scheduler_fleet_set_path_down(fleet, entry, upstream, true);
        break;
    case 1:
    case 2:
        scheduler_fleet_set_path_down(fleet, entry, upstream, false);
        break;
    case 3:
        up->lag_us = (int64_t)pick(fleet, 4) * 1000 * SCHEDULER_FLEET_MS_US +
                     SCHEDULER_FLEET_MS_US;
        break;
    case 4:
        fleet->entries[entry].control_path_down = pick(fleet, 2) == 0;
        break;
    case 5:
        if (upstream == fleet->primary) {
            scheduler_fleet_crash_upstream(fleet, upstream);
            scheduler_fleet_start_failover(fleet);
        }
        break;
    default:
        if (upstream != fleet->primary || up->down) {
            up->down = false;
            up->is_primary = false;
            up->is_following = true;
        }
    }
}

static void
run_random_session(struct scheduler_fleet *fleet, uint64_t session)
{
    uint32_t entry = (uint32_t)pick(fleet, fleet->entries_count);
    uint64_t choice = pick(fleet, 12);

    if (!fleet->sessions[session].open || choice == 0) {
        scheduler_fleet_open_session(fleet, session, entry,
                                     pick(fleet, 2) == 0
                                         ? SCHEDULER_FLEET_TOKEN_OWN
                                         : SCHEDULER_FLEET_TOKEN_NONE);
    }
    else if (choice < 6) {
        (void)scheduler_fleet_post_request(
            fleet, session, SCHEDULER_CLASS_READ,
            (int64_t)pick(fleet, 3) * 2000 * SCHEDULER_FLEET_MS_US,
            pick(fleet, 2) == 0);
    }
    else if (choice < 9) {
        (void)scheduler_fleet_post_request(fleet, session,
                                           SCHEDULER_CLASS_WRITE, -1, false);
    }
    else if (choice < 11) {
        (void)scheduler_fleet_post_request(fleet, session,
                                           SCHEDULER_CLASS_BEGIN, -1, false);
        (void)scheduler_fleet_post_request(
            fleet, session, SCHEDULER_CLASS_IN_TRANSACTION, -1, false);
        (void)scheduler_fleet_post_request(fleet, session,
                                           SCHEDULER_CLASS_COMMIT, -1, false);
    }
    else {
        (void)scheduler_fleet_post_request(fleet, session,
                                           SCHEDULER_CLASS_BEGIN, -1, false);
        (void)scheduler_fleet_post_request(
            fleet, session, SCHEDULER_CLASS_IN_TRANSACTION, -1, false);
        scheduler_fleet_close_session(fleet, session);
    }
}

// Guards against violated guarantees (as checked by the fleet during the run
// and at its end) under random requests and faults with fixed seeds.
START_TEST(test_random_faults)
{
    struct scheduler_fleet *fleet =
        scheduler_fleet_create((uint64_t)_i + 1, 3, 3, 9);
    unsigned done = 0;

    for (int step = 0; step < 1500; step++) {
        scheduler_fleet_run_until(fleet, network_get_now_us(fleet->network) +
                                             (int64_t)pick(fleet, 10) *
                                                 SCHEDULER_FLEET_MS_US);
        if (pick(fleet, 30) == 0) {
            run_random_fault(fleet);
        }
        run_random_session(fleet, 1 + pick(fleet, 12));
    }
    scheduler_fleet_run_until(fleet,
                              network_get_now_us(fleet->network) + END_US);
    scheduler_fleet_check_final_state(fleet);
    ck_assert_msg(fleet->violations == 0, "seed %d: %s", _i + 1,
                  fleet->first_violation);
    for (uint64_t id = 1; id <= fleet->requests_count; id++) {
        done += fleet->requests[id].outcome == SCHEDULER_FLEET_OUTCOME_DONE;
    }
    ck_assert_uint_gt(done, 100);
    scheduler_fleet_destroy(fleet);
}
END_TEST

// Guards against guarantees that hold only without learned capacity: the same
// random requests and faults, and upstreams that become slow and recover.
START_TEST(test_random_faults_learned)
{
    struct scheduler_fleet *fleet =
        scheduler_fleet_create_learned((uint64_t)_i + 1, 3, 3, 9);
    unsigned done = 0;

    for (int step = 0; step < 1500; step++) {
        scheduler_fleet_run_until(fleet, network_get_now_us(fleet->network) +
                                             (int64_t)pick(fleet, 10) *
                                                 SCHEDULER_FLEET_MS_US);
        if (pick(fleet, 30) == 0) {
            run_random_fault(fleet);
        }
        if (pick(fleet, 50) == 0) {
            fleet->upstreams[pick(fleet, 3)].service_us =
                (pick(fleet, 2) == 0 ? 2 : 30) * SCHEDULER_FLEET_MS_US;
        }
        run_random_session(fleet, 1 + pick(fleet, 12));
    }
    scheduler_fleet_run_until(fleet,
                              network_get_now_us(fleet->network) + END_US);
    scheduler_fleet_check_final_state(fleet);
    ck_assert_msg(fleet->violations == 0, "seed %d: %s", _i + 1,
                  fleet->first_violation);
    for (uint64_t id = 1; id <= fleet->requests_count; id++) {
        done += fleet->requests[id].outcome == SCHEDULER_FLEET_OUTCOME_DONE;
    }
    ck_assert_uint_gt(done, 100);
    scheduler_fleet_destroy(fleet);
}
END_TEST

static void
add_tests(TCase *tests)
{
    tcase_add_loop_test(tests, test_trace, 0, ARRAY_SIZE(traces));
    tcase_add_loop_test(tests, test_random_faults, 0, 40);
    tcase_add_loop_test(tests, test_random_faults_learned, 0, 40);
}

TEST_MAIN("replay_scheduler", add_tests)
