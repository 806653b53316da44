#include "catkingrade/entry/upstream_error.h"

#include <string.h>

#define UPSTREAM_ERROR_TOO_MANY_CONNECTIONS " 53300: "

// Makes the messages of a connection that is being opened carry SQLSTATEs,
// which libpq gives in no other way before the connection stands.
void
upstream_error_enable_sqlstate(PGconn *conn)
{
    (void)PQsetErrorVerbosity(conn, PQERRORS_VERBOSE);
}

// Returns whether the server itself refused the connection because it has too
// many: it lives, whatever else is wrong.
bool
upstream_error_is_too_many_connections(const PGconn *conn)
{
    return strstr(PQerrorMessage(conn), UPSTREAM_ERROR_TOO_MANY_CONNECTIONS) !=
           NULL;
}
