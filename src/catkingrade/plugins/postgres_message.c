#include "catkingrade/plugins/postgres_message.h"

#include <arpa/inet.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>

#define POSTGRES_OID_TEXT        25
#define POSTGRES_ERROR_TEXT_SIZE 512
#define POSTGRES_TYPMOD_NONE     UINT32_MAX
#define POSTGRES_TYPLEN_VARIABLE UINT16_MAX

// Appends the type of a message and reserves its length field. Returns the
// offset of the length field, for postgres_message_end.
size_t
postgres_message_begin(struct buffer *out, char type)
{
    buffer_append_u8(out, (uint8_t)type);
    size_t length_offset = buffer_get_size(out);
    buffer_append_be32(out, 0);
    return length_offset;
}

// Ends a message: writes its length into the field at length_offset.
void
postgres_message_end(struct buffer *out, size_t length_offset)
{
    uint32_t wire = htonl((uint32_t)(buffer_get_size(out) - length_offset));

    memcpy(out->data + out->start + length_offset, &wire, sizeof(wire));
}

// Appends text with its terminating zero byte.
void
postgres_message_add_string(struct buffer *out, const char *text)
{
    buffer_append(out, text, strlen(text) + 1);
}

// Appends a message without a body.
void
postgres_message_add_empty(struct buffer *out, char type)
{
    postgres_message_end(out, postgres_message_begin(out, type));
}

// Appends ReadyForQuery with the transaction status I, T or E.
void
postgres_message_add_ready(struct buffer *out, char status)
{
    size_t length_offset = postgres_message_begin(out, 'Z');

    buffer_append_u8(out, (uint8_t)status);
    postgres_message_end(out, length_offset);
}

// Appends CommandComplete.
void
postgres_message_add_complete(struct buffer *out, const char *tag)
{
    size_t length_offset = postgres_message_begin(out, 'C');

    postgres_message_add_string(out, tag);
    postgres_message_end(out, length_offset);
}

// Appends ParameterStatus.
void
postgres_message_add_parameter(struct buffer *out, const char *name,
                               const char *value)
{
    size_t length_offset = postgres_message_begin(out, 'S');

    postgres_message_add_string(out, name);
    postgres_message_add_string(out, value);
    postgres_message_end(out, length_offset);
}

// Appends an Authentication message with the authentication code and data.
void
postgres_message_add_authentication(struct buffer *out, uint32_t code,
                                    const void *data, size_t size_bytes)
{
    size_t length_offset = postgres_message_begin(out, 'R');

    buffer_append_be32(out, code);
    buffer_append(out, data, size_bytes);
    postgres_message_end(out, length_offset);
}

// Appends BackendKeyData.
void
postgres_message_add_backend_key(struct buffer *out, uint32_t id,
                                 uint32_t secret)
{
    size_t length_offset = postgres_message_begin(out, 'K');

    buffer_append_be32(out, id);
    buffer_append_be32(out, secret);
    postgres_message_end(out, length_offset);
}

static void
postgres_message_add_field(struct buffer *out, char field, const char *text)
{
    buffer_append_u8(out, (uint8_t)field);
    postgres_message_add_string(out, text);
}

static void
postgres_message_add_error_or_notice(struct buffer *out, char type,
                                     const char *severity,
                                     const char *sqlstate, const char *detail,
                                     const char *text)
{
    size_t length_offset = postgres_message_begin(out, type);

    postgres_message_add_field(out, 'S', severity);
    postgres_message_add_field(out, 'V', severity);
    postgres_message_add_field(out, 'C', sqlstate);
    postgres_message_add_field(out, 'M', text);
    if (detail != NULL) {
        postgres_message_add_field(out, 'D', detail);
    }
    buffer_append_u8(out, 0);
    postgres_message_end(out, length_offset);
}

// Removes an incomplete UTF-8 character from the end of a text that was cut.
static void
postgres_message_trim_character(char *text)
{
    size_t length = strlen(text);
    size_t start = length;

    while (start > 0 && ((unsigned char)text[start - 1] & 0xc0) == 0x80) {
        start--;
    }
    if (start == 0 || (unsigned char)text[start - 1] < 0xc0) {
        return;
    }
    unsigned char first = (unsigned char)text[start - 1];
    size_t size = first < 0xe0 ? 2 : first < 0xf0 ? 3 : 4;
    if (length - start + 1 < size) {
        text[start - 1] = '\0';
    }
}

// Appends ErrorResponse. severity is ERROR or FATAL, and detail may be NULL.
// The formatted message is truncated to POSTGRES_ERROR_TEXT_SIZE - 1 bytes.
void
postgres_message_add_error(struct buffer *out, const char *severity,
                           const char *sqlstate, const char *detail,
                           const char *format, ...)
{
    char text[POSTGRES_ERROR_TEXT_SIZE];
    va_list args;

    va_start(args, format);
    int size = vsnprintf(text, sizeof(text), format, args);
    va_end(args);
    if (size < 0 || (size_t)size >= sizeof(text)) {
        postgres_message_trim_character(text);
    }
    postgres_message_add_error_or_notice(out, 'E', severity, sqlstate, detail,
                                         text);
}

// Appends NoticeResponse with severity WARNING.
void
postgres_message_add_warning(struct buffer *out, const char *sqlstate,
                             const char *text)
{
    postgres_message_add_error_or_notice(out, 'N', "WARNING", sqlstate, NULL,
                                         text);
}

// Appends RowDescription of a single column of type text.
void
postgres_message_add_text_column(struct buffer *out, const char *name)
{
    size_t length_offset = postgres_message_begin(out, 'T');

    buffer_append_be16(out, 1);
    postgres_message_add_string(out, name);
    buffer_append_be32(out, 0);
    buffer_append_be16(out, 0);
    buffer_append_be32(out, POSTGRES_OID_TEXT);
    buffer_append_be16(out, POSTGRES_TYPLEN_VARIABLE);
    buffer_append_be32(out, POSTGRES_TYPMOD_NONE);
    buffer_append_be16(out, 0);
    postgres_message_end(out, length_offset);
}

// Appends DataRow of a single column in text format.
void
postgres_message_add_text_row(struct buffer *out, const char *value)
{
    size_t length_offset = postgres_message_begin(out, 'D');

    buffer_append_be16(out, 1);
    buffer_append_be32(out, (uint32_t)strlen(value));
    buffer_append_text(out, value);
    postgres_message_end(out, length_offset);
}
