#ifndef TEST_FAKE_UPSTREAM_H
#define TEST_FAKE_UPSTREAM_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/queue.h>

#include "catkingrade/kernel/buffer.h"
#include "catkingrade/kernel/loop.h"
#include "test/fake/upstream_log.h"
#include "test/fake/upstream_plan.h"
#include "test/fake/upstream_table.h"

// The stand-in upstream (program fake_upstream): a small single-threaded
// PostgreSQL server for tests. It speaks the v3 wire protocol, stores tables
// in memory, replicates asynchronously to other stand-in upstreams and injects
// faults on command.

#define UPSTREAM_MAX_ANNOUNCE 8

struct upstream_options {
    const char *host;
    int port;
    int control_port; // port for fault commands; 0: none
    const char *name;
    const char *database;
    const char *failure_domain;
    const char *group;    // control group in announcements; NULL: omitted
    unsigned slots;       // announced only
    unsigned connections; // announced, and the limit for client connections
    const char *primary_address; // NULL: starts as the primary
    int64_t lag_us;              // replica: delay from commit to replay
    int64_t connect_delay_us;    // delay before a new connection is ready
    int64_t statement_us;        // execution time of each statement
    unsigned pgbench_scale;      // 0: no pgbench tables
    const char *announce[UPSTREAM_MAX_ANNOUNCE]; // IP:PORT of HTTP servers
    size_t announce_count;
};

// Selects the silent connections: these stay open but neither handle input
// nor send output.
enum upstream_silence {
    SILENCE_NONE,
    SILENCE_EXISTING, // connections open at the time of the command
    SILENCE_ALL,      // these and all later connections
};

// A fault for statements whose text contains pattern, ignoring case. An empty
// pattern matches all statements but the proxy's position samples and
// DISCARD.
struct statement_fault {
    bool set;
    int64_t amount; // bytes or microseconds, depending on the fault
    char pattern[128];
};

// Active faults; upstream_control.c has the commands that set them.
struct upstream_faults {
    bool refuse; // the port is closed
    enum upstream_silence silence;
    bool no_announcements; // command mute
    // Closes the connection after amount bytes of the response; once.
    struct statement_fault cut;
    // Closes the connection before the statement runs; once.
    struct statement_fault drop;
    // Delays each response by amount; until the command clear.
    struct statement_fault late;
};

struct session;
struct replication;
struct announcer;
struct control_port;
TAILQ_HEAD(session_list, session);

struct upstream {
    struct upstream_options options;
    struct loop *loop;
    struct database database;
    struct plan_cache *plans;
    struct wal wal;
    bool is_replica;
    bool fenced;  // refuses writes until it follows or is promoted
    bool leaving; // announced state
    struct upstream_faults faults;
    int listen_fd;
    struct loop_watch *listen_watch;
    struct session_list sessions;
    unsigned sessions_count; // open client connections
    unsigned sessions_peak;  // includes connections over the limit
    unsigned statements_running;
    unsigned statements_running_peak;
    uint32_t next_pid;
    struct replication *replication;
    struct announcer *announcer;
    struct control_port *control_port;
};

struct upstream *fake_upstream_create(const struct upstream_options *options);
void fake_upstream_destroy(struct upstream *upstream);
int fake_upstream_listen(struct upstream *upstream);
void fake_upstream_stop_listening(struct upstream *upstream);
int fake_upstream_open_listener(const char *host, int port);

// Role changes.
void fake_upstream_promote(struct upstream *upstream);
int fake_upstream_follow(struct upstream *upstream, const char *address);
void fake_upstream_fence(struct upstream *upstream);
void fake_upstream_rebuild(struct upstream *upstream, uint64_t lsn);
// Appends a commit with these ops to the log, sends it to the replicas and
// resumes statements that wait for a row lock. Empty ops only resume them.
void fake_upstream_write_log(struct upstream *upstream, struct buffer *ops);

// Runs one fault command, which comes from the control port or from the SQL
// function catkingrade_standin_fault(). Returns false when the command is
// unknown or its arguments are invalid.
bool fake_upstream_run_command(struct upstream *upstream, const char *line);

// Replica side of the replication.
struct replication *fake_replication_create(struct upstream *upstream);
void fake_replication_destroy(struct replication *replication);
void fake_replication_connect(struct replication *replication,
                              const char *address);
void fake_replication_stop(struct replication *replication);
void fake_replication_apply_lag(struct replication *replication);

// Posts announcements of this upstream to its configured HTTP addresses.
struct announcer *fake_announcer_create(struct upstream *upstream);
void fake_announcer_destroy(struct announcer *announcer);

// TCP port that accepts fault commands, one a line.
struct control_port *fake_control_port_create(struct upstream *upstream);
void fake_control_port_destroy(struct control_port *control);

#endif
