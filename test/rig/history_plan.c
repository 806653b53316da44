// Disturbances of a played day, drawn from its seed before it begins.

#include <string.h>

#include "test/rig/history_private.h"

#define HISTORY_LEAST_EVENTS 6
#define HISTORY_PLAN_US      (25 * HISTORY_S)
#define HISTORY_FIRST_US     (12 * HISTORY_S)
#define HISTORY_SOON_US      (400 * HISTORY_MS)
#define HISTORY_DELAY_US     (1500 * HISTORY_MS)
#define HISTORY_SHORT_US     (200 * HISTORY_MS)
#define HISTORY_LONG_US      (10 * HISTORY_S)
// A leaving upstream is back before the last disturbance.
#define HISTORY_LEAVE_LIMIT_US                                                \
    (HISTORY_DISTURBED_US - HISTORY_SWITCHOVER_US - HISTORY_LEAVE_EXTRA_US -  \
     5 * HISTORY_S)

static const char *const kind_names[HISTORY_EVENT_KINDS_COUNT] = {
    "silence",    "crash",        "entry_cut",  "entry_primary_cut",
    "restart",    "leader_kill",  "leader_cut", "leader_resign",
    "order_fate", "leave",        "lag",        "notify_loss",
    "slow_calls", "platform_down"};

// Shares of the kinds of disturbances.
static const unsigned kind_weights[HISTORY_EVENT_KINDS_COUNT] = {
    32, 12, 6, 4, 3, 10, 9, 6, 7, 5, 3, 4, 3, 1};

static const char *const fate_names[HISTORY_ORDER_FATES_COUNT] = {
    "normal", "refused", "late", "lost", "answer_lost"};

static enum history_event_kind
history_draw_kind(struct history_rig *rig)
{
    unsigned total = 0;
    int kind = 0;

    for (int i = 0; i < HISTORY_EVENT_KINDS_COUNT; i++) {
        total += kind_weights[i];
    }
    unsigned drawn = random_below(&rig->random, total);
    while (drawn >= kind_weights[kind]) {
        drawn -= kind_weights[kind];
        kind++;
    }
    return (enum history_event_kind)kind;
}

static void
history_draw_event(struct history_rig *rig, struct history_event *event)
{
    event->kind = history_draw_kind(rig);
    event->trigger =
        history_draw(rig, 50)
            ? HISTORY_TRIGGER_TIME
            : (enum history_trigger)history_draw_us(
                  rig, HISTORY_TRIGGER_ELECTED, HISTORY_TRIGGERS_COUNT - 1);
    event->nth = 1 + random_below(&rig->random, 2);
    event->nth += event->trigger == HISTORY_TRIGGER_ELECTED ? 1 : 0;
    event->delay_us = history_draw_us(
        rig, 0, history_draw(rig, 50) ? HISTORY_DELAY_US : HISTORY_SOON_US);
    event->at_us = HISTORY_START_US +
                   history_draw_us(rig, 2 * HISTORY_S, HISTORY_PLAN_US);
    if (event->trigger != HISTORY_TRIGGER_TIME) {
        event->at_us = HISTORY_NEVER_US;
    }
    event->duration_us =
        history_draw_us(rig, HISTORY_SHORT_US, HISTORY_LONG_US);
    event->target =
        (enum history_target)random_below(&rig->random, HISTORY_TARGETS_COUNT);
    event->any = random_below(&rig->random, 12);
    event->entries =
        history_draw(rig, 60)
            ? (1U << HISTORY_MAX_ENTRIES) - 1
            : random_below(&rig->random, 1U << HISTORY_MAX_ENTRIES);
    event->fate = (enum history_order_fate)history_draw_us(
        rig, HISTORY_ORDER_REFUSED, HISTORY_ORDER_FATES_COUNT - 1);
}

