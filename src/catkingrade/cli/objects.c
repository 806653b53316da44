#include "catkingrade/cli/objects.h"

#include <stdio.h>
#include <string.h>

#include "catkingrade/kernel/outcome.h"
#include "catkingrade/rpc/codec.h"

// Prints all objects of a kind that the fleet group holds.
int
cli_list_objects(const struct cli_options *options, enum ck_query_kind kind,
                 const struct cli_column *columns, size_t columns_count)
{
    struct cli_client *client = NULL;
    int code = cli_client_open(options, &client);

    if (code != CLI_EXIT_OK) {
        return code;
    }
    struct json_object *rows = json_object_new_array();
    code = cli_client_query_all(client, kind, CLI_FLEET_GROUP, "", rows);
    if (code == CLI_EXIT_OK && options->json) {
        cli_print_json(rows);
    }
    else if (code == CLI_EXIT_OK) {
        cli_print_table(rows, columns, columns_count);
    }
    json_object_put(rows);
    cli_client_close(client);
    return code;
}

// Finds one object; the caller puts the row.
int
cli_fetch_object(struct cli_client *client, enum ck_query_kind kind,
                 const char *name, struct json_object **row)
{
    struct json_object *rows = json_object_new_array();
    int code = cli_client_query_all(client, kind, CLI_FLEET_GROUP, name, rows);

    *row = NULL;
    if (code == CLI_EXIT_OK && json_object_array_length(rows) > 0) {
        *row = json_object_get(json_object_array_get_idx(rows, 0));
    }
    json_object_put(rows);
    if (code == CLI_EXIT_OK && *row == NULL) {
        return cli_fail("there is no \"%s\"", name);
    }
    return code;
}

// Reads the revision of an object.
int
cli_fetch_revision(struct cli_client *client, enum ck_query_kind kind,
                   const char *name, uint64_t *revision)
{
    struct json_object *row = NULL;
    struct json_object *number = NULL;
    int code = cli_fetch_object(client, kind, name, &row);

    if (code == CLI_EXIT_OK) {
        json_object_object_get_ex(row, "revision", &number);
        *revision = json_object_get_uint64(number);
    }
    json_object_put(row);
    return code;
}

// Prints the document of an object as it was applied.
int
cli_show_document(struct cli_client *client, enum ck_query_kind kind,
                  const char *name)
{
    struct json_object *row = NULL;
    int code = cli_fetch_object(client, kind, name, &row);

    if (code == CLI_EXIT_OK) {
        (void)printf("%s", cli_get_text(row, "text"));
    }
    json_object_put(row);
    return code;
}

static bool
objects_contain_text(struct json_object *texts, const char *text)
{
    for (size_t i = 0; i < json_object_array_length(texts); i++) {
        if (strcmp(json_object_get_string(json_object_array_get_idx(texts, i)),
                   text) == 0) {
            return true;
        }
    }
    return false;
}

// Adds the groups that a list of a daemon's status names.
static void
objects_append_groups(struct json_object *status, const char *key,
                      struct json_object *groups)
{
    struct json_object *list = NULL;

    json_object_object_get_ex(status, key, &list);
    for (size_t i = 0; list != NULL && i < json_object_array_length(list);
         i++) {
        const char *group =
            cli_get_text(json_object_array_get_idx(list, i), "group");
        if (!objects_contain_text(groups, group)) {
            json_object_array_add(groups, json_object_new_string(group));
        }
    }
}

// Collects the control groups that the first daemon votes in or holds leases
// of. Without an answer that is the fleet group alone.
void
cli_fetch_groups(struct cli_client *client, struct json_object *groups)
{
    struct ck_query_result result;

    json_object_array_add(groups, json_object_new_string(CLI_FLEET_GROUP));
    int outcome =
        cli_client_query_daemon(client, cli_client_get_first_daemon(client),
                                CK_QUERY_STATUS, 0, &result);
    if (outcome != OUTCOME_OK) {
        return;
    }
    struct json_object *rows = json_tokener_parse(result.json);
    struct json_object *status = json_object_array_get_idx(rows, 0);
    objects_append_groups(status, "groups", groups);
    objects_append_groups(status, "leases", groups);
    json_object_put(rows);
    codec_free((xdrproc_t)xdr_ck_query_result, &result);
}

// Lists the databases of all groups that the first daemon has to do with.
int
cli_fetch_databases(struct cli_client *client, struct json_object *rows)
{
    struct json_object *groups = json_object_new_array();
    int code = CLI_EXIT_OK;

    cli_fetch_groups(client, groups);
    for (size_t i = 0;
         code == CLI_EXIT_OK && i < json_object_array_length(groups); i++) {
        const char *group =
            json_object_get_string(json_object_array_get_idx(groups, i));
        code =
            cli_client_query_all(client, CK_QUERY_DATABASES, group, "", rows);
    }
    json_object_put(groups);
    return code;
}
