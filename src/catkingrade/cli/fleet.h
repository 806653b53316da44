#ifndef CATKINGRADE_CLI_FLEET_H
#define CATKINGRADE_CLI_FLEET_H

#include "catkingrade/cli/client.h"

// A daemon of the fleet: registered with the fleet group, or only named by
// --connect.
struct fleet_daemon {
    char vm[CK_NAME_SIZE + 1]; // empty: not known
    struct settings_address address;
};

struct fleet {
    struct fleet_daemon *daemons;
    size_t count;
};

// Lists the daemons. Those of --connect are in it also when the fleet group
// has no leader; registered says whether the group answered.
void fleet_list(struct cli_client *client, const struct cli_options *options,
                struct fleet *fleet, bool *registered);
void fleet_free(struct fleet *fleet);

#endif
