#ifndef CATKINGRADE_ENTRY_SCRAM_H
#define CATKINGRADE_ENTRY_SCRAM_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

// The server's side of SCRAM-SHA-256 (RFC 5802, RFC 7677), without channel
// binding. Pure: nonces and secrets come from the caller.

#define SCRAM_MECHANISM        "SCRAM-SHA-256"
#define SCRAM_KEY_BYTES        32
#define SCRAM_MAX_SALT_BYTES   64
#define SCRAM_MAX_NONCE_SIZE   128
#define SCRAM_MAX_MESSAGE_SIZE 1024
#define SCRAM_NONCE_TEXT_SIZE  25 // base64 of 18 bytes, with its end

// What is kept of a password.
struct scram_verifier {
    unsigned iterations;
    uint8_t salt[SCRAM_MAX_SALT_BYTES];
    size_t salt_size_bytes;
    uint8_t stored_key[SCRAM_KEY_BYTES];
    uint8_t server_key[SCRAM_KEY_BYTES];
};

enum scram_phase {
    SCRAM_EXPECTS_FIRST,
    SCRAM_EXPECTS_FINAL,
    SCRAM_ENDED,
};

// One exchange; zero-initialised but for the verifier.
struct scram {
    enum scram_phase phase;
    struct scram_verifier verifier;
    bool known_user; // false: a mock verifier, which never succeeds
    char gs2_header[4];
    char client_first_bare[SCRAM_MAX_MESSAGE_SIZE];
    char server_first[SCRAM_MAX_MESSAGE_SIZE];
    char nonce[2 * SCRAM_MAX_NONCE_SIZE];
};

// Parses "SCRAM-SHA-256$ITERATIONS:SALT$STORED_KEY:SERVER_KEY".
int scram_verifier_parse(const char *text, struct scram_verifier *verifier);
void scram_verifier_mock(const uint8_t secret[SCRAM_KEY_BYTES],
                         const char *user, struct scram_verifier *verifier);
int scram_handle_client_first(struct scram *scram, const char *message,
                              size_t size_bytes, const char *server_nonce);
int scram_handle_client_final(struct scram *scram, const char *message,
                              size_t size_bytes,
                              char server_final[SCRAM_MAX_MESSAGE_SIZE]);

#endif
