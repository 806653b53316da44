#include "catkingrade/decide/capacity/capacity.h"

#include <math.h>

#include "catkingrade/decide/random.h"

// Answers of a kind after which its base latency is used. With fewer answers
// the mean of a skewed distribution is too uncertain to judge by.
#define CAPACITY_SAMPLES_MIN 8
// Weights of a new answer in the moving averages.
#define CAPACITY_EXCESS_WEIGHT   (1.0 / 32)
#define CAPACITY_RECENT_WEIGHT   (1.0 / 2)
#define CAPACITY_LOW_WEIGHT      (1.0 / 64)
#define CAPACITY_VARIANCE_WEIGHT (1.0 / 256)
#define CAPACITY_KNEE_WEIGHT     (1.0 / 2048)
// Part of its deviation from low_excess by which a kind's own base moves.
#define CAPACITY_KIND_WEIGHT (1.0 / 256)
// Parts of low_excess by which an answer at low concurrency moves the base.
// Upwards it is slow: other entries may cause the excess. It is faster when
// the limit was halved and the excess has remained.
#define CAPACITY_BASE_DOWN    (1.0 / 16)
#define CAPACITY_BASE_UP      (1.0 / 512)
#define CAPACITY_BASE_UP_FAST (1.0 / 64)
// Standard deviation 0.7 of the logarithm, until more is known.
#define CAPACITY_VARIANCE_INITIAL 0.49
// A single answer counts at most as e^2, about 7, times the base latency.
#define CAPACITY_EXCESS_MAX 2.0
// Excess at which statements count as queued: 1.4 times the base latency.
#define CAPACITY_EXCESS_LOADED 0.35
#define CAPACITY_LIMIT_INITIAL 2.0
// Excess that the limit aims at for one statement; for more statements it is
// divided by the square root of the limit, so that entries that share an
// upstream converge to equal limits.
#define CAPACITY_HEADROOM 0.3
// Growth of the limit for each answer until latency grows for the first time.
#define CAPACITY_LIMIT_GROWTH 0.25
// Part of the deviation by which each answer moves the limit. It is below
// CAPACITY_EXCESS_WEIGHT: a faster limit would oscillate.
#define CAPACITY_LIMIT_GAIN (1.0 / 64)
// The limit of a slow upstream is not reduced below its knee divided by this.
#define CAPACITY_SLOW_DIVISOR 4.0
// The limit does not grow beyond what is used by more than this factor and
// number.
#define CAPACITY_UNUSED_FACTOR 2
#define CAPACITY_UNUSED_COUNT  4
// An entry that always uses its limit halves it for CAPACITY_DIP_ROUNDS rounds
// of answers after CAPACITY_DIP_INTERVAL rounds, to see the latency at a lower
// concurrency.
#define CAPACITY_DIP_INTERVAL 64
#define CAPACITY_DIP_ROUNDS   2
// Cumulative sum test for a slow upstream: each answer adds its excess minus
// the reference, which lies between no excess and that of an upstream 5 times
// as slow. The threshold is above what two answers can add.
#define CAPACITY_REFERENCE        0.8
#define CAPACITY_SLOW_EVIDENCE    2.45
#define CAPACITY_RECOVER_EVIDENCE 1.6
#define CAPACITY_RECOVER_MAX      1.2 // evidence of one answer
// A statement counts as overdue at this multiple of its base latency, and once
// more at each doubling of it.
#define CAPACITY_OVERDUE_FACTOR 3
#define CAPACITY_OVERDUE_MAX    2
// Time between two trial reads to a slow upstream, and its random part. The
// trials of several entries together are a small part of the reads, and an
// upstream that has recovered is still found within 2 s.
#define CAPACITY_TRIAL_US        INT64_C(1000000)
#define CAPACITY_TRIAL_JITTER_US 400000
// After this time of being slow the estimator starts again: the upstream has
// become slower for good.
#define CAPACITY_RESTART_US INT64_C(30000000)
// Excess that the last few answers may show by chance.
#define CAPACITY_RECENT_MARGIN 0.35
// Time without an answer after which the last excess of an upstream that is
// not slow tells nothing. Without it, an upstream that loses all statements
// because of a short queue would never get one again.
#define CAPACITY_EXCESS_VALID_US INT64_C(2000000)
// Latency of a kind without an answer so far.
#define CAPACITY_UNKNOWN_LATENCY_US INT64_C(1000)

static double
capacity_clamp(double value, double min, double max)
{
    return value < min ? min : value > max ? max : value;
}

