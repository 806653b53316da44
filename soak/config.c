#include "soak/config.h"

#include <pthread.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <unistd.h>

#include "catkingrade/decide/random.h"
#include "catkingrade/kernel/buffer.h"
#include "catkingrade/kernel/loop.h"
#include "catkingrade/kernel/memory.h"
#include "soak/customers.h"
#include "soak/events.h"
#include "test/rig/platform_rig.h"

#define CONFIG_INTERVAL_US 20000
#define CONFIG_NO_REQUEST  (-1)
// Half of the connections is allocated as quotas. Of the first database that
// is too few for two connections at each entry, so that relays are used.
#define CONFIG_FEW_CONNECTIONS  8
#define CONFIG_MANY_CONNECTIONS 40
#define CONFIG_SHORT_TIMEOUT_MS 1500
#define CONFIG_LONG_TIMEOUT_MS  4000
// Time between two changes of customers.
#define CONFIG_MIN_CHANGE_US 500000
#define CONFIG_MAX_CHANGE_US 3000000

struct config {
    pthread_t thread;
    uint64_t random;
    int64_t change_us; // time of the next change of customers
    atomic_bool stopping;
    atomic_int requested;     // control VM for the next upload
    int sent_version;         // newest version sent
    int acknowledged_version; // newest version acknowledged
};

static struct config config;

// Appends the routes of a database, followed by its number unless that is 0:
// `own` and `current`, or those for customers, `keyed-own` and
// `keyed-current`.
static void
config_append_routes(struct buffer *body, int database, int version,
                     bool is_keyed)
{
    char number[16] = "";
    const char *prefix = is_keyed ? "keyed-" : "";
    const char *public = is_keyed ? "false" : "true";
    int timeout_ms =
        database == 0 ? CONFIG_SHORT_TIMEOUT_MS : CONFIG_LONG_TIMEOUT_MS;

    if (database > 0) {
        (void)snprintf(number, sizeof(number), "%d", database);
    }
    buffer_append_format(
        body,
        "%s{\"host\":\"%sown%s\",\"routeKind\":\"read_own_writes\","
        "\"timeoutMs\":%d,\"targetLatencyMs\":900,\"priority\":2,"
        "\"service\":\"core%s\",\"maxStalenessMs\":%d,\"public\":%s},"
        "{\"host\":\"%scurrent%s\",\"routeKind\":\"primary\",\"timeoutMs\":%d,"
        "\"targetLatencyMs\":900,\"priority\":1,\"service\":\"core%s\","
        "\"public\":%s}",
        database == 0 && !is_keyed ? "" : ",", prefix, number,
        timeout_ms + version % 7, number, CONFIG_MAX_STALENESS_MS, public,
        prefix, number, timeout_ms, number, public);
}

static void
config_append_service(struct buffer *body, int database)
{
    char number[16] = "";

    if (database > 0) {
        (void)snprintf(number, sizeof(number), "%d", database);
    }
    buffer_append_format(
        body, "%s{\"name\":\"core%s\",\"maxConns\":%d,\"syncReplicas\":0}",
        database == 0 ? "" : ",", number,
        database == 0 ? CONFIG_FEW_CONNECTIONS : CONFIG_MANY_CONNECTIONS);
}

// Returns the configuration of a version. Consecutive versions also differ in
// the timeouts of routes.
static char *
config_format(int version)
{
    struct buffer body = {0};

    buffer_append_format(&body, "{\"version\":%d,\"routes\":[", version);
    for (int i = 0; i < rig.databases_count; i++) {
        config_append_routes(&body, i, version, false);
        config_append_routes(&body, i, version, true);
    }
    buffer_append_format(&body, "],\"services\":[");
    for (int i = 0; i < rig.databases_count; i++) {
        config_append_service(&body, i);
    }
    buffer_append_format(&body, "],\"limits\":{\"txIdleMs\":3000}");
    customers_append(&body);
    buffer_append_format(&body, "}");
    buffer_append_u8(&body, 0);
    return (char *)body.data;
}

static void
config_upload(int control)
{
    char *body = config_format(++config.sent_version);

    if (platform_rig_put_config(control, body) == 200) {
        config.acknowledged_version = config.sent_version;
        customers_acknowledge();
    }
    free(body);
}

bool
config_check(int control)
{
    long status = 0;
    int version = 0;
    char *text =
        platform_rig_call(control, "GET", "/v1/config", NULL, &status);
    bool is_valid = status == 200 && text != NULL &&
                    sscanf(text, "{\"version\":%d", &version) == 1;

    free(text);
    if (is_valid && version < config.acknowledged_version) {
        events_fail("control %d returned configuration %d, but %d was "
                    "acknowledged",
                    control, version, config.acknowledged_version);
    }
    return is_valid;
}

// Changes a customer when it is time, which needs an upload.
static void
config_change_customers(void)
{
    if (monotonic_get_us() < config.change_us) {
        return;
    }
    customers_change(&config.random);
    config_upload((int)random_below(&config.random, RIG_CONTROLS));
    config.change_us = monotonic_get_us() + CONFIG_MIN_CHANGE_US +
                       random_below(&config.random, CONFIG_MAX_CHANGE_US -
                                                        CONFIG_MIN_CHANGE_US);
}

static void *
config_run(void *data)
{
    (void)data;
    while (!atomic_load(&config.stopping)) {
        int control = atomic_exchange(&config.requested, CONFIG_NO_REQUEST);
        if (control != CONFIG_NO_REQUEST) {
            config_upload(control);
        }
        config_change_customers();
        (void)config_check((int)random_below(&config.random, RIG_CONTROLS));
        usleep(CONFIG_INTERVAL_US);
    }
    return NULL;
}

void
config_start(uint64_t seed)
{
    config.random = seed;
    customers_start();
    atomic_store(&config.requested, CONFIG_NO_REQUEST);
    config.acknowledged_version = config.sent_version = 1;
    char *body = config_format(config.sent_version);
    platform_rig_wait_config(0, body);
    free(body);
    INVARIANT(pthread_create(&config.thread, NULL, config_run, NULL) == 0);
}

void
config_stop(void)
{
    atomic_store(&config.stopping, true);
    pthread_join(config.thread, NULL);
}

void
config_request_upload(int control)
{
    atomic_store(&config.requested, control);
}
