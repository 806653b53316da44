#ifndef CATKINGRADE_DECIDE_SCHEDULER_REQUEST_H
#define CATKINGRADE_DECIDE_SCHEDULER_REQUEST_H

#include "catkingrade/decide/traffic/request_list.h"

// Life cycle of requests from their arrival to their queue, and their final
// actions. The functions that add a final action free the request.

// Maximum wait of a request for a view that contains the term of its session's
// floor.
#define REQUEST_VIEW_WAIT_US (1 * SCHEDULER_SECOND_US)

void request_arrive(struct scheduler *scheduler,
                    const struct scheduler_request *event);
void request_continue_session(struct scheduler *scheduler,
                              struct session *session);

void request_answer(struct scheduler *scheduler, struct request *request,
                    uint64_t lsn);
void request_answer_with_warning(struct scheduler *scheduler,
                                 struct request *request, uint64_t lsn);
void request_refuse(struct scheduler *scheduler, struct request *request,
                    int outcome, int64_t retry_after_us, const char *reason);
void request_unknown(struct scheduler *scheduler, struct request *request,
                     const char *reason);

#endif
