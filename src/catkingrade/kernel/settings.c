#include "catkingrade/kernel/settings.h"

#include <arpa/inet.h>
#include <ctype.h>
#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "catkingrade/kernel/file.h"
#include "catkingrade/kernel/json_reader.h"
#include "catkingrade/kernel/memory.h"
#include "catkingrade/kernel/name.h"
#include "catkingrade/kernel/outcome.h"

#define SETTINGS_US_PER_MS       1000
#define SETTINGS_US_PER_S        1000000
#define SETTINGS_MAX_SIZE_BYTES  (1024 * 1024)
#define SETTINGS_MAX_NAME_LENGTH 63
#define SETTINGS_PATH_SIZE       256

// A duration, in milliseconds in the file and in microseconds in struct
// settings. The key is the field name with _ms in place of _us.
struct settings_time {
    const char *key;
    size_t offset;
    int64_t fallback_ms;
    int64_t min_ms;
    int64_t max_ms;
};

#define SETTINGS_TIME(name, fallback, min, max)                               \
    {                                                                         \
#name "_ms", offsetof(struct settings, name##_us), fallback, min, max \
    }

static const struct settings_time settings_times[] = {
    SETTINGS_TIME(lease, 1000, 100, 10000),
    SETTINGS_TIME(renew, 300, 20, 5000),
    SETTINGS_TIME(probe, 100, 10, 5000),
    SETTINGS_TIME(heartbeat, 100, 10, 5000),
    SETTINGS_TIME(election, 500, 50, 10000),
    SETTINGS_TIME(announce_expiry, 2000, 200, 60000),
    SETTINGS_TIME(suspect, 500, 50, 10000),
    SETTINGS_TIME(switchover, 5000, 500, 600000),
    SETTINGS_TIME(idle_proof, 1000, 50, 600000),
    SETTINGS_TIME(connect_timeout, 1000, 50, 60000),
    SETTINGS_TIME(drain_notice, 2000, 0, 600000),
    SETTINGS_TIME(drain_limit, 60000, 0, 3600000),
    SETTINGS_TIME(key_revoke, 2000, 0, 600000),
};

// A string setting. The key is the field name.
struct settings_text {
    const char *key;
    size_t offset;
    const char *fallback;
    bool required;
};

#define SETTINGS_TEXT(name, fallback, required)                               \
    {                                                                         \
#name, offsetof(struct settings, name), fallback, required            \
    }

static const struct settings_text settings_texts[] = {
    SETTINGS_TEXT(vm, "", true),
    SETTINGS_TEXT(failure_domain, "", true),
    SETTINGS_TEXT(region, "", false),
    SETTINGS_TEXT(data_dir, "", false),
    SETTINGS_TEXT(key_file, "", false),
    SETTINGS_TEXT(view_file, "", false),
    SETTINGS_TEXT(tls_cert_file, "", false),
    SETTINGS_TEXT(tls_key_file, "", false),
    SETTINGS_TEXT(token_keys_file, "", false),
    SETTINGS_TEXT(upstream_user, "catkingrade", false),
    SETTINGS_TEXT(upstream_password_file, "", false),
    SETTINGS_TEXT(upstream_sslmode, "prefer", false),
    SETTINGS_TEXT(upstream_promote_sql, "SELECT pg_promote(true, 5)", false),
    SETTINGS_TEXT(upstream_follow_sql,
                  "ALTER SYSTEM SET primary_conninfo = "
                  "'host={host} port={port}'; SELECT pg_reload_conf()",
                  false),
    SETTINGS_TEXT(upstream_fence_sql,
                  "ALTER SYSTEM SET default_transaction_read_only = on; "
                  "SELECT pg_reload_conf()",
                  false),
    SETTINGS_TEXT(log_path, "-", false),
};

