#include <stdlib.h>
#include <string.h>

#include "catkingrade/decide/leader_private.h"
#include "catkingrade/kernel/memory.h"
#include "catkingrade/kernel/outcome.h"
#include "catkingrade/rpc/codec.h"

#define LEADER_PPM        1000000
#define LEADER_ROLE_ENTRY 1U

// Returns how long after its receipt a renewal may keep a lease alive here:
// the lease and twice the bound on the drift of one clock, for the entry's
// may be slow while this one is fast.
int64_t
leader_get_lease_bound_us(const struct leader *leader)
{
    int64_t lease_us = leader->params.lease_us;

    return lease_us +
           2 * lease_us * (int64_t)leader->params.drift_ppm / LEADER_PPM + 1;
}

// Returns the holder of a VM, or NULL.
struct leader_holder *
leader_find_holder(const struct leader *leader, const char *vm)
{
    return group_index_get(leader->index, LEADER_HOLDER, vm);
}

// Returns whether the holder's lease may still be valid.
bool
leader_is_live(const struct leader *leader, const struct leader_holder *holder)
{
    return holder->granted_until_us > leader->now_us;
}

// Returns whether the daemon carries callers' traffic.
bool
leader_is_entry(const struct leader_holder *holder)
{
    return (holder->daemon.roles & LEADER_ROLE_ENTRY) != 0;
}

// Counts the entries whose lease may still be valid.
size_t
leader_count_live(const struct leader *leader)
{
    size_t count = 0;

    for (const struct leader_holder *holder = leader->holders; holder != NULL;
         holder = holder->next) {
        bool counts =
            leader_is_entry(holder) && leader_is_live(leader, holder);
        count += counts ? 1 : 0;
    }
    return count;
}

static struct leader_holder *
leader_add_holder(struct leader *leader, const struct ck_daemon *daemon)
{
    struct leader_holder *holder = xcalloc(1, sizeof(*holder));

    codec_copy((xdrproc_t)xdr_ck_daemon, daemon, &holder->daemon,
               sizeof(holder->daemon));
    holder->last_seen_us = leader->now_us;
    holder->next = leader->holders;
    leader->holders = holder;
    holder->number = leader->holders_count++;
    group_index_put(leader->index, LEADER_HOLDER, daemon->vm, holder);
    return holder;
}

static bool
leader_load_holder(void *data, const struct ck_daemon *daemon)
{
    struct leader *leader = data;
    struct leader_holder *holder = leader_add_holder(leader, daemon);

    holder->granted_until_us =
        leader->elected_us + leader_get_lease_bound_us(leader);
    return true;
}

// Takes every registered daemon as one to whom the leader before may have
// granted a lease until just now.
void
leader_load_holders(struct leader *leader)
{
    group_visit_daemons(leader->group, leader_load_holder, leader);
}

// Frees all holders.
void
leader_free_holders(struct leader *leader)
{
    while (leader->holders != NULL) {
        struct leader_holder *holder = leader->holders;
        leader->holders = holder->next;
        codec_free((xdrproc_t)xdr_ck_daemon, &holder->daemon);
        free(holder);
    }
    leader->holders_count = 0;
}

// Returns whether two records of a VM's daemon say the same.
static bool
leader_is_same_daemon(const struct ck_daemon *left,
                      const struct ck_daemon *right)
{
    return left->incarnation == right->incarnation &&
           left->port == right->port && left->roles == right->roles &&
           strcmp(left->host, right->host) == 0 &&
           strcmp(left->failure_domain, right->failure_domain) == 0;
}

static bool
leader_is_registered(const struct leader *leader,
                     const struct ck_daemon *daemon)
{
    const struct ck_daemon *known =
        group_find_daemon(leader->group, daemon->vm);

    return known != NULL && leader_is_same_daemon(known, daemon);
}

