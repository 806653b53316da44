#ifndef CATKINGRADE_DECIDE_CUSTOMER_LIMIT_BORROWER_H
#define CATKINGRADE_DECIDE_CUSTOMER_LIMIT_BORROWER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "catkingrade/decide/customer/limit.h"
#include "catkingrade/rpc/messages.h"

// The entry's side of the rate limits of customers. It admits an operation for
// a token in hand, or lets it wait for one, and decides what to ask the leader
// for and when. One call is in flight at a time. Times are in microseconds on
// the entry's monotonic clock.
struct limit_borrower;

enum limit_verdict {
    LIMIT_ADMIT,
    LIMIT_WAIT,
    LIMIT_REFUSE,  // over the limit
    LIMIT_TIMEOUT, // no answer of the leader in time
};

// The end of a wait. ticket is the caller's.
struct limit_decision {
    enum limit_verdict verdict; // not WAIT
    void *ticket;
    int64_t retry_after_us; // REFUSE, TIMEOUT
};

struct limit_borrower *limit_borrower_create(uint64_t seed);
// Frees the borrower. The tickets of operations that wait are given to
// free_ticket.
void limit_borrower_destroy(struct limit_borrower *borrower,
                            void (*free_ticket)(void *ticket));
void limit_borrower_set_limits(struct limit_borrower *borrower,
                               const struct limit *limits, size_t count);
bool limit_borrower_has_limit(const struct limit_borrower *borrower,
                              const char *customer);
enum limit_verdict limit_borrower_admit(struct limit_borrower *borrower,
                                        int64_t now_us, const char *name,
                                        unsigned priority, int64_t wait_us,
                                        void *ticket, int64_t *retry_after_us);
bool limit_borrower_cancel(struct limit_borrower *borrower, const char *name,
                           const void *ticket);
bool limit_borrower_next_decision(struct limit_borrower *borrower,
                                  int64_t now_us,
                                  struct limit_decision *decision);
bool limit_borrower_fill_call(struct limit_borrower *borrower, int64_t now_us,
                              struct ck_borrow_args *args);
void limit_borrower_handle_answer(struct limit_borrower *borrower,
                                  int64_t now_us,
                                  const struct ck_borrow_result *result);
void limit_borrower_handle_failure(struct limit_borrower *borrower,
                                   int64_t now_us, uint64_t sequence,
                                   int64_t delay_us);
int64_t limit_borrower_get_wake_us(const struct limit_borrower *borrower);

#endif
