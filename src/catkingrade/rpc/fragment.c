#include "catkingrade/rpc/fragment.h"

#include <stdlib.h>
#include <string.h>

#include "catkingrade/kernel/memory.h"
#include "catkingrade/kernel/outcome.h"

// A fragment consists of big-endian numbers, an HMAC of the fragment and a
// part of the message:
//
//     bytes 0-3    0
//     bytes 4-7    FRAGMENT_DIRECTION, where RPC messages have 0 or 1
//     bytes 8-15   number of the message
//     bytes 16-19  size of the message
//     bytes 20-23  index of the fragment
//     bytes 24-55  HMAC; computed while this field is zero
//     bytes 56-    part of the message
#define FRAGMENT_DIRECTION     2
#define FRAGMENT_NUMBER_OFFSET 8
#define FRAGMENT_SIZE_OFFSET   16
#define FRAGMENT_INDEX_OFFSET  20
#define FRAGMENT_HMAC_OFFSET   24
#define FRAGMENT_PART_OFFSET   56
// Size of a part; the last part of a message may be shorter.
#define FRAGMENT_PART_BYTES ((size_t)32768)

// A message of which a part has been received. A set holds them in the order
// of their first fragments.
struct fragment_message {
    struct fragment_message *next;
    struct settings_address peer;
    uint64_t number;
    int64_t received_us; // its first fragment
    uint32_t size_bytes;
    uint32_t missing_count;
    bool *is_received; // by index of the fragment
    uint8_t *data;
};

struct fragment_set {
    int64_t max_age_us;
    size_t max_bytes;
    size_t bytes; // of all messages
    struct fragment_message *first;
};

// The header of a received fragment.
struct fragment {
    uint64_t number;
    uint32_t size_bytes; // of the message
    uint32_t index;
};

static uint32_t
fragment_read_u32(const uint8_t *bytes)
{
    return (uint32_t)bytes[0] << 24 | (uint32_t)bytes[1] << 16 |
           (uint32_t)bytes[2] << 8 | bytes[3];
}

bool
fragment_is_one(const uint8_t *data, size_t size_bytes)
{
    return size_bytes > FRAGMENT_PART_OFFSET &&
           fragment_read_u32(data + 4) == FRAGMENT_DIRECTION;
}

// Returns the number of fragments of a message.
static uint32_t
fragment_get_count(size_t message_size_bytes)
{
    return (uint32_t)((message_size_bytes + FRAGMENT_PART_BYTES - 1) /
                      FRAGMENT_PART_BYTES);
}

// Returns the size of the part in a fragment.
static size_t
fragment_get_part_size(size_t message_size_bytes, uint32_t index)
{
    size_t left = message_size_bytes - (size_t)index * FRAGMENT_PART_BYTES;

    return left < FRAGMENT_PART_BYTES ? left : FRAGMENT_PART_BYTES;
}

// Encodes and signs a fragment of a message into out, which must be empty.
static void
fragment_encode(struct buffer *out, const struct datagram_key *key,
                const struct buffer *message, uint64_t number, uint32_t index)
{
    static const uint8_t no_hmac[DATAGRAM_HMAC_SIZE_BYTES];
    size_t size = buffer_get_size(message);
    const uint8_t *part =
        buffer_get_data(message) + (size_t)index * FRAGMENT_PART_BYTES;

    buffer_append_be32(out, 0);
    buffer_append_be32(out, FRAGMENT_DIRECTION);
    buffer_append_be32(out, (uint32_t)(number >> 32));
    buffer_append_be32(out, (uint32_t)number);
    buffer_append_be32(out, (uint32_t)size);
    buffer_append_be32(out, index);
    buffer_append(out, no_hmac, sizeof(no_hmac));
    buffer_append(out, part, fragment_get_part_size(size, index));
    datagram_sign(out->data + out->start, buffer_get_size(out),
                  FRAGMENT_HMAC_OFFSET, key);
}

static int
fragment_send_datagram(int fd, const struct sockaddr_storage *address,
                       socklen_t length, const struct buffer *datagram)
{
    size_t size = buffer_get_size(datagram);
    ssize_t sent = sendto(fd, buffer_get_data(datagram), size, 0,
                          (const struct sockaddr *)address, length);

    return sent == (ssize_t)size ? OUTCOME_OK : OUTCOME_UNAVAILABLE;
}

int
fragment_send(int fd, const struct sockaddr_storage *address, socklen_t length,
              const struct datagram_key *key, uint64_t number,
              const struct buffer *message)
{
    size_t size = buffer_get_size(message);
    struct buffer fragment = {0};
    int outcome = OUTCOME_OK;

    if (size <= DATAGRAM_MAX_SIZE_BYTES) {
        return fragment_send_datagram(fd, address, length, message);
    }
    for (uint32_t i = 0; outcome == OUTCOME_OK && i < fragment_get_count(size);
         i++) {
        fragment_encode(&fragment, key, message, number, i);
        outcome = fragment_send_datagram(fd, address, length, &fragment);
        buffer_clear(&fragment);
    }
    buffer_free(&fragment);
    return outcome;
}

