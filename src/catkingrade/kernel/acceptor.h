#ifndef CATKINGRADE_KERNEL_ACCEPTOR_H
#define CATKINGRADE_KERNEL_ACCEPTOR_H

#include "catkingrade/kernel/loop.h"
#include "catkingrade/kernel/settings.h"

// A listening TCP socket on an event loop. Passes each accepted connection to
// a handler on the loop's thread.
struct acceptor;

// Receives a new non-blocking connection and takes ownership of fd.
typedef void (*acceptor_handler)(void *data, int fd);

struct acceptor *acceptor_create(struct loop *loop,
                                 const struct settings_address *address,
                                 acceptor_handler handle, void *data);
void acceptor_destroy(struct acceptor *acceptor);

#endif
