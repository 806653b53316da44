#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "catkingrade/entry/database_private.h"
#include "catkingrade/kernel/memory.h"

// Monitors: one sampling connection for each upstream, over which its role and
// log position are requested.

static void
database_raise_sample_event(struct database_monitor *monitor,
                            const struct upstream_sample *sample)
{
    bool succeeded = sample->fault == UPSTREAM_FAULT_NONE;
    struct scheduler_event event = {
        .kind =
            succeeded ? SCHEDULER_EVENT_SAMPLE : SCHEDULER_EVENT_SAMPLE_FAILED,
        .sample = {.upstream = monitor->upstream,
                   .is_primary = sample->is_primary,
                   .refused = sample->fault == UPSTREAM_FAULT_REFUSED,
                   .full =
                       sample->fault == UPSTREAM_FAULT_TOO_MANY_CONNECTIONS,
                   .position = sample->position,
                   .asked_at_us = sample->asked_at_us,
                   .round_trip_us = sample->round_trip_us},
    };

    monitor->busy = false;
    if (succeeded) {
        monitor->timeline = sample->position.timeline;
    }
    else {
        monitor->link->ops->close(monitor->link);
        monitor->link = NULL;
        monitor->open = false;
    }
    database_step(monitor->database, &event);
}

static void
database_handle_sampled(void *data, const struct upstream_sample *sample)
{
    database_raise_sample_event(data, sample);
}

static void
database_handle_monitor_opened(void *data, enum upstream_fault fault)
{
    struct database_monitor *monitor = data;

    if (fault == UPSTREAM_FAULT_NONE) {
        monitor->open = true;
        monitor->link->ops->sample(monitor->link);
        return;
    }
    struct upstream_sample sample = {.fault = fault,
                                     .asked_at_us = monitor->asked_at_us};
    database_raise_sample_event(monitor, &sample);
}

static void
database_handle_monitor_lost(void *data)
{
    struct database_monitor *monitor = data;

    monitor->link->ops->close(monitor->link);
    monitor->link = NULL;
    monitor->open = false;
}

static const struct upstream_link_events database_monitor_events = {
    .opened = database_handle_monitor_opened,
    .sampled = database_handle_sampled,
    .lost = database_handle_monitor_lost,
};

static struct database_monitor *
database_get_monitor(struct database *database, uint32_t upstream)
{
    size_t count = database->monitors_count;

    if (upstream >= count) {
        database->monitors = xrealloc(
            database->monitors, (upstream + 1) * sizeof(*database->monitors));
        memset(&database->monitors[count], 0,
               (upstream + 1 - count) * sizeof(*database->monitors));
        database->monitors_count = upstream + 1;
    }
    struct database_monitor *monitor = database->monitors[upstream];
    if (monitor == NULL) {
        monitor = xcalloc(1, sizeof(*monitor));
        monitor->database = database;
        monitor->upstream = upstream;
        database->monitors[upstream] = monitor;
    }
    return monitor;
}

// Requests a sample of an upstream's position, and first opens the sampling
// connection if needed. Does nothing while a sample is in flight.
void
database_run_sample(struct database *database, uint32_t upstream)
{
    struct database_monitor *monitor =
        database_get_monitor(database, upstream);

    if (monitor->busy) {
        return;
    }
    monitor->busy = true;
    monitor->asked_at_us = monotonic_get_us();
    if (monitor->open) {
        monitor->link->ops->sample(monitor->link);
        return;
    }
    const struct ck_upstream *config =
        scheduler_get_upstream(database->scheduler, upstream);
    INVARIANT(config != NULL);
    (void)snprintf(monitor->host, sizeof(monitor->host), "%s", config->host);
    monitor->port = config->port;
    monitor->link = database_open_link(database, upstream, NULL,
                                       &database_monitor_events, monitor);
}

// Closes idle sampling connections to upstreams that the view no longer
// contains or whose address has changed.
void
database_close_stale_monitors(struct database *database)
{
    for (uint32_t i = 0; i < database->monitors_count; i++) {
        struct database_monitor *monitor = database->monitors[i];
        const struct ck_upstream *config =
            scheduler_get_upstream(database->scheduler, i);
        if (monitor == NULL || monitor->busy || monitor->link == NULL ||
            (config != NULL && config->port == monitor->port &&
             strcmp(config->host, monitor->host) == 0)) {
            continue;
        }
        monitor->link->ops->close(monitor->link);
        monitor->link = NULL;
        monitor->open = false;
    }
}
