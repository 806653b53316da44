#ifndef CATKINGRADE_RPC_DATAGRAM_H
#define CATKINGRADE_RPC_DATAGRAM_H

#include <rpc/rpc.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/socket.h>

#include "catkingrade/kernel/buffer.h"
#include "catkingrade/kernel/settings.h"

#define DATAGRAM_MAX_SIZE_BYTES     65507
#define DATAGRAM_MAX_KEY_SIZE_BYTES 64

// The shared key of daemons and operators; size 0 on loopback without a key.
struct datagram_key {
    uint8_t bytes[DATAGRAM_MAX_KEY_SIZE_BYTES];
    size_t size_bytes;
};

// One ONC RPC message as it stands in a datagram.
struct datagram {
    uint32_t xid;
    bool is_call;
    uint32_t procedure;  // of a call
    int accept_status;   // of a reply: enum accept_stat
    uint64_t hlc;        // the sender's hybrid logical clock
    const uint8_t *body; // XDR of arguments or result
    size_t body_size_bytes;
};

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
