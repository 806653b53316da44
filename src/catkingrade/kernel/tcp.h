#ifndef CATKINGRADE_KERNEL_TCP_H
#define CATKINGRADE_KERNEL_TCP_H

#include <stdbool.h>
#include <stdint.h>

#include "catkingrade/kernel/buffer.h"
#include "catkingrade/kernel/settings.h"

// Non-blocking TCP sockets.
int tcp_listen(const struct settings_address *address);
int tcp_connect(const char *host, unsigned port);
void tcp_set_peer_timeout(int fd, int64_t silent_us);
void tcp_set_keepalive(int fd, int idle_s, int interval_s, unsigned silent_ms);
// Each returns OUTCOME_OK, OUTCOME_AGAIN when the socket has or takes no more
// now, or OUTCOME_CLOSED at its end.
int tcp_read(int fd, struct buffer *in);
int tcp_write(int fd, struct buffer *out);
void tcp_reset(int fd);

#endif
