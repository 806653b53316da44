#include "catkingrade/rpc/datagram.h"

#include <arpa/inet.h>
#include <errno.h>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <stdlib.h>
#include <string.h>

#include "catkingrade/kernel/file.h"
#include "catkingrade/kernel/memory.h"
#include "catkingrade/kernel/outcome.h"
#include "catkingrade/rpc/codec.h"
#include "catkingrade/rpc/messages.h"

// The RPC authentication flavor of catkingrade, from the private range. A call
// carries the HLC as its credential and the HMAC as its verifier. A reply
// carries both in its verifier. The sizes are fixed, so the offsets of the
// HLC, the HMAC and the body are constants.
#define DATAGRAM_AUTH_FLAVOR        0x434b0001
#define DATAGRAM_HLC_SIZE_BYTES     8
#define DATAGRAM_CALL_HLC_OFFSET    32
#define DATAGRAM_CALL_HMAC_OFFSET   48
#define DATAGRAM_CALL_BODY_OFFSET   80
#define DATAGRAM_REPLY_HMAC_OFFSET  20
#define DATAGRAM_REPLY_HLC_OFFSET   52
#define DATAGRAM_REPLY_BODY_OFFSET  64
#define DATAGRAM_MIN_KEY_SIZE_BYTES 16
#define DATAGRAM_MAX_KEY_FILE_BYTES 4096

// Encodes or decodes an empty result. libtirpc's xdr_replymsg processes header
// and result together; the datagram body is processed separately.
static bool_t
datagram_xdr_void(XDR *stream, ...)
{
    (void)stream;
    return TRUE;
}

static void
datagram_write_hlc(uint8_t *dest, uint64_t hlc)
{
    for (int i = 0; i < DATAGRAM_HLC_SIZE_BYTES; i++) {
        dest[i] = (uint8_t)(hlc >> (56 - 8 * i));
    }
}

static uint64_t
datagram_read_hlc(const uint8_t *bytes)
{
    uint64_t hlc = 0;

    for (int i = 0; i < DATAGRAM_HLC_SIZE_BYTES; i++) {
        hlc = hlc << 8 | bytes[i];
    }
    return hlc;
}

// Computes the HMAC of a whole datagram. The HMAC field in the datagram must
// contain zeros.
static void
datagram_compute_hmac(const uint8_t *data, size_t size_bytes,
                      const struct datagram_key *key,
                      uint8_t hmac[DATAGRAM_HMAC_SIZE_BYTES])
{
    unsigned length = DATAGRAM_HMAC_SIZE_BYTES;
    const unsigned char *result =
        HMAC(EVP_sha256(), key->bytes, (int)key->size_bytes, data, size_bytes,
             hmac, &length);

    INVARIANT(result != NULL);
}

void
datagram_sign(uint8_t *data, size_t size_bytes, size_t hmac_offset,
              const struct datagram_key *key)
{
    uint8_t hmac[DATAGRAM_HMAC_SIZE_BYTES];

    datagram_compute_hmac(data, size_bytes, key, hmac);
    memcpy(data + hmac_offset, hmac, sizeof(hmac));
}

static int
datagram_append_header(struct buffer *out, struct rpc_msg *message,
                       size_t size_bytes)
{
    XDR stream;
    uint8_t *dest = buffer_reserve(out, size_bytes);
    bool_t encoded = FALSE;

    xdrmem_create(&stream, (char *)dest, (u_int)size_bytes, XDR_ENCODE);
    if (message->rm_direction == CALL) {
        encoded = xdr_callmsg(&stream, message);
    }
    else {
        encoded = xdr_replymsg(&stream, message);
    }
    if (!encoded || xdr_getpos(&stream) != size_bytes) {
        return OUTCOME_INVALID;
    }
    out->end += size_bytes;
    return OUTCOME_OK;
}

static int
datagram_append_body(struct buffer *out, xdrproc_t xdr, const void *object)
{
    if (xdr == NULL) {
        return OUTCOME_OK;
    }
    int outcome = codec_encode(xdr, object, out);
    if (outcome != OUTCOME_OK) {
        return outcome;
    }
    return buffer_get_size(out) > DATAGRAM_MAX_MESSAGE_BYTES
               ? OUTCOME_TOO_LARGE
               : OUTCOME_OK;
}

