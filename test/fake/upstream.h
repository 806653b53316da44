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

// The stand-in upstream: a small server of the PostgreSQL v3 protocol with
// tables in memory, asynchronous replication and faults on demand. One
// thread; a program of the tests only.

#define UPSTREAM_MAX_ANNOUNCE 8

struct upstream_options {
    const char *host;
    int port;
    int control_port; // 0: none
    const char *name;
    const char *database;
    const char *failure_domain;
    const char *group; // control group that is announced; NULL: none
    unsigned slots;
    unsigned connections;
    const char *primary_address; // NULL: starts as the primary
    int64_t lag_us;
    int64_t connect_delay_us;
    int64_t statement_us; // time that a statement takes
    unsigned pgbench_scale;
    const char *announce[UPSTREAM_MAX_ANNOUNCE];
    size_t announce_count;
};

enum upstream_silence {
    SILENCE_NONE,
    SILENCE_EXISTING, // open connections only
    SILENCE_ALL,
};

// A fault that hits one statement whose text holds pattern.
struct statement_fault {
    bool set;
    int64_t amount; // bytes, or microseconds
    char pattern[128];
};

struct upstream_faults {
    bool refuse;
    enum upstream_silence silence;
    bool no_announcements;
    struct statement_fault cut;  // after amount bytes of the answer
    struct statement_fault drop; // before the statement is run
    struct statement_fault late; // answers are held for amount; stays set
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
    bool fenced;
    bool leaving;
    struct upstream_faults faults;
    int listen_fd;
    struct loop_watch *listen_watch;
    struct session_list sessions;
    unsigned sessions_count; // without replication connections
    unsigned sessions_peak;
    unsigned running; // statements at once
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

// Roles.
void fake_upstream_promote(struct upstream *upstream);
int fake_upstream_follow(struct upstream *upstream, const char *address);
void fake_upstream_fence(struct upstream *upstream);
void fake_upstream_rebuild(struct upstream *upstream, uint64_t lsn);
// Writes ops to the log and wakes the replicas and waiting statements.
void fake_upstream_write_log(struct upstream *upstream, struct buffer *ops);

// Faults and state by a line of text, as control connections and
// catkingrade_standin_fault() give it. Returns false on a wrong command.
bool fake_upstream_run_command(struct upstream *upstream, const char *line);

struct replication *fake_replication_create(struct upstream *upstream);
void fake_replication_destroy(struct replication *replication);
void fake_replication_connect(struct replication *replication,
                              const char *address);
void fake_replication_stop(struct replication *replication);
void fake_replication_apply_lag(struct replication *replication);

struct announcer *fake_announcer_create(struct upstream *upstream);
void fake_announcer_destroy(struct announcer *announcer);

struct control_port *fake_control_port_create(struct upstream *upstream);
void fake_control_port_destroy(struct control_port *control);

#endif
