#include <apr_general.h>
#include <check.h>
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "catkingrade/decide/group/group.h"
#include "catkingrade/kernel/memory.h"
#include "catkingrade/kernel/outcome.h"
#include "catkingrade/rpc/rpcnet.h"
#include "test/fake/process.h"
#include "test/suite.h"

// The verbs of the command line tool against a simulated control group. The
// tool runs as a child process.

#define MAX_HELD_REQUESTS 64

#define TEMPLATE                                                              \
    "{\"template\": \"small\", \"parameters\": {\"max_age_ms\": {\"type\": "  \
    "\"duration_ms\", \"min\": 0, \"max\": 60000, \"default\": %d}}, "        \
    "\"customer\": {\"databases\": [{\"name\": \"db\", \"group\": "           \
    "\"fleet\"}], \"max_age_ms\": \"${max_age_ms}\", \"request_types\": "     \
    "[{\"name\": \"other\", \"weight\": 1, \"deadline_ms\": 3000, "           \
    "\"queue_limit\": 200, \"repeatable\": false}]}}"
#define CUSTOMER "{\"customer\": \"walkers\", \"template\": \"small\"}"

// The leader and one follower of a simulated fleet group, on a thread of their
// own. The follower replies NOT_LEADER with the address of the leader.
struct fake_control {
    struct loop *loop;
    pthread_t thread;
    struct rpcnet *leader;
    struct rpcnet *follower;
    struct settings_address leader_address;
    struct settings_address follower_address;
    struct group_state *group;
    uint64_t index;
    int applied;         // changes applied by the group
    int replies_to_drop; // number of next changes without a reply
    int queries_to_hold; // held until so many have arrived; 0: not held
    struct rpcnet_request *held_requests[MAX_HELD_REQUESTS];
    struct ck_query_args held_args[MAX_HELD_REQUESTS];
    int held_count;
    struct rpcnet_request *dropped_requests[MAX_HELD_REQUESTS];
    int dropped_count;
    int draining_queries; // queries received while the customer is draining
};

static void
handle_apply_as_follower(void *data, struct rpcnet_request *request,
                         const void *args)
{
    struct fake_control *control = data;
    struct ck_apply_result reply = {
        .outcome = OUTCOME_NOT_LEADER,
        .leader_host = control->leader_address.host,
        .leader_port = control->leader_address.port,
        .message = ""};

    (void)args;
    rpcnet_reply(request, &reply);
}

static void
handle_query_as_follower(void *data, struct rpcnet_request *request,
                         const void *args)
{
    struct fake_control *control = data;
    struct ck_query_result reply = {
        .outcome = OUTCOME_NOT_LEADER,
        .json = "[]",
        .leader_host = control->leader_address.host,
        .leader_port = control->leader_address.port,
        .message = ""};

    (void)args;
    rpcnet_reply(request, &reply);
}

static void
handle_apply(void *data, struct rpcnet_request *request, const void *args)
{
    struct fake_control *control = data;
    const struct ck_apply_args *apply = args;
    struct group_result result = {0};
    struct buffer effect = {0};
    struct ck_apply_result reply = {.leader_host = ""};

    group_check(control->group, apply, &result, &effect);
    if (result.outcome == OUTCOME_OK && !apply->dry_run) {
        struct ck_log_payload payload = {
            .change_id = apply->change_id,
            .expected_revision = apply->expected_revision,
            .check_revision = apply->check_revision,
            .change = apply->change};
        group_apply_payload(control->group, ++control->index, &payload,
                            &result);
        control->applied += result.replayed ? 0 : 1;
        if (control->replies_to_drop > 0 &&
            control->dropped_count < MAX_HELD_REQUESTS) {
            control->replies_to_drop--;
            control->dropped_requests[control->dropped_count++] = request;
            buffer_free(&effect);
            return;
        }
    }
    buffer_append_u8(&effect, 0);
    reply.outcome = result.outcome;
    reply.revision = result.revision;
    reply.replayed = result.replayed;
    reply.message = buffer_get_size(&effect) > 1
                        ? (char *)(uintptr_t)buffer_get_data(&effect)
                        : result.message;
    rpcnet_reply(request, &reply);
    buffer_free(&effect);
}

