#include "test/fake/deployment.h"

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "catkingrade/kernel/buffer.h"
#include "catkingrade/kernel/memory.h"

#define DEPLOYMENT_MAX_ARGS 32

static void
deployment_start_upstream(struct deployment *deployment, size_t index,
                          const struct deployment_params *params)
{
    char name[16];
    char control[16];
    char connections[16];
    char primary[32];
    const char *args[DEPLOYMENT_MAX_ARGS] = {"--control", control,
                                             "--connections", connections};
    size_t count = 4;

    deployment->upstream_ports[index] = process_get_free_port();
    deployment->control_ports[index] = process_get_free_port();
    (void)snprintf(name, sizeof(name), "u%zu", index + 1);
    (void)snprintf(control, sizeof(control), "%d",
                   deployment->control_ports[index]);
    (void)snprintf(connections, sizeof(connections), "%u",
                   params->connections);
    (void)snprintf(primary, sizeof(primary), "127.0.0.1:%d",
                   deployment->upstream_ports[0]);
    if (index > 0) {
        args[count++] = "--primary-address";
        args[count++] = primary;
    }
    for (size_t i = 0; params->extra != NULL && params->extra[i] != NULL;
         i++) {
        INVARIANT(count + 1 < DEPLOYMENT_MAX_ARGS);
        args[count++] = params->extra[i];
    }
    deployment->upstreams[index] = process_start_upstream(
        deployment->folder, name, deployment->upstream_ports[index], args);
    INVARIANT(process_wait_port(deployment->control_ports[index]));
}

static void
deployment_write_view(const struct deployment *deployment,
                      const struct deployment_params *params)
{
    struct buffer view = {0};
    char *path = xasprintf("%s/view.json", deployment->folder);

    buffer_append_format(
        &view,
        "{\"customers\": [{\"name\": \"pootafdruk\", \"confirm\": %u, "
        "\"max_age_ms\": 2000, \"types\": [{\"name\": \"other\", "
        "\"deadline_ms\": 20000}], \"callers\": %s}],\n"
        "\"databases\": [{\"name\": \"roster\", \"customer\": "
        "\"pootafdruk\", \"primary\": \"u1\", \"base\": {\"timeline\": 1, "
        "\"lsn\": 0}, \"upstreams\": [",
        params->confirm, params->callers == NULL ? "[]" : params->callers);
    for (size_t i = 0; i < deployment->upstreams_count; i++) {
        buffer_append_format(
            &view,
            "%s{\"name\": \"u%zu\", \"failure_domain\": \"noord\", "
            "\"host\": \"127.0.0.1\", \"port\": %d, \"slots\": %u, "
            "\"connections\": %u}",
            i == 0 ? "" : ", ", i + 1, deployment->upstream_ports[i],
            params->slots, params->connections);
    }
    buffer_append_text(&view, "]}]}\n");
    buffer_append_u8(&view, 0);
    process_write_file(path, (const char *)buffer_get_data(&view));
    buffer_free(&view);
    free(path);
}

static void
deployment_write_token_keys(const struct deployment *deployment)
{
    char *path = xasprintf("%s/token-keys", deployment->folder);

    process_write_file(path, "1 00112233445566778899aabbccddeeff"
                             "00112233445566778899aabbccddeeff\n");
    free(path);
}

static void
deployment_start_entry(struct deployment *deployment, size_t index,
                       const struct deployment_params *params)
{
    const char *folder = deployment->folder;
    char *path = xasprintf("%s/entry-%zu.json", folder, index + 1);
    char *log_path = xasprintf("%s/entry-%zu.log", folder, index + 1);

    deployment->entry_ports[index] = process_get_free_port();
    char *text = xasprintf(
        "{\"vm\": \"entry-%zu\", \"failure_domain\": \"noord\", "
        "\"roles\": [\"entry\"], \"listen\": {\"postgres\": "
        "\"127.0.0.1:%d\", \"rpc\": \"127.0.0.1:%d\"}, "
        "\"view_file\": \"%s/view.json\", \"token_keys_file\": "
        "\"%s/token-keys\", \"drain_notice_ms\": 0%s%s}\n",
        index + 1, deployment->entry_ports[index], process_get_free_port(),
        folder, folder, params->settings == NULL ? "" : ", ",
        params->settings == NULL ? "" : params->settings);
    process_write_file(path, text);
    const char *args[] = {"--settings", path, NULL};
    deployment->entries[index] = process_start(log_path, "catkingraded", args);
    INVARIANT(process_wait_port(deployment->entry_ports[index]));
    free(text);
    free(path);
    free(log_path);
}

// Starts the upstreams first: the entries' view file contains their ports.
void
deployment_start(struct deployment *deployment, const char *name,
                 const struct deployment_params *params)
{
    memset(deployment, 0, sizeof(*deployment));
    INVARIANT(params->upstreams_count <= DEPLOYMENT_MAX);
    INVARIANT(params->entries_count <= DEPLOYMENT_MAX);
    deployment->folder = process_make_folder(name);
    deployment->upstreams_count = params->upstreams_count;
    deployment->entries_count = params->entries_count;
    for (size_t i = 0; i < params->upstreams_count; i++) {
        deployment_start_upstream(deployment, i, params);
    }
    deployment_write_view(deployment, params);
    deployment_write_token_keys(deployment);
    for (size_t i = 0; i < params->entries_count; i++) {
        deployment_start_entry(deployment, i, params);
    }
}

// Stops the entries with SIGTERM, as an operator does, then kills the
// upstreams.
bool
deployment_stop(struct deployment *deployment)
{
    bool clean = true;

    for (size_t i = 0; i < deployment->entries_count; i++) {
        clean = process_stop(deployment->entries[i], SIGTERM) == 0 && clean;
    }
    for (size_t i = 0; i < deployment->upstreams_count; i++) {
        (void)process_stop(deployment->upstreams[i], SIGKILL);
    }
    free(deployment->folder);
    return clean;
}
