#include "catkingrade/decide/promotion/ordered.h"

// Returns what to do about an order that is in the log. An upstream that
// answers is continued with: its order is idempotent, and it was chosen when
// no more writes of the old term could be acknowledged. One that is silent, or
// must not be promoted any more, is waited for as long as the order can take
// effect.
enum ordered_step
ordered_decide(const struct ordered_params *params)
{
    if (!params->is_member || params->is_refused) {
        return ORDERED_CHOOSE;
    }
    if (params->answers && !params->is_regressed) {
        return ORDERED_CONTINUE;
    }
    return params->waited_us < params->settle_us ? ORDERED_WAIT
                                                 : ORDERED_CHOOSE;
}