static void
reply_query(struct fake_control *control, struct rpcnet_request *request,
            const struct ck_query_args *args)
{
    struct ck_query_result reply = {.leader_host = "", .message = ""};
    struct buffer json = {0};

    reply.outcome = group_query(control->group, args->kind, args->name,
                                args->cursor, &json, &reply.next_cursor);
    buffer_append_u8(&json, 0);
    reply.json = (char *)(uintptr_t)buffer_get_data(&json);
    rpcnet_reply(request, &reply);
    buffer_free(&json);
}

static void
reply_timeline(struct rpcnet_request *request, uint64_t cursor)
{
    static char first[] =
        "[{\"vm\":\"noord-1\",\"sequence\":4,\"hlc\":131072,"
        "\"kind\":\"promoted\",\"customer\":\"walkers\",\"upstream\":\"u1\","
        "\"session\":7,\"text\":\"<term>=2\"}]";
    static char second[] =
        "[{\"vm\":\"noord-1\",\"sequence\":5,\"hlc\":65536,"
        "\"kind\":\"started\",\"customer\":\"\",\"upstream\":\"\","
        "\"session\":0,\"text\":\"\\u001b[2J\\nforged line\"}]";
    struct ck_query_result reply = {.leader_host = "", .message = ""};

    reply.json = cursor == 0 ? first : second;
    reply.next_cursor = cursor == 0 ? 4 : 0;
    rpcnet_reply(request, &reply);
}

// Closes a draining customer at the second query.
static void
advance_drain(struct fake_control *control)
{
    const struct ck_customer *customer =
        group_find_customer(control->group, "walkers");
    struct ck_log_payload payload = {.change_id = ""};
    struct group_result result;

    if (customer == NULL || customer->state != CK_CUSTOMER_DRAINING ||
        ++control->draining_queries < 2) {
        return;
    }
    payload.change.kind = CK_CHANGE_CUSTOMER_STATE;
    payload.change.ck_change_u.customer_state.customer = "walkers";
    payload.change.ck_change_u.customer_state.state = CK_CUSTOMER_CLOSED;
    payload.change.ck_change_u.customer_state.report = "";
    group_apply_payload(control->group, ++control->index, &payload, &result);
}

static void
handle_query(void *data, struct rpcnet_request *request, const void *args)
{
    struct fake_control *control = data;
    const struct ck_query_args *query = args;

    if (query->kind == CK_QUERY_TIMELINE) {
        reply_timeline(request, query->cursor);
        return;
    }
    if (control->queries_to_hold == 0) {
        reply_query(control, request, query);
        advance_drain(control);
        return;
    }
    struct ck_query_args *held_args = &control->held_args[control->held_count];
    *held_args = *query;
    held_args->group = xstrdup(query->group);
    held_args->name = xstrdup(query->name);
    control->held_requests[control->held_count++] = request;
    if (control->held_count < control->queries_to_hold) {
        return;
    }
    for (int i = 0; i < control->held_count; i++) {
        reply_query(control, control->held_requests[i],
                    &control->held_args[i]);
        free(control->held_args[i].group);
        free(control->held_args[i].name);
    }
    control->held_count = 0;
    control->queries_to_hold = 0;
}

static void
fill_address(struct settings_address *address)
{
    (void)snprintf(address->host, sizeof(address->host), "127.0.0.1");
    address->port = (uint16_t)process_get_free_port();
}

static void *
run_loop(void *data)
{
    struct fake_control *control = data;

    loop_run(control->loop);
    return NULL;
}

static void
control_start(struct fake_control *control)
{
    static const struct datagram_key no_key;

    memset(control, 0, sizeof(*control));
    apr_initialize();
    control->loop = loop_create();
    control->group = group_create("fleet");
    fill_address(&control->leader_address);
    fill_address(&control->follower_address);
    control->leader =
        rpcnet_create(control->loop, &control->leader_address, &no_key);
    control->follower =
        rpcnet_create(control->loop, &control->follower_address, &no_key);
    ck_assert_ptr_nonnull(control->leader);
    ck_assert_ptr_nonnull(control->follower);
    rpcnet_set_handler(control->leader, &rpcnet_apply, handle_apply, control);
    rpcnet_set_handler(control->leader, &rpcnet_query, handle_query, control);
    rpcnet_set_handler(control->follower, &rpcnet_apply,
                       handle_apply_as_follower, control);
    rpcnet_set_handler(control->follower, &rpcnet_query,
                       handle_query_as_follower, control);
    ck_assert_int_eq(pthread_create(&control->thread, NULL, run_loop, control),
                     0);
}

