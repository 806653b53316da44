#include "catkingrade/decide/coordinator/drain.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "catkingrade/kernel/buffer.h"
#include "catkingrade/kernel/memory.h"

#define DRAIN_US_PER_MS       1000
#define DRAIN_REPORT_MAX_SIZE 3500

struct drain_customer {
    struct drain_customer *next;
    char *name;
    int64_t since_us; // start of the shutdown
    bool is_proposed;
};

struct drain {
    struct drain_customer *customers;
};

struct drain_pass {
    struct drain *drain;
    int64_t now_us;
    const struct drain_entry *entries;
    size_t entries_count;
    drain_close_fn close;
    void *data;
};

// Creates an empty list of draining customers.
struct drain *
drain_create(void)
{
    return xcalloc(1, sizeof(struct drain));
}

// Frees the list; NULL is allowed.
void
drain_destroy(struct drain *drain)
{
    while (drain != NULL && drain->customers != NULL) {
        struct drain_customer *customer = drain->customers;
        drain->customers = customer->next;
        free(customer->name);
        free(customer);
    }
    free(drain);
}

static struct drain_customer *
drain_find_customer(const struct drain *drain, const char *name)
{
    struct drain_customer *customer = drain->customers;

    while (customer != NULL && strcmp(customer->name, name) != 0) {
        customer = customer->next;
    }
    return customer;
}

// Returns the state of a draining customer, and adds it with a shutdown start
// of now_us when it is missing.
static struct drain_customer *
drain_get_or_add_customer(struct drain *drain, const char *name,
                          int64_t now_us)
{
    struct drain_customer *customer = drain_find_customer(drain, name);

    if (customer == NULL) {
        customer = xcalloc(1, sizeof(*customer));
        customer->name = xstrdup(name);
        customer->since_us = now_us;
        customer->next = drain->customers;
        drain->customers = customer;
    }
    return customer;
}

// Counts the entries that may still run requests of a customer whose shutdown
// began with this revision: entries with open requests and entries that have
// not reported the revision. Lists them in report, up to about
// DRAIN_REPORT_MAX_SIZE bytes.
static size_t
drain_count_open_entries(const struct drain_pass *pass, uint64_t revision,
                         struct buffer *report)
{
    size_t count = 0;

    for (size_t i = 0; i < pass->entries_count; i++) {
        const struct drain_entry *entry = &pass->entries[i];
        bool informed = entry->known_revision >= revision;
        if (informed && entry->open_requests == 0) {
            continue;
        }
        count++;
        if (buffer_get_size(report) >= DRAIN_REPORT_MAX_SIZE) {
            continue;
        }
        if (informed) {
            buffer_append_format(report, "%s: %u requests open\n", entry->vm,
                                 entry->open_requests);
        }
        else {
            buffer_append_format(report, "%s: not heard from\n", entry->vm);
        }
    }
    return count;
}

static bool
drain_check_customer(void *data, const struct ck_customer *customer)
{
    struct drain_pass *pass = data;
    struct buffer report = {0};

    if (customer->state != CK_CUSTOMER_DRAINING) {
        return true;
    }
    struct drain_customer *tracked =
        drain_get_or_add_customer(pass->drain, customer->name, pass->now_us);
    int64_t limit_us = (int64_t)customer->drain_ms * DRAIN_US_PER_MS;
    bool overdue = pass->now_us - tracked->since_us >= limit_us;
    size_t open = drain_count_open_entries(pass, customer->revision, &report);
    if (!tracked->is_proposed && (open == 0 || overdue)) {
        buffer_append_text(&report, open == 0 ? "nothing was open\n" : "");
        buffer_append_u8(&report, 0);
        tracked->is_proposed = true;
        pass->close(pass->data, customer->name,
                    (const char *)buffer_get_data(&report));
    }
    buffer_free(&report);
    return true;
}

// Calls close once for each customer whose shutdown is complete or has
// exceeded its time limit. The start of a shutdown is kept in memory only, so
// the time limit starts anew when another coordinator takes over.
void
drain_tick(struct drain *drain, int64_t now_us,
           const struct group_state *group, const struct drain_entry *entries,
           size_t entries_count, drain_close_fn close, void *data)
{
    struct drain_pass pass = {drain,         now_us, entries,
                              entries_count, close,  data};

    group_visit_customers(group, drain_check_customer, &pass);
}

// Makes drain_tick call close for a customer again, after the proposal to
// close it has failed.
void
drain_retry_close(struct drain *drain, const char *customer)
{
    struct drain_customer *tracked = drain_find_customer(drain, customer);

    if (tracked != NULL) {
        tracked->is_proposed = false;
    }
}
