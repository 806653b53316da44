#ifndef CATKINGRADE_DECIDE_RELAY_SILENCE_H
#define CATKINGRADE_DECIDE_RELAY_SILENCE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "catkingrade/rpc/messages.h"

// Relays that have not answered lately, by host. A network partition makes
// several relays silent at once, each of which may serve several databases.
// What one database finds out holds for the others.

// Hosts that are recorded at a time; a further one replaces the oldest.
#define RELAY_SILENCE_MAX_HOSTS 16

struct relay_silence {
    struct {
        char host[CK_HOST_SIZE + 1];
        int64_t until_us; // 0: unused
    } hosts[RELAY_SILENCE_MAX_HOSTS];
};

void relay_silence_record(struct relay_silence *silence, const char *host,
                          int64_t now_us);
void relay_silence_clear(struct relay_silence *silence, const char *host);
bool relay_silence_contains(const struct relay_silence *silence,
                            const char *host, int64_t now_us);

#endif
