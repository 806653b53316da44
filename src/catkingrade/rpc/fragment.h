#ifndef CATKINGRADE_RPC_FRAGMENT_H
#define CATKINGRADE_RPC_FRAGMENT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/socket.h>

#include "catkingrade/kernel/buffer.h"
#include "catkingrade/kernel/settings.h"
#include "catkingrade/rpc/datagram.h"

// Fragments of RPC messages that do not fit into one datagram, and their
// reassembly. A message is split into fragments of equal size. Each carries
// the number of its message and an HMAC of its own, so that only senders with
// the shared key can occupy memory. A message with a lost fragment is not
// reassembled; its sender retransmits all of it, under another number.

// Returns whether a received datagram is a fragment.
bool fragment_is_one(const uint8_t *data, size_t size_bytes);

// Sends a message in one datagram, or in fragments if it does not fit into
// one. number distinguishes the messages of a sender. An address of NULL
// stands for the peer that the socket is connected to. OUTCOME_UNAVAILABLE if
// the kernel does not accept all of it.
int fragment_send(int fd, const struct sockaddr_storage *address,
                  socklen_t length, const struct datagram_key *key,
                  uint64_t number, const struct buffer *message);

// Messages of which a part has been received.
struct fragment_set;

struct fragment_set *fragment_set_create(int64_t max_age_us, size_t max_bytes);
void fragment_set_destroy(struct fragment_set *set);
int fragment_set_add(struct fragment_set *set, int64_t now_us,
                     const struct settings_address *peer,
                     const struct datagram_key *key, uint8_t *data,
                     size_t size_bytes, struct buffer *message);

#endif
