#include "test/fake/deployment.h"

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

#define DEPLOYMENT_DATABASE      "roster1"
#define DEPLOYMENT_CALL_LIMIT_US 500000
#define DEPLOYMENT_WAIT_ROUNDS   600
#define DEPLOYMENT_WAIT_STEP_US  50000

static const struct datagram_key deployment_key;

static const char deployment_template[] =
    "{\"template\": \"roster\", \"parameters\": {}, \"customer\": {"
    "\"databases\": [{\"name\": \"roster1\", \"group\": \"fleet\"}],"
    "\"max_age_ms\": 2000, \"session_limit\": 1000, \"confirm\": 1,"
    "\"request_types\": [{\"name\": \"other\", \"weight\": 1,"
    "\"deadline_ms\": 5000, \"queue_limit\": 1000}]}}";
static const char deployment_customer[] =
    "{\"customer\": \"pootafdruk\", \"template\": \"roster\"}";

// Appends the voters of the fleet group as settings.
static void
deployment_append_voters(const struct deployment *deployment,
                         struct buffer *text)
{
    buffer_append_text(text, "\"groups\": [{\"name\": \"fleet\","
                             "\"voters\": [");
    for (int i = 0; i < deployment->params.voters_count; i++) {
        const struct deployment_daemon *daemon = &deployment->daemons[i];
        buffer_append_format(text,
                             "%s{\"id\": %d, \"vm\": \"%s\","
                             "\"rpc\": \"127.0.0.1:%u\"}",
                             i == 0 ? "" : ",", i + 1, daemon->vm,
                             daemon->rpc.port);
    }
    buffer_append_text(text, "]}]");
}

static void
deployment_write_settings(struct deployment *deployment, int place)
{
    struct deployment_daemon *daemon = &deployment->daemons[place];
    struct buffer text = {0};
    bool votes = place < deployment->params.voters_count;

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
        daemon->vm, votes ? ", \"control\"" : "", deployment->folder,
        daemon->vm, daemon->postgres_port, daemon->rpc.port, daemon->http_port,
        deployment->folder, deployment->params.settings);
    deployment_append_voters(deployment, &text);
    buffer_append_text(&text, "}");
    buffer_append_u8(&text, 0);
    (void)snprintf(daemon->settings_path, sizeof(daemon->settings_path),
                   "%s/%s.json", deployment->folder, daemon->vm);
    process_write_file(daemon->settings_path,
                       (const char *)buffer_get_data(&text));
    buffer_free(&text);
}

// Starts one daemon and waits for its listener.
void
deployment_start_daemon(struct deployment *deployment, int place,
                        bool bootstrap)
{
    struct deployment_daemon *daemon = &deployment->daemons[place];
    const char *args[] = {"--settings", daemon->settings_path,
                          bootstrap ? "--bootstrap" : NULL, NULL};
    char log_path[600];

    (void)snprintf(log_path, sizeof(log_path), "%s/%s.log", deployment->folder,
                   daemon->vm);
    daemon->process = process_start(log_path, "catkingraded", args);
    INVARIANT(process_wait_port(daemon->postgres_port));
}

// Kills a daemon as a lost VM would end.
void
deployment_kill_daemon(struct deployment *deployment, int place)
{
    (void)process_stop(deployment->daemons[place].process, SIGKILL);
    deployment->daemons[place].process = NULL;
}

// Kills an upstream as a lost VM would end.
void
deployment_kill_upstream(struct deployment *deployment, int place)
{
    (void)process_stop(deployment->upstreams[place].process, SIGKILL);
    deployment->upstreams[place].process = NULL;
}

