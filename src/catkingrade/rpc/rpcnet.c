#include "catkingrade/rpc/rpcnet.h"
#include "catkingrade/kernel/address.h"

#include <openssl/rand.h>
#include <poll.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "catkingrade/kernel/counters.h"
#include "catkingrade/kernel/memory.h"
#include "catkingrade/kernel/outcome.h"
#include "catkingrade/kernel/timeline.h"
#include "catkingrade/rpc/codec.h"

#define RPCNET_MAX_PROCEDURES           16
#define RPCNET_PENDING_BUCKETS          1024
#define RPCNET_SOCKET_BUFFER_BYTES      (4 * 1024 * 1024)
#define RPCNET_MAX_DATAGRAMS_PER_WAKEUP 256
#define RPCNET_BLOCKING_RETRY_US        200000
#define RPCNET_US_PER_MS                1000

struct rpcnet_handler {
    const struct rpcnet_procedure *types;
    rpcnet_handler_fn run;
    void *data;
};

// A call that waits for its reply.
struct rpcnet_pending {
    struct rpcnet *rpcnet;
    struct rpcnet_pending *next;
    struct loop_timer *timer;
    const struct rpcnet_procedure *types;
    struct settings_address peer;
    struct buffer datagram;
    uint32_t xid;
    int64_t deadline_us;
    int64_t retry_us;
    rpcnet_done_fn done;
    void *data;
};

struct rpcnet_request {
    struct rpcnet *rpcnet;
    const struct rpcnet_procedure *types;
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
    uint8_t received[DATAGRAM_MAX_SIZE_BYTES];
};

#define RPCNET_PROCEDURE(name, number, args, result)                          \
    const struct rpcnet_procedure rpcnet_##name = {                           \
        number, (xdrproc_t)xdr_##args, sizeof(args), (xdrproc_t)xdr_##result, \
        sizeof(result)}

RPCNET_PROCEDURE(renew, CK_RENEW, ck_renew_args, ck_renew_result);
RPCNET_PROCEDURE(notify, CK_NOTIFY, ck_notify_args, ck_notify_result);
RPCNET_PROCEDURE(apply, CK_APPLY, ck_apply_args, ck_apply_result);
RPCNET_PROCEDURE(query, CK_QUERY, ck_query_args, ck_query_result);
RPCNET_PROCEDURE(command, CK_COMMAND, ck_command_args, ck_command_result);
RPCNET_PROCEDURE(read_declaration, CK_READ_DECLARATION,
                 ck_read_declaration_args, ck_read_declaration_result);
const struct rpcnet_procedure rpcnet_raft = {
    CK_RAFT, (xdrproc_t)xdr_ck_raft_message, sizeof(ck_raft_message), NULL, 0};

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
rpcnet_send_datagram(struct rpcnet *rpcnet,
                     const struct settings_address *peer,
                     const struct buffer *datagram)
{
    struct sockaddr_storage address;
    socklen_t length = address_to_sockaddr(peer, &address);
    size_t size = buffer_get_size(datagram);

    if (length == 0) {
        return OUTCOME_INVALID;
    }
    counter_add(COUNTER_RPC_SENT, 1);
    counter_add(COUNTER_RPC_SENT_BYTES, size);
    ssize_t sent = sendto(rpcnet->fd, buffer_get_data(datagram), size, 0,
                          (struct sockaddr *)&address, length);
    return sent == (ssize_t)size ? OUTCOME_OK : OUTCOME_UNAVAILABLE;
}

static struct rpcnet_pending **
rpcnet_find_pending(struct rpcnet *rpcnet, uint32_t xid)
{
    struct rpcnet_pending **place =
        &rpcnet->pending[xid % RPCNET_PENDING_BUCKETS];

    while (*place != NULL && (*place)->xid != xid) {
        place = &(*place)->next;
    }
    return place;
}

