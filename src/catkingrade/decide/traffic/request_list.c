#include "catkingrade/decide/traffic/request_list.h"

// Appends a request, which must be in no list.
void
request_list_append(struct request_list *list, struct request *request)
{
    request->next = NULL;
    request->previous = list->last;
    if (list->last != NULL) {
        list->last->next = request;
    }
    else {
        list->first = request;
    }
    list->last = request;
    list->count++;
}

// Removes a request from list, which must contain it.
void
request_list_remove(struct request_list *list, struct request *request)
{
    if (request->previous != NULL) {
        request->previous->next = request->next;
    }
    else {
        list->first = request->next;
    }
    if (request->next != NULL) {
        request->next->previous = request->previous;
    }
    else {
        list->last = request->previous;
    }
    request->next = request->previous = NULL;
    list->count--;
}

// Returns whether a request may run on a replica.
bool
request_is_read(const struct request *request)
{
    return request->request_class == SCHEDULER_CLASS_READ ||
           request->request_class == SCHEDULER_CLASS_BEGIN_READ_ONLY;
}

// Returns whether a request only begins a transaction.
bool
request_opens_transaction(const struct request *request)
{
    return request->request_class == SCHEDULER_CLASS_BEGIN ||
           request->request_class == SCHEDULER_CLASS_BEGIN_READ_ONLY;
}

// Returns whether a request is a later statement of an open transaction.
bool
request_is_within_transaction(const struct request *request)
{
    return request->request_class == SCHEDULER_CLASS_IN_TRANSACTION ||
           request->request_class == SCHEDULER_CLASS_COMMIT ||
           request->request_class == SCHEDULER_CLASS_ROLLBACK;
}
