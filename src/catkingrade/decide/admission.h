#ifndef CATKINGRADE_DECIDE_ADMISSION_H
#define CATKINGRADE_DECIDE_ADMISSION_H

#include "catkingrade/decide/traffic_state.h"

void admission_handle_view(struct traffic *traffic);
uint8_t admission_find_type(const struct traffic *traffic, const char *name);
void admission_enqueue(struct traffic *traffic, struct request *request);
void admission_record_load(struct traffic *traffic, int64_t elapsed_us);
uint32_t admission_collect_demand(struct traffic *traffic,
                                  enum queue_kind kind);
void admission_remove(struct traffic *traffic, struct request *request);
struct request_type *admission_pick_type(struct traffic *traffic,
                                         enum queue_kind kind);
void admission_refuse_queue_timeout(struct traffic *traffic,
                                    struct request *request);
int64_t admission_get_queue_deadline_us(const struct traffic *traffic,
                                        const struct request *request);
void admission_charge(struct traffic *traffic, struct request_type *type,
                      enum queue_kind kind);
bool admission_refuse_late(struct traffic *traffic, struct request *request);
void admission_record_service_time(struct traffic *traffic,
                                   const struct request *request);
void admission_refuse_primary(struct traffic *traffic, const char *reason);
enum queue_kind admission_get_queue(const struct request *request);

#endif