static void
control_stop(struct fake_control *control)
{
    struct ck_apply_result reply = {.leader_host = "", .message = ""};

    loop_stop(control->loop);
    pthread_join(control->thread, NULL);
    for (int i = 0; i < control->dropped_count; i++) {
        rpcnet_reply(control->dropped_requests[i], &reply);
    }
    rpcnet_destroy(control->leader);
    rpcnet_destroy(control->follower);
    group_destroy(control->group);
    loop_destroy(control->loop);
}

// Starts the tool against the follower. Its output goes to FOLDER/NAME.log.
static struct process *
start_command(const struct fake_control *control, const char *folder,
              const char *name, const char *timeout_ms,
              const char *const *args)
{
    char address[80];
    char *log_path = xasprintf("%s/%s.log", folder, name);
    const char *all[16] = {"--connect", address, "--timeout", timeout_ms};

    (void)snprintf(address, sizeof(address), "127.0.0.1:%u",
                   control->follower_address.port);
    for (size_t i = 0; args[i] != NULL; i++) {
        all[4 + i] = args[i];
    }
    struct process *process = process_start(log_path, "catkingrade", all);
    free(log_path);
    return process;
}

// Runs the tool and returns its exit code. text is set to its output, which
// the caller frees, unless it is NULL.
static int
run_command(const struct fake_control *control, const char *folder,
            const char *timeout_ms, const char *const *args, char **text)
{
    static int runs;
    char name[32];

    (void)snprintf(name, sizeof(name), "run-%d", runs++);
    int code =
        process_wait(start_command(control, folder, name, timeout_ms, args));
    char *path = xasprintf("%s/%s.log", folder, name);
    char *output = process_read_file(path);
    free(path);
    if (text != NULL) {
        *text = output;
    }
    else {
        free(output);
    }
    return code;
}

// Writes the manifests of a template and a customer into FOLDER/NAME. Returns
// the path, which the caller frees.
static char *
write_manifests(const char *folder, const char *name, int max_age_ms)
{
    char *dir = xasprintf("%s/%s", folder, name);
    char *command = xasprintf("mkdir -p '%s'", dir);
    char *template_path = xasprintf("%s/small.template.json", dir);
    char *customer_path = xasprintf("%s/walkers.customer.json", dir);
    char *template_text = xasprintf(TEMPLATE, max_age_ms);

    ck_assert_int_eq(system(command), 0);
    process_write_file(template_path, template_text);
    process_write_file(customer_path, CUSTOMER);
    free(command);
    free(template_path);
    free(customer_path);
    free(template_text);
    return dir;
}

static void
check_contains(const char *text, const char *part)
{
    ck_assert_msg(strstr(text, part) != NULL, "no \"%s\" in: %s", part, text);
}

// Guards against a plan that changes something, and against a repeated apply
// that sends unchanged manifests again.
START_TEST(test_plan_and_apply)
{
    struct fake_control control;
    char *text = NULL;

    control_start(&control);
    char *folder = process_make_folder("cli_apply");
    char *dir = write_manifests(folder, "a", 1000);
    const char *plan[] = {"plan", "-f", dir, NULL};
    const char *apply[] = {"apply", "-f", dir, NULL};

    ck_assert_int_eq(run_command(&control, folder, "5000", plan, &text), 2);
    check_contains(text, "template small: would be created");
    check_contains(text, "customer walkers: would be created");
    free(text);
    ck_assert_int_eq(control.applied, 0);
    ck_assert_int_eq(run_command(&control, folder, "5000", apply, &text), 0);
    check_contains(text, "customer walkers: accepted");
    free(text);
    ck_assert_int_eq(control.applied, 2);
    ck_assert_int_eq(run_command(&control, folder, "5000", apply, &text), 0);
    check_contains(text, "customer walkers: unchanged");
    free(text);
    ck_assert_int_eq(run_command(&control, folder, "5000", plan, NULL), 0);
    ck_assert_int_eq(control.applied, 2);
    free(write_manifests(folder, "a", 1500));
    ck_assert_int_eq(run_command(&control, folder, "5000", plan, &text), 2);
    check_contains(text, "template small: would change");
    check_contains(text, "1500");
    free(text);
    free(dir);
    free(folder);
    control_stop(&control);
}
END_TEST

