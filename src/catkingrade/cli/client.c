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

#define CLIENT_ATTEMPT_TIMEOUT_US 1000000 // limit of one RPC attempt
#define CLIENT_RETRY_DELAY_US     100000  // before another daemon is tried
#define CLIENT_NS_PER_US          1000
#define CLIENT_DIGEST_BYTES       16 // of the SHA-256 digest, in a change id

struct cli_client {
    const struct cli_options *options;
    struct datagram_key key;
    struct settings_address leader; // port 0: unknown
    size_t next_daemon; // index in options->daemons, modulo their number
};

// Fields that the replies of all procedures share.
struct client_reply {
    int outcome;
    const char *leader_host;
    u_int leader_port;
};

// An RPC procedure, with the function that reads the shared reply fields.
struct client_procedure {
    const struct rpcnet_procedure *rpc;
    struct client_reply (*read_reply)(const void *result);
    bool is_change; // a lost reply leaves the outcome unknown
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

int
cli_client_open(const struct cli_options *options, struct cli_client **client)
{
    struct buffer errors = {0};

    if (options->daemons_count == 0) {
        (void)fputs("catkingrade: no daemon is given: use --connect IP:PORT "
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

void
cli_client_close(struct cli_client *client)
{
    if (client == NULL) {
        return;
    }
    OPENSSL_cleanse(&client->key, sizeof(client->key));
    free(client);
}

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

// Returns the known leader, or else the next daemon of the options.
static struct settings_address
client_choose_daemon(struct cli_client *client)
{
    if (client->leader.port != 0) {
        return client->leader;
    }
    size_t daemon_index = client->next_daemon % client->options->daemons_count;
    return client->options->daemons[daemon_index];
}

// Sets the leader named by a reply as the target of the next attempt. If the
// reply names no leader, or the same one as before, waits and moves on to the
// next daemon.
static void
client_update_leader(struct cli_client *client,
                     const struct client_reply *reply)
{
    struct settings_address previous = client->leader;

    memset(&client->leader, 0, sizeof(client->leader));
    if (reply->leader_port != 0) {
        (void)strncpy(client->leader.host, reply->leader_host,
                      sizeof(client->leader.host) - 1);
        client->leader.port = (uint16_t)reply->leader_port;
    }
    if (client->leader.port == 0 ||
        (previous.port == client->leader.port &&
         strcmp(previous.host, client->leader.host) == 0)) {
        memset(&client->leader, 0, sizeof(client->leader));
        client->next_daemon++;
        client_wait_before_retry();
    }
}

// Returns false for outcomes after which the call is retried.
static bool
client_is_final_outcome(int outcome)
{
    return outcome != OUTCOME_NOT_LEADER && outcome != OUTCOME_UNAVAILABLE &&
           outcome != OUTCOME_AGAIN && outcome != OUTCOME_UNKNOWN &&
           outcome != OUTCOME_TIMEOUT;
}

// Repeats a call until a reply has a final outcome or the timeout expires. A
// change can be sent again safely because its change id is an idempotency key.
// Returns OUTCOME_OK, OUTCOME_UNKNOWN if a change may have been applied, or
// OUTCOME_UNAVAILABLE.
static int
client_call(struct cli_client *client,
            const struct client_procedure *procedure, const void *args,
            void *result)
{
    int64_t deadline_us = monotonic_get_us() + client->options->timeout_us;
    bool may_be_applied = false;

    while (monotonic_get_us() < deadline_us) {
        struct settings_address peer = client_choose_daemon(client);
        int64_t remaining_us = deadline_us - monotonic_get_us();
        memset(result, 0, procedure->rpc->result_size_bytes);
        int outcome = rpcnet_call_blocking(
            &peer, &client->key, procedure->rpc, args, result,
            remaining_us < CLIENT_ATTEMPT_TIMEOUT_US
                ? remaining_us
                : CLIENT_ATTEMPT_TIMEOUT_US);
        if (outcome == OUTCOME_OK) {
            struct client_reply reply = procedure->read_reply(result);
            if (client_is_final_outcome(reply.outcome)) {
                return OUTCOME_OK;
            }
            may_be_applied = may_be_applied ||
                             reply.outcome == OUTCOME_UNKNOWN ||
                             reply.outcome == OUTCOME_TIMEOUT;
            client_update_leader(client, &reply);
            codec_free(procedure->rpc->result_xdr, result);
            continue;
        }
        may_be_applied = may_be_applied || outcome == OUTCOME_TIMEOUT;
        memset(&client->leader, 0, sizeof(client->leader));
        client->next_daemon++;
        client_wait_before_retry();
    }
    return may_be_applied && procedure->is_change ? OUTCOME_UNKNOWN
                                                  : OUTCOME_UNAVAILABLE;
}

int
cli_client_apply(struct cli_client *client, const struct ck_apply_args *args,
                 struct ck_apply_result *result)
{
    return client_call(client, &client_apply, args, result);
}

int
cli_client_command(struct cli_client *client,
                   const struct ck_command_args *args,
                   struct ck_command_result *result)
{
    return client_call(client, &client_command, args, result);
}

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

// Appends the elements of a JSON array, given as text, to rows.
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

int
cli_report_outcome(const char *subject, int call_outcome, int outcome,
                   const char *message)
{
    if (call_outcome == OUTCOME_UNKNOWN) {
        (void)fprintf(stderr,
                      "%s: unknown: no answer within the time limit; the "
                      "change may have been applied. It is safe to repeat "
                      "the command.\n",
                      subject);
        return CLI_EXIT_UNKNOWN;
    }
    if (call_outcome != OUTCOME_OK) {
        (void)fprintf(stderr,
                      "%s: no daemon answered as leader of the group within "
                      "the time limit (%s)\n",
                      subject, outcome_get_text(call_outcome));
        return CLI_EXIT_ERROR;
    }
    if (outcome != OUTCOME_OK) {
        (void)fprintf(stderr, "%s: refused (%s): %s\n", subject,
                      outcome_get_name(outcome),
                      message == NULL || message[0] == '\0'
                          ? outcome_get_text(outcome)
                          : message);
        return CLI_EXIT_REFUSED;
    }
    return CLI_EXIT_OK;
}

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
    int length = snprintf(id, CK_NAME_SIZE + 1, "op-");
    for (size_t i = 0; i < CLIENT_DIGEST_BYTES; i++) {
        length += snprintf(id + length, (size_t)(CK_NAME_SIZE + 1 - length),
                           "%02x", digest[i]);
    }
}
