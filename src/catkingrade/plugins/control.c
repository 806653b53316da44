#include "catkingrade/control/control.h"

#include "catkingrade/control/lease_agent.h"
#include "catkingrade/control/limit_agent.h"
#include "catkingrade/kernel/outcome.h"
#include "catkingrade/kernel/plugin.h"
#include "catkingrade/kernel/settings.h"

// Plug-ins of the control plane. They start in three steps, because each
// depends on components that start in between: the control groups before the
// entry accepts traffic, the lease agent once the entry exists, and the HTTP
// route for announcements once the HTTP server runs.

static bool
control_plugin_is_enabled(const struct settings *settings)
{
    return settings->rpc.port != 0;
}

static int
control_plugin_start(struct daemon *daemon)
{
    return control_create(daemon, &daemon->control);
}

static void
control_plugin_drain(struct daemon *daemon)
{
    control_drain(daemon->control);
}

// Hands over again if this VM leads, since the VM that was to take over may
// not answer, and this one may be elected again.
static bool
control_plugin_is_drained(struct daemon *daemon)
{
    if (control_is_drained(daemon->control)) {
        return true;
    }
    control_drain(daemon->control);
    return false;
}

static void
control_plugin_stop(struct daemon *daemon)
{
    control_destroy(daemon->control);
    daemon->control = NULL;
}

static const struct plugin control_plugin = {
    .name = "control",
    .order = 20,
    .is_enabled = control_plugin_is_enabled,
    .start = control_plugin_start,
    .drain = control_plugin_drain,
    .is_drained = control_plugin_is_drained,
    .stop = control_plugin_stop,
};

PLUGIN_REGISTER(control_plugin)

static bool
leases_is_enabled(const struct settings *settings)
{
    return (settings->roles & SETTINGS_ROLE_ENTRY) != 0 &&
           settings->groups_count > 0 && settings->rpc.port != 0;
}

static int
leases_start(struct daemon *daemon)
{
    daemon->lease_agent = lease_agent_create(daemon);
    daemon->limit_agent = limit_agent_create(daemon);
    return OUTCOME_OK;
}

static void
leases_stop(struct daemon *daemon)
{
    limit_agent_destroy(daemon->limit_agent);
    daemon->limit_agent = NULL;
    lease_agent_destroy(daemon->lease_agent);
    daemon->lease_agent = NULL;
}

// Gives the leases back, so that no change of primary waits for them.
static bool
leases_release(struct daemon *daemon)
{
    lease_agent_return(daemon->lease_agent);
    return lease_agent_is_returned(daemon->lease_agent);
}

static const struct plugin leases_plugin = {
    .name = "leases",
    .order = 35,
    .is_enabled = leases_is_enabled,
    .start = leases_start,
    .release = leases_release,
    .stop = leases_stop,
};

PLUGIN_REGISTER(leases_plugin)

static bool
announcements_is_enabled(const struct settings *settings)
{
    return settings->http.port != 0 && settings->groups_count > 0 &&
           settings->rpc.port != 0;
}

static int
announcements_start(struct daemon *daemon)
{
    control_start_announcements(daemon->control);
    return OUTCOME_OK;
}

static void
announcements_stop(struct daemon *daemon)
{
    control_stop_announcements(daemon->control);
}

static const struct plugin announcements_plugin = {
    .name = "announcements",
    .order = 45,
    .is_enabled = announcements_is_enabled,
    .start = announcements_start,
    .stop = announcements_stop,
};

PLUGIN_REGISTER(announcements_plugin)