// Guards against a change that is applied twice: its first reply is lost, and
// the tool sends the change again with the same change id.
START_TEST(test_lost_reply_is_resent)
{
    struct fake_control control;
    char *text = NULL;

    control_start(&control);
    char *folder = process_make_folder("cli_lost");
    char *dir = write_manifests(folder, "a", 1000);
    const char *apply[] = {"apply", "-f", dir, NULL};

    control.replies_to_drop = 1;
    ck_assert_int_eq(run_command(&control, folder, "20000", apply, &text), 0);
    check_contains(text, "template small: accepted before");
    free(text);
    ck_assert_int_eq(control.applied, 2);
    free(dir);
    free(folder);
    control_stop(&control);
}
END_TEST

// Guards against a change that is reported as failed although it was applied:
// all replies are lost, so the outcome must be "unknown". A repeated command
// must find the change applied.
START_TEST(test_unknown_outcome)
{
    struct fake_control control;
    char *text = NULL;

    control_start(&control);
    char *folder = process_make_folder("cli_unknown");
    char *dir = write_manifests(folder, "a", 1000);
    const char *apply[] = {"apply", "-f", dir, NULL};

    control.replies_to_drop = MAX_HELD_REQUESTS;
    ck_assert_int_eq(run_command(&control, folder, "1500", apply, &text), 4);
    check_contains(text, "unknown");
    free(text);
    ck_assert_int_eq(control.applied, 1);
    control.replies_to_drop = 0;
    ck_assert_int_eq(run_command(&control, folder, "5000", apply, &text), 0);
    check_contains(text, "template small: unchanged");
    free(text);
    ck_assert_int_eq(control.applied, 2);
    free(dir);
    free(folder);
    control_stop(&control);
}
END_TEST

// Guards against a lost update: two operators read the same revision and apply
// different templates. One must succeed, the other must get a conflict.
START_TEST(test_concurrent_apply_conflicts)
{
    struct fake_control control;
    int codes[2];
    struct process *processes[2];

    control_start(&control);
    char *folder = process_make_folder("cli_race");
    for (int i = 0; i < 2; i++) {
        char name[16];
        (void)snprintf(name, sizeof(name), "operator-%d", i);
        free(write_manifests(folder, name, 1000 + i));
    }
    control.queries_to_hold = 2;
    for (int i = 0; i < 2; i++) {
        char *dir = xasprintf("%s/operator-%d", folder, i);
        char name[16];
        (void)snprintf(name, sizeof(name), "race-%d", i);
        const char *apply[] = {"apply", "-f", dir, NULL};
        processes[i] = start_command(&control, folder, name, "20000", apply);
        free(dir);
    }
    for (int i = 0; i < 2; i++) {
        codes[i] = process_wait(processes[i]);
    }
    ck_assert_int_eq(codes[0] + codes[1], 3);
    ck_assert(codes[0] == 0 || codes[1] == 0);
    char *path = xasprintf("%s/race-%d.log", folder, codes[0] == 0 ? 1 : 0);
    char *text = process_read_file(path);
    check_contains(text, "refused (conflict)");
    free(text);
    free(path);
    free(folder);
    control_stop(&control);
}
END_TEST

