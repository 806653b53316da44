#include "catkingrade/kernel/acceptor.h"

#include <errno.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <unistd.h>

#include "catkingrade/kernel/memory.h"
#include "catkingrade/kernel/tcp.h"

#define ACCEPTOR_MAX_PER_ITERATION 64 // connections
#define ACCEPTOR_PAUSE_US          100000

struct acceptor {
    int fd;
    struct loop_watch *watch;
    struct loop_timer *resume_timer;
    acceptor_handler handle;
    void *data;
};

static void
acceptor_resume(void *data)
{
    struct acceptor *acceptor = data;

    loop_watch_set_events(acceptor->watch, LOOP_READ);
}

// Stops accepting for ACCEPTOR_PAUSE_US if accept4 has failed for lack of file
// descriptors or memory. An immediate retry would fail again; meanwhile, new
// connections wait in the kernel's listen backlog.
static void
acceptor_pause_if_exhausted(struct acceptor *acceptor)
{
    if (errno != EMFILE && errno != ENFILE && errno != ENOBUFS &&
        errno != ENOMEM) {
        return;
    }
    loop_watch_set_events(acceptor->watch, 0);
    loop_timer_set(acceptor->resume_timer,
                   monotonic_get_us() + ACCEPTOR_PAUSE_US);
}

static void
acceptor_accept(void *data, unsigned events)
{
    struct acceptor *acceptor = data;

    (void)events;
    for (int i = 0; i < ACCEPTOR_MAX_PER_ITERATION; i++) {
        int fd =
            accept4(acceptor->fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (fd < 0) {
            acceptor_pause_if_exhausted(acceptor);
            return;
        }
        acceptor->handle(acceptor->data, fd);
    }
}

// Listens on an address and accepts connections from then on. Returns NULL and
// logs an error if the socket cannot be opened.
struct acceptor *
acceptor_create(struct loop *loop, const struct settings_address *address,
                acceptor_handler handle, void *data)
{
    int fd = tcp_listen(address);

    if (fd < 0) {
        return NULL;
    }
    struct acceptor *acceptor = xcalloc(1, sizeof(*acceptor));
    acceptor->fd = fd;
    acceptor->handle = handle;
    acceptor->data = data;
    acceptor->watch =
        loop_watch_create(loop, fd, LOOP_READ, acceptor_accept, acceptor);
    acceptor->resume_timer =
        loop_timer_create(loop, acceptor_resume, acceptor);
    return acceptor;
}

// Closes the listening socket and frees the acceptor. NULL is ignored. Must
// not be called from inside the acceptor's handler.
void
acceptor_destroy(struct acceptor *acceptor)
{
    if (acceptor == NULL) {
        return;
    }
    loop_timer_destroy(acceptor->resume_timer);
    loop_watch_destroy(acceptor->watch);
    close(acceptor->fd);
    free(acceptor);
}
