#ifndef CATKINGRADE_ENTRY_UPSTREAM_ERROR_H
#define CATKINGRADE_ENTRY_UPSTREAM_ERROR_H

#include <libpq-fe.h>
#include <stdbool.h>

void upstream_error_enable_sqlstate(PGconn *conn);
bool upstream_error_is_too_many_connections(const PGconn *conn);

#endif
