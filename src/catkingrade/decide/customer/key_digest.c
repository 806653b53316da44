#include "catkingrade/decide/customer/key_digest.h"

#include <openssl/sha.h>

// Computes the digest of a key, which need not end with a NUL byte.
void
key_digest_compute(const char *key, size_t size_bytes, ck_key_digest digest)
{
    (void)SHA256((const unsigned char *)key, size_bytes,
                 (unsigned char *)digest);
}
