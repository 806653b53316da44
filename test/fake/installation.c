#include "test/fake/installation.h"

#include <json-c/json.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "catkingrade/kernel/buffer.h"
#include "catkingrade/kernel/memory.h"
#include "catkingrade/kernel/outcome.h"
#include "catkingrade/rpc/codec.h"

#define INSTALLATION_DATABASE        "roster1"
#define INSTALLATION_CALL_TIMEOUT_US 500000
#define INSTALLATION_MAX_WAIT_STEPS  600
#define INSTALLATION_WAIT_STEP_US    50000

static const struct datagram_key installation_key;

static const char installation_template[] =
    "{\"template\": \"roster\", \"parameters\": {}, \"customer\": {"
    "\"databases\": [{\"name\": \"roster1\", \"group\": \"fleet\"}],"
    "\"max_age_ms\": 2000, \"session_limit\": 1000, \"confirm\": 1,"
    "\"request_types\": [{\"name\": \"other\", \"weight\": 1,"
    "\"deadline_ms\": 5000, \"queue_limit\": 1000}]}}";
static const char installation_customer[] =
    "{\"customer\": \"pootafdruk\", \"template\": \"roster\"}";

// Appends a group with its voters as settings.
static void
installation_append_group(const struct installation *installation,
                          const char *name, struct buffer *text)
{
    buffer_append_format(text, "{\"name\": \"%s\", \"voters\": [", name);
    for (int i = 0; i < installation->params.voters_count; i++) {
        const struct installation_daemon *daemon = &installation->daemons[i];
        buffer_append_format(text,
                             "%s{\"id\": %d, \"vm\": \"%s\","
                             "\"rpc\": \"127.0.0.1:%u\"}",
                             i == 0 ? "" : ",", daemon->voter_id, daemon->vm,
                             daemon->rpc.port);
    }
    buffer_append_text(text, "]}");
}

// Appends the fleet group, and the one that decides the database when it is
// another; all voters vote in both.
static void
installation_append_groups(const struct installation *installation,
                           struct buffer *text)
{
    buffer_append_text(text, "\"groups\": [");
    installation_append_group(installation, "fleet", text);
    if (installation->params.group != NULL) {
        buffer_append_text(text, ",");
        installation_append_group(installation, installation->params.group,
                                  text);
    }
    buffer_append_text(text, "]");
}

static void
installation_write_settings(struct installation *installation, int place)
{
    struct installation_daemon *daemon = &installation->daemons[place];
    struct buffer text = {0};
    bool votes = place < installation->params.voters_count;

    buffer_append_format(
        &text,
        "{\"vm\": \"%s\", \"failure_domain\": \"noord\","
        "\"roles\": [\"entry\"%s], \"data_dir\": \"%s/data-%s\","
        "\"listen\": {\"postgres\": \"127.0.0.1:%d\","
        "\"rpc\": \"127.0.0.1:%u\", \"http\": \"127.0.0.1:%d\"},"
        "\"upstream_promote_sql\": \"SELECT pg_promote(true, 5)\","
        "\"upstream_follow_sql\":"
        " \"SELECT catkingrade_standin_follow('{host}:{port}')\","
        "\"upstream_fence_sql\": \"SELECT catkingrade_standin_fence()\","
        "\"drain_notice_ms\": 0, \"token_keys_file\": \"%s/token-keys\""
        "%s,",
        daemon->vm, votes ? ", \"control\"" : "", installation->folder,
        daemon->vm, daemon->postgres_port, daemon->rpc.port, daemon->http_port,
        installation->folder, installation->params.settings);
    installation_append_groups(installation, &text);
    buffer_append_text(&text, "}");
    buffer_append_u8(&text, 0);
    process_write_file(daemon->settings_path,
                       (const char *)buffer_get_data(&text));
    buffer_free(&text);
}