static const char *const settings_keys[] = {
    "vm",
    "failure_domain",
    "region",
    "roles",
    "listen",
    "data_dir",
    "key_file",
    "view_file",
    "tls_cert_file",
    "tls_key_file",
    "tls_required",
    "token_keys_file",
    "upstream_user",
    "upstream_password_file",
    "upstream_sslmode",
    "upstream_promote_sql",
    "upstream_follow_sql",
    "upstream_fence_sql",
    "traffic_threads",
    "max_sessions",
    "classify_cache_entries",
    "seeds",
    "seeds_port",
    "voters_from_seeds",
    "tolerated_losses",
    "relay_min_connections",
    "relay_by_customer",
    "key_required",
    "bootstrap",
    "sample_upstreams",
    "learned_capacity",
    "ready_with_lease",
    "platform",
    "groups",
    "log_path",
    "log_level",
    "log_format",
    "lease_ms",
    "renew_ms",
    "probe_ms",
    "heartbeat_ms",
    "election_ms",
    "announce_expiry_ms",
    "suspect_ms",
    "switchover_ms",
    "idle_proof_ms",
    "connect_timeout_ms",
    "drain_notice_ms",
    "drain_limit_ms",
    "key_revoke_ms",
    "limit_window_s",
    "limit_excess",
    "limit_slack",
    "clock_drift_ppm",
    NULL,
};

static const char *const settings_listen_keys[] = {"postgres", "rpc", "http",
                                                   "metrics", NULL};
static const char *const settings_platform_keys[] = {
    "listen", "relay", "control", "promote", NULL};
static const char *const settings_group_keys[] = {"name", "failure_domain",
                                                  "voters", NULL};
static const char *const settings_voter_keys[] = {"id", "vm", "rpc", NULL};
static const char *const settings_log_levels[] = {"debug", "info", "warning",
                                                  "error", NULL};
static const char *const settings_log_formats[] = {"text", "json", NULL};
static const char *const settings_sslmodes[] = {
    "disable", "prefer", "require", "verify-ca", "verify-full", NULL};

// Parses "IP:PORT" or "[IPv6]:PORT". Returns whether text is valid; if not,
// the contents of *address are undefined.
bool
settings_parse_address(const char *text, struct settings_address *address)
{
    unsigned char ignored[sizeof(struct in6_addr)];
    const char *colon = strrchr(text, ':');
    char *end = NULL;

    if (colon == NULL || colon == text) {
        return false;
    }
    const char *host = text;
    size_t length = (size_t)(colon - text);
    if (text[0] == '[' && colon[-1] == ']') {
        host++;
        length -= 2;
    }
    if (length >= sizeof(address->host)) {
        return false;
    }
    memcpy(address->host, host, length);
    address->host[length] = '\0';
    // strtol would also read blanks and a sign.
    long port =
        isdigit((unsigned char)colon[1]) ? strtol(colon + 1, &end, 10) : 0;
    if (port < 1 || port > UINT16_MAX || *end != '\0') {
        return false;
    }
    address->port = (uint16_t)port;
    return inet_pton(AF_INET, address->host, ignored) == 1 ||
           inet_pton(AF_INET6, address->host, ignored) == 1;
}

static void
settings_check_name(struct json_reader *reader, const char *path,
                    const char *name)
{
    if (name[0] != '\0' && !name_is_printable(name, strlen(name))) {
        json_reader_add_error(reader, path,
                              "must not have a control character");
    }
}

static void
settings_read_address_text(struct json_reader *reader, const char *path,
                           const char *text, struct settings_address *address)
{
    if (!settings_parse_address(text, address)) {
        json_reader_add_error(reader, path,
                              "\"%s\" is not an IP number and port such as "
                              "127.0.0.1:6432",
                              text);
        memset(address, 0, sizeof(*address));
    }
}

static void
settings_read_address(struct json_reader *reader, struct json_object *object,
                      const char *path, const char *key,
                      struct settings_address *address)
{
    char joined[SETTINGS_PATH_SIZE];
    char *text = json_reader_get_text(reader, object, path, key, NULL, false);

    if (text == NULL) {
        return;
    }
    (void)snprintf(joined, sizeof(joined), "%s.%s", path, key);
    settings_read_address_text(reader, joined, text, address);
    free(text);
}

static void
settings_read_listen(struct json_reader *reader, struct settings *settings)
{
    struct json_object *listen =
        json_reader_get_object(reader, reader->root, "", "listen");

    if (listen == NULL) {
        return;
    }
    json_reader_check_keys(reader, listen, "listen", settings_listen_keys);
    settings_read_address(reader, listen, "listen", "postgres",
                          &settings->postgres);
    settings_read_address(reader, listen, "listen", "rpc", &settings->rpc);
    settings_read_address(reader, listen, "listen", "http", &settings->http);
    settings_read_address(reader, listen, "listen", "metrics",
                          &settings->metrics);
}

