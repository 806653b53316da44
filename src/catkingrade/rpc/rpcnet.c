#include "catkingrade/rpc/rpcnet.h"
#include "catkingrade/kernel/address.h"

#include <openssl/rand.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "catkingrade/kernel/counters.h"
#include "catkingrade/kernel/memory.h"
#include "catkingrade/kernel/outcome.h"
#include "catkingrade/kernel/timeline.h"
#include "catkingrade/rpc/call_queue.h"
#include "catkingrade/rpc/codec.h"
#include "catkingrade/rpc/fragment.h"

#define RPCNET_MAX_PROCEDURES           16
#define RPCNET_PENDING_BUCKETS          1024
#define RPCNET_SOCKET_BUFFER_BYTES      (4 * 1024 * 1024)
#define RPCNET_MAX_DATAGRAMS_PER_WAKEUP 1024
// Waiting calls that are left after this time are handled in the next loop
// iteration, so that they do not hold up heartbeats and timers.
#define RPCNET_CALLS_LIMIT_US 10000
// Callers wait for 250 ms or longer.
#define RPCNET_MAX_WAIT_US       200000
#define RPCNET_MAX_WAITING_BYTES (8 * 1024 * 1024)
// Limits of messages of which fragments are missing.
#define RPCNET_MAX_REASSEMBLY_US    1000000
#define RPCNET_MAX_REASSEMBLY_BYTES ((size_t)16 * 1024 * 1024)
#define RPCNET_BLOCKING_RETRY_US    200000
#define RPCNET_US_PER_MS            1000

struct rpcnet_handler {
    const struct rpcnet_procedure *procedure;
    rpcnet_handler_fn run;
    void *data;
};

// A sent call without a reply yet, in a hash table by xid.
struct rpcnet_pending {
    struct rpcnet *rpcnet;
    struct rpcnet_pending *next;
    struct loop_timer *timer;
    const struct rpcnet_procedure *procedure;
    struct settings_address peer;
    struct buffer message;
    uint32_t xid;
    int64_t deadline_us;
    int64_t retry_us;
    rpcnet_done_fn done;
    void *data;
};

struct rpcnet_request {
    struct rpcnet *rpcnet;
    const struct rpcnet_procedure *procedure;
    struct settings_address peer;
    uint32_t xid;
};

struct rpcnet {
    struct loop *loop;
    struct loop_watch *watch;
    int fd;
    uint32_t last_xid;
    struct datagram_key key;
    struct rpcnet_handler handlers[RPCNET_MAX_PROCEDURES];
    struct rpcnet_pending *pending[RPCNET_PENDING_BUCKETS];
    struct call_queue *waiting;
    struct loop_timer *waiting_timer; // set while calls wait
    struct fragment_set *fragments;
    uint64_t last_message; // number of the last message sent
    uint8_t received[DATAGRAM_MAX_SIZE_BYTES];
};

static int
rpcnet_open_socket(const struct settings_address *local)
{
    struct sockaddr_storage address;
    socklen_t length = address_to_sockaddr(local, &address);
    int size = RPCNET_SOCKET_BUFFER_BYTES;

    if (length == 0) {
        return OUTCOME_INVALID;
    }
    int fd = socket(address.ss_family,
                    SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (fd < 0) {
        return OUTCOME_IO;
    }
    (void)setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &size, sizeof(size));
    (void)setsockopt(fd, SOL_SOCKET, SO_SNDBUF, &size, sizeof(size));
    if (bind(fd, (struct sockaddr *)&address, length) != 0) {
        close(fd);
        return OUTCOME_IO;
    }
    return fd;
}

static int
rpcnet_send_message(struct rpcnet *rpcnet, const struct settings_address *peer,
                    const struct rpcnet_procedure *procedure,
                    const struct buffer *message)
{
    struct sockaddr_storage address;
    socklen_t length = address_to_sockaddr(peer, &address);
    size_t size = buffer_get_size(message);

    if (length == 0) {
        return OUTCOME_INVALID;
    }
    counter_add(COUNTER_RPC_SENT, 1);
    counter_add(COUNTER_RPC_SENT_BYTES, size);
    counter_add(procedure->sent_bytes, size);
    return fragment_send(rpcnet->fd, &address, length, &rpcnet->key,
                         ++rpcnet->last_message, message);
}

static struct rpcnet_pending **
rpcnet_find_pending(struct rpcnet *rpcnet, uint32_t xid)
{
    struct rpcnet_pending **link =
        &rpcnet->pending[xid % RPCNET_PENDING_BUCKETS];

    while (*link != NULL && (*link)->xid != xid) {
        link = &(*link)->next;
    }
    return link;
}

