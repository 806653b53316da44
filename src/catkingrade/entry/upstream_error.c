#include "catkingrade/entry/upstream_error.h"

#include <string.h>

// SQLSTATE too_many_connections, as it appears in a verbose error message.
#define UPSTREAM_ERROR_TOO_MANY_CONNECTIONS " 53300: "

// Makes the error messages of a connection contain the SQLSTATE. While a
// connection is being opened, libpq provides the SQLSTATE in no other way.
void
upstream_error_enable_sqlstate(PGconn *conn)
{
    (void)PQsetErrorVerbosity(conn, PQERRORS_VERBOSE);
}

// Returns whether the server refused the connection because its connection
// limit was reached. Such a server is alive.
bool
upstream_error_is_too_many_connections(const PGconn *conn)
{
    return strstr(PQerrorMessage(conn), UPSTREAM_ERROR_TOO_MANY_CONNECTIONS) !=
           NULL;
}