static void
settings_read_platform(struct json_reader *reader, struct settings *settings)
{
    struct json_object *platform =
        json_reader_get_object(reader, reader->root, "", "platform");
    struct settings_platform *out = &settings->platform;

    if (platform == NULL) {
        return;
    }
    json_reader_check_keys(reader, platform, "platform",
                           settings_platform_keys);
    settings_read_address(reader, platform, "platform", "listen",
                          &out->listen);
    settings_read_address(reader, platform, "platform", "relay", &out->relay);
    settings_read_address(reader, platform, "platform", "promote",
                          &out->promote);
    out->control =
        json_reader_get_bool(reader, platform, "platform", "control", false);
}

static void
settings_read_roles(struct json_reader *reader, struct settings *settings)
{
    struct json_object *roles =
        json_reader_get_array(reader, reader->root, "", "roles");
    size_t count = roles == NULL ? 0 : json_object_array_length(roles);

    for (size_t i = 0; i < count; i++) {
        struct json_object *item = json_object_array_get_idx(roles, i);
        const char *name = json_object_get_string(item);
        if (name != NULL && strcmp(name, "entry") == 0) {
            settings->roles |= SETTINGS_ROLE_ENTRY;
        }
        else if (name != NULL && strcmp(name, "control") == 0) {
            settings->roles |= SETTINGS_ROLE_CONTROL;
        }
        else {
            json_reader_add_error(reader, "roles",
                                  "\"%s\" is not one of entry, control",
                                  name == NULL ? "null" : name);
        }
    }
    if (settings->roles == 0) {
        json_reader_add_error(reader, "roles",
                              "must name entry, control or both");
    }
}

static void
settings_read_seeds(struct json_reader *reader, struct settings *settings)
{
    struct json_object *seeds =
        json_reader_get_array(reader, reader->root, "", "seeds");
    size_t count = seeds == NULL ? 0 : json_object_array_length(seeds);
    char path[SETTINGS_PATH_SIZE];

    settings->seeds = xcalloc(count, sizeof(*settings->seeds));
    settings->seeds_count = count;
    for (size_t i = 0; i < count; i++) {
        const char *text =
            json_object_get_string(json_object_array_get_idx(seeds, i));
        (void)snprintf(path, sizeof(path), "seeds[%zu]", i);
        settings_read_address_text(reader, path, text == NULL ? "" : text,
                                   &settings->seeds[i]);
        if (settings->seeds_port != 0) {
            settings->seeds[i].port = settings->seeds_port;
        }
    }
}

static int
settings_compare_addresses(const void *left, const void *right)
{
    const struct settings_address *a = left;
    const struct settings_address *b = right;
    int order = strcmp(a->host, b->host);

    return order != 0 ? order : (int)a->port - (int)b->port;
}

// Creates the fleet group with the seeds as initial voters. Voter IDs follow
// the sort order of the addresses, so that all daemons assign the same IDs.
static void
settings_add_seed_voters(struct settings *settings)
{
    size_t count = settings->seeds_count;
    struct settings_address *sorted = xcalloc(count + 1, sizeof(*sorted));
    struct settings_group *group = xcalloc(1, sizeof(*group));

    memcpy(sorted, settings->seeds, count * sizeof(*sorted));
    qsort(sorted, count, sizeof(*sorted), settings_compare_addresses);
    group->name = xstrdup("fleet");
    group->failure_domain = xstrdup("");
    group->voters = xcalloc(count + 1, sizeof(*group->voters));
    group->voters_count = count;
    for (size_t i = 0; i < count; i++) {
        group->voters[i].id = i + 1;
        group->voters[i].vm = xstrdup(sorted[i].host);
        group->voters[i].rpc = sorted[i];
    }
    free(sorted);
    settings->groups = group;
    settings->groups_count = 1;
}

// Returns a copy of a name, which the caller frees: it is sent to other
// daemons, upstreams and the platform, also in HTTP headers.
static char *
settings_read_name(struct json_reader *reader, struct json_object *object,
                   const char *path, const char *key, bool required)
{
    char joined[SETTINGS_PATH_SIZE];
    char *name = json_reader_get_text(reader, object, path, key, "", required);

    (void)snprintf(joined, sizeof(joined), "%s.%s", path, key);
    settings_check_name(reader, joined, name);
    return name;
}

