#include "soak/checks.h"

#include <inttypes.h>
#include <pthread.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>

#include "soak/customers.h"
#include "soak/events.h"
#include "test/rig/platform_rig.h"

#define CHECKS_MAX_CUTS   4096
#define CHECKS_MAX_KEYED  262144
#define CHECKS_MAX_LISTED 5 // late requests of a kind that are written in full
#define CHECKS_US_PER_MS  1000
// A request that was sent this long before its connection closed counts as
// read by the process even if it reached no upstream: lossSlackMs.
#define CHECKS_SLACK_US 200000
// A planned stop counts until 1 s after graceS.
#define CHECKS_STOP_US 7000000
// A reload counts for requests that are sent up to configApplyMs after it.
#define CHECKS_RELOAD_US 3000000
// A fault excuses what happens up to stableWindowMs after it.
#define CHECKS_STABLE_US 5000000

struct checks {
    pthread_mutex_t mutex;
    struct checks_cut cuts[CHECKS_MAX_CUTS];
    int cuts_count;
    struct checks_keyed keyed[CHECKS_MAX_KEYED];
    int keyed_count;
    int refusals_count;
};

static struct checks checks = {.mutex = PTHREAD_MUTEX_INITIALIZER};

void
checks_record_cut(const struct checks_cut *cut)
{
    events_log("entry %d: connection ends %" PRId64 " ms after: %s",
               cut->entry, (cut->closed_us - cut->sent_us) / CHECKS_US_PER_MS,
               cut->line);
    pthread_mutex_lock(&checks.mutex);
    if (checks.cuts_count < CHECKS_MAX_CUTS) {
        checks.cuts[checks.cuts_count++] = *cut;
    }
    pthread_mutex_unlock(&checks.mutex);
}

void
checks_record_keyed(const struct checks_keyed *keyed)
{
    pthread_mutex_lock(&checks.mutex);
    if (checks.keyed_count < CHECKS_MAX_KEYED) {
        checks.keyed[checks.keyed_count++] = *keyed;
    }
    pthread_mutex_unlock(&checks.mutex);
}

void
checks_count_refusal(void)
{
    pthread_mutex_lock(&checks.mutex);
    checks.refusals_count++;
    pthread_mutex_unlock(&checks.mutex);
}

void
checks_print(void)
{
    int removed = 0;

    for (int i = 0; i < checks.keyed_count; i++) {
        const struct checks_keyed *keyed = &checks.keyed[i];
        int64_t removed_us =
            customers_get_removed_us(keyed->customer, keyed->key);
        removed += removed_us != 0 && keyed->sent_us > removed_us ? 1 : 0;
    }
    (void)printf(" %d statements of customers, %d of them after the removal "
                 "of their key, %d sessions refused for their key;",
                 checks.keyed_count, removed, checks.refusals_count);
}

int
checks_count_cuts(void)
{
    return checks.cuts_count;
}

// Returns whether a fault touched an entry, or the upstreams of a database,
// from stableWindowMs before from_us up to to_us.
static bool
checks_is_disrupted(int entry, int database, int64_t from_us, int64_t to_us)
{
    int64_t begin_us = from_us - CHECKS_STABLE_US;

    return events_overlap(EVENT_FAULT, EVENT_ENTRY, entry, begin_us, to_us) ||
           events_overlap(EVENT_FAULT, EVENT_DATABASE, database, begin_us,
                          to_us);
}

// Returns the planned work at the entry that a cut request falls into.
static const char *
checks_get_work(const struct checks_cut *cut)
{
    int64_t stop_us =
        events_find_last(EVENT_STOP, EVENT_ENTRY, cut->entry, cut->closed_us);
    int64_t reload_us = events_find_last(EVENT_RELOAD, EVENT_ENTRY, cut->entry,
                                         cut->closed_us);

    if (stop_us != 0 && cut->closed_us - stop_us <= CHECKS_STOP_US) {
        return "at a planned stop";
    }
    if (reload_us != 0 && cut->sent_us - reload_us <= CHECKS_RELOAD_US) {
        return "at a reload";
    }
    return "without planned work";
}

// Fails for a request that the entry has read and not answered, with no
// unplanned fault near it.
static void
checks_check_cut(const struct checks_cut *cut)
{
    int64_t held_us = cut->closed_us - cut->sent_us;

    bool is_read =
        held_us >= CHECKS_SLACK_US || cut->arrived_us >= cut->sent_us;

    if (!is_read || checks_is_disrupted(cut->entry, cut->database,
                                        cut->sent_us, cut->closed_us)) {
        return;
    }
    events_fail("%s, entry %d: the request sent at %.3f s has no answer when "
                "the connection ends %" PRId64 " ms later, database %d: %s",
                checks_get_work(cut), cut->entry,
                events_get_seconds(cut->sent_us), held_us / CHECKS_US_PER_MS,
                cut->database, cut->line);
}

// Returns whether a VM is an entry that a fault has touched near a time. An
// entry that is being stopped counts like any other.
static bool
checks_is_entry_disrupted(int entry, int64_t time_us)
{
    return entry >= 0 && events_overlap(EVENT_FAULT, EVENT_ENTRY, entry,
                                        time_us - CHECKS_STABLE_US, time_us);
}

// Returns whether the control VMs or the upstreams of a database were
// disrupted near a time.
static bool
checks_is_core_disrupted(int database, int64_t time_us)
{
    int64_t begin_us = time_us - CHECKS_STABLE_US;

    return events_overlap(EVENT_FAULT, EVENT_CONTROL, EVENT_ANY, begin_us,
                          time_us) ||
           events_overlap(EVENT_FAULT, EVENT_DATABASE, database, begin_us,
                          time_us);
}

