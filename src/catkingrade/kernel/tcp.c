#include "catkingrade/kernel/tcp.h"

#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "catkingrade/kernel/address.h"
#include "catkingrade/kernel/log.h"
#include "catkingrade/kernel/outcome.h"

#define TCP_BACKLOG              1024
#define TCP_READ_BYTES           4096
#define TCP_KEEPALIVE_INTERVAL_S 1
#define TCP_KEEPALIVE_COUNT      3
#define TCP_US_PER_MS            1000
#define TCP_US_PER_S             1000000

// Opens a listening socket; each thread has its own on the same address.
// Returns -1, with a line logged, on failure.
int
tcp_listen(const struct settings_address *address)
{
    struct sockaddr_storage place;
    socklen_t size = address_to_sockaddr(address, &place);
    int on = 1;

    int fd =
        socket(place.ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (fd >= 0 &&
        setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on)) == 0 &&
        setsockopt(fd, SOL_SOCKET, SO_REUSEPORT, &on, sizeof(on)) == 0 &&
        bind(fd, (struct sockaddr *)&place, size) == 0 &&
        listen(fd, TCP_BACKLOG) == 0) {
        return fd;
    }
    LOG_ERROR("listen_failed", "address=%s port=%u error=%s", address->host,
              (unsigned)address->port, strerror(errno));
    if (fd >= 0) {
        close(fd);
    }
    return -1;
}

// Sends small messages at once, and makes the kernel ask a silent peer after
// idle_s, then every interval_s, and end a connection that gets no answer:
// after TCP_KEEPALIVE_COUNT of them, or silent_ms when something waits to be
// sent.
void
tcp_set_keepalive(int fd, int idle_s, int interval_s, unsigned silent_ms)
{
    int on = 1;
    int count = TCP_KEEPALIVE_COUNT;

    (void)setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    (void)setsockopt(fd, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof(on));
    (void)setsockopt(fd, IPPROTO_TCP, TCP_KEEPIDLE, &idle_s, sizeof(idle_s));
    (void)setsockopt(fd, IPPROTO_TCP, TCP_KEEPINTVL, &interval_s,
                     sizeof(interval_s));
    (void)setsockopt(fd, IPPROTO_TCP, TCP_KEEPCNT, &count, sizeof(count));
    (void)setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &silent_ms,
                     sizeof(silent_ms));
}

// Makes the kernel end a connection whose peer has been silent for so long,
// and send small messages at once.
void
tcp_set_peer_timeout(int fd, int64_t silent_us)
{
    int idle_s = (int)(silent_us / TCP_US_PER_S);

    tcp_set_keepalive(fd, idle_s < 1 ? 1 : idle_s, TCP_KEEPALIVE_INTERVAL_S,
                      (unsigned)(silent_us / TCP_US_PER_MS));
}

// Begins to connect. Returns the socket, or -1 when it failed at once.
int
tcp_connect(const char *host, unsigned port)
{
    struct settings_address address = {.port = (uint16_t)port};
    struct sockaddr_storage place;

    (void)strncpy(address.host, host, sizeof(address.host) - 1);
    socklen_t size = address_to_sockaddr(&address, &place);
    if (size == 0) {
        return -1;
    }
    int fd =
        socket(place.ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (fd < 0) {
        return -1;
    }
    if (connect(fd, (struct sockaddr *)&place, size) != 0 &&
        errno != EINPROGRESS) {
        close(fd);
        return -1;
    }
    return fd;
}

// Appends what has come.
int
tcp_read(int fd, struct buffer *in)
{
    for (;;) {
        uint8_t *place = buffer_reserve(in, TCP_READ_BYTES);
        ssize_t size = recv(fd, place, TCP_READ_BYTES, 0);
        if (size == 0) {
            return OUTCOME_CLOSED;
        }
        if (size < 0) {
            return errno == EAGAIN || errno == EINTR ? OUTCOME_AGAIN
                                                     : OUTCOME_CLOSED;
        }
        in->end += (size_t)size;
        if (size < TCP_READ_BYTES) {
            return OUTCOME_AGAIN;
        }
    }
}

// Writes what the socket takes; OUTCOME_OK when all is out.
int
tcp_write(int fd, struct buffer *out)
{
    while (buffer_get_size(out) > 0) {
        ssize_t size =
            send(fd, buffer_get_data(out), buffer_get_size(out), MSG_NOSIGNAL);
        if (size < 0) {
            return errno == EAGAIN || errno == EINTR ? OUTCOME_AGAIN
                                                     : OUTCOME_CLOSED;
        }
        buffer_consume(out, (size_t)size);
    }
    return OUTCOME_OK;
}

// Closes a connection so that nothing which is still under way arrives.
void
tcp_reset(int fd)
{
    struct linger linger = {.l_onoff = 1, .l_linger = 0};

    (void)setsockopt(fd, SOL_SOCKET, SO_LINGER, &linger, sizeof(linger));
    close(fd);
}