// Guards against an apply without effect: a deleted template is applied again,
// and its first change id is one that the group has already recorded.
START_TEST(test_apply_after_delete)
{
    struct fake_control control;
    char *text = NULL;

    control_start(&control);
    char *folder = process_make_folder("cli_again");
    char *dir = write_manifests(folder, "a", 1000);
    char *customer = xasprintf("%s/walkers.customer.json", dir);
    ck_assert_int_eq(remove(customer), 0);
    const char *apply[] = {"apply", "-f", dir, NULL};
    const char *delete[] = {"template", "delete", "small", NULL};
    const char *show[] = {"template", "show", "small", NULL};

    for (int i = 0; i < 3; i++) {
        ck_assert_int_eq(run_command(&control, folder, "5000", apply, NULL),
                         0);
        ck_assert_int_eq(run_command(&control, folder, "5000", show, &text),
                         0);
        check_contains(text, "\"template\": \"small\"");
        free(text);
        ck_assert_int_eq(run_command(&control, folder, "5000", delete, NULL),
                         0);
        ck_assert_int_eq(run_command(&control, folder, "5000", show, NULL), 1);
    }
    free(customer);
    free(dir);
    free(folder);
    control_stop(&control);
}
END_TEST

// Guards against a shutdown with --wait that returns before the customer is
// closed.
START_TEST(test_customer_shutdown)
{
    struct fake_control control;
    char *text = NULL;

    control_start(&control);
    char *folder = process_make_folder("cli_shutdown");
    char *dir = write_manifests(folder, "a", 1000);
    const char *apply[] = {"apply", "-f", dir, NULL};
    const char *list[] = {"customer", "list", NULL};
    const char *shutdown[] = {"customer", "shutdown", "walkers", "--wait",
                              NULL};
    const char *nobody[] = {"customer", "shutdown", "nobody", NULL};

    ck_assert_int_eq(run_command(&control, folder, "5000", apply, NULL), 0);
    ck_assert_int_eq(run_command(&control, folder, "5000", nobody, NULL), 1);
    ck_assert_int_eq(run_command(&control, folder, "5000", shutdown, &text),
                     0);
    check_contains(text, "customer walkers: draining\n");
    check_contains(text, "customer walkers: closed\n");
    free(text);
    ck_assert_int_eq(run_command(&control, folder, "5000", list, &text), 0);
    check_contains(text, "closed");
    free(text);
    free(dir);
    free(folder);
    control_stop(&control);
}
END_TEST

// Guards against a timeline in the wrong order, without the gap of overwritten
// events, or without the daemons that did not reply, and against HTML output
// with unescaped text.
START_TEST(test_timeline)
{
    struct fake_control control;
    char *text = NULL;
    char address[80];

    control_start(&control);
    char *folder = process_make_folder("cli_timeline");
    (void)snprintf(address, sizeof(address), "127.0.0.1:%u",
                   control.leader_address.port);
    const char *args[] = {"--connect", address, "timeline", NULL};
    const char *html[] = {"--connect", address, "timeline", "--html", NULL};
    const char *filter[] = {"--connect", address, "timeline",
                            "--session", "7",     NULL};

    // The follower refuses this query, so it is listed as not reachable.
    ck_assert_int_eq(run_command(&control, folder, "1000", args, &text), 0);
    check_contains(text, "# not reachable:");
    const char *started = strstr(text, "started");
    const char *gap = strstr(text, "events=3 overwritten");
    const char *promoted = strstr(text, "promoted");
    ck_assert(started != NULL && gap != NULL && promoted != NULL);
    ck_assert(started < gap && gap < promoted);
    check_contains(text, "\\x1b[2J forged line\n");
    free(text);
    ck_assert_int_eq(run_command(&control, folder, "1000", filter, &text), 0);
    ck_assert_ptr_null(strstr(text, "started"));
    check_contains(text, "1970-01-01T00:00:00.002Z");
    free(text);
    ck_assert_int_eq(run_command(&control, folder, "1000", html, &text), 0);
    check_contains(text, "<svg");
    check_contains(text, "&lt;term&gt;=2");
    free(text);
    free(folder);
    control_stop(&control);
}
END_TEST

struct usage_case {
    const char *args[5];
    int code;
    const char *message;
};

