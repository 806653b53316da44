#ifndef CATKINGRADE_DECIDE_RELAY_SPREAD_H
#define CATKINGRADE_DECIDE_RELAY_SPREAD_H

#include <stddef.h>
#include <stdint.h>

#include "catkingrade/decide/coordinator/relay_plan.h"

// Choice of the relay that an entry uses while its first relay is missing.
// Answers the load of relays that stop in turn: the entries of a failure
// domain have the same first relay, and leave it at the same time.

size_t relay_spread_share_capacity(uint32_t databases_count);
void relay_spread_assign(const struct relay_plan_entry *entries,
                         size_t entries_count,
                         struct relay_plan_choice *choices);

#endif
