#include "catkingrade/cli/daemon_list.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "catkingrade/cli/objects.h"
#include "catkingrade/kernel/memory.h"

static void
daemon_list_add(struct fleet *fleet, const char *vm,
                const struct settings_address *address)
{
    for (size_t i = 0; i < fleet->count; i++) {
        const struct settings_address *known = &fleet->daemons[i].address;
        if (known->port == address->port &&
            strcmp(known->host, address->host) == 0) {
            return;
        }
    }
    fleet->daemons = xrealloc(
        fleet->daemons, (fleet->count + 1) * sizeof(struct daemon_list_entry));
    struct daemon_list_entry *daemon = &fleet->daemons[fleet->count++];
    memset(daemon, 0, sizeof(*daemon));
    (void)snprintf(daemon->vm, sizeof(daemon->vm), "%s", vm);
    daemon->address = *address;
}

// Lists registered daemons first, then the others that were named.
void
daemon_list_fetch(struct cli_client *client, const struct cli_options *options,
                  struct fleet *fleet, bool *registered)
{
    struct json_object *rows = json_object_new_array();

    memset(fleet, 0, sizeof(*fleet));
    *registered =
        cli_client_query_all(client, CK_QUERY_DAEMONS, CLI_FLEET_GROUP, "",
                             rows) == CLI_EXIT_OK;
    for (size_t i = 0; i < json_object_array_length(rows); i++) {
        struct json_object *row = json_object_array_get_idx(rows, i);
        struct settings_address address = {0};
        (void)snprintf(address.host, sizeof(address.host), "%s",
                       cli_get_text(row, "host"));
        address.port = (uint16_t)strtoul(cli_get_text(row, "port"), NULL, 10);
        daemon_list_add(fleet, cli_get_text(row, "vm"), &address);
    }
    for (size_t i = 0; i < options->daemons_count; i++) {
        daemon_list_add(fleet, "", &options->daemons[i]);
    }
    json_object_put(rows);
}

// Frees the list.
void
daemon_list_free(struct fleet *fleet)
{
    free(fleet->daemons);
    memset(fleet, 0, sizeof(*fleet));
}
