#include "catkingrade/kernel/buffer.h"

#include <arpa/inet.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "catkingrade/kernel/memory.h"

#define BUFFER_MIN_CAPACITY_BYTES 256

// Frees the memory. The buffer is then empty and may be used again.
void
buffer_free(struct buffer *buffer)
{
    free(buffer->data);
    memset(buffer, 0, sizeof(*buffer));
}

// Ensures free space for size_bytes after the last byte and returns a pointer
// to that space. The caller advances buffer->end by the number of bytes that
// it has written. May move the data.
uint8_t *
buffer_reserve(struct buffer *buffer, size_t size_bytes)
{
    if (buffer->end + size_bytes <= buffer->capacity) {
        return buffer->data + buffer->end;
    }
    size_t unread = buffer_get_size(buffer);
    if (buffer->start > 0) {
        memmove(buffer->data, buffer->data + buffer->start, unread);
        buffer->start = 0;
        buffer->end = unread;
    }
    size_t capacity =
        buffer->capacity == 0 ? BUFFER_MIN_CAPACITY_BYTES : buffer->capacity;
    while (capacity < unread + size_bytes) {
        capacity *= 2;
    }
    if (capacity != buffer->capacity) {
        buffer->data = xrealloc(buffer->data, capacity);
        buffer->capacity = capacity;
    }
    return buffer->data + buffer->end;
}

void
buffer_append(struct buffer *buffer, const void *data, size_t size_bytes)
{
    if (size_bytes == 0) {
        return;
    }
    memcpy(buffer_reserve(buffer, size_bytes), data, size_bytes);
    buffer->end += size_bytes;
}

void
buffer_append_u8(struct buffer *buffer, uint8_t value)
{
    buffer_append(buffer, &value, sizeof(value));
}

// Appends a 16-bit integer in network byte order.
void
buffer_append_be16(struct buffer *buffer, uint16_t value)
{
    uint16_t wire = htons(value);

    buffer_append(buffer, &wire, sizeof(wire));
}

// Appends a 32-bit integer in network byte order.
void
buffer_append_be32(struct buffer *buffer, uint32_t value)
{
    uint32_t wire = htonl(value);

    buffer_append(buffer, &wire, sizeof(wire));
}

// Appends a string without its terminating zero byte.
void
buffer_append_text(struct buffer *buffer, const char *text)
{
    buffer_append(buffer, text, strlen(text));
}

// Appends a printf-formatted string without a terminating zero byte.
void
buffer_append_format(struct buffer *buffer, const char *format, ...)
{
    va_list args;

    va_start(args, format);
    int length = vsnprintf(NULL, 0, format, args);
    va_end(args);
    INVARIANT(length >= 0);
    size_t size = (size_t)length;
    char *text = (char *)buffer_reserve(buffer, size + 1);
    va_start(args, format);
    (void)vsnprintf(text, size + 1, format, args);
    va_end(args);
    buffer->end += size;
}

// Removes size_bytes from the front. Aborts if the buffer holds fewer unread
// bytes.
void
buffer_consume(struct buffer *buffer, size_t size_bytes)
{
    INVARIANT(size_bytes <= buffer_get_size(buffer));
    buffer->start += size_bytes;
    if (buffer->start == buffer->end) {
        buffer_clear(buffer);
    }
}

// Discards all bytes and keeps the allocated memory.
void
buffer_clear(struct buffer *buffer)
{
    buffer->start = 0;
    buffer->end = 0;
}
