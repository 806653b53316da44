#include <stdlib.h>
#include <string.h>

#include "catkingrade/decide/traffic/relay_hosts.h"
#include "catkingrade/decide/traffic/scheduler.h"
#include "catkingrade/entry/database_private.h"
#include "catkingrade/kernel/log.h"
#include "catkingrade/kernel/memory.h"

// Use of relays: other entries that run this entry's statements of a database.
// The control group assigns them, in order of preference, to an entry without
// connections of its own, or as a standby for the time without a lease. With
// relay_by_customer it also assigns relays among which customers are divided,
// the spread.

// Name of the upstream that represents the relays in order of preference in
// the scheduler's view.
#define DATABASE_RELAY_NAME "relay"
// Maximum number of links to relays.
#define DATABASE_RELAY_MAX_LINKS 32
// Time after the last failure until the first relay is tried again.
#define DATABASE_RELAY_FIRST_HOST_RETRY_US 5000000
// Backoff after every relay has failed. Until it ends, an entry without a
// lease whose relays are on standby handles statements itself, as far as that
// is possible without a lease. Doubles each time, up to the maximum.
#define DATABASE_RELAY_BACKOFF_MIN_US 1000000
#define DATABASE_RELAY_BACKOFF_MAX_US 4000000

// Returns the index in a new list of the relay for new links.
static size_t
database_follow_relay(const struct database_relay *state,
                      const struct ck_relay *relay)
{
    if (relay == NULL || state->hosts_count == 0) {
        return 0;
    }
    return relay_hosts_follow(
        state->hosts[0], state->hosts[state->host_index % state->hosts_count],
        relay->hosts.hosts_val, relay->hosts.hosts_len);
}

static bool
database_is_spread_listed(const struct ck_relay *relay, const char *host)
{
    for (u_int i = 0; relay != NULL && i < relay->spread.spread_len; i++) {
        if (strcmp(relay->spread.spread_val[i], host) == 0) {
            return true;
        }
    }
    return false;
}

// Returns the place of a host, or the first free one for the empty host. NULL
// if there is none.
static char *
database_find_spread(struct database_relay *state, const char *host)
{
    for (size_t i = 0; i < CK_RELAY_SPREAD; i++) {
        if (strcmp(state->spread[i], host) == 0) {
            return state->spread[i];
        }
    }
    return NULL;
}

// Sets the relays among which customers are divided. Those that stay listed
// keep their places, and thus their links.
static void
database_set_spread(struct database_relay *state, const struct ck_relay *relay)
{
    for (size_t i = 0; i < CK_RELAY_SPREAD; i++) {
        if (!database_is_spread_listed(relay, state->spread[i])) {
            state->spread[i][0] = '\0';
        }
    }
    for (u_int i = 0; relay != NULL && i < relay->spread.spread_len; i++) {
        const char *host = relay->spread.spread_val[i];
        char *place = database_find_spread(state, host);
        if (place == NULL) {
            place = database_find_spread(state, "");
            INVARIANT(place != NULL);
            (void)strncpy(place, host, CK_HOST_SIZE);
        }
    }
}

// Sets the relays of the database; NULL: none. They are in use or on standby.
// Takes effect with the next database_set_view.
void
database_set_relay(struct database *database, const struct ck_relay *relay)
{
    struct database_relay *state = &database->relay;
    size_t count = relay == NULL ? 0 : relay->hosts.hosts_len;

    state->host_index = database_follow_relay(state, relay);
    state->standby = relay != NULL && relay->standby;
    state->hosts_count = count;
    database_set_spread(state, relay);
    for (size_t i = 0; i < count; i++) {
        (void)strncpy(state->hosts[i], relay->hosts.hosts_val[i],
                      CK_HOST_SIZE);
    }
}

