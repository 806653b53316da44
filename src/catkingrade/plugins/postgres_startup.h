#ifndef CATKINGRADE_PLUGINS_POSTGRES_STARTUP_H
#define CATKINGRADE_PLUGINS_POSTGRES_STARTUP_H

#include <stdbool.h>
#include <stdint.h>

#include "catkingrade/plugins/postgres_frame.h"
#include "catkingrade/rpc/messages.h"

#define POSTGRES_CODE_CANCEL    80877102
#define POSTGRES_CODE_SSL       80877103
#define POSTGRES_CODE_GSS       80877104
#define POSTGRES_PROTOCOL_MAJOR 3
#define POSTGRES_TOKEN_SIZE     160

// What a client asks for at its start.
struct postgres_startup {
    char user[CK_NAME_SIZE + 1];
    char database[CK_NAME_SIZE + 1];
    char token[POSTGRES_TOKEN_SIZE];
    bool declared_new;
    int64_t max_age_us; // -1: the template's
    char *settings;     // SET statements for the other parameters, or NULL
};

// Reads a startup message after its protocol number. Returns OUTCOME_OK, or
// OUTCOME_PROTOCOL when it is not valid. Free it either way.
int postgres_startup_read(struct postgres_reader *reader,
                          struct postgres_startup *startup);
void postgres_startup_free(struct postgres_startup *startup);

#endif