static void
settings_read_voter(struct json_reader *reader, struct json_object *item,
                    const char *path, struct settings_voter *voter)
{
    if (!json_object_is_type(item, json_type_object)) {
        json_reader_add_error(reader, path, "must be an object");
        voter->vm = xstrdup("");
        return;
    }
    json_reader_check_keys(reader, item, path, settings_voter_keys);
    voter->id = (uint64_t)json_reader_get_number(reader, item, path, "id", 0,
                                                 1, INT64_MAX);
    voter->vm = settings_read_name(reader, item, path, "vm", true);
    settings_read_address(reader, item, path, "rpc", &voter->rpc);
    if (voter->id == 0) {
        json_reader_add_error(reader, path, "id: missing or not positive");
    }
}

static void
settings_read_voters(struct json_reader *reader, struct json_object *group,
                     const char *path, struct settings_group *out)
{
    struct json_object *voters =
        json_reader_get_array(reader, group, path, "voters");
    size_t count = voters == NULL ? 0 : json_object_array_length(voters);
    char item_path[SETTINGS_PATH_SIZE];

    out->voters = xcalloc(count, sizeof(*out->voters));
    out->voters_count = count;
    if (count == 0 || count > 7 || count % 2 == 0) {
        json_reader_add_error(reader, path, "voters: must be 1, 3, 5 or 7");
    }
    for (size_t i = 0; i < count; i++) {
        struct json_object *item = json_object_array_get_idx(voters, i);
        (void)snprintf(item_path, sizeof(item_path), "%s.voters[%zu]", path,
                       i);
        settings_read_voter(reader, item, item_path, &out->voters[i]);
    }
}

static void
settings_read_groups(struct json_reader *reader, struct settings *settings)
{
    struct json_object *groups =
        json_reader_get_array(reader, reader->root, "", "groups");
    size_t count = groups == NULL ? 0 : json_object_array_length(groups);
    char path[SETTINGS_PATH_SIZE];

    settings->groups = xcalloc(count, sizeof(*settings->groups));
    settings->groups_count = count;
    for (size_t i = 0; i < count; i++) {
        struct json_object *item = json_object_array_get_idx(groups, i);
        struct settings_group *group = &settings->groups[i];
        (void)snprintf(path, sizeof(path), "groups[%zu]", i);
        if (!json_object_is_type(item, json_type_object)) {
            json_reader_add_error(reader, path, "must be an object");
            continue;
        }
        json_reader_check_keys(reader, item, path, settings_group_keys);
        group->name = settings_read_name(reader, item, path, "name", true);
        group->failure_domain =
            settings_read_name(reader, item, path, "failure_domain", false);
        settings_read_voters(reader, item, path, group);
    }
}

static void
settings_read_texts(struct json_reader *reader, struct settings *settings)
{
    for (size_t i = 0; i < ARRAY_SIZE(settings_texts); i++) {
        const struct settings_text *row = &settings_texts[i];
        char **field = (char **)((char *)settings + row->offset);
        *field = json_reader_get_text(reader, reader->root, "", row->key,
                                      row->fallback, row->required);
    }
    settings_check_name(reader, "vm", settings->vm);
    settings_check_name(reader, "failure_domain", settings->failure_domain);
    settings_check_name(reader, "region", settings->region);
    settings_check_name(reader, "upstream_user", settings->upstream_user);
    if (strlen(settings->vm) > SETTINGS_MAX_NAME_LENGTH) {
        json_reader_add_error(reader, "vm", "longer than %d characters",
                              SETTINGS_MAX_NAME_LENGTH);
    }
    if (strlen(settings->failure_domain) > SETTINGS_MAX_NAME_LENGTH) {
        json_reader_add_error(reader, "failure_domain",
                              "longer than %d characters",
                              SETTINGS_MAX_NAME_LENGTH);
    }
    (void)json_reader_get_choice(reader, reader->root, "", "upstream_sslmode",
                                 settings_sslmodes, 1);
}