// Starts one daemon and waits for its listener.
void
installation_start_daemon(struct installation *installation, int place,
                          bool bootstrap)
{
    struct installation_daemon *daemon = &installation->daemons[place];
    const char *args[] = {"--settings", daemon->settings_path,
                          bootstrap ? "--bootstrap" : NULL, NULL};
    char log_path[600];

    (void)snprintf(log_path, sizeof(log_path), "%s/%s.log",
                   installation->folder, daemon->vm);
    daemon->process = process_start(log_path, "catkingraded", args);
    INVARIANT(process_wait_port(daemon->postgres_port));
}

// Kills a daemon as a lost VM would end.
void
installation_kill_daemon(struct installation *installation, int place)
{
    (void)process_stop(installation->daemons[place].process, SIGKILL);
    installation->daemons[place].process = NULL;
}

// Empties a stopped daemon's data folder and gives it a new voter id.
void
installation_erase_data(struct installation *installation, int place,
                        int voter_id)
{
    struct installation_daemon *daemon = &installation->daemons[place];
    char *command =
        xasprintf("rm -r '%s/data-%s'", installation->folder, daemon->vm);

    INVARIANT(daemon->process == NULL);
    INVARIANT(system(command) == 0);
    free(command);
    daemon->voter_id = voter_id;
    installation_write_settings(installation, place);
}

// Kills an upstream as a lost VM would end.
void
installation_kill_upstream(struct installation *installation, int place)
{
    (void)process_stop(installation->upstreams[place].process, SIGKILL);
    installation->upstreams[place].process = NULL;
}

static void
installation_start_upstream(struct installation *installation, int place)
{
    struct installation_upstream *upstream = &installation->upstreams[place];
    char control[16];
    char lag[16];
    char primary[32];
    char announce[INSTALLATION_MAX_DAEMONS][32];
    const char *args[32];
    int count = 0;

    (void)snprintf(control, sizeof(control), "%d", upstream->control_port);
    (void)snprintf(lag, sizeof(lag), "%d", installation->params.lag_ms);
    (void)snprintf(primary, sizeof(primary), "127.0.0.1:%d",
                   installation->upstreams[0].port);
    args[count++] = "--control";
    args[count++] = control;
    args[count++] = "--database";
    args[count++] = INSTALLATION_DATABASE;
    args[count++] = "--failure-domain";
    args[count++] = "noord";
    args[count++] = "--connect-delay-ms";
    args[count++] = "0";
    args[count++] = "--lag-ms";
    args[count++] = lag;
    args[count++] = "--connections";
    args[count++] = "30";
    args[count++] = "--slots";
    args[count++] = "5";
    if (place > 0) {
        args[count++] = "--primary-address";
        args[count++] = primary;
    }
    if (installation->params.group != NULL) {
        args[count++] = "--group";
        args[count++] = installation->params.group;
    }
    for (int i = 0; i < installation->params.daemons_count; i++) {
        (void)snprintf(announce[i], sizeof(announce[i]), "127.0.0.1:%d",
                       installation->daemons[i].http_port);
        args[count++] = "--announce";
        args[count++] = announce[i];
    }
    args[count] = NULL;
    upstream->process = process_start_upstream(
        installation->folder, upstream->name, upstream->port, args);
}

