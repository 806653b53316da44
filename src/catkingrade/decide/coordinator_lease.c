#include <stdlib.h>
#include <string.h>

#include "catkingrade/decide/coordinator_private.h"
#include "catkingrade/kernel/memory.h"
#include "catkingrade/kernel/outcome.h"
#include "catkingrade/rpc/codec.h"

#define COORDINATOR_PPM_PER_UNIT 1000000
#define COORDINATOR_ROLE_ENTRY   1U

// Returns how long after its receipt a renewal may keep a lease alive here:
// the lease and twice the bound on the drift of one clock, for the entry's
// may be slow while this one is fast.
int64_t
coordinator_get_lease_bound_us(const struct leader *leader)
{
    int64_t lease_us = leader->params.lease_us;

    return lease_us +
           2 * lease_us * (int64_t)leader->params.drift_ppm /
               COORDINATOR_PPM_PER_UNIT +
           1;
}

// Returns the holder of a VM, or NULL.
struct coordinator_holder *
coordinator_find_holder(const struct leader *leader, const char *vm)
{
    return group_index_get(leader->index, COORDINATOR_KEY_HOLDER, vm);
}

// Returns whether the holder's lease may still be valid.
bool
coordinator_is_live(const struct leader *leader,
                    const struct coordinator_holder *holder)
{
    return holder->granted_until_us > leader->now_us;
}

// Returns whether the daemon carries callers' traffic.
bool
coordinator_is_entry(const struct coordinator_holder *holder)
{
    return (holder->daemon.roles & COORDINATOR_ROLE_ENTRY) != 0;
}

// Counts the entries whose lease may still be valid.
size_t
coordinator_count_live(const struct leader *leader)
{
    size_t count = 0;

    for (const struct coordinator_holder *holder = leader->holders;
         holder != NULL; holder = holder->next) {
        bool counts = coordinator_is_entry(holder) &&
                      coordinator_is_live(leader, holder);
        count += counts ? 1 : 0;
    }
    return count;
}

static struct coordinator_holder *
coordinator_add_holder(struct leader *leader, const struct ck_daemon *daemon)
{
    struct coordinator_holder *holder = xcalloc(1, sizeof(*holder));

    codec_copy((xdrproc_t)xdr_ck_daemon, daemon, &holder->daemon,
               sizeof(holder->daemon));
    holder->last_seen_us = leader->now_us;
    holder->next = leader->holders;
    leader->holders = holder;
    holder->number = leader->holders_count++;
    group_index_put(leader->index, COORDINATOR_KEY_HOLDER, daemon->vm, holder);
    return holder;
}

static bool
coordinator_load_holder(void *data, const struct ck_daemon *daemon)
{
    struct leader *leader = data;
    struct coordinator_holder *holder = coordinator_add_holder(leader, daemon);

    holder->granted_until_us =
        leader->elected_us + coordinator_get_lease_bound_us(leader);
    return true;
}

// Takes every registered daemon as one to whom the leader before may have
// granted a lease until just now.
void
coordinator_load_holders(struct leader *leader)
{
    group_visit_daemons(leader->group, coordinator_load_holder, leader);
}

// Frees all holders.
void
coordinator_free_holders(struct leader *leader)
{
    while (leader->holders != NULL) {
        struct coordinator_holder *holder = leader->holders;
        leader->holders = holder->next;
        codec_free((xdrproc_t)xdr_ck_daemon, &holder->daemon);
        free(holder);
    }
    leader->holders_count = 0;
}

// Returns whether two records of a VM's daemon say the same.
static bool
coordinator_is_same_daemon(const struct ck_daemon *left,
                           const struct ck_daemon *right)
{
    return left->incarnation == right->incarnation &&
           left->port == right->port && left->roles == right->roles &&
           strcmp(left->host, right->host) == 0 &&
           strcmp(left->failure_domain, right->failure_domain) == 0;
}

static bool
coordinator_is_registered(const struct leader *leader,
                          const struct ck_daemon *daemon)
{
    const struct ck_daemon *known =
        group_find_daemon(leader->group, daemon->vm);

    return known != NULL && coordinator_is_same_daemon(known, daemon);
}

