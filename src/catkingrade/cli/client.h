#ifndef CATKINGRADE_CLI_CLIENT_H
#define CATKINGRADE_CLI_CLIENT_H

#include <json-c/json.h>
#include <stdint.h>

#include "catkingrade/cli/cli.h"
#include "catkingrade/rpc/messages.h"

// RPC client of the command line tool. A call to a control group is retried
// within the timeout of the options: at the leader that a reply names, or else
// at the next daemon of the options.
struct cli_client;

// Loads the shared key and creates the client. Returns CLI_EXIT_OK, or another
// exit code after printing a message. cli_client_close() accepts NULL.
int cli_client_open(const struct cli_options *options,
                    struct cli_client **client);
void cli_client_close(struct cli_client *client);

// cli_client_apply() sends a change to the leader of its control group.
// cli_client_command() sends a command to the leader of its control group, or
// to a daemon if the command has no group. Both return OUTCOME_OK if there is
// a reply, which may be a refusal; the caller then frees the result with
// codec_free(). They return OUTCOME_UNKNOWN if the change may have been
// applied, and OUTCOME_UNAVAILABLE if no daemon replied as leader.
int cli_client_apply(struct cli_client *client,
                     const struct ck_apply_args *args,
                     struct ck_apply_result *result);
int cli_client_command(struct cli_client *client,
                       const struct ck_command_args *args,
                       struct ck_command_result *result);
// Queries one daemon, without trying others, for a page of its status or its
// events. cursor is 0 for the first page, then next_cursor of the page before,
// which is 0 on the last page. Returns OUTCOME_OK or an error; the outcome of
// a refusal is returned as an error. The caller frees the result with
// codec_free() after OUTCOME_OK only.
int cli_client_query_daemon(struct cli_client *client,
                            const struct settings_address *daemon,
                            enum ck_query_kind kind, uint64_t cursor,
                            struct ck_query_result *result);

// Queries the leader of a control group and appends the rows of all pages. An
// empty name selects all objects of the kind. Returns CLI_EXIT_OK, or another
// exit code after printing a message.
int cli_client_query_all(struct cli_client *client, enum ck_query_kind kind,
                         const char *group, const char *name,
                         struct json_object *rows);
// Returns the address of the first daemon of the options.
const struct settings_address *
cli_client_get_first_daemon(struct cli_client *client);

// Returns the exit code for a call and prints a message unless the call
// succeeded. call_outcome is the result of the call itself; outcome and
// message come from the reply and are read only if call_outcome is OUTCOME_OK.
// subject is the object or command that the message names.
int cli_report_outcome(const char *subject, int call_outcome, int outcome,
                       const char *message);

// Builds the change id (idempotency key) of a change from its content and the
// revision it expects. The same change has the same id, so that the control
// group applies a repeated change once. salt distinguishes a change that is
// made again after it was undone.
void cli_build_change_id(const char *kind, const char *name,
                         const char *content, uint64_t expected_revision,
                         uint64_t salt, char id[CK_NAME_SIZE + 1]);

#endif
