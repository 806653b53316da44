#ifndef CATKINGRADE_SOAK_CUSTOMERS_H
#define CATKINGRADE_SOAK_CUSTOMERS_H

#include <stdint.h>

#include "catkingrade/kernel/buffer.h"

// The customers that the configurations declare, with a key and a rate limit
// each, and the times at which keys were removed and limits held. A key that
// was removed never returns; its customer gets a new one later. Thread-safe,
// but only the operator (config.c) changes customers.

#define CUSTOMERS_COUNT    3
#define CUSTOMERS_KEY_SIZE 32
// configApplyMs of the users.
#define CUSTOMERS_APPLY_US INT64_C(4000000)

void customers_start(void);
// Removes a key, gives a customer a new one, or changes a limit.
void customers_change(uint64_t *random);
// Appends the list `tenants` of the next configuration.
void customers_append(struct buffer *body);
// Records that the configuration that was appended last is acknowledged.
void customers_acknowledge(void);
const char *customers_get_name(int customer);
// Returns the number of a key to start a session with: mostly the newest key
// of the customer, otherwise the one before.
int customers_pick_key(int customer, uint64_t *random);
// Returns the acknowledgement of the first configuration without a key; 0:
// none.
int64_t customers_get_removed_us(int customer, int number);
// Returns how many operations of a customer may run in a window of 5 s, by the
// highest limit that may have been in force in it.
double customers_get_bound(int customer, int64_t from_us);

#define CUSTOMERS_WINDOW_US INT64_C(5000000) // quotaWindowS of the users

#endif