// Takes a daemon's new incarnation or address. The lease of the incarnation
// before still counts until it runs out.
static void
coordinator_update_holder(struct leader *leader,
                          struct coordinator_holder *holder,
                          const struct ck_daemon *daemon)
{
    if (coordinator_is_same_daemon(&holder->daemon, daemon)) {
        return;
    }
    if (holder->daemon.incarnation != daemon->incarnation) {
        if (holder->granted_until_us > holder->previous_until_us) {
            holder->previous_until_us = holder->granted_until_us;
        }
        holder->granted_until_us = 0;
        holder->denied = false;
    }
    codec_free((xdrproc_t)xdr_ck_daemon, &holder->daemon);
    codec_copy((xdrproc_t)xdr_ck_daemon, daemon, &holder->daemon,
               sizeof(holder->daemon));
    coordinator_update_relay_entries(leader, holder);
}

static struct coordinator_holder *
coordinator_record_renewal(struct leader *leader,
                           const struct ck_renew_args *args)
{
    struct coordinator_holder *holder =
        coordinator_find_holder(leader, args->daemon.vm);

    if (holder == NULL) {
        holder = coordinator_add_holder(leader, &args->daemon);
    }
    coordinator_update_holder(leader, holder, &args->daemon);
    holder->last_seen_us = leader->now_us;
    holder->known_revision = args->known_revision;
    holder->open_requests = args->open_requests;
    if (!coordinator_is_registered(leader, &args->daemon) &&
        !holder->proposed) {
        struct ck_change change = {.kind = CK_CHANGE_DAEMON};
        change.ck_change_u.daemon = args->daemon;
        holder->proposed = true;
        coordinator_propose(leader, &change, args->daemon.vm,
                            COORDINATOR_REPLY_NONE, 0);
    }
    return holder;
}

static struct ck_renew_result *
coordinator_add_renew_reply(struct leader *leader, uint64_t token,
                            uint64_t sequence, int outcome)
{
    struct ck_renew_result *result =
        coordinator_actions_own(leader->actions, xcalloc(1, sizeof(*result)));

    result->outcome = outcome;
    result->sequence = sequence;
    result->leader_host = (char *)(uintptr_t) "";
    result->leader_term = leader->leader_term;
    struct coordinator_action *action =
        coordinator_add_action(leader, COORDINATOR_ACTION_REPLY_RENEW);
    action->token = token;
    action->renew = result;
    return result;
}

// Gives the lists of a delta to the list of actions.
static void
coordinator_actions_own_delta(struct leader *leader,
                              struct ck_view_delta *delta)
{
    struct coordinator_actions *actions = leader->actions;

    (void)coordinator_actions_own(actions, delta->customers.customers_val);
    (void)coordinator_actions_own(
        actions, delta->customers_removed.customers_removed_val);
    (void)coordinator_actions_own(actions, delta->databases.databases_val);
    (void)coordinator_actions_own(
        actions, delta->databases_removed.databases_removed_val);
    (void)coordinator_actions_own(actions, delta->declaration.declaration_val);
}

// Answers a renewal with what the entry lacks. The lease comes only with an
// answer that brings it up to the present revision, so that it never covers
// a term that was superseded before.
static void
coordinator_reply_renewal(struct leader *leader, uint64_t token,
                          struct coordinator_holder *holder,
                          const struct ck_renew_args *args)
{
    struct group_delta_filter filter = {
        .max_size_bytes = leader->params.delta_max_size_bytes};
    bool registered = coordinator_is_registered(leader, &args->daemon);
    struct ck_renew_result *result =
        coordinator_add_renew_reply(leader, token, args->sequence,
                                    registered ? OUTCOME_OK : OUTCOME_AGAIN);

    group_fill_delta(leader->group, args->known_revision, &filter,
                     &result->delta);
    coordinator_actions_own_delta(leader, &result->delta);
    if (!registered || result->delta.more || holder->denied) {
        return;
    }
    coordinator_fill_quotas(leader, holder, args, result);
    coordinator_fill_relays(leader, holder, args, result);
    result->lease_us = (uint64_t)leader->params.lease_us;
    holder->granted_until_us =
        leader->now_us + coordinator_get_lease_bound_us(leader);
}

