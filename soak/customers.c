#include "soak/customers.h"

#include <pthread.h>
#include <stdbool.h>

#include "catkingrade/decide/random.h"
#include "catkingrade/kernel/loop.h"
#include "catkingrade/kernel/memory.h"
#include "soak/events.h"

#define CUSTOMERS_MAX_KEYS   1024 // for each customer
#define CUSTOMERS_MAX_LIMITS 1024 // for each customer
// One in so many sessions starts with the key before the newest.
#define CUSTOMERS_OLD_KEYS 4
// The callers of a customer, without a limit, run about 10 operations a
// second.
#define CUSTOMERS_MIN_RATE 1
#define CUSTOMERS_MAX_RATE 12
// quotaExcess and quotaSlack of the users.
#define CUSTOMERS_EXCESS 0.1
#define CUSTOMERS_SLACK  20

struct customer_limit {
    int rate;         // also the burst
    int64_t from_us;  // before it is sent
    int64_t until_us; // acknowledgement of another limit
};

struct customer {
    int newest_key; // number of the newest key
    bool has_key;   // the newest key is declared
    int64_t removed_us[CUSTOMERS_MAX_KEYS];
    struct customer_limit limits[CUSTOMERS_MAX_LIMITS];
    int limits_count;
};

static struct customer customers[CUSTOMERS_COUNT];
static pthread_mutex_t customers_mutex = PTHREAD_MUTEX_INITIALIZER;

const char *
customers_get_name(int customer)
{
    static const char *const names[CUSTOMERS_COUNT] = {"ada", "bob", "cyd"};

    return names[customer];
}

static void
customer_set_limit(struct customer *customer, int rate)
{
    INVARIANT(customer->limits_count < CUSTOMERS_MAX_LIMITS);
    customer->limits[customer->limits_count++] = (struct customer_limit){
        .rate = rate, .from_us = monotonic_get_us(), .until_us = INT64_MAX};
}

void
customers_start(void)
{
    for (int i = 0; i < CUSTOMERS_COUNT; i++) {
        customers[i].has_key = true;
        customer_set_limit(&customers[i], CUSTOMERS_MAX_RATE);
    }
}

static void
customer_change_key(struct customer *customer)
{
    if (!customer->has_key) {
        INVARIANT(customer->newest_key + 1 < CUSTOMERS_MAX_KEYS);
        customer->newest_key++;
    }
    customer->has_key = !customer->has_key;
}

void
customers_change(uint64_t *random)
{
    int index = (int)random_below(random, CUSTOMERS_COUNT);
    struct customer *customer = &customers[index];
    int rate =
        CUSTOMERS_MIN_RATE +
        (int)random_below(random, CUSTOMERS_MAX_RATE - CUSTOMERS_MIN_RATE + 1);
    bool is_key = random_below(random, 2) == 0;

    pthread_mutex_lock(&customers_mutex);
    if (is_key) {
        customer_change_key(customer);
    }
    else {
        customer_set_limit(customer, rate);
    }
    events_log("customer %s: key %d %s, limit %d", customers_get_name(index),
               customer->newest_key, customer->has_key ? "valid" : "removed",
               customer->limits[customer->limits_count - 1].rate);
    pthread_mutex_unlock(&customers_mutex);
}

void
customers_append(struct buffer *body)
{
    buffer_append_format(body, ",\"tenants\":[");
    for (int i = 0; i < CUSTOMERS_COUNT; i++) {
        const struct customer *customer = &customers[i];
        const char *name = customers_get_name(i);
        int rate = customer->limits[customer->limits_count - 1].rate;
        buffer_append_format(body, "%s{\"name\":\"%s\",\"apiKeys\":[",
                             i == 0 ? "" : ",", name);
        if (customer->has_key) {
            buffer_append_format(body, "\"key-%s-%d\"", name,
                                 customer->newest_key);
        }
        buffer_append_format(body, "],\"ratePerS\":%d,\"burst\":%d}", rate,
                             rate);
    }
    buffer_append_format(body, "]");
}

static void
customer_acknowledge(struct customer *customer, int64_t now_us)
{
    int keys = customer->newest_key + (customer->has_key ? 0 : 1);

    for (int i = 0; i < keys; i++) {
        if (customer->removed_us[i] == 0) {
            customer->removed_us[i] = now_us;
        }
    }
    for (int i = 0; i + 1 < customer->limits_count; i++) {
        if (customer->limits[i].until_us == INT64_MAX) {
            customer->limits[i].until_us = now_us;
        }
    }
}

void
customers_acknowledge(void)
{
    pthread_mutex_lock(&customers_mutex);
    for (int i = 0; i < CUSTOMERS_COUNT; i++) {
        customer_acknowledge(&customers[i], monotonic_get_us());
    }
    pthread_mutex_unlock(&customers_mutex);
}

int
customers_pick_key(int customer, uint64_t *random)
{
    bool is_old = random_below(random, CUSTOMERS_OLD_KEYS) == 0;

    pthread_mutex_lock(&customers_mutex);
    int number = customers[customer].newest_key;
    pthread_mutex_unlock(&customers_mutex);
    return is_old && number > 0 ? number - 1 : number;
}

int64_t
customers_get_removed_us(int customer, int number)
{
    pthread_mutex_lock(&customers_mutex);
    int64_t removed_us = customers[customer].removed_us[number];
    pthread_mutex_unlock(&customers_mutex);
    return removed_us;
}

double
customers_get_bound(int customer, int64_t from_us)
{
    int64_t to_us = from_us + CUSTOMERS_WINDOW_US;
    int rate = 0;

    pthread_mutex_lock(&customers_mutex);
    for (int i = 0; i < customers[customer].limits_count; i++) {
        const struct customer_limit *limit = &customers[customer].limits[i];
        // A lower limit holds configApplyMs after its acknowledgement.
        bool may_hold = limit->from_us <= to_us &&
                        (limit->until_us == INT64_MAX ||
                         limit->until_us + CUSTOMERS_APPLY_US >= from_us);
        rate = may_hold && limit->rate > rate ? limit->rate : rate;
    }
    pthread_mutex_unlock(&customers_mutex);
    double seconds = (double)CUSTOMERS_WINDOW_US / 1e6;
    return rate * (seconds + 1) * (1 + CUSTOMERS_EXCESS) + CUSTOMERS_SLACK;
}
