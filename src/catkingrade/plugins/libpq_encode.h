#ifndef CATKINGRADE_PLUGINS_LIBPQ_ENCODE_H
#define CATKINGRADE_PLUGINS_LIBPQ_ENCODE_H

#include <libpq-fe.h>
#include <stdint.h>

#include "catkingrade/kernel/buffer.h"

// Re-encodes results of libpq as backend messages.
void libpq_encode_row_description(const PGresult *result, int format,
                                  struct buffer *out);
void libpq_encode_parameter_description(const PGresult *result,
                                        struct buffer *out);
void libpq_encode_data_row(const PGresult *result, int row,
                           struct buffer *out);
void libpq_encode_diagnostic(const PGresult *result, char type,
                             struct buffer *out);

#endif
