#ifndef CATKINGRADE_RPC_DATAGRAM_H
#define CATKINGRADE_RPC_DATAGRAM_H

#include <rpc/rpc.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/socket.h>

#include "catkingrade/kernel/buffer.h"
#include "catkingrade/kernel/settings.h"

// The largest UDP payload over IPv4.
#define DATAGRAM_MAX_SIZE_BYTES 65507
// The largest message; one that exceeds a datagram is sent in fragments.
#define DATAGRAM_MAX_MESSAGE_BYTES  (4 * 1024 * 1024)
#define DATAGRAM_MAX_KEY_SIZE_BYTES 64
#define DATAGRAM_HMAC_SIZE_BYTES    32

// Encoding, authentication and decoding of one ONC RPC message, which one UDP
// datagram holds unless it is large. Each message carries an HMAC-SHA256 under
// a shared key and the hybrid logical clock (HLC) of its sender.

// The shared key of daemons and operators. size_bytes is 0 if no key is
// configured, as on a loopback address.
struct datagram_key {
    uint8_t bytes[DATAGRAM_MAX_KEY_SIZE_BYTES];
    size_t size_bytes;
};

// A decoded datagram: one ONC RPC call or reply.
struct datagram {
    uint32_t xid;
    bool is_call;
    uint32_t procedure;  // procedure number; calls only
    int accept_status;   // enum accept_stat; replies only
    uint64_t hlc;        // hybrid logical clock of the sender
    const uint8_t *body; // arguments or result in XDR
    size_t body_size_bytes;
};

// Writes the HMAC of a whole datagram at an offset, where it must hold zeros.
void datagram_sign(uint8_t *data, size_t size_bytes, size_t hmac_offset,
                   const struct datagram_key *key);

// Verifies the HMAC of a datagram and overwrites it with zeros.
bool datagram_verify(uint8_t *data, size_t size_bytes, size_t hmac_offset,
                     const struct datagram_key *key);
int datagram_encode_call(struct buffer *out, const struct datagram_key *key,
                         uint32_t xid, uint32_t procedure, uint64_t hlc,
                         xdrproc_t args_xdr, const void *args);
int datagram_encode_reply(struct buffer *out, const struct datagram_key *key,
                          uint32_t xid, int accept_status, uint64_t hlc,
                          xdrproc_t result_xdr, const void *result);
int datagram_decode(uint8_t *data, size_t size_bytes,
                    const struct datagram_key *key, struct datagram *datagram);
int datagram_key_load(const char *path, struct datagram_key *key,
                      struct buffer *errors);

#endif
