#ifndef CATKINGRADE_CLI_OBJECTS_H
#define CATKINGRADE_CLI_OBJECTS_H

#include <stdint.h>

#include "catkingrade/cli/client.h"
#include "catkingrade/cli/output.h"

#define CLI_FLEET_GROUP "fleet"

// What the verbs of templates, customers and upstreams share. Each returns
// an exit code, with a message already printed when it is not CLI_EXIT_OK.
int cli_list_objects(const struct cli_options *options,
                     enum ck_query_kind kind, const struct cli_column *columns,
                     size_t columns_count);
int cli_fetch_object(struct cli_client *client, enum ck_query_kind kind,
                     const char *name, struct json_object **row);
int cli_fetch_revision(struct cli_client *client, enum ck_query_kind kind,
                       const char *name, uint64_t *revision);
int cli_show_document(struct cli_client *client, enum ck_query_kind kind,
                      const char *name);
// Appends the names of the control groups, the fleet group first.
void cli_fetch_groups(struct cli_client *client, struct json_object *groups);
// Appends the databases of all control groups, each with its group.
int cli_fetch_databases(struct cli_client *client, struct json_object *rows);

#endif
