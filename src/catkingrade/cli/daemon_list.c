#include "catkingrade/cli/daemon_list.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "catkingrade/cli/objects.h"
#include "catkingrade/kernel/memory.h"

// Adds a daemon unless its address is already in the list.
static void
daemon_list_add(struct daemon_list *list, const char *vm,
                const struct settings_address *address)
{
    for (size_t i = 0; i < list->count; i++) {
        const struct settings_address *known = &list->daemons[i].address;
        if (known->port == address->port &&
            strcmp(known->host, address->host) == 0) {
            return;
        }
    }
    list->daemons = xrealloc(
        list->daemons, (list->count + 1) * sizeof(struct daemon_list_entry));
    struct daemon_list_entry *daemon = &list->daemons[list->count++];
    memset(daemon, 0, sizeof(*daemon));
    (void)snprintf(daemon->vm, sizeof(daemon->vm), "%s", vm);
    daemon->address = *address;
}

void
daemon_list_fetch(struct cli_client *client, const struct cli_options *options,
                  struct daemon_list *list, bool *fleet_group_replied)
{
    struct json_object *rows = json_object_new_array();

    memset(list, 0, sizeof(*list));
    *fleet_group_replied =
        cli_client_query_all(client, CK_QUERY_DAEMONS, CLI_FLEET_GROUP, "",
                             rows) == CLI_EXIT_OK;
    for (size_t i = 0; i < json_object_array_length(rows); i++) {
        struct json_object *row = json_object_array_get_idx(rows, i);
        struct settings_address address = {0};
        (void)snprintf(address.host, sizeof(address.host), "%s",
                       cli_get_text(row, "host"));
        address.port = (uint16_t)strtoul(cli_get_text(row, "port"), NULL, 10);
        daemon_list_add(list, cli_get_text(row, "vm"), &address);
    }
    for (size_t i = 0; i < options->daemons_count; i++) {
        daemon_list_add(list, "", &options->daemons[i]);
    }
    json_object_put(rows);
}

void
daemon_list_free(struct daemon_list *list)
{
    free(list->daemons);
    memset(list, 0, sizeof(*list));
}
