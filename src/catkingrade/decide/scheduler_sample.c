#include "catkingrade/decide/scheduler_sample.h"

#include "catkingrade/decide/confirm.h"
#include "catkingrade/decide/floor.h"
#include "catkingrade/decide/pool.h"
#include "catkingrade/decide/scheduler_actions.h"
#include "catkingrade/decide/scheduler_lease.h"

// A database that no session uses is sampled this much more rarely.
#define SAMPLE_IDLE_FACTOR           8
#define SAMPLE_PROMOTING_INTERVAL_US (5 * SCHEDULER_MS_US)
#define SAMPLE_SUSPECT_INTERVAL_US   (200 * SCHEDULER_MS_US)

// Returns the timeline of the present term's log, or 0 when it is not known.
static uint64_t
sample_get_timeline(const struct scheduler *scheduler)
{
    uint64_t timeline = scheduler->view.database->base.timeline;

    if (timeline != 0 || scheduler->primary == SCHEDULER_NO_ID) {
        return timeline;
    }
    const struct upstream *primary = &scheduler->upstreams[scheduler->primary];
    return primary->sampled ? primary->position.timeline : 0;
}

// Returns whether an upstream's sampled position is one of the present term's
// log, so that it compares with others by its number alone.
bool
sample_is_of_term(const struct scheduler *scheduler,
                  const struct upstream *upstream)
{
    uint64_t timeline = sample_get_timeline(scheduler);

    return upstream->sampled && timeline != 0 &&
           upstream->position.timeline == timeline;
}

// Asks for a sample that is asked for at not_before_us or later; waiters share
// one that has been asked for since.
void
sample_request(struct scheduler *scheduler, uint32_t upstream,
               int64_t not_before_us)
{
    struct upstream *up = &scheduler->upstreams[upstream];

    if (!up->may_sample || scheduler->params.guarded) {
        return;
    }
    if (up->sample_pending && scheduler->now_us - up->sample_sent_us <
                                  scheduler->params.suspect_us) {
        if (up->sample_sent_us < not_before_us) {
            up->sample_again = true;
        }
        return;
    }
    if (up->sample_pending) {
        sample_record_failure(scheduler, upstream, CK_SUSPECT_SILENT);
    }
    up->sample_pending = true;
    up->sample_again = false;
    up->sample_sent_us = scheduler->now_us;
    scheduler_add_action(scheduler, SCHEDULER_ACTION_SAMPLE)->upstream =
        upstream;
}

// Samples all upstreams once in each probe interval.
void
sample_run(struct scheduler *scheduler)
{
    if (!scheduler->view_known ||
        scheduler->now_us < scheduler->sample_at_us) {
        return;
    }
    int64_t interval_us = scheduler->params.probe_us;
    if (scheduler->sessions.count == 0) {
        interval_us *= SAMPLE_IDLE_FACTOR;
    }
    for (uint32_t i = 0; i < scheduler->candidates_count; i++) {
        sample_request(scheduler, scheduler->candidates[i], 0);
    }
    pool_maintain(scheduler);
    scheduler->sample_at_us = scheduler->now_us + interval_us;
    timers_add(&scheduler->timers, scheduler->sample_at_us, TIMER_SAMPLE, 0);
}

static void
sample_refresh_age(const struct scheduler *scheduler,
                   struct upstream *upstream)
{
    upstream->in_current_term = sample_is_of_term(scheduler, upstream);
    upstream->caught_up_us =
        upstream->in_current_term
            ? freshness_find_us(&scheduler->freshness, upstream->position.lsn)
            : FRESHNESS_UNKNOWN;
}

// Works out anew up to which moment each upstream has everything.
void
sample_refresh_ages(struct scheduler *scheduler)
{
    for (uint32_t i = 0; i < scheduler->candidates_count; i++) {
        sample_refresh_age(scheduler,
                           &scheduler->upstreams[scheduler->candidates[i]]);
    }
}