// Takes a daemon's new incarnation or address. The lease of the incarnation
// before still counts until it runs out.
static void
leader_update_holder(struct leader *leader, struct leader_holder *holder,
                     const struct ck_daemon *daemon)
{
    if (leader_is_same_daemon(&holder->daemon, daemon)) {
        return;
    }
    if (holder->daemon.incarnation != daemon->incarnation) {
        if (holder->granted_until_us > holder->old_until_us) {
            holder->old_until_us = holder->granted_until_us;
        }
        holder->granted_until_us = 0;
        holder->denied = false;
    }
    codec_free((xdrproc_t)xdr_ck_daemon, &holder->daemon);
    codec_copy((xdrproc_t)xdr_ck_daemon, daemon, &holder->daemon,
               sizeof(holder->daemon));
    leader_rename_in_relays(leader, holder);
}

static struct leader_holder *
leader_see_daemon(struct leader *leader, const struct ck_renew_args *args)
{
    struct leader_holder *holder = leader_find_holder(leader, args->daemon.vm);

    if (holder == NULL) {
        holder = leader_add_holder(leader, &args->daemon);
    }
    leader_update_holder(leader, holder, &args->daemon);
    holder->last_seen_us = leader->now_us;
    holder->known_revision = args->known_revision;
    holder->open_requests = args->open_requests;
    if (!leader_is_registered(leader, &args->daemon) && !holder->proposed) {
        struct ck_change change = {.kind = CK_CHANGE_DAEMON};
        change.ck_change_u.daemon = args->daemon;
        holder->proposed = true;
        leader_propose(leader, &change, args->daemon.vm, LEADER_REPLY_NONE, 0);
    }
    return holder;
}

static struct ck_renew_result *
leader_add_result(struct leader *leader, uint64_t token, uint64_t sequence,
                  int outcome)
{
    struct ck_renew_result *result =
        leader_own(leader->actions, xcalloc(1, sizeof(*result)));

    result->outcome = outcome;
    result->sequence = sequence;
    result->leader_host = (char *)(uintptr_t) "";
    result->leader_term = leader->leader_term;
    struct leader_action *action =
        leader_add_action(leader, LEADER_ACTION_REPLY_RENEW);
    action->token = token;
    action->renew = result;
    return result;
}

// Gives the lists of a delta to the list of actions.
static void
leader_own_delta(struct leader *leader, struct ck_view_delta *delta)
{
    struct leader_actions *actions = leader->actions;

    (void)leader_own(actions, delta->customers.customers_val);
    (void)leader_own(actions, delta->customers_removed.customers_removed_val);
    (void)leader_own(actions, delta->databases.databases_val);
    (void)leader_own(actions, delta->databases_removed.databases_removed_val);
    (void)leader_own(actions, delta->declaration.declaration_val);
}

// Answers a renewal with what the entry lacks. The lease comes only with an
// answer that brings it up to the present revision, so that it never covers
// a term that was superseded before.
static void
leader_grant(struct leader *leader, uint64_t token,
             struct leader_holder *holder, const struct ck_renew_args *args)
{
    struct group_delta_filter filter = {
        .max_size_bytes = leader->params.delta_max_size_bytes};
    bool registered = leader_is_registered(leader, &args->daemon);
    struct ck_renew_result *result =
        leader_add_result(leader, token, args->sequence,
                          registered ? OUTCOME_OK : OUTCOME_AGAIN);

    group_fill_delta(leader->group, args->known_revision, &filter,
                     &result->delta);
    leader_own_delta(leader, &result->delta);
    if (!registered || result->delta.more || holder->denied) {
        return;
    }
    leader_fill_quotas(leader, holder, args, result);
    leader_fill_relays(leader, holder, args, result);
    result->lease_us = (uint64_t)leader->params.lease_us;
    holder->granted_until_us =
        leader->now_us + leader_get_lease_bound_us(leader);
}

// Answers a lease renewal. An entry that claims a revision which this group
// never had is not served: its state is not of this history.
void
leader_take_renew(struct leader *leader, uint64_t token,
                  const struct ck_renew_args *args)
{
    if (!leader->is_active) {
        (void)leader_add_result(leader, token, args->sequence,
                                OUTCOME_NOT_LEADER);
        return;
    }
    if (!leader->has_quorum ||
        args->known_revision > group_get_revision(leader->group)) {
        (void)leader_add_result(leader, token, args->sequence,
                                OUTCOME_UNAVAILABLE);
        return;
    }
    struct leader_holder *holder = leader_see_daemon(leader, args);
    leader_confirm(leader, holder, args->daemon.incarnation,
                   args->confirmed.confirmed_val,
                   args->confirmed.confirmed_len);
    leader_take_suspicions(leader, args->daemon.vm, args);
    leader_grant(leader, token, holder, args);
}

