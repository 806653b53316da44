#ifndef CATKINGRADE_CLI_DAEMON_LIST_H
#define CATKINGRADE_CLI_DAEMON_LIST_H

#include "catkingrade/cli/client.h"

// List of the daemons that a verb queries one by one, without duplicates: the
// daemons registered with the fleet group, followed by the other daemons given
// by --connect.
struct daemon_list_entry {
    char vm[CK_NAME_SIZE + 1]; // empty: unknown
    struct settings_address address;
};

struct daemon_list {
    struct daemon_list_entry *daemons;
    size_t count;
};

// Fetches the list, which the caller frees with daemon_list_free(). If the
// fleet group does not reply, for example because it has no leader,
// fleet_group_replied is false and the list holds the daemons of --connect.
void daemon_list_fetch(struct cli_client *client,
                       const struct cli_options *options,
                       struct daemon_list *list, bool *fleet_group_replied);
void daemon_list_free(struct daemon_list *list);

#endif
