#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "catkingrade/kernel/memory.h"
#include "catkingrade/kernel/outcome.h"
#include "catkingrade/plugins/postgres_message.h"
#include "catkingrade/plugins/postgres_session.h"

#define VARIABLE_US_PER_MS 1000
#define VARIABLE_TEXT_SIZE 320
#define VARIABLE_MAX_MS    3600000
#define VARIABLE_NAME_SIZE 96

// Returns the session's variables; they are made when first asked for.
struct postgres_variables *
postgres_variables_get_or_create(struct postgres_session *session)
{
    if (session->variables == NULL) {
        session->variables = xcalloc(1, sizeof(*session->variables));
        session->variables->max_age_us = -1;
    }
    return session->variables;
}

static bool
postgres_variables_encode_token(const struct postgres_session *session,
                                char text[TOKEN_TEXT_SIZE])
{
    const struct entry *entry =
        worker_get_entry(postgres_session_get_worker(session));

    return token_encode(entry_get_token_ring(entry),
                        database_get_name(session->base.database),
                        &session->base.floor, text) == OUTCOME_OK;
}

// Appends the session's token as ParameterStatus.
void
postgres_variables_add_token(struct postgres_session *session,
                             struct buffer *out)
{
    char text[TOKEN_TEXT_SIZE];

    if (postgres_variables_encode_token(session, text)) {
        postgres_message_add_parameter(out, "catkingrade.token", text);
    }
}

static bool
postgres_variables_set_token(struct postgres_session *session,
                             const char *value)
{
    const struct entry *entry =
        worker_get_entry(postgres_session_get_worker(session));
    struct scheduler_floor floor;

    if (token_decode(entry_get_token_ring(entry),
                     database_get_name(session->base.database), value,
                     &floor) != OUTCOME_OK) {
        return false;
    }
    struct scheduler_floor *own = &session->base.floor;
    if (floor.term > own->term ||
        (floor.term == own->term && floor.lsn > own->lsn)) {
        *own = floor;
    }
    database_set_floor(session->base.database, &session->base);
    return true;
}

static bool
postgres_variables_parse_ms(const char *value, int64_t *value_us)
{
    char *end = NULL;
    long long value_ms = strtoll(value, &end, 10);

    if (end == value || *end != '\0' || value_ms < 0 ||
        value_ms > VARIABLE_MAX_MS) {
        return false;
    }
    *value_us = value_ms * VARIABLE_US_PER_MS;
    return true;
}

static bool
postgres_variables_parse_bool(const char *value, bool *result)
{
    static const char *const texts[] = {"off", "on", "false", "true",
                                        "0",   "1",  "no",    "yes"};

    for (size_t i = 0; i < ARRAY_SIZE(texts); i++) {
        if (strcasecmp(value, texts[i]) == 0) {
            *result = i % 2 == 1;
            return true;
        }
    }
    return false;
}

static bool
postgres_variables_copy(char *place, size_t size_bytes, const char *value)
{
    size_t length = strlen(value);

    if (length >= size_bytes) {
        return false;
    }
    memcpy(place, value, length + 1);
    return true;
}

static bool
postgres_variables_apply(struct postgres_session *session, const char *name,
                         const char *value, bool *known)
{
    struct postgres_variables *variables =
        postgres_variables_get_or_create(session);

    *known = true;
    if (strcmp(name, "token") == 0) {
        return postgres_variables_set_token(session, value);
    }
    if (strcmp(name, "max_age_ms") == 0) {
        return postgres_variables_parse_ms(value, &variables->max_age_us);
    }
    if (strcmp(name, "deadline_ms") == 0) {
        return postgres_variables_parse_ms(value, &variables->deadline_us);
    }
    if (strcmp(name, "type") == 0) {
        return postgres_variables_copy(variables->type,
                                       sizeof(variables->type), value);
    }
    if (strcmp(name, "key") == 0) {
        return postgres_variables_copy(variables->key, sizeof(variables->key),
                                       value);
    }
    if (strcmp(name, "repeatable") == 0) {
        return postgres_variables_parse_bool(value, &variables->repeatable);
    }
    *known = false;
    return false;
}