// Returns how much more evidence is needed than with the initial variance.
// Latencies that vary more prove less.
static double
capacity_get_evidence_factor(const struct capacity *capacity)
{
    double factor = capacity->variance / CAPACITY_VARIANCE_INITIAL;

    return factor < 1 ? 1 : factor;
}

// Returns whether the base latency of a kind may be used.
bool
capacity_is_known(const struct capacity *capacity, enum capacity_kind kind)
{
    return capacity->samples[kind] >= CAPACITY_SAMPLES_MIN;
}

bool
capacity_is_slow(const struct capacity *capacity)
{
    return capacity->slow;
}

// Returns the part of a moving average of the excess that is still valid.
static double
capacity_get_valid(const struct capacity *capacity, int64_t now_us,
                   double excess)
{
    int64_t idle_us = now_us - capacity->answered_us;

    if (excess <= 0) {
        return 0;
    }
    if (capacity->slow) {
        return excess;
    }
    if (idle_us >= CAPACITY_EXCESS_VALID_US) {
        return 0;
    }
    return excess * (1 - (double)idle_us / (double)CAPACITY_EXCESS_VALID_US);
}

// Returns whether statements queue at the upstream, judged by their latency.
bool
capacity_is_loaded(const struct capacity *capacity, int64_t now_us)
{
    return capacity->slow ||
           capacity_get_valid(capacity, now_us, capacity->excess) >
               CAPACITY_EXCESS_LOADED;
}

static void
capacity_begin_slow(struct capacity *capacity, int64_t now_us)
{
    capacity->slow = true;
    capacity->slow_since_us = now_us;
    capacity->evidence = 0;
    capacity->trial_at_us = now_us + CAPACITY_TRIAL_US;
    if (capacity->recent < CAPACITY_REFERENCE) {
        capacity->recent = CAPACITY_REFERENCE;
    }
}

// Ends the state slow. The averages that the slow time has shaped start again.
static void
capacity_end_slow(struct capacity *capacity)
{
    capacity->slow = false;
    capacity->evidence = 0;
    capacity->excess = capacity->recent = capacity->low_excess = 0;
}

// Adds evidence that the upstream is slow.
static void
capacity_add_evidence(struct capacity *capacity, int64_t now_us, double amount)
{
    capacity->evidence += amount;
    if (capacity->evidence < 0) {
        capacity->evidence = 0;
    }
    if (capacity->evidence >
        CAPACITY_SLOW_EVIDENCE * capacity_get_evidence_factor(capacity)) {
        capacity_begin_slow(capacity, now_us);
    }
}

// Returns the evidence that overdue levels have added for one statement.
static double
capacity_get_overdue_evidence(uint8_t level)
{
    if (level == 0) {
        return 0;
    }
    double excess = log(CAPACITY_OVERDUE_FACTOR) + (level - 1) * log(2.0);
    return capacity_clamp(excess, 0, CAPACITY_EXCESS_MAX) - CAPACITY_REFERENCE;
}

// Judges one answer whose latency was excess above base.
static void
capacity_judge(struct capacity *capacity, int64_t now_us, double excess,
               uint8_t overdue)
{
    double amount =
        capacity_clamp(excess, -CAPACITY_EXCESS_MAX, CAPACITY_EXCESS_MAX) -
        CAPACITY_REFERENCE;

    if (!capacity->slow) {
        capacity_add_evidence(capacity, now_us,
                              amount - capacity_get_overdue_evidence(overdue));
        return;
    }
    capacity->evidence +=
        capacity_clamp(-amount, -CAPACITY_RECOVER_MAX, CAPACITY_RECOVER_MAX);
    if (capacity->evidence < 0) {
        capacity->evidence = 0;
    }
    if (amount < 0) {
        capacity->trial_at_us = now_us; // confirm the recovery soon
    }
    if (capacity->evidence >
        CAPACITY_RECOVER_EVIDENCE * capacity_get_evidence_factor(capacity)) {
        capacity_end_slow(capacity);
    }
}

