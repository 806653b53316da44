#include "test/fake/limit_fleet.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "catkingrade/decide/random.h"
#include "catkingrade/kernel/memory.h"
#include "catkingrade/kernel/outcome.h"
#include "catkingrade/rpc/codec.h"

#define FLEET_BACKOFF_US   50000
#define FLEET_TICK_US      5000
#define FLEET_RETRY_US     60000
#define FLEET_DRIFT_PPM    10000
#define FLEET_US_PER_S     1000000.0
#define FLEET_RANDOM_SCALE 1000000
// A lower limit holds in windows that begin this long after its declaration.
#define FLEET_APPLY_US      4000000
#define FLEET_MAX_MESSAGES  16384
#define FLEET_START_US      100000000
#define FLEET_TICKET_VALUES 8

struct fleet_message {
    int64_t at_us;
    size_t entry;
    uint64_t incarnation;
    bool is_answer;
    struct ck_borrow_args args;
    struct ck_borrow_result result;
};

struct fleet_voter {
    struct limit_lender *lender;
    double clock_rate;
};

struct fleet_entry {
    struct limit_borrower *borrower;
    uint64_t incarnation;
    double clock_rate;
    bool is_cut;
    bool in_flight;
    struct ck_borrow_args args; // of the call in flight; a copy
    int64_t sent_us;
    int64_t again_us;
};

struct limit_fleet {
    struct limit_fleet_params params;
    uint64_t random;
    int64_t now_us;
    struct fleet_voter voters[LIMIT_FLEET_VOTERS];
    int leader; // index of the voter; -1: none
    int64_t term_since_us;
    uint64_t declaration;
    struct fleet_entry entries[LIMIT_FLEET_MAX_ENTRIES];
    struct limit_fleet_customer customers[LIMIT_FLEET_MAX_CUSTOMERS];
    struct fleet_message *messages;
    size_t messages_count;
    unsigned lost;
    unsigned doubled;
    unsigned late;
    int64_t late_us;
    uint64_t calls;
    char violation[256];
};

// Tickets are pointers to these: one for each customer.
static char fleet_tickets[LIMIT_FLEET_MAX_CUSTOMERS];

static void
fleet_ignore_ticket(void *ticket)
{
    (void)ticket;
}

// Time on a VM's own clock.
static int64_t
fleet_get_local_us(const struct limit_fleet *fleet, double clock_rate)
{
    return (int64_t)((double)fleet->now_us * clock_rate);
}

static double
fleet_make_clock_rate(struct limit_fleet *fleet)
{
    // Two clocks differ by at most FLEET_DRIFT_PPM.
    double drift =
        random_below(&fleet->random, FLEET_DRIFT_PPM) - FLEET_DRIFT_PPM / 2.0;

    return fleet->params.has_drift ? 1 + drift / FLEET_RANDOM_SCALE : 1;
}

static void
fleet_start_entry(struct limit_fleet *fleet, size_t index)
{
    struct fleet_entry *entry = &fleet->entries[index];
    struct limit limits[LIMIT_FLEET_MAX_CUSTOMERS];

    entry->borrower = limit_borrower_create(random_next(&fleet->random));
    entry->incarnation = random_next(&fleet->random);
    entry->in_flight = false;
    for (size_t i = 0; i < fleet->params.customers_count; i++) {
        limits[i] = fleet->customers[i].limit;
    }
    limit_borrower_set_limits(entry->borrower, limits,
                              fleet->params.customers_count);
}

// Creates a fleet without a leader. The limits and loads of the customers are
// to be set and declared.
struct limit_fleet *
limit_fleet_create(const struct limit_fleet_params *params)
{
    struct limit_fleet *fleet = xcalloc(1, sizeof(*fleet));
    struct limit_lender_params lender = {.bound = params->bound,
                                         .drift_ppm = FLEET_DRIFT_PPM};

    fleet->params = *params;
    fleet->random = params->seed;
    fleet->now_us = FLEET_START_US;
    fleet->leader = -1;
    fleet->messages = xcalloc(FLEET_MAX_MESSAGES, sizeof(*fleet->messages));
    for (size_t i = 0; i < LIMIT_FLEET_VOTERS; i++) {
        fleet->voters[i].lender = limit_lender_create(&lender);
        fleet->voters[i].clock_rate = fleet_make_clock_rate(fleet);
    }
    for (size_t i = 0; i < params->customers_count; i++) {
        (void)snprintf(fleet->customers[i].limit.customer,
                       sizeof(fleet->customers[i].limit.customer), "c%zu", i);
    }
    for (size_t i = 0; i < params->entries_count; i++) {
        fleet->entries[i].clock_rate = fleet_make_clock_rate(fleet);
        fleet_start_entry(fleet, i);
    }
    return fleet;
}

