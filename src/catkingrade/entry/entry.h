#ifndef CATKINGRADE_ENTRY_ENTRY_H
#define CATKINGRADE_ENTRY_ENTRY_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "catkingrade/entry/view.h"
#include "catkingrade/kernel/loop.h"
#include "catkingrade/kernel/settings.h"
#include "catkingrade/rpc/messages.h"

// Traffic side of an entry: the worker threads, each with an event loop, that
// run the statements of clients. All sessions, connections and scheduling
// state of a database belong to one worker, selected by the hash of the
// database's name, so that the statement path takes no lock.
//
// entry_post_* functions send a message to the workers: they copy their
// arguments or take a reference, may be called from any thread, and return
// before the message is handled. Times are in microseconds on the monotonic
// clock.
struct entry;
struct limit;
struct limiter;

// Handlers of the workers' reports. They run on the control loop, which is a
// parameter of entry_create, and their arguments are valid during the call. A
// report whose handler is NULL is discarded.
struct entry_report_handlers {
    // An upstream refuses connections, is silent or is slow.
    void (*suspect)(void *data, const struct ck_suspicion *suspicion);
    // This entry acknowledges no more writes of a term.
    void (*confirm_revoked)(void *data, const char *database, uint64_t term);
    // Demand for the upstreams of a database since the previous report.
    void (*demand)(void *data, const char *database,
                   const struct ck_demand *demands, size_t count);
    // A client may know a newer configuration than this entry.
    void (*want_renewal)(void *data);
    void *data;
};

struct entry *entry_create(const struct settings *settings,
                           struct loop *control_loop,
                           const struct entry_report_handlers *handlers);
// Replaces the handlers given to entry_create.
void entry_set_report_handlers(struct entry *entry,
                               const struct entry_report_handlers *handlers);
int entry_start(struct entry *entry);
void entry_destroy(struct entry *entry);
void entry_post_view(struct entry *entry, struct view *view);
void entry_post_lease(struct entry *entry, const char *group,
                      int64_t valid_until_us);
void entry_post_revocation(struct entry *entry, const char *database,
                           uint64_t term);
void entry_post_quotas(struct entry *entry, const struct ck_quota *quotas,
                       size_t count);
// Takes effect with the next entry_post_quotas.
void entry_post_relays(struct entry *entry, const struct ck_relay *relays,
                       size_t count);
void entry_collect_demand(struct entry *entry);
// The customers with a rate limit in the view in force; any thread.
void entry_set_limits(struct entry *entry, const struct limit *limits,
                      size_t count);
struct limiter *entry_get_limiter(const struct entry *entry);
void entry_post_shed(struct entry *entry);
void entry_drain(struct entry *entry);
void entry_finish(struct entry *entry);
bool entry_is_drained(struct entry *entry);
uint64_t entry_get_sessions_count(struct entry *entry);
uint64_t entry_get_open_requests(struct entry *entry, const char *customer);

#endif
