#include <openssl/rand.h>
#include <poll.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <unistd.h>

#include "catkingrade/kernel/address.h"
#include "catkingrade/kernel/memory.h"
#include "catkingrade/kernel/outcome.h"
#include "catkingrade/kernel/timeline.h"
#include "catkingrade/rpc/codec.h"
#include "catkingrade/rpc/fragment.h"
#include "catkingrade/rpc/rpcnet.h"

// Calls that block their thread, for the command-line tool.

#define RPCNET_BLOCKING_RETRY_US    200000
#define RPCNET_MAX_REASSEMBLY_BYTES ((size_t)16 * 1024 * 1024)
#define RPCNET_US_PER_MS            1000

// Waits for one datagram until until_us (monotonic time). Returns its size, or
// 0 if no datagram arrived.
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

// A call that blocks its thread.
struct rpcnet_blocking {
    int fd; // connected to the peer
    const struct settings_address *peer;
    const struct datagram_key *key;
    const struct rpcnet_procedure *procedure;
    uint32_t xid;
    struct fragment_set *fragments;
    void *result;
};

// Decodes a message. Returns OUTCOME_TIMEOUT if it is not the reply to the
// call, else the outcome of the call.
static int
rpcnet_decode_blocking(struct rpcnet_blocking *call, uint8_t *data,
                       size_t size_bytes)
{
    struct datagram reply;

    if (datagram_decode(data, size_bytes, call->key, &reply) != OUTCOME_OK ||
        reply.is_call || reply.xid != call->xid) {
        return OUTCOME_TIMEOUT;
    }
    if (reply.accept_status != SUCCESS) {
        return OUTCOME_UNAVAILABLE;
    }
    return codec_decode(call->procedure->result_xdr, reply.body,
                        reply.body_size_bytes, call->result);
}

// Handles a received datagram. Returns as rpcnet_decode_blocking.
static int
rpcnet_receive_blocking(struct rpcnet_blocking *call, uint8_t *data,
                        size_t size_bytes)
{
    struct buffer message = {0};
    int outcome = OUTCOME_TIMEOUT;

    if (!fragment_is_one(data, size_bytes)) {
        return rpcnet_decode_blocking(call, data, size_bytes);
    }
    if (fragment_set_add(call->fragments, monotonic_get_us(), call->peer,
                         call->key, data, size_bytes,
                         &message) == OUTCOME_OK) {
        outcome = rpcnet_decode_blocking(call, message.data + message.start,
                                         buffer_get_size(&message));
    }
    buffer_free(&message);
    return outcome;
}

// Sends a call and waits for its reply. Retransmits the call every
// RPCNET_BLOCKING_RETRY_US until the deadline.
static int
rpcnet_exchange(struct rpcnet_blocking *call, const struct buffer *message,
                int64_t deadline_us)
{
    uint8_t *data = xmalloc(DATAGRAM_MAX_SIZE_BYTES);
    uint64_t number = 0;
    int outcome = OUTCOME_TIMEOUT;

    (void)RAND_bytes((unsigned char *)&number, sizeof(number));
    while (outcome == OUTCOME_TIMEOUT && monotonic_get_us() < deadline_us) {
        (void)fragment_send(call->fd, NULL, 0, call->key, ++number, message);
        int64_t until_us = monotonic_get_us() + RPCNET_BLOCKING_RETRY_US;
        until_us = until_us < deadline_us ? until_us : deadline_us;
        size_t size = 0;
        while (outcome == OUTCOME_TIMEOUT &&
               (size = rpcnet_wait_datagram(call->fd, until_us, data)) > 0) {
            outcome = rpcnet_receive_blocking(call, data, size);
        }
    }
    free(data);
    return outcome;
}

// Calls a procedure and blocks the thread until the reply arrives or
// timeout_us has passed; for the command-line tool. The caller zeroes result
// before the call and frees its members with codec_free after OUTCOME_OK.
// Returns OUTCOME_OK, OUTCOME_TIMEOUT (the procedure may have run), or another
// error.
int
rpcnet_call_blocking(const struct settings_address *peer,
                     const struct datagram_key *key,
                     const struct rpcnet_procedure *procedure,
                     const void *args, void *result, int64_t timeout_us)
{
    struct sockaddr_storage address;
    socklen_t length = address_to_sockaddr(peer, &address);
    struct rpcnet_blocking call = {
        .peer = peer, .key = key, .procedure = procedure, .result = result};
    struct buffer message = {0};

    if (length == 0) {
        return OUTCOME_INVALID;
    }
    call.fd = socket(address.ss_family,
                     SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (call.fd < 0) {
        return OUTCOME_IO;
    }
    (void)RAND_bytes((unsigned char *)&call.xid, sizeof(call.xid));
    call.fragments =
        fragment_set_create(timeout_us, RPCNET_MAX_REASSEMBLY_BYTES);
    int outcome =
        datagram_encode_call(&message, key, call.xid, procedure->number,
                             timeline_get_hlc(), procedure->args_xdr, args);
    if (outcome == OUTCOME_OK &&
        connect(call.fd, (struct sockaddr *)&address, length) != 0) {
        outcome = OUTCOME_UNAVAILABLE;
    }
    if (outcome == OUTCOME_OK) {
        outcome =
            rpcnet_exchange(&call, &message, monotonic_get_us() + timeout_us);
    }
    buffer_free(&message);
    fragment_set_destroy(call.fragments);
    close(call.fd);
    return outcome;
}
