#include <stdlib.h>
#include <string.h>

#include "catkingrade/entry/database_private.h"
#include "catkingrade/kernel/log.h"

#define DATABASE_RELAY_NAME "relay"
// Links that this entry may open to the entries that run its statements.
#define DATABASE_RELAY_MAX_LINKS 32
// After a failure the first holder is asked again only then.
#define DATABASE_RELAY_FIRST_HOST_RETRY_US 5000000
// When all have refused, an entry without a lease does what it can by itself
// for so long, twice as long each time.
#define DATABASE_RELAY_BACKOFF_MIN_US 1000000
#define DATABASE_RELAY_BACKOFF_MAX_US 4000000

// Sets which entries run this one's statements of the database, or would; NULL
// when there is none. Takes effect with the next view.
void
database_set_relay(struct database *database, const struct ck_relay *relay)
{
    struct database_relay *own = &database->relay;
    size_t count = relay == NULL ? 0 : relay->hosts.hosts_len;

    if (count != own->hosts_count) {
        own->next = 0;
    }
    own->standby = relay != NULL && relay->standby;
    own->hosts_count = count;
    for (size_t i = 0; i < count; i++) {
        (void)strncpy(own->hosts[i], relay->hosts.hosts_val[i], CK_HOST_SIZE);
    }
}

// Returns whether other entries are to run this one's statements: control says
// so, or this entry has no lease, and others have not all refused just now.
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

// Returns whether the view in force goes another way than is wanted now.
bool
database_is_relay_change_due(const struct database *database)
{
    return database->relay.active != database_should_relay(database);
}

// Chooses whether the view that comes goes over other entries.
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

// Returns whether other entries run this one's statements of the database.
bool
database_is_relayed(const struct database *database)
{
    return database->relay.active;
}

// Returns whether this entry may run the statements of others: it has a lease
// and does not itself need others.
bool
database_accepts_relayed(const struct database *database)
{
    return !database->relay.active &&
           (database->config->group[0] == '\0' ||
            database->lease_until_us > monotonic_get_us());
}

// Puts the relay in the place of the view's upstreams: one that takes all
// statements as the primary does.
void
database_fill_relay_view(struct database *database,
                         struct scheduler_view *view)
{
    struct database_relay *relay = &database->relay;
    static char name[] = DATABASE_RELAY_NAME;
    static char none[] = "";

    relay->upstream = (struct ck_upstream){
        .name = name,
        .database = database->name,
        .failure_domain = none,
        .host = none,
        .slots = DATABASE_RELAY_MAX_LINKS,
        .connections = DATABASE_RELAY_MAX_LINKS,
        .state = CK_UPSTREAM_READY,
    };
    relay->config = *database->config;
    relay->config.primary = name;
    relay->config.upstreams.upstreams_len = 1;
    relay->config.upstreams.upstreams_val = &relay->upstream;
    relay->quota = (struct ck_quota){
        .upstream = name,
        .slots = DATABASE_RELAY_MAX_LINKS,
        .connections = DATABASE_RELAY_MAX_LINKS,
        .guaranteed_slots = DATABASE_RELAY_MAX_LINKS,
        .guaranteed_connections = DATABASE_RELAY_MAX_LINKS,
    };
    view->database = &relay->config;
    view->quotas = &relay->quota;
    view->quotas_count = 1;
    view->relayed = true;
}

// Notes that the holder asked last runs statements.
void
database_record_relay_open(struct database *database)
{
    database->relay.failures = 0;
    database->relay.backoff_us = 0;
}

// Returns the address of the holder to which the next link goes.
const char *
database_get_relay_host(struct database *database)
{
    struct database_relay *relay = &database->relay;

    if (relay->next != 0 && monotonic_get_us() - relay->failed_us >
                                DATABASE_RELAY_FIRST_HOST_RETRY_US) {
        relay->next = 0;
    }
    return relay->hosts[relay->next % relay->hosts_count];
}

// Turns to the next holder, since this one refuses or is silent. Links that
// are open stay.
void
database_switch_relay_host(struct database *database)
{
    struct database_relay *relay = &database->relay;

    LOG_INFO("relay_left", "database=%s host=%s", database->name,
             relay->hosts[relay->next % relay->hosts_count]);
    relay->next = (relay->next + 1) % relay->hosts_count;
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

// Tells the holder the caller's route, what its session has saved, and how
// long ago.
void
database_fill_relay_context(const struct entry_session *session,
                            struct typed_statement *run)
{
    memset(&run->floor, 0, sizeof(run->floor));
    run->floor_age_us = 0;
    run->route = session == NULL ? NULL : session->route;
    if (session != NULL && session->floor.lsn != 0) {
        run->floor = session->floor;
        run->floor_age_us = monotonic_get_us() - session->floor_us;
    }
}