static const struct usage_case usage_cases[] = {
    {{"frob"}, 64, "available: plan apply"},
    {{"apply"}, 64, "-f DIR is missing"},
    {{"apply", "-f", "/no/such/folder"}, 1, "can't be opened as a folder"},
    {{"customer", "close", "walkers"}, 64, "expected list, show NAME"},
    {{"switchover", "db"}, 64, "expected DATABASE UPSTREAM"},
    {{"switchover", "nodb", "u1"}, 1, "there is no database \"nodb\""},
    {{"--timeout", "0", "status"}, 64, "--timeout must be 1"},
    {{"--connect", "host:1", "status"}, 64, "is not an IP number"},
    {{"--key-file", "/no/such/key", "status"}, 1, "cannot be read"},
    {{"timeline", "--last", "soon"}, 64, "not a whole number above 0"},
    {{"check", "/no/such/settings"}, 1, "/no/such/settings"},
    {{"explain", "a1"}, 64, "needs an id and a log file"},
    {{"explain", "a1", "/no/such/log"}, 1, "/no/such/log: No such file"},
    {{"version"}, 0, "catkingrade "},
};

// Exit codes and messages of single commands, most with invalid arguments.
START_TEST(test_usage)
{
    const struct usage_case *row = &usage_cases[_i];
    struct fake_control control;
    char *text = NULL;

    control_start(&control);
    char *folder = process_make_folder("cli_usage");
    ck_assert_int_eq(run_command(&control, folder, "1000", row->args, &text),
                     row->code);
    check_contains(text, row->message);
    free(text);
    free(folder);
    control_stop(&control);
}
END_TEST

// Log lines of three VMs: a save with an unknown outcome (a1), a request that
// was refused because no slot was free (b2), a read that was refused because
// no upstream was fresh enough (c3), and context events. One line has the
// prefix of a log collector; two are no valid JSON.
static const char explain_logs[] =
    "{\"time\":\"2026-03-01T06:31:04.900Z\",\"vm\":\"v2\",\"event\":"
    "\"promoting\",\"group\":\"walks\",\"upstream\":\"u2\"}\n"
    "-9.1 v1 {\"time\":\"2026-03-01T06:31:04.100Z\",\"vm\":\"v1\","
    "\"event\":\"request_sent\",\"id\":\"a1\",\"database\":\"walks\","
    "\"class\":\"save\",\"upstream\":\"u1\",\"reason\":\"may write\"}\n"
    "{\"time\":\"2026-03-01T06:31:04.800Z\",\"vm\":\"v1\",\"event\":"
    "\"request_unknown\",\"id\":\"a1\",\"upstream\":\"u1\",\"reason\":"
    "\"the connection was lost\",\"waited_ms\":\"700\",\"term\":\"4\","
    "\"lease_left_ms\":\"120\"}\n"
    "{\"time\":\"2026-03-01T06:31:04.500Z\",\"vm\":\"v1\",\"event\":"
    "\"primary_lost\",\"upstream\":\"u1\"}\n"
    "{\"time\":\"2026-03-01T06:20:00.000Z\",\"vm\":\"v1\",\"event\":"
    "\"lease_held\",\"group\":\"long ago\"}\n"
    "{\"time\":\"2026-03-01T06:31:04.9\n"
    "no line of ours\n"
    "{\"time\":\"2026-03-01T06:32:00.000Z\",\"vm\":\"v3\",\"event\":"
    "\"request_refused\",\"id\":\"b2\",\"reason\":\"no slot was free in "
    "time\",\"waited_ms\":\"150\",\"term\":\"4\",\"lease_left_ms\":"
    "\"2000\",\"retry_after_ms\":\"300\"}\n"
    "{\"time\":\"2026-03-01T06:33:00.000Z\",\"vm\":\"v3\",\"event\":"
    "\"request_refused\",\"id\":\"c3\",\"reason\":\"no upstream is fresh "
    "enough\",\"waited_ms\":\"1\",\"term\":\"4\",\"lease_left_ms\":"
    "\"2000\",\"retry_after_ms\":\"80\"}\n";

struct explain_case {
    const char *id;
    int code;
    const char *parts[3];
    const char *absent;
};

static const struct explain_case explain_cases[] = {
    {"a1",
     0,
     {"save of database walks sent to upstream u1: may write",
      "primary_lost upstream=u1",
      "unknown outcome at upstream u1: the connection was lost (after 700 ms, "
      "term 4, 120 ms left of the lease)"},
     "long ago"},
    {"b2",
     0,
     {"refused, not run: no slot was free in time (waited 150 ms", "300 ms",
      "v3"},
     "primary_lost"},
    {"c3",
     0,
     {"refused, not run: no upstream is fresh enough", "80 ms", "v3"},
     "no slot"},
    {"d4", 1, {"no line has the id d4", "", ""}, "u1"},
};