// Removes a pending call from the hash table, calls its callback and frees it.
// link is the pointer in the table that refers to the call.
static void
rpcnet_complete_call(struct rpcnet_pending **link, int outcome,
                     const void *result)
{
    struct rpcnet_pending *pending = *link;

    *link = pending->next;
    pending->done(pending->data, outcome, result);
    loop_timer_destroy(pending->timer);
    buffer_free(&pending->message);
    free(pending);
}

static void
rpcnet_handle_timer(void *data)
{
    struct rpcnet_pending *pending = data;
    struct rpcnet *rpcnet = pending->rpcnet;
    int64_t now_us = loop_get_now_us(rpcnet->loop);

    if (now_us >= pending->deadline_us) {
        rpcnet_complete_call(rpcnet_find_pending(rpcnet, pending->xid),
                             OUTCOME_TIMEOUT, NULL);
        return;
    }
    (void)rpcnet_send_message(rpcnet, &pending->peer, pending->procedure,
                              &pending->message);
    int64_t next_us = now_us + pending->retry_us;
    loop_timer_set(pending->timer, next_us < pending->deadline_us
                                       ? next_us
                                       : pending->deadline_us);
}

// Calls a procedure of a peer. The event loop calls done exactly once, at the
// latest in the first loop iteration after timeout_us. The datagram is
// retransmitted every retry_us until then.
void
rpcnet_call(struct rpcnet *rpcnet, const struct settings_address *peer,
            const struct rpcnet_procedure *procedure, const void *args,
            int64_t timeout_us, int64_t retry_us, rpcnet_done_fn done,
            void *data)
{
    struct rpcnet_pending *pending = xcalloc(1, sizeof(*pending));
    int64_t now_us = monotonic_get_us();

    pending->rpcnet = rpcnet;
    pending->procedure = procedure;
    pending->peer = *peer;
    pending->xid = ++rpcnet->last_xid;
    pending->deadline_us = now_us + timeout_us;
    pending->retry_us = retry_us;
    pending->done = done;
    pending->data = data;
    pending->timer =
        loop_timer_create(rpcnet->loop, rpcnet_handle_timer, pending);
    struct rpcnet_pending **link = rpcnet_find_pending(rpcnet, pending->xid);
    *link = pending;
    int outcome = datagram_encode_call(
        &pending->message, &rpcnet->key, pending->xid, procedure->number,
        timeline_get_hlc(), procedure->args_xdr, args);
    if (outcome != OUTCOME_OK) {
        // A call that cannot be encoded ends with OUTCOME_TIMEOUT in the next
        // loop iteration, so that done is never called from this function.
        pending->deadline_us = now_us;
        loop_timer_set(pending->timer, now_us);
        return;
    }
    (void)rpcnet_send_message(rpcnet, peer, procedure, &pending->message);
    loop_timer_set(pending->timer,
                   now_us + (retry_us < timeout_us ? retry_us : timeout_us));
}

// Sends a call of a one-way procedure once. OUTCOME_OK means that the kernel
// accepted the datagram; the network may still lose it.
int
rpcnet_send(struct rpcnet *rpcnet, const struct settings_address *peer,
            const struct rpcnet_procedure *procedure, const void *args)
{
    struct buffer message = {0};
    int outcome = datagram_encode_call(
        &message, &rpcnet->key, ++rpcnet->last_xid, procedure->number,
        timeline_get_hlc(), procedure->args_xdr, args);

    if (outcome == OUTCOME_OK) {
        outcome = rpcnet_send_message(rpcnet, peer, procedure, &message);
    }
    buffer_free(&message);
    return outcome;
}

static void
rpcnet_send_reply(struct rpcnet_request *request, int accept_status,
                  const void *result)
{
    struct rpcnet *rpcnet = request->rpcnet;
    struct buffer message = {0};
    int outcome = datagram_encode_reply(
        &message, &rpcnet->key, request->xid, accept_status,
        timeline_get_hlc(), request->procedure->result_xdr, result);

    if (outcome != OUTCOME_OK) {
        buffer_clear(&message);
        outcome =
            datagram_encode_reply(&message, &rpcnet->key, request->xid,
                                  SYSTEM_ERR, timeline_get_hlc(), NULL, NULL);
    }
    if (outcome == OUTCOME_OK) {
        (void)rpcnet_send_message(rpcnet, &request->peer, request->procedure,
                                  &message);
    }
    buffer_free(&message);
}

// Sends the result to the caller and frees the request. If the result cannot
// be encoded, the caller gets the RPC status SYSTEM_ERR.
void
rpcnet_reply(struct rpcnet_request *request, const void *result)
{
    rpcnet_send_reply(request, SUCCESS, result);
    free(request);
}

// Returns the address of the caller. The pointer is valid until the request is
// replied to.
const struct settings_address *
rpcnet_request_get_peer(const struct rpcnet_request *request)
{
    return &request->peer;
}

