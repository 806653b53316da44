#include "catkingrade/decide/traffic/relay_silence.h"

#include <string.h>

// A silent relay is tried again after this time. A shorter one makes each
// database wait for its connect timeout again while the partition lasts.
#define RELAY_SILENCE_US INT64_C(2000000)

// Records that a relay has not answered. If the table is full, the host whose
// time ends first is replaced.
void
relay_silence_record(struct relay_silence *silence, const char *host,
                     int64_t now_us)
{
    size_t index = 0;

    for (size_t i = 0; i < RELAY_SILENCE_MAX_HOSTS; i++) {
        if (strcmp(silence->hosts[i].host, host) == 0) {
            index = i;
            break;
        }
        if (silence->hosts[i].until_us < silence->hosts[index].until_us) {
            index = i;
        }
    }
    memset(silence->hosts[index].host, 0, sizeof(silence->hosts[index].host));
    (void)strncpy(silence->hosts[index].host, host, CK_HOST_SIZE);
    silence->hosts[index].until_us = now_us + RELAY_SILENCE_US;
}

// Records that a relay has answered.
void
relay_silence_clear(struct relay_silence *silence, const char *host)
{
    for (size_t i = 0; i < RELAY_SILENCE_MAX_HOSTS; i++) {
        if (strcmp(silence->hosts[i].host, host) == 0) {
            silence->hosts[i].until_us = 0;
        }
    }
}

// Returns whether a relay has been silent lately.
bool
relay_silence_contains(const struct relay_silence *silence, const char *host,
                       int64_t now_us)
{
    for (size_t i = 0; i < RELAY_SILENCE_MAX_HOSTS; i++) {
        if (strcmp(silence->hosts[i].host, host) == 0) {
            return silence->hosts[i].until_us > now_us;
        }
    }
    return false;
}
