#ifndef CATKINGRADE_KERNEL_TCP_H
#define CATKINGRADE_KERNEL_TCP_H

#include <stdbool.h>
#include <stdint.h>

#include "catkingrade/kernel/buffer.h"
#include "catkingrade/kernel/settings.h"

// Operations on non-blocking TCP sockets.
int tcp_listen(const struct settings_address *address);
int tcp_connect(const char *host, unsigned port);
void tcp_set_peer_timeout(int fd, int64_t timeout_us);
void tcp_set_keepalive(int fd, int idle_s, int interval_s,
                       unsigned user_timeout_ms);
int tcp_read(int fd, struct buffer *in, size_t max_bytes);
int tcp_write(int fd, struct buffer *out);
bool tcp_finish(int fd);
bool tcp_is_acknowledged(int fd);
void tcp_reset(int fd);

#endif
