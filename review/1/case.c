#define _GNU_SOURCE
#include "../common/rig.h"

#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

// LOST with syncReplicas 1: the primary crashes while one replica receives
// nothing and the other one, which holds every acknowledged commit, cannot be
// reached from the core for 5 s.

#define WRITERS   4
#define ACKED_MAX 20000
#define DEAF_MS   6500
#define CUT_MS    5000

struct acked {
    char id[64];
    int64_t at_ms;
};

static struct acked acked[ACKED_MAX];
static int acked_count;
static int attempts;
static volatile bool stopping;
static int lost_count;

static const char config[] =
    "{\"version\":3,\"routes\":[{\"name\":\"r1\",\"host\":\"roster\","
    "\"pathPrefix\":\"/\",\"routeKind\":\"primary\",\"timeoutMs\":1000,"
    "\"targetLatencyMs\":500,\"priority\":1,\"service\":\"kern\","
    "\"maxAttempts\":2}],\"services\":[{\"name\":\"kern\",\"healthPath\":"
    "\"/health\",\"maxConns\":30,\"protocol\":\"h1\",\"tls\":false,"
    "\"syncReplicas\":1}],\"limits\":{\"maxHeaderBytes\":16384,"
    "\"maxBodyBytes\":262144,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":"
    "15000,\"txIdleMs\":3000}}";

// Checks the rule at the moment of a promotion: each commit acknowledged to a
// client until now is in the log of the promoted backend.
static void
check_promotion(const struct rig_promotion *promotion)
{
    const struct rig_backend *backend = &rig.backends[promotion->backend];
    int lost = 0;

    for (int i = 0; i < acked_count; i++) {
        if (rig_count_commit(backend, acked[i].id) == 0) {
            if (lost++ < 5) {
                rig_note("acknowledged at %.3f s and not in the log of %s: %s",
                         (double)acked[i].at_ms / 1000, backend->id,
                         acked[i].id);
            }
        }
    }
    rig_note("promotion of %s: %d of %d acknowledged commits are not in its "
             "log",
             backend->id, lost, acked_count);
    lost_count += lost;
}

// Saves one booking after the other, each in a session's own statement, at
// most once.
static void *
run_writer(void *data)
{
    int number = (int)(intptr_t)data;
    int fd = -1;
    char id[64];
    char text[128];
    char reply[RIG_REPLY_SIZE];

    for (int i = 0; !stopping; i++) {
        if (fd < 0) {
            fd = rig_open_session(number % RIG_ENTRIES, "roster", "u1");
            rig_sleep_ms(fd < 0 ? 100 : 0);
            continue;
        }
        (void)snprintf(id, sizeof(id), "w%d.%d", number, i);
        (void)snprintf(text, sizeof(text), "WRITE b%d.%d v%d", number, i, i);
        bool ready = rig_query(fd, id, text, reply, sizeof(reply));
        bool done = ready && strstr(reply, "COMPLETE sig.") != NULL;
        rig_lock();
        attempts++;
        if (done && acked_count < ACKED_MAX) {
            (void)snprintf(acked[acked_count].id, sizeof(id), "%s", id);
            acked[acked_count++].at_ms = rig_now_ms();
        }
        rig_unlock();
        rig_note("%s %s: %s", id, text, ready ? reply : "no answer");
        if (!ready || strstr(reply, "READY I") == NULL) {
            close(fd);
            fd = -1;
        }
        rig_sleep_ms(done ? 20 : 100);
    }
    return NULL;
}

int
main(int argc, char **argv)
{
    char text[128];

    rig.sync_replicas = 1;
    rig.on_promoted = check_promotion;
    struct rig_backend *first =
        rig_add_backend("kern", "i-a", "groningen-a", true);
    struct rig_backend *holder =
        rig_add_backend("kern", "i-b", "utrecht-a", false);
    struct rig_backend *deaf =
        rig_add_backend("kern", "i-c", "eindhoven-a", false);
    rig_start(argc > 1 ? argv[1] : "record.txt");
    (void)rig_put_config(config);
    for (int i = 0; i < RIG_ENTRIES; i++) {
        int fd = rig_wait_served(i, "roster", "u1", "WRITE warm 1", 15000);
        if (fd < 0) {
            rig_end(2, "no write is served");
        }
        close(fd);
    }
    pthread_t writers[WRITERS];
    for (intptr_t i = 0; i < WRITERS; i++) {
        pthread_create(&writers[i], NULL, run_writer, (void *)i);
    }
    rig_sleep_ms(4000);
    if (rig.has_trouble) {
        rig_lock();
        deaf->is_deaf = true;
        rig_note("%s receives nothing for %d ms", deaf->id, DEAF_MS);
        rig_unlock();
        rig_sleep_ms(1000);
        rig_lock();
        holder->is_cut_from_core = true;
        rig_note("%s is cut off from the core for %d ms", holder->id, CUT_MS);
        rig_unlock();
        rig_sleep_ms(200);
    }
    // Without the trouble the primary crashes all the same.
    rig_crash_backend(first);
    rig_sleep_ms(CUT_MS - 200);
    rig_lock();
    if (rig.has_trouble) {
        holder->is_cut_from_core = false;
        rig_note("%s reaches the core again", holder->id);
    }
    rig_unlock();
    rig_sleep_ms(DEAF_MS - CUT_MS - 1000 + 200);
    rig_lock();
    deaf->is_deaf = false;
    rig_unlock();
    rig_sleep_ms(2000);
    rig_restart_backend(first);
    rig_sleep_ms(6000);
    stopping = true;
    for (int i = 0; i < WRITERS; i++) {
        pthread_join(writers[i], NULL);
    }
    rig_lock();
    (void)snprintf(text, sizeof(text),
                   "%d acknowledged commits were missing at promotions; %d of "
                   "%d writes acknowledged, %d promotions",
                   lost_count, acked_count, attempts, rig.promotions_count);
    int status = lost_count > 0                 ? 1
                 : rig.promotions_count == 0 || acked_count < 100 ? 2
                                                : 0;
    rig_end(status, text);
}
