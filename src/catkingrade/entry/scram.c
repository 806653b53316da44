#include "catkingrade/entry/scram.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/sha.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "catkingrade/kernel/memory.h"
#include "catkingrade/kernel/outcome.h"

#define SCRAM_VERIFIER_PREFIX  SCRAM_MECHANISM "$"
#define SCRAM_MAX_ITERATIONS   10000000
#define SCRAM_MOCK_ITERATIONS  4096
#define SCRAM_MOCK_SALT_BYTES  16
#define SCRAM_BASE64_MAX_BYTES 128
#define SCRAM_GS2_HEADER_LEN   3

static void
scram_hmac(const uint8_t key[SCRAM_KEY_BYTES], const char *text,
           uint8_t digest[SCRAM_KEY_BYTES])
{
    unsigned size = SCRAM_KEY_BYTES;

    INVARIANT(HMAC(EVP_sha256(), key, SCRAM_KEY_BYTES,
                   (const unsigned char *)text, strlen(text), digest,
                   &size) != NULL);
}

// Decodes base64 of exactly size_chars. Returns the size in bytes, or -1.
static int
scram_decode_base64(const char *text, size_t size_chars, uint8_t *data,
                    size_t max_size_bytes)
{
    unsigned char decoded[SCRAM_BASE64_MAX_BYTES];
    int padding = 0;

    if (size_chars == 0 || size_chars % 4 != 0 ||
        size_chars / 4 * 3 > sizeof(decoded)) {
        return -1;
    }
    for (size_t i = 0; i < size_chars; i++) {
        if (text[i] <= ' ') {
            return -1;
        }
        padding += text[i] == '=' ? 1 : 0;
    }
    int size =
        EVP_DecodeBlock(decoded, (const unsigned char *)text, (int)size_chars);
    if (size < 0 || padding > 2) {
        return -1;
    }
    size -= padding;
    if ((size_t)size > max_size_bytes) {
        return -1;
    }
    memcpy(data, decoded, (size_t)size);
    return size;
}

static bool
scram_decode_key(const char *text, size_t size_chars,
                 uint8_t key[SCRAM_KEY_BYTES])
{
    return scram_decode_base64(text, size_chars, key, SCRAM_KEY_BYTES) ==
           SCRAM_KEY_BYTES;
}

// Parses a verifier as PostgreSQL keeps it. Returns OUTCOME_OK or
// OUTCOME_INVALID.
int
scram_verifier_parse(const char *text, struct scram_verifier *verifier)
{
    size_t prefix = strlen(SCRAM_VERIFIER_PREFIX);
    char *end = NULL;

    if (strncmp(text, SCRAM_VERIFIER_PREFIX, prefix) != 0) {
        return OUTCOME_INVALID;
    }
    long iterations = strtol(text + prefix, &end, 10);
    if (iterations < 1 || iterations > SCRAM_MAX_ITERATIONS || *end != ':') {
        return OUTCOME_INVALID;
    }
    const char *salt = end + 1;
    const char *dollar = strchr(salt, '$');
    const char *colon = dollar == NULL ? NULL : strchr(dollar, ':');
    if (colon == NULL) {
        return OUTCOME_INVALID;
    }
    int salt_size = scram_decode_base64(
        salt, (size_t)(dollar - salt), verifier->salt, sizeof(verifier->salt));
    if (salt_size < 1 ||
        !scram_decode_key(dollar + 1, (size_t)(colon - dollar - 1),
                          verifier->stored_key) ||
        !scram_decode_key(colon + 1, strlen(colon + 1),
                          verifier->server_key)) {
        return OUTCOME_INVALID;
    }
    verifier->iterations = (unsigned)iterations;
    verifier->salt_size_bytes = (size_t)salt_size;
    return OUTCOME_OK;
}

