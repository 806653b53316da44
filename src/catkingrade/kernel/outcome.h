#ifndef CATKINGRADE_KERNEL_OUTCOME_H
#define CATKINGRADE_KERNEL_OUTCOME_H

// Result codes of operations: 0 is success, errors are negative. The table in
// outcome.c holds the name and the text of each code.
enum outcome {
    OUTCOME_OK = 0,
    OUTCOME_INVALID = -1,
    OUTCOME_NOT_FOUND = -2,
    OUTCOME_CONFLICT = -3,
    OUTCOME_NOT_LEADER = -4,
    OUTCOME_TIMEOUT = -5,
    OUTCOME_UNAVAILABLE = -6,
    OUTCOME_OVERLOADED = -7,
    OUTCOME_CORRUPT = -8,
    OUTCOME_IO = -9,
    OUTCOME_NO_SPACE = -10,
    OUTCOME_LOCKED = -11,
    OUTCOME_DENIED = -12,
    OUTCOME_PROTOCOL = -13,
    OUTCOME_TOO_LARGE = -14,
    OUTCOME_CLOSED = -15,
    OUTCOME_FENCED = -16,
    OUTCOME_NOT_RUN = -17,
    OUTCOME_UNKNOWN = -18,
    OUTCOME_NOT_SUPPORTED = -19,
    OUTCOME_AGAIN = -20,
};

const char *outcome_get_name(int outcome);
const char *outcome_get_text(int outcome);

#endif
