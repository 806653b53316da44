#ifndef CATKINGRADE_DECIDE_TRAFFIC_SAMPLE_H
#define CATKINGRADE_DECIDE_TRAFFIC_SAMPLE_H

#include "catkingrade/decide/traffic_state.h"

bool sample_is_of_term(const struct traffic *traffic,
                       const struct upstream *upstream);
void sample_ask(struct traffic *traffic, uint32_t upstream,
                int64_t not_before_us);
void sample_run(struct traffic *traffic);
void sample_handle(struct traffic *traffic,
                   const struct traffic_sample *sample);
void sample_handle_failed(struct traffic *traffic,
                          const struct traffic_sample *sample);
void sample_note_position(struct traffic *traffic, uint32_t upstream,
                          const struct ck_position *position,
                          int64_t asked_at_us);
void sample_note_failure(struct traffic *traffic, uint32_t upstream,
                         enum ck_suspicion_kind kind);
void sample_note_answer(struct traffic *traffic, uint32_t upstream);
void sample_refresh_ages(struct traffic *traffic);

#endif
