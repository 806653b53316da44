#ifndef CATKINGRADE_PLUGINS_POSTGRES_LISTENER_H
#define CATKINGRADE_PLUGINS_POSTGRES_LISTENER_H

#include <openssl/ssl.h>

#include "catkingrade/entry/worker.h"

struct postgres_session;

// The listener of one traffic thread.
struct postgres_listener {
    struct worker *worker;
    struct acceptor *acceptor; // NULL once it drains
    struct postgres_session *sessions;
    SSL_CTX *tls; // NULL: no TLS
    bool draining;
};

void postgres_listener_cancel(struct entry *entry, uint32_t key_id,
                              uint32_t key_secret);

uint32_t
postgres_listener_get_cancel_key_id(const struct postgres_session *session);

#endif