// Moves the base latencies with an answer. They follow answers at low
// concurrency only, so that a queue that this entry has caused does not become
// the base.
static void
capacity_update_base(struct capacity *capacity, enum capacity_kind kind,
                     double excess, uint32_t running)
{
    if (capacity->slow) {
        return;
    }
    if (running > 1 && running * 2.0 > capacity->knee + 1) {
        return;
    }
    capacity->low_excess +=
        (excess - capacity->low_excess) * CAPACITY_LOW_WEIGHT;
    double weight = capacity->low_excess < 0 ? CAPACITY_BASE_DOWN
                    : capacity->limit * 2 <= capacity->knee
                        ? CAPACITY_BASE_UP_FAST
                        : CAPACITY_BASE_UP;
    double step = capacity->low_excess * weight;
    double kind_step = (excess - capacity->low_excess) * CAPACITY_KIND_WEIGHT;
    for (int i = 0; i < CAPACITY_KIND_COUNT; i++) {
        double is_kind = i == (int)kind ? 1 : 0;
        capacity->share[i] +=
            (is_kind - capacity->share[i]) * CAPACITY_LOW_WEIGHT;
    }
    // The correction of this kind against the others leaves their mean.
    capacity->base[kind] += kind_step;
    for (int i = 0; i < CAPACITY_KIND_COUNT; i++) {
        capacity->base[i] += step - kind_step * capacity->share[kind];
    }
    capacity->low_excess -= step;
}

// Begins and ends the dips of the limit.
static void
capacity_update_dip(struct capacity *capacity, uint32_t running)
{
    if (capacity->dip_answers > 0) {
        capacity->dip_answers--;
        return;
    }
    if (running * 2.0 <= capacity->knee + 1) {
        capacity->answers_since_dip = 0; // the concurrency is low anyway
        return;
    }
    capacity->answers_since_dip++;
    if (capacity->answers_since_dip >
        CAPACITY_DIP_INTERVAL * capacity->limit) {
        capacity->answers_since_dip = 0;
        capacity->dip_answers =
            (uint32_t)(CAPACITY_DIP_ROUNDS * capacity->limit);
    }
}

// Moves the limit to the concurrency at which the excess of the latency is
// the headroom. Until latency grows for the first time, the limit grows
// faster.
static void
capacity_update_limit(struct capacity *capacity, uint32_t running,
                      uint32_t max_limit)
{
    double max = max_limit < 1 ? 1 : max_limit;
    double headroom = CAPACITY_HEADROOM * sqrt(capacity->limit);
    double change = headroom - capacity->excess * capacity->limit;

    if (capacity->dip_answers > 0) {
        return;
    }
    if (change < 0) {
        capacity->grown = true;
    }
    if (change < 0 ||
        capacity->limit <
            running * (double)CAPACITY_UNUSED_FACTOR + CAPACITY_UNUSED_COUNT) {
        capacity->limit += capacity->grown ? change * CAPACITY_LIMIT_GAIN
                                           : CAPACITY_LIMIT_GROWTH;
    }
    capacity->limit = capacity_clamp(capacity->limit, 1, max);
    capacity->knee +=
        (capacity->limit - capacity->knee) * CAPACITY_KNEE_WEIGHT;
    if (capacity->limit > capacity->knee) {
        capacity->knee = capacity->limit;
    }
}

// Reduces the limit of a slow upstream. If a queue has made it slow, the queue
// becomes shorter. The lower bound leaves enough for a quick return.
static void
capacity_limit_slow(struct capacity *capacity)
{
    double min = capacity->knee / CAPACITY_SLOW_DIVISOR;

    capacity->limit -=
        CAPACITY_LIMIT_GAIN * capacity->limit * CAPACITY_REFERENCE;
    capacity->limit =
        capacity_clamp(capacity->limit, min < 1 ? 1 : min, capacity->knee);
}

// Records the answer to a statement that took took_us. running is the number
// of this entry's statements at the upstream when the answer came, including
// this one; max_limit the number that its quota allows; overdue the level last
// recorded for the statement.
void
capacity_record_answer(struct capacity *capacity, int64_t now_us,
                       enum capacity_kind kind, int64_t took_us,
                       uint32_t running, uint32_t max_limit, uint8_t overdue)
{
    double latency = log(took_us < 1 ? 1 : (double)took_us);

    if (capacity->slow &&
        now_us - capacity->slow_since_us > CAPACITY_RESTART_US) {
        *capacity = (struct capacity){0};
    }
    capacity->answered_us = now_us;
    if (capacity->limit == 0) {
        capacity->limit = capacity->knee = CAPACITY_LIMIT_INITIAL;
        capacity->variance = CAPACITY_VARIANCE_INITIAL;
    }
    if (!capacity_is_known(capacity, kind)) {
        capacity->samples[kind]++;
        capacity->base[kind] +=
            (latency - capacity->base[kind]) / capacity->samples[kind];
        return;
    }
    double excess = latency - capacity->base[kind];
    double bounded =
        capacity_clamp(excess, -CAPACITY_EXCESS_MAX, CAPACITY_EXCESS_MAX);
    capacity->excess += (bounded - capacity->excess) * CAPACITY_EXCESS_WEIGHT;
    capacity->recent += (bounded - capacity->recent) * CAPACITY_RECENT_WEIGHT;
    if (!capacity->slow) {
        capacity->variance += (bounded * bounded - capacity->variance) *
                              CAPACITY_VARIANCE_WEIGHT;
    }
    capacity_update_base(capacity, kind, bounded, running);
    capacity_judge(capacity, now_us, excess, overdue);
    if (!capacity->slow) {
        capacity_update_dip(capacity, running);
        capacity_update_limit(capacity, running, max_limit);
    }
    else {
        capacity_limit_slow(capacity);
    }
}

