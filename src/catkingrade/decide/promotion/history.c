#include "catkingrade/decide/promotion/history.h"

#include <stddef.h>
#include <string.h>

// Returns whether a log goes on beyond the begin of a later term.
static bool
history_exceeds(const struct ck_position *last_write,
                const struct ck_position *begin)
{
    return last_write->timeline < begin->timeline &&
           last_write->lsn > begin->lsn;
}

// Returns whether a log whose last write is this one holds nothing that a
// promotion has given up: it ends before the begin of each later term. history
// may be NULL, if no promotion is known.
bool
history_contains(const struct ck_history *history,
                 const struct ck_position *last_write)
{
    u_int count = history == NULL ? 0 : history->begins.begins_len;

    for (u_int i = 0; i < count; i++) {
        if (history_exceeds(last_write, &history->begins.begins_val[i])) {
            return false;
        }
    }
    return true;
}

// Returns the newest term that is known to have begun, 0 if there is none.
// history may be NULL.
uint64_t
history_get_newest_term(const struct ck_history *history)
{
    u_int count = history == NULL ? 0 : history->begins.begins_len;

    return count == 0 ? 0 : history->begins.begins_val[count - 1].timeline;
}

// Returns whether the log of an upstream, whose last write is this one, holds
// what an ordered promotion of another upstream gives up if it has taken
// effect.
bool
history_is_given_up_by(const struct ck_order *order, const char *upstream,
                       const struct ck_position *last_write)
{
    return strcmp(order->upstream, upstream) != 0 &&
           history_exceeds(last_write, &order->begin);
}

// Returns whether a promotion of an upstream was ordered and may take effect.
bool
history_has_order(const struct ck_orders *orders, const char *upstream)
{
    u_int count = orders == NULL ? 0 : orders->orders.orders_len;

    for (u_int i = 0; i < count; i++) {
        if (strcmp(orders->orders.orders_val[i].upstream, upstream) == 0) {
            return true;
        }
    }
    return false;
}
