#ifndef CATKINGRADE_KERNEL_BUFFER_H
#define CATKINGRADE_KERNEL_BUFFER_H

#include <stddef.h>
#include <stdint.h>

// A growable byte buffer with a read position. A zero-initialized buffer is
// empty and ready for use.
struct buffer {
    uint8_t *data;
    size_t start; // offset of the first unread byte
    size_t end;   // offset one past the last byte
    size_t capacity;
};

void buffer_free(struct buffer *buffer);
uint8_t *buffer_reserve(struct buffer *buffer, size_t size_bytes);
void buffer_append(struct buffer *buffer, const void *data, size_t size_bytes);
void buffer_append_u8(struct buffer *buffer, uint8_t value);
void buffer_append_be16(struct buffer *buffer, uint16_t value);
void buffer_append_be32(struct buffer *buffer, uint32_t value);
void buffer_append_text(struct buffer *buffer, const char *text);
void buffer_append_format(struct buffer *buffer, const char *format, ...)
    __attribute__((format(printf, 2, 3)));
void buffer_consume(struct buffer *buffer, size_t size_bytes);
void buffer_clear(struct buffer *buffer);

// Returns the number of unread bytes.
static inline size_t
buffer_get_size(const struct buffer *buffer)
{
    return buffer->end - buffer->start;
}

// Returns a pointer to the unread bytes, valid until the buffer is modified.
static inline const uint8_t *
buffer_get_data(const struct buffer *buffer)
{
    return buffer->data + buffer->start;
}

#endif
