#include "catkingrade/kernel/outcome.h"

#include <stddef.h>

struct outcome_row {
    int outcome;
    const char *name;
    const char *text;
};

static const struct outcome_row outcome_rows[] = {
    {OUTCOME_OK, "ok", "done"},
    {OUTCOME_INVALID, "invalid", "the input is not valid"},
    {OUTCOME_NOT_FOUND, "not_found", "no such object"},
    {OUTCOME_CONFLICT, "conflict", "another change came first"},
    {OUTCOME_NOT_LEADER, "not_leader", "this VM does not lead the group"},
    {OUTCOME_TIMEOUT, "timeout", "no answer before the deadline"},
    {OUTCOME_UNAVAILABLE, "unavailable", "it cannot be reached"},
    {OUTCOME_OVERLOADED, "overloaded", "too much work is waiting"},
    {OUTCOME_CORRUPT, "corrupt", "stored data failed its checksum"},
    {OUTCOME_IO, "io", "an input or output operation failed"},
    {OUTCOME_NO_SPACE, "no_space", "the disk is full"},
    {OUTCOME_LOCKED, "locked", "another process holds the lock"},
    {OUTCOME_DENIED, "denied", "the caller is not allowed to do this"},
    {OUTCOME_PROTOCOL, "protocol", "the peer broke the protocol"},
    {OUTCOME_TOO_LARGE, "too_large", "it exceeds a size limit"},
    {OUTCOME_CLOSED, "closed", "the other side has closed"},
    {OUTCOME_FENCED, "fenced", "a newer term has superseded this one"},
    {OUTCOME_NOT_RUN, "not_run", "the request was not run"},
    {OUTCOME_UNKNOWN, "unknown", "the request may have been run"},
    {OUTCOME_NOT_SUPPORTED, "not_supported", "not supported"},
    {OUTCOME_AGAIN, "again", "try again"},
};

static const struct outcome_row *
outcome_find_row(int outcome)
{
    size_t count = sizeof(outcome_rows) / sizeof(outcome_rows[0]);

    for (size_t i = 0; i < count; i++) {
        if (outcome_rows[i].outcome == outcome) {
            return &outcome_rows[i];
        }
    }
    return NULL;
}

// Returns the short name of an outcome for logs and JSON, or "unlisted" for an
// unknown code.
const char *
outcome_get_name(int outcome)
{
    const struct outcome_row *row = outcome_find_row(outcome);

    return row == NULL ? "unlisted" : row->name;
}

// Returns a description of an outcome for error messages. Never returns NULL.
const char *
outcome_get_text(int outcome)
{
    const struct outcome_row *row = outcome_find_row(outcome);

    return row == NULL ? "unlisted outcome" : row->text;
}
