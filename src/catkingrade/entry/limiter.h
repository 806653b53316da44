#ifndef CATKINGRADE_ENTRY_LIMITER_H
#define CATKINGRADE_ENTRY_LIMITER_H

#include <stdbool.h>
#include <stdint.h>

#include "catkingrade/decide/customer/limit_borrower.h"
#include "catkingrade/kernel/loop.h"

// The rate limits of customers at an entry: the borrower
// (decide/customer/limit_borrower.h), shared by the traffic threads and the
// control thread. Without customers with limits nothing is locked or sent.
struct limiter;
struct worker;

// An operation that waits for a token. It belongs to the limiter until
// limiter_cancel returns or the worker gets the decision.
struct limiter_ticket {
    struct worker *worker;
    char database[CK_NAME_SIZE + 1];
    char customer[CK_NAME_SIZE + 1];
    uint64_t request;
    unsigned priority; // 0: highest
    struct limit_decision decision;
};

struct limiter *limiter_create(struct loop *control_loop, uint64_t seed);
void limiter_destroy(struct limiter *limiter);
// Sets the function that runs on the control loop when a call may be due.
void limiter_set_wake(struct limiter *limiter, loop_task_fn wake, void *data);
void limiter_set_limits(struct limiter *limiter, const struct limit *limits,
                        size_t count);

// Any thread.
enum limit_verdict limiter_admit(struct limiter *limiter,
                                 const struct limiter_ticket *template,
                                 int64_t wait_us,
                                 struct limiter_ticket **ticket,
                                 int64_t *retry_after_us);
void limiter_cancel(struct limiter *limiter, struct limiter_ticket *ticket);

// On the control loop.
void limiter_deliver(struct limiter *limiter);
bool limiter_fill_call(struct limiter *limiter, struct ck_borrow_args *args);
void limiter_handle_answer(struct limiter *limiter,
                           const struct ck_borrow_result *result);
void limiter_handle_failure(struct limiter *limiter, uint64_t sequence,
                            int64_t delay_us);
int64_t limiter_get_wake_us(struct limiter *limiter);

#endif