// Answers a lease renewal. An entry that claims a revision which this group
// never had is not served: its state is not of this history.
void
coordinator_handle_renewal(struct leader *leader, uint64_t token,
                           const struct ck_renew_args *args)
{
    if (!leader->is_active) {
        (void)coordinator_add_renew_reply(leader, token, args->sequence,
                                          OUTCOME_NOT_LEADER);
        return;
    }
    if (!leader->has_quorum ||
        args->known_revision > group_get_revision(leader->group)) {
        (void)coordinator_add_renew_reply(leader, token, args->sequence,
                                          OUTCOME_UNAVAILABLE);
        return;
    }
    struct coordinator_holder *holder =
        coordinator_record_renewal(leader, args);
    coordinator_handle_confirmations(leader, holder, args->daemon.incarnation,
                                     args->confirmed.confirmed_val,
                                     args->confirmed.confirmed_len);
    coordinator_handle_suspicions(leader, args->daemon.vm, args);
    coordinator_reply_renewal(leader, token, holder, args);
}

// Counts the databases whose holders drop what is in flight.
static u_int
coordinator_list_revocations(const struct leader *leader,
                             struct ck_revocation *items)
{
    u_int count = 0;

    for (const struct coordinator_database *db = leader->databases; db != NULL;
         db = db->next) {
        if (db->phase != COORDINATOR_PHASE_REVOKING || !db->is_grace_over) {
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
coordinator_build_notification(struct leader *leader)
{
    struct coordinator_actions *actions = leader->actions;
    struct ck_notify_args *args =
        coordinator_actions_own(actions, xcalloc(1, sizeof(*args)));
    u_int count = coordinator_list_revocations(leader, NULL);

    args->group = (char *)(uintptr_t)group_get_name(leader->group);
    args->leader_term = leader->leader_term;
    args->revision = group_get_revision(leader->group);
    args->revoked.revoked_val = coordinator_actions_own(
        actions, xcalloc(count, sizeof(struct ck_revocation)));
    args->revoked.revoked_len =
        coordinator_list_revocations(leader, args->revoked.revoked_val);
    return args;
}

// Tells one holder to renew now, and which terms have ended.
void
coordinator_notify(struct leader *leader, struct coordinator_holder *holder)
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
    const struct ck_notify_args *args = coordinator_build_notification(leader);
    struct coordinator_action *action =
        coordinator_add_action(leader, COORDINATOR_ACTION_NOTIFY);
    action->notify.daemon = &holder->daemon;
    action->notify.args = args;
}

// Tells every holder of a lease that there is a newer revision.
void
coordinator_notify_all(struct leader *leader)
{
    leader->publish_soon = false;
    leader->publish_now = false;
    for (struct coordinator_holder *holder = leader->holders; holder != NULL;
         holder = holder->next) {
        if (coordinator_is_live(leader, holder)) {
            coordinator_notify(leader, holder);
        }
    }
}

// Takes the answer to a notification, or its failure.
void
coordinator_handle_notify_result(struct leader *leader, const char *vm,
                                 uint64_t incarnation,
                                 const struct ck_notify_result *result)
{
    struct coordinator_holder *holder = coordinator_find_holder(leader, vm);

    if (holder == NULL) {
        return;
    }
    bool again = holder->notify_again;
    holder->notifying = false;
    if (again && coordinator_is_live(leader, holder)) {
        coordinator_notify(leader, holder);
    }
    if (result != NULL && result->outcome == OUTCOME_OK &&
        holder->daemon.incarnation == incarnation &&
        result->daemon.incarnation == incarnation) {
        coordinator_handle_confirmations(leader, holder, incarnation,
                                         result->confirmed.confirmed_val,
                                         result->confirmed.confirmed_len);
    }
}

// Proposes to forget the daemons that were silent for too long.
void
coordinator_expire_holders(struct leader *leader)
{
    for (struct coordinator_holder *holder = leader->holders; holder != NULL;
         holder = holder->next) {
        if (holder->proposed || coordinator_is_live(leader, holder) ||
            leader->now_us - holder->last_seen_us <
                leader->params.daemon_expiry_us ||
            group_find_daemon(leader->group, holder->daemon.vm) == NULL) {
            continue;
        }
        struct ck_change change = {.kind = CK_CHANGE_DAEMON_EXPIRE};
        change.ck_change_u.daemon = holder->daemon;
        holder->proposed = true;
        coordinator_propose(leader, &change, holder->daemon.vm,
                            COORDINATOR_REPLY_NONE, 0);
    }
}
