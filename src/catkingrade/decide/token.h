#ifndef CATKINGRADE_DECIDE_TOKEN_H
#define CATKINGRADE_DECIDE_TOKEN_H

#include <stddef.h>
#include <stdint.h>

#include "catkingrade/decide/scheduler_defs.h"

#define TOKEN_TEXT_SIZE 160
#define TOKEN_KEY_BYTES 32

// A key of the token's HMAC-SHA256. The first of a ring signs, all verify.
struct token_key {
    uint32_t id;
    uint8_t secret[TOKEN_KEY_BYTES];
};

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
