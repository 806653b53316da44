#ifndef CATKINGRADE_PLUGINS_POSTGRES_TRANSPORT_H
#define CATKINGRADE_PLUGINS_POSTGRES_TRANSPORT_H

#include <openssl/ssl.h>
#include <stdbool.h>

#include "catkingrade/kernel/buffer.h"
#include "catkingrade/kernel/settings.h"

// Non-blocking byte stream of a client connection, with or without TLS.
struct postgres_transport {
    int fd;
    SSL *ssl;         // NULL: no TLS
    bool handshaking; // the TLS handshake is in progress
    bool wants_write; // TLS must write before it can continue
};

SSL_CTX *postgres_transport_create_context(const struct settings *settings);
int postgres_transport_begin_tls(struct postgres_transport *transport,
                                 SSL_CTX *context);
int postgres_transport_handshake(struct postgres_transport *transport);
int postgres_transport_read(struct postgres_transport *transport,
                            struct buffer *in, size_t max_bytes);
int postgres_transport_write(struct postgres_transport *transport,
                             struct buffer *out);
bool postgres_transport_finish(struct postgres_transport *transport);
void postgres_transport_close(struct postgres_transport *transport);

#endif