// Encodes and signs a call into out, which must be empty. Returns OUTCOME_OK,
// OUTCOME_TOO_LARGE if the message exceeds DATAGRAM_MAX_MESSAGE_BYTES, or
// OUTCOME_INVALID if a string or list in args is longer than its type allows.
int
datagram_encode_call(struct buffer *out, const struct datagram_key *key,
                     uint32_t xid, uint32_t procedure, uint64_t hlc,
                     xdrproc_t args_xdr, const void *args)
{
    struct rpc_msg message = {.rm_xid = xid, .rm_direction = CALL};
    char clock[DATAGRAM_HLC_SIZE_BYTES];
    char hmac[DATAGRAM_HMAC_SIZE_BYTES] = {0};

    datagram_write_hlc((uint8_t *)clock, hlc);
    message.rm_call.cb_rpcvers = RPC_MSG_VERSION;
    message.rm_call.cb_prog = CK_PROGRAM;
    message.rm_call.cb_vers = CK_VERSION;
    message.rm_call.cb_proc = procedure;
    message.rm_call.cb_cred.oa_flavor = DATAGRAM_AUTH_FLAVOR;
    message.rm_call.cb_cred.oa_base = clock;
    message.rm_call.cb_cred.oa_length = sizeof(clock);
    message.rm_call.cb_verf.oa_flavor = DATAGRAM_AUTH_FLAVOR;
    message.rm_call.cb_verf.oa_base = hmac;
    message.rm_call.cb_verf.oa_length = sizeof(hmac);
    int outcome =
        datagram_append_header(out, &message, DATAGRAM_CALL_BODY_OFFSET);
    if (outcome == OUTCOME_OK) {
        outcome = datagram_append_body(out, args_xdr, args);
    }
    if (outcome == OUTCOME_OK) {
        datagram_sign(out->data + out->start, buffer_get_size(out),
                      DATAGRAM_CALL_HMAC_OFFSET, key);
    }
    return outcome;
}

// Encodes and signs a reply into out, which must be empty. The result is
// encoded only if accept_status is SUCCESS. Returns the same outcomes as
// datagram_encode_call.
int
datagram_encode_reply(struct buffer *out, const struct datagram_key *key,
                      uint32_t xid, int accept_status, uint64_t hlc,
                      xdrproc_t result_xdr, const void *result)
{
    struct rpc_msg message = {.rm_xid = xid, .rm_direction = REPLY};
    char verifier[DATAGRAM_HMAC_SIZE_BYTES + DATAGRAM_HLC_SIZE_BYTES] = {0};

    datagram_write_hlc((uint8_t *)verifier + DATAGRAM_HMAC_SIZE_BYTES, hlc);
    message.rm_reply.rp_stat = MSG_ACCEPTED;
    message.acpted_rply.ar_verf.oa_flavor = DATAGRAM_AUTH_FLAVOR;
    message.acpted_rply.ar_verf.oa_base = verifier;
    message.acpted_rply.ar_verf.oa_length = sizeof(verifier);
    message.acpted_rply.ar_stat = (enum accept_stat)accept_status;
    message.acpted_rply.ar_results.proc = datagram_xdr_void;
    int outcome =
        datagram_append_header(out, &message, DATAGRAM_REPLY_BODY_OFFSET);
    if (outcome == OUTCOME_OK && accept_status == SUCCESS) {
        outcome = datagram_append_body(out, result_xdr, result);
    }
    if (outcome == OUTCOME_OK) {
        datagram_sign(out->data + out->start, buffer_get_size(out),
                      DATAGRAM_REPLY_HMAC_OFFSET, key);
    }
    return outcome;
}

bool
datagram_verify(uint8_t *data, size_t size_bytes, size_t hmac_offset,
                const struct datagram_key *key)
{
    uint8_t claimed[DATAGRAM_HMAC_SIZE_BYTES];
    uint8_t computed[DATAGRAM_HMAC_SIZE_BYTES];

    memcpy(claimed, data + hmac_offset, sizeof(claimed));
    memset(data + hmac_offset, 0, sizeof(claimed));
    datagram_compute_hmac(data, size_bytes, key, computed);
    return CRYPTO_memcmp(claimed, computed, sizeof(claimed)) == 0;
}

static int
datagram_decode_call(uint8_t *data, size_t size_bytes,
                     const struct datagram_key *key, struct datagram *datagram)
{
    char credential[MAX_AUTH_BYTES];
    char verifier[MAX_AUTH_BYTES];
    struct rpc_msg message = {0};
    XDR stream;

    if (size_bytes < DATAGRAM_CALL_BODY_OFFSET) {
        return OUTCOME_PROTOCOL;
    }
    message.rm_call.cb_cred.oa_base = credential;
    message.rm_call.cb_verf.oa_base = verifier;
    xdrmem_create(&stream, (char *)data, (u_int)size_bytes, XDR_DECODE);
    if (!xdr_callmsg(&stream, &message) ||
        xdr_getpos(&stream) != DATAGRAM_CALL_BODY_OFFSET ||
        message.rm_call.cb_prog != CK_PROGRAM ||
        message.rm_call.cb_vers != CK_VERSION ||
        message.rm_call.cb_cred.oa_length != DATAGRAM_HLC_SIZE_BYTES ||
        message.rm_call.cb_verf.oa_length != DATAGRAM_HMAC_SIZE_BYTES) {
        return OUTCOME_PROTOCOL;
    }
    if (!datagram_verify(data, size_bytes, DATAGRAM_CALL_HMAC_OFFSET, key)) {
        return OUTCOME_DENIED;
    }
    datagram->xid = message.rm_xid;
    datagram->is_call = true;
    datagram->procedure = (uint32_t)message.rm_call.cb_proc;
    datagram->hlc = datagram_read_hlc(data + DATAGRAM_CALL_HLC_OFFSET);
    datagram->body = data + DATAGRAM_CALL_BODY_OFFSET;
    datagram->body_size_bytes = size_bytes - DATAGRAM_CALL_BODY_OFFSET;
    return OUTCOME_OK;
}

