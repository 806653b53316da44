#ifndef CATKINGRADE_ENTRY_ENTRY_H
#define CATKINGRADE_ENTRY_ENTRY_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "catkingrade/entry/view.h"
#include "catkingrade/kernel/loop.h"
#include "catkingrade/kernel/settings.h"
#include "catkingrade/rpc/messages.h"

// The traffic side of an entry: threads with a loop each. A database's
// sessions, connections and decisions all live on one thread, chosen by the
// hash of its name, so that the statement path takes no lock.
struct entry;

// What the traffic threads report; called on the loop given to entry_create.
struct entry_report_handlers {
    void (*suspect)(void *data, const struct ck_suspicion *suspicion);
    void (*confirm_revoked)(void *data, const char *database, uint64_t term);
    void (*demand)(void *data, const char *database,
                   const struct ck_demand *demands, size_t count);
    void *data;
};

struct entry *entry_create(const struct settings *settings,
                           struct loop *control_loop,
                           const struct entry_report_handlers *reports);
// Before entry_start, in place of the reports given at creation.
void entry_set_report_handlers(struct entry *entry,
                               const struct entry_report_handlers *reports);
int entry_start(struct entry *entry);
void entry_destroy(struct entry *entry);
// Each may be called from any thread and copies or holds what it is given.
void entry_post_view(struct entry *entry, struct view *view);
void entry_post_lease(struct entry *entry, const char *group,
                      int64_t valid_until_us);
void entry_post_revocation(struct entry *entry, const char *database,
                           uint64_t term);
void entry_post_quotas(struct entry *entry, const struct ck_quota *quotas,
                       size_t count);
// Before entry_post_quotas, with which it takes effect.
void entry_post_relays(struct entry *entry, const struct ck_relay *relays,
                       size_t count);
// Asks the threads to report their demand since the last time.
void entry_collect_demand(struct entry *entry);
// Ends the sessions of callers at their next transaction boundary; new ones
// are taken.
void entry_post_shed(struct entry *entry);
// Planned stop: no new sessions; idle ones end at a transaction boundary.
void entry_drain(struct entry *entry);
bool entry_is_drained(struct entry *entry);
uint64_t entry_get_sessions_count(struct entry *entry);
uint64_t entry_get_open_requests(struct entry *entry, const char *customer);

#endif
