#ifndef CATKINGRADE_KERNEL_PLUGIN_H
#define CATKINGRADE_KERNEL_PLUGIN_H

#include <stdbool.h>

struct daemon;
struct settings;

// A component of the daemon. PLUGIN_REGISTER registers it before main() runs.
// Plug-ins start in ascending order and stop in the reverse order.
struct plugin {
    const char *name;
    int order; // position in the start order, lowest first
    // Returns whether the settings enable the plug-in. NULL: always enabled.
    bool (*is_enabled)(const struct settings *settings);
    // Returns OUTCOME_OK, or an error that the plug-in has logged.
    int (*start)(struct daemon *daemon);
    // Stops accepting new work, at the beginning of a planned stop. May be
    // NULL.
    void (*drain)(struct daemon *daemon);
    // Answers the requests that are still in flight when the time of a planned
    // stop has run out. May be NULL.
    void (*finish)(struct daemon *daemon);
    // Returns whether no request is in flight. NULL: always drained.
    bool (*is_drained)(struct daemon *daemon);
    // Gives up what other VMs wait for, once no request is in flight. Called
    // until it returns true, as long as the stop has time. NULL: nothing.
    bool (*release)(struct daemon *daemon);
    void (*stop)(struct daemon *daemon);
};

void plugin_register(const struct plugin *plugin);
int plugin_start_all(struct daemon *daemon, const struct settings *settings);
void plugin_drain_all(struct daemon *daemon);
void plugin_finish_all(struct daemon *daemon);
bool plugin_all_drained(struct daemon *daemon);
bool plugin_release_all(struct daemon *daemon);
void plugin_stop_all(struct daemon *daemon);

#define PLUGIN_REGISTER(plugin_variable)                                      \
    __attribute__((constructor)) static void register_##plugin_variable(void) \
    {                                                                         \
        plugin_register(&(plugin_variable));                                  \
    }

#endif
