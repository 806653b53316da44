#include "catkingrade/kernel/acceptor.h"

#include <errno.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <unistd.h>

#include "catkingrade/kernel/memory.h"
#include "catkingrade/kernel/tcp.h"

#define ACCEPTOR_MAX_PER_ITERATION 64 // connections of one turn
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

// Out of descriptors or memory, callers wait in the system's queue for a
// while: accepting at once again would only fail again.
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

// Listens and accepts from now on.
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

// Stops accepting and frees the acceptor.
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
