#ifndef REVIEW_STAND_H
#define REVIEW_STAND_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <sys/types.h>

// Stand-ins for the scripts of the third review: database backends, the
// platform's POST /failover, heartbeats, clients and the operator. They speak
// what PROTOCOL.md says. Daemons are started as separate processes, with the
// templates of deploy/ filled in, each on a loopback address of its own.

#define STAND_BACKENDS 4
#define STAND_FIRST    3 // backends that run from the start on
#define STAND_CONTROLS 3
#define STAND_ENTRIES  2
#define STAND_ID_SIZE  48

// One write in a backend's log.
struct stand_write {
    uint64_t term;
    uint64_t number;
    char id[STAND_ID_SIZE];
};

// A backend of the service. All fields are guarded by stand_lock().
struct stand_backend {
    int index;
    char id[STAND_ID_SIZE];
    char ip[32];
    char zone[16];
    bool is_primary;
    uint64_t term;
    struct stand_write *log;
    size_t log_count;
    size_t log_capacity;
    bool is_down;
    bool is_draining;     // as it reports itself
    bool is_deaf;         // a replica that receives nothing
    size_t receive_batch; // writes that a replica receives each 10 ms
    int64_t born_ms;
    uint64_t sequence;
    uint64_t generation; // grows with each crash
    int listener;
    int conns[64];
    uint64_t runs; // statements of clients
};

// A write that a client was told to be committed.
struct stand_ack {
    char id[STAND_ID_SIZE];
    int64_t at_us;
};

// A request of a client. A served one got a success before its client gave up.
struct stand_request {
    int64_t sent_us;
    bool is_served;
};

struct stand {
    char folder[256];
    char service[24];
    char database[24];
    int sync_replicas;
    int pause_ms; // of a client after each write
    int subnet; // second byte of the loopback addresses
    int port_base;
    struct stand_backend backends[STAND_BACKENDS];
    pid_t controls[STAND_CONTROLS];
    pid_t entries[STAND_ENTRIES];
    struct stand_ack *acks;
    size_t acks_count;
    size_t acks_capacity;
    struct stand_request *requests;
    size_t requests_count;
    size_t requests_capacity;
    bool is_stopping;
    size_t promotions;
    size_t missing; // acknowledged writes that a promoted log lacked
};

extern struct stand stand;

void stand_lock(void);
void stand_unlock(void);
int64_t stand_now_us(void);
void stand_sleep_ms(int ms);
// Appends a line with the time to record.txt.
void stand_record(const char *format, ...)
    __attribute__((format(printf, 1, 2)));
// Exits with 2: the case could not run.
void stand_give_up(const char *reason) __attribute__((noreturn));

// Starts backends, platform, daemons and heartbeats, sends the configuration
// and waits until the entries are ready.
void stand_start(const char *case_folder, int sync_replicas);
// Sends a configuration with this version until it is acknowledged.
void stand_put_config(int version);
// Kills the processes of all core machines at once, and starts them again; the
// first ones, as many as wiped says, with empty disks.
void stand_kill_controls(void);
void stand_restart_controls(int wiped);
// Counts the requests that were sent in a time, and those that were served.
void stand_count_requests(int64_t from_us, int64_t until_us, size_t *sent,
                          size_t *served);
// Ends all daemons. No thread runs a statement any more.
void stand_stop(void);
// Starts clients that write, each on one session until it ends.
void stand_start_writers(int count);

// A backend's process ends: its connections break and its port is closed.
void stand_crash_backend(struct stand_backend *backend);
// A backend that is not one of the first ones starts, with an empty log.
void stand_add_backend(struct stand_backend *backend);
// It starts again under its id and address. keeps_log: with its log.
void stand_restart_backend(struct stand_backend *backend, bool keeps_log);
// It reports at once that it drains, until a daemon acknowledges that.
void stand_drain_backend(struct stand_backend *backend);
// Sends DELETE to the daemons that serve control, in turn from the one with
// this index on, until one acknowledges it.
void stand_withdraw_backend(struct stand_backend *backend, int daemon);
// Stops or continues the process of a core machine.
void stand_freeze_control(int index);
void stand_thaw_control(int index);
// Returns whether a log of a core machine's process contains a text.
bool stand_control_logged(const char *text);
void stand_record_backends(const char *when);
size_t stand_count_acks(void);
struct stand_backend *stand_find_primary(void);

#endif
