#include "catkingrade/decide/coordinator/announce.h"

#include <stdlib.h>
#include <string.h>

#include "catkingrade/decide/group/group_index.h"
#include "catkingrade/kernel/memory.h"
#include "catkingrade/kernel/outcome.h"
#include "catkingrade/rpc/codec.h"

#define ANNOUNCE_KIND 'U'

struct announce_entry {
    struct announce_entry *next;
    char *name;
    int64_t last_announced_us;
    int64_t published_us;
    uint64_t incarnation;
    uint64_t sequence; // of the last announcement of this incarnation
    bool is_proposed;  // a proposal about the upstream is in flight
    bool is_withdrawn; // this incarnation has shut down permanently
    bool is_deferred;
    struct ck_upstream deferred; // valid if is_deferred
};

struct announce {
    struct announce_params params;
    struct group_index *index;
    struct announce_entry *entries;
};

// Returns an empty table. The caller frees it with announce_destroy.
struct announce *
announce_create(const struct announce_params *params)
{
    struct announce *announce = xcalloc(1, sizeof(*announce));

    announce->params = *params;
    announce->index = group_index_create();
    return announce;
}

void
announce_destroy(struct announce *announce)
{
    if (announce == NULL) {
        return;
    }
    while (announce->entries != NULL) {
        struct announce_entry *entry = announce->entries;
        announce->entries = entry->next;
        codec_free((xdrproc_t)xdr_ck_upstream, &entry->deferred);
        free(entry->name);
        free(entry);
    }
    group_index_destroy(announce->index);
    free(announce);
}

static struct announce_entry *
announce_find(const struct announce *announce, const char *name)
{
    return group_index_get(announce->index, ANNOUNCE_KIND, name);
}

static struct announce_entry *
announce_add(struct announce *announce, int64_t now_us, const char *name)
{
    struct announce_entry *entry = announce_find(announce, name);

    if (entry != NULL) {
        return entry;
    }
    entry = xcalloc(1, sizeof(*entry));
    entry->name = xstrdup(name);
    entry->last_announced_us = now_us;
    entry->published_us = now_us - announce->params.publish_interval_us;
    entry->next = announce->entries;
    announce->entries = entry;
    group_index_put(announce->index, ANNOUNCE_KIND, name, entry);
    return entry;
}

struct announce_load_data {
    struct announce *announce;
    int64_t now_us;
};

static bool
announce_load_database(void *data, const struct ck_database *database)
{
    struct announce_load_data *load = data;

    for (u_int i = 0; i < database->upstreams.upstreams_len; i++) {
        const struct ck_upstream *upstream =
            &database->upstreams.upstreams_val[i];
        if (upstream->state != CK_UPSTREAM_LOST) {
            (void)announce_add(load->announce, load->now_us, upstream->name);
        }
    }
    return true;
}

// Adds all upstreams of the group that are not lost, with now_us as the time
// of their last announcement. So each upstream has the full expiry time to
// announce itself after a change of Raft leader.
void
announce_load(struct announce *announce, int64_t now_us,
              const struct group_state *group)
{
    struct announce_load_data load = {announce, now_us};

    group_visit_databases(group, announce_load_database, &load);
}

static void
announce_defer(struct announce_entry *entry,
               const struct ck_upstream *upstream)
{
    codec_free((xdrproc_t)xdr_ck_upstream, &entry->deferred);
    codec_copy((xdrproc_t)xdr_ck_upstream, upstream, &entry->deferred,
               sizeof(entry->deferred));
    entry->is_deferred = true;
}

// Takes over what the group state knows of an upstream's last announcement, as
// an earlier leader may have accepted it. Of an unknown incarnation it knows
// nothing that holds for the present one.
static void
announce_learn(struct announce_entry *entry, const struct ck_upstream *known)
{
    if (known == NULL || known->incarnation == 0 ||
        known->incarnation < entry->incarnation) {
        return;
    }
    if (known->incarnation > entry->incarnation) {
        entry->incarnation = known->incarnation;
        entry->sequence = 0;
        entry->is_withdrawn = false;
    }
    if (known->sequence == GROUP_SEQUENCE_WITHDRAWN) {
        entry->is_withdrawn = true;
    }
    else if (known->sequence > entry->sequence) {
        entry->sequence = known->sequence;
    }
}

// Records the incarnation and sequence number of an announcement. Returns
// whether the announcement is stale: it was sent before one that was already
// accepted, by an earlier incarnation or by an incarnation that was withdrawn.
static bool
announce_is_stale(struct announce_entry *entry,
                  const struct ck_upstream *upstream)
{
    if (upstream->incarnation != entry->incarnation) {
        bool stale = upstream->incarnation < entry->incarnation;
        if (!stale) {
            entry->incarnation = upstream->incarnation;
            entry->sequence = upstream->sequence;
            entry->is_withdrawn = false;
        }
        return stale;
    }
    if (entry->is_withdrawn && upstream->incarnation != 0) {
        return true;
    }
    if (upstream->sequence != 0 && upstream->sequence <= entry->sequence) {
        return upstream->sequence < entry->sequence;
    }
    entry->sequence = upstream->sequence;
    return false;
}

