#ifndef CATKINGRADE_RPC_CALL_QUEUE_H
#define CATKINGRADE_RPC_CALL_QUEUE_H

#include <stddef.h>
#include <stdint.h>

#include "catkingrade/kernel/settings.h"
#include "catkingrade/rpc/datagram.h"

// Received calls that wait to be handled, in the order of their arrival.
//
// The queue answers a flood of calls, as after an election when every daemon
// renews its lease at once: a call that has waited for longer than its caller
// does is dropped, so that the time goes to calls that can still be answered.
struct call_queue;

// A waiting call. The body of the datagram is a copy.
struct queued_call {
    struct queued_call *next;
    int64_t received_us;
    struct settings_address peer;
    struct datagram datagram;
    uint8_t body[];
};

struct call_queue *call_queue_create(int64_t max_wait_us, size_t max_bytes);
void call_queue_destroy(struct call_queue *queue);
void call_queue_push(struct call_queue *queue, int64_t now_us,
                     const struct settings_address *peer,
                     const struct datagram *datagram);
struct queued_call *call_queue_pop(struct call_queue *queue, int64_t now_us);

#endif
