#include "catkingrade/cli/client.h"

#include <inttypes.h>
#include <openssl/evp.h>
#include <openssl/sha.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "catkingrade/kernel/loop.h"
#include "catkingrade/kernel/memory.h"
#include "catkingrade/kernel/outcome.h"
#include "catkingrade/rpc/codec.h"
#include "catkingrade/rpc/rpcnet.h"

#define CLIENT_ATTEMPT_TIMEOUT_US 1000000
#define CLIENT_RETRY_DELAY_US     100000
#define CLIENT_NS_PER_US          1000
#define CLIENT_DIGEST_BYTES       16

struct cli_client {
    const struct cli_options *options;
    struct datagram_key key;
    struct settings_address leader; // port 0: not known
    size_t next_daemon;
};

// What the answers of all procedures have in common.
struct client_reply {
    int outcome;
    const char *leader_host;
    u_int leader_port;
};

// A procedure, and how its answer is read.
struct client_procedure {
    const struct rpcnet_procedure *types;
    struct client_reply (*read)(const void *result);
    bool is_change;
};

static struct client_reply
client_read_apply(const void *data)
{
    const struct ck_apply_result *result = data;

    return (struct client_reply){result->outcome, result->leader_host,
                                 result->leader_port};
}

static struct client_reply
client_read_command(const void *data)
{
    const struct ck_command_result *result = data;

    return (struct client_reply){result->outcome, result->leader_host,
                                 result->leader_port};
}

static struct client_reply
client_read_query(const void *data)
{
    const struct ck_query_result *result = data;

    return (struct client_reply){result->outcome, result->leader_host,
                                 result->leader_port};
}

static const struct client_procedure client_apply = {&rpcnet_apply,
                                                     client_read_apply, true};
static const struct client_procedure client_command = {
    &rpcnet_command, client_read_command, true};
static const struct client_procedure client_query = {&rpcnet_query,
                                                     client_read_query, false};

// Opens the client. Returns CLI_EXIT_OK, or an exit code with a message
// printed.
int
cli_client_open(const struct cli_options *options, struct cli_client **client)
{
    struct buffer errors = {0};

    if (options->daemons_count == 0) {
        (void)fputs("catkingrade: no daemon is named: use --connect IP:PORT "
                    "or CATKINGRADE_CONNECT\n",
                    stderr);
        return CLI_EXIT_USAGE;
    }
    *client = xcalloc(1, sizeof(**client));
    (*client)->options = options;
    const char *path = options->key_path == NULL ? "" : options->key_path;
    if (datagram_key_load(path, &(*client)->key, &errors) != OUTCOME_OK) {
        (void)fprintf(stderr, "catkingrade: %.*s",
                      (int)buffer_get_size(&errors),
                      (const char *)buffer_get_data(&errors));
        buffer_free(&errors);
        free(*client);
        *client = NULL;
        return CLI_EXIT_ERROR;
    }
    return CLI_EXIT_OK;
}

// Frees the client; NULL is ignored.
void
cli_client_close(struct cli_client *client)
{
    if (client == NULL) {
        return;
    }
    OPENSSL_cleanse(&client->key, sizeof(client->key));
    free(client);
}

// Returns the first daemon that the options name.
const struct settings_address *
cli_client_get_first_daemon(struct cli_client *client)
{
    return &client->options->daemons[0];
}

static void
client_wait_before_retry(void)
{
    struct timespec pause = {.tv_nsec =
                                 CLIENT_RETRY_DELAY_US * CLIENT_NS_PER_US};

    nanosleep(&pause, NULL);
}

static struct settings_address
client_choose_daemon(struct cli_client *client)
{
    if (client->leader.port != 0) {
        return client->leader;
    }
    size_t place = client->next_daemon % client->options->daemons_count;
    return client->options->daemons[place];
}

// Takes the leader that an answer names as the next to ask.
static void
client_update_leader(struct cli_client *client,
                     const struct client_reply *answer)
{
    struct settings_address before = client->leader;

    memset(&client->leader, 0, sizeof(client->leader));
    if (answer->leader_port != 0) {
        (void)strncpy(client->leader.host, answer->leader_host,
                      sizeof(client->leader.host) - 1);
        client->leader.port = (uint16_t)answer->leader_port;
    }
    if (client->leader.port == 0 ||
        (before.port == client->leader.port &&
         strcmp(before.host, client->leader.host) == 0)) {
        memset(&client->leader, 0, sizeof(client->leader));
        client->next_daemon++;
        client_wait_before_retry();
    }
}

static bool
client_is_final_outcome(int outcome)
{
    return outcome != OUTCOME_NOT_LEADER && outcome != OUTCOME_UNAVAILABLE &&
           outcome != OUTCOME_AGAIN && outcome != OUTCOME_UNKNOWN &&
           outcome != OUTCOME_TIMEOUT;
}