static void
deployment_start_upstream(struct deployment *deployment, int place)
{
    struct deployment_upstream *upstream = &deployment->upstreams[place];
    char control[16];
    char lag[16];
    char primary[32];
    char announce[DEPLOYMENT_MAX_DAEMONS][32];
    const char *args[32];
    int count = 0;

    (void)snprintf(control, sizeof(control), "%d", upstream->control_port);
    (void)snprintf(lag, sizeof(lag), "%d", deployment->params.lag_ms);
    (void)snprintf(primary, sizeof(primary), "127.0.0.1:%d",
                   deployment->upstreams[0].port);
    args[count++] = "--control";
    args[count++] = control;
    args[count++] = "--database";
    args[count++] = DEPLOYMENT_DATABASE;
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
    for (int i = 0; i < deployment->params.daemons_count; i++) {
        (void)snprintf(announce[i], sizeof(announce[i]), "127.0.0.1:%d",
                       deployment->daemons[i].http_port);
        args[count++] = "--announce";
        args[count++] = announce[i];
    }
    args[count] = NULL;
    upstream->process = process_start_upstream(
        deployment->folder, upstream->name, upstream->port, args);
}

// Starts daemons and upstreams; the customer is not made yet.
void
deployment_start(struct deployment *deployment,
                 const struct deployment_params *params)
{
    char keys_path[512];

    memset(deployment, 0, sizeof(*deployment));
    deployment->params = *params;
    deployment->folder = process_make_folder(params->name);
    (void)snprintf(keys_path, sizeof(keys_path), "%s/token-keys",
                   deployment->folder);
    process_write_file(keys_path, "1 000102030405060708090a0b0c0d0e0f"
                                  "101112131415161718191a1b1c1d1e1f\n");
    for (int i = 0; i < params->daemons_count; i++) {
        struct deployment_daemon *daemon = &deployment->daemons[i];
        (void)snprintf(daemon->vm, sizeof(daemon->vm), "vm%d", i + 1);
        (void)strncpy(daemon->rpc.host, "127.0.0.1",
                      sizeof(daemon->rpc.host) - 1);
        daemon->rpc.port = (uint16_t)process_get_free_port();
        daemon->postgres_port = process_get_free_port();
        daemon->http_port = process_get_free_port();
    }
    for (int i = 0; i < params->upstreams_count; i++) {
        struct deployment_upstream *upstream = &deployment->upstreams[i];
        (void)snprintf(upstream->name, sizeof(upstream->name), "up%d", i + 1);
        upstream->port = process_get_free_port();
        upstream->control_port = process_get_free_port();
    }
    for (int i = 0; i < params->daemons_count; i++) {
        deployment_write_settings(deployment, i);
        deployment_start_daemon(deployment, i, i < params->voters_count);
    }
    for (int i = 0; i < params->upstreams_count; i++) {
        deployment_start_upstream(deployment, i);
    }
}

// Ends all processes that still run.
void
deployment_stop(struct deployment *deployment)
{
    for (int i = 0; i < deployment->params.daemons_count; i++) {
        if (deployment->daemons[i].process != NULL) {
            deployment_kill_daemon(deployment, i);
        }
    }
    for (int i = 0; i < deployment->params.upstreams_count; i++) {
        if (deployment->upstreams[i].process != NULL) {
            deployment_kill_upstream(deployment, i);
        }
    }
    free(deployment->folder);
}

// Sends a change to each voter until one takes it. Returns its outcome.
int
deployment_apply(struct deployment *deployment, enum ck_change_kind kind,
                 const char *name, const char *document, const char *change_id)
{
    struct ck_apply_args args = {
        .group = "fleet",
        .change_id = (char *)(uintptr_t)change_id,
    };

    args.change.kind = kind;
    args.change.ck_change_u.document.name = (char *)(uintptr_t)name;
    args.change.ck_change_u.document.document = (char *)(uintptr_t)document;
    for (int round = 0; round < DEPLOYMENT_WAIT_ROUNDS; round++) {
        struct ck_apply_result result = {0};
        int place = round % deployment->params.voters_count;
        int outcome = OUTCOME_UNAVAILABLE;
        if (deployment->daemons[place].process != NULL) {
            outcome = rpcnet_call_blocking(
                &deployment->daemons[place].rpc, &deployment_key,
                &rpcnet_apply, &args, &result, DEPLOYMENT_CALL_LIMIT_US);
        }
        if (outcome == OUTCOME_OK) {
            outcome = result.outcome;
            codec_free((xdrproc_t)xdr_ck_apply_result, &result);
            if (outcome != OUTCOME_NOT_LEADER) {
                return outcome;
            }
        }
        usleep(DEPLOYMENT_WAIT_STEP_US);
    }
    return OUTCOME_TIMEOUT;
}

