#include "catkingrade/entry/entry_plugin.h"

#include <stddef.h>

#include "catkingrade/entry/entry.h"
#include "catkingrade/kernel/daemon.h"
#include "catkingrade/kernel/outcome.h"

// Starts the worker threads. If one fails to start, frees the entry with those
// that run, since a plug-in whose start has failed is not stopped. Returns the
// outcome of entry_start.
int
entry_plugin_start(struct daemon *daemon)
{
    int outcome = entry_start(daemon->entry);

    if (outcome != OUTCOME_OK) {
        entry_plugin_stop(daemon);
    }
    return outcome;
}

// Begins a planned stop: the entry accepts no new sessions.
void
entry_plugin_drain(struct daemon *daemon)
{
    entry_drain(daemon->entry);
}

// Ends all requests with an answer, and all sessions.
void
entry_plugin_finish(struct daemon *daemon)
{
    entry_finish(daemon->entry);
}

// Returns whether a planned stop has begun and all sessions have ended.
bool
entry_plugin_is_drained(struct daemon *daemon)
{
    return entry_is_drained(daemon->entry);
}

// Stops the worker threads and frees the entry.
void
entry_plugin_stop(struct daemon *daemon)
{
    entry_destroy(daemon->entry);
    daemon->entry = NULL;
}
