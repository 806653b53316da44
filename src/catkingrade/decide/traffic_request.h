#ifndef CATKINGRADE_DECIDE_TRAFFIC_REQUEST_H
#define CATKINGRADE_DECIDE_TRAFFIC_REQUEST_H

#include "catkingrade/decide/traffic_state.h"

void request_list_append(struct request_list *list, struct request *request);
void request_list_remove(struct request_list *list, struct request *request);

bool request_is_read(const struct request *request);
bool request_opens_transaction(const struct request *request);
bool request_is_within_transaction(const struct request *request);

void request_arrive(struct traffic *traffic,
                    const struct traffic_request *event);
void request_cancel(struct traffic *traffic, uint64_t id);
void request_drop(struct traffic *traffic, struct request *request);
void request_continue_session(struct traffic *traffic,
                              struct session *session);
void request_send(struct traffic *traffic, struct request *request,
                  struct conn *conn);
void request_handle_timer(struct traffic *traffic, uint64_t id);

void request_answer(struct traffic *traffic, struct request *request,
                    uint64_t lsn);
void request_warn(struct traffic *traffic, struct request *request,
                  uint64_t lsn);
void request_refuse(struct traffic *traffic, struct request *request,
                    int outcome, int64_t retry_after_us, const char *reason);
void request_unknown(struct traffic *traffic, struct request *request,
                     const char *reason);

#endif
