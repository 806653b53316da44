#include "catkingrade/decide/traffic_sample.h"

#include "catkingrade/decide/confirm.h"
#include "catkingrade/decide/floor.h"
#include "catkingrade/decide/pool.h"
#include "catkingrade/decide/traffic_actions.h"
#include "catkingrade/decide/traffic_lease.h"

// A database that no session uses is sampled this much more rarely.
#define SAMPLE_IDLE_FACTOR         8
#define SAMPLE_PROMOTING_US        (5 * TRAFFIC_MS_US)
#define SAMPLE_SUSPECT_INTERVAL_US (200 * TRAFFIC_MS_US)

// Returns the timeline of the present term's log, or 0 when it is not known.
static uint64_t
sample_get_timeline(const struct traffic *traffic)
{
    uint64_t timeline = traffic->view.database->base.timeline;

    if (timeline != 0 || traffic->primary == TRAFFIC_NO_ID) {
        return timeline;
    }
    const struct upstream *primary = &traffic->upstreams[traffic->primary];
    return primary->sampled ? primary->position.timeline : 0;
}

// Returns whether an upstream's sampled position is one of the present term's
// log, so that it compares with others by its number alone.
bool
sample_is_of_term(const struct traffic *traffic,
                  const struct upstream *upstream)
{
    uint64_t timeline = sample_get_timeline(traffic);

    return upstream->sampled && timeline != 0 &&
           upstream->position.timeline == timeline;
}

// Asks for a sample that is asked for at not_before_us or later; waiters share
// one that has been asked for since.
void
sample_ask(struct traffic *traffic, uint32_t upstream, int64_t not_before_us)
{
    struct upstream *up = &traffic->upstreams[upstream];

    if (!up->may_sample || traffic->params.guarded) {
        return;
    }
    if (up->sample_pending &&
        traffic->now_us - up->sample_sent_us < traffic->params.suspect_us) {
        if (up->sample_sent_us < not_before_us) {
            up->sample_again = true;
        }
        return;
    }
    if (up->sample_pending) {
        sample_note_failure(traffic, upstream, CK_SUSPECT_SILENT);
    }
    up->sample_pending = true;
    up->sample_again = false;
    up->sample_sent_us = traffic->now_us;
    traffic_add_action(traffic, TRAFFIC_ACTION_SAMPLE)->upstream = upstream;
}

// Samples all upstreams once in each probe interval.
void
sample_run(struct traffic *traffic)
{
    if (!traffic->view_known || traffic->now_us < traffic->sample_at_us) {
        return;
    }
    int64_t interval_us = traffic->params.probe_us;
    if (traffic->sessions.count == 0) {
        interval_us *= SAMPLE_IDLE_FACTOR;
    }
    for (uint32_t i = 0; i < traffic->candidates_count; i++) {
        sample_ask(traffic, traffic->candidates[i], 0);
    }
    pool_maintain(traffic);
    traffic->sample_at_us = traffic->now_us + interval_us;
    timers_add(&traffic->timers, traffic->sample_at_us, TIMER_SAMPLE, 0);
}

static void
sample_refresh_age(const struct traffic *traffic, struct upstream *upstream)
{
    upstream->of_term = sample_is_of_term(traffic, upstream);
    upstream->current_us =
        upstream->of_term
            ? freshness_find_us(&traffic->freshness, upstream->position.lsn)
            : FRESHNESS_UNKNOWN;
}

// Works out anew up to which moment each upstream has everything.
void
sample_refresh_ages(struct traffic *traffic)
{
    for (uint32_t i = 0; i < traffic->candidates_count; i++) {
        sample_refresh_age(traffic,
                           &traffic->upstreams[traffic->candidates[i]]);
    }
}

// Follows how fast a replica applies its log, in bytes a microsecond.
static void
sample_note_rate(struct upstream *upstream, const struct ck_position *position,
                 int64_t asked_at_us)
{
    int64_t took_us = asked_at_us - upstream->position_asked_us;

    if (took_us <= 0 || position->lsn <= upstream->position.lsn) {
        return;
    }
    double rate =
        (double)(position->lsn - upstream->position.lsn) / (double)took_us;
    upstream->apply_rate = upstream->apply_rate == 0
                               ? rate
                               : upstream->apply_rate * 0.75 + rate * 0.25;
}

