#ifndef TEST_FAKE_INSTALLATION_H
#define TEST_FAKE_INSTALLATION_H

#include <libpq-fe.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "catkingrade/kernel/settings.h"
#include "catkingrade/rpc/rpcnet.h"
#include "test/fake/process.h"

#define INSTALLATION_MAX_DAEMONS   7
#define INSTALLATION_MAX_UPSTREAMS 3

// Daemons and stand-in upstreams as real processes on loopback: the first
// voters_count daemons vote in the fleet group, all are entries, and the
// upstreams announce themselves to all daemons.
struct installation_params {
    const char *name; // of the folder
    int daemons_count;
    int voters_count;
    int upstreams_count;
    int lag_ms;
    const char *group;    // that decides the database; NULL: fleet
    const char *settings; // further settings, "" or ", \"key\": value"
};

struct installation_daemon {
    struct process *process;
    char vm[16];
    char settings_path[512];
    struct settings_address rpc;
    int voter_id;
    int postgres_port;
    int http_port;
};

struct installation_upstream {
    struct process *process;
    char name[16];
    int port;
    int control_port;
};

struct installation {
    char *folder;
    struct installation_params params;
    struct installation_daemon daemons[INSTALLATION_MAX_DAEMONS];
    struct installation_upstream upstreams[INSTALLATION_MAX_UPSTREAMS];
};

void installation_start(struct installation *installation,
                        const struct installation_params *params);
void installation_stop(struct installation *installation);
void installation_start_daemon(struct installation *installation, int daemon,
                               bool bootstrap);
void installation_kill_daemon(struct installation *installation, int daemon);
// Empties a stopped daemon's data folder and gives it a new voter id.
void installation_erase_data(struct installation *installation, int daemon,
                             int voter_id);
void installation_kill_upstream(struct installation *installation,
                                int upstream);
// Makes the customer "pootafdruk" with the database "roster1".
void installation_create_customer(struct installation *installation);
int installation_apply_change(struct installation *installation,
                              enum ck_change_kind kind, const char *name,
                              const char *document, const char *change_id);
// Waits until a primary of the database stands that is not the one named;
// returns its place among the upstreams.
int installation_wait_primary(struct installation *installation,
                              const char *not_this);
int installation_find_leader(struct installation *installation);
PGconn *installation_connect(const struct installation *installation,
                             int daemon, const char *options);
// Waits until a write succeeds at a daemon.
void installation_wait_writable(struct installation *installation, int daemon);

#endif
