#ifndef CATKINGRADE_ENTRY_ENTRY_PLUGIN_H
#define CATKINGRADE_ENTRY_ENTRY_PLUGIN_H

#include <stdbool.h>

struct daemon;

// The parts of a plug-in that are the same for every one that brings callers
// to the daemon's entry.
void entry_plugin_drain(struct daemon *daemon);
bool entry_plugin_is_drained(struct daemon *daemon);
void entry_plugin_stop(struct daemon *daemon);

#endif
