#ifndef CATKINGRADE_CLI_DAEMON_LIST_H
#define CATKINGRADE_CLI_DAEMON_LIST_H

#include "catkingrade/cli/client.h"

// A daemon of the fleet: registered with the fleet group, or only named by
// --connect.
struct daemon_list_entry {
    char vm[CK_NAME_SIZE + 1]; // empty: not known
    struct settings_address address;
};

struct fleet {
    struct daemon_list_entry *daemons;
    size_t count;
};

// Lists the daemons. Those of --connect are in it also when the fleet group
// has no leader; registered says whether the group answered.
void daemon_list_fetch(struct cli_client *client,
                       const struct cli_options *options, struct fleet *fleet,
                       bool *registered);
void daemon_list_free(struct fleet *fleet);

#endif
