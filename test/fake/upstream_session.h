#ifndef TEST_FAKE_UPSTREAM_SESSION_H
#define TEST_FAKE_UPSTREAM_SESSION_H

#include <stdbool.h>
#include <stdint.h>
#include <sys/queue.h>

#include "test/fake/upstream.h"

#define SESSION_SQLSTATE_SIZE 6

enum session_phase {
    SESSION_STARTUP,
    SESSION_CONNECTING, // the connect delay runs
    SESSION_READY,
    SESSION_REPLICATION,
    SESSION_ENDING, // closes once its output is sent
    SESSION_CLOSED, // freed after this turn of the loop
};

enum transaction_state {
    TRANSACTION_IDLE = 'I',
    TRANSACTION_OPEN = 'T',
    TRANSACTION_FAILED = 'E',
};

// A prepared statement; a portal besides has its parameters.
struct prepared {
    char *name;
    char *text;
    char **params;
    size_t params_count;
    TAILQ_ENTRY(prepared) entry;
};

TAILQ_HEAD(prepared_list, prepared);

// One connection of a caller, or of a replica.
struct session {
    struct upstream *upstream;
    int fd;
    struct loop_watch *watch;
    struct loop_timer *timer;
    enum session_phase phase;
    uint32_t pid;
    uint32_t secret;
    struct buffer in;
    struct buffer out;
    uint64_t sent_bytes;
    bool is_cut;
    uint64_t cut_at_bytes;           // closes when this many were sent
    int64_t output_delayed_until_us; // output waits until then
    bool silent;
    bool read_only;
    bool skip_until_sync;
    enum transaction_state state;
    struct transaction transaction;
    struct prepared_list statements;
    struct prepared_list portals;
    size_t query_next; // statement of a simple query that is next
    // The statement at the head of the input, while it waits.
    bool is_running;
    bool delay_pending;
    bool waits_for_lock;
    int64_t resume_at_us;
    int64_t lock_deadline_us;
    char sqlstate[SESSION_SQLSTATE_SIZE]; // of the error of this statement
    char *error;
    size_t wal_next; // REPLICATION: entry to send next
    TAILQ_ENTRY(session) entry;
};

void fake_session_create(struct upstream *upstream, int fd);
void fake_session_destroy(struct session *session);
void fake_session_terminate(struct session *session, const char *sqlstate,
                            const char *message);
void fake_session_abort(struct session *session);
void fake_session_process_input(struct session *session);
void fake_session_flush(struct session *session);
void fake_session_set_error(struct session *session, const char *sqlstate,
                            const char *format, ...)
    __attribute__((format(printf, 3, 4)));

// Frames of the server's side; session_frame_end fills in the length.
size_t fake_session_frame_begin(struct session *session, char kind);
void fake_session_frame_end(struct session *session, size_t start);

// Sends entries of the log that a replica has not had.
void fake_session_append_log(struct session *session);
// Answers a replica's first message with the fork and the history.
bool fake_session_start_replication(struct session *session,
                                    const uint8_t *data, size_t size_bytes);

enum execute_result {
    EXECUTE_DONE,
    EXECUTE_ERROR, // session->sqlstate and error say what
    EXECUTE_WAIT,  // run it again when session_continue comes
};

// Runs one statement and appends rows and CommandComplete to the output.
enum execute_result fake_session_execute(struct session *session,
                                         const struct plan *plan,
                                         char *const *params,
                                         size_t params_count, bool describe);
// Ends the implicit transaction of statements outside a block.
void fake_session_commit_implicit(struct session *session);
void fake_session_rollback(struct session *session);
bool fake_session_append_description(struct session *session,
                                     const struct plan *plan);

#endif
