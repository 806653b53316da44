#include <stdio.h>

#include "catkingrade/kernel/daemon.h"
#include "catkingrade/kernel/log.h"
#include "catkingrade/kernel/outcome.h"
#include "catkingrade/kernel/plugin.h"
#include "catkingrade/kernel/settings.h"
#include "catkingrade/rpc/rpcnet.h"

static bool
oncrpc_is_enabled(const struct settings *settings)
{
    return settings->rpc.port != 0;
}

static int
oncrpc_start(struct daemon *daemon)
{
    const struct settings *settings = daemon->settings;
    struct datagram_key key;
    struct buffer errors = {0};
    int outcome = datagram_key_load(settings->key_file, &key, &errors);

    if (outcome != OUTCOME_OK) {
        LOG_ERROR("key_file_failed", "%.*s", (int)buffer_get_size(&errors),
                  (const char *)buffer_get_data(&errors));
        buffer_free(&errors);
        return outcome;
    }
    daemon->rpcnet = rpcnet_create(daemon->control_loop, &settings->rpc, &key);
    if (daemon->rpcnet == NULL) {
        LOG_ERROR("rpc_failed", "address=%s:%u", settings->rpc.host,
                  settings->rpc.port);
        return OUTCOME_IO;
    }
    return OUTCOME_OK;
}

static void
oncrpc_stop(struct daemon *daemon)
{
    rpcnet_destroy(daemon->rpcnet);
    daemon->rpcnet = NULL;
}

static const struct plugin oncrpc_plugin = {
    .name = "oncrpc",
    .order = 10,
    .is_enabled = oncrpc_is_enabled,
    .start = oncrpc_start,
    .stop = oncrpc_stop,
};

PLUGIN_REGISTER(oncrpc_plugin)
