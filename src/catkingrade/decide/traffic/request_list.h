#ifndef CATKINGRADE_DECIDE_REQUEST_LIST_H
#define CATKINGRADE_DECIDE_REQUEST_LIST_H

#include "catkingrade/decide/traffic/scheduler_state.h"

// Doubly linked list of requests, used for queues, and predicates on the class
// of a request. A request is in at most one list at a time.

void request_list_append(struct request_list *list, struct request *request);
void request_list_remove(struct request_list *list, struct request *request);

bool request_is_read(const struct request *request);
bool request_opens_transaction(const struct request *request);
bool request_is_within_transaction(const struct request *request);

#endif