static void
fleet_free_message(struct fleet_message *message)
{
    codec_free((xdrproc_t)xdr_ck_borrow_args, &message->args);
    codec_free((xdrproc_t)xdr_ck_borrow_result, &message->result);
}

static void
fleet_end_call(struct fleet_entry *entry)
{
    if (entry->in_flight) {
        entry->in_flight = false;
        codec_free((xdrproc_t)xdr_ck_borrow_args, &entry->args);
    }
}

void
limit_fleet_destroy(struct limit_fleet *fleet)
{
    for (size_t i = 0; i < fleet->messages_count; i++) {
        fleet_free_message(&fleet->messages[i]);
    }
    for (size_t i = 0; i < LIMIT_FLEET_VOTERS; i++) {
        limit_lender_destroy(fleet->voters[i].lender);
    }
    for (size_t i = 0; i < fleet->params.entries_count; i++) {
        fleet_end_call(&fleet->entries[i]);
        limit_borrower_destroy(fleet->entries[i].borrower,
                               fleet_ignore_ticket);
    }
    for (size_t i = 0; i < fleet->params.customers_count; i++) {
        free(fleet->customers[i].admitted_us);
    }
    free(fleet->messages);
    free(fleet);
}

struct limit_fleet_customer *
limit_fleet_get_customer(struct limit_fleet *fleet, size_t index)
{
    return &fleet->customers[index];
}

int64_t
limit_fleet_get_now_us(const struct limit_fleet *fleet)
{
    return fleet->now_us;
}

// Returns the number of calls that a leader has handled.
uint64_t
limit_fleet_get_calls(const struct limit_fleet *fleet)
{
    return fleet->calls;
}

static void
fleet_set_leader_limits(struct limit_fleet *fleet)
{
    struct fleet_voter *voter = &fleet->voters[fleet->leader];
    struct limit limits[LIMIT_FLEET_MAX_CUSTOMERS];

    for (size_t i = 0; i < fleet->params.customers_count; i++) {
        limits[i] = fleet->customers[i].limit;
    }
    limit_lender_set_limits(
        voter->lender, fleet_get_local_us(fleet, voter->clock_rate),
        fleet->declaration, limits,
        fleet->declaration == 0 ? 0 : fleet->params.customers_count);
}

// Declares the limits of the customers. There must be a leader.
void
limit_fleet_declare(struct limit_fleet *fleet)
{
    fleet->declaration++;
    fleet_set_leader_limits(fleet);
}

// Ends the leadership: from now on the voter answers no call.
void
limit_fleet_end_leader(struct limit_fleet *fleet)
{
    fleet->leader = -1;
}

// Begins the leadership of a voter.
void
limit_fleet_begin_leader(struct limit_fleet *fleet, size_t voter)
{
    bool settled = fleet->now_us - fleet->term_since_us >
                   2 * fleet->params.bound.window_us;

    fleet->leader = (int)voter;
    fleet->term_since_us = fleet->now_us;
    limit_lender_begin(
        fleet->voters[voter].lender,
        fleet_get_local_us(fleet, fleet->voters[voter].clock_rate), settled);
    fleet_set_leader_limits(fleet);
}

void
limit_fleet_cut_entry(struct limit_fleet *fleet, size_t index, bool cut)
{
    fleet->entries[index].is_cut = cut;
}

void
limit_fleet_restart_entry(struct limit_fleet *fleet, size_t index)
{
    struct fleet_entry *entry = &fleet->entries[index];

    fleet_end_call(entry);
    limit_borrower_destroy(entry->borrower, fleet_ignore_ticket);
    fleet_start_entry(fleet, index);
}

void
limit_fleet_set_network(struct limit_fleet *fleet, unsigned lost,
                        unsigned doubled, unsigned late, int64_t late_us)
{
    fleet->lost = lost;
    fleet->doubled = doubled;
    fleet->late = late;
    fleet->late_us = late_us;
}

// ---- network ----

static void
fleet_add_message(struct limit_fleet *fleet, size_t index,
                  const struct ck_borrow_args *args,
                  const struct ck_borrow_result *result)
{
    INVARIANT(fleet->messages_count < FLEET_MAX_MESSAGES);
    struct fleet_message *message = &fleet->messages[fleet->messages_count++];
    int64_t delay_us =
        random_below(&fleet->random, (uint32_t)fleet->params.latency_us + 1);

    memset(message, 0, sizeof(*message));
    if (random_below(&fleet->random, 100) < fleet->late) {
        delay_us += random_below(&fleet->random, (uint32_t)fleet->late_us + 1);
    }
    message->at_us = fleet->now_us + delay_us;
    message->entry = index;
    message->incarnation = fleet->entries[index].incarnation;
    message->is_answer = result != NULL;
    codec_copy((xdrproc_t)xdr_ck_borrow_args, args, &message->args,
               sizeof(message->args));
    if (result != NULL) {
        struct ck_borrow_result copy = *result;
        copy.leader_host = "";
        codec_copy((xdrproc_t)xdr_ck_borrow_result, &copy, &message->result,
                   sizeof(message->result));
    }
    else {
        message->result.leader_host = NULL;
    }
}

