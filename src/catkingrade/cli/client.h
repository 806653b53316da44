#ifndef CATKINGRADE_CLI_CLIENT_H
#define CATKINGRADE_CLI_CLIENT_H

#include <json-c/json.h>
#include <stdint.h>

#include "catkingrade/cli/cli.h"
#include "catkingrade/rpc/messages.h"

// Calls to the daemons: each goes on within the time limit, from one daemon
// to the next and to the leader that an answer names.
struct cli_client;

int cli_client_open(const struct cli_options *options,
                    struct cli_client **client);
void cli_client_close(struct cli_client *client);

// Each returns OUTCOME_OK when there was an answer, and then the result is to
// be freed with codec_free; OUTCOME_UNKNOWN when a change may have been made;
// OUTCOME_UNAVAILABLE when nobody answered.
int cli_client_apply(struct cli_client *client,
                     const struct ck_apply_args *args,
                     struct ck_apply_result *result);
int cli_client_command(struct cli_client *client,
                       const struct ck_command_args *args,
                       struct ck_command_result *result);
// Asks one daemon for one page about itself; a refusal is an error too.
int cli_client_query_daemon(struct cli_client *client,
                            const struct settings_address *daemon,
                            enum ck_query_kind kind, uint64_t cursor,
                            struct ck_query_result *result);

// Appends all pages of a group's query to rows. Returns the exit code, with
// a message already printed when it is not CLI_EXIT_OK.
int cli_client_query_all(struct cli_client *client, enum ck_query_kind kind,
                         const char *group, const char *name,
                         struct json_object *rows);
// Returns the first daemon that was named.
const struct settings_address *
cli_client_get_first_daemon(struct cli_client *client);

// Turns an answer into an exit code and prints what it says.
int cli_report_outcome(const char *what, int call_outcome, int outcome,
                       const char *message);

// An id that is the same for the same change, so that a resend is safe.
void cli_build_change_id(const char *kind, const char *name,
                         const char *content, uint64_t expected_revision,
                         uint64_t salt, char id[CK_NAME_SIZE + 1]);

#endif
