#ifndef CATKINGRADE_ENTRY_ENTRY_PLUGIN_H
#define CATKINGRADE_ENTRY_ENTRY_PLUGIN_H

#include <stdbool.h>

struct daemon;

// Operations that are common to all protocol plug-ins whose clients use the
// daemon's entry.
int entry_plugin_start(struct daemon *daemon);
void entry_plugin_drain(struct daemon *daemon);
void entry_plugin_finish(struct daemon *daemon);
bool entry_plugin_is_drained(struct daemon *daemon);
void entry_plugin_stop(struct daemon *daemon);

#endif