// Makes a verifier for a user that does not exist. It is always the same for
// the same secret and user, so that the salt does not tell who exists.
void
scram_verifier_mock(const uint8_t secret[SCRAM_KEY_BYTES], const char *user,
                    struct scram_verifier *verifier)
{
    uint8_t digest[SCRAM_KEY_BYTES];

    scram_hmac(secret, user, digest);
    memset(verifier, 0, sizeof(*verifier));
    verifier->iterations = SCRAM_MOCK_ITERATIONS;
    verifier->salt_size_bytes = SCRAM_MOCK_SALT_BYTES;
    memcpy(verifier->salt, digest, SCRAM_MOCK_SALT_BYTES);
    scram_hmac(digest, "stored", verifier->stored_key);
    scram_hmac(digest, "server", verifier->server_key);
}

// Returns the value of an attribute such as "r=" at the start of text and its
// length up to the next comma, or NULL when it is another attribute.
static const char *
scram_read_attribute(const char *text, char name, size_t *length)
{
    if (text[0] != name || text[1] != '=') {
        return NULL;
    }
    *length = strcspn(text + 2, ",");
    return text + 2;
}

static bool
scram_is_printable(const char *text, size_t length)
{
    for (size_t i = 0; i < length; i++) {
        if (text[i] < '!' || text[i] > '~') {
            return false;
        }
    }
    return length > 0;
}

static void
scram_build_server_first(struct scram *scram)
{
    const struct scram_verifier *verifier = &scram->verifier;
    unsigned char salt[SCRAM_BASE64_MAX_BYTES];

    (void)EVP_EncodeBlock(salt, verifier->salt,
                          (int)verifier->salt_size_bytes);
    (void)snprintf(scram->server_first, sizeof(scram->server_first),
                   "r=%s,s=%s,i=%u", scram->nonce, (const char *)salt,
                   verifier->iterations);
}

// Copies a message into a text. Returns false when it is too long or holds a
// zero byte.
static bool
scram_copy_message(const char *message, size_t size_bytes,
                   char text[SCRAM_MAX_MESSAGE_SIZE])
{
    if (size_bytes >= SCRAM_MAX_MESSAGE_SIZE ||
        memchr(message, 0, size_bytes) != NULL) {
        return false;
    }
    memcpy(text, message, size_bytes);
    text[size_bytes] = '\0';
    return true;
}

// Takes the client's first message; the answer is server_first. server_nonce
// must be fresh and printable. Returns OUTCOME_OK, OUTCOME_PROTOCOL, or
// OUTCOME_NOT_SUPPORTED when the client asks for channel binding or for
// another identity.
int
scram_handle_client_first(struct scram *scram, const char *message,
                          size_t size_bytes, const char *server_nonce)
{
    char text[SCRAM_MAX_MESSAGE_SIZE];
    size_t length = 0;

    if (scram->phase != SCRAM_EXPECTS_FIRST ||
        !scram_copy_message(message, size_bytes, text)) {
        return OUTCOME_PROTOCOL;
    }
    if (text[0] == 'p') {
        return OUTCOME_NOT_SUPPORTED;
    }
    if ((text[0] != 'n' && text[0] != 'y') || text[1] != ',') {
        return OUTCOME_PROTOCOL;
    }
    if (text[2] != ',') {
        return text[2] == 'a' ? OUTCOME_NOT_SUPPORTED : OUTCOME_PROTOCOL;
    }
    const char *bare = text + SCRAM_GS2_HEADER_LEN;
    const char *user = scram_read_attribute(bare, 'n', &length);
    if (user == NULL || user[length] != ',') {
        return OUTCOME_PROTOCOL;
    }
    const char *nonce = scram_read_attribute(user + length + 1, 'r', &length);
    if (nonce == NULL || !scram_is_printable(nonce, length) ||
        length >= SCRAM_MAX_NONCE_SIZE ||
        strlen(server_nonce) >= SCRAM_MAX_NONCE_SIZE) {
        return OUTCOME_PROTOCOL;
    }
    memcpy(scram->gs2_header, text, SCRAM_GS2_HEADER_LEN);
    (void)snprintf(scram->client_first_bare, sizeof(scram->client_first_bare),
                   "%s", bare);
    (void)snprintf(scram->nonce, sizeof(scram->nonce), "%.*s%s", (int)length,
                   nonce, server_nonce);
    scram_build_server_first(scram);
    scram->phase = SCRAM_EXPECTS_FINAL;
    return OUTCOME_OK;
}