// Returns whether a request that reached an upstream after its time is a
// failure: the entry that took it, the one that sent it on and the control VMs
// were in touch. The id of a request begins with e and the number of the entry
// that took it; the sender is vm and the number of a VM. Records a failure if
// is_listed.
static bool
checks_check_late(const struct platform_late *late, int database,
                  bool is_listed)
{
    int entry = -1;
    int sender = -1;
    int64_t acknowledged_us = late->deadline_us - ANNOUNCER_DRAIN_US;

    (void)sscanf(late->id, "e%d", &entry);
    // The name of a customer does not tell the sender, which may then be any
    // entry.
    bool has_sender = sscanf(late->sender, "vm%d", &sender) == 1;
    sender -= RIG_CONTROLS;
    if (checks_is_core_disrupted(database, acknowledged_us) ||
        checks_is_core_disrupted(database, late->arrived_us) ||
        checks_is_entry_disrupted(entry, late->arrived_us) ||
        checks_is_entry_disrupted(sender, late->arrived_us) ||
        (!has_sender && events_overlap(EVENT_FAULT, EVENT_ENTRY, EVENT_ANY,
                                       late->arrived_us - CHECKS_STABLE_US,
                                       late->arrived_us))) {
        return false;
    }
    if (!is_listed) {
        return true;
    }
    events_fail("request %s, taken by entry %d, sent on by entry %d, reached "
                "i-%d at %.3f s, %" PRId64 " ms after the acknowledgement "
                "that it leaves",
                late->id, entry, sender,
                database * PLATFORM_UPSTREAMS + late->upstream,
                events_get_seconds(late->arrived_us),
                (late->arrived_us - acknowledged_us) / CHECKS_US_PER_MS);
    return true;
}

static void
checks_check_database(int database)
{
    struct platform_late late[PLATFORM_MAX_LATE];
    int count = platform_get_late(rig.platforms[database], late);

    int failures = 0;

    for (int i = 0; i < count; i++) {
        failures +=
            checks_check_late(&late[i], database, failures < CHECKS_MAX_LISTED)
                ? 1
                : 0;
    }
    if (failures > CHECKS_MAX_LISTED) {
        events_fail("database %d: %d requests reached upstreams so late",
                    database, failures);
    }
}

// Fails for statements that ran under the name of another customer.
static void
checks_check_names(int database)
{
    char text[PLATFORM_MISNAMED_SIZE];
    int count = platform_get_misnamed(rig.platforms[database], text);

    if (count > 0) {
        events_fail("database %d: %d statements under a wrong name, first %s",
                    database, count, text);
    }
}

// Returns whether a statement was sent later than configApplyMs after the
// acknowledgement that its key is removed, at an entry that was in contact
// with control. Records a failure if is_listed.
static bool
checks_check_key(const struct checks_keyed *keyed, bool is_listed)
{
    int64_t removed_us = customers_get_removed_us(keyed->customer, keyed->key);
    int64_t late_us = keyed->sent_us - removed_us;

    if (removed_us == 0 || late_us <= CUSTOMERS_APPLY_US ||
        checks_is_entry_disrupted(keyed->entry, keyed->arrived_us) ||
        events_overlap(EVENT_FAULT, EVENT_CONTROL, EVENT_ANY,
                       keyed->sent_us - CHECKS_STABLE_US, keyed->arrived_us)) {
        return false;
    }
    if (is_listed) {
        events_fail("entry %d: a statement sent at %.3f s reached an upstream "
                    "with key %d of %s, removed %" PRId64 " ms before",
                    keyed->entry, events_get_seconds(keyed->sent_us),
                    keyed->key, customers_get_name(keyed->customer),
                    late_us / CHECKS_US_PER_MS);
    }
    return true;
}

static void
checks_check_keys(void)
{
    int failures = 0;

    for (int i = 0; i < checks.keyed_count; i++) {
        bool is_listed = failures < CHECKS_MAX_LISTED;
        failures += checks_check_key(&checks.keyed[i], is_listed) ? 1 : 0;
    }
    if (failures > CHECKS_MAX_LISTED) {
        events_fail("%d statements with removed keys reached upstreams",
                    failures);
    }
}

static int
checks_compare_times(const void *a, const void *b)
{
    int64_t left = *(const int64_t *)a;
    int64_t right = *(const int64_t *)b;

    return (left > right) - (left < right);
}

// Fails for a customer of which more operations ran in a window than its limit
// allows. Lists the first such window.
static void
checks_check_limit(int customer)
{
    static int64_t times_us[CHECKS_MAX_KEYED];
    int count = 0;
    int first = 0;

    for (int i = 0; i < checks.keyed_count; i++) {
        if (checks.keyed[i].customer == customer && checks.keyed[i].has_run) {
            times_us[count++] = checks.keyed[i].arrived_us;
        }
    }
    qsort(times_us, (size_t)count, sizeof(times_us[0]), checks_compare_times);
    for (int i = 0; i < count; i++) {
        while (times_us[first] + CUSTOMERS_WINDOW_US < times_us[i]) {
            first++;
        }
        double bound = customers_get_bound(customer, times_us[first]);
        if (i - first + 1 > bound) {
            events_fail("customer %s: %d operations in 5 s up to %.3f s, "
                        "allowed %.1f",
                        customers_get_name(customer), i - first + 1,
                        events_get_seconds(times_us[i]), bound);
            return;
        }
    }
}

void
checks_run(void)
{
    for (int i = 0; i < checks.cuts_count; i++) {
        checks_check_cut(&checks.cuts[i]);
    }
    for (int i = 0; i < rig.databases_count; i++) {
        checks_check_database(i);
        checks_check_names(i);
    }
    checks_check_keys();
    for (int i = 0; i < CUSTOMERS_COUNT; i++) {
        checks_check_limit(i);
    }
}
