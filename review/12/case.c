// Writes with syncReplicas 1. A replica is restarted as planned while one core
// machine freezes, so that a DELETE of the earlier process arrives late. Later
// the other replica receives nothing for a while, and the primary crashes. See
// claim.txt.

#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "stand.h"

#define DRAIN_MS      7200 // drainMs and a little longer
#define FREEZE_MS     6000 // node_freeze has for_s up to 6.9
#define RETENTION_MS  60000
#define DEAF_MS       6500 // largest dose of replica_lag deaf
#define CRASHED_MS    7000 // largest dose of srv_crash primary
#define DEAF_BEFORE_MS 2000

int
main(int argc, char **argv)
{
    const char *trouble = getenv("TROUBLE");
    bool is_disturbed = trouble == NULL || strcmp(trouble, "0") != 0;
    struct stand_backend *primary = &stand.backends[0];
    struct stand_backend *restarted = &stand.backends[1];
    struct stand_backend *deaf = &stand.backends[2];
    int frozen = restarted->index + 1; // the first daemon that it calls

    stand_start(argc > 1 ? argv[1] : ".", 1);
    stand.pause_ms = 100;
    stand_start_writers(4);
    stand_sleep_ms(2000);
    if (stand_count_acks() < 20) {
        stand_give_up("too few writes were served");
    }
    // The restart is planned work, and takes place in any case.
    stand_drain_backend(restarted);
    stand_sleep_ms(DRAIN_MS);
    if (is_disturbed) {
        stand_freeze_control(frozen);
        stand_sleep_ms(300);
    }
    stand_withdraw_backend(restarted, frozen);
    stand_crash_backend(restarted);
    stand_sleep_ms(500);
    stand_restart_backend(restarted, false);
    stand_sleep_ms(FREEZE_MS - 1900);
    if (is_disturbed) {
        stand_thaw_control(frozen);
    }
    stand_sleep_ms(RETENTION_MS + 5000);
    stand_record("the restarted replica was removed from the members: %d",
                 stand_control_logged("upstream_removed"));
    stand_record_backends("before the second disruption");
    size_t before = stand_count_acks();
    if (is_disturbed) {
        stand_record("backend %s receives nothing from now on", deaf->id);
        deaf->is_deaf = true;
    }
    stand_sleep_ms(DEAF_BEFORE_MS);
    if (stand_count_acks() < before + 20) {
        stand_give_up("too few writes were served");
    }
    if (is_disturbed) {
        stand_crash_backend(primary);
        stand_record_backends("as the primary crashes");
    }
    stand_sleep_ms(DEAF_MS - DEAF_BEFORE_MS);
    deaf->is_deaf = false;
    stand_sleep_ms(DEAF_BEFORE_MS + CRASHED_MS - DEAF_MS);
    if (is_disturbed) {
        stand_restart_backend(primary, true);
    }
    stand_sleep_ms(4000);
    stand_lock();
    stand.is_stopping = true;
    stand_unlock();
    stand_sleep_ms(300);
    stand_record_backends("after");
    stand_lock();
    stand_record("%zu promotions, %zu acknowledged writes, %zu missing in a "
                 "promoted log",
                 stand.promotions, stand.acks_count, stand.missing);
    bool is_broken = stand.missing > 0;
    stand_stop();
    _exit(is_broken ? 1 : 0);
}