// Checks channel binding data and nonce of the final message.
static bool
scram_check_binding_and_nonce(const struct scram *scram, const char *text)
{
    char expected[SCRAM_MAX_MESSAGE_SIZE];
    unsigned char binding[8];

    (void)EVP_EncodeBlock(binding, (const unsigned char *)scram->gs2_header,
                          SCRAM_GS2_HEADER_LEN);
    int size = snprintf(expected, sizeof(expected), "c=%s,r=%s",
                        (const char *)binding, scram->nonce);
    return strlen(text) == (size_t)size &&
           CRYPTO_memcmp(text, expected, (size_t)size) == 0;
}

// Returns whether the proof was made with the password of the verifier.
static bool
scram_check_proof(const struct scram *scram, const char *auth_message,
                  const uint8_t proof[SCRAM_KEY_BYTES])
{
    uint8_t key[SCRAM_KEY_BYTES];
    uint8_t digest[SCRAM_KEY_BYTES];

    scram_hmac(scram->verifier.stored_key, auth_message, key);
    for (size_t i = 0; i < SCRAM_KEY_BYTES; i++) {
        key[i] ^= proof[i];
    }
    SHA256(key, SCRAM_KEY_BYTES, digest);
    bool same = CRYPTO_memcmp(digest, scram->verifier.stored_key,
                              SCRAM_KEY_BYTES) == 0;
    OPENSSL_cleanse(key, sizeof(key));
    return same;
}

static void
scram_build_server_final(const struct scram *scram, const char *auth_message,
                         char server_final[SCRAM_MAX_MESSAGE_SIZE])
{
    uint8_t signature[SCRAM_KEY_BYTES];
    unsigned char text[SCRAM_BASE64_MAX_BYTES];

    scram_hmac(scram->verifier.server_key, auth_message, signature);
    (void)EVP_EncodeBlock(text, signature, SCRAM_KEY_BYTES);
    (void)snprintf(server_final, SCRAM_MAX_MESSAGE_SIZE, "v=%s",
                   (const char *)text);
}

// Takes the client's final message. Returns OUTCOME_OK with server_final,
// OUTCOME_DENIED, or OUTCOME_PROTOCOL. An exchange takes one final message.
int
scram_handle_client_final(struct scram *scram, const char *message,
                          size_t size_bytes,
                          char server_final[SCRAM_MAX_MESSAGE_SIZE])
{
    char text[SCRAM_MAX_MESSAGE_SIZE];
    uint8_t proof[SCRAM_KEY_BYTES];

    if (scram->phase != SCRAM_EXPECTS_FINAL ||
        !scram_copy_message(message, size_bytes, text)) {
        return OUTCOME_PROTOCOL;
    }
    scram->phase = SCRAM_ENDED;
    char *proof_text = strstr(text, ",p=");
    if (proof_text == NULL ||
        !scram_decode_key(proof_text + 3, strlen(proof_text + 3), proof)) {
        return OUTCOME_PROTOCOL;
    }
    *proof_text = '\0';
    if (!scram_check_binding_and_nonce(scram, text)) {
        return OUTCOME_DENIED;
    }
    char *auth_message = xasprintf("%s,%s,%s", scram->client_first_bare,
                                   scram->server_first, text);
    bool proved = scram_check_proof(scram, auth_message, proof);
    scram_build_server_final(scram, auth_message, server_final);
    free(auth_message);
    if (!proved || !scram->known_user) {
        server_final[0] = '\0';
        return OUTCOME_DENIED;
    }
    return OUTCOME_OK;
}
