#include "catkingrade/plugins/postgres_message.h"

#include <arpa/inet.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>

#define POSTGRES_OID_TEXT        25
#define POSTGRES_ERROR_TEXT_SIZE 512
#define POSTGRES_TYPMOD_NONE     UINT32_MAX
#define POSTGRES_TYPLEN_VARIABLE UINT16_MAX

// Begins a message and returns its place for postgres_message_end.
size_t
postgres_message_begin(struct buffer *out, char type)
{
    buffer_append_u8(out, (uint8_t)type);
    size_t place = buffer_get_size(out);
    buffer_append_be32(out, 0);
    return place;
}

// Ends a message: writes its length.
void
postgres_message_end(struct buffer *out, size_t place)
{
    uint32_t wire = htonl((uint32_t)(buffer_get_size(out) - place));

    memcpy(out->data + out->start + place, &wire, sizeof(wire));
}

// Appends text with its final zero byte.
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
    size_t place = postgres_message_begin(out, 'Z');

    buffer_append_u8(out, (uint8_t)status);
    postgres_message_end(out, place);
}

// Appends CommandComplete.
void
postgres_message_add_complete(struct buffer *out, const char *tag)
{
    size_t place = postgres_message_begin(out, 'C');

    postgres_message_add_string(out, tag);
    postgres_message_end(out, place);
}

// Appends ParameterStatus.
void
postgres_message_add_parameter(struct buffer *out, const char *name,
                               const char *value)
{
    size_t place = postgres_message_begin(out, 'S');

    postgres_message_add_string(out, name);
    postgres_message_add_string(out, value);
    postgres_message_end(out, place);
}

// Appends an Authentication message with its code and data.
void
postgres_message_add_authentication(struct buffer *out, uint32_t code,
                                    const void *data, size_t size_bytes)
{
    size_t place = postgres_message_begin(out, 'R');

    buffer_append_be32(out, code);
    buffer_append(out, data, size_bytes);
    postgres_message_end(out, place);
}

// Appends BackendKeyData.
void
postgres_message_add_backend_key(struct buffer *out, uint32_t id,
                                 uint32_t secret)
{
    size_t place = postgres_message_begin(out, 'K');

    buffer_append_be32(out, id);
    buffer_append_be32(out, secret);
    postgres_message_end(out, place);
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
    size_t place = postgres_message_begin(out, type);

    postgres_message_add_field(out, 'S', severity);
    postgres_message_add_field(out, 'V', severity);
    postgres_message_add_field(out, 'C', sqlstate);
    postgres_message_add_field(out, 'M', text);
    if (detail != NULL) {
        postgres_message_add_field(out, 'D', detail);
    }
    buffer_append_u8(out, 0);
    postgres_message_end(out, place);
}

// Appends ErrorResponse with severity ERROR or FATAL; detail may be NULL.
void
postgres_message_add_error(struct buffer *out, const char *severity,
                           const char *sqlstate, const char *detail,
                           const char *format, ...)
{
    char text[POSTGRES_ERROR_TEXT_SIZE];
    va_list args;

    va_start(args, format);
    (void)vsnprintf(text, sizeof(text), format, args);
    va_end(args);
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

// Appends RowDescription of one column of type text.
void
postgres_message_add_text_column(struct buffer *out, const char *name)
{
    size_t place = postgres_message_begin(out, 'T');

    buffer_append_be16(out, 1);
    postgres_message_add_string(out, name);
    buffer_append_be32(out, 0);
    buffer_append_be16(out, 0);
    buffer_append_be32(out, POSTGRES_OID_TEXT);
    buffer_append_be16(out, POSTGRES_TYPLEN_VARIABLE);
    buffer_append_be32(out, POSTGRES_TYPMOD_NONE);
    buffer_append_be16(out, 0);
    postgres_message_end(out, place);
}

// Appends DataRow of one column.
void
postgres_message_add_text_row(struct buffer *out, const char *value)
{
    size_t place = postgres_message_begin(out, 'D');

    buffer_append_be16(out, 1);
    buffer_append_be32(out, (uint32_t)strlen(value));
    buffer_append_text(out, value);
    postgres_message_end(out, place);
}
