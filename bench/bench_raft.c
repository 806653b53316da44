#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "bench/bench.h"
#include "catkingrade/decide/raft/raft.h"
#include "catkingrade/kernel/buffer.h"
#include "catkingrade/kernel/memory.h"
#include "catkingrade/kernel/outcome.h"
#include "catkingrade/rpc/codec.h"

// CPU time and messages of Raft groups of three voters on a virtual clock,
// without disk and network: for each committed change, and while idle.

#define VOTERS_COUNT   3
#define HEARTBEAT_US   100000
#define ELECTION_US    500000
#define DELAY_US       1500
#define PAYLOAD_BYTES  250
#define CHANGES_COUNT  100000
#define IDLE_US        60000000
#define GROUPS_COUNT   15 // 14 failure domains and the fleet
#define PENDING_BYTES  (16 * 1024 * 1024)
#define MAX_BATCH_SIZE 256

// The voters of one group. Their messages arrive after a fixed delay of
// virtual time; nothing is written to disk.
struct bench_group {
    struct raft *rafts[VOTERS_COUNT];
    int64_t wake_times_us[VOTERS_COUNT];
    int64_t now_us;
    struct ck_raft_message *inbox;
    size_t inbox_count;
    size_t inbox_capacity;
    uint64_t applied; // entries, summed over all voters
    uint64_t messages;
    uint64_t message_bytes;
    int leader;
    int measured_voter; // voter whose CPU time is measured; -1: all voters
    double cpu_us;
    bool with_codec; // include XDR encoding and decoding in the CPU time
};

static double
bench_get_cpu_us(void)
{
    struct timespec now;

    (void)clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &now);
    return (double)now.tv_sec * 1e6 + (double)now.tv_nsec / 1e3;
}

static void
bench_group_send(struct bench_group *group,
                 const struct ck_raft_message *message)
{
    if (group->inbox_count == group->inbox_capacity) {
        group->inbox_capacity = group->inbox_capacity * 2 + 64;
        group->inbox = xrealloc(group->inbox,
                                group->inbox_capacity * sizeof(*group->inbox));
    }
    codec_copy((xdrproc_t)xdr_ck_raft_message, message,
               &group->inbox[group->inbox_count++], sizeof(*message));
    group->messages++;
    group->message_bytes +=
        xdr_sizeof((xdrproc_t)xdr_ck_raft_message, (void *)(uintptr_t)message);
}

// Encodes and decodes a message, as the network adapter does.
static void
bench_copy_message(const struct ck_raft_message *message)
{
    struct ck_raft_message copy;

    codec_copy((xdrproc_t)xdr_ck_raft_message, message, &copy, sizeof(copy));
    codec_free((xdrproc_t)xdr_ck_raft_message, &copy);
}

// Executes the actions that a step of one voter returned.
static void
bench_group_execute_actions(struct bench_group *group, int voter,
                            const struct raft_actions *actions)
{
    for (size_t i = 0; i < actions->count; i++) {
        const struct raft_action *action = &actions->items[i];
        if (action->kind == RAFT_ACTION_SEND) {
            bench_group_send(group, &action->message);
        }
        else if (action->kind == RAFT_ACTION_WAKE) {
            group->wake_times_us[voter] = action->wake_at_us;
        }
        else if (action->kind == RAFT_ACTION_APPLY) {
            group->applied++;
        }
        else if (action->kind == RAFT_ACTION_ROLE &&
                 action->role == RAFT_LEADER) {
            group->leader = voter;
        }
    }
}

static void
bench_group_step(struct bench_group *group, int voter,
                 const struct raft_event *event)
{
    struct raft_actions actions = {0};
    double begin_us = bench_get_cpu_us();

    if (group->with_codec && event->kind == RAFT_EVENT_MESSAGE) {
        bench_copy_message(event->message);
    }
    raft_step(group->rafts[voter], group->now_us, event, &actions);
    if (group->measured_voter < 0 || group->measured_voter == voter) {
        group->cpu_us += bench_get_cpu_us() - begin_us;
    }
    bench_group_execute_actions(group, voter, &actions);
    raft_actions_free(&actions);
}

static void
bench_group_create(struct bench_group *group, uint64_t seed)
{
    struct ck_voter voters[VOTERS_COUNT];
    const struct raft_saved saved = {0};
    struct raft_params params = {
        .group = "fleet",
        .heartbeat_us = HEARTBEAT_US,
        .election_us = ELECTION_US,
        .clock_drift_ppm = 10000,
        .seed = seed,
        .max_pending_entries = 100000,
        .max_pending_bytes = PENDING_BYTES,
        .max_in_flight_bytes = PENDING_BYTES,
        .snapshot_entries = UINT64_MAX,
        .snapshot_bytes = SIZE_MAX,
        .voters = voters,
        .voters_count = VOTERS_COUNT,
    };

    memset(group, 0, sizeof(*group));
    group->leader = -1;
    group->measured_voter = -1;
    for (int i = 0; i < VOTERS_COUNT; i++) {
        voters[i] =
            (struct ck_voter){(u_quad_t)i + 1, (char *)(uintptr_t) "vm",
                              (char *)(uintptr_t) "::1", 1, TRUE};
    }
    for (int i = 0; i < VOTERS_COUNT; i++) {
        params.self = (uint64_t)i + 1;
        group->rafts[i] = raft_create(&params, &saved, 0);
    }
}

static void
bench_group_destroy(struct bench_group *group)
{
    for (size_t i = 0; i < group->inbox_count; i++) {
        codec_free((xdrproc_t)xdr_ck_raft_message, &group->inbox[i]);
    }
    for (int i = 0; i < VOTERS_COUNT; i++) {
        raft_destroy(group->rafts[i]);
    }
    free(group->inbox);
}