// Takes a call out of the table and frees it after its done callback.
static void
rpcnet_complete_call(struct rpcnet_pending **place, int outcome,
                     const void *result)
{
    struct rpcnet_pending *pending = *place;

    *place = pending->next;
    pending->done(pending->data, outcome, result);
    loop_timer_destroy(pending->timer);
    buffer_free(&pending->datagram);
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
    (void)rpcnet_send_datagram(rpcnet, &pending->peer, &pending->datagram);
    int64_t next_us = now_us + pending->retry_us;
    loop_timer_set(pending->timer, next_us < pending->deadline_us
                                       ? next_us
                                       : pending->deadline_us);
}

// Calls a procedure; done is called exactly once, from the loop, within
// timeout_us or a turn of the loop after it. The datagram is sent again each
// retry_us.
void
rpcnet_call(struct rpcnet *rpcnet, const struct settings_address *peer,
            const struct rpcnet_procedure *types, const void *args,
            int64_t timeout_us, int64_t retry_us, rpcnet_done_fn done,
            void *data)
{
    struct rpcnet_pending *pending = xcalloc(1, sizeof(*pending));
    int64_t now_us = monotonic_get_us();

    pending->rpcnet = rpcnet;
    pending->types = types;
    pending->peer = *peer;
    pending->xid = ++rpcnet->last_xid;
    pending->deadline_us = now_us + timeout_us;
    pending->retry_us = retry_us;
    pending->done = done;
    pending->data = data;
    pending->timer =
        loop_timer_create(rpcnet->loop, rpcnet_handle_timer, pending);
    struct rpcnet_pending **place = rpcnet_find_pending(rpcnet, pending->xid);
    *place = pending;
    int outcome = datagram_encode_call(
        &pending->datagram, &rpcnet->key, pending->xid, types->procedure,
        timeline_get_hlc(), types->args_xdr, args);
    if (outcome != OUTCOME_OK) {
        // What cannot be sent ends at the next turn like a lost call.
        pending->deadline_us = now_us;
        loop_timer_set(pending->timer, now_us);
        return;
    }
    (void)rpcnet_send_datagram(rpcnet, peer, &pending->datagram);
    loop_timer_set(pending->timer,
                   now_us + (retry_us < timeout_us ? retry_us : timeout_us));
}

// Sends a call and expects no reply. Returns OUTCOME_OK once it was handed to
// the network, which may still lose it.
int
rpcnet_send(struct rpcnet *rpcnet, const struct settings_address *peer,
            const struct rpcnet_procedure *types, const void *args)
{
    struct buffer datagram = {0};
    int outcome = datagram_encode_call(
        &datagram, &rpcnet->key, ++rpcnet->last_xid, types->procedure,
        timeline_get_hlc(), types->args_xdr, args);

    if (outcome == OUTCOME_OK) {
        outcome = rpcnet_send_datagram(rpcnet, peer, &datagram);
    }
    buffer_free(&datagram);
    return outcome;
}

static void
rpcnet_send_reply(struct rpcnet_request *request, int accept_status,
                  const void *result)
{
    struct rpcnet *rpcnet = request->rpcnet;
    struct buffer datagram = {0};
    int outcome = datagram_encode_reply(&datagram, &rpcnet->key, request->xid,
                                        accept_status, timeline_get_hlc(),
                                        request->types->result_xdr, result);

    if (outcome != OUTCOME_OK) {
        buffer_clear(&datagram);
        outcome =
            datagram_encode_reply(&datagram, &rpcnet->key, request->xid,
                                  SYSTEM_ERR, timeline_get_hlc(), NULL, NULL);
    }
    if (outcome == OUTCOME_OK) {
        (void)rpcnet_send_datagram(rpcnet, &request->peer, &datagram);
    }
    buffer_free(&datagram);
}

// Sends the result to the caller and frees the request.
void
rpcnet_reply(struct rpcnet_request *request, const void *result)
{
    rpcnet_send_reply(request, SUCCESS, result);
    free(request);
}

