#include "catkingrade/decide/promotion/claim.h"

// Returns what the claim of an upstream to be the primary is worth. Only
// CLAIM_UNKNOWN must not be published.
enum claim_verdict
claim_judge(const struct claim_params *params)
{
    if (params->is_ordered) {
        return CLAIM_ORDERED;
    }
    if (!params->may_be_superseded && params->is_first) {
        return CLAIM_FIRST;
    }
    if (!params->may_be_superseded && params->is_last_primary) {
        return CLAIM_KEPT;
    }
    return params->can_be_demoted ? CLAIM_UNKNOWN : CLAIM_TRUSTED;
}

// Returns the name of a verdict for the log.
const char *
claim_get_name(enum claim_verdict verdict)
{
    switch (verdict) {
    case CLAIM_FIRST:
        return "first";
    case CLAIM_KEPT:
        return "kept";
    case CLAIM_ORDERED:
        return "order";
    case CLAIM_TRUSTED:
        return "claim";
    case CLAIM_UNKNOWN:
        return "";
    }
    return "";
}
