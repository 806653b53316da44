#ifndef CATKINGRADE_DECIDE_RELAY_CHOICE_H
#define CATKINGRADE_DECIDE_RELAY_CHOICE_H

#include <stdint.h>

// Choice of the relay that runs the statements of a customer on a database. It
// serves databases with more customers than a relay has connections: all
// entries send the statements of one customer to the same relay, so that few
// relays need a connection for it. Rendezvous hashing: when a relay is added
// or missing, the other relays keep their customers.

uint64_t relay_choice_get_rank(const char *database, const char *customer,
                               const char *host);

#endif
