#include "catkingrade/decide/traffic/token.h"

#include <openssl/crypto.h>
#include <openssl/hmac.h>
#include <stdlib.h>
#include <string.h>

#include "catkingrade/kernel/memory.h"
#include "catkingrade/kernel/outcome.h"

// A token is the base64url text of these fields: key id (4 bytes), term (8),
// log position (8), all big endian, then the HMAC (32). The HMAC covers the
// name of the database, a zero byte and the fields before the HMAC.
#define TOKEN_HEAD_BYTES  20
#define TOKEN_MAC_BYTES   32
#define TOKEN_BYTES       (TOKEN_HEAD_BYTES + TOKEN_MAC_BYTES)
#define TOKEN_TEXT_CHARS  70  // base64url without padding of TOKEN_BYTES
#define TOKEN_SIGNED_MAX  512 // bytes covered by the HMAC
#define TOKEN_KEY_DIGITS  (TOKEN_KEY_BYTES * 2)
#define TOKEN_SEXTET_BITS 6

_Static_assert(TOKEN_TEXT_CHARS < TOKEN_TEXT_SIZE, "a token's text fits");
_Static_assert((TOKEN_BYTES * 8 + TOKEN_SEXTET_BITS - 1) / TOKEN_SEXTET_BITS ==
                   TOKEN_TEXT_CHARS,
               "length of a token's text");

static const char token_alphabet[] =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_";

static void
token_put_be(uint8_t *bytes, uint64_t value, size_t count)
{
    for (size_t i = 0; i < count; i++) {
        bytes[i] = (uint8_t)(value >> (8 * (count - 1 - i)));
    }
}

static uint64_t
token_get_be(const uint8_t *bytes, size_t count)
{
    uint64_t value = 0;

    for (size_t i = 0; i < count; i++) {
        value = value << 8 | bytes[i];
    }
    return value;
}

static void
token_write_text(const uint8_t bytes[TOKEN_BYTES], char *text)
{
    uint32_t bits = 0;
    unsigned bits_count = 0;
    size_t length = 0;

    for (size_t i = 0; i < TOKEN_BYTES; i++) {
        bits = bits << 8 | bytes[i];
        bits_count += 8;
        while (bits_count >= TOKEN_SEXTET_BITS) {
            bits_count -= TOKEN_SEXTET_BITS;
            text[length++] = token_alphabet[bits >> bits_count & 63];
        }
    }
    if (bits_count > 0) {
        text[length++] =
            token_alphabet[bits << (TOKEN_SEXTET_BITS - bits_count) & 63];
    }
    text[length] = '\0';
}

// Decodes the text of a token. Returns OUTCOME_INVALID unless token_write_text
// could have produced it: a wrong length, a foreign character and set padding
// bits are rejected.
static int
token_read_text(const char *text, uint8_t bytes[TOKEN_BYTES])
{
    uint32_t bits = 0;
    unsigned bits_count = 0;
    size_t length = 0;

    if (strnlen(text, TOKEN_TEXT_SIZE) != TOKEN_TEXT_CHARS) {
        return OUTCOME_INVALID;
    }
    for (size_t i = 0; i < TOKEN_TEXT_CHARS; i++) {
        const char *symbol = strchr(token_alphabet, text[i]);
        if (symbol == NULL) {
            return OUTCOME_INVALID;
        }
        bits = bits << TOKEN_SEXTET_BITS | (uint32_t)(symbol - token_alphabet);
        bits_count += TOKEN_SEXTET_BITS;
        if (bits_count >= 8) {
            bits_count -= 8;
            bytes[length++] = (uint8_t)(bits >> bits_count);
        }
    }
    bool padded = (bits & ((UINT32_C(1) << bits_count) - 1)) != 0;
    return padded ? OUTCOME_INVALID : OUTCOME_OK;
}

// Computes the HMAC of a token. Returns OUTCOME_INVALID if the name of the
// database is too long.
static int
token_compute_mac(const struct token_key *key, const char *database,
                  const uint8_t *head, uint8_t mac[TOKEN_MAC_BYTES])
{
    uint8_t text[TOKEN_SIGNED_MAX];
    size_t name_size = strlen(database) + 1;
    unsigned size = 0;

    if (name_size + TOKEN_HEAD_BYTES > sizeof(text)) {
        return OUTCOME_INVALID;
    }
    memcpy(text, database, name_size);
    memcpy(text + name_size, head, TOKEN_HEAD_BYTES);
    const uint8_t *result =
        HMAC(EVP_sha256(), key->secret, TOKEN_KEY_BYTES, text,
             name_size + TOKEN_HEAD_BYTES, mac, &size);
    INVARIANT(result != NULL && size == TOKEN_MAC_BYTES);
    return OUTCOME_OK;
}