// Calls until there is a final answer or the time is up. Resending a change
// is safe, as it carries its id.
static int
client_call(struct cli_client *client,
            const struct client_procedure *procedure, const void *args,
            void *result)
{
    int64_t deadline_us = monotonic_get_us() + client->options->timeout_us;
    bool maybe_made = false;

    while (monotonic_get_us() < deadline_us) {
        struct settings_address peer = client_choose_daemon(client);
        int64_t left_us = deadline_us - monotonic_get_us();
        memset(result, 0, procedure->types->result_size_bytes);
        int outcome = rpcnet_call_blocking(
            &peer, &client->key, procedure->types, args, result,
            left_us < CLIENT_ATTEMPT_TIMEOUT_US ? left_us
                                                : CLIENT_ATTEMPT_TIMEOUT_US);
        if (outcome == OUTCOME_OK) {
            struct client_reply answer = procedure->read(result);
            if (client_is_final_outcome(answer.outcome)) {
                return OUTCOME_OK;
            }
            maybe_made = maybe_made || answer.outcome == OUTCOME_UNKNOWN ||
                         answer.outcome == OUTCOME_TIMEOUT;
            client_update_leader(client, &answer);
            codec_free(procedure->types->result_xdr, result);
            continue;
        }
        maybe_made = maybe_made || outcome == OUTCOME_TIMEOUT;
        memset(&client->leader, 0, sizeof(client->leader));
        client->next_daemon++;
        client_wait_before_retry();
    }
    return maybe_made && procedure->is_change ? OUTCOME_UNKNOWN
                                              : OUTCOME_UNAVAILABLE;
}

// Sends a change to the leader of its group.
int
cli_client_apply(struct cli_client *client, const struct ck_apply_args *args,
                 struct ck_apply_result *result)
{
    return client_call(client, &client_apply, args, result);
}

// Sends a command to the leader of its group, or to a daemon.
int
cli_client_command(struct cli_client *client,
                   const struct ck_command_args *args,
                   struct ck_command_result *result)
{
    return client_call(client, &client_command, args, result);
}

// Asks one daemon, and no other, for a page.
int
cli_client_query_daemon(struct cli_client *client,
                        const struct settings_address *daemon,
                        enum ck_query_kind kind, uint64_t cursor,
                        struct ck_query_result *result)
{
    struct ck_query_args args = {
        .kind = kind, .group = "", .name = "", .cursor = cursor};

    memset(result, 0, sizeof(*result));
    int outcome =
        rpcnet_call_blocking(daemon, &client->key, &rpcnet_query, &args,
                             result, client->options->timeout_us);
    if (outcome == OUTCOME_OK && result->outcome != OUTCOME_OK) {
        outcome = result->outcome;
        codec_free((xdrproc_t)xdr_ck_query_result, result);
    }
    return outcome;
}

static void
client_append_rows(struct json_object *rows, const char *text)
{
    struct json_object *page = json_tokener_parse(text);

    for (size_t i = 0; json_object_is_type(page, json_type_array) &&
                       i < json_object_array_length(page);
         i++) {
        json_object_array_add(
            rows, json_object_get(json_object_array_get_idx(page, i)));
    }
    json_object_put(page);
}

// Asks the leader of a group for all objects of a kind.
int
cli_client_query_all(struct cli_client *client, enum ck_query_kind kind,
                     const char *group, const char *name,
                     struct json_object *rows)
{
    struct ck_query_args args = {.kind = kind,
                                 .group = (char *)(uintptr_t)group,
                                 .name = (char *)(uintptr_t)name};
    struct ck_query_result result;

    do {
        int outcome = client_call(client, &client_query, &args, &result);
        if (outcome != OUTCOME_OK) {
            return cli_report_outcome("query", outcome, 0, "");
        }
        if (result.outcome != OUTCOME_OK) {
            int code = cli_report_outcome("query", OUTCOME_OK, result.outcome,
                                          result.message);
            codec_free((xdrproc_t)xdr_ck_query_result, &result);
            return code;
        }
        client_append_rows(rows, result.json);
        args.cursor = result.next_cursor;
        codec_free((xdrproc_t)xdr_ck_query_result, &result);
    } while (args.cursor != 0);
    return CLI_EXIT_OK;
}

// Says how a change ended: accepted, refused or unknown. Returns the exit
// code.
int
cli_report_outcome(const char *what, int call_outcome, int outcome,
                   const char *message)
{
    if (call_outcome == OUTCOME_UNKNOWN) {
        (void)fprintf(stderr,
                      "%s: unknown: no answer within the time limit; the "
                      "change may have been made. Repeat the command: a "
                      "repeat is safe.\n",
                      what);
        return CLI_EXIT_UNKNOWN;
    }
    if (call_outcome != OUTCOME_OK) {
        (void)fprintf(stderr,
                      "%s: no daemon answered for the group's leader within "
                      "the time limit (%s)\n",
                      what, outcome_get_text(call_outcome));
        return CLI_EXIT_ERROR;
    }
    if (outcome != OUTCOME_OK) {
        (void)fprintf(
            stderr, "%s: refused (%s): %s\n", what, outcome_get_name(outcome),
            message == NULL || message[0] == '\0' ? outcome_get_text(outcome)
                                                  : message);
        return CLI_EXIT_REFUSED;
    }
    return CLI_EXIT_OK;
}

// Derives the id of a change from its content and the revision it expects.
// salt tells apart a change that is made again after it was undone.
void
cli_build_change_id(const char *kind, const char *name, const char *content,
                    uint64_t expected_revision, uint64_t salt,
                    char id[CK_NAME_SIZE + 1])
{
    unsigned char digest[SHA256_DIGEST_LENGTH];
    char *text = xasprintf("%s\n%s\n%" PRIu64 "\n%" PRIu64 "\n%s", kind, name,
                           expected_revision, salt, content);

    SHA256((const unsigned char *)text, strlen(text), digest);
    free(text);
    int at = snprintf(id, CK_NAME_SIZE + 1, "op-");
    for (size_t i = 0; i < CLIENT_DIGEST_BYTES; i++) {
        at += snprintf(id + at, (size_t)(CK_NAME_SIZE + 1 - at), "%02x",
                       digest[i]);
    }
}
