#ifndef REVIEW_COMMON_RIG_H
#define REVIEW_COMMON_RIG_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

// Small test rig of the review: starts three control VMs and some entries with
// the program of the deploy file, on loopback addresses, and plays the
// backends, the platform's POST /failover, the operator and clients as the
// users' pages describe them. All stand-ins are threads of this process.

#define RIG_CONTROLS     3
#define RIG_ENTRIES      2
#define RIG_BACKENDS_MAX 6
#define RIG_LOG_MAX      65536
#define RIG_TEXT_SIZE    512
#define RIG_REPLY_SIZE   4096

// One commit in the log of a backend.
struct rig_commit {
    char id[64];   // of the client's statement that wrote it
    char item[64];
    char value[128];
    uint64_t term;
    int64_t received_ms; // by this backend
};

struct rig_backend {
    int index;
    char id[32];
    char service[32];
    char zone[32];
    int port;
    int listen_fd;
    int64_t born_ms;
    // Faults; set them with the functions below or under rig_lock.
    bool is_down;          // the process is gone
    bool is_deaf;          // as a replica it receives nothing
    bool is_cut_from_core; // neither control nor the core can be reached
    int lag_ms;            // applies a commit this long after it was received
    int net_ms;            // receives a commit this long after it was made
    bool is_draining;
    // Database state.
    bool is_primary;
    uint64_t term;
    struct rig_commit *log;
    size_t received; // commits in the log
    size_t applied;  // commits that reads see
    unsigned connections;
    uint64_t generation; // of the process; connections of earlier ones end
    uint64_t seq;
};

// A statement that a backend has run.
struct rig_run {
    int64_t at_ms;
    int backend;
    char id[64];
    char who[64];
    char text[128];
    size_t applied; // commits that it could see
};

struct rig_promotion {
    int64_t ordered_ms;
    int64_t done_ms; // 0: not yet
    int backend;
    char holder[64];
    uint64_t token;
};

struct rig {
    int backends_count;
    struct rig_backend backends[RIG_BACKENDS_MAX];
    struct rig_run *runs;
    size_t runs_count;
    struct rig_promotion promotions[64];
    int promotions_count;
    int sync_replicas; // of all services
    bool has_trouble;  // TROUBLE is not 0
    // Called under the lock when a promotion takes effect.
    void (*on_promoted)(const struct rig_promotion *promotion);
};

extern struct rig rig;

void rig_lock(void);
void rig_unlock(void);
int64_t rig_now_ms(void);
void rig_sleep_ms(int64_t ms);
// Writes a line with the time to the record.
void rig_note(const char *format, ...) __attribute__((format(printf, 1, 2)));
// Ends the run: 0 the rule held, 1 it was broken, 2 the case could not run.
void rig_end(int status, const char *reason) __attribute__((noreturn));

// Adds a backend before rig_start().
struct rig_backend *rig_add_backend(const char *service, const char *id,
                                    const char *zone, bool is_primary);
// Starts backends, platform and daemons. record: path of record.txt.
void rig_start(const char *record);
// Ends a backend's process, or starts it again with its log, as a replica if
// another backend was promoted meanwhile.
void rig_crash_backend(struct rig_backend *backend);
void rig_restart_backend(struct rig_backend *backend);
int rig_count_commit(const struct rig_backend *backend, const char *id);

// Operator: sends an HTTP request to a control VM. Returns the status, 0
// without a response.
int rig_http(int control, const char *method, const char *path,
             const char *body, char *reply, size_t reply_size);
// Sends a configuration to one control VM after the other until it is
// acknowledged. Returns when it was, in rig_now_ms().
int64_t rig_put_config(const char *body);

// Signals to the daemons: 0 to RIG_CONTROLS - 1, then the entries.
void rig_signal(int daemon, int signal);
// Returns whether a daemon's process has ended by itself, and how.
bool rig_has_ended(int daemon, char *how, size_t size);
// Returns the control VM that leads by its log, -1 if none does.
int rig_find_leader(void);

// Clients. A session is a connection; -1 if it is not ready.
int rig_connect(int entry);
int rig_open_session(int entry, const char *database, const char *key);
// Sends bytes as they are.
bool rig_send(int fd, const char *bytes, size_t size);
// Receives up to READY or the end of the connection. Returns whether READY
// came.
bool rig_receive(int fd, char *reply, size_t size, int timeout_ms);
// Sends QUERY id text and receives the answer.
bool rig_query(int fd, const char *id, const char *text, char *reply,
               size_t size);
// Opens sessions until a query is answered by COMPLETE with a signature.
// Returns that session.
int rig_wait_served(int entry, const char *database, const char *key,
                    const char *text, int64_t limit_ms);

#endif
