#ifndef CATKINGRADE_PLUGINS_POSTGRES_SESSION_H
#define CATKINGRADE_PLUGINS_POSTGRES_SESSION_H

#include <stdbool.h>
#include <stdint.h>

#include "catkingrade/entry/classify.h"
#include "catkingrade/entry/session.h"
#include "catkingrade/entry/worker.h"
#include "catkingrade/plugins/postgres_frame.h"
#include "catkingrade/plugins/postgres_startup.h"
#include "catkingrade/plugins/postgres_transport.h"

// A client session of the PostgreSQL protocol; the modules of the listener
// share its state.

struct postgres_listener;
struct scram;

enum postgres_state {
    POSTGRES_STATE_STARTUP,
    POSTGRES_STATE_AUTHENTICATION,
    POSTGRES_STATE_READY, // for the next message
    POSTGRES_STATE_BUSY,  // a request is out
    POSTGRES_STATE_CLOSING,
};

// A prepared statement or a portal under its name.
struct postgres_name {
    struct postgres_name *next;
    struct statement *statement; // NULL: a portal
    struct portal *portal;
    char text[];
};

// What SET catkingrade.NAME has set; only sessions that use it hold one.
struct postgres_variables {
    char type[CK_NAME_SIZE + 1];
    char key[JOB_KEY_SIZE];
    int64_t deadline_us; // of each request; 0: the type's
    int64_t max_age_us;  // -1: the type's
    bool repeatable;
};

struct postgres_session {
    struct entry_session base;
    struct postgres_listener *listener;
    struct postgres_session *next;
    struct postgres_session **link; // of the listener's list to this one
    struct postgres_transport transport;
    struct loop_watch *watch;
    struct loop_timer *timer; // limit of startup and authentication
    struct postgres_startup *startup;
    struct scram *scram; // exchange under way
    struct buffer in;
    struct buffer out;
    struct entry_request *request; // that is out
    struct entry_request *batch;   // of extended messages before their Sync
    struct postgres_name *names;
    struct postgres_variables *variables;
    char *settings_text;    // SET statements to replay on each connection
    char *settings_pending; // of the open transaction
    uint64_t settings_hash;
    const char *route_reason; // of the last statement
    char route_upstream[CK_NAME_SIZE + 1];
    bool route_on_replica;
    uint32_t key_secret;
    enum postgres_state state;
    char status;         // I, T or E, as in ReadyForQuery
    bool admitted;       // counted against the customer's limit
    bool lost;           // its transaction is gone at the upstream
    bool skips_to_sync;  // after an error in extended messages
    bool ends;           // at the next transaction boundary
    bool ends_with_sync; // the request that is out came with a Sync
    bool reads_stopped;  // the client sends faster than it is served
    bool continuing;     // messages are being handled
};

struct postgres_session *
postgres_session_create(struct postgres_listener *listener, int fd);
void postgres_session_destroy(struct postgres_session *session);
// Sends what is queued, handles what has come; may free the session.
void postgres_session_process_io(struct postgres_session *session);
void postgres_session_end(struct postgres_session *session);
void postgres_session_attach(struct postgres_session *session,
                             struct postgres_listener *listener);
void postgres_session_fail(struct postgres_session *session,
                           const char *sqlstate, const char *text);
struct worker *
postgres_session_get_worker(const struct postgres_session *session);
bool postgres_session_in_transaction(const struct postgres_session *session);

// Startup.
void postgres_session_handle_startup(struct postgres_session *session,
                                     const struct postgres_frame *frame);
void postgres_session_handle_password(struct postgres_session *session,
                                      const struct postgres_frame *frame);
void postgres_session_open(struct postgres_session *session);
void postgres_session_finish_login(struct postgres_session *session);
void postgres_scram_begin(struct postgres_session *session,
                          const struct ck_caller *caller);
void postgres_scram_free(struct scram *scram);

// Simple queries and requests.
void postgres_query_handle(struct postgres_session *session, const char *text);
struct entry_request *
postgres_request_create(struct postgres_session *session);
void postgres_request_apply_hints(struct postgres_session *session,
                                  struct entry_request *request,
                                  const struct classification *hints);
void postgres_request_submit(struct postgres_session *session,
                             struct entry_request *request,
                             enum scheduler_class request_class);
enum scheduler_class
postgres_request_get_class(const struct postgres_session *session,
                           enum classify_kind kind);
void postgres_request_add_setting(struct entry_request *request,
                                  const char *text);
bool postgres_query_may_leave_state(const char *text);
bool postgres_query_refuse_unsupported(struct postgres_session *session,
                                       enum classify_kind kind,
                                       const char *text);
// Answers of the database.
void postgres_answer_done(struct entry_session *base,
                          struct entry_request *request, bool warning);
void postgres_answer_refused(struct entry_session *base,
                             struct entry_request *request, int outcome,
                             int64_t retry_after_us);
void postgres_answer_unknown(struct entry_session *base,
                             struct entry_request *request);

// Extended protocol.
void postgres_extended_handle(struct postgres_session *session,
                              const struct postgres_frame *frame);
void postgres_extended_end_batch(struct postgres_session *session,
                                 const struct job *job);
void postgres_names_drop_portals(struct postgres_session *session);
void postgres_names_free(struct postgres_session *session);

// SET and SHOW of catkingrade's own names.
bool postgres_variables_set(struct postgres_session *session, const char *name,
                            const char *value, struct buffer *out);
bool postgres_variables_show(struct postgres_session *session,
                             const char *name, bool with_columns,
                             struct buffer *out);
void postgres_variables_add_token(struct postgres_session *session,
                                  struct buffer *out);
struct postgres_variables *
postgres_variables_get_or_create(struct postgres_session *session);

#endif
