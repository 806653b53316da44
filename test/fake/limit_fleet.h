#ifndef TEST_FAKE_LIMIT_FLEET_H
#define TEST_FAKE_LIMIT_FLEET_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "catkingrade/decide/customer/limit_borrower.h"
#include "catkingrade/decide/customer/limit_lender.h"

// Simulation of the rate limits of one or more customers: control VMs of which
// one leads, entries, a network between them, and clients. A seed determines
// everything. Times are virtual.

#define LIMIT_FLEET_MAX_ENTRIES   96
#define LIMIT_FLEET_MAX_CUSTOMERS 96
#define LIMIT_FLEET_VOTERS        3

struct limit_fleet_customer {
    struct limit limit;
    double load_per_s; // of all entries together
    uint64_t arrived;
    uint64_t admitted;
    uint64_t refused;
    uint64_t unanswered;
    int64_t *admitted_us; // times, growing
    size_t times_count;
    size_t times_capacity;
    size_t window_first; // index of the first time in the present window
    size_t peak;         // most operations in one window
    // Limits that were in force, and when the next one replaced them.
    struct limit old_limits[64];
    int64_t old_until_us[64];
    size_t old_count;
};

struct limit_fleet_params {
    uint64_t seed;
    size_t entries_count;
    size_t customers_count;
    struct limit_bound bound;
    int64_t latency_us; // one way, at most
    int64_t wait_us;    // of an operation for a token
    bool has_drift;
};

struct limit_fleet;

struct limit_fleet *
limit_fleet_create(const struct limit_fleet_params *params);
void limit_fleet_destroy(struct limit_fleet *fleet);
struct limit_fleet_customer *
limit_fleet_get_customer(struct limit_fleet *fleet, size_t index);
void limit_fleet_declare(struct limit_fleet *fleet);
void limit_fleet_run(struct limit_fleet *fleet, int64_t duration_us);
int64_t limit_fleet_get_now_us(const struct limit_fleet *fleet);
uint64_t limit_fleet_get_calls(const struct limit_fleet *fleet);

// Faults.
void limit_fleet_end_leader(struct limit_fleet *fleet);
void limit_fleet_begin_leader(struct limit_fleet *fleet, size_t voter);
void limit_fleet_cut_entry(struct limit_fleet *fleet, size_t index, bool cut);
void limit_fleet_restart_entry(struct limit_fleet *fleet, size_t index);
// Percentages of the messages, and the additional delay of late ones.
void limit_fleet_set_network(struct limit_fleet *fleet, unsigned lost,
                             unsigned doubled, unsigned late, int64_t late_us);
// Whether the bound has held in each window that has ended so far.
bool limit_fleet_holds_bound(const struct limit_fleet *fleet);
const char *limit_fleet_get_violation(const struct limit_fleet *fleet);

#endif
