#include "catkingrade/plugins/postgres_startup.h"

#include <ctype.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "catkingrade/entry/classify.h"
#include "catkingrade/kernel/buffer.h"
#include "catkingrade/kernel/memory.h"
#include "catkingrade/kernel/outcome.h"

#define POSTGRES_US_PER_MS        1000
#define POSTGRES_PARAMETER_PREFIX "catkingrade."
#define POSTGRES_OPTION_SIZE      POSTGRES_STARTUP_MESSAGE_MAX_BYTES

static int
postgres_startup_copy(char *target, size_t size_bytes, const char *text)
{
    size_t length = strlen(text);

    if (length >= size_bytes) {
        return OUTCOME_PROTOCOL;
    }
    memcpy(target, text, length + 1);
    return OUTCOME_OK;
}

// Applies one of catkingrade's own parameters; name comes without the prefix.
static int
postgres_startup_set_catkingrade(struct postgres_startup *startup,
                                 const char *name, const char *value)
{
    if (strcmp(name, "token") == 0) {
        return postgres_startup_copy(startup->token, sizeof(startup->token),
                                     value);
    }
    if (strcmp(name, "new_session") == 0) {
        startup->declared_new = strcmp(value, "1") == 0 ||
                                strcmp(value, "on") == 0 ||
                                strcmp(value, "true") == 0;
        return OUTCOME_OK;
    }
    if (strcmp(name, "max_age_ms") == 0) {
        char *end = NULL;
        long long value_ms = strtoll(value, &end, 10);
        if (end == value || *end != '\0' || value_ms < 0) {
            return OUTCOME_PROTOCOL;
        }
        startup->max_age_us = value_ms * POSTGRES_US_PER_MS;
        return OUTCOME_OK;
    }
    return OUTCOME_PROTOCOL;
}

static bool
postgres_startup_is_name(const char *name)
{
    for (const char *c = name; *c != '\0'; c++) {
        if (!isalnum((unsigned char)*c) && *c != '_' && *c != '.') {
            return false;
        }
    }
    return name[0] != '\0';
}

// Appends SET name = 'value' to the settings. Returns OUTCOME_PROTOCOL if the
// name is invalid or the value contains a backslash.
static int
postgres_startup_add_setting(struct postgres_startup *startup,
                             const char *name, const char *value)
{
    struct buffer text = {0};

    if (!postgres_startup_is_name(name) || strchr(value, '\\') != NULL) {
        return OUTCOME_PROTOCOL;
    }
    buffer_append_format(&text, "%sSET %s = '",
                         startup->settings == NULL ? "" : startup->settings,
                         name);
    for (const char *c = value; *c != '\0'; c++) {
        if (*c == '\'') {
            buffer_append_u8(&text, '\'');
        }
        buffer_append_u8(&text, (uint8_t)*c);
    }
    buffer_append_text(&text, "';");
    free(startup->settings);
    startup->settings =
        xmemdupz((const char *)buffer_get_data(&text), buffer_get_size(&text));
    buffer_free(&text);
    return OUTCOME_OK;
}

static bool
postgres_startup_is_utf8(const char *value)
{
    return strcasecmp(value, "UTF8") == 0 || strcasecmp(value, "UTF-8") == 0 ||
           strcasecmp(value, "'utf-8'") == 0 ||
           strcasecmp(value, "unicode") == 0;
}

static int
postgres_startup_set(struct postgres_startup *startup, const char *name,
                     const char *value)
{
    size_t prefix = strlen(POSTGRES_PARAMETER_PREFIX);

    if (strncmp(name, POSTGRES_PARAMETER_PREFIX, prefix) == 0) {
        return postgres_startup_set_catkingrade(startup, name + prefix, value);
    }
    // application_name is not forwarded, and UTF-8 is the default. So most
    // sessions have equal settings and share upstream connections without
    // changing the settings of these.
    if (strcmp(name, "application_name") == 0 ||
        (strcmp(name, "client_encoding") == 0 &&
         postgres_startup_is_utf8(value))) {
        return OUTCOME_OK;
    }
    startup->changes_lexing =
        startup->changes_lexing || classify_changes_lexing(name, value);
    return postgres_startup_add_setting(startup, name, value);
}