// Makes the template "roster" and the customer "pootafdruk".
void
deployment_apply_customer(struct deployment *deployment)
{
    INVARIANT(deployment_apply(deployment, CK_CHANGE_TEMPLATE, "roster",
                               deployment_template,
                               "template-1") == OUTCOME_OK);
    INVARIANT(deployment_apply(deployment, CK_CHANGE_CUSTOMER, "pootafdruk",
                               deployment_customer,
                               "customer-1") == OUTCOME_OK);
}

// Asks a daemon; returns the JSON that the caller frees, NULL without answer.
static char *
deployment_query(struct deployment *deployment, int place,
                 enum ck_query_kind kind)
{
    struct ck_query_args args = {.kind = kind, .group = "fleet", .name = ""};
    struct ck_query_result result = {0};
    char *json = NULL;

    if (deployment->daemons[place].process == NULL ||
        rpcnet_call_blocking(&deployment->daemons[place].rpc, &deployment_key,
                             &rpcnet_query, &args, &result,
                             DEPLOYMENT_CALL_LIMIT_US) != OUTCOME_OK) {
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
deployment_read_primary(const char *json)
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
deployment_find_upstream(const struct deployment *deployment, const char *name)
{
    for (int i = 0; i < deployment->params.upstreams_count; i++) {
        if (strcmp(deployment->upstreams[i].name, name) == 0) {
            return i;
        }
    }
    return -1;
}

// Waits until the fleet group names a primary that is not not_this.
int
deployment_wait_primary(struct deployment *deployment, const char *not_this)
{
    for (int round = 0; round < DEPLOYMENT_WAIT_ROUNDS; round++) {
        int place = round % deployment->params.voters_count;
        char *json = deployment_query(deployment, place, CK_QUERY_DATABASES);
        int found = -1;
        if (json != NULL) {
            char *primary = deployment_read_primary(json);
            if (strcmp(primary, not_this) != 0) {
                found = deployment_find_upstream(deployment, primary);
            }
            free(primary);
            free(json);
        }
        if (found >= 0) {
            return found;
        }
        usleep(DEPLOYMENT_WAIT_STEP_US);
    }
    INVARIANT(!"no primary");
    return -1;
}

// Returns the place of the daemon that leads the fleet group.
int
deployment_find_leader(struct deployment *deployment)
{
    for (int round = 0; round < DEPLOYMENT_WAIT_ROUNDS; round++) {
        int place = round % deployment->params.voters_count;
        char *json = deployment_query(deployment, place, CK_QUERY_TEMPLATES);
        if (json != NULL) {
            free(json);
            return place;
        }
        usleep(DEPLOYMENT_WAIT_STEP_US);
    }
    INVARIANT(!"no leader");
    return -1;
}

// Opens a session at a daemon; options are further connection parameters.
PGconn *
deployment_connect(const struct deployment *deployment, int place,
                   const char *options)
{
    char text[512];

    (void)snprintf(text, sizeof(text), "dbname=" DEPLOYMENT_DATABASE " %s",
                   options == NULL ? "" : options);
    return process_connect(deployment->daemons[place].postgres_port, text);
}

// Waits until a write succeeds; it goes to a table of its own.
void
deployment_wait_writable(struct deployment *deployment, int place)
{
    for (int round = 0; round < DEPLOYMENT_WAIT_ROUNDS; round++) {
        char info[256];
        (void)snprintf(info, sizeof(info),
                       "host=127.0.0.1 port=%d dbname=" DEPLOYMENT_DATABASE
                       " user=walker connect_timeout=5",
                       deployment->daemons[place].postgres_port);
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
        usleep(DEPLOYMENT_WAIT_STEP_US);
    }
    INVARIANT(!"no write succeeded");
}