// Returns where the request came from; valid until the reply.
const struct settings_address *
rpcnet_request_get_peer(const struct rpcnet_request *request)
{
    return &request->peer;
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
    struct rpcnet_request *request = xcalloc(1, sizeof(*request));
    request->rpcnet = rpcnet;
    request->types = handler->types;
    request->peer = *peer;
    request->xid = datagram->xid;
    void *args = xcalloc(1, handler->types->args_size_bytes);
    if (codec_decode(handler->types->args_xdr, datagram->body,
                     datagram->body_size_bytes, args) != OUTCOME_OK) {
        counter_add(COUNTER_RPC_BAD, 1);
        free(request);
        free(args);
        return;
    }
    bool one_way = handler->types->result_xdr == NULL;
    handler->run(handler->data, request, args);
    if (one_way) {
        free(request);
    }
    codec_free(handler->types->args_xdr, args);
    free(args);
}

static void
rpcnet_handle_reply(struct rpcnet *rpcnet, const struct datagram *datagram)
{
    struct rpcnet_pending **place = rpcnet_find_pending(rpcnet, datagram->xid);

    if (*place == NULL) {
        return;
    }
    const struct rpcnet_procedure *types = (*place)->types;
    if (datagram->accept_status != SUCCESS) {
        rpcnet_complete_call(place, OUTCOME_UNAVAILABLE, NULL);
        return;
    }
    void *result = xcalloc(1, types->result_size_bytes);
    if (codec_decode(types->result_xdr, datagram->body,
                     datagram->body_size_bytes, result) == OUTCOME_OK) {
        rpcnet_complete_call(place, OUTCOME_OK, result);
        codec_free(types->result_xdr, result);
    }
    else {
        counter_add(COUNTER_RPC_BAD, 1);
    }
    free(result);
}

