#ifndef CATKINGRADE_CLI_OBJECTS_H
#define CATKINGRADE_CLI_OBJECTS_H

#include <stdint.h>

#include "catkingrade/cli/client.h"
#include "catkingrade/cli/output.h"

#define CLI_FLEET_GROUP "fleet" // control group that stores all objects

// Functions that several verbs share to query objects (templates, customers
// and databases). Those that return int return CLI_EXIT_OK, or another exit
// code after printing a message.

// Prints all objects of a kind in the fleet group: a table, or JSON if the
// options ask for it.
int cli_list_objects(const struct cli_options *options,
                     enum ck_query_kind kind, const struct cli_column *columns,
                     size_t columns_count);
// Fetches one object from the fleet group; a missing object is an error. The
// caller releases the row with json_object_put(), which accepts NULL.
int cli_fetch_object(struct cli_client *client, enum ck_query_kind kind,
                     const char *name, struct json_object **row);
// Fetches the revision of an object. revision is not set after an error.
int cli_fetch_revision(struct cli_client *client, enum ck_query_kind kind,
                       const char *name, uint64_t *revision);
// Prints the document of an object as it was applied.
int cli_show_document(struct cli_client *client, enum ck_query_kind kind,
                      const char *name);
// Appends the names of the control groups that the first daemon of the options
// votes in or holds leases of, the fleet group first. If the daemon does not
// reply, that is the fleet group only.
void cli_fetch_groups(struct cli_client *client, struct json_object *groups);
// Appends the databases of the groups of cli_fetch_groups(), each with its
// group.
int cli_fetch_databases(struct cli_client *client, struct json_object *rows);

#endif
