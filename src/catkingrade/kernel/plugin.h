#ifndef CATKINGRADE_KERNEL_PLUGIN_H
#define CATKINGRADE_KERNEL_PLUGIN_H

#include <stdbool.h>

struct daemon;
struct settings;

// A part of the daemon that registers itself before main() runs. It is
// started when wants() agrees and stopped in the reverse order of start.
struct plugin {
    const char *name;
    int order; // lower ones start first
    bool (*is_enabled)(const struct settings *settings);
    // Returns OUTCOME_OK or an error, with a message already logged.
    int (*start)(struct daemon *daemon);
    // Stops new work; called first at a planned stop. May be NULL.
    void (*drain)(struct daemon *daemon);
    // True once no request is in flight. NULL: always.
    bool (*is_drained)(struct daemon *daemon);
    void (*stop)(struct daemon *daemon);
};

void plugin_register(const struct plugin *plugin);
int plugin_start_all(struct daemon *daemon, const struct settings *settings);
void plugin_drain_all(struct daemon *daemon);
bool plugin_all_drained(struct daemon *daemon);
void plugin_stop_all(struct daemon *daemon);

#define PLUGIN_REGISTER(plugin_variable)                                      \
    __attribute__((constructor)) static void register_##plugin_variable(void) \
    {                                                                         \
        plugin_register(&(plugin_variable));                                  \
    }

#endif