// Takes the position of an upstream that was asked for at asked_at_us, from a
// sample or from an answer. One that was asked for before the last is dropped.
// A replica that restarts may stand lower than before.
void
sample_note_position(struct traffic *traffic, uint32_t upstream,
                     const struct ck_position *position, int64_t asked_at_us)
{
    struct upstream *up = &traffic->upstreams[upstream];
    bool same = up->sampled && up->position.timeline == position->timeline;

    if (position->lsn == 0 ||
        (up->sampled && asked_at_us < up->position_asked_us)) {
        return;
    }
    if (same) {
        sample_note_rate(up, position, asked_at_us);
    }
    up->position = *position;
    up->position_asked_us = asked_at_us;
    up->sampled = true;
    if (upstream == traffic->primary) {
        if (lease_is_valid_at(traffic, asked_at_us) &&
            sample_is_of_term(traffic, up)) {
            freshness_add(&traffic->freshness, asked_at_us, position->lsn);
        }
        sample_refresh_ages(traffic);
        return;
    }
    sample_refresh_age(traffic, up);
}

// Notes that an upstream has answered: it is not suspected any more, and new
// connections to it need not wait.
void
sample_note_answer(struct traffic *traffic, uint32_t upstream)
{
    struct upstream *up = &traffic->upstreams[upstream];

    up->answered_us = traffic->now_us;
    if (up->failing_since_us != 0) {
        up->failing_since_us = 0;
        up->open_backoff_us = 0;
        up->open_next_us = 0;
    }
}

// Notes that an upstream refused or was silent, and tells control at bounded
// intervals once a silence has lasted.
void
sample_note_failure(struct traffic *traffic, uint32_t upstream,
                    enum ck_suspicion_kind kind)
{
    struct upstream *up = &traffic->upstreams[upstream];

    // Behind a relay there is another entry to turn to.
    if (up->failing_since_us == 0 && !traffic->view.relayed) {
        up->failing_since_us = traffic->now_us;
    }
    if (up->config == NULL ||
        (up->suspected_us != 0 &&
         traffic->now_us - up->suspected_us < SAMPLE_SUSPECT_INTERVAL_US)) {
        return;
    }
    up->suspected_us = traffic->now_us;
    struct traffic_action *action =
        traffic_add_action(traffic, TRAFFIC_ACTION_SUSPECT);
    action->upstream = upstream;
    action->suspicion = kind;
    action->since_us = up->failing_since_us;
    action->term = lease_get_term(traffic);
}

// Asks once more when someone came after the last sample was asked for.
static void
sample_ask_again(struct traffic *traffic, uint32_t upstream)
{
    struct upstream *up = &traffic->upstreams[upstream];

    up->sample_pending = false;
    if (up->sample_again && up->config != NULL) {
        sample_ask(traffic, upstream, traffic->now_us);
    }
}

// Samples sooner than in the next probe interval while the term's primary
// still says that it is a replica.
static void
sample_hasten(struct traffic *traffic, bool wanted)
{
    int64_t at_us = traffic->now_us + SAMPLE_PROMOTING_US;

    if (wanted && at_us < traffic->sample_at_us) {
        traffic->sample_at_us = at_us;
        timers_add(&traffic->timers, at_us, TIMER_SAMPLE, 0);
    }
}

// Takes an upstream's answer to a sample.
void
sample_handle(struct traffic *traffic, const struct traffic_sample *sample)
{
    if (sample->upstream >= traffic->upstreams_count) {
        return;
    }
    struct upstream *up = &traffic->upstreams[sample->upstream];
    sample_note_answer(traffic, sample->upstream);
    if (sample->upstream == traffic->primary) {
        up->writable = sample->is_primary;
        sample_hasten(traffic, !sample->is_primary);
    }
    if (sample->upstream != traffic->primary || sample->is_primary) {
        sample_note_position(traffic, sample->upstream, &sample->position,
                             sample->asked_at_us);
    }
    if (sample->upstream == traffic->primary && sample->is_primary) {
        floor_assign_from_sample(traffic, sample);
    }
    sample_ask_again(traffic, sample->upstream);
    confirm_poll(traffic);
}

// Takes the news that an upstream refused a sample, or was silent.
void
sample_handle_failed(struct traffic *traffic,
                     const struct traffic_sample *sample)
{
    if (sample->upstream >= traffic->upstreams_count) {
        return;
    }
    if (!sample->full) {
        sample_note_failure(traffic, sample->upstream,
                            sample->refused ? CK_SUSPECT_REFUSED
                                            : CK_SUSPECT_SILENT);
    }
    sample_ask_again(traffic, sample->upstream);
}