// Starts daemons and upstreams; the customer is not made yet.
void
installation_start(struct installation *installation,
                   const struct installation_params *params)
{
    char keys_path[512];

    memset(installation, 0, sizeof(*installation));
    installation->params = *params;
    installation->folder = process_make_folder(params->name);
    (void)snprintf(keys_path, sizeof(keys_path), "%s/token-keys",
                   installation->folder);
    process_write_file(keys_path, "1 000102030405060708090a0b0c0d0e0f"
                                  "101112131415161718191a1b1c1d1e1f\n");
    for (int i = 0; i < params->daemons_count; i++) {
        struct installation_daemon *daemon = &installation->daemons[i];
        (void)snprintf(daemon->vm, sizeof(daemon->vm), "vm%d", i + 1);
        daemon->voter_id = i + 1;
        (void)snprintf(daemon->settings_path, sizeof(daemon->settings_path),
                       "%s/vm%d.json", installation->folder, i + 1);
        (void)strncpy(daemon->rpc.host, "127.0.0.1",
                      sizeof(daemon->rpc.host) - 1);
        daemon->rpc.port = (uint16_t)process_get_free_port();
        daemon->postgres_port = process_get_free_port();
        daemon->http_port = process_get_free_port();
    }
    for (int i = 0; i < params->upstreams_count; i++) {
        struct installation_upstream *upstream = &installation->upstreams[i];
        (void)snprintf(upstream->name, sizeof(upstream->name), "up%d", i + 1);
        upstream->port = process_get_free_port();
        upstream->control_port = process_get_free_port();
    }
    for (int i = 0; i < params->daemons_count; i++) {
        installation_write_settings(installation, i);
        installation_start_daemon(installation, i, i < params->voters_count);
    }
    for (int i = 0; i < params->upstreams_count; i++) {
        installation_start_upstream(installation, i);
    }
}

// Ends all processes that still run.
void
installation_stop(struct installation *installation)
{
    for (int i = 0; i < installation->params.daemons_count; i++) {
        if (installation->daemons[i].process != NULL) {
            installation_kill_daemon(installation, i);
        }
    }
    for (int i = 0; i < installation->params.upstreams_count; i++) {
        if (installation->upstreams[i].process != NULL) {
            installation_kill_upstream(installation, i);
        }
    }
    free(installation->folder);
}

// Sends a change to each voter until one takes it. Returns its outcome.
int
installation_apply_change(struct installation *installation,
                          enum ck_change_kind kind, const char *name,
                          const char *document, const char *change_id)
{
    struct ck_apply_args args = {
        .group = "fleet",
        .change_id = (char *)(uintptr_t)change_id,
    };

    args.change.kind = kind;
    args.change.ck_change_u.document.name = (char *)(uintptr_t)name;
    args.change.ck_change_u.document.document = (char *)(uintptr_t)document;
    for (int round = 0; round < INSTALLATION_MAX_WAIT_STEPS; round++) {
        struct ck_apply_result result = {0};
        int place = round % installation->params.voters_count;
        int outcome = OUTCOME_UNAVAILABLE;
        if (installation->daemons[place].process != NULL) {
            outcome = rpcnet_call_blocking(
                &installation->daemons[place].rpc, &installation_key,
                &rpcnet_apply, &args, &result, INSTALLATION_CALL_TIMEOUT_US);
        }
        if (outcome == OUTCOME_OK) {
            outcome = result.outcome;
            codec_free((xdrproc_t)xdr_ck_apply_result, &result);
            if (outcome != OUTCOME_NOT_LEADER) {
                return outcome;
            }
        }
        usleep(INSTALLATION_WAIT_STEP_US);
    }
    return OUTCOME_TIMEOUT;
}

// Makes the template "roster" and the customer "pootafdruk".
void
installation_create_customer(struct installation *installation)
{
    INVARIANT(installation_apply_change(installation, CK_CHANGE_TEMPLATE,
                                        "roster", installation_template,
                                        "template-1") == OUTCOME_OK);
    INVARIANT(installation_apply_change(installation, CK_CHANGE_CUSTOMER,
                                        "pootafdruk", installation_customer,
                                        "customer-1") == OUTCOME_OK);
}

// Asks a daemon; returns the JSON that the caller frees, NULL without answer.
static char *
installation_query(struct installation *installation, int place,
                   enum ck_query_kind kind)
{
    const char *group = installation->params.group;
    struct ck_query_args args = {
        .kind = kind,
        .group = group == NULL ? "fleet" : (char *)(uintptr_t)group,
        .name = "",
    };
    struct ck_query_result result = {0};
    char *json = NULL;

