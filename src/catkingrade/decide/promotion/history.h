#ifndef CATKINGRADE_DECIDE_PROMOTION_HISTORY_H
#define CATKINGRADE_DECIDE_PROMOTION_HISTORY_H

#include <stdbool.h>

#include "catkingrade/rpc/messages.h"

// History of a database's log: at which write the promotions began that are in
// the log of the control group. A promotion gives up what other upstreams have
// written beyond its begin. One that was cut off then still holds it.

bool history_contains(const struct ck_history *history,
                      const struct ck_position *last_write);

#endif