// Follows how fast a replica applies its log, in bytes a microsecond.
static void
sample_update_apply_rate(struct upstream *upstream,
                         const struct ck_position *position,
                         int64_t asked_at_us)
{
    int64_t took_us = asked_at_us - upstream->position_requested_us;

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
sample_record_position(struct scheduler *scheduler, uint32_t upstream,
                       const struct ck_position *position, int64_t asked_at_us)
{
    struct upstream *up = &scheduler->upstreams[upstream];
    bool same = up->sampled && up->position.timeline == position->timeline;

    if (position->lsn == 0 ||
        (up->sampled && asked_at_us < up->position_requested_us)) {
        return;
    }
    if (same) {
        sample_update_apply_rate(up, position, asked_at_us);
    }
    up->position = *position;
    up->position_requested_us = asked_at_us;
    up->sampled = true;
    if (upstream == scheduler->primary) {
        if (lease_is_valid_at(scheduler, asked_at_us) &&
            sample_is_of_term(scheduler, up)) {
            freshness_add(&scheduler->freshness, asked_at_us, position->lsn);
        }
        sample_refresh_ages(scheduler);
        return;
    }
    sample_refresh_age(scheduler, up);
}

// Notes that an upstream has answered: it is not suspected any more, and new
// connections to it need not wait.
void
sample_record_answer(struct scheduler *scheduler, uint32_t upstream)
{
    struct upstream *up = &scheduler->upstreams[upstream];

    up->answered_us = scheduler->now_us;
    if (up->failing_since_us != 0) {
        up->failing_since_us = 0;
        up->open_backoff_us = 0;
        up->open_next_us = 0;
    }
}

// Notes that an upstream refused or was silent, and tells control at bounded
// intervals once a silence has lasted.
void
sample_record_failure(struct scheduler *scheduler, uint32_t upstream,
                      enum ck_suspicion_kind kind)
{
    struct upstream *up = &scheduler->upstreams[upstream];

    // Behind a relay there is another entry to turn to.
    if (up->failing_since_us == 0 && !scheduler->view.relayed) {
        up->failing_since_us = scheduler->now_us;
    }
    if (up->config == NULL ||
        (up->suspected_us != 0 &&
         scheduler->now_us - up->suspected_us < SAMPLE_SUSPECT_INTERVAL_US)) {
        return;
    }
    up->suspected_us = scheduler->now_us;
    struct scheduler_action *action =
        scheduler_add_action(scheduler, SCHEDULER_ACTION_SUSPECT);
    action->upstream = upstream;
    action->suspicion = kind;
    action->since_us = up->failing_since_us;
    action->term = lease_get_term(scheduler);
}

// Asks once more when someone came after the last sample was asked for.
static void
sample_end_pending(struct scheduler *scheduler, uint32_t upstream)
{
    struct upstream *up = &scheduler->upstreams[upstream];

    up->sample_pending = false;
    if (up->sample_again && up->config != NULL) {
        sample_request(scheduler, upstream, scheduler->now_us);
    }
}

// Samples sooner than in the next probe interval while the term's primary
// still says that it is a replica.
static void
sample_schedule_sooner(struct scheduler *scheduler, bool wanted)
{
    int64_t at_us = scheduler->now_us + SAMPLE_PROMOTING_INTERVAL_US;

    if (wanted && at_us < scheduler->sample_at_us) {
        scheduler->sample_at_us = at_us;
        timers_add(&scheduler->timers, at_us, TIMER_SAMPLE, 0);
    }
}

// Takes an upstream's answer to a sample.
void
sample_handle(struct scheduler *scheduler,
              const struct scheduler_sample *sample)
{
    if (sample->upstream >= scheduler->upstreams_count) {
        return;
    }
    struct upstream *up = &scheduler->upstreams[sample->upstream];
    sample_record_answer(scheduler, sample->upstream);
    if (sample->upstream == scheduler->primary) {
        up->writable = sample->is_primary;
        sample_schedule_sooner(scheduler, !sample->is_primary);
    }
    if (sample->upstream != scheduler->primary || sample->is_primary) {
        sample_record_position(scheduler, sample->upstream, &sample->position,
                               sample->asked_at_us);
    }
    if (sample->upstream == scheduler->primary && sample->is_primary) {
        floor_assign_from_sample(scheduler, sample);
    }
    sample_end_pending(scheduler, sample->upstream);
    confirm_poll(scheduler);
}

// Takes the news that an upstream refused a sample, or was silent.
void
sample_handle_failed(struct scheduler *scheduler,
                     const struct scheduler_sample *sample)
{
    if (sample->upstream >= scheduler->upstreams_count) {
        return;
    }
    if (!sample->full) {
        sample_record_failure(scheduler, sample->upstream,
                              sample->refused ? CK_SUSPECT_REFUSED
                                              : CK_SUSPECT_SILENT);
    }
    sample_end_pending(scheduler, sample->upstream);
}
