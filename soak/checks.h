#ifndef CATKINGRADE_SOAK_CHECKS_H
#define CATKINGRADE_SOAK_CHECKS_H

#include <stdbool.h>
#include <stdint.h>

// Checks of requests around planned work: none ends without an answer, and
// none reaches an upstream too late after it announced that it leaves. The
// bounds are those of the users' rules LOST and DRAIN. Checks of customers:
// keys that were removed, names at upstreams, and rate limits.

// A request whose connection ended before its answer was complete.
struct checks_cut {
    int entry;
    int database;
    int64_t sent_us;
    int64_t closed_us;
    int64_t arrived_us; // last arrival of its id at an upstream; 0: none
    char line[96];
};

// A customer's statement that reached an upstream. Each is an operation.
struct checks_keyed {
    int customer;
    int key; // number of the customer's key
    int entry;
    int64_t sent_us;
    int64_t arrived_us;
    bool has_run; // by its answer
};

// Records such a statement. Thread-safe.
void checks_record_keyed(const struct checks_keyed *keyed);
// Records such a request. Thread-safe.
void checks_record_cut(const struct checks_cut *cut);
// Records the violated checks. After the callers have been stopped.
void checks_run(void);
// Returns how many requests were cut, with and without a reason.
int checks_count_cuts(void);
// Counts a session that was refused because of its key. Thread-safe.
void checks_count_refusal(void);
// Prints how many statements of customers reached upstreams, how many of them
// were sent after their key was removed, and how many sessions were refused.
void checks_print(void);

#endif
