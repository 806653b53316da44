#include "catkingrade/decide/traffic/relay_hosts.h"

#include <string.h>

// Returns the index in a new list of relays of the one to use. first and used
// are the first relay of the list before, and the one in use. An entry that
// has left its first relay stays where it is, unless the new list begins with
// another relay, or no longer has the one in use.
size_t
relay_hosts_follow(const char *first, const char *used, char *const *hosts,
                   size_t count)
{
    if (count == 0 || strcmp(hosts[0], first) != 0) {
        return 0;
    }
    for (size_t i = 0; i < count; i++) {
        if (strcmp(hosts[i], used) == 0) {
            return i;
        }
    }
    return 0;
}