// Creates an empty set. Messages whose first fragment is older than max_age_us
// are dropped, and the oldest ones when all take more than max_bytes.
struct fragment_set *
fragment_set_create(int64_t max_age_us, size_t max_bytes)
{
    struct fragment_set *set = xcalloc(1, sizeof(*set));

    set->max_age_us = max_age_us;
    set->max_bytes = max_bytes;
    return set;
}

// Removes a message from the set; link is the pointer that refers to it. Its
// data is not freed.
static void
fragment_set_remove(struct fragment_set *set, struct fragment_message **link)
{
    struct fragment_message *message = *link;

    *link = message->next;
    set->bytes -= message->size_bytes;
    free(message->is_received);
    free(message);
}

static void
fragment_set_drop_first(struct fragment_set *set)
{
    free(set->first->data);
    fragment_set_remove(set, &set->first);
}

// Frees the set with the messages in it.
void
fragment_set_destroy(struct fragment_set *set)
{
    while (set->first != NULL) {
        fragment_set_drop_first(set);
    }
    free(set);
}

// Reads and verifies the header of a fragment.
static int
fragment_decode(uint8_t *data, size_t size_bytes,
                const struct datagram_key *key, struct fragment *fragment)
{
    fragment->number =
        (uint64_t)fragment_read_u32(data + FRAGMENT_NUMBER_OFFSET) << 32 |
        fragment_read_u32(data + FRAGMENT_NUMBER_OFFSET + 4);
    fragment->size_bytes = fragment_read_u32(data + FRAGMENT_SIZE_OFFSET);
    fragment->index = fragment_read_u32(data + FRAGMENT_INDEX_OFFSET);
    if (fragment->size_bytes > DATAGRAM_MAX_MESSAGE_BYTES ||
        fragment->index >= fragment_get_count(fragment->size_bytes) ||
        size_bytes - FRAGMENT_PART_OFFSET !=
            fragment_get_part_size(fragment->size_bytes, fragment->index)) {
        return OUTCOME_PROTOCOL;
    }
    return datagram_verify(data, size_bytes, FRAGMENT_HMAC_OFFSET, key)
               ? OUTCOME_OK
               : OUTCOME_DENIED;
}

// Returns the pointer that refers to the message of a fragment, or to the end
// of the list if it is the first one received.
static struct fragment_message **
fragment_set_find(struct fragment_set *set,
                  const struct settings_address *peer,
                  const struct fragment *fragment)
{
    struct fragment_message **link = &set->first;

    while (*link != NULL) {
        const struct fragment_message *message = *link;
        if (message->number == fragment->number &&
            message->size_bytes == fragment->size_bytes &&
            message->peer.port == peer->port &&
            strcmp(message->peer.host, peer->host) == 0) {
            return link;
        }
        link = &(*link)->next;
    }
    return link;
}

static struct fragment_message *
fragment_set_add_message(struct fragment_set *set, int64_t now_us,
                         const struct settings_address *peer,
                         const struct fragment *fragment)
{
    struct fragment_message *message = xcalloc(1, sizeof(*message));

    message->peer = *peer;
    message->number = fragment->number;
    message->received_us = now_us;
    message->size_bytes = fragment->size_bytes;
    message->missing_count = fragment_get_count(fragment->size_bytes);
    message->is_received = xcalloc(message->missing_count, sizeof(bool));
    message->data = xmalloc(fragment->size_bytes);
    set->bytes += fragment->size_bytes;
    return message;
}

// Drops messages that are too old or take too much memory.
static void
fragment_set_trim(struct fragment_set *set, int64_t now_us, size_t added_bytes)
{
    while (set->first != NULL &&
           (now_us - set->first->received_us > set->max_age_us ||
            set->bytes + added_bytes > set->max_bytes)) {
        fragment_set_drop_first(set);
    }
}

// Adds a received fragment; its HMAC in data is overwritten. Returns
// OUTCOME_OK if it completes a message, which is then appended to message;
// OUTCOME_AGAIN if fragments are missing; OUTCOME_PROTOCOL if it is not valid;
// OUTCOME_DENIED if the HMAC does not match the key.
int
fragment_set_add(struct fragment_set *set, int64_t now_us,
                 const struct settings_address *peer,
                 const struct datagram_key *key, uint8_t *data,
                 size_t size_bytes, struct buffer *message)
{
    struct fragment fragment;
    int outcome = fragment_decode(data, size_bytes, key, &fragment);

    if (outcome != OUTCOME_OK) {
        return outcome;
    }
    fragment_set_trim(set, now_us, 0);
    struct fragment_message **link = fragment_set_find(set, peer, &fragment);
    struct fragment_message *found = *link;
    if (found == NULL) {
        fragment_set_trim(set, now_us, fragment.size_bytes);
        found = fragment_set_add_message(set, now_us, peer, &fragment);
        link = fragment_set_find(set, peer, &fragment);
        *link = found;
    }
    if (!found->is_received[fragment.index]) {
        found->is_received[fragment.index] = true;
        found->missing_count--;
        memcpy(found->data + (size_t)fragment.index * FRAGMENT_PART_BYTES,
               data + FRAGMENT_PART_OFFSET, size_bytes - FRAGMENT_PART_OFFSET);
    }
    if (found->missing_count > 0) {
        return OUTCOME_AGAIN;
    }
    buffer_append(message, found->data, found->size_bytes);
    free(found->data);
    fragment_set_remove(set, link);
    return OUTCOME_OK;
}