// Returns whether this entry should use relays: the control group has assigned
// them for all statements, or they are on standby, this entry's lease has
// expired and no backoff is in progress.
static bool
database_should_relay(const struct database *database)
{
    const struct database_relay *relay = &database->relay;
    int64_t now_us = monotonic_get_us();

    if (relay->hosts_count == 0) {
        return false;
    }
    return !relay->standby || (database->lease_until_us != 0 &&
                               database->lease_until_us <= now_us &&
                               relay->backoff_until_us <= now_us);
}

// Returns whether the next database_set_view would start or stop the use of
// relays.
bool
database_is_relay_change_due(const struct database *database)
{
    return database->relay.active != database_should_relay(database);
}

// Decides whether the next view of the scheduler uses relays.
void
database_update_relay_active(struct database *database)
{
    struct database_relay *relay = &database->relay;
    bool wanted = database_should_relay(database);

    if (wanted != relay->active) {
        LOG_INFO(wanted ? "relay_begun" : "relay_ended",
                 "database=%s host=%s standby=%d", database->name,
                 wanted ? relay->hosts[0] : "", relay->standby);
        relay->failures = 0;
    }
    relay->active = wanted;
}

// Returns whether relays run this entry's statements of the database.
bool
database_is_relayed(const struct database *database)
{
    return database->relay.active;
}

// Returns whether this entry may act as a relay of the database: it uses no
// relay itself and holds a valid lease. A database without a control group
// needs no lease.
bool
database_accepts_relayed(const struct database *database)
{
    return !database->relay.active &&
           (database->config->group[0] == '\0' ||
            database->lease_until_us > monotonic_get_us());
}

static void
database_fill_relay_upstream(struct database *database, size_t index,
                             char *name, char *host)
{
    static char none[] = "";

    database->relay.upstreams[index] = (struct ck_upstream){
        .name = name,
        .database = database->name,
        .failure_domain = none,
        .host = host,
        .slots = DATABASE_RELAY_MAX_LINKS,
        .connections = DATABASE_RELAY_MAX_LINKS,
        .state = CK_UPSTREAM_READY,
    };
    database->relay.quotas[index] = (struct ck_quota){
        .upstream = name,
        .slots = DATABASE_RELAY_MAX_LINKS,
        .connections = DATABASE_RELAY_MAX_LINKS,
        .guaranteed_slots = DATABASE_RELAY_MAX_LINKS,
        .guaranteed_connections = DATABASE_RELAY_MAX_LINKS,
    };
}

// Replaces the upstreams and quotas of a scheduler view by a primary that
// represents the relays in order of preference, and by those relays among
// which customers are divided.
void
database_fill_relay_view(struct database *database,
                         struct scheduler_view *view)
{
    struct database_relay *relay = &database->relay;
    static char name[] = DATABASE_RELAY_NAME;
    static char none[] = "";
    static char spread_names[CK_RELAY_SPREAD][sizeof("relay-0")] = {
        "relay-0", "relay-1", "relay-2", "relay-3",
        "relay-4", "relay-5", "relay-6", "relay-7"};
    size_t count = 0;

    database_fill_relay_upstream(database, count++, name, none);
    for (size_t i = 0; i < CK_RELAY_SPREAD; i++) {
        if (relay->spread[i][0] != '\0') {
            database_fill_relay_upstream(database, count++, spread_names[i],
                                         relay->spread[i]);
        }
    }
    relay->config = *database->config;
    relay->config.primary = name;
    relay->config.upstreams.upstreams_len = (u_int)count;
    relay->config.upstreams.upstreams_val = relay->upstreams;
    view->database = &relay->config;
    view->quotas = relay->quotas;
    view->quotas_count = count;
    view->relayed = true;
}

// Resets the failure count and the backoff after a link to a relay has opened.
// host is empty if the link is not one to a relay.
void
database_record_relay_open(struct database *database, const char *host)
{
    if (host[0] != '\0') {
        relay_silence_clear(worker_get_relay_silence(database->worker), host);
    }
    database->relay.failures = 0;
    database->relay.backoff_us = 0;
}

