#ifndef CATKINGRADE_DECIDE_PROMOTION_HISTORY_H
#define CATKINGRADE_DECIDE_PROMOTION_HISTORY_H

#include <stdbool.h>
#include <stdint.h>

#include "catkingrade/rpc/messages.h"

// History of a database's log: at which write the promotions began that are in
// the log of the control group. A promotion gives up what other upstreams have
// written beyond its begin. One that was cut off then still holds it. A
// promotion that was ordered may have taken effect unseen, if its upstream is
// silent since; it begins at the last write of its order or later.

bool history_contains(const struct ck_history *history,
                      const struct ck_position *last_write);
uint64_t history_get_newest_term(const struct ck_history *history);
bool history_is_given_up_by(const struct ck_order *order, const char *upstream,
                            const struct ck_position *last_write);
bool history_has_order(const struct ck_orders *orders, const char *upstream);

#endif
