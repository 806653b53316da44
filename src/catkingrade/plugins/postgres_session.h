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

// A client session of the PostgreSQL protocol. Its state is shared by the
// modules that handle startup (postgres_login.c, postgres_scram.c), simple
// queries (postgres_query.c), the extended protocol (postgres_extended.c) and
// catkingrade's variables (postgres_variables.c). A session belongs to one
// traffic thread at a time. All functions must run on that thread.

struct postgres_listener;
struct scram;

enum postgres_state {
    POSTGRES_STATE_STARTUP,
    POSTGRES_STATE_AUTHENTICATION,
    POSTGRES_STATE_READY,   // waits for the next message
    POSTGRES_STATE_BUSY,    // a request is in flight
    POSTGRES_STATE_CLOSING, // closed when all output is written
};

// A prepared statement or a portal of a session, with its name.
struct postgres_name {
    struct postgres_name *next;
    struct statement *statement; // NULL: the name of a portal
    struct portal *portal;       // NULL: the name of a statement
    char text[];
};

// Values of the variables that SET catkingrade.NAME changes. Allocated when a
// session first needs them.
struct postgres_variables {
    char type[CK_NAME_SIZE + 1];
    char key[JOB_KEY_SIZE];
    int64_t deadline_us; // per request; 0: deadline of the request type
    int64_t max_age_us;  // -1: maximum age of the request type
    bool repeatable;
};

struct postgres_session {
    struct entry_session base;
    struct postgres_listener *listener;
    struct postgres_session *next;
    struct postgres_session **prev_next; // pointer to this session in the list
    struct postgres_transport transport;
    struct loop_watch *watch;
    // Limits the startup or, at the end, the time for the last answers to
    // reach the client; NULL meanwhile.
    struct loop_timer *timer;
    int64_t startup_deadline_us;
    int64_t delivery_deadline_us;     // 0: not at the end
    struct postgres_startup *startup; // NULL once logged in
    struct scram *scram;              // exchange in progress, or NULL
    struct buffer in;
    struct buffer out;
    struct entry_request *request; // in flight, or NULL
    struct entry_request *batch;   // extended messages since the last Sync
    struct postgres_name *names;
    struct postgres_variables *variables;
    char *settings_text;    // SET statements to replay on each connection
    char *settings_pending; // SET statements of the open transaction
    uint64_t settings_hash; // of settings_text; 0: none
    // Upstream on which the last request ran, and the reason for the choice.
    const char *route_reason;
    char route_upstream[CK_NAME_SIZE + 1];
    bool route_on_replica;
    uint32_t key_secret; // secret of the cancel key
    enum postgres_state state;
    char status;           // I, T or E, as in ReadyForQuery
    bool lexes_otherwise;  // see changes_lexing of struct classification
    bool admitted;         // counts against the customer's session limit
    bool transaction_lost; // rolled back by the entry; client has not ended it
    bool ignores_until_sync; // after an error in the extended protocol
    bool end_requested;      // ends at the next transaction boundary
    bool ends_with_sync;     // ReadyForQuery follows the current request
    bool reading_paused;     // input buffer full: the client sends too fast
    bool processing_frames;  // messages are being handled
};

struct postgres_session *
postgres_session_create(struct postgres_listener *listener, int fd);
void postgres_session_destroy(struct postgres_session *session);
void postgres_session_process_io(struct postgres_session *session);
void postgres_session_end(struct postgres_session *session);
void postgres_session_finish(struct postgres_session *session);
void postgres_session_attach(struct postgres_session *session,
                             struct postgres_listener *listener);
void postgres_session_fail(struct postgres_session *session,
                           const char *sqlstate, const char *text);
struct worker *
postgres_session_get_worker(const struct postgres_session *session);
bool postgres_session_in_transaction(const struct postgres_session *session);

// Startup and authentication.
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
                                  const char *text,
                                  enum classify_setting setting);
uint64_t postgres_settings_get_hash(const char *text);
const struct classification *
postgres_query_classify(struct postgres_session *session, const char *text);
bool postgres_query_is_lexed_otherwise(const struct postgres_session *session,
                                       const char *text);
bool postgres_query_may_leave_state(const char *text);
bool postgres_query_refuse_unsupported(struct postgres_session *session,
                                       const struct classification *class,
                                       const char *text);
// Outcomes of requests, called by the database.
void postgres_answer_done(struct entry_session *base,
                          struct entry_request *request, bool warning);
void postgres_answer_refused(struct entry_session *base,
                             struct entry_request *request, int outcome,
                             int64_t retry_after_us);
void postgres_answer_unknown(struct entry_session *base,
                             struct entry_request *request);

// Extended protocol.
bool postgres_extended_allow_query(struct postgres_session *session);
void postgres_extended_handle(struct postgres_session *session,
                              const struct postgres_frame *frame);
void postgres_extended_end_batch(struct postgres_session *session,
                                 const struct job *job);
void postgres_names_drop_portals(struct postgres_session *session);
void postgres_names_free(struct postgres_session *session);

// SET and SHOW of catkingrade's own variables.
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