// Advances the clock by the network delay and delivers the messages that were
// in flight before. Messages sent meanwhile stay for the next delivery.
static void
bench_group_deliver(struct bench_group *group)
{
    struct ck_raft_message *inbox = group->inbox;
    size_t count = group->inbox_count;

    group->inbox = NULL;
    group->inbox_count = 0;
    group->inbox_capacity = 0;
    group->now_us += DELAY_US;
    for (size_t i = 0; i < count; i++) {
        const struct raft_event event = {.kind = RAFT_EVENT_MESSAGE,
                                         .message = &inbox[i]};
        bench_group_step(group, (int)inbox[i].to - 1, &event);
        codec_free((xdrproc_t)xdr_ck_raft_message, &inbox[i]);
    }
    free(inbox);
}

// Runs a tick of each voter whose timer is due.
static void
bench_group_run_timers(struct bench_group *group)
{
    const struct raft_event tick = {.kind = RAFT_EVENT_TICK};

    for (int i = 0; i < VOTERS_COUNT; i++) {
        if (group->wake_times_us[i] <= group->now_us) {
            bench_group_step(group, i, &tick);
        }
    }
}

static void
bench_group_run_until(struct bench_group *group, int64_t until_us)
{
    while (group->now_us < until_us) {
        bench_group_run_timers(group);
        if (group->inbox_count > 0) {
            bench_group_deliver(group);
            continue;
        }
        int64_t next_us = until_us;
        for (int i = 0; i < VOTERS_COUNT; i++) {
            if (group->wake_times_us[i] < next_us) {
                next_us = group->wake_times_us[i];
            }
        }
        if (next_us > group->now_us) {
            group->now_us = next_us;
        }
    }
}

static void
bench_group_propose(struct bench_group *group, uint64_t token)
{
    static const char payload[PAYLOAD_BYTES];
    const struct raft_event event = {
        .kind = RAFT_EVENT_PROPOSE,
        .propose = {token, payload, sizeof(payload)}};

    bench_group_step(group, group->leader, &event);
}

// Measures the CPU time of all three voters for one change, from its proposal
// until each voter has applied it. batch is the number of changes proposed in
// one round trip.
static void
bench_measure_changes(uint64_t batch)
{
    struct bench_group group;
    char text[80];

    bench_group_create(&group, batch);
    bench_group_run_until(&group, 2 * ELECTION_US);
    group.cpu_us = 0;
    group.messages = 0;
    group.message_bytes = 0;
    uint64_t before = group.applied;
    for (uint64_t i = 0; i < CHANGES_COUNT; i += batch) {
        for (uint64_t j = 0; j < batch; j++) {
            bench_group_propose(&group, i + j + 1);
        }
        bench_group_run_until(&group, group.now_us + 3 * DELAY_US);
    }
    bench_group_run_until(&group, group.now_us + 2 * HEARTBEAT_US);
    double changes = (double)(group.applied - before) / VOTERS_COUNT;
    (void)snprintf(text, sizeof(text),
                   "3 voters' CPU time per change, batches of %lu", batch);
    bench_report(text, group.cpu_us / changes, "us");
    (void)snprintf(text, sizeof(text), "messages per change, batches of %lu",
                   batch);
    bench_report(text, (double)group.messages / changes, "");
    bench_group_destroy(&group);
}

// Measures the CPU time of one voter in idle groups, where the voter is either
// the leader or a follower in each group. Only heartbeats are exchanged.
static void
bench_measure_idle(bool is_leader)
{
    static struct bench_group groups[GROUPS_COUNT];
    double cpu_us = 0;
    double bytes = 0;
    char text[80];

    for (size_t i = 0; i < GROUPS_COUNT; i++) {
        struct bench_group *group = &groups[i];
        bench_group_create(group, i + 1);
        group->with_codec = true;
        bench_group_run_until(group, 4 * (int64_t)ELECTION_US);
        group->measured_voter =
            is_leader ? group->leader : (group->leader + 1) % VOTERS_COUNT;
        group->cpu_us = 0;
        group->message_bytes = 0;
    }
    for (size_t i = 0; i < GROUPS_COUNT; i++) {
        bench_group_run_until(&groups[i], groups[i].now_us + IDLE_US);
        cpu_us += groups[i].cpu_us;
        bytes += (double)groups[i].message_bytes;
        bench_group_destroy(&groups[i]);
    }
    const char *role = is_leader ? "leads" : "follows";
    (void)snprintf(text, sizeof(text),
                   "CPU time per idle group and second, voter %s", role);
    bench_report(text, cpu_us / GROUPS_COUNT / (IDLE_US / 1e6), "us");
    (void)snprintf(text, sizeof(text), "CPU load of %d idle groups, voter %s",
                   GROUPS_COUNT, role);
    bench_report(text, cpu_us / (IDLE_US / 1e6) / 1e4, "% of a core");
    bench_report("  XDR bytes per group and second, all voters",
                 bytes / GROUPS_COUNT / (IDLE_US / 1e6), "B/s");
}

static int
bench_raft_run(int argc, char **argv)
{
    (void)argc;
    (void)argv;
    bench_measure_changes(1);
    bench_measure_changes(16);
    bench_measure_changes(MAX_BATCH_SIZE);
    bench_measure_idle(true);
    bench_measure_idle(false);
    return OUTCOME_OK;
}

static const struct bench bench_raft = {
    .name = "raft",
    .help = "CPU cost of Raft steps, busy and idle, without disk and network",
    .run = bench_raft_run,
};

BENCH_REGISTER(bench_raft)