// Handles the announcement of an upstream that shuts down permanently.
static enum announce_verdict
announce_handle_withdrawal(struct announce *announce, int64_t now_us,
                           const struct group_state *group,
                           const struct ck_upstream *upstream)
{
    const struct ck_upstream *known =
        group_find_upstream(group, upstream->name);

    if (known == NULL || known->sequence == GROUP_SEQUENCE_WITHDRAWN) {
        return ANNOUNCE_UNCHANGED;
    }
    struct announce_entry *entry =
        announce_add(announce, now_us, upstream->name);
    announce_learn(entry, known);
    entry->is_withdrawn = true;
    entry->is_deferred = false;
    entry->is_proposed = true;
    entry->published_us = now_us;
    return ANNOUNCE_WITHDRAW;
}

// Handles an announcement and returns what the caller must do. After
// ANNOUNCE_PUBLISH or ANNOUNCE_WITHDRAW the caller proposes the change and
// calls announce_end_proposal when the proposal was committed or has failed.
// reason is cleared, and filled when the result is ANNOUNCE_REFUSED.
enum announce_verdict
announce_handle_upstream(struct announce *announce, int64_t now_us,
                         const struct group_state *group,
                         const struct ck_upstream *upstream,
                         struct group_result *reason)
{
    memset(reason, 0, sizeof(*reason));
    if (upstream->state == CK_UPSTREAM_LOST) {
        return announce_handle_withdrawal(announce, now_us, group, upstream);
    }
    if (!group_check_upstream(group, upstream, reason)) {
        return ANNOUNCE_REFUSED;
    }
    struct announce_entry *entry =
        announce_add(announce, now_us, upstream->name);
    const struct ck_upstream *known =
        group_find_upstream(group, upstream->name);
    announce_learn(entry, known);
    if (announce_is_stale(entry, upstream)) {
        return ANNOUNCE_UNCHANGED;
    }
    entry->last_announced_us = now_us;
    if (known != NULL && group_is_same_upstream(known, upstream)) {
        entry->is_deferred = false;
        return ANNOUNCE_UNCHANGED;
    }
    if (entry->is_proposed ||
        now_us - entry->published_us < announce->params.publish_interval_us) {
        announce_defer(entry, upstream);
        return ANNOUNCE_DEFERRED;
    }
    entry->is_deferred = false;
    entry->is_proposed = true;
    entry->published_us = now_us;
    return ANNOUNCE_PUBLISH;
}

// Must be called when a proposal about the upstream has been committed or has
// failed. Until then further changes of this upstream are deferred; only a
// withdrawal is proposed at once.
void
announce_end_proposal(struct announce *announce, const char *upstream)
{
    struct announce_entry *entry = announce_find(announce, upstream);

    if (entry != NULL) {
        entry->is_proposed = false;
    }
}

// Returns the time of the upstream's last announcement, or ANNOUNCE_NEVER_US
// if the upstream is not in the table.
int64_t
announce_get_last_us(const struct announce *announce, const char *upstream)
{
    const struct announce_entry *entry = announce_find(announce, upstream);

    return entry == NULL ? ANNOUNCE_NEVER_US : entry->last_announced_us;
}

// Returns whether the upstream is the primary of a term that is not being
// superseded.
static bool
announce_is_primary(const struct group_state *group,
                    const struct ck_upstream *upstream)
{
    const struct ck_database *database =
        group_find_database(group, upstream->database);

    return database != NULL && !database->superseding &&
           strcmp(database->primary, upstream->name) == 0;
}

// Proposes to expire an upstream whose announcements have stopped. The primary
// of a term that is not being superseded is skipped: failover handles its
// loss.
static void
announce_expire(struct announce_entry *entry, int64_t now_us,
                const struct group_state *group, announce_due_fn due,
                void *data)
{
    const struct ck_upstream *known = group_find_upstream(group, entry->name);

    entry->is_deferred = false;
    if (known == NULL || known->state == CK_UPSTREAM_LOST ||
        announce_is_primary(group, known)) {
        return;
    }
    entry->is_proposed = true;
    entry->published_us = now_us;
    due(data, CK_CHANGE_UPSTREAM_EXPIRE, known);
}

static void
announce_tick_entry(struct announce *announce, struct announce_entry *entry,
                    int64_t now_us, const struct group_state *group,
                    announce_due_fn due, void *data)
{
    if (entry->is_proposed) {
        return;
    }
    if (now_us - entry->last_announced_us >= announce->params.expiry_us) {
        announce_expire(entry, now_us, group, due, data);
        return;
    }
    if (entry->is_deferred &&
        now_us - entry->published_us >= announce->params.publish_interval_us) {
        entry->is_deferred = false;
        entry->is_proposed = true;
        entry->published_us = now_us;
        due(data, CK_CHANGE_UPSTREAM, &entry->deferred);
    }
}

// Calls due for each deferred change whose publish interval has passed and for
// each upstream that has expired. The primary of a term that is not being
// superseded does not expire: failover handles its loss.
void
announce_tick(struct announce *announce, int64_t now_us,
              const struct group_state *group, announce_due_fn due, void *data)
{
    for (struct announce_entry *entry = announce->entries; entry != NULL;
         entry = entry->next) {
        announce_tick_entry(announce, entry, now_us, group, due, data);
    }
}