// Most days begin with the loss of the first primary.
static void
history_draw_first_event(struct history_rig *rig, struct history_event *event)
{
    static const enum history_event_kind kinds[] = {
        HISTORY_EVENT_SILENCE, HISTORY_EVENT_SILENCE, HISTORY_EVENT_CRASH,
        HISTORY_EVENT_LEAVE};

    if (!history_draw(rig, 80)) {
        return;
    }
    event->kind = kinds[random_below(&rig->random, 4)];
    event->trigger = HISTORY_TRIGGER_TIME;
    event->at_us = HISTORY_START_US +
                   history_draw_us(rig, 2 * HISTORY_S, HISTORY_FIRST_US);
    event->target = HISTORY_TARGET_PUBLISHED;
}

// Draws the size of the installation and its disturbances.
void
history_plan_draw(struct history_rig *rig)
{
    size_t span = HISTORY_MAX_EVENTS - HISTORY_LEAST_EVENTS + 1;

    rig->entries_count = 2 + (int)random_below(&rig->random, 2);
    rig->upstreams_count = 3 + (int)random_below(&rig->random, 2);
    rig->confirm = history_draw(rig, 25) ? 1 : 0;
    rig->platform.is_fencing = history_draw(rig, 50);
    rig->silent_at_end =
        history_draw(rig, 50)
            ? random_below(&rig->random, (1U << rig->upstreams_count) - 1)
            : 0;
    rig->day->events_count =
        HISTORY_LEAST_EVENTS + random_below(&rig->random, (uint32_t)span);
    for (size_t i = 0; i < rig->day->events_count; i++) {
        history_draw_event(rig, &rig->events[i]);
        if (i == 0) {
            history_draw_first_event(rig, &rig->events[i]);
        }
        rig->events[i].is_done = (rig->day->dropped >> i & 1) != 0;
    }
}

static int
history_get_target(const struct history_rig *rig,
                   const struct history_event *event)
{
    switch (event->target) {
    case HISTORY_TARGET_PUBLISHED:
        return history_get_published(rig);
    case HISTORY_TARGET_PROMOTED:
        return rig->platform.primary;
    default:
        return (int)event->any % rig->upstreams_count;
    }
}

static void
history_extend(int64_t *until_us, int64_t wanted_us)
{
    *until_us = wanted_us > *until_us ? wanted_us : *until_us;
}

static void
history_cut_entries(struct history_upstream *upstream, unsigned entries,
                    int64_t until_us)
{
    for (int i = 0; i < HISTORY_MAX_ENTRIES; i++) {
        if ((entries >> i & 1) != 0) {
            history_extend(&upstream->entry_cut_until_us[i], until_us);
        }
    }
}

// Cuts an upstream off from control, from its peers and from entries.
static void
history_silence(struct history_rig *rig, int index, unsigned entries,
                int64_t until_us)
{
    struct history_upstream *upstream = &rig->upstreams[index];

    history_extend(&upstream->control_cut_until_us, until_us);
    history_extend(&upstream->peers_cut_until_us, until_us);
    history_cut_entries(upstream, entries, until_us);
}

static void
history_leave(struct history_rig *rig, int index)
{
    struct history_upstream *upstream = &rig->upstreams[index];

    if (upstream->is_leaving || !history_upstream_is_up(rig, index) ||
        rig->now_us > HISTORY_START_US + HISTORY_LEAVE_LIMIT_US) {
        return;
    }
    upstream->is_leaving = true;
    upstream->next_announce_us = rig->now_us;
    upstream->leaves_us = rig->now_us + HISTORY_SWITCHOVER_US +
                          history_draw_us(rig, 0, HISTORY_LEAVE_EXTRA_US);
}

// Begins a disturbance of an upstream.
static void
history_disturb_upstream(struct history_rig *rig,
                         const struct history_event *event, int index,
                         int64_t until_us)
{
    struct history_upstream *upstream = &rig->upstreams[index];

    switch (event->kind) {
    case HISTORY_EVENT_SILENCE:
        history_silence(rig, index, event->entries, until_us);
        break;
    case HISTORY_EVENT_CRASH:
        history_upstream_crash(rig, index, until_us);
        break;
    case HISTORY_EVENT_ENTRY_PRIMARY_CUT:
        history_cut_entries(upstream, event->entries, until_us);
        break;
    case HISTORY_EVENT_LEAVE:
        history_leave(rig, index);
        break;
    case HISTORY_EVENT_LAG:
        history_extend(&upstream->lag_until_us, until_us);
        break;
    default:
        break;
    }
}