// Records the time since begun_us as that of a procedure's kind of work.
static void
rpcnet_record_time(const struct rpcnet_procedure *procedure, int64_t begun_us)
{
    int64_t now_us = monotonic_get_us();

    work_time_record(procedure->work, now_us, now_us - begun_us);
}

static void
rpcnet_handle_call(struct rpcnet *rpcnet, const struct datagram *datagram,
                   const struct settings_address *peer)
{
    struct rpcnet_handler *handler = NULL;

    if (datagram->procedure < RPCNET_MAX_PROCEDURES) {
        handler = &rpcnet->handlers[datagram->procedure];
    }
    if (handler == NULL || handler->run == NULL) {
        counter_add(COUNTER_RPC_BAD, 1);
        return;
    }
    int64_t begun_us = monotonic_get_us();
    struct rpcnet_request *request = xcalloc(1, sizeof(*request));
    request->rpcnet = rpcnet;
    request->procedure = handler->procedure;
    request->peer = *peer;
    request->xid = datagram->xid;
    void *args = xcalloc(1, handler->procedure->args_size_bytes);
    if (codec_decode(handler->procedure->args_xdr, datagram->body,
                     datagram->body_size_bytes, args) != OUTCOME_OK) {
        counter_add(COUNTER_RPC_BAD, 1);
        free(request);
        free(args);
        return;
    }
    bool one_way = handler->procedure->result_xdr == NULL;
    handler->run(handler->data, request, args);
    if (one_way) {
        free(request);
    }
    codec_free(handler->procedure->args_xdr, args);
    free(args);
    rpcnet_record_time(handler->procedure, begun_us);
}

static void
rpcnet_handle_reply(struct rpcnet *rpcnet, const struct datagram *datagram)
{
    struct rpcnet_pending **link = rpcnet_find_pending(rpcnet, datagram->xid);

    if (*link == NULL) {
        return;
    }
    int64_t begun_us = monotonic_get_us();
    const struct rpcnet_procedure *procedure = (*link)->procedure;
    if (datagram->accept_status != SUCCESS) {
        rpcnet_complete_call(link, OUTCOME_UNAVAILABLE, NULL);
        return;
    }
    void *result = xcalloc(1, procedure->result_size_bytes);
    if (codec_decode(procedure->result_xdr, datagram->body,
                     datagram->body_size_bytes, result) == OUTCOME_OK) {
        rpcnet_complete_call(link, OUTCOME_OK, result);
        codec_free(procedure->result_xdr, result);
    }
    else {
        counter_add(COUNTER_RPC_BAD, 1);
    }
    free(result);
    rpcnet_record_time(procedure, begun_us);
}

// Returns whether a call is to be handled at once.
static bool
rpcnet_is_urgent(const struct rpcnet *rpcnet, const struct datagram *datagram)
{
    return datagram->procedure < RPCNET_MAX_PROCEDURES &&
           rpcnet->handlers[datagram->procedure].procedure != NULL &&
           rpcnet->handlers[datagram->procedure].procedure->is_urgent;
}

// Counts a datagram that is not processed.
static void
rpcnet_count_refused(int outcome)
{
    counter_add(
        outcome == OUTCOME_DENIED ? COUNTER_RPC_DENIED : COUNTER_RPC_BAD, 1);
}

static void
rpcnet_handle_message(struct rpcnet *rpcnet, uint8_t *data, size_t size_bytes,
                      const struct settings_address *peer)
{
    struct datagram datagram;
    int outcome = datagram_decode(data, size_bytes, &rpcnet->key, &datagram);

    if (outcome != OUTCOME_OK) {
        rpcnet_count_refused(outcome);
        return;
    }
    timeline_observe_hlc(datagram.hlc);
    if (!datagram.is_call) {
        rpcnet_handle_reply(rpcnet, &datagram);
    }
    else if (rpcnet_is_urgent(rpcnet, &datagram)) {
        rpcnet_handle_call(rpcnet, &datagram, peer);
    }
    else {
        int64_t now_us = loop_get_now_us(rpcnet->loop);
        call_queue_push(rpcnet->waiting, now_us, peer, &datagram);
        loop_timer_set(rpcnet->waiting_timer, now_us);
    }
}

static void
rpcnet_handle_fragment(struct rpcnet *rpcnet, size_t size_bytes,
                       const struct settings_address *peer)
{
    struct buffer message = {0};
    int outcome = fragment_set_add(
        rpcnet->fragments, loop_get_now_us(rpcnet->loop), peer, &rpcnet->key,
        rpcnet->received, size_bytes, &message);

    if (outcome == OUTCOME_OK) {
        rpcnet_handle_message(rpcnet, message.data + message.start,
                              buffer_get_size(&message), peer);
    }
    else if (outcome != OUTCOME_AGAIN) {
        rpcnet_count_refused(outcome);
    }
    buffer_free(&message);
}

