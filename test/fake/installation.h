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

// Test installation: daemons and fake upstreams as real processes that
// listen on loopback. All daemons have the entry role. The first voters_count
// daemons also have the control role and vote in all control groups. Each
// upstream announces itself to all daemons. Daemons and upstreams are referred
// to by their index. Functions that wait poll for 30 s plus the time of the
// calls, then abort the test program, unless stated otherwise.

struct installation_params {
    const char *name; // name of the folder for settings, data and logs
    int daemons_count;
    int voters_count;
    int upstreams_count;
    int lag_ms;        // replication lag of the upstreams
    const char *group; // control group of the database; NULL: "fleet"
    // Further settings of each daemon: "" or ", \"key\": value".
    const char *settings;
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

// Starts the daemons and upstreams. The customer does not exist yet; see
// installation_create_customer().
void installation_start(struct installation *installation,
                        const struct installation_params *params);
// Kills all processes that still run and frees the installation's memory.
void installation_stop(struct installation *installation);
// Starts one daemon and waits until it accepts client connections. bootstrap:
// the control groups are new.
void installation_start_daemon(struct installation *installation, int daemon,
                               bool bootstrap);
// Kills a daemon by SIGKILL, which stands for the loss of its VM.
void installation_kill_daemon(struct installation *installation, int daemon);
// Deletes the data folder of a stopped daemon and writes a new voter id to its
// settings, as after the loss of its disk.
void installation_erase_data(struct installation *installation, int daemon,
                             int voter_id);
// Kills an upstream by SIGKILL, which stands for the loss of its VM.
void installation_kill_upstream(struct installation *installation,
                                int upstream);
// Creates the template "roster" and the customer "pootafdruk" with the
// database "roster1".
void installation_create_customer(struct installation *installation);
// Submits a change of the configuration to the fleet group's voters in turn
// until the Raft leader has handled it. Returns the outcome of the change, or
// OUTCOME_TIMEOUT if no leader handled it in time.
int installation_apply_change(struct installation *installation,
                              enum ck_change_kind kind, const char *name,
                              const char *document, const char *change_id);
// Waits until the control group reports a primary of the database other than
// the upstream named `excluded`; "" excludes none. Returns the primary's
// index.
int installation_wait_primary(struct installation *installation,
                              const char *excluded);
// Waits for a Raft leader of the database's control group. Returns the index
// of the leader's daemon.
int installation_find_leader(struct installation *installation);
// Opens a session at a daemon. options are further libpq keywords, or NULL.
PGconn *installation_connect(const struct installation *installation,
                             int daemon, const char *options);
// Waits until a write succeeds at a daemon. The write creates the table
// "ready".
void installation_wait_writable(struct installation *installation, int daemon);

#endif