static int
datagram_decode_reply(uint8_t *data, size_t size_bytes,
                      const struct datagram_key *key,
                      struct datagram *datagram)
{
    char verifier[MAX_AUTH_BYTES];
    struct rpc_msg message = {0};
    XDR stream;

    if (size_bytes < DATAGRAM_REPLY_BODY_OFFSET) {
        return OUTCOME_PROTOCOL;
    }
    message.acpted_rply.ar_verf.oa_base = verifier;
    message.acpted_rply.ar_results.proc = datagram_xdr_void;
    xdrmem_create(&stream, (char *)data, (u_int)size_bytes, XDR_DECODE);
    if (!xdr_replymsg(&stream, &message) ||
        xdr_getpos(&stream) != DATAGRAM_REPLY_BODY_OFFSET ||
        message.rm_reply.rp_stat != MSG_ACCEPTED ||
        message.acpted_rply.ar_verf.oa_length !=
            DATAGRAM_HMAC_SIZE_BYTES + DATAGRAM_HLC_SIZE_BYTES) {
        return OUTCOME_PROTOCOL;
    }
    if (!datagram_verify(data, size_bytes, DATAGRAM_REPLY_HMAC_OFFSET, key)) {
        return OUTCOME_DENIED;
    }
    datagram->xid = message.rm_xid;
    datagram->is_call = false;
    datagram->accept_status = (int)message.acpted_rply.ar_stat;
    datagram->hlc = datagram_read_hlc(data + DATAGRAM_REPLY_HLC_OFFSET);
    datagram->body = data + DATAGRAM_REPLY_BODY_OFFSET;
    datagram->body_size_bytes = size_bytes - DATAGRAM_REPLY_BODY_OFFSET;
    return OUTCOME_OK;
}

// Decodes and verifies a datagram. Overwrites its HMAC in data with zeros;
// datagram->body points into data. Returns OUTCOME_OK, OUTCOME_PROTOCOL if the
// bytes are not a call or an accepted reply of this protocol version, or
// OUTCOME_DENIED if the HMAC does not match the key.
int
datagram_decode(uint8_t *data, size_t size_bytes,
                const struct datagram_key *key, struct datagram *datagram)
{
    uint32_t direction = 0;

    memset(datagram, 0, sizeof(*datagram));
    if (size_bytes < 2 * sizeof(direction)) {
        return OUTCOME_PROTOCOL;
    }
    memcpy(&direction, data + sizeof(direction), sizeof(direction));
    if (ntohl(direction) == CALL) {
        return datagram_decode_call(data, size_bytes, key, datagram);
    }
    return datagram_decode_reply(data, size_bytes, key, datagram);
}

// Reads the shared key from the first line of a file, without its line break.
// An empty path gives the empty key. On an error, appends one line of text to
// errors and returns OUTCOME_INVALID for a key of a wrong length, or the
// outcome of reading the file.
int
datagram_key_load(const char *path, struct datagram_key *key,
                  struct buffer *errors)
{
    char *text = NULL;

    memset(key, 0, sizeof(*key));
    if (path[0] == '\0') {
        return OUTCOME_OK;
    }
    int outcome = file_read_text(path, DATAGRAM_MAX_KEY_FILE_BYTES, &text);
    if (outcome != OUTCOME_OK) {
        buffer_append_format(errors, "%s: cannot be read: %s\n", path,
                             strerror(errno));
        return outcome;
    }
    size_t length = strcspn(text, "\r\n");
    if (length < DATAGRAM_MIN_KEY_SIZE_BYTES || length > sizeof(key->bytes)) {
        buffer_append_format(errors,
                             "%s: the first line must hold a key of %d to "
                             "%zu characters\n",
                             path, DATAGRAM_MIN_KEY_SIZE_BYTES,
                             sizeof(key->bytes));
        outcome = OUTCOME_INVALID;
    }
    else {
        memcpy(key->bytes, text, length);
        key->size_bytes = length;
    }
    OPENSSL_cleanse(text, strlen(text));
    free(text);
    return outcome;
}