// Guards against lines of the request or near context events that are left
// out, and against unrelated lines in the output.
START_TEST(test_explain)
{
    const struct explain_case *row = &explain_cases[_i];
    struct fake_control control;
    char *text = NULL;

    control_start(&control);
    char *folder = process_make_folder("cli_explain");
    char *path = xasprintf("%s/vms.log", folder);
    process_write_file(path, explain_logs);
    const char *args[] = {"explain", row->id, path, NULL};
    ck_assert_int_eq(run_command(&control, folder, "1000", args, &text),
                     row->code);
    for (size_t i = 0; i < ARRAY_SIZE(row->parts); i++) {
        check_contains(text, row->parts[i]);
    }
    ck_assert_ptr_null(strstr(text, row->absent));
    free(text);
    free(path);
    free(folder);
    control_stop(&control);
}
END_TEST

// Guards against a log line whose texts begin another line of the output or
// hide it, against a long line that is read as two, and against an id that is
// logged in another form.
START_TEST(test_explain_of_odd_texts)
{
    struct fake_control control;
    char *text = NULL;
    char padding[9001];

    memset(padding, 'x', sizeof(padding) - 1);
    padding[sizeof(padding) - 1] = '\0';
    control_start(&control);
    char *folder = process_make_folder("cli_explain_odd");
    char *path = xasprintf("%s/vms.log", folder);
    char *log = xasprintf(
        "{\"time\":\"2026-03-01T06:31:04.900Z\",\"vm\":null,\"id\":"
        "\"a b\\\\x3d1\",\"event\":\"request_sent_again\",\"upstream\":"
        "\"\\u001b[2J\\nforged\"}\n"
        "{\"time\":\"2026-03-01T06:31:04.900Z\",\"text\":\"%s{'time':"
        "'2026-03-01T06:31:04.900Z','id':'a b\\\\x3d1','event':'inner'}\"}\n",
        padding);
    process_write_file(path, log);
    const char *args[] = {"explain", "a b=1", path, NULL};
    ck_assert_int_eq(run_command(&control, folder, "1000", args, &text), 0);
    check_contains(text, "to upstream \\x1b[2J forged: \n");
    ck_assert_ptr_null(strstr(text, "inner"));
    free(text);
    free(log);
    free(path);
    free(folder);
    control_stop(&control);
}
END_TEST

// Guards against output in the order of the log files: lines must be sorted by
// time.
START_TEST(test_explain_order)
{
    struct fake_control control;
    char *text = NULL;

    control_start(&control);
    char *folder = process_make_folder("cli_explain_order");
    char *path = xasprintf("%s/vms.log", folder);
    process_write_file(path, explain_logs);
    const char *args[] = {"explain", "a1", path, NULL};
    ck_assert_int_eq(run_command(&control, folder, "1000", args, &text), 0);
    const char *sent = strstr(text, "sent to upstream");
    const char *primary_lost = strstr(text, "primary_lost");
    const char *unknown = strstr(text, "unknown outcome");
    ck_assert(sent != NULL && primary_lost != NULL && unknown != NULL);
    ck_assert(sent < primary_lost && primary_lost < unknown);
    free(text);
    free(path);
    free(folder);
    control_stop(&control);
}
END_TEST

static void
add_tests(TCase *tests)
{
    tcase_add_test(tests, test_plan_and_apply);
    tcase_add_test(tests, test_lost_reply_is_resent);
    tcase_add_test(tests, test_unknown_outcome);
    tcase_add_test(tests, test_concurrent_apply_conflicts);
    tcase_add_test(tests, test_apply_after_delete);
    tcase_add_test(tests, test_customer_shutdown);
    tcase_add_test(tests, test_timeline);
    tcase_add_loop_test(tests, test_explain, 0, ARRAY_SIZE(explain_cases));
    tcase_add_test(tests, test_explain_order);
    tcase_add_test(tests, test_explain_of_odd_texts);
    tcase_add_loop_test(tests, test_usage, 0, ARRAY_SIZE(usage_cases));
}

TEST_MAIN("cli", add_tests)
