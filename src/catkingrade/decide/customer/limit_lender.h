#ifndef CATKINGRADE_DECIDE_CUSTOMER_LIMIT_LENDER_H
#define CATKINGRADE_DECIDE_CUSTOMER_LIMIT_LENDER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "catkingrade/decide/customer/limit.h"
#include "catkingrade/kernel/buffer.h"
#include "catkingrade/rpc/messages.h"

// The leader's side of the rate limits of customers: a token bucket for each
// customer with a limit, from which entries borrow tokens for operations. It
// lives in the memory of the leader only. Times are in microseconds on the
// leader's monotonic clock.
struct limit_lender;

struct limit_lender_params {
    struct limit_bound bound;
    unsigned drift_ppm; // assumed clock drift between the leader and an entry
};

struct limit_lender *
limit_lender_create(const struct limit_lender_params *params);
void limit_lender_destroy(struct limit_lender *lender);
void limit_lender_begin(struct limit_lender *lender, int64_t now_us,
                        bool settled);
void limit_lender_set_limits(struct limit_lender *lender, int64_t now_us,
                             uint64_t number, const struct limit *limits,
                             size_t count);
uint64_t limit_lender_get_number(const struct limit_lender *lender);
const struct ck_borrow_result *
limit_lender_borrow(struct limit_lender *lender, int64_t now_us,
                    const struct ck_borrow_args *args);
void limit_lender_describe(struct limit_lender *lender, int64_t now_us,
                           const char *name, struct buffer *json);

#endif
