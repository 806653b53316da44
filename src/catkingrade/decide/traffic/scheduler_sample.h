#ifndef CATKINGRADE_DECIDE_SCHEDULER_SAMPLE_H
#define CATKINGRADE_DECIDE_SCHEDULER_SAMPLE_H

#include "catkingrade/decide/traffic/scheduler_state.h"

// Log positions of the upstreams: requests samples, records positions from
// samples and answers, and derives freshness and suspicions from them.

bool sample_is_of_term(const struct scheduler *scheduler,
                       const struct upstream *upstream);
void sample_request(struct scheduler *scheduler, uint32_t upstream,
                    int64_t not_before_us);
void sample_run(struct scheduler *scheduler);
void sample_handle(struct scheduler *scheduler,
                   const struct scheduler_sample *sample);
void sample_handle_failed(struct scheduler *scheduler,
                          const struct scheduler_sample *sample);
void sample_record_position(struct scheduler *scheduler, uint32_t upstream,
                            const struct ck_position *position,
                            int64_t asked_at_us);
void sample_record_failure(struct scheduler *scheduler, uint32_t upstream,
                           enum ck_suspicion_kind kind);
void sample_report_lagging(struct scheduler *scheduler);
void sample_record_answer(struct scheduler *scheduler, uint32_t upstream);
void sample_refresh_ages(struct scheduler *scheduler);

#endif
