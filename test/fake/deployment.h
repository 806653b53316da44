#ifndef TEST_FAKE_DEPLOYMENT_H
#define TEST_FAKE_DEPLOYMENT_H

#include <libpq-fe.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "catkingrade/kernel/settings.h"
#include "catkingrade/rpc/rpcnet.h"
#include "test/fake/process.h"

#define DEPLOYMENT_MAX_DAEMONS   7
#define DEPLOYMENT_MAX_UPSTREAMS 3

// Daemons and stand-in upstreams as real processes on loopback: the first
// voters_count daemons vote in the fleet group, all are entries, and the
// upstreams announce themselves to all daemons.
struct deployment_params {
    const char *name; // of the folder
    int daemons_count;
    int voters_count;
    int upstreams_count;
    int lag_ms;
    const char *settings; // further settings, "" or ", \"key\": value"
};

struct deployment_daemon {
    struct process *process;
    char vm[16];
    char settings_path[512];
    struct settings_address rpc;
    int postgres_port;
    int http_port;
};

struct deployment_upstream {
    struct process *process;
    char name[16];
    int port;
    int control_port;
};

struct deployment {
    char *folder;
    struct deployment_params params;
    struct deployment_daemon daemons[DEPLOYMENT_MAX_DAEMONS];
    struct deployment_upstream upstreams[DEPLOYMENT_MAX_UPSTREAMS];
};

void deployment_start(struct deployment *deployment,
                      const struct deployment_params *params);
void deployment_stop(struct deployment *deployment);
void deployment_start_daemon(struct deployment *deployment, int daemon,
                             bool bootstrap);
void deployment_kill_daemon(struct deployment *deployment, int daemon);
void deployment_kill_upstream(struct deployment *deployment, int upstream);
// Makes the customer "pootafdruk" with the database "roster1".
void deployment_apply_customer(struct deployment *deployment);
int deployment_apply(struct deployment *deployment, enum ck_change_kind kind,
                     const char *name, const char *document,
                     const char *change_id);
// Waits until a primary of the database stands that is not the one named;
// returns its place among the upstreams.
int deployment_wait_primary(struct deployment *deployment,
                            const char *not_this);
int deployment_find_leader(struct deployment *deployment);
PGconn *deployment_connect(const struct deployment *deployment, int daemon,
                           const char *options);
// Waits until a write succeeds at a daemon.
void deployment_wait_writable(struct deployment *deployment, int daemon);

#endif
