#include "catkingrade/decide/traffic/scheduler_sample.h"

#include "catkingrade/decide/traffic/confirm.h"
#include "catkingrade/decide/traffic/floor.h"
#include "catkingrade/decide/traffic/pool.h"
#include "catkingrade/decide/traffic/scheduler_actions.h"
#include "catkingrade/decide/traffic/scheduler_lease.h"

// Factor of the sampling interval for a database without sessions.
#define SAMPLE_IDLE_FACTOR 8
// Sampling interval while the new primary still reports that it is a replica.
#define SAMPLE_PROMOTING_INTERVAL_US (5 * SCHEDULER_MS_US)
// Minimum time between two reports of an upstream to the control group.
#define SAMPLE_SUSPECT_INTERVAL_US (200 * SCHEDULER_MS_US)

// Returns the timeline of the present term's log, or 0 when it is unknown.
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

// Returns whether an upstream's sampled position is in the present term's log
// and therefore comparable with other positions of that log.
bool
sample_is_of_term(const struct scheduler *scheduler,
                  const struct upstream *upstream)
{
    uint64_t timeline = sample_get_timeline(scheduler);

    return upstream->sampled && timeline != 0 &&
           upstream->position.timeline == timeline;
}

// Makes sure that an upstream's position is sampled with a request sent at
// not_before_us or later. A pending sample that was sent since then is shared;
// after an earlier pending sample another one is sent. A sample without an
// answer within suspect_us counts as a failure. Does nothing when upstreams
// are guarded or the quota has no connection for samples.
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

// Samples all ready upstreams once per probe interval.
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

// Recomputes the time up to which one upstream includes all commits.
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

// Recomputes the time up to which each ready upstream includes all commits.
void
sample_refresh_ages(struct scheduler *scheduler)
{
    for (uint32_t i = 0; i < scheduler->candidates_count; i++) {
        sample_refresh_age(scheduler,
                           &scheduler->upstreams[scheduler->candidates[i]]);
    }
}

// Updates the moving average of the rate at which a replica applies its log,
// in bytes per microsecond.
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

// Records the position of an upstream, from a sample or an answer that was
// requested at asked_at_us. A position that was requested before the recorded
// one is ignored. A lower position is accepted: a replica may restart behind
// its earlier position.
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

// Records an answer of an upstream: clears its failure state and the backoff
// of new connections.
void
sample_record_answer(struct scheduler *scheduler, uint32_t upstream)
{
    struct upstream *up = &scheduler->upstreams[upstream];

    if (up->relayed) {
        relay_contact_record_answer(&scheduler->relay_contact);
    }
    up->answered_us = scheduler->now_us;
    if (up->failing_since_us != 0) {
        up->failing_since_us = 0;
        up->open_backoff_us = 0;
        up->open_next_us = 0;
    }
}

// Records that an upstream refused a connection or did not answer, and reports
// it to the control group at most once per SAMPLE_SUSPECT_INTERVAL_US.
void
sample_record_failure(struct scheduler *scheduler, uint32_t upstream,
                      enum ck_suspicion_kind kind)
{
    struct upstream *up = &scheduler->upstreams[upstream];

    // The primary of a relayed view represents all relays in order of
    // preference. After a failure the next relay is tried, so that the primary
    // is not marked as failing. The other upstreams are single relays, which
    // are avoided for a time after their last failure (see route.c).
    if (scheduler->view.relayed) {
        relay_contact_record_failure(&scheduler->relay_contact,
                                     scheduler->now_us,
                                     kind == CK_SUSPECT_SILENT);
        up->failing_since_us =
            upstream == scheduler->primary ? 0 : scheduler->now_us;
    }
    else if (up->failing_since_us == 0) {
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

// Reports the replicas that serve no reads because they lag, when a request is
// refused for want of a slot. The report carries the time that callers have
// lost meanwhile; see refusal_loss.h. Each replica is reported at most once
// per SAMPLE_SUSPECT_INTERVAL_US.
void
sample_report_lagging(struct scheduler *scheduler)
{
    if (scheduler->refusal_loss.lost_us == 0) {
        return;
    }
    for (uint32_t i = 0; i < scheduler->candidates_count; i++) {
        uint32_t index = scheduler->candidates[i];
        struct upstream *up = &scheduler->upstreams[index];
        if (index == scheduler->primary || up->lag.behind_since_us == 0 ||
            (up->suspected_us != 0 && scheduler->now_us - up->suspected_us <
                                          SAMPLE_SUSPECT_INTERVAL_US)) {
            continue;
        }
        up->suspected_us = scheduler->now_us;
        struct scheduler_action *action =
            scheduler_add_action(scheduler, SCHEDULER_ACTION_SUSPECT);
        action->upstream = index;
        action->suspicion = CK_SUSPECT_LAGGING;
        action->since_us = scheduler->now_us - scheduler->refusal_loss.lost_us;
        if (action->since_us < up->lag.behind_since_us) {
            action->since_us = up->lag.behind_since_us;
        }
        action->term = lease_get_term(scheduler);
    }
}

// Ends a pending sample. Requests another one if that was asked for after the
// sample was sent.
static void
sample_end_pending(struct scheduler *scheduler, uint32_t upstream)
{
    struct upstream *up = &scheduler->upstreams[upstream];

    up->sample_pending = false;
    if (up->sample_again && up->config != NULL) {
        sample_request(scheduler, upstream, scheduler->now_us);
    }
}

// Schedules the next sample before the end of the probe interval if wanted:
// while the primary of the term still reports that it is a replica.
static void
sample_schedule_sooner(struct scheduler *scheduler, bool wanted)
{
    int64_t at_us = scheduler->now_us + SAMPLE_PROMOTING_INTERVAL_US;

    if (wanted && at_us < scheduler->sample_at_us) {
        scheduler->sample_at_us = at_us;
        timers_add(&scheduler->timers, at_us, TIMER_SAMPLE, 0);
    }
}

// Handles an upstream's answer to a sample.
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

// Handles a sample that the upstream refused or did not answer. An upstream at
// its connection limit counts as alive.
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
