#ifndef CATKINGRADE_PLUGINS_POSTGRES_FRAME_H
#define CATKINGRADE_PLUGINS_POSTGRES_FRAME_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

// Framing of the messages that a client sends in the PostgreSQL protocol,
// version 3, and a reader of message bodies. Both work on memory only and
// never read beyond it.

// Limits of a message's length field, by phase of the session.
#define POSTGRES_STARTUP_MESSAGE_MAX_BYTES  10000
#define POSTGRES_PASSWORD_MESSAGE_MAX_BYTES 65536
#define POSTGRES_MESSAGE_MAX_BYTES          (64 * 1024 * 1024)

// One message of the client.
struct postgres_frame {
    char type; // 0: startup message, which has no type byte
    const uint8_t *body;
    size_t body_size;
    size_t frame_size; // bytes of the whole frame
};

int postgres_frame_read(const uint8_t *data, size_t size_bytes, bool startup,
                        size_t max_size_bytes, struct postgres_frame *frame);

// Position in a message body. A read past the end sets failed and returns 0,
// NULL or an empty string, and so do all reads after it.
struct postgres_reader {
    const uint8_t *data;
    size_t remaining_bytes;
    bool failed;
};

void postgres_reader_init(struct postgres_reader *reader,
                          const struct postgres_frame *frame);
uint8_t postgres_reader_get_u8(struct postgres_reader *reader);
uint16_t postgres_reader_get_u16(struct postgres_reader *reader);
uint32_t postgres_reader_get_u32(struct postgres_reader *reader);
const char *postgres_reader_get_string(struct postgres_reader *reader);
const uint8_t *postgres_reader_get_bytes(struct postgres_reader *reader,
                                         size_t size_bytes);
bool postgres_reader_is_done(const struct postgres_reader *reader);

#endif