// Writes the token for the floor of a session, signed by the first key of the
// ring. Returns OUTCOME_NOT_FOUND if the ring is empty and OUTCOME_INVALID if
// the name of the database is too long.
int
token_encode(const struct token_ring *ring, const char *database,
             const struct scheduler_floor *floor, char text[TOKEN_TEXT_SIZE])
{
    uint8_t bytes[TOKEN_BYTES];

    if (ring->keys_count == 0) {
        return OUTCOME_NOT_FOUND;
    }
    token_put_be(bytes, ring->keys[0].id, 4);
    token_put_be(bytes + 4, floor->term, 8);
    token_put_be(bytes + 12, floor->lsn, 8);
    int outcome = token_compute_mac(&ring->keys[0], database, bytes,
                                    bytes + TOKEN_HEAD_BYTES);
    if (outcome == OUTCOME_OK) {
        token_write_text(bytes, text);
    }
    return outcome;
}

// Reads the floor from a token. Returns OUTCOME_INVALID if the text is not a
// token, and OUTCOME_DENIED if no key of the ring has signed it for this
// database.
int
token_decode(const struct token_ring *ring, const char *database,
             const char *text, struct scheduler_floor *floor)
{
    uint8_t bytes[TOKEN_BYTES];
    uint8_t mac[TOKEN_MAC_BYTES];

    if (token_read_text(text, bytes) != OUTCOME_OK) {
        return OUTCOME_INVALID;
    }
    for (size_t i = 0; i < ring->keys_count; i++) {
        if (ring->keys[i].id != token_get_be(bytes, 4)) {
            continue;
        }
        if (token_compute_mac(&ring->keys[i], database, bytes, mac) !=
                OUTCOME_OK ||
            CRYPTO_memcmp(mac, bytes + TOKEN_HEAD_BYTES, sizeof(mac)) != 0) {
            return OUTCOME_DENIED;
        }
        floor->term = token_get_be(bytes + 4, 8);
        floor->lsn = token_get_be(bytes + 12, 8);
        return OUTCOME_OK;
    }
    return OUTCOME_DENIED;
}

static int
token_get_digit(char digit)
{
    if (digit >= '0' && digit <= '9') {
        return digit - '0';
    }
    if (digit >= 'a' && digit <= 'f') {
        return digit - 'a' + 10;
    }
    return digit >= 'A' && digit <= 'F' ? digit - 'A' + 10 : -1;
}

// Parses 64 hexadecimal digits. Returns the rest of the text, or NULL.
static const char *
token_parse_secret(const char *text, uint8_t secret[TOKEN_KEY_BYTES])
{
    for (size_t i = 0; i < TOKEN_KEY_DIGITS; i += 2) {
        int high = token_get_digit(text[i]);
        int low = high < 0 ? -1 : token_get_digit(text[i + 1]);
        if (low < 0) {
            return NULL;
        }
        secret[i / 2] = (uint8_t)(high << 4 | low);
    }
    return text + TOKEN_KEY_DIGITS;
}

// Parses one line "ID HEX64". Returns the rest of the text, or NULL.
static const char *
token_parse_key(const char *text, struct token_key *key)
{
    uint64_t id = 0;
    const char *start = text;

    while (*text >= '0' && *text <= '9' && id <= UINT32_MAX) {
        id = id * 10 + (uint64_t)(*text++ - '0');
    }
    if (text == start || id > UINT32_MAX || *text != ' ') {
        return NULL;
    }
    key->id = (uint32_t)id;
    text = token_parse_secret(text + 1, key->secret);
    if (text == NULL || (*text != '\n' && *text != '\0')) {
        return NULL;
    }
    return *text == '\n' ? text + 1 : text;
}

static bool
token_ring_has(const struct token_ring *ring, uint32_t id)
{
    for (size_t i = 0; i < ring->keys_count; i++) {
        if (ring->keys[i].id == id) {
            return true;
        }
    }
    return false;
}

// Parses a key ring with one key per line as "ID HEX64". Empty lines and lines
// that begin with # are skipped. The first key signs and all keys verify, so a
// new key is rotated in by adding it last and moving it to the front later.
// Returns OUTCOME_INVALID if a line is malformed, an id occurs twice or there
// is no key.
int
token_ring_parse(const char *text, struct token_ring *ring)
{
    *ring = (struct token_ring){0};
    while (text != NULL && *text != '\0') {
        struct token_key key = {0};
        if (*text == '\n') {
            text++;
            continue;
        }
        if (*text == '#') {
            text = strchrnul(text, '\n');
            continue;
        }
        text = token_parse_key(text, &key);
        if (text == NULL || token_ring_has(ring, key.id)) {
            token_ring_free(ring);
            return OUTCOME_INVALID;
        }
        ring->keys =
            xrealloc(ring->keys, (ring->keys_count + 1) * sizeof(key));
        ring->keys[ring->keys_count++] = key;
    }
    return ring->keys_count > 0 ? OUTCOME_OK : OUTCOME_INVALID;
}

// Erases the secrets and frees the keys of the ring.
void
token_ring_free(struct token_ring *ring)
{
    if (ring->keys != NULL) {
        OPENSSL_cleanse(ring->keys, ring->keys_count * sizeof(*ring->keys));
    }
    free(ring->keys);
    *ring = (struct token_ring){0};
}