static void
rpcnet_handle_datagram(struct rpcnet *rpcnet, size_t size_bytes,
                       const struct sockaddr_storage *from)
{
    struct datagram datagram;
    struct settings_address peer;

    counter_add(COUNTER_RPC_RECEIVED, 1);
    counter_add(COUNTER_RPC_RECEIVED_BYTES, size_bytes);
    int outcome =
        datagram_decode(rpcnet->received, size_bytes, &rpcnet->key, &datagram);
    if (outcome != OUTCOME_OK) {
        counter_add(outcome == OUTCOME_DENIED ? COUNTER_RPC_DENIED
                                              : COUNTER_RPC_BAD,
                    1);
        return;
    }
    timeline_observe_hlc(datagram.hlc);
    address_from_sockaddr(from, &peer);
    if (datagram.is_call) {
        rpcnet_handle_call(rpcnet, &datagram, &peer);
    }
    else {
        rpcnet_handle_reply(rpcnet, &datagram);
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

// Opens the socket at local. Returns NULL when it cannot be bound.
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
    // A restarted process must not take a reply meant for the one before.
    (void)RAND_bytes((unsigned char *)&rpcnet->last_xid,
                     sizeof(rpcnet->last_xid));
    rpcnet->watch =
        loop_watch_create(loop, fd, LOOP_READ, rpcnet_handle_readable, rpcnet);
    return rpcnet;
}

// Ends all waiting calls with OUTCOME_CLOSED and frees everything; requests
// without a reply must not be replied to afterwards.
void
rpcnet_destroy(struct rpcnet *rpcnet)
{
    for (size_t i = 0; i < RPCNET_PENDING_BUCKETS; i++) {
        while (rpcnet->pending[i] != NULL) {
            rpcnet_complete_call(&rpcnet->pending[i], OUTCOME_CLOSED, NULL);
        }
    }
    loop_watch_destroy(rpcnet->watch);
    close(rpcnet->fd);
    free(rpcnet);
}

// Registers the handler of a procedure. args are valid during the call only.
void
rpcnet_set_handler(struct rpcnet *rpcnet, const struct rpcnet_procedure *types,
                   rpcnet_handler_fn handler, void *data)
{
    INVARIANT(types->procedure < RPCNET_MAX_PROCEDURES);
    rpcnet->handlers[types->procedure].types = types;
    rpcnet->handlers[types->procedure].run = handler;
    rpcnet->handlers[types->procedure].data = data;
}

// Waits for one datagram until the moment given. Returns its size, 0 when
// none came.
static size_t
rpcnet_wait_datagram(int fd, int64_t until_us, uint8_t *data)
{
    struct pollfd poll_fd = {.fd = fd, .events = POLLIN};
    int64_t wait_us = until_us - monotonic_get_us();
    int wait_ms = wait_us <= 0 ? 0 : (int)(wait_us / RPCNET_US_PER_MS) + 1;

    if (poll(&poll_fd, 1, wait_ms) <= 0) {
        return 0;
    }
    ssize_t size = recv(fd, data, DATAGRAM_MAX_SIZE_BYTES, 0);
    return size < 0 ? 0 : (size_t)size;
}

// Sends the call and waits for its reply, sending again until the deadline.
static int
rpcnet_exchange(int fd, const struct buffer *call, uint32_t xid,
                const struct datagram_key *key,
                const struct rpcnet_procedure *types, void *result,
                int64_t deadline_us)
{
    uint8_t *data = xmalloc(DATAGRAM_MAX_SIZE_BYTES);
    struct datagram reply;
    int outcome = OUTCOME_TIMEOUT;

    while (outcome == OUTCOME_TIMEOUT && monotonic_get_us() < deadline_us) {
        (void)send(fd, buffer_get_data(call), buffer_get_size(call), 0);
        int64_t until_us = monotonic_get_us() + RPCNET_BLOCKING_RETRY_US;
        until_us = until_us < deadline_us ? until_us : deadline_us;
        size_t size = 0;
        while ((size = rpcnet_wait_datagram(fd, until_us, data)) > 0) {
            if (datagram_decode(data, size, key, &reply) != OUTCOME_OK ||
                reply.is_call || reply.xid != xid) {
                continue;
            }
            outcome = reply.accept_status != SUCCESS
                          ? OUTCOME_UNAVAILABLE
                          : codec_decode(types->result_xdr, reply.body,
                                         reply.body_size_bytes, result);
            break;
        }
    }
    free(data);
    return outcome;
}

// Calls a procedure and blocks the thread until its reply or timeout_us, for
// the command-line tool. result must be zeroed; free it with codec_free after
// OUTCOME_OK. Returns OUTCOME_OK, OUTCOME_TIMEOUT (the call may have been
// run), or another error.
int
rpcnet_call_blocking(const struct settings_address *peer,
                     const struct datagram_key *key,
                     const struct rpcnet_procedure *types, const void *args,
                     void *result, int64_t timeout_us)
{
    struct sockaddr_storage address;
    socklen_t length = address_to_sockaddr(peer, &address);
    struct buffer call = {0};
    uint32_t xid = 0;

    if (length == 0) {
        return OUTCOME_INVALID;
    }
    int fd = socket(address.ss_family,
                    SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (fd < 0) {
        return OUTCOME_IO;
    }
    (void)RAND_bytes((unsigned char *)&xid, sizeof(xid));
    int outcome =
        datagram_encode_call(&call, key, xid, types->procedure,
                             timeline_get_hlc(), types->args_xdr, args);
    if (outcome == OUTCOME_OK &&
        connect(fd, (struct sockaddr *)&address, length) != 0) {
        outcome = OUTCOME_UNAVAILABLE;
    }
    if (outcome == OUTCOME_OK) {
        outcome = rpcnet_exchange(fd, &call, xid, key, types, result,
                                  monotonic_get_us() + timeout_us);
    }
    buffer_free(&call);
    close(fd);
    return outcome;
}
