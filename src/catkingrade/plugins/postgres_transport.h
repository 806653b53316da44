#ifndef CATKINGRADE_PLUGINS_POSTGRES_TRANSPORT_H
#define CATKINGRADE_PLUGINS_POSTGRES_TRANSPORT_H

#include <openssl/ssl.h>
#include <stdbool.h>

#include "catkingrade/kernel/buffer.h"
#include "catkingrade/kernel/settings.h"

// The bytes of a client connection, with or without TLS; non-blocking.
struct postgres_transport {
    int fd;
    SSL *ssl;         // NULL: plain
    bool handshaking; // TLS is not established yet
    bool wants_write; // TLS has to write before it can go on
};

SSL_CTX *postgres_transport_create_context(const struct settings *settings);
int postgres_transport_begin_tls(struct postgres_transport *transport,
                                 SSL_CTX *context);
int postgres_transport_handshake(struct postgres_transport *transport);
int postgres_transport_read(struct postgres_transport *transport,
                            struct buffer *in, size_t max_bytes);
int postgres_transport_write(struct postgres_transport *transport,
                             struct buffer *out);
void postgres_transport_close(struct postgres_transport *transport);

#endif
