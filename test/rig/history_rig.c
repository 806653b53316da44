#include "test/rig/history_rig.h"

#include <check.h>
#include <inttypes.h>
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>

#include "catkingrade/kernel/memory.h"
#include "test/rig/history_private.h"

#define HISTORY_LATENCY_MIN_US 2000
#define HISTORY_LATENCY_MAX_US 40000
#define HISTORY_RARE_PERCENT   3
#define HISTORY_RARE_MIN_US    100000
#define HISTORY_RARE_MAX_US    300000
#define HISTORY_SLOW_MIN_US    50000
#define HISTORY_SLOW_MAX_US    500000
// A database with a primary has an acknowledged commit within this time.
#define HISTORY_SERVED_US (1 * HISTORY_S)

// After the last disturbance the database gets a primary within the sum of
// these, each for its longest case:
// - a leader: the election and its retries;
// - the loss of the primary is noticed: its announcements count as missing,
//   and a repeated failover asks for more probes, each with its timeout;
// - the leases of the term end, of which one may just have been granted;
// - a promotion whose answer was lost before the last disturbance;
// - its order settles, and answers are collected;
// - one more promotion, whose answer isn't lost;
// - entries renew and commit.
#define HISTORY_BOUND_US                                                      \
    (4 * HISTORY_ELECTION_US + HISTORY_ANNOUNCE_EXPIRY_US +                   \
     4 * HISTORY_SUSPECT_US + 2 * HISTORY_LEASE_US + HISTORY_PROMOTE_US +     \
     2 * HISTORY_S + HISTORY_S + HISTORY_CALL_LATENCY_US +                    \
     HISTORY_EFFECT_MAX_US + 2 * HISTORY_RENEW_US)

const char *
history_get_fault_name(enum history_fault fault)
{
    static const char *const names[HISTORY_FAULTS_COUNT] = {
        "none", "former_primary", "shared_term", "no_primary", "given_up_log"};

    return names[fault];
}

static void
history_print(struct history_rig *rig, const char *format, va_list args)
{
    (void)fprintf(rig->day->trace, "%8.3f  ",
                  (double)(rig->now_us - HISTORY_START_US) / 1e6);
    (void)vfprintf(rig->day->trace, format, args);
    (void)fputc('\n', rig->day->trace);
}

// Adds a line to the time line.
void
history_trace(struct history_rig *rig, const char *format, ...)
{
    va_list args;

    if (rig->day->trace == NULL) {
        return;
    }
    va_start(args, format);
    history_print(rig, format, args);
    va_end(args);
}

// Ends the day with a fault, unless there is one already.
void
history_fail(struct history_rig *rig, enum history_fault fault,
             const char *format, ...)
{
    struct history_day *day = rig->day;
    va_list args;

    if (day->fault != HISTORY_FAULT_NONE ||
        day->judges_logs != (fault == HISTORY_FAULT_GIVEN_UP_LOG)) {
        return;
    }
    day->fault = fault;
    day->fault_us = rig->now_us - HISTORY_START_US;
    va_start(args, format);
    (void)vsnprintf(day->text, sizeof(day->text), format, args);
    va_end(args);
    rig->is_over = true;
    history_trace(rig, "FAULT %s: %s", history_get_fault_name(fault),
                  day->text);
}

int64_t
history_draw_us(struct history_rig *rig, int64_t least_us, int64_t most_us)
{
    return least_us +
           random_below(&rig->random, (uint32_t)(most_us - least_us) + 1);
}

bool
history_draw(struct history_rig *rig, unsigned percent)
{
    return random_below(&rig->random, 100) < percent;
}

// Draws the time that a message takes one way.
int64_t
history_draw_latency_us(struct history_rig *rig)
{
    if (rig->now_us < rig->slow_until_us) {
        return history_draw_us(rig, HISTORY_SLOW_MIN_US, HISTORY_SLOW_MAX_US);
    }
    if (history_draw(rig, HISTORY_RARE_PERCENT)) {
        return history_draw_us(rig, HISTORY_RARE_MIN_US, HISTORY_RARE_MAX_US);
    }
    return history_draw_us(rig, HISTORY_LATENCY_MIN_US,
                           HISTORY_LATENCY_MAX_US);
}

static void
history_enqueue(struct history_rig *rig, struct history_message *message)
{
    struct history_message **link = &rig->messages;

    while (*link != NULL && (*link)->due_us <= message->due_us) {
        link = &(*link)->next;
    }
    message->next = *link;
    *link = message;
}

// Adds an empty message that is received after a time. The caller fills it.
struct history_message *
history_send(struct history_rig *rig, enum history_message_kind kind,
             int64_t after_us)
{
    struct history_message *message = xcalloc(1, sizeof(*message));

    message->kind = kind;
    message->due_us = rig->now_us + after_us;
    history_enqueue(rig, message);
    return message;
}

struct history_message *
history_send_on(struct history_rig *rig, const struct history_message *message,
                enum history_message_kind kind, int64_t due_us)
{
    struct history_message *copy = xcalloc(1, sizeof(*copy));

