#include "../common/rig.h"

#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

// STALE: two versions move a read_own_writes route to another service and back
// while replicas lag. The session's next read misses its own commit.

// In these rounds replicas lag as usual.
#define CALM_ROUNDS 24
// In these, one replica lags 10 times as much, for LAG_SPAN_MS at a time.
#define LAG_ROUNDS  16
#define USUAL_MS    150
#define LAG_MS      1500
#define LAG_SPAN_MS 6000
// A read this long after the save can still miss it on the slow replica.
#define READ_SPAN_MS 300

static volatile bool stopping;
static int version = 3;
static int stale_count;
static int calm_stale_count;
static int read_count;
static int moved_count;

static void
put_route(const char *service)
{
    char body[2048];

    (void)snprintf(
        body, sizeof(body),
        "{\"version\":%d,\"routes\":[{\"name\":\"r1\",\"host\":\"vet\","
        "\"pathPrefix\":\"/\",\"routeKind\":\"read_own_writes\","
        "\"timeoutMs\":1000,\"targetLatencyMs\":1000,\"priority\":2,"
        "\"service\":\"%s\",\"maxAttempts\":2,\"maxStalenessMs\":2500},"
        "{\"name\":\"r2\",\"host\":\"roster\",\"pathPrefix\":\"/\","
        "\"routeKind\":\"primary\",\"timeoutMs\":1000,\"targetLatencyMs\":"
        "500,\"priority\":1,\"service\":\"kern\",\"maxAttempts\":2}],"
        "\"services\":[{\"name\":\"kern\",\"healthPath\":\"/health\","
        "\"maxConns\":30,\"protocol\":\"h1\",\"tls\":false,\"syncReplicas\":"
        "0},{\"name\":\"other\",\"healthPath\":\"/health\",\"maxConns\":30,"
        "\"protocol\":\"h1\",\"tls\":false,\"syncReplicas\":0}],\"limits\":"
        "{\"maxHeaderBytes\":16384,\"maxBodyBytes\":262144,"
        "\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000,\"txIdleMs\":3000}}",
        version, service);
    version += 3;
    (void)rig_put_config(body);
}

// Keeps the service in use, as other clients do.
static void *
run_others(void *data)
{
    int entry = (int)(intptr_t)data % RIG_ENTRIES;
    int fd = -1;
    char id[64];
    char text[96];
    char reply[RIG_REPLY_SIZE];

    for (int i = 0; !stopping; i++) {
        if (fd < 0) {
            fd = rig_open_session(entry, "roster", "u2");
            rig_sleep_ms(fd < 0 ? 100 : 0);
            continue;
        }
        (void)snprintf(id, sizeof(id), "o%d.%d", (int)(intptr_t)data, i);
        (void)snprintf(text, sizeof(text), "WRITE %s v%d", id, i);
        if (!rig_query(fd, id, text, reply, sizeof(reply)) ||
            strstr(reply, "READY I") == NULL) {
            close(fd);
            fd = -1;
        }
        rig_sleep_ms(15);
    }
    return NULL;
}

static void
set_lag(int lag_ms)
{
    rig_lock();
    for (int i = 0; i < rig.backends_count; i++) {
        rig.backends[i].lag_ms = i == 1 ? lag_ms : USUAL_MS;
    }
    rig_note("%s applies commits %d ms after it received them, the others "
             "%d ms",
             rig.backends[1].id, lag_ms, USUAL_MS);
    rig_unlock();
}

// Returns whether a read ran, on a backend of the service, on a log without a
// commit.
static bool
ran_without(const char *read_id, const char *commit_id, const char *service)
{
    bool is_stale = false;

    rig_lock();
    for (size_t i = 0; i < rig.runs_count; i++) {
        const struct rig_run *run = &rig.runs[i];
        const struct rig_backend *backend = &rig.backends[run->backend];
        bool found = false;
        if (strcmp(run->id, read_id) != 0 ||
            strcmp(backend->service, service) != 0) {
            continue;
        }
        for (size_t k = 0; k < run->applied && !found; k++) {
            found = strcmp(backend->log[k].id, commit_id) == 0;
        }
        if (!found) {
            rig_note("%s ran at %.3f s on %s, a %s, whose log of %zu applied "
                     "commits lacks %s",
                     read_id, (double)run->at_ms / 1000, backend->id,
                     backend->is_primary ? "primary" : "replica",
                     run->applied, commit_id);
            is_stale = true;
        }
    }
    rig_unlock();
    return is_stale;
}