// Copies the next word of an options text into word, which has room for the
// longest startup message. A backslash escapes a space. Returns the rest of
// the text.
static const char *
postgres_startup_read_word(const char *text, char *word, size_t size_bytes)
{
    size_t length = 0;

    while (*text == ' ') {
        text++;
    }
    while (*text != '\0' && *text != ' ') {
        if (*text == '\\' && text[1] != '\0') {
            text++;
        }
        if (length + 1 < size_bytes) {
            word[length++] = *text;
        }
        text++;
    }
    word[length] = '\0';
    return text;
}

// Parses the options parameter, a list of "-c name=value", "-cname=value" and
// "--name=value".
static int
postgres_startup_read_options(struct postgres_startup *startup,
                              const char *text)
{
    char word[POSTGRES_OPTION_SIZE];

    for (;;) {
        text = postgres_startup_read_word(text, word, sizeof(word));
        if (word[0] == '\0') {
            return OUTCOME_OK;
        }
        char *pair = word + 2;
        if (strncmp(word, "-c", 2) != 0 && strncmp(word, "--", 2) != 0) {
            return OUTCOME_PROTOCOL;
        }
        if (strcmp(word, "-c") == 0) {
            text = postgres_startup_read_word(text, word, sizeof(word));
            pair = word;
        }
        char *equals = strchr(pair, '=');
        if (equals == NULL) {
            return OUTCOME_PROTOCOL;
        }
        *equals = '\0';
        int outcome = postgres_startup_set(startup, pair, equals + 1);
        if (outcome != OUTCOME_OK) {
            return outcome;
        }
    }
}

static int
postgres_startup_read_pair(struct postgres_startup *startup, const char *name,
                           const char *value)
{
    if (strcmp(name, "user") == 0) {
        return postgres_startup_copy(startup->user, sizeof(startup->user),
                                     value);
    }
    if (strcmp(name, "database") == 0) {
        return postgres_startup_copy(startup->database,
                                     sizeof(startup->database), value);
    }
    if (strcmp(name, "options") == 0) {
        return postgres_startup_read_options(startup, value);
    }
    if (strncmp(name, "_pq_.", strlen("_pq_.")) == 0) {
        return OUTCOME_OK;
    }
    if (strcmp(name, "replication") == 0) {
        return OUTCOME_PROTOCOL;
    }
    return postgres_startup_set(startup, name, value);
}

// Parses a startup message after its protocol version: pairs of name and
// value, terminated by an empty name. Parameters that the entry does not
// handle itself become settings. Returns OUTCOME_OK, or OUTCOME_PROTOCOL if
// the message is invalid. In both cases the caller must free the startup.
int
postgres_startup_read(struct postgres_reader *reader,
                      struct postgres_startup *startup)
{
    memset(startup, 0, sizeof(*startup));
    startup->max_age_us = -1;
    for (;;) {
        const char *name = postgres_reader_get_string(reader);
        if (reader->failed) {
            return OUTCOME_PROTOCOL;
        }
        if (name[0] == '\0') {
            break;
        }
        const char *value = postgres_reader_get_string(reader);
        if (reader->failed ||
            postgres_startup_read_pair(startup, name, value) != OUTCOME_OK) {
            return OUTCOME_PROTOCOL;
        }
    }
    if (!postgres_reader_is_done(reader) || startup->user[0] == '\0') {
        return OUTCOME_PROTOCOL;
    }
    if (startup->database[0] == '\0') {
        memcpy(startup->database, startup->user, sizeof(startup->user));
    }
    return OUTCOME_OK;
}

// Frees the members of the startup, but not the startup itself.
void
postgres_startup_free(struct postgres_startup *startup)
{
    free(startup->settings);
    startup->settings = NULL;
}
