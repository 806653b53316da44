#include "catkingrade/plugins/libpq_encode.h"

#include "catkingrade/kernel/memory.h"
#include "catkingrade/plugins/postgres_message.h"

// Fields of an error or a notice. libpq's code of a field is also its type
// byte in the protocol.
static const int libpq_diagnostic_fields[] = {
    PG_DIAG_SEVERITY,           PG_DIAG_SEVERITY_NONLOCALIZED,
    PG_DIAG_SQLSTATE,           PG_DIAG_MESSAGE_PRIMARY,
    PG_DIAG_MESSAGE_DETAIL,     PG_DIAG_MESSAGE_HINT,
    PG_DIAG_STATEMENT_POSITION, PG_DIAG_INTERNAL_POSITION,
    PG_DIAG_INTERNAL_QUERY,     PG_DIAG_CONTEXT,
    PG_DIAG_SCHEMA_NAME,        PG_DIAG_TABLE_NAME,
    PG_DIAG_COLUMN_NAME,        PG_DIAG_DATATYPE_NAME,
    PG_DIAG_CONSTRAINT_NAME,    PG_DIAG_SOURCE_FILE,
    PG_DIAG_SOURCE_LINE,        PG_DIAG_SOURCE_FUNCTION,
};

// Appends RowDescription. format is the format code of all columns: 0 for
// text, 1 for binary, -1 for the codes of the result.
void
libpq_encode_row_description(const PGresult *result, int format,
                             struct buffer *out)
{
    int count = PQnfields(result);
    size_t length_offset = postgres_message_begin(out, 'T');

    buffer_append_be16(out, (uint16_t)count);
    for (int i = 0; i < count; i++) {
        postgres_message_add_string(out, PQfname(result, i));
        buffer_append_be32(out, PQftable(result, i));
        buffer_append_be16(out, (uint16_t)PQftablecol(result, i));
        buffer_append_be32(out, PQftype(result, i));
        buffer_append_be16(out, (uint16_t)PQfsize(result, i));
        buffer_append_be32(out, (uint32_t)PQfmod(result, i));
        buffer_append_be16(
            out, (uint16_t)(format < 0 ? PQfformat(result, i) : format));
    }
    postgres_message_end(out, length_offset);
}

// Appends ParameterDescription for the result of a Describe.
void
libpq_encode_parameter_description(const PGresult *result, struct buffer *out)
{
    int count = PQnparams(result);
    size_t length_offset = postgres_message_begin(out, 't');

    buffer_append_be16(out, (uint16_t)count);
    for (int i = 0; i < count; i++) {
        buffer_append_be32(out, PQparamtype(result, i));
    }
    postgres_message_end(out, length_offset);
}

// Appends one row of the result as DataRow.
void
libpq_encode_data_row(const PGresult *result, int row, struct buffer *out)
{
    int count = PQnfields(result);
    size_t length_offset = postgres_message_begin(out, 'D');

    buffer_append_be16(out, (uint16_t)count);
    for (int i = 0; i < count; i++) {
        if (PQgetisnull(result, row, i)) {
            buffer_append_be32(out, UINT32_MAX);
            continue;
        }
        size_t size = (size_t)PQgetlength(result, row, i);
        buffer_append_be32(out, (uint32_t)size);
        buffer_append(out, PQgetvalue(result, row, i), size);
    }
    postgres_message_end(out, length_offset);
}

// Appends ErrorResponse (type E) or NoticeResponse (type N).
void
libpq_encode_diagnostic(const PGresult *result, char type, struct buffer *out)
{
    size_t length_offset = postgres_message_begin(out, type);

    for (size_t i = 0; i < ARRAY_SIZE(libpq_diagnostic_fields); i++) {
        const char *text =
            PQresultErrorField(result, libpq_diagnostic_fields[i]);
        if (text != NULL) {
            buffer_append_u8(out, (uint8_t)libpq_diagnostic_fields[i]);
            postgres_message_add_string(out, text);
        }
    }
    buffer_append_u8(out, 0);
    postgres_message_end(out, length_offset);
}
