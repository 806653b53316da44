#ifndef CATKINGRADE_KERNEL_ADDRESS_H
#define CATKINGRADE_KERNEL_ADDRESS_H

#include <sys/socket.h>

#include "catkingrade/kernel/settings.h"

// Socket addresses of the addresses in settings.
socklen_t address_to_sockaddr(const struct settings_address *address,
                              struct sockaddr_storage *out);
void address_from_sockaddr(const struct sockaddr_storage *from,
                           struct settings_address *address);

#endif
