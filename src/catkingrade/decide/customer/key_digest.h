#ifndef CATKINGRADE_DECIDE_KEY_DIGEST_H
#define CATKINGRADE_DECIDE_KEY_DIGEST_H

#include <stddef.h>

#include "catkingrade/rpc/messages.h"

// SHA-256 digest of a customer's API key. Declarations, views and sessions
// hold digests only. They need no salt, since a key is a random text.
void key_digest_compute(const char *key, size_t size_bytes,
                        ck_key_digest digest);

#endif