// Sets one of catkingrade's own variables and appends the answer. Returns
// whether it was set.
bool
postgres_variables_set(struct postgres_session *session, const char *name,
                       const char *value, struct buffer *out)
{
    bool known;

    if (postgres_variables_apply(session, name, value, &known)) {
        postgres_message_add_complete(out, "SET");
        return true;
    }
    if (known) {
        postgres_message_add_error(out, "ERROR", SQLSTATE_INVALID_VALUE, NULL,
                                   "invalid value for \"catkingrade.%s\"",
                                   name);
        return false;
    }
    postgres_message_add_error(
        out, "ERROR", SQLSTATE_NO_PARAMETER, NULL,
        "unrecognized configuration parameter \"catkingrade.%s\"", name);
    return false;
}

static void
postgres_variables_print_route(const struct postgres_session *session,
                               char text[VARIABLE_TEXT_SIZE])
{
    if (session->route_upstream[0] == '\0') {
        (void)snprintf(text, VARIABLE_TEXT_SIZE, "none");
        return;
    }
    (void)snprintf(text, VARIABLE_TEXT_SIZE, "%s %s: %s",
                   session->route_upstream,
                   session->route_on_replica ? "replica" : "primary",
                   session->route_reason == NULL ? "" : session->route_reason);
}

static bool
postgres_variables_print(const struct postgres_session *session,
                         const char *name, char text[VARIABLE_TEXT_SIZE])
{
    static const struct postgres_variables none = {.max_age_us = -1};
    const struct postgres_variables *variables =
        session->variables == NULL ? &none : session->variables;

    if (strcmp(name, "token") == 0) {
        return postgres_variables_encode_token(session, text);
    }
    if (strcmp(name, "last_route") == 0) {
        postgres_variables_print_route(session, text);
        return true;
    }
    if (strcmp(name, "max_age_ms") == 0) {
        (void)snprintf(text, VARIABLE_TEXT_SIZE, "%" PRId64,
                       variables->max_age_us < 0
                           ? -1
                           : variables->max_age_us / VARIABLE_US_PER_MS);
        return true;
    }
    if (strcmp(name, "deadline_ms") == 0) {
        (void)snprintf(text, VARIABLE_TEXT_SIZE, "%" PRId64,
                       variables->deadline_us / VARIABLE_US_PER_MS);
        return true;
    }
    if (strcmp(name, "type") == 0 || strcmp(name, "key") == 0) {
        (void)snprintf(text, VARIABLE_TEXT_SIZE, "%s",
                       name[0] == 't' ? variables->type : variables->key);
        return true;
    }
    if (strcmp(name, "repeatable") == 0) {
        (void)snprintf(text, VARIABLE_TEXT_SIZE, "%s",
                       variables->repeatable ? "on" : "off");
        return true;
    }
    return false;
}

// Appends the answer to SHOW of one of catkingrade's own variables. Returns
// whether there is such a variable.
bool
postgres_variables_show(struct postgres_session *session, const char *name,
                        bool with_columns, struct buffer *out)
{
    char text[VARIABLE_TEXT_SIZE];
    char column[VARIABLE_NAME_SIZE];

    if (!postgres_variables_print(session, name, text)) {
        postgres_message_add_error(
            out, "ERROR", SQLSTATE_NO_PARAMETER, NULL,
            "unrecognized configuration parameter \"catkingrade.%s\"", name);
        return false;
    }
    if (with_columns) {
        (void)snprintf(column, sizeof(column), "catkingrade.%s", name);
        postgres_message_add_text_column(out, column);
    }
    postgres_message_add_text_row(out, text);
    postgres_message_add_complete(out, "SHOW");
    return true;
}