static void
rpcnet_handle_datagram(struct rpcnet *rpcnet, size_t size_bytes,
                       const struct sockaddr_storage *from)
{
    struct settings_address peer;

    counter_add(COUNTER_RPC_RECEIVED, 1);
    counter_add(COUNTER_RPC_RECEIVED_BYTES, size_bytes);
    address_from_sockaddr(from, &peer);
    if (fragment_is_one(rpcnet->received, size_bytes)) {
        rpcnet_handle_fragment(rpcnet, size_bytes, &peer);
    }
    else {
        rpcnet_handle_message(rpcnet, rpcnet->received, size_bytes, &peer);
    }
}

// Handles waiting calls until none is left or RPCNET_CALLS_LIMIT_US have
// passed.
static void
rpcnet_handle_waiting(void *data)
{
    struct rpcnet *rpcnet = data;
    int64_t now_us = monotonic_get_us();
    int64_t until_us = now_us + RPCNET_CALLS_LIMIT_US;
    struct queued_call *call = call_queue_pop(rpcnet->waiting, now_us);

    while (call != NULL) {
        rpcnet_handle_call(rpcnet, &call->datagram, &call->peer);
        free(call);
        now_us = monotonic_get_us();
        if (now_us >= until_us) {
            loop_timer_set(rpcnet->waiting_timer, now_us);
            return;
        }
        call = call_queue_pop(rpcnet->waiting, now_us);
    }
}

static void
rpcnet_handle_readable(void *data, unsigned events)
{
    struct rpcnet *rpcnet = data;

    (void)events;
    for (int i = 0; i < RPCNET_MAX_DATAGRAMS_PER_WAKEUP; i++) {
        struct sockaddr_storage from = {0};
        socklen_t length = sizeof(from);
        ssize_t size =
            recvfrom(rpcnet->fd, rpcnet->received, sizeof(rpcnet->received), 0,
                     (struct sockaddr *)&from, &length);
        if (size < 0) {
            return;
        }
        rpcnet_handle_datagram(rpcnet, (size_t)size, &from);
    }
}

// Opens the socket and binds it to the address local. Returns NULL if the
// socket cannot be opened or bound.
struct rpcnet *
rpcnet_create(struct loop *loop, const struct settings_address *local,
              const struct datagram_key *key)
{
    int fd = rpcnet_open_socket(local);

    if (fd < 0) {
        return NULL;
    }
    struct rpcnet *rpcnet = xcalloc(1, sizeof(*rpcnet));
    rpcnet->loop = loop;
    rpcnet->fd = fd;
    rpcnet->key = *key;
    // xids start at a random number, so that a restarted process does not
    // accept a reply to a call of the previous process.
    (void)RAND_bytes((unsigned char *)&rpcnet->last_xid,
                     sizeof(rpcnet->last_xid));
    (void)RAND_bytes((unsigned char *)&rpcnet->last_message,
                     sizeof(rpcnet->last_message));
    rpcnet->fragments = fragment_set_create(RPCNET_MAX_REASSEMBLY_US,
                                            RPCNET_MAX_REASSEMBLY_BYTES);
    rpcnet->waiting =
        call_queue_create(RPCNET_MAX_WAIT_US, RPCNET_MAX_WAITING_BYTES);
    rpcnet->waiting_timer =
        loop_timer_create(loop, rpcnet_handle_waiting, rpcnet);
    rpcnet->watch =
        loop_watch_create(loop, fd, LOOP_READ, rpcnet_handle_readable, rpcnet);
    return rpcnet;
}

// Ends all pending calls with OUTCOME_CLOSED, closes the socket and frees the
// rpcnet. Requests without a reply must not be passed to rpcnet_reply
// afterwards.
void
rpcnet_destroy(struct rpcnet *rpcnet)
{
    for (size_t i = 0; i < RPCNET_PENDING_BUCKETS; i++) {
        while (rpcnet->pending[i] != NULL) {
            rpcnet_complete_call(&rpcnet->pending[i], OUTCOME_CLOSED, NULL);
        }
    }
    loop_watch_destroy(rpcnet->watch);
    loop_timer_destroy(rpcnet->waiting_timer);
    call_queue_destroy(rpcnet->waiting);
    fragment_set_destroy(rpcnet->fragments);
    close(rpcnet->fd);
    free(rpcnet);
}

// Sets the handler of a procedure; NULL removes it. The args of the handler
// are valid only during the handler call.
void
rpcnet_set_handler(struct rpcnet *rpcnet,
                   const struct rpcnet_procedure *procedure,
                   rpcnet_handler_fn handler, void *data)
{
    INVARIANT(procedure->number < RPCNET_MAX_PROCEDURES);
    rpcnet->handlers[procedure->number].procedure = procedure;
    rpcnet->handlers[procedure->number].run = handler;
    rpcnet->handlers[procedure->number].data = data;
}
