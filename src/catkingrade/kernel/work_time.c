#include "catkingrade/kernel/work_time.h"

#include <inttypes.h>
#include <stdatomic.h>

// The longest time is that of the present window and the one before.
#define WORK_TIME_WINDOW_US 10000000
#define WORK_TIME_US_PER_S  1000000.0
#define WORK_TIME_NO_WINDOW (-1)

struct work_time_row {
    const char *label;
    const char *help;
};

static const struct work_time_row work_time_rows[] = {
#define WORK_TIME_ROW(name, label, help) [WORK_TIME_##name] = {label, help},
    WORK_TIME_LIST(WORK_TIME_ROW)
#undef WORK_TIME_ROW
};

struct work_time_total {
    _Atomic uint64_t count;
    _Atomic int64_t sum_us;
    _Atomic int64_t window;              // number of the present window
    _Atomic int64_t longest_us;          // in the present window
    _Atomic int64_t previous_longest_us; // in the window before
};

static struct work_time_total work_time_totals[WORK_TIME_COUNT] = {
    [0 ... WORK_TIME_COUNT - 1] = {.window = WORK_TIME_NO_WINDOW}};

static int64_t
work_time_load(const _Atomic int64_t *value)
{
    return atomic_load_explicit(value, memory_order_relaxed);
}

static void
work_time_store(_Atomic int64_t *value, int64_t stored)
{
    atomic_store_explicit(value, stored, memory_order_relaxed);
}

// Begins the window that contains now_us, if it has not begun.
static void
work_time_advance(struct work_time_total *total, int64_t now_us)
{
    int64_t window = now_us / WORK_TIME_WINDOW_US;
    int64_t last = work_time_load(&total->window);

    if (window == last) {
        return;
    }
    work_time_store(&total->previous_longest_us,
                    window == last + 1 ? work_time_load(&total->longest_us)
                                       : 0);
    work_time_store(&total->longest_us, 0);
    work_time_store(&total->window, window);
}

// Records one duration that ended at now_us. A negative duration counts as 0.
// Only the control thread may call this.
void
work_time_record(enum work_time kind, int64_t now_us, int64_t duration_us)
{
    struct work_time_total *total = &work_time_totals[kind];
    int64_t amount_us = duration_us < 0 ? 0 : duration_us;

    work_time_advance(total, now_us);
    atomic_store_explicit(
        &total->count,
        atomic_load_explicit(&total->count, memory_order_relaxed) + 1,
        memory_order_relaxed);
    work_time_store(&total->sum_us,
                    work_time_load(&total->sum_us) + amount_us);
    if (amount_us > work_time_load(&total->longest_us)) {
        work_time_store(&total->longest_us, amount_us);
    }
}

// Returns the sum of all durations of a kind.
int64_t
work_time_get_sum_us(enum work_time kind)
{
    return work_time_load(&work_time_totals[kind].sum_us);
}

// Returns the longest duration of a kind in the last 10 to 20 s.
int64_t
work_time_get_longest_us(enum work_time kind, int64_t now_us)
{
    const struct work_time_total *total = &work_time_totals[kind];
    int64_t age =
        now_us / WORK_TIME_WINDOW_US - work_time_load(&total->window);
    int64_t longest_us = work_time_load(&total->longest_us);
    int64_t previous_us = work_time_load(&total->previous_longest_us);

    if (age > 1) {
        return 0;
    }
    return age == 1 || longest_us > previous_us ? longest_us : previous_us;
}

// Returns the value of the label "work" of a kind.
const char *
work_time_get_label(enum work_time kind)
{
    return work_time_rows[kind].label;
}

const char *
work_time_get_help(enum work_time kind)
{
    return work_time_rows[kind].help;
}

static void
work_time_append_kind(struct buffer *text, enum work_time kind, int64_t now_us)
{
    const struct work_time_total *total = &work_time_totals[kind];
    const char *label = work_time_rows[kind].label;

    buffer_append_format(
        text,
        "catkingrade_control_seconds_sum{work=\"%s\"} %.6f\n"
        "catkingrade_control_seconds_count{work=\"%s\"} %" PRIu64 "\n"
        "catkingrade_control_longest_seconds{work=\"%s\"} %.6f\n",
        label, (double)work_time_load(&total->sum_us) / WORK_TIME_US_PER_S,
        label, atomic_load_explicit(&total->count, memory_order_relaxed),
        label,
        (double)work_time_get_longest_us(kind, now_us) / WORK_TIME_US_PER_S);
}

// Appends the times in the Prometheus text exposition format. Kinds without a
// measurement are left out.
void
work_time_append_prometheus(struct buffer *text, int64_t now_us)
{
    buffer_append_text(
        text,
        "# HELP catkingrade_control_seconds time of the control thread by "
        "kind of work\n"
        "# TYPE catkingrade_control_seconds summary\n"
        "# HELP catkingrade_control_longest_seconds longest time of a kind in "
        "the last 10 to 20 s\n"
        "# TYPE catkingrade_control_longest_seconds gauge\n");
    for (int i = 0; i < WORK_TIME_COUNT; i++) {
        if (atomic_load_explicit(&work_time_totals[i].count,
                                 memory_order_relaxed) > 0) {
            work_time_append_kind(text, (enum work_time)i, now_us);
        }
    }
}
