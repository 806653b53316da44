#include "catkingrade/kernel/daemon.h"
#include "catkingrade/kernel/outcome.h"
#include "catkingrade/kernel/plugin.h"
#include "catkingrade/kernel/settings.h"

// Serves health, counters and announcements.
static bool
http_wants(const struct settings *settings)
{
    return settings->http.port != 0;
}

static int
http_start(struct daemon *daemon)
{
    (void)daemon;
    return OUTCOME_OK;
}

static void
http_stop(struct daemon *daemon)
{
    daemon->http = NULL;
}

static const struct plugin http_plugin = {
    .name = "http",
    .order = 40,
    .wants = http_wants,
    .start = http_start,
    .stop = http_stop,
};

PLUGIN_REGISTER(http_plugin)