// Counts the databases whose holders drop what is in flight.
static u_int
leader_list_revocations(const struct leader *leader,
                        struct ck_revocation *items)
{
    u_int count = 0;

    for (const struct leader_database *db = leader->databases; db != NULL;
         db = db->next) {
        if (db->phase != LEADER_REVOKING || !db->is_hard) {
            continue;
        }
        const struct ck_database *database =
            group_find_database(leader->group, db->name);
        if (database == NULL) {
            continue;
        }
        if (items != NULL) {
            items[count].database = db->name;
            items[count].term = database->term;
        }
        count++;
    }
    return count;
}

static const struct ck_notify_args *
leader_make_notice(struct leader *leader)
{
    struct leader_actions *actions = leader->actions;
    struct ck_notify_args *args =
        leader_own(actions, xcalloc(1, sizeof(*args)));
    u_int count = leader_list_revocations(leader, NULL);

    args->group = (char *)(uintptr_t)group_get_name(leader->group);
    args->leader_term = leader->leader_term;
    args->revision = group_get_revision(leader->group);
    args->revoked.revoked_val =
        leader_own(actions, xcalloc(count, sizeof(struct ck_revocation)));
    args->revoked.revoked_len =
        leader_list_revocations(leader, args->revoked.revoked_val);
    return args;
}

// Tells one holder to renew now, and which terms have ended.
void
leader_notify(struct leader *leader, struct leader_holder *holder)
{
    if (!leader->has_quorum) {
        return;
    }
    if (holder->notifying) {
        holder->notify_again = true;
        return;
    }
    holder->notify_again = false;
    holder->notifying = true;
    const struct ck_notify_args *args = leader_make_notice(leader);
    struct leader_action *action =
        leader_add_action(leader, LEADER_ACTION_NOTIFY);
    action->notify.daemon = &holder->daemon;
    action->notify.args = args;
}

// Tells every holder of a lease that there is a newer revision.
void
leader_notify_all(struct leader *leader)
{
    leader->publish_soon = false;
    leader->publish_now = false;
    for (struct leader_holder *holder = leader->holders; holder != NULL;
         holder = holder->next) {
        if (leader_is_live(leader, holder)) {
            leader_notify(leader, holder);
        }
    }
}

// Takes the answer to a notification, or its failure.
void
leader_take_notified(struct leader *leader, const char *vm,
                     uint64_t incarnation,
                     const struct ck_notify_result *result)
{
    struct leader_holder *holder = leader_find_holder(leader, vm);

    if (holder == NULL) {
        return;
    }
    bool again = holder->notify_again;
    holder->notifying = false;
    if (again && leader_is_live(leader, holder)) {
        leader_notify(leader, holder);
    }
    if (result != NULL && result->outcome == OUTCOME_OK &&
        holder->daemon.incarnation == incarnation &&
        result->daemon.incarnation == incarnation) {
        leader_confirm(leader, holder, incarnation,
                       result->confirmed.confirmed_val,
                       result->confirmed.confirmed_len);
    }
}

// Proposes to forget the daemons that were silent for too long.
void
leader_expire_holders(struct leader *leader)
{
    for (struct leader_holder *holder = leader->holders; holder != NULL;
         holder = holder->next) {
        if (holder->proposed || leader_is_live(leader, holder) ||
            leader->now_us - holder->last_seen_us <
                leader->params.daemon_expiry_us ||
            group_find_daemon(leader->group, holder->daemon.vm) == NULL) {
            continue;
        }
        struct ck_change change = {.kind = CK_CHANGE_DAEMON_EXPIRE};
        change.ck_change_u.daemon = holder->daemon;
        holder->proposed = true;
        leader_propose(leader, &change, holder->daemon.vm, LEADER_REPLY_NONE,
                       0);
    }
}
