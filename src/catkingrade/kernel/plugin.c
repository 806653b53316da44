#include "catkingrade/kernel/plugin.h"

#include <inttypes.h>
#include <stddef.h>

#include "catkingrade/kernel/log.h"
#include "catkingrade/kernel/loop.h"
#include "catkingrade/kernel/memory.h"
#include "catkingrade/kernel/outcome.h"

#define PLUGIN_MAX_COUNT 32
// A plug-in that takes longer to stop is logged.
#define PLUGIN_SLOW_STOP_US 100000
#define PLUGIN_US_PER_MS    1000

static const struct plugin *plugins[PLUGIN_MAX_COUNT];
static bool plugins_started[PLUGIN_MAX_COUNT];
static size_t plugin_count;

// Adds a plug-in to the registry, which is sorted by start order. Aborts if
// there are more than PLUGIN_MAX_COUNT plug-ins.
void
plugin_register(const struct plugin *plugin)
{
    size_t index = plugin_count;

    INVARIANT(plugin_count < PLUGIN_MAX_COUNT);
    while (index > 0 && plugins[index - 1]->order > plugin->order) {
        plugins[index] = plugins[index - 1];
        index--;
    }
    plugins[index] = plugin;
    plugin_count++;
}

// Starts all enabled plug-ins. Returns OUTCOME_OK or the first error; the
// caller then stops the plug-ins that have started with plugin_stop_all.
int
plugin_start_all(struct daemon *daemon, const struct settings *settings)
{
    for (size_t i = 0; i < plugin_count; i++) {
        if (plugins[i]->is_enabled != NULL &&
            !plugins[i]->is_enabled(settings)) {
            continue;
        }
        int outcome = plugins[i]->start(daemon);
        if (outcome != OUTCOME_OK) {
            LOG_ERROR("plugin_failed", "plugin=%s outcome=%s",
                      plugins[i]->name, outcome_get_name(outcome));
            return outcome;
        }
        plugins_started[i] = true;
    }
    return OUTCOME_OK;
}

// Makes all running plug-ins stop accepting new work.
void
plugin_drain_all(struct daemon *daemon)
{
    for (size_t i = plugin_count; i > 0; i--) {
        if (plugins_started[i - 1] && plugins[i - 1]->drain != NULL) {
            plugins[i - 1]->drain(daemon);
        }
    }
}

// Makes all running plug-ins answer the requests that are in flight.
void
plugin_finish_all(struct daemon *daemon)
{
    for (size_t i = plugin_count; i > 0; i--) {
        if (plugins_started[i - 1] && plugins[i - 1]->finish != NULL) {
            plugins[i - 1]->finish(daemon);
        }
    }
}

// Returns whether no running plug-in has a request in flight.
bool
plugin_all_drained(struct daemon *daemon)
{
    for (size_t i = 0; i < plugin_count; i++) {
        if (plugins_started[i] && plugins[i]->is_drained != NULL &&
            !plugins[i]->is_drained(daemon)) {
            return false;
        }
    }
    return true;
}

// Makes all running plug-ins give up what other VMs wait for. Returns whether
// all have done so.
bool
plugin_release_all(struct daemon *daemon)
{
    bool released = true;

    for (size_t i = 0; i < plugin_count; i++) {
        if (plugins_started[i] && plugins[i]->release != NULL) {
            released = plugins[i]->release(daemon) && released;
        }
    }
    return released;
}

static void
plugin_stop(const struct plugin *plugin, struct daemon *daemon)
{
    int64_t begun_us = monotonic_get_us();

    plugin->stop(daemon);
    int64_t taken_us = monotonic_get_us() - begun_us;
    if (taken_us >= PLUGIN_SLOW_STOP_US) {
        LOG_INFO("slow_stop", "plugin=%s stop_ms=%" PRId64, plugin->name,
                 taken_us / PLUGIN_US_PER_MS);
    }
}

// Stops all running plug-ins in the reverse order of their start. Logs each
// one that takes long, since the process does not end before.
void
plugin_stop_all(struct daemon *daemon)
{
    for (size_t i = plugin_count; i > 0; i--) {
        if (plugins_started[i - 1]) {
            plugin_stop(plugins[i - 1], daemon);
            plugins_started[i - 1] = false;
        }
    }
}