static void
fleet_send(struct limit_fleet *fleet, size_t index,
           const struct ck_borrow_args *args,
           const struct ck_borrow_result *result)
{
    if (fleet->entries[index].is_cut ||
        random_below(&fleet->random, 100) < fleet->lost) {
        return;
    }
    fleet_add_message(fleet, index, args, result);
    if (random_below(&fleet->random, 100) < fleet->doubled) {
        fleet_add_message(fleet, index, args, result);
    }
}

static void
fleet_deliver_call(struct limit_fleet *fleet,
                   const struct fleet_message *message)
{
    if (fleet->leader < 0) {
        return;
    }
    struct fleet_voter *voter = &fleet->voters[fleet->leader];
    fleet->calls++;
    fleet_send(fleet, message->entry, &message->args,
               limit_lender_borrow(
                   voter->lender, fleet_get_local_us(fleet, voter->clock_rate),
                   &message->args));
}

static void
fleet_deliver(struct limit_fleet *fleet, struct fleet_message *message)
{
    struct fleet_entry *entry = &fleet->entries[message->entry];

    if (entry->is_cut) {
        return;
    }
    if (!message->is_answer) {
        fleet_deliver_call(fleet, message);
        return;
    }
    if (message->incarnation != entry->incarnation) {
        return;
    }
    if (entry->in_flight && message->result.sequence == entry->args.sequence) {
        fleet_end_call(entry);
    }
    limit_borrower_handle_answer(entry->borrower,
                                 fleet_get_local_us(fleet, entry->clock_rate),
                                 &message->result);
}

static void
fleet_deliver_messages(struct limit_fleet *fleet)
{
    size_t i = 0;

    while (i < fleet->messages_count) {
        if (fleet->messages[i].at_us > fleet->now_us) {
            i++;
            continue;
        }
        struct fleet_message message = fleet->messages[i];
        fleet->messages[i] = fleet->messages[--fleet->messages_count];
        fleet_deliver(fleet, &message);
        fleet_free_message(&message);
    }
}

// ---- operations ----

static double
fleet_get_bound(const struct limit_fleet *fleet, const struct limit *limit)
{
    const struct limit_bound *bound = &fleet->params.bound;

    return (limit->rate_per_s * (double)bound->window_us / FLEET_US_PER_S +
            limit->burst) *
               (1 + bound->excess) +
           bound->slack;
}

// Returns the highest bound that was in force in a window that ends now, or
// FLEET_APPLY_US before it.
static double
fleet_get_window_bound(const struct limit_fleet *fleet,
                       const struct limit_fleet_customer *customer)
{
    double bound = fleet_get_bound(fleet, &customer->limit);
    int64_t since_us =
        fleet->now_us - fleet->params.bound.window_us - FLEET_APPLY_US;

    for (size_t i = 0; i < customer->old_count; i++) {
        double old = fleet_get_bound(fleet, &customer->old_limits[i]);
        if (customer->old_until_us[i] >= since_us && old > bound) {
            bound = old;
        }
    }
    return bound;
}

static void
fleet_record_admission(struct limit_fleet *fleet,
                       struct limit_fleet_customer *customer)
{
    if (customer->times_count == customer->times_capacity) {
        customer->times_capacity = 2 * customer->times_capacity + 64;
        customer->admitted_us = xrealloc(customer->admitted_us,
                                         customer->times_capacity *
                                             sizeof(*customer->admitted_us));
    }
    customer->admitted++;
    customer->admitted_us[customer->times_count++] = fleet->now_us;
    while (customer->admitted_us[customer->window_first] <
           fleet->now_us - fleet->params.bound.window_us) {
        customer->window_first++;
    }
    size_t count = customer->times_count - customer->window_first;
    double bound = fleet_get_window_bound(fleet, customer);
    if (count > customer->peak) {
        customer->peak = count;
    }
    if ((double)count > bound && fleet->violation[0] == '\0') {
        (void)snprintf(fleet->violation, sizeof(fleet->violation),
                       "seed %llu: %zu operations of %s in a window, bound "
                       "%.1f, at %.3f s",
                       (unsigned long long)fleet->params.seed, count,
                       customer->limit.customer, bound,
                       (double)(fleet->now_us - FLEET_START_US) /
                           FLEET_US_PER_S);
    }
}

