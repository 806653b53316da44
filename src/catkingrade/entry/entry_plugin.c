#include "catkingrade/entry/entry_plugin.h"

#include <stddef.h>

#include "catkingrade/entry/entry.h"
#include "catkingrade/kernel/daemon.h"

// Lets the entry take no new work.
void
entry_plugin_drain(struct daemon *daemon)
{
    entry_drain(daemon->entry);
}

// Returns whether nothing is in flight in the entry.
bool
entry_plugin_is_drained(struct daemon *daemon)
{
    return entry_is_drained(daemon->entry);
}

// Frees the entry.
void
entry_plugin_stop(struct daemon *daemon)
{
    entry_destroy(daemon->entry);
    daemon->entry = NULL;
}
