#include "catkingrade/kernel/tcp.h"

#include <errno.h>
#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/ioctl.h>
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

// Opens a listening socket. With SO_REUSEPORT, each thread opens a socket of
// its own on the same address. Returns -1 and logs an error on failure.
int
tcp_listen(const struct settings_address *address)
{
    struct sockaddr_storage sockaddr;
    socklen_t size = address_to_sockaddr(address, &sockaddr);
    int on = 1;

    int fd = socket(sockaddr.ss_family,
                    SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (fd >= 0 &&
        setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on)) == 0 &&
        setsockopt(fd, SOL_SOCKET, SO_REUSEPORT, &on, sizeof(on)) == 0 &&
        bind(fd, (struct sockaddr *)&sockaddr, size) == 0 &&
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

// Disables Nagle's algorithm and enables keepalive: after idle_s without data
// from the peer, the kernel sends a probe every interval_s. The kernel closes
// a connection after TCP_KEEPALIVE_COUNT unanswered probes, or when sent data
// has not been acknowledged for user_timeout_ms.
void
tcp_set_keepalive(int fd, int idle_s, int interval_s, unsigned user_timeout_ms)
{
    int on = 1;
    int count = TCP_KEEPALIVE_COUNT;

    (void)setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    (void)setsockopt(fd, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof(on));
    (void)setsockopt(fd, IPPROTO_TCP, TCP_KEEPIDLE, &idle_s, sizeof(idle_s));
    (void)setsockopt(fd, IPPROTO_TCP, TCP_KEEPINTVL, &interval_s,
                     sizeof(interval_s));
    (void)setsockopt(fd, IPPROTO_TCP, TCP_KEEPCNT, &count, sizeof(count));
    (void)setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &user_timeout_ms,
                     sizeof(user_timeout_ms));
}

// Disables Nagle's algorithm and makes the kernel close a connection whose
// peer does not respond for timeout_us. An idle connection is probed after
// timeout_us, rounded down to seconds but at least 1 s, and is closed when
// TCP_KEEPALIVE_COUNT probes remain unanswered.
void
tcp_set_peer_timeout(int fd, int64_t timeout_us)
{
    int idle_s = (int)(timeout_us / TCP_US_PER_S);

    tcp_set_keepalive(fd, idle_s < 1 ? 1 : idle_s, TCP_KEEPALIVE_INTERVAL_S,
                      (unsigned)(timeout_us / TCP_US_PER_MS));
}

// Begins to connect to a numeric IP address without waiting for the result.
// Returns the socket, or -1 on an immediate failure.
int
tcp_connect(const char *host, unsigned port)
{
    struct settings_address address = {.port = (uint16_t)port};
    struct sockaddr_storage sockaddr;

    (void)strncpy(address.host, host, sizeof(address.host) - 1);
    socklen_t size = address_to_sockaddr(&address, &sockaddr);
    if (size == 0) {
        return -1;
    }
    int fd = socket(sockaddr.ss_family,
                    SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (fd < 0) {
        return -1;
    }
    if (connect(fd, (struct sockaddr *)&sockaddr, size) != 0 &&
        errno != EINPROGRESS) {
        close(fd);
        return -1;
    }
    return fd;
}

// Appends received bytes to in, at least once and until it holds max_bytes.
// Returns OUTCOME_AGAIN then or when no more bytes are available, or
// OUTCOME_CLOSED at the end of the stream or on an error.
int
tcp_read(int fd, struct buffer *in, size_t max_bytes)
{
    do {
        uint8_t *chunk = buffer_reserve(in, TCP_READ_BYTES);
        ssize_t size = recv(fd, chunk, TCP_READ_BYTES, 0);
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
    } while (buffer_get_size(in) < max_bytes);
    return OUTCOME_AGAIN;
}

// Sends the bytes in out and consumes those that were sent. Returns OUTCOME_OK
// when out is empty, OUTCOME_AGAIN when the socket accepts no more bytes for
// now, or OUTCOME_CLOSED on an error.
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

// Returns whether the peer has acknowledged all bytes that were sent.
bool
tcp_is_acknowledged(int fd)
{
    int size = 0;

    return ioctl(fd, SIOCOUTQ, &size) != 0 || size == 0;
}

// Returns whether a connection can be closed without a loss of sent bytes.
// Otherwise ends the stream to the peer: data that arrives from the peer after
// a close resets the connection, and the kernel drops what is not
// acknowledged.
bool
tcp_finish(int fd)
{
    if (tcp_is_acknowledged(fd)) {
        return true;
    }
    (void)shutdown(fd, SHUT_WR);
    return false;
}

// Closes a connection with a TCP reset, so that unsent data and data in
// transit are not delivered to the peer.
void
tcp_reset(int fd)
{
    struct linger linger = {.l_onoff = 1, .l_linger = 0};

    (void)setsockopt(fd, SOL_SOCKET, SO_LINGER, &linger, sizeof(linger));
    close(fd);
}
