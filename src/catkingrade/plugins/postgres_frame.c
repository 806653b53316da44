#include "catkingrade/plugins/postgres_frame.h"

#include <string.h>

#include "catkingrade/kernel/outcome.h"

#define POSTGRES_LENGTH_BYTES 4

static uint32_t
postgres_frame_get_u32(const uint8_t *data)
{
    return (uint32_t)data[0] << 24 | (uint32_t)data[1] << 16 |
           (uint32_t)data[2] << 8 | (uint32_t)data[3];
}

// Parses the first frame in data. A startup frame has no type byte. The body
// of the frame points into data. Returns OUTCOME_OK; OUTCOME_AGAIN if the
// frame is incomplete; OUTCOME_PROTOCOL if its length field is invalid;
// OUTCOME_TOO_LARGE if its length field exceeds max_size_bytes.
int
postgres_frame_read(const uint8_t *data, size_t size_bytes, bool startup,
                    size_t max_size_bytes, struct postgres_frame *frame)
{
    size_t type_size = startup ? 0 : 1;

    if (size_bytes < type_size + POSTGRES_LENGTH_BYTES) {
        return OUTCOME_AGAIN;
    }
    uint32_t length = postgres_frame_get_u32(data + type_size);
    if (length < POSTGRES_LENGTH_BYTES) {
        return OUTCOME_PROTOCOL;
    }
    if (length > max_size_bytes) {
        return OUTCOME_TOO_LARGE;
    }
    if (size_bytes - type_size < length) {
        return OUTCOME_AGAIN;
    }
    frame->type = startup ? '\0' : (char)data[0];
    frame->body = data + type_size + POSTGRES_LENGTH_BYTES;
    frame->body_size = length - POSTGRES_LENGTH_BYTES;
    frame->frame_size = type_size + length;
    return OUTCOME_OK;
}

// Initializes a reader at the start of a frame's body.
void
postgres_reader_init(struct postgres_reader *reader,
                     const struct postgres_frame *frame)
{
    reader->data = frame->body;
    reader->remaining_bytes = frame->body_size;
    reader->failed = false;
}

// Returns the next size_bytes bytes, which point into the body. Returns NULL
// and sets failed if fewer remain.
const uint8_t *
postgres_reader_get_bytes(struct postgres_reader *reader, size_t size_bytes)
{
    if (reader->failed || size_bytes > reader->remaining_bytes) {
        reader->failed = true;
        return NULL;
    }
    const uint8_t *bytes = reader->data;
    reader->data += size_bytes;
    reader->remaining_bytes -= size_bytes;
    return bytes;
}

// Returns the next byte; 0 with failed set if none remains.
uint8_t
postgres_reader_get_u8(struct postgres_reader *reader)
{
    const uint8_t *bytes = postgres_reader_get_bytes(reader, 1);

    return bytes == NULL ? 0 : bytes[0];
}

// Returns the next big-endian 16-bit integer; 0 with failed set if fewer bytes
// remain.
uint16_t
postgres_reader_get_u16(struct postgres_reader *reader)
{
    const uint8_t *bytes = postgres_reader_get_bytes(reader, 2);

    return bytes == NULL ? 0 : (uint16_t)(bytes[0] << 8 | bytes[1]);
}

// Returns the next big-endian 32-bit integer; 0 with failed set if fewer bytes
// remain.
uint32_t
postgres_reader_get_u32(struct postgres_reader *reader)
{
    const uint8_t *bytes = postgres_reader_get_bytes(reader, 4);

    return bytes == NULL ? 0 : postgres_frame_get_u32(bytes);
}

// Returns the next zero-terminated string, which points into the body. Returns
// an empty string and sets failed if the terminator is missing.
const char *
postgres_reader_get_string(struct postgres_reader *reader)
{
    const uint8_t *end =
        reader->failed || reader->remaining_bytes == 0
            ? NULL
            : memchr(reader->data, 0, reader->remaining_bytes);

    if (end == NULL) {
        reader->failed = true;
        return "";
    }
    size_t size = (size_t)(end - reader->data) + 1;
    return (const char *)postgres_reader_get_bytes(reader, size);
}

// Returns whether the whole body was read without a failed read.
bool
postgres_reader_is_done(const struct postgres_reader *reader)
{
    return !reader->failed && reader->remaining_bytes == 0;
}
