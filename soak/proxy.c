#include "soak/proxy.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <poll.h>
#include <pthread.h>
#include <stdbool.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <unistd.h>

#include "catkingrade/kernel/buffer.h"
#include "catkingrade/kernel/loop.h"
#include "catkingrade/kernel/memory.h"

#define PROXY_MAX_PAIRS  128
#define PROXY_POLL_MS    2
#define PROXY_READ_BYTES 16384

// One direction of a pair: what was read from its source and not yet written.
struct proxy_flow {
    struct buffer bytes;
    int64_t due_us; // not written before
    bool ended;     // the source has ended
};

struct proxy_pair {
    int fds[2]; // of the caller and of the target
    struct proxy_flow flows[2];
};

struct proxy {
    pthread_t thread;
    pthread_mutex_t mutex; // guards what follows
    bool stopping;
    bool resets;
    enum proxy_fault harm;
    int64_t delay_us;
    int listen_fd;
    int port;
    int target_port;
    struct proxy_pair *pairs[PROXY_MAX_PAIRS];
    size_t pairs_count;
};

static struct sockaddr_in
proxy_make_address(int port)
{
    struct sockaddr_in address = {.sin_family = AF_INET,
                                  .sin_port = htons((uint16_t)port)};

    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

static void
proxy_reset_fd(int fd)
{
    struct linger linger = {.l_onoff = 1};

    (void)setsockopt(fd, SOL_SOCKET, SO_LINGER, &linger, sizeof(linger));
    (void)close(fd);
}

static void
proxy_close_pair(struct proxy *proxy, size_t place)
{
    struct proxy_pair *pair = proxy->pairs[place];

    for (int side = 0; side < 2; side++) {
        proxy_reset_fd(pair->fds[side]);
        buffer_free(&pair->flows[side].bytes);
    }
    free(pair);
    proxy->pairs[place] = proxy->pairs[--proxy->pairs_count];
}

static void
proxy_accept(struct proxy *proxy)
{
    struct sockaddr_in address = proxy_make_address(proxy->target_port);
    int fd = accept(proxy->listen_fd, NULL, NULL);
    int target = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

    if (fd < 0 || target < 0 || proxy->pairs_count == PROXY_MAX_PAIRS ||
        connect(target, (struct sockaddr *)&address, sizeof(address)) != 0) {
        if (fd >= 0) {
            proxy_reset_fd(fd);
        }
        if (target >= 0) {
            (void)close(target);
        }
        return;
    }
    struct proxy_pair *pair = xcalloc(1, sizeof(*pair));
    pair->fds[0] = fd;
    pair->fds[1] = target;
    proxy->pairs[proxy->pairs_count++] = pair;
}

// Returns whether bytes from a side are held back now.
static bool
proxy_is_blocked(const struct proxy *proxy, int side)
{
    return proxy->harm == PROXY_BLOCK_ALL ||
           proxy->harm ==
               (side == 0 ? PROXY_BLOCK_TO_TARGET : PROXY_BLOCK_FROM_TARGET);
}

static void
proxy_read(const struct proxy *proxy, struct proxy_pair *pair, int side)
{
    struct proxy_flow *flow = &pair->flows[side];
    char bytes[PROXY_READ_BYTES];
    ssize_t size = recv(pair->fds[side], bytes, sizeof(bytes), MSG_DONTWAIT);

    if (size > 0) {
        buffer_append(&flow->bytes, bytes, (size_t)size);
        flow->due_us = monotonic_get_us() +
                       (proxy->harm == PROXY_DELAY ? proxy->delay_us : 0);
    }
    else if (size == 0 || (errno != EAGAIN && errno != EINTR)) {
        flow->ended = true;
    }
}

// Passes on what is due. Returns whether the pair goes on.
static bool
proxy_write(const struct proxy *proxy, struct proxy_pair *pair, int side)
{
    struct proxy_flow *flow = &pair->flows[side];
    size_t size = buffer_get_size(&flow->bytes);

    if (proxy_is_blocked(proxy, side) || monotonic_get_us() < flow->due_us) {
        return true;
    }
    if (size > 0) {
        ssize_t sent = send(pair->fds[1 - side], buffer_get_data(&flow->bytes),
                            size, MSG_DONTWAIT | MSG_NOSIGNAL);
        if (sent < 0 && errno != EAGAIN && errno != EINTR) {
            return false;
        }
        if (sent > 0) {
            buffer_consume(&flow->bytes, (size_t)sent);
        }
    }
    return !flow->ended || buffer_get_size(&flow->bytes) > 0;
}

static void
proxy_serve_pairs(struct proxy *proxy, const struct pollfd *polls)
{
    for (size_t i = proxy->pairs_count; i > 0; i--) {
        struct proxy_pair *pair = proxy->pairs[i - 1];
        bool goes_on = !proxy->resets;
        for (int side = 0; side < 2 && goes_on; side++) {
            if ((polls[2 * (i - 1) + (size_t)side].revents &
                 (POLLIN | POLLHUP | POLLERR)) != 0 &&
                !pair->flows[side].ended) {
                proxy_read(proxy, pair, side);
            }
            goes_on = proxy_write(proxy, pair, side);
        }
        if (!goes_on) {
            proxy_close_pair(proxy, i - 1);
        }
    }
    proxy->resets = false;
}

static void *
proxy_run(void *data)
{
    struct proxy *proxy = data;
    struct pollfd polls[2 * PROXY_MAX_PAIRS + 1];

    pthread_mutex_lock(&proxy->mutex);
    while (!proxy->stopping) {
        size_t count = 2 * proxy->pairs_count;
        for (size_t i = 0; i < count; i++) {
            polls[i] = (struct pollfd){.fd = proxy->pairs[i / 2]->fds[i % 2],
                                       .events = POLLIN};
        }
        polls[count] = (struct pollfd){
            .fd = proxy->harm == PROXY_BLOCK_ALL ? -1 : proxy->listen_fd,
            .events = POLLIN};
        pthread_mutex_unlock(&proxy->mutex);
        (void)poll(polls, count + 1, PROXY_POLL_MS);
        pthread_mutex_lock(&proxy->mutex);
        bool calls = (polls[count].revents & POLLIN) != 0;
        proxy_serve_pairs(proxy, polls);
        if (calls) {
            proxy_accept(proxy);
        }
    }
    pthread_mutex_unlock(&proxy->mutex);
    return NULL;
}

// Starts a proxy in front of a local port.
struct proxy *
proxy_start(int target_port)
{
    struct proxy *proxy = xcalloc(1, sizeof(*proxy));
    struct sockaddr_in address = proxy_make_address(0);
    socklen_t size = sizeof(address);

    proxy->target_port = target_port;
    proxy->listen_fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    INVARIANT(proxy->listen_fd >= 0);
    INVARIANT(bind(proxy->listen_fd, (struct sockaddr *)&address, size) == 0);
    INVARIANT(listen(proxy->listen_fd, PROXY_MAX_PAIRS) == 0);
    INVARIANT(getsockname(proxy->listen_fd, (struct sockaddr *)&address,
                          &size) == 0);
    proxy->port = ntohs(address.sin_port);
    pthread_mutex_init(&proxy->mutex, NULL);
    INVARIANT(pthread_create(&proxy->thread, NULL, proxy_run, proxy) == 0);
    return proxy;
}

// Ends all connections and the thread.
void
proxy_stop(struct proxy *proxy)
{
    pthread_mutex_lock(&proxy->mutex);
    proxy->stopping = true;
    pthread_mutex_unlock(&proxy->mutex);
    pthread_join(proxy->thread, NULL);
    while (proxy->pairs_count > 0) {
        proxy_close_pair(proxy, proxy->pairs_count - 1);
    }
    (void)close(proxy->listen_fd);
    pthread_mutex_destroy(&proxy->mutex);
    free(proxy);
}

// Returns the port that it listens to.
int
proxy_get_port(const struct proxy *proxy)
{
    return proxy->port;
}

// Begins a harm, or ends the one that lasts.
void
proxy_set_fault(struct proxy *proxy, enum proxy_fault harm, int64_t delay_us)
{
    pthread_mutex_lock(&proxy->mutex);
    proxy->harm = harm;
    proxy->delay_us = delay_us;
    pthread_mutex_unlock(&proxy->mutex);
}

// Resets all connections that are open.
void
proxy_reset(struct proxy *proxy)
{
    pthread_mutex_lock(&proxy->mutex);
    proxy->resets = true;
    pthread_mutex_unlock(&proxy->mutex);
}