    *copy = *message;
    memset(&copy->bytes, 0, sizeof(copy->bytes));
    copy->kind = kind;
    copy->due_us = due_us;
    history_enqueue(rig, copy);
    return copy;
}

static void
history_free_messages(struct history_message **list)
{
    while (*list != NULL) {
        struct history_message *message = *list;
        *list = message->next;
        buffer_free(&message->bytes);
        free(message);
    }
}

static void
history_receive(struct history_rig *rig, const struct history_message *message)
{
    switch (message->kind) {
    case HISTORY_MESSAGE_PROBE:
    case HISTORY_MESSAGE_PROBE_ANSWER:
    case HISTORY_MESSAGE_PROBE_FAILURE:
    case HISTORY_MESSAGE_FENCE:
    case HISTORY_MESSAGE_FENCE_ANSWER:
    case HISTORY_MESSAGE_FENCE_FAILURE:
    case HISTORY_MESSAGE_ORDER:
    case HISTORY_MESSAGE_EFFECT:
    case HISTORY_MESSAGE_POLL:
        history_upstream_receive(rig, message);
        break;
    case HISTORY_MESSAGE_RENEW_ANSWER:
    case HISTORY_MESSAGE_RENEW_FAILURE:
    case HISTORY_MESSAGE_NOTIFY:
        history_entry_receive(rig, message);
        break;
    default:
        history_voter_receive(rig, message);
        break;
    }
}

static void
history_run_messages(struct history_rig *rig)
{
    while (rig->messages != NULL && rig->messages->due_us <= rig->now_us &&
           !rig->is_over) {
        struct history_message *message = rig->messages;
        rig->messages = message->next;
        history_receive(rig, message);
        buffer_free(&message->bytes);
        free(message);
    }
}

// Lets the disturbances that wait for a trigger begin.
void
history_trigger(struct history_rig *rig, enum history_trigger trigger)
{
    rig->triggers[trigger]++;
    for (size_t i = 0; i < rig->day->events_count; i++) {
        struct history_event *event = &rig->events[i];
        if (event->trigger == trigger &&
            event->nth == rig->triggers[trigger]) {
            event->at_us = rig->now_us + event->delay_us;
        }
    }
}

// A database without a sync replica must have a primary a bounded time after
// the last disturbance.
static void
history_judge_end(struct history_rig *rig)
{
    if (rig->confirm == 0 &&
        rig->now_us - rig->acknowledged_us > HISTORY_SERVED_US) {
        history_fail(rig, HISTORY_FAULT_NO_PRIMARY,
                     "no commit since %.3f; published u%d, promoted u%d",
                     (double)(rig->acknowledged_us - HISTORY_START_US) / 1e6,
                     history_get_published(rig), rig->platform.primary);
    }
}

static void
history_advance(struct history_rig *rig)
{
    rig->now_us += HISTORY_STEP_US;
    history_plan_run(rig);
    history_run_messages(rig);
    history_voters_run(rig);
    history_upstreams_run(rig);
    history_entries_run(rig);
}

static void
history_start(struct history_rig *rig, struct history_day *day)
{
    memset(rig, 0, sizeof(*rig));
    rig->day = day;
    rig->random = day->seed * UINT64_C(0x9e3779b97f4a7c15) + 1;
    rig->now_us = HISTORY_START_US;
    rig->acknowledged_us = HISTORY_START_US;
    day->fault = HISTORY_FAULT_NONE;
    day->commits_count = 0;
    day->promotions_count = 0;
    day->leaders_count = 0;
    history_plan_draw(rig);
    history_upstreams_start(rig);
    history_voters_start(rig);
    history_entries_start(rig);
}

static void
history_finish(struct history_rig *rig)
{
    history_free_messages(&rig->messages);
    history_free_messages(&rig->stranded);
    history_entries_stop(rig);
    history_voters_stop(rig);
}

void
history_play(struct history_day *day)
{
    struct history_rig *rig = xcalloc(1, sizeof(*rig));
    int64_t disturbed_us = HISTORY_START_US + HISTORY_DISTURBED_US;

    history_start(rig, day);
    while (!rig->is_over && rig->now_us < disturbed_us) {
        history_advance(rig);
    }
    if (!rig->is_over) {
        history_plan_end(rig);
    }
    while (!rig->is_over && rig->now_us < disturbed_us + HISTORY_BOUND_US) {
        history_advance(rig);
    }
    history_judge_end(rig);
    history_finish(rig);
    free(rig);
}

size_t
history_shrink(struct history_day *day)
{
    enum history_fault fault = day->fault;
    FILE *trace = day->trace;
    size_t left = 0;

    day->trace = NULL;
    for (size_t i = 0; i < day->events_count; i++) {
        struct history_day trial = *day;
        trial.dropped |= UINT32_C(1) << i;
        history_play(&trial);
        if (trial.fault == fault) {
            *day = trial;
        }
    }
    for (size_t i = 0; i < day->events_count; i++) {
        left += (day->dropped >> i & 1) == 0 ? 1 : 0;
    }
    day->trace = trace;
    return left;
}
