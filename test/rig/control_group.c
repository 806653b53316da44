#include "test/rig/control_group.h"

#include <check.h>
#include <curl/curl.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "catkingrade/kernel/memory.h"
#include "test/fake/platform.h"

#define HTTP_TIMEOUT_MS 3000
#define SEEDS_SIZE      512

// Writes the addresses of the seeds: of a new group its first VMs, later all
// VMs that run, the newest first.
static void
control_group_list_seeds(const struct control_group *group, bool is_new,
                         char text[SEEDS_SIZE])
{
    size_t length = 0;
    int count = is_new ? CONTROL_GROUP_SEEDS : group->count;

    text[0] = '\0';
    for (int i = 0; i < count; i++) {
        int vm = is_new ? i : count - 1 - i;
        if (!is_new && group->processes[vm] == NULL) {
            continue;
        }
        length += (size_t)snprintf(
            text + length, SEEDS_SIZE - length, "%s\"127.0.0.1:%d\"",
            length == 0 ? "" : ", ", group->rpc_ports[vm]);
    }
}

static void
control_group_start_vm(struct control_group *group, int vm, bool is_new)
{
    char path[512];
    char log[512];
    char seeds[SEEDS_SIZE];
    const char *args[] = {"--settings", path, NULL};

    control_group_list_seeds(group, is_new, seeds);
    char *text = xasprintf(
        "{\"vm\": \"vm%d\", \"failure_domain\": \"noord\", \"seeds\": [%s], "
        "\"voters_from_seeds\": true, \"tolerated_losses\": %u, "
        "\"log_format\": \"json\", \"listen\": {\"rpc\": \"127.0.0.1:%d\", "
        "\"http\": \"127.0.0.1:%d\"}, \"roles\": [\"control\"], "
        "\"data_dir\": \"%s/data%d\", \"bootstrap\": %s, "
        "\"heartbeat_ms\": 80, \"election_ms\": 300, "
        "\"platform\": {\"control\": true}}",
        vm, seeds, group->tolerated_losses, group->rpc_ports[vm],
        group->http_ports[vm], group->folder, vm, is_new ? "true" : "false");
    (void)snprintf(path, sizeof(path), "%s/vm%d.json", group->folder, vm);
    (void)snprintf(log, sizeof(log), "%s/vm%d.log", group->folder, vm);
    process_write_file(path, text);
    free(text);
    group->processes[vm] = process_start(log, "catkingraded", args);
}

static void
control_group_select_ports(struct control_group *group, int vm)
{
    group->rpc_ports[vm] = process_get_free_port();
    group->http_ports[vm] = process_get_free_port();
}

void
control_group_start(struct control_group *group, const char *name, int vms,
                    unsigned tolerated_losses)
{
    memset(group, 0, sizeof(*group));
    (void)curl_global_init(CURL_GLOBAL_DEFAULT);
    group->folder = process_make_folder(name);
    group->tolerated_losses = tolerated_losses;
    group->count = vms;
    for (int vm = 0; vm < vms; vm++) {
        control_group_select_ports(group, vm);
    }
    for (int vm = 0; vm < vms; vm++) {
        control_group_start_vm(group, vm, true);
    }
    for (int vm = 0; vm < vms; vm++) {
        ck_assert(process_wait_port(group->http_ports[vm]));
    }
}

void
control_group_stop(struct control_group *group)
{
    for (int vm = 0; vm < group->count; vm++) {
        if (group->processes[vm] != NULL) {
            control_group_kill(group, vm);
        }
    }
    free(group->folder);
}

void
control_group_kill(struct control_group *group, int vm)
{
    (void)process_stop(group->processes[vm], SIGKILL);
    group->processes[vm] = NULL;
}

int
control_group_add(struct control_group *group)
{
    int vm = group->count;

    ck_assert_int_lt(vm, CONTROL_GROUP_MAX);
    control_group_select_ports(group, vm);
    control_group_start_vm(group, vm, false);
    group->count++;
    return vm;
}

// Returns the number after a name in the JSON text; 0 if there is none.
static int
control_group_read_number(const char *text, const char *name)
{
    char key[32];

    (void)snprintf(key, sizeof(key), "\"%s\":", name);
    const char *at = strstr(text, key);
    return at == NULL ? 0 : atoi(at + strlen(key));
}

bool
control_group_get_status(const struct control_group *group, int vm,
                         struct control_group_status *status)
{
    char address[64];
    const char *args[] = {"--connect", address,  "--timeout", "2000",
                          "--json",    "status", NULL};
    int code = 0;

    (void)snprintf(address, sizeof(address), "127.0.0.1:%d",
                   group->rpc_ports[vm]);
    char *text = process_run(group->folder, "catkingrade", args, &code);
    status->voter = control_group_read_number(text, "voter");
    status->leader = control_group_read_number(text, "leader");
    status->members = control_group_read_number(text, "voters");
    status->voting = control_group_read_number(text, "voting");
    status->revision = control_group_read_number(text, "revision");
    free(text);
    return code == 0;
}

int
control_group_find_leader(const struct control_group *group)
{
    struct control_group_status status;

    for (int vm = 0; vm < group->count; vm++) {
        if (group->processes[vm] != NULL &&
            control_group_get_status(group, vm, &status) &&
            status.voter != 0 && status.voter == status.leader) {
            return vm;
        }
    }
    return -1;
}

static char *
control_group_call(const struct control_group *group, int vm,
                   const char *method, const char *body, long *status)
{
    char url[64];

    (void)snprintf(url, sizeof(url), "http://127.0.0.1:%d/v1/config",
                   group->http_ports[vm]);
    return platform_call_http(method, url, body, HTTP_TIMEOUT_MS, status);
}

long
control_group_put_config(const struct control_group *group, int vm,
                         const char *body)
{
    long status = 0;

    free(control_group_call(group, vm, "PUT", body, &status));
    return status;
}

char *
control_group_get_config(const struct control_group *group, int vm,
                         long *status)
{
    return control_group_call(group, vm, "GET", NULL, status);
}
