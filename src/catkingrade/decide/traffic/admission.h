#ifndef CATKINGRADE_DECIDE_ADMISSION_H
#define CATKINGRADE_DECIDE_ADMISSION_H

#include "catkingrade/decide/traffic/scheduler_state.h"

// Admission control for statements. Each request type has one queue for
// statements that need the primary and one for reads that a replica may serve.
// Weighted fair queueing picks the next type; while customers use the
// database, they share the slots as in fair_queue.h. A request is refused
// early when its queue is full, when its estimated wait exceeds its deadline
// or queue timeout, or when it needs a primary and there is none with a valid
// lease nor one expected in time.

void admission_handle_view(struct scheduler *scheduler);
uint8_t admission_find_type(const struct scheduler *scheduler,
                            const char *name);
void admission_enqueue(struct scheduler *scheduler, struct request *request);
void admission_record_load(struct scheduler *scheduler, int64_t elapsed_us);
uint32_t admission_collect_demand(struct scheduler *scheduler,
                                  enum queue_kind kind);
void admission_remove(struct scheduler *scheduler, struct request *request);
struct request_type *admission_pick_type(struct scheduler *scheduler,
                                         enum queue_kind kind);
void admission_refuse_queue_timeout(struct scheduler *scheduler,
                                    struct request *request);
int64_t admission_get_queue_deadline_us(const struct scheduler *scheduler,
                                        const struct request *request);
bool admission_has_free_slot(const struct scheduler *scheduler,
                             enum queue_kind kind);
void admission_record_start(struct scheduler *scheduler, enum queue_kind kind);
void admission_charge(struct scheduler *scheduler, struct request_type *type,
                      enum queue_kind kind);
bool admission_refuse_late(struct scheduler *scheduler,
                           struct request *request);
void admission_record_service_time(struct scheduler *scheduler,
                                   const struct request *request);
void admission_update_primary_wait(struct scheduler *scheduler);
void admission_check_relay_contact(struct scheduler *scheduler);
void admission_refuse_primary(struct scheduler *scheduler, const char *reason);
enum queue_kind admission_get_queue(const struct request *request);

#endif