    if (installation->daemons[place].process == NULL ||
        rpcnet_call_blocking(&installation->daemons[place].rpc,
                             &installation_key, &rpcnet_query, &args, &result,
                             INSTALLATION_CALL_TIMEOUT_US) != OUTCOME_OK) {
        return NULL;
    }
    if (result.outcome == OUTCOME_OK) {
        json = xstrdup(result.json);
    }
    codec_free((xdrproc_t)xdr_ck_query_result, &result);
    return json;
}

// Returns the primary's name in a list of databases, "" when there is none.
static char *
installation_parse_primary(const char *json)
{
    struct json_object *rows = json_tokener_parse(json);
    struct json_object *primary = NULL;
    char *name = NULL;

    if (json_object_array_length(rows) > 0 &&
        json_object_object_get_ex(json_object_array_get_idx(rows, 0),
                                  "primary", &primary)) {
        name = xstrdup(json_object_get_string(primary));
    }
    json_object_put(rows);
    return name == NULL ? xstrdup("") : name;
}

static int
installation_find_upstream(const struct installation *installation,
                           const char *name)
{
    for (int i = 0; i < installation->params.upstreams_count; i++) {
        if (strcmp(installation->upstreams[i].name, name) == 0) {
            return i;
        }
    }
    return -1;
}

// Waits until the fleet group names a primary that is not not_this.
int
installation_wait_primary(struct installation *installation,
                          const char *not_this)
{
    for (int round = 0; round < INSTALLATION_MAX_WAIT_STEPS; round++) {
        int place = round % installation->params.voters_count;
        char *json =
            installation_query(installation, place, CK_QUERY_DATABASES);
        int found = -1;
        if (json != NULL) {
            char *primary = installation_parse_primary(json);
            if (strcmp(primary, not_this) != 0) {
                found = installation_find_upstream(installation, primary);
            }
            free(primary);
            free(json);
        }
        if (found >= 0) {
            return found;
        }
        usleep(INSTALLATION_WAIT_STEP_US);
    }
    INVARIANT(!"no primary");
    return -1;
}

// Returns the place of the daemon that leads the fleet group.
int
installation_find_leader(struct installation *installation)
{
    for (int round = 0; round < INSTALLATION_MAX_WAIT_STEPS; round++) {
        int place = round % installation->params.voters_count;
        char *json =
            installation_query(installation, place, CK_QUERY_TEMPLATES);
        if (json != NULL) {
            free(json);
            return place;
        }
        usleep(INSTALLATION_WAIT_STEP_US);
    }
    INVARIANT(!"no leader");
    return -1;
}

// Opens a session at a daemon; options are further connection parameters.
PGconn *
installation_connect(const struct installation *installation, int place,
                     const char *options)
{
    char text[512];

    (void)snprintf(text, sizeof(text), "dbname=" INSTALLATION_DATABASE " %s",
                   options == NULL ? "" : options);
    return process_connect(installation->daemons[place].postgres_port, text);
}

// Waits until a write succeeds; it goes to a table of its own.
void
installation_wait_writable(struct installation *installation, int place)
{
    for (int round = 0; round < INSTALLATION_MAX_WAIT_STEPS; round++) {
        char info[256];
        (void)snprintf(info, sizeof(info),
                       "host=127.0.0.1 port=%d dbname=" INSTALLATION_DATABASE
                       " user=walker connect_timeout=5",
                       installation->daemons[place].postgres_port);
        PGconn *conn = PQconnectdb(info);
        PGresult *result = PQexec(conn, "CREATE TABLE ready (id int)");
        const char *state = PQresultErrorField(result, PG_DIAG_SQLSTATE);
        bool writable = PQresultStatus(result) == PGRES_COMMAND_OK ||
                        (state != NULL && strcmp(state, "42P07") == 0);
        PQclear(result);
        PQfinish(conn);
        if (writable) {
            return;
        }
        usleep(INSTALLATION_WAIT_STEP_US);
    }
    INVARIANT(!"no write succeeded");
}
