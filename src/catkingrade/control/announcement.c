#include "catkingrade/control/announcement.h"

#include <arpa/inet.h>
#include <stdlib.h>
#include <string.h>

#include "catkingrade/kernel/json_reader.h"
#include "catkingrade/kernel/memory.h"
#include "catkingrade/kernel/outcome.h"
#include "catkingrade/rpc/codec.h"

#define ANNOUNCEMENT_MAX_SLOTS       10000
#define ANNOUNCEMENT_MAX_CONNECTIONS 100000

static const char *const announcement_keys[] = {
    "database", "name",        "failure_domain", "host",  "port",
    "slots",    "connections", "state",          "group", NULL};
static const char *const announcement_states[] = {"ready", "leaving", NULL};

// Reads a text that must not be empty or longer than CK_NAME_SIZE, the limit
// of names in RPC messages. The caller frees it.
static char *
announcement_get_name(struct json_reader *reader, const char *key)
{
    char *name = json_reader_get_text(reader, reader->root, "", key, "", true);
    size_t length = strlen(name);

    if (length > CK_NAME_SIZE) {
        json_reader_add_error(reader, key, "longer than %d characters",
                              CK_NAME_SIZE);
    }
    else if (length == 0 && !reader->failed) {
        json_reader_add_error(reader, key, "must not be empty");
    }
    return name;
}

static void
announcement_read_host(struct json_reader *reader,
                       struct ck_upstream *upstream)
{
    unsigned char ignored[sizeof(struct in6_addr)];

    upstream->host = announcement_get_name(reader, "host");
    if (inet_pton(AF_INET, upstream->host, ignored) != 1 &&
        inet_pton(AF_INET6, upstream->host, ignored) != 1) {
        json_reader_add_error(reader, "host", "\"%s\" is not an IP number",
                              upstream->host);
    }
}

static void
announcement_read(struct json_reader *reader,
                  struct announcement *announcement)
{
    struct ck_upstream *upstream = &announcement->upstream;
    struct json_object *root = reader->root;

    json_reader_check_keys(reader, root, "", announcement_keys);
    announcement->group =
        json_reader_get_text(reader, root, "", "group", "fleet", false);
    upstream->database = announcement_get_name(reader, "database");
    upstream->name = announcement_get_name(reader, "name");
    upstream->failure_domain = announcement_get_name(reader, "failure_domain");
    announcement_read_host(reader, upstream);
    upstream->port = (u_int)json_reader_get_number(reader, root, "", "port", 0,
                                                   1, UINT16_MAX);
    upstream->slots = (u_int)json_reader_get_number(
        reader, root, "", "slots", 0, 1, ANNOUNCEMENT_MAX_SLOTS);
    upstream->connections = (u_int)json_reader_get_number(
        reader, root, "", "connections", 0, 1, ANNOUNCEMENT_MAX_CONNECTIONS);
    upstream->state = (ck_upstream_state)json_reader_get_choice(
        reader, root, "", "state", announcement_states, CK_UPSTREAM_READY);
    if (upstream->port == 0 || upstream->slots == 0 ||
        upstream->connections == 0) {
        json_reader_add_error(reader, "",
                              "port, slots and connections must be given");
    }
}

int
announcement_parse(const char *body, struct announcement *announcement,
                   struct buffer *errors)
{
    struct json_reader reader;

    memset(announcement, 0, sizeof(*announcement));
    if (json_reader_open(&reader, "announcement", body, errors) ==
        OUTCOME_OK) {
        json_reader_check_whole(&reader);
        announcement_read(&reader, announcement);
    }
    bool failed = reader.failed;
    json_reader_close(&reader);
    if (failed) {
        announcement_free(announcement);
        return OUTCOME_INVALID;
    }
    return OUTCOME_OK;
}

// Frees the members of the announcement, not the struct itself.
void
announcement_free(struct announcement *announcement)
{
    free(announcement->group);
    codec_free((xdrproc_t)xdr_ck_upstream, &announcement->upstream);
    memset(announcement, 0, sizeof(*announcement));
}
