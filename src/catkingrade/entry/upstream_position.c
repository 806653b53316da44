#include "catkingrade/entry/upstream_position.h"

#include <stdio.h>

#include "catkingrade/kernel/outcome.h"

// Parses a log position in PostgreSQL's text format, such as 16/B374D848.
// Returns OUTCOME_OK or OUTCOME_INVALID.
int
upstream_position_parse_lsn(const char *text, uint64_t *lsn)
{
    unsigned high = 0;
    unsigned low = 0;
    int length = 0;

    if (sscanf(text, "%8x/%8x%n", &high, &low, &length) != 2 ||
        text[length] != '\0') {
        return OUTCOME_INVALID;
    }
    *lsn = (uint64_t)high << 32 | low;
    return OUTCOME_OK;
}
