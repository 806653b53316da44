#ifndef CATKINGRADE_ENTRY_DATABASE_H
#define CATKINGRADE_ENTRY_DATABASE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "catkingrade/entry/session.h"
#include "catkingrade/entry/upstream_link.h"
#include "catkingrade/entry/view.h"

struct worker;

// Adapter between the scheduler of one database and the worker that owns it.
// It passes the events of sessions, upstream connections, timers and the
// control group to the scheduler, and executes the scheduler's actions. All
// functions run on the worker's thread unless their comment says otherwise.
// Times are in microseconds on the monotonic clock.
struct limiter_ticket;
struct database;

struct database *database_create(struct worker *worker, const char *name,
                                 const char *customer_name);
void database_destroy(struct database *database);
const char *database_get_name(const struct database *database);
const struct ck_customer *
database_get_customer(const struct database *database);
void database_set_view(struct database *database, struct view *view,
                       const struct ck_quota *quotas, size_t quotas_count);
// Takes effect with the next database_set_view; NULL: no relay.
void database_set_relay(struct database *database,
                        const struct ck_relay *relay);
bool database_is_relayed(const struct database *database);
bool database_is_relay_change_due(const struct database *database);
bool database_accepts_relayed(const struct database *database);
bool database_follow_view(struct database *database, struct view *view);
void database_set_lease(struct database *database, uint64_t term,
                        int64_t valid_until_us, bool revoked);
void database_drain(struct database *database);
void database_finish(struct database *database);
void database_report_demand(struct database *database);
uint64_t database_get_open_requests(const struct database *database);
const char *database_get_customer_name(const struct database *database);
void database_log_open_requests(struct database *database);
bool database_is_idle(const struct database *database);
void database_end_sessions(struct database *database);

void database_open_session(struct database *database,
                           struct entry_session *session, bool floor_known,
                           bool declared_new);
void database_set_floor(struct database *database,
                        struct entry_session *session);
void database_replace_floor(struct database *database,
                            struct entry_session *session,
                            const struct scheduler_floor *floor,
                            int64_t age_us);
void database_close_session(struct database *database,
                            struct entry_session *session,
                            struct entry_request *request);
void database_move_session(struct database *database,
                           struct entry_session *session,
                           struct entry_request *request);
void database_submit(struct database *database, struct entry_request *request);
void database_cancel(struct database *database, struct entry_request *request);
void database_decide_limit(struct database *database,
                           const struct limiter_ticket *ticket);

#endif