static void
history_disturb(struct history_rig *rig, const struct history_event *event)
{
    int64_t until_us = rig->now_us + event->duration_us;
    int upstream = history_get_target(rig, event);
    int entry = (int)event->any % rig->entries_count;

    history_trace(
        rig, "EVENT %s for %.3f: u%d, e%d, entries 0x%x%s%s",
        kind_names[event->kind], (double)event->duration_us / 1e6, upstream,
        entry, event->entries, event->kind == HISTORY_EVENT_ORDER ? " " : "",
        event->kind == HISTORY_EVENT_ORDER ? fate_names[event->fate] : "");
    switch (event->kind) {
    case HISTORY_EVENT_ENTRY_CUT:
        history_extend(&rig->entries[entry].cut_until_us, until_us);
        break;
    case HISTORY_EVENT_ENTRY_RESTART:
        history_entry_restart(rig, entry);
        break;
    case HISTORY_EVENT_LEADER_KILL:
    case HISTORY_EVENT_LEADER_CUT:
    case HISTORY_EVENT_LEADER_RESIGN:
        history_leader_lose(rig, event->kind);
        break;
    case HISTORY_EVENT_ORDER:
        rig->platform.next_fate = event->fate;
        break;
    case HISTORY_EVENT_NOTIFY_LOSS:
        history_extend(&rig->notify_loss_until_us, until_us);
        break;
    case HISTORY_EVENT_SLOW_CALLS:
        history_extend(&rig->slow_until_us, until_us);
        break;
    case HISTORY_EVENT_PLATFORM_DOWN:
        history_extend(&rig->platform.down_until_us, until_us);
        break;
    default:
        history_disturb_upstream(rig, event, upstream, until_us);
        break;
    }
}

// Begins the disturbances whose time has come. None begins after the last
// disturbance.
void
history_plan_run(struct history_rig *rig)
{
    if (rig->now_us > HISTORY_START_US + HISTORY_DISTURBED_US) {
        return;
    }
    for (size_t i = 0; i < rig->day->events_count; i++) {
        struct history_event *event = &rig->events[i];
        if (!event->is_done && event->at_us <= rig->now_us) {
            event->is_done = true;
            history_disturb(rig, event);
        }
    }
}

static void
history_limit(int64_t *until_us, int64_t now_us)
{
    *until_us = *until_us > now_us ? now_us : *until_us;
}

// Ends all disturbances, but for the upstreams that stay silent.
void
history_plan_end(struct history_rig *rig)
{
    history_trace(rig, "EVENT all disturbances end; silent upstreams 0x%x",
                  rig->silent_at_end);
    history_limit(&rig->notify_loss_until_us, rig->now_us);
    history_limit(&rig->slow_until_us, rig->now_us);
    history_limit(&rig->platform.down_until_us, rig->now_us);
    rig->platform.next_fate = HISTORY_ORDER_NORMAL;
    for (int i = 0; i < rig->entries_count; i++) {
        history_limit(&rig->entries[i].cut_until_us, rig->now_us);
    }
    for (int i = 0; i < rig->upstreams_count; i++) {
        struct history_upstream *upstream = &rig->upstreams[i];
        history_limit(&upstream->down_until_us, rig->now_us);
        history_limit(&upstream->control_cut_until_us, rig->now_us);
        history_limit(&upstream->peers_cut_until_us, rig->now_us);
        history_limit(&upstream->lag_until_us, rig->now_us);
        for (int j = 0; j < HISTORY_MAX_ENTRIES; j++) {
            history_limit(&upstream->entry_cut_until_us[j], rig->now_us);
        }
        if ((rig->silent_at_end >> i & 1) != 0) {
            history_silence(rig, i, (1U << HISTORY_MAX_ENTRIES) - 1,
                            HISTORY_NEVER_US);
        }
    }
}
