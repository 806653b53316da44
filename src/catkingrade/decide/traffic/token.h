#ifndef CATKINGRADE_DECIDE_TOKEN_H
#define CATKINGRADE_DECIDE_TOKEN_H

#include <stddef.h>
#include <stdint.h>

#include "catkingrade/decide/traffic/scheduler_defs.h"

// Session tokens. A client passes the token of one session to another to read
// its writes there. A token holds the floor of a session, signed with
// HMAC-SHA256 for one database.

#define TOKEN_TEXT_SIZE 160
#define TOKEN_KEY_BYTES 32

// A key of the HMAC-SHA256 of tokens.
struct token_key {
    uint32_t id;
    uint8_t secret[TOKEN_KEY_BYTES];
};

// Keys of the tokens: the first key signs, all keys verify.
struct token_ring {
    struct token_key *keys;
    size_t keys_count;
};

int token_encode(const struct token_ring *ring, const char *database,
                 const struct scheduler_floor *floor,
                 char text[TOKEN_TEXT_SIZE]);
int token_decode(const struct token_ring *ring, const char *database,
                 const char *text, struct scheduler_floor *floor);
int token_ring_parse(const char *text, struct token_ring *ring);
void token_ring_free(struct token_ring *ring);

#endif