// Returns the overdue level of a statement that has run for age_us without an
// answer; 0: not overdue.
uint8_t
capacity_get_overdue(const struct capacity *capacity, enum capacity_kind kind,
                     int64_t age_us)
{
    uint8_t level = 0;

    if (!capacity_is_known(capacity, kind)) {
        return 0;
    }
    double bound = exp(capacity->base[kind]) * CAPACITY_OVERDUE_FACTOR;
    while (level < CAPACITY_OVERDUE_MAX && (double)age_us >= bound) {
        level++;
        bound *= 2;
    }
    return level;
}

// Records that a statement without an answer has become overdue. Statements
// whose answers hang are thus noticed before any answer comes.
void
capacity_record_overdue(struct capacity *capacity, int64_t now_us,
                        uint8_t before, uint8_t after)
{
    if (capacity->slow) {
        capacity->evidence = 0;
        return;
    }
    capacity_add_evidence(capacity, now_us,
                          capacity_get_overdue_evidence(after) -
                              capacity_get_overdue_evidence(before));
}

// Returns whether a slow upstream may get a trial read.
bool
capacity_may_try(const struct capacity *capacity, int64_t now_us,
                 uint32_t running)
{
    return running == 0 && now_us >= capacity->trial_at_us;
}

// Records that a trial read was sent to a slow upstream. *random is the state
// of a pseudorandom generator: the trials of several entries must not come at
// the same time.
void
capacity_record_trial(struct capacity *capacity, int64_t now_us,
                      uint64_t *random)
{
    capacity->trial_at_us = now_us + CAPACITY_TRIAL_US +
                            random_below(random, CAPACITY_TRIAL_JITTER_US);
}

// Returns how many statements of this entry may run at the upstream
// concurrently, at most max.
uint32_t
capacity_get_limit(const struct capacity *capacity, uint32_t max)
{
    double limit =
        capacity->dip_answers > 0 ? capacity->limit / 2 : capacity->limit;

    if (capacity->limit == 0) {
        limit = CAPACITY_LIMIT_INITIAL;
    }
    if (limit >= max) {
        return max;
    }
    return limit < 1 ? 1 : (uint32_t)limit;
}

// Returns the latency that a statement of a kind has at the upstream at
// present.
int64_t
capacity_get_latency_us(const struct capacity *capacity, int64_t now_us,
                        enum capacity_kind kind)
{
    if (capacity->samples[kind] == 0) {
        return CAPACITY_UNKNOWN_LATENCY_US;
    }
    double excess = capacity->recent - CAPACITY_RECENT_MARGIN;
    if (excess < capacity->excess) {
        excess = capacity->excess;
    }
    return (int64_t)exp(capacity->base[kind] +
                        capacity_get_valid(capacity, now_us, excess));
}

// Returns the latency that a statement of a kind has with little load; 0:
// unknown.
int64_t
capacity_get_usual_latency_us(const struct capacity *capacity,
                              enum capacity_kind kind)
{
    return capacity->samples[kind] == 0 ? 0
                                        : (int64_t)exp(capacity->base[kind]);
}

// Returns the expected time until one more statement of a kind is answered.
// The learned latency contains the round trip and the queue that the
// statements of other entries cause. Statements of this entry that run already
// take a part of the learned concurrency.
int64_t
capacity_get_completion_us(const struct capacity *capacity, int64_t now_us,
                           enum capacity_kind kind, uint32_t running,
                           uint32_t max_limit)
{
    uint32_t limit = capacity_get_limit(capacity, max_limit);
    int64_t latency_us = capacity_get_latency_us(capacity, now_us, kind);

    if (limit < 1) {
        limit = 1;
    }
    return latency_us + latency_us * running / limit;
}