// Reads until the session is served by the expected service, whose backends
// have the service's name under the item "where". Returns false after 2 s.
static bool
await_service(int fd, int round, const char *tag, const char *expected)
{
    char id[64];
    char reply[RIG_REPLY_SIZE];
    int64_t until = rig_now_ms() + 2000;

    for (int i = 0; rig_now_ms() < until; i++) {
        (void)snprintf(id, sizeof(id), "%s%d.%d", tag, round, i);
        if (!rig_query(fd, id, "READ where", reply, sizeof(reply))) {
            return false;
        }
        if (strstr(reply, expected) != NULL) {
            rig_note("%s READ where: %s", id, reply);
            return true;
        }
        rig_sleep_ms(10);
    }
    return false;
}

// Plays one round in a session: a save, two moves of the route with a read in
// between, and reads of what was saved.
static void
play_round(int fd, int round)
{
    char save[64];
    char id[64];
    char text[96];
    char value[32];
    char reply[RIG_REPLY_SIZE];

    (void)snprintf(save, sizeof(save), "save%d", round);
    (void)snprintf(value, sizeof(value), "value%d", round);
    (void)snprintf(text, sizeof(text), "WRITE mine %s", value);
    if (!rig_query(fd, save, text, reply, sizeof(reply)) ||
        strstr(reply, "COMPLETE sig.") == NULL) {
        rig_note("%s %s: %s", save, text, reply);
        return;
    }
    int64_t saved_ms = rig_now_ms();
    rig_note("%s %s: %s", save, text, reply);
    if (rig.has_trouble) {
        put_route("other");
        bool moved = await_service(fd, round, "there", "DATAROW other");
        put_route("kern");
        moved = moved && await_service(fd, round, "back", "DATAROW kern");
        moved_count += moved;
    }
    for (int i = 0; rig_now_ms() - saved_ms < READ_SPAN_MS; i++) {
        (void)snprintf(id, sizeof(id), "read%d.%d", round, i);
        if (!rig_query(fd, id, "READ mine", reply, sizeof(reply))) {
            return;
        }
        rig_note("%s READ mine, %d ms after %s was acknowledged: %s", id,
                 (int)(rig_now_ms() - saved_ms), save, reply);
        if (strstr(reply, "COMPLETE sig.") == NULL) {
            continue;
        }
        read_count++;
        stale_count += ran_without(id, save, "kern");
        rig_sleep_ms(10);
    }
}

int
main(int argc, char **argv)
{
    char text[256];
    char reply[RIG_REPLY_SIZE];

    (void)rig_add_backend("kern", "i-a", "groningen-a", true);
    (void)rig_add_backend("kern", "i-b", "utrecht-a", false);
    (void)rig_add_backend("kern", "i-c", "eindhoven-a", false);
    (void)rig_add_backend("other", "i-d", "groningen-a", true);
    (void)rig_add_backend("other", "i-e", "utrecht-a", false);
    (void)rig_add_backend("other", "i-f", "eindhoven-a", false);
    rig_start(argc > 1 ? argv[1] : "record.txt");
    put_route("other");
    int fd = rig_wait_served(0, "vet", "u1", "WRITE where other", 15000);
    if (fd < 0) {
        rig_end(2, "no write is served");
    }
    close(fd);
    put_route("kern");
    rig_sleep_ms(3000);
    fd = rig_wait_served(0, "vet", "u1", "WRITE where kern", 15000);
    if (fd < 0) {
        rig_end(2, "no write is served");
    }
    for (intptr_t i = 0; i < 4; i++) {
        pthread_t thread;
        pthread_create(&thread, NULL, run_others, (void *)i);
    }
    set_lag(USUAL_MS);
    // Lets the entry see how far behind the replicas usually are.
    for (int i = 0; i < 150; i++) {
        (void)snprintf(text, sizeof(text), "calm%d", i);
        (void)rig_query(fd, text, "READ where", reply, sizeof(reply));
        rig_sleep_ms(20);
    }
    int round = 0;
    for (; round < CALM_ROUNDS; round++) {
        play_round(fd, round);
        rig_sleep_ms(100);
    }
    calm_stale_count = stale_count;
    int64_t lag_until_ms = 0;
    for (; round < CALM_ROUNDS + LAG_ROUNDS; round++) {
        if (rig_now_ms() > lag_until_ms) {
            set_lag(USUAL_MS);
            rig_sleep_ms(2000);
            set_lag(LAG_MS);
            lag_until_ms = rig_now_ms() + LAG_SPAN_MS - 1000;
            rig_sleep_ms(700);
        }
        play_round(fd, round);
        rig_sleep_ms(100);
    }
    stopping = true;
    (void)snprintf(text, sizeof(text),
                   "%d of %d reads ran without the session's own acknowledged "
                   "commit, %d of them while replicas lagged as usual; the "
                   "route was moved and back %d times",
                   stale_count, read_count, calm_stale_count, moved_count);
    rig_end(stale_count > 0                                       ? 1
            : read_count == 0 || (rig.has_trouble && !moved_count) ? 2
                                                                   : 0,
            text);
}
