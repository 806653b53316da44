#include "catkingrade/decide/promotion/history.h"

#include <stddef.h>

// Returns whether a log whose last write is this one holds nothing that a
// promotion has given up: it ends before the begin of each later term. history
// may be NULL, if no promotion is known.
bool
history_contains(const struct ck_history *history,
                 const struct ck_position *last_write)
{
    if (history == NULL) {
        return true;
    }
    for (u_int i = history->begins.begins_len; i > 0; i--) {
        const struct ck_position *begin = &history->begins.begins_val[i - 1];
        if (last_write->timeline >= begin->timeline) {
            return true;
        }
        if (last_write->lsn > begin->lsn) {
            return false;
        }
    }
    return true;
}