static void
fleet_record_verdict(struct limit_fleet *fleet,
                     struct limit_fleet_customer *customer,
                     enum limit_verdict verdict)
{
    switch (verdict) {
    case LIMIT_ADMIT:
        fleet_record_admission(fleet, customer);
        break;
    case LIMIT_REFUSE:
        customer->refused++;
        break;
    case LIMIT_TIMEOUT:
        customer->unanswered++;
        break;
    case LIMIT_WAIT:
        break;
    }
}

static void
fleet_start_operation(struct limit_fleet *fleet, size_t customer_index)
{
    struct limit_fleet_customer *customer = &fleet->customers[customer_index];
    struct fleet_entry *entry = &fleet->entries[random_below(
        &fleet->random, (uint32_t)fleet->params.entries_count)];
    int64_t retry_after_us = 0;

    customer->arrived++;
    fleet_record_verdict(
        fleet, customer,
        limit_borrower_admit(
            entry->borrower, fleet_get_local_us(fleet, entry->clock_rate),
            customer->limit.customer, 0, fleet->params.wait_us,
            &fleet_tickets[customer_index], &retry_after_us));
}

static void
fleet_start_operations(struct limit_fleet *fleet)
{
    for (size_t i = 0; i < fleet->params.customers_count; i++) {
        double expected =
            fleet->customers[i].load_per_s * FLEET_TICK_US / FLEET_US_PER_S;
        // Several draws approximate a Poisson process.
        for (int draw = 0; draw < FLEET_TICKET_VALUES; draw++) {
            if (random_below(&fleet->random, FLEET_RANDOM_SCALE) <
                expected / FLEET_TICKET_VALUES * FLEET_RANDOM_SCALE) {
                fleet_start_operation(fleet, i);
            }
        }
    }
}

static void
fleet_step_call(struct limit_fleet *fleet, size_t index, int64_t local_us)
{
    struct fleet_entry *entry = &fleet->entries[index];
    struct ck_borrow_args args = {0};

    if (entry->in_flight && fleet->now_us - entry->sent_us >= LIMIT_CALL_US) {
        uint64_t sequence = entry->args.sequence;
        fleet_end_call(entry);
        limit_borrower_handle_failure(entry->borrower, local_us, sequence,
                                      FLEET_BACKOFF_US);
    }
    else if (entry->in_flight && fleet->now_us >= entry->again_us) {
        entry->again_us += FLEET_RETRY_US;
        fleet_send(fleet, index, &entry->args, NULL);
    }
    if (limit_borrower_fill_call(entry->borrower, local_us, &args)) {
        char vm[32];
        (void)snprintf(vm, sizeof(vm), "entry-%zu", index);
        args.group = "fleet";
        args.vm = vm;
        args.incarnation = entry->incarnation;
        codec_copy((xdrproc_t)xdr_ck_borrow_args, &args, &entry->args,
                   sizeof(entry->args));
        entry->in_flight = true;
        entry->sent_us = fleet->now_us;
        entry->again_us = fleet->now_us + FLEET_RETRY_US;
        fleet_send(fleet, index, &args, NULL);
    }
}

static void
fleet_step_entry(struct limit_fleet *fleet, size_t index)
{
    struct fleet_entry *entry = &fleet->entries[index];
    int64_t local_us = fleet_get_local_us(fleet, entry->clock_rate);
    struct limit_decision decision;

    fleet_step_call(fleet, index, local_us);
    while (
        limit_borrower_next_decision(entry->borrower, local_us, &decision)) {
        size_t customer = (size_t)((char *)decision.ticket - fleet_tickets);
        fleet_record_verdict(fleet, &fleet->customers[customer],
                             decision.verdict);
    }
}

void
limit_fleet_run(struct limit_fleet *fleet, int64_t duration_us)
{
    int64_t until_us = fleet->now_us + duration_us;

    while (fleet->now_us < until_us) {
        fleet->now_us += FLEET_TICK_US;
        fleet_deliver_messages(fleet);
        fleet_start_operations(fleet);
        for (size_t i = 0; i < fleet->params.entries_count; i++) {
            fleet_step_entry(fleet, i);
        }
    }
}

bool
limit_fleet_holds_bound(const struct limit_fleet *fleet)
{
    return fleet->violation[0] == '\0';
}

// Returns a description of the first window in which the bound did not hold.
const char *
limit_fleet_get_violation(const struct limit_fleet *fleet)
{
    return fleet->violation;
}
