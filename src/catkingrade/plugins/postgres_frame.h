#ifndef CATKINGRADE_PLUGINS_POSTGRES_FRAME_H
#define CATKINGRADE_PLUGINS_POSTGRES_FRAME_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define POSTGRES_STARTUP_MESSAGE_MAX_BYTES  10000
#define POSTGRES_PASSWORD_MESSAGE_MAX_BYTES 65536
#define POSTGRES_MESSAGE_MAX_BYTES          (64 * 1024 * 1024)

// Framing of frontend messages: pure, with bounded sizes.
struct postgres_frame {
    char type; // 0 at startup
    const uint8_t *body;
    size_t body_size;
    size_t frame_size; // bytes to consume
};

// Returns OUTCOME_OK, OUTCOME_AGAIN when more bytes are needed,
// OUTCOME_PROTOCOL or OUTCOME_TOO_LARGE.
int postgres_frame_read(const uint8_t *data, size_t size_bytes, bool startup,
                        size_t max_size_bytes, struct postgres_frame *frame);

// Reads values from a body; a read past its end sets failed and gives 0.
struct postgres_reader {
    const uint8_t *data;
    size_t left;
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
