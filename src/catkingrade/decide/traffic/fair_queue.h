#ifndef CATKINGRADE_DECIDE_FAIR_QUEUE_H
#define CATKINGRADE_DECIDE_FAIR_QUEUE_H

#include "catkingrade/decide/traffic/scheduler_state.h"

// Order in which queued requests get slots while customers use the database.
// It answers one customer that sends several times its usual load, in one type
// or in all, on upstreams that are saturated: its requests wait behind each
// other, and those of other customers are served as if it sent no more than
// its share.
//
// Each customer has a virtual time for each kind of queue, the slot time that
// its requests have used. A customer whose queues were empty continues from
// the lowest virtual time of those that wait, so that it gets no credit for
// the time before. Customers within FAIR_QUEUE_WINDOW_US of the lowest virtual
// time are served in the order of urgency: the type with the highest weight
// first, and at equal weight the customer with the lowest virtual time. Those
// ahead by more have used more than their share and come after them. Each
// FAIR_QUEUE_TURN-th start goes to the request that has waited for the longest
// time, so that urgent types do not starve the others. The order never keeps a
// slot free: when the first queue cannot start a request, the next one is
// tried.

void fair_queue_add(struct scheduler *scheduler, struct request *request,
                    enum queue_kind kind);
void fair_queue_remove(struct scheduler *scheduler, struct request *request);
struct fair_queue *fair_queue_pick(struct scheduler *scheduler,
                                   enum queue_kind kind);
uint32_t fair_queue_count(const struct scheduler *scheduler,
                          const struct request *request, enum queue_kind kind);
double fair_queue_get_work_us(const struct scheduler *scheduler,
                              const struct request *request,
                              enum queue_kind kind);
void fair_queue_charge(struct scheduler *scheduler, struct conn *conn,
                       const struct request *request, enum queue_kind kind);
void fair_queue_settle(struct scheduler *scheduler, struct conn *conn);
void fair_queue_free_all(struct scheduler *scheduler);

#endif
