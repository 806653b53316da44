#ifndef CATKINGRADE_DECIDE_RELAY_HOSTS_H
#define CATKINGRADE_DECIDE_RELAY_HOSTS_H

#include <stddef.h>

// Which relay of a new list an entry uses. Answers the load of relays that
// stop in turn: lists change often, and each needless move costs new links.

size_t relay_hosts_follow(const char *first, const char *used,
                          char *const *hosts, size_t count);

#endif