// Returns the host of the relay for the next link: the current one, or the
// next that has not been silent lately. Returns to the first relay once
// DATABASE_RELAY_FIRST_HOST_RETRY_US have passed without a failure.
static const char *
database_get_relay_host(struct database *database)
{
    struct database_relay *relay = &database->relay;
    const struct relay_silence *silence =
        worker_get_relay_silence(database->worker);
    int64_t now_us = monotonic_get_us();

    INVARIANT(relay->hosts_count > 0); // a database without is not relayed
    if (relay->host_index != 0 &&
        now_us - relay->failed_us > DATABASE_RELAY_FIRST_HOST_RETRY_US) {
        relay->host_index = 0;
    }
    for (size_t i = 0; i < relay->hosts_count; i++) {
        size_t index = (relay->host_index + i) % relay->hosts_count;
        if (!relay_silence_contains(silence, relay->hosts[index], now_us)) {
            relay->host_index = index;
            break;
        }
    }
    return relay->hosts[relay->host_index % relay->hosts_count];
}

// Returns the host of the relay for the next link to an upstream of a relayed
// view.
const char *
database_get_link_host(struct database *database, uint32_t upstream)
{
    const struct ck_upstream *config =
        scheduler_get_upstream(database->scheduler, upstream);

    INVARIANT(config != NULL);
    return config->host[0] == '\0' ? database_get_relay_host(database)
                                   : config->host;
}

// Records that the relay for which an upstream of a relayed view stands has
// not answered, for all databases of the worker.
void
database_record_relay_silent(struct database *database, uint32_t upstream)
{
    const struct database_relay *relay = &database->relay;
    const struct ck_upstream *config =
        scheduler_get_upstream(database->scheduler, upstream);
    const char *host =
        config != NULL && config->host[0] != '\0'
            ? config->host
            : relay->hosts[relay->host_index % relay->hosts_count];

    relay_silence_record(worker_get_relay_silence(database->worker), host,
                         monotonic_get_us());
}

// Switches new links to the next relay after the current one has refused or is
// silent. Open links are kept. Starts a backoff when all relays have failed.
void
database_switch_relay_host(struct database *database)
{
    struct database_relay *relay = &database->relay;

    LOG_INFO("relay_left", "database=%s host=%s", database->name,
             relay->hosts[relay->host_index % relay->hosts_count]);
    relay->host_index = (relay->host_index + 1) % relay->hosts_count;
    relay->failed_us = monotonic_get_us();
    if (++relay->failures < relay->hosts_count) {
        return;
    }
    relay->backoff_us = relay->backoff_us == 0 ? DATABASE_RELAY_BACKOFF_MIN_US
                                               : 2 * relay->backoff_us;
    if (relay->backoff_us > DATABASE_RELAY_BACKOFF_MAX_US) {
        relay->backoff_us = DATABASE_RELAY_BACKOFF_MAX_US;
    }
    relay->backoff_until_us = relay->failed_us + relay->backoff_us;
}

// Switches new links to the next relay if they still go to the relay at this
// host, which has ended a link.
void
database_leave_relay_host(struct database *database, const char *host)
{
    const struct database_relay *relay = &database->relay;

    if (relay->active && relay->hosts_count > 1 &&
        strcmp(relay->hosts[relay->host_index % relay->hosts_count], host) ==
            0) {
        database_switch_relay_host(database);
    }
}

// Adds to a statement what a relay needs to know of the client's session: the
// route, the floor and the time since the floor was last raised.
void
database_fill_relay_context(const struct entry_session *session,
                            struct typed_statement *statement)
{
    memset(&statement->floor, 0, sizeof(statement->floor));
    statement->floor_age_us = 0;
    statement->route = session == NULL ? NULL : session->route;
    statement->customer = session == NULL ? "" : session->customer;
    if (session != NULL && session->floor.lsn != 0) {
        statement->floor = session->floor;
        statement->floor_age_us = monotonic_get_us() - session->floor_us;
    }
}