static void
settings_read_numbers(struct json_reader *reader, struct settings *settings)
{
    struct json_object *root = reader->root;

    for (size_t i = 0; i < ARRAY_SIZE(settings_times); i++) {
        const struct settings_time *row = &settings_times[i];
        int64_t *field = (int64_t *)(void *)((char *)settings + row->offset);
        *field =
            SETTINGS_US_PER_MS *
            json_reader_get_number(reader, root, "", row->key,
                                   row->fallback_ms, row->min_ms, row->max_ms);
    }
    settings->traffic_threads = (unsigned)json_reader_get_number(
        reader, root, "", "traffic_threads", 2, 1, 64);
    settings->max_sessions = (unsigned)json_reader_get_number(
        reader, root, "", "max_sessions", 20000, 1, 1000000);
    settings->classify_cache_entries = (unsigned)json_reader_get_number(
        reader, root, "", "classify_cache_entries", 4096, 16, 1000000);
    settings->clock_drift_ppm = (unsigned)json_reader_get_number(
        reader, root, "", "clock_drift_ppm", 10000, 0, 100000);
    settings->limit_window_us =
        (int64_t)(SETTINGS_US_PER_S *
                  json_reader_get_fraction(reader, root, "", "limit_window_s",
                                           5, 0.5, 600));
    settings->limit_excess =
        json_reader_get_fraction(reader, root, "", "limit_excess", 0.1, 0, 10);
    settings->limit_slack = json_reader_get_fraction(
        reader, root, "", "limit_slack", 20, 0, 1000000);
    settings->tls_required =
        json_reader_get_bool(reader, root, "", "tls_required", false);
    settings->seeds_port = (uint16_t)json_reader_get_number(
        reader, root, "", "seeds_port", 0, 0, UINT16_MAX);
    settings->voters_from_seeds =
        json_reader_get_bool(reader, root, "", "voters_from_seeds", false);
    settings->tolerated_losses = (unsigned)json_reader_get_number(
        reader, root, "", "tolerated_losses", 1, 0, 3);
    settings->relay_min_connections = (unsigned)json_reader_get_number(
        reader, root, "", "relay_min_connections", 0, 0, 1000);
    settings->relay_by_customer =
        json_reader_get_bool(reader, root, "", "relay_by_customer", false);
    settings->key_required =
        json_reader_get_bool(reader, root, "", "key_required", true);
    settings->bootstrap =
        json_reader_get_bool(reader, root, "", "bootstrap", false);
    settings->sample_upstreams =
        json_reader_get_bool(reader, root, "", "sample_upstreams", true);
    settings->learned_capacity =
        json_reader_get_bool(reader, root, "", "learned_capacity", false);
    settings->ready_with_lease =
        json_reader_get_bool(reader, root, "", "ready_with_lease", false);
    settings->log_level = (enum log_level)json_reader_get_choice(
        reader, root, "", "log_level", settings_log_levels, LOG_LEVEL_INFO);
    settings->log_format = (enum log_format)json_reader_get_choice(
        reader, root, "", "log_format", settings_log_formats, LOG_FORMAT_TEXT);
}

// Returns whether an address is a loopback address or not set.
static bool
settings_is_loopback(const struct settings_address *address)
{
    return strncmp(address->host, "127.", 4) == 0 ||
           strcmp(address->host, "::1") == 0 || address->host[0] == '\0';
}

