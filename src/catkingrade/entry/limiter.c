#include "catkingrade/entry/limiter.h"

#include <pthread.h>
#include <stdatomic.h>
#include <stdlib.h>

#include "catkingrade/entry/worker.h"
#include "catkingrade/kernel/counters.h"
#include "catkingrade/kernel/memory.h"

struct limiter {
    struct loop *control_loop;
    loop_task_fn wake;
    void *wake_data;
    atomic_bool has_limits;
    atomic_bool wake_posted;
    pthread_mutex_t mutex; // guards borrower
    struct limit_borrower *borrower;
};

struct limiter *
limiter_create(struct loop *control_loop, uint64_t seed)
{
    struct limiter *limiter = xcalloc(1, sizeof(*limiter));

    limiter->control_loop = control_loop;
    limiter->borrower = limit_borrower_create(seed);
    pthread_mutex_init(&limiter->mutex, NULL);
    return limiter;
}

// Frees the limiter when no thread uses it any more. Operations that wait get
// no decision. NULL is ignored.
void
limiter_destroy(struct limiter *limiter)
{
    if (limiter == NULL) {
        return;
    }
    limit_borrower_destroy(limiter->borrower, free);
    pthread_mutex_destroy(&limiter->mutex);
    free(limiter);
}

// Sets the function that is run on the control loop after an operation has
// begun to wait or a stock has fallen; on the control loop. NULL: none.
void
limiter_set_wake(struct limiter *limiter, loop_task_fn wake, void *data)
{
    limiter->wake = wake;
    limiter->wake_data = data;
}

static void
limiter_run_wake(void *data)
{
    struct limiter *limiter = data;

    atomic_store(&limiter->wake_posted, false);
    if (limiter->wake != NULL) {
        limiter->wake(limiter->wake_data);
    }
}

static void
limiter_post_wake(struct limiter *limiter)
{
    if (!atomic_exchange(&limiter->wake_posted, true)) {
        loop_post(limiter->control_loop, limiter_run_wake, NULL, limiter);
    }
}

// Replaces the list of customers with a limit; any thread.
void
limiter_set_limits(struct limiter *limiter, const struct limit *limits,
                   size_t count)
{
    if (count == 0 && !atomic_load(&limiter->has_limits)) {
        return;
    }
    pthread_mutex_lock(&limiter->mutex);
    limit_borrower_set_limits(limiter->borrower, limits, count);
    atomic_store(&limiter->has_limits, count > 0);
    pthread_mutex_unlock(&limiter->mutex);
    limiter_post_wake(limiter);
}

// Decides about an operation as limit_borrower_admit does. If it waits, sets
// *ticket to a copy of template, with which the decision is passed to the
// worker.
enum limit_verdict
limiter_admit(struct limiter *limiter, const struct limiter_ticket *template,
              int64_t wait_us, struct limiter_ticket **ticket,
              int64_t *retry_after_us)
{
    int64_t now_us = monotonic_get_us();

    if (!atomic_load_explicit(&limiter->has_limits, memory_order_relaxed)) {
        return LIMIT_ADMIT;
    }
    struct limiter_ticket *copy = xmalloc(sizeof(*copy));
    *copy = *template;
    pthread_mutex_lock(&limiter->mutex);
    int64_t wake_us = limit_borrower_get_wake_us(limiter->borrower);
    enum limit_verdict verdict =
        limit_borrower_admit(limiter->borrower, now_us, copy->customer,
                             copy->priority, wait_us, copy, retry_after_us);
    bool is_earlier = limit_borrower_get_wake_us(limiter->borrower) < wake_us;
    pthread_mutex_unlock(&limiter->mutex);
    if (is_earlier) {
        limiter_post_wake(limiter);
    }
    if (verdict != LIMIT_WAIT) {
        free(copy);
        return verdict;
    }
    counter_add(COUNTER_LIMIT_WAITED, 1);
    *ticket = copy;
    return verdict;
}

// Ends the wait of an operation that needs no decision any more; on its
// worker's thread. The ticket must not be used afterwards.
void
limiter_cancel(struct limiter *limiter, struct limiter_ticket *ticket)
{
    pthread_mutex_lock(&limiter->mutex);
    bool waited =
        limit_borrower_cancel(limiter->borrower, ticket->customer, ticket);
    pthread_mutex_unlock(&limiter->mutex);
    // Else the decision is on its way to this thread, which frees the ticket.
    if (waited) {
        free(ticket);
    }
}

static void
limiter_run_decision(void *data)
{
    struct limiter_ticket *ticket = data;

    worker_decide_limit(ticket->worker, ticket);
    free(ticket);
}

// Passes the decisions that were taken to the workers.
void
limiter_deliver(struct limiter *limiter)
{
    struct limit_decision decision;
    bool more = true;

    while (more) {
        pthread_mutex_lock(&limiter->mutex);
        more = limit_borrower_next_decision(limiter->borrower,
                                            monotonic_get_us(), &decision);
        pthread_mutex_unlock(&limiter->mutex);
        if (more) {
            struct limiter_ticket *ticket = decision.ticket;
            ticket->decision = decision;
            loop_post(worker_get_loop(ticket->worker), limiter_run_decision,
                      free, ticket);
        }
    }
}

// Fills the next call, if one is due; see limit_borrower_fill_call.
bool
limiter_fill_call(struct limiter *limiter, struct ck_borrow_args *args)
{
    pthread_mutex_lock(&limiter->mutex);
    bool due =
        limit_borrower_fill_call(limiter->borrower, monotonic_get_us(), args);
    pthread_mutex_unlock(&limiter->mutex);
    return due;
}

void
limiter_handle_answer(struct limiter *limiter,
                      const struct ck_borrow_result *result)
{
    pthread_mutex_lock(&limiter->mutex);
    limit_borrower_handle_answer(limiter->borrower, monotonic_get_us(),
                                 result);
    pthread_mutex_unlock(&limiter->mutex);
}

void
limiter_handle_failure(struct limiter *limiter, uint64_t sequence,
                       int64_t delay_us)
{
    pthread_mutex_lock(&limiter->mutex);
    limit_borrower_handle_failure(limiter->borrower, monotonic_get_us(),
                                  sequence, delay_us);
    pthread_mutex_unlock(&limiter->mutex);
}

int64_t
limiter_get_wake_us(struct limiter *limiter)
{
    pthread_mutex_lock(&limiter->mutex);
    int64_t wake_us = limit_borrower_get_wake_us(limiter->borrower);
    pthread_mutex_unlock(&limiter->mutex);
    return wake_us;
}
