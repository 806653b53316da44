#ifndef CATKINGRADE_KERNEL_ACCEPTOR_H
#define CATKINGRADE_KERNEL_ACCEPTOR_H

#include "catkingrade/kernel/loop.h"
#include "catkingrade/kernel/settings.h"

// A listening socket that hands over callers' connections on its loop.
struct acceptor;

// Takes a new non-blocking connection, which belongs to it from now on.
typedef void (*acceptor_handler)(void *data, int fd);

// NULL, with a line logged, when the address can't be listened to.
struct acceptor *acceptor_create(struct loop *loop,
                                 const struct settings_address *address,
                                 acceptor_handler handle, void *data);
// Closes the socket; NULL is ignored. Not from inside the handler.
void acceptor_destroy(struct acceptor *acceptor);

#endif
