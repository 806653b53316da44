#include "catkingrade/decide/traffic/relay_choice.h"

#include <string.h>
#include <xxhash.h>

// Returns the rank of the relay at a host for the statements of a customer on
// a database; the relay with the highest rank is used. The database counts, so
// that a relay of several databases does not get the same customers for all.
uint64_t
relay_choice_get_rank(const char *database, const char *customer,
                      const char *host)
{
    uint64_t rank = XXH3_64bits(database, strlen(database));

    rank = XXH3_64bits_withSeed(customer, strlen(customer), rank);
    return XXH3_64bits_withSeed(host, strlen(host), rank);
}
