#ifndef TEST_FAKE_UPSTREAM_SESSION_H
#define TEST_FAKE_UPSTREAM_SESSION_H

#include <stdbool.h>
#include <stdint.h>
#include <sys/queue.h>

#include "test/fake/upstream.h"

// Connections of clients and replicas to the stand-in upstream, and execution
// of their statements. A session handles one message at a time: a message that
// has to wait stays at the head of the input and is handled again later.

#define SESSION_SQLSTATE_SIZE 6

enum session_phase {
    SESSION_STARTUP,
    SESSION_CONNECTING, // waits for the connect delay
    SESSION_READY,
    SESSION_REPLICATION,
    SESSION_ENDING, // closes once its output is sent
    SESSION_CLOSED, // freed at the end of this loop iteration
};

// Values as in ReadyForQuery messages.
enum transaction_state {
    TRANSACTION_IDLE = 'I',
    TRANSACTION_OPEN = 'T',
    TRANSACTION_FAILED = 'E',
};

// A prepared statement, or a portal with its parameters.
struct prepared {
    char *name;
    char *text;
    char **params;
    size_t params_count;
    TAILQ_ENTRY(prepared) entry;
};

TAILQ_HEAD(prepared_list, prepared);

// One connection of a client or of a replica.
struct session {
    struct upstream *upstream;
    int fd;
    struct loop_watch *watch;
    struct loop_timer *timer;
    enum session_phase phase;
    uint32_t pid;
    uint32_t secret; // a cancel request must contain pid and secret
    struct buffer in;
    struct buffer out;
    uint64_t sent_bytes;
    bool is_cut;           // fault: close the connection at cut_at_bytes
    uint64_t cut_at_bytes; // compared with sent_bytes
    int64_t output_delayed_until_us; // fault: no output is sent before
    bool silent;          // fault: neither handles input nor sends output
    bool read_only;       // of the current transaction
    bool skip_until_sync; // after an error in the extended protocol
    enum transaction_state state;
    struct transaction transaction;
    struct prepared_list statements;
    struct prepared_list portals;
    size_t query_next; // simple query: index of the next statement
    // State of the statement that runs or waits.
    bool statement_running;
    bool delay_pending; // waits for options.statement_us to pass
    bool waits_for_lock;
    int64_t resume_at_us;     // 0: need not wait
    int64_t lock_deadline_us; // 0: has not waited for a lock
    char sqlstate[SESSION_SQLSTATE_SIZE];
    char *error;     // message; NULL: no error
    size_t wal_next; // replication: index of the next entry to send
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

// Begins and ends a message to the peer; fake_session_frame_end() fills in the
// length.
size_t fake_session_frame_begin(struct session *session, char kind);
void fake_session_frame_end(struct session *session, size_t start);

// Appends the log entries that the replica has not received to the output.
void fake_session_append_log(struct session *session);
// Responds to a replica's startup message. Returns false on invalid input.
bool fake_session_start_replication(struct session *session,
                                    const uint8_t *data, size_t size_bytes);

enum execute_result {
    EXECUTE_DONE,
    EXECUTE_ERROR, // set in session->sqlstate and session->error
    // The statement has to run again: at session->resume_at_us or, when it
    // waits for a row lock, at the end of another transaction.
    EXECUTE_WAIT,
};

// Runs one statement and appends rows and CommandComplete to the output.
enum execute_result fake_session_execute(struct session *session,
                                         const struct plan *plan,
                                         char *const *params,
                                         size_t params_count, bool describe);
// Commits the implicit transaction of statements outside a transaction block.
void fake_session_commit_implicit(struct session *session);
void fake_session_rollback(struct session *session);
bool fake_session_append_description(struct session *session,
                                     const struct plan *plan);

#endif
