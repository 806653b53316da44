#include "catkingrade/decide/traffic/refusal_loss.h"

#define REFUSAL_LOSS_WINDOW_US INT64_C(1000000)

// Ends the window in progress. A window without a refusal ends the overload.
static void
refusal_loss_end_window(struct refusal_loss *loss, int64_t now_us)
{
    loss->lost_us = loss->refused == 0
                        ? 0
                        : loss->lost_us + REFUSAL_LOSS_WINDOW_US *
                                              loss->refused / loss->ended;
    loss->window_us = now_us;
    loss->ended = 0;
    loss->refused = 0;
}

// Records the end of a request. refused: for want of a slot.
void
refusal_loss_add(struct refusal_loss *loss, int64_t now_us, bool refused)
{
    if (now_us - loss->window_us >= REFUSAL_LOSS_WINDOW_US) {
        refusal_loss_end_window(loss, now_us);
    }
    loss->ended++;
    loss->refused += refused ? 1 : 0;
}
