#ifndef CATKINGRADE_ENTRY_WORKER_H
#define CATKINGRADE_ENTRY_WORKER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "catkingrade/decide/traffic/relay_silence.h"
#include "catkingrade/decide/traffic/token.h"
#include "catkingrade/entry/classify.h"
#include "catkingrade/entry/database.h"
#include "catkingrade/entry/entry.h"
#include "catkingrade/entry/upstream_link.h"
#include "catkingrade/kernel/loop.h"
#include "catkingrade/kernel/settings.h"

// Worker thread of an entry. It runs an event loop with the listener of the
// client protocol and owns the databases whose names hash to it. Functions run
// on the worker's thread unless their comment says otherwise.
struct worker;
struct limiter_ticket;

// Client protocol, which listens on the loop of each worker. start runs before
// the worker's thread begins, stop after it has ended; the other functions run
// on the worker's thread.
struct entry_listener {
    // Returns the listener's state, or NULL on failure.
    void *(*start)(struct worker *worker);
    // Called after a change of the view in force, and after the first lease.
    // May be NULL.
    void (*handle_view)(void *state);
    // Ends the client sessions at their next transaction boundary and
    // continues to accept new ones. May be NULL.
    void (*shed)(void *state);
    // Closes the listening socket and ends the sessions at their next
    // transaction boundary.
    void (*drain)(void *state);
    // Ends all sessions once their clients have received the answers to their
    // requests, which have ended.
    void (*finish)(void *state);
    // Closes all sessions and frees the state.
    void (*stop)(void *state);
};

struct worker *worker_create(struct entry *entry, unsigned index);
int worker_start(struct worker *worker);
void worker_stop(struct worker *worker);
void worker_destroy(struct worker *worker);
struct loop *worker_get_loop(const struct worker *worker);
struct entry *worker_get_entry(const struct worker *worker);
unsigned worker_get_index(const struct worker *worker);
struct classifier *worker_get_classifier(const struct worker *worker);
struct view *worker_get_view(const struct worker *worker);
bool worker_has_view_and_lease(const struct worker *worker);
struct relay_silence *worker_get_relay_silence(struct worker *worker);
bool worker_may_deny_routes(const struct worker *worker);
bool worker_is_draining(const struct worker *worker);
void *worker_get_listener_state(const struct worker *worker);
uint64_t worker_make_id(struct worker *worker);
struct database *worker_open_database(struct worker *worker, const char *name);
void worker_schedule_removal(struct worker *worker);
void worker_set_view(struct worker *worker, struct view *view);
void worker_set_lease(struct worker *worker, const char *group,
                      int64_t valid_until_us);
void worker_revoke(struct worker *worker, const char *name, uint64_t term);
void worker_set_quotas(struct worker *worker, const struct ck_quota *quotas,
                       size_t count);
void worker_set_relays(struct worker *worker, const struct ck_relay *relays,
                       size_t count);
void worker_shed(struct worker *worker);
void worker_drain(struct worker *worker);
void worker_finish(struct worker *worker);
void worker_report_demand(struct worker *worker);
void worker_decide_limit(struct worker *worker,
                         const struct limiter_ticket *ticket);
uint64_t worker_get_open_requests(struct worker *worker, const char *customer);

// State of the entry that all workers share; constant after entry_start.
const struct settings *entry_get_settings(const struct entry *entry);
struct ck_relay *entry_copy_relays(const struct ck_relay *relays,
                                   size_t count);
void entry_free_relays(struct ck_relay *relays, size_t count);
const struct token_ring *entry_get_token_ring(const struct entry *entry);
const struct upstream_driver *entry_get_driver(const struct entry *entry);
const struct entry_listener *entry_get_listener(const struct entry *entry);
const char *entry_get_upstream_password(const struct entry *entry);
struct worker *entry_get_worker(struct entry *entry, unsigned index);
unsigned entry_get_workers_count(const struct entry *entry);
struct worker *entry_find_worker(struct entry *entry, const char *database);

// Pass a report to its handler on the control loop; any thread.
void entry_report_suspicion(struct entry *entry,
                            const struct ck_suspicion *suspicion);
void entry_report_revoked(struct entry *entry, const char *database,
                          uint64_t term);
void entry_report_want_renewal(struct entry *entry);
void entry_report_demand(struct entry *entry, const char *database,
                         const struct ck_demand *demands, size_t count);

// Set these between entry_create and entry_start.
void entry_set_driver(struct entry *entry,
                      const struct upstream_driver *driver);
void entry_set_listener(struct entry *entry,
                        const struct entry_listener *listener);

// Count the open sessions of each customer; any thread.
bool entry_admit_session(struct entry *entry, const char *name,
                         unsigned limit);
void entry_release_session(struct entry *entry, const char *name);
// Count the sessions of other entries that use this one as their relay; any
// thread.
void entry_add_relay_session(struct entry *entry);
void entry_release_relay_session(struct entry *entry);

#endif