// Checks constraints between several settings.
static void
settings_check_consistency(struct json_reader *reader,
                           const struct settings *settings)
{
    if (settings->renew_us * 2 > settings->lease_us) {
        json_reader_add_error(reader, "renew_ms",
                              "must be at most half of lease_ms");
    }
    if (settings->heartbeat_us * 2 > settings->election_us) {
        json_reader_add_error(reader, "heartbeat_ms",
                              "must be at most half of election_ms");
    }
    if ((settings->roles & SETTINGS_ROLE_ENTRY) != 0 &&
        settings->postgres.port == 0 && settings->platform.listen.port == 0) {
        json_reader_add_error(reader, "listen.postgres",
                              "missing; the role entry needs it");
    }
    if (settings->postgres.port != 0 && settings->platform.listen.port != 0) {
        json_reader_add_error(reader, "platform.listen",
                              "does not go with listen.postgres");
    }
    if (settings->platform.listen.port != 0 &&
        !name_is_word(settings->upstream_user,
                      strlen(settings->upstream_user))) {
        json_reader_add_error(reader, "upstream_user",
                              "must be one word, since platform.listen is "
                              "set");
    }
    if (settings->voters_from_seeds && settings->groups_count > 0) {
        json_reader_add_error(reader, "voters_from_seeds",
                              "does not go with groups");
    }
    if ((settings->roles & SETTINGS_ROLE_CONTROL) != 0 &&
        settings->data_dir[0] == '\0') {
        json_reader_add_error(reader, "data_dir",
                              "missing; the role control needs it");
    }
    if (settings->rpc.port == 0 && settings->view_file[0] == '\0') {
        json_reader_add_error(reader, "listen.rpc",
                              "missing; only an entry with view_file runs "
                              "without it");
    }
    if (!settings_is_loopback(&settings->rpc) &&
        settings->key_file[0] == '\0' && settings->key_required) {
        json_reader_add_error(reader, "key_file",
                              "missing; listen.rpc is not on loopback "
                              "(key_required: false allows that)");
    }
    if ((settings->tls_cert_file[0] == '\0') !=
        (settings->tls_key_file[0] == '\0')) {
        json_reader_add_error(reader, "tls_cert_file",
                              "goes with tls_key_file");
    }
    if (settings->tls_required && settings->tls_cert_file[0] == '\0') {
        json_reader_add_error(reader, "tls_required",
                              "needs tls_cert_file and tls_key_file");
    }
}

// Parses settings from a JSON text with comments; path is the file name in
// error messages. Returns NULL if the text is invalid and appends one line per
// error to errors, with file name, line number and key path.
struct settings *
settings_parse(const char *path, const char *text, struct buffer *errors)
{
    struct json_reader reader;
    struct settings *settings = xcalloc(1, sizeof(*settings));

    settings->file = xstrdup(path);
    if (json_reader_open(&reader, path, text, errors) == OUTCOME_OK) {
        json_reader_check_whole(&reader);
        json_reader_check_keys(&reader, reader.root, "", settings_keys);
        settings_read_texts(&reader, settings);
        settings_read_numbers(&reader, settings);
        settings_read_roles(&reader, settings);
        settings_read_listen(&reader, settings);
        settings_read_platform(&reader, settings);
        settings_read_seeds(&reader, settings);
        settings_read_groups(&reader, settings);
        settings_check_consistency(&reader, settings);
        if (settings->voters_from_seeds && settings->groups_count == 0) {
            free(settings->groups);
            settings_add_seed_voters(settings);
        }
    }
    bool failed = reader.failed;
    json_reader_close(&reader);
    if (failed) {
        settings_destroy(settings);
        return NULL;
    }
    return settings;
}

// Reads settings from a file. Returns NULL on failure and appends one line per
// error to errors.
struct settings *
settings_load(const char *path, struct buffer *errors)
{
    char *text = NULL;
    size_t size_bytes = 0;
    int outcome =
        file_read_bytes(path, SETTINGS_MAX_SIZE_BYTES, &text, &size_bytes);

    if (outcome != OUTCOME_OK) {
        buffer_append_format(errors, "%s: cannot be read: %s\n", path,
                             outcome == OUTCOME_IO ? strerror(errno)
                                                   : "it is too large");
        return NULL;
    }
    struct settings *settings = NULL;
    if (strlen(text) == size_bytes) {
        settings = settings_parse(path, text, errors);
    }
    else {
        buffer_append_format(errors, "%s: has a zero byte\n", path);
    }
    free(text);
    return settings;
}

// Returns the valid top-level keys of a settings file, terminated by NULL.
const char *const *
settings_list_keys(void)
{
    return settings_keys;
}

// Frees the settings. NULL is ignored.
void
settings_destroy(struct settings *settings)
{
    if (settings == NULL) {
        return;
    }
    for (size_t i = 0; i < ARRAY_SIZE(settings_texts); i++) {
        free(*(char **)((char *)settings + settings_texts[i].offset));
    }
    for (size_t i = 0; i < settings->groups_count; i++) {
        struct settings_group *group = &settings->groups[i];
        for (size_t j = 0; j < group->voters_count; j++) {
            free(group->voters[j].vm);
        }
        free(group->voters);
        free(group->name);
        free(group->failure_domain);
    }
    free(settings->groups);
    free(settings->seeds);
    free(settings->file);
    free(settings);
}
