#ifndef CATKINGRADE_PLUGINS_POSTGRES_MESSAGE_H
#define CATKINGRADE_PLUGINS_POSTGRES_MESSAGE_H

#include <stddef.h>
#include <stdint.h>

#include "catkingrade/kernel/buffer.h"

// Builds the messages that the server side sends in the PostgreSQL protocol,
// version 3. All functions append to an output buffer.

// SQLSTATEs of errors that the entry itself reports.
#define SQLSTATE_UNKNOWN_OUTCOME     "08007"
#define SQLSTATE_PROTOCOL            "08P01"
#define SQLSTATE_NOT_SUPPORTED       "0A000"
#define SQLSTATE_INVALID_TEXT        "22021"
#define SQLSTATE_INVALID_VALUE       "22023"
#define SQLSTATE_NO_TRANSACTION      "25P01"
#define SQLSTATE_FAILED_TRANSACTION  "25P02"
#define SQLSTATE_NO_STATEMENT        "26000"
#define SQLSTATE_AUTH_DENIED         "28000"
#define SQLSTATE_PASSWORD_WRONG      "28P01"
#define SQLSTATE_NO_PORTAL           "34000"
#define SQLSTATE_NO_DATABASE         "3D000"
#define SQLSTATE_NO_PARAMETER        "42704"
#define SQLSTATE_DUPLICATE_STATEMENT "42P05"
#define SQLSTATE_LIMIT               "53300"
#define SQLSTATE_TOO_LARGE           "54000"
#define SQLSTATE_CANCELLED           "57014"
#define SQLSTATE_SHUTDOWN            "57P01"
#define SQLSTATE_UNAVAILABLE         "57P03"
#define SQLSTATE_WARNING             "01000"

size_t postgres_message_begin(struct buffer *out, char type);
void postgres_message_end(struct buffer *out, size_t length_offset);
void postgres_message_add_string(struct buffer *out, const char *text);
void postgres_message_add_empty(struct buffer *out, char type);
void postgres_message_add_ready(struct buffer *out, char status);
void postgres_message_add_complete(struct buffer *out, const char *tag);
void postgres_message_add_parameter(struct buffer *out, const char *name,
                                    const char *value);
void postgres_message_add_authentication(struct buffer *out, uint32_t code,
                                         const void *data, size_t size_bytes);
void postgres_message_add_backend_key(struct buffer *out, uint32_t id,
                                      uint32_t secret);
void postgres_message_add_error(struct buffer *out, const char *severity,
                                const char *sqlstate, const char *detail,
                                const char *format, ...)
    __attribute__((format(printf, 5, 6)));
void postgres_message_add_warning(struct buffer *out, const char *sqlstate,
                                  const char *text);
void postgres_message_add_text_column(struct buffer *out, const char *name);
void postgres_message_add_text_row(struct buffer *out, const char *value);

#endif
