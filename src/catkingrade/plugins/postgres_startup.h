#ifndef CATKINGRADE_PLUGINS_POSTGRES_STARTUP_H
#define CATKINGRADE_PLUGINS_POSTGRES_STARTUP_H

#include <stdbool.h>
#include <stdint.h>

#include "catkingrade/plugins/postgres_frame.h"
#include "catkingrade/rpc/messages.h"

// Parses the startup message of a client.

// Request codes that a client sends instead of a protocol version, and the
// supported major version.
#define POSTGRES_CODE_CANCEL    80877102
#define POSTGRES_CODE_SSL       80877103
#define POSTGRES_CODE_GSS       80877104
#define POSTGRES_PROTOCOL_MAJOR 3
#define POSTGRES_TOKEN_SIZE     160

// Parameters of a startup message.
struct postgres_startup {
    char user[CK_NAME_SIZE + 1];
    char database[CK_NAME_SIZE + 1];
    char token[POSTGRES_TOKEN_SIZE];
    bool declared_new;   // the client states that the session is new
    int64_t max_age_us;  // -1: maximum age of the request type
    bool changes_lexing; // see struct classification
    char *settings;      // SET statements for other parameters, or NULL
};

int postgres_startup_read(struct postgres_reader *reader,
                          struct postgres_startup *startup);
void postgres_startup_free(struct postgres_startup *startup);

#endif
