// Leases: which daemons hold one, their renewals and notifications, and the
// expiry of daemons.

#include <stdlib.h>
#include <string.h>

#include "catkingrade/decide/coordinator/coordinator_private.h"
#include "catkingrade/kernel/memory.h"
#include "catkingrade/kernel/outcome.h"
#include "catkingrade/rpc/codec.h"

#define COORDINATOR_PPM_PER_UNIT 1000000
#define COORDINATOR_ROLE_ENTRY   1U
// An entry that is silent for this many leases cannot be a relay any more.
#define COORDINATOR_CANDIDATE_SILENCE_LEASES 3
// A change that is not urgent is published this time after the last one,
// multiplied by the number of holders.
#define COORDINATOR_PUBLISH_INTERVAL_PER_HOLDER_US 1000
// And by this for each object that was published: at a start, when all
// databases change, entries' links carry the changes of the last publication
// before the next one.
#define COORDINATOR_PUBLISH_INTERVAL_PER_OBJECT_US 1000
// But not longer than this, so that a declaration is in force in time.
#define COORDINATOR_PUBLISH_MAX_INTERVAL_US 2000000

// Returns the maximum lifetime, on the coordinator's clock, of a lease from
// the receipt of its renewal: the lease plus twice the bound on the drift of
// one clock, because the entry's clock may be slow while the coordinator's is
// fast.
int64_t
coordinator_get_lease_bound_us(const struct coordinator *coordinator)
{
    int64_t lease_us = coordinator->params.lease_us;

    return lease_us +
           2 * lease_us * (int64_t)coordinator->params.drift_ppm /
               COORDINATOR_PPM_PER_UNIT +
           1;
}

// Returns the lease holder on a VM, or NULL if there is none.
struct coordinator_holder *
coordinator_find_holder(const struct coordinator *coordinator, const char *vm)
{
    return group_index_get(coordinator->index, COORDINATOR_KEY_HOLDER, vm);
}

// Returns until when a term may be used under the lease of this incarnation.
int64_t
coordinator_get_term_until_us(const struct coordinator_holder *holder)
{
    return holder->is_returned ? 0 : holder->granted_until_us;
}

// Returns whether the holder's lease may still be valid.
bool
coordinator_has_live_lease(const struct coordinator *coordinator,
                           const struct coordinator_holder *holder)
{
    return coordinator_get_term_until_us(holder) > coordinator->now_us;
}

// Returns whether the holder may use the quotas of this incarnation's lease.
bool
coordinator_has_quota(const struct coordinator *coordinator,
                      const struct coordinator_holder *holder)
{
    return holder->granted_until_us > coordinator->now_us;
}

// Returns whether quotas of earlier incarnations of the holder may be in use.
bool
coordinator_has_previous_quota(const struct coordinator *coordinator,
                               const struct coordinator_holder *holder)
{
    return holder->previous_quota_until_us > coordinator->now_us;
}

// Returns whether a lease of the holder's daemon may still be valid: of this
// incarnation, or of one from before a restart.
bool
coordinator_has_any_lease(const struct coordinator *coordinator,
                          const struct coordinator_holder *holder)
{
    return coordinator_has_live_lease(coordinator, holder) ||
           holder->previous_until_us > coordinator->now_us;
}

// Returns whether the daemon is an entry, which serves client traffic.
bool
coordinator_is_entry(const struct coordinator_holder *holder)
{
    return (holder->daemon.roles & COORDINATOR_ROLE_ENTRY) != 0;
}

// Counts the entries whose lease may still be valid.
size_t
coordinator_count_leased_entries(const struct coordinator *coordinator)
{
    size_t count = 0;

    for (const struct coordinator_holder *holder = coordinator->holders;
         holder != NULL; holder = holder->next) {
        bool counts = coordinator_is_entry(holder) &&
                      coordinator_has_live_lease(coordinator, holder);
        count += counts ? 1 : 0;
    }
    return count;
}

static struct coordinator_holder *
coordinator_add_holder(struct coordinator *coordinator,
                       const struct ck_daemon *daemon)
{
    struct coordinator_holder *holder = xcalloc(1, sizeof(*holder));

    codec_copy((xdrproc_t)xdr_ck_daemon, daemon, &holder->daemon,
               sizeof(holder->daemon));
    holder->last_seen_us = coordinator->now_us;
    holder->relay_state = COORDINATOR_RELAY_STATE_UNKNOWN;
    holder->next = coordinator->holders;
    coordinator->holders = holder;
    holder->index = coordinator->holders_count++;
    group_index_put(coordinator->index, COORDINATOR_KEY_HOLDER, daemon->vm,
                    holder);
    coordinator_add_holder_shares(coordinator, holder);
    return holder;
}

// Updates whether a holder may be a relay.
static void
coordinator_update_candidate(struct coordinator *coordinator,
                             struct coordinator_holder *holder)
{
    int64_t silent_us = coordinator->now_us - holder->last_seen_us;
    bool is_candidate = coordinator_is_entry(holder) &&
                        holder->is_registered &&
                        silent_us < COORDINATOR_CANDIDATE_SILENCE_LEASES *
                                        coordinator->params.lease_us;

    if (is_candidate == holder->is_candidate) {
        return;
    }
    holder->is_candidate = is_candidate;
    holder->candidate_us = coordinator->now_us;
    coordinator->candidates_version++;
}

// Updates which holders may be relays, and which relays run statements, as
// leases end with the time.
void
coordinator_update_candidates(struct coordinator *coordinator)
{
    for (struct coordinator_holder *holder = coordinator->holders;
         holder != NULL; holder = holder->next) {
        bool has_lease = coordinator_has_any_lease(coordinator, holder);
        coordinator_update_candidate(coordinator, holder);
        if (has_lease != holder->had_lease) {
            holder->had_lease = has_lease;
            coordinator_check_relay(coordinator, holder);
        }
    }
}

static void
coordinator_update_registration(struct coordinator *coordinator,
                                struct coordinator_holder *holder)
{
    bool is_registered =
        group_find_daemon(coordinator->group, holder->daemon.vm) != NULL;

    if (is_registered == holder->is_registered) {
        return;
    }
    holder->is_registered = is_registered;
    coordinator->candidates_version++;
    for (size_t i = 0; i < holder->shares_count; i++) {
        holder->shares[i]->quota->is_stale = true;
    }
}

// Publishes the group state at once if a term has ended: no lease may be
// granted any more with the state before it.
static void
coordinator_sync_term(struct coordinator *coordinator, const char *name)
{
    const struct ck_database *database =
        group_find_database(coordinator->group, name);
    struct coordinator_quota_set *set =
        coordinator_get_or_add_quota_set(coordinator, name);

    if (database == NULL) {
        return;
    }
    if (database->superseding ||
        (database->term != set->term && set->term > 0)) {
        coordinator->is_binding_due = true;
        (void)coordinator_update_publication(coordinator);
    }
    set->term = database->term;
}

static void
coordinator_sync_change(void *data, bool is_daemon, const char *name)
{
    struct coordinator *coordinator = data;

    if (!is_daemon) {
        coordinator_sync_term(coordinator, name);
        coordinator_sync_quotas(coordinator, name);
        coordinator_sync_relays(coordinator, name);
        return;
    }
    struct coordinator_holder *holder =
        coordinator_find_holder(coordinator, name);
    if (holder != NULL) {
        coordinator_update_registration(coordinator, holder);
    }
}

// Takes over what has changed in the group state: databases with their
// upstreams, and registered daemons.
void
coordinator_sync_group(struct coordinator *coordinator)
{
    const struct group_state *group = coordinator->group;
    uint64_t revision = group_get_revision(group);
    size_t daemons_count = group_get_daemons_count(group);

    if (revision != coordinator->synced_revision) {
        group_visit_changes(group, coordinator->synced_revision,
                            coordinator_sync_change, coordinator);
        coordinator->synced_revision = revision;
    }
    if (daemons_count < coordinator->synced_daemons_count) {
        for (struct coordinator_holder *holder = coordinator->holders;
             holder != NULL; holder = holder->next) {
            coordinator_update_registration(coordinator, holder);
        }
    }
    coordinator->synced_daemons_count = daemons_count;
}

static bool
coordinator_load_holder(void *data, const struct ck_daemon *daemon)
{
    struct coordinator *coordinator = data;
    struct coordinator_holder *holder =
        coordinator_add_holder(coordinator, daemon);

    holder->granted_until_us =
        coordinator->elected_us + coordinator_get_lease_bound_us(coordinator);
    holder->is_registered = true;
    holder->had_lease = true;
    holder->is_candidate = coordinator_is_entry(holder);
    holder->candidate_us = INT64_MIN / 2;
    return true;
}

// Adds a holder for every registered daemon. The previous leader may have
// granted each of them a lease up to the moment of the election.
void
coordinator_load_holders(struct coordinator *coordinator)
{
    group_visit_daemons(coordinator->group, coordinator_load_holder,
                        coordinator);
}

void
coordinator_free_holders(struct coordinator *coordinator)
{
    while (coordinator->holders != NULL) {
        struct coordinator_holder *holder = coordinator->holders;
        coordinator->holders = holder->next;
        codec_free((xdrproc_t)xdr_ck_daemon, &holder->daemon);
        free(holder->shares);
        free(holder);
    }
    coordinator->holders_count = 0;
}

// Returns whether two records of a daemon are equal.
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
coordinator_is_registered(const struct coordinator *coordinator,
                          const struct ck_daemon *daemon)
{
    const struct ck_daemon *known =
        group_find_daemon(coordinator->group, daemon->vm);

    return known != NULL && coordinator_is_same_daemon(known, daemon);
}

// Returns whether the group state records that this VM may hold a lease: the
// VM is registered in the same roles, perhaps with an earlier incarnation or
// another address. A later leader then waits until the lease is over. So a
// daemon that restarts gets its lease without waiting for its registration.
static bool
coordinator_may_be_granted(const struct coordinator *coordinator,
                           const struct ck_daemon *daemon)
{
    const struct ck_daemon *known =
        group_find_daemon(coordinator->group, daemon->vm);

    return known != NULL && known->roles == daemon->roles;
}

// Has the revocations wait for the next incarnation of a holder too: the
// previous leader may have granted it a lease before its registration was in
// the log. Called before the holder gets that incarnation.
static void
coordinator_extend_pending_leases(struct coordinator *coordinator,
                                  const struct coordinator_holder *holder,
                                  uint64_t incarnation)
{
    int64_t until_us = coordinator_get_term_until_us(holder);

    for (struct coordinator_database *db = coordinator->revocations;
         db != NULL; db = db->next_revoked) {
        for (size_t i = 0; i < db->pending_leases_count; i++) {
            struct coordinator_pending_lease *pending = &db->pending_leases[i];
            if (pending->holder != holder || pending->confirmed ||
                pending->incarnation != holder->daemon.incarnation) {
                continue;
            }
            pending->incarnation = incarnation;
            if (until_us > pending->previous_until_us) {
                pending->previous_until_us = until_us;
            }
        }
    }
}

// Updates a holder with a daemon's new incarnation or address. The lease of
// the previous incarnation counts until it expires.
static void
coordinator_update_holder(struct coordinator *coordinator,
                          struct coordinator_holder *holder,
                          const struct ck_daemon *daemon)
{
    if (coordinator_is_same_daemon(&holder->daemon, daemon)) {
        return;
    }
    if (holder->daemon.incarnation != daemon->incarnation) {
        if (!holder->has_renewed) {
            coordinator_extend_pending_leases(coordinator, holder,
                                              daemon->incarnation);
        }
        coordinator_keep_pending_leases(coordinator, holder);
        if (holder->granted_until_us > holder->previous_quota_until_us) {
            holder->previous_quota_until_us = holder->granted_until_us;
        }
        if (coordinator_get_term_until_us(holder) >
            holder->previous_until_us) {
            holder->previous_until_us = holder->granted_until_us;
        }
        holder->granted_until_us = 0;
        holder->is_returned = false;
        coordinator_restart_shares(coordinator, holder);
    }
    codec_free((xdrproc_t)xdr_ck_daemon, &holder->daemon);
    codec_copy((xdrproc_t)xdr_ck_daemon, daemon, &holder->daemon,
               sizeof(holder->daemon));
    coordinator_update_relay_entries(coordinator, holder);
}

// Returns the holder that sends a renewal, with the daemon record of a
// complete one. Returns NULL if the renewal continues reports that this
// coordinator does not have.
static struct coordinator_holder *
coordinator_identify_holder(struct coordinator *coordinator,
                            const struct ck_renew_args *args)
{
    struct coordinator_holder *holder =
        coordinator_find_holder(coordinator, args->daemon.vm);

    if (args->reported_term != 0) {
        bool known = holder != NULL && holder->has_renewed &&
                     holder->daemon.incarnation == args->daemon.incarnation &&
                     args->reported_term == coordinator->leader_term;
        return known ? holder : NULL;
    }
    if (holder == NULL) {
        holder = coordinator_add_holder(coordinator, &args->daemon);
        coordinator_update_registration(coordinator, holder);
    }
    coordinator_update_holder(coordinator, holder, &args->daemon);
    return holder;
}

static void
coordinator_record_renewal(struct coordinator *coordinator,
                           struct coordinator_holder *holder,
                           const struct ck_renew_args *args)
{
    holder->last_seen_us = coordinator->now_us;
    holder->known_revision = args->known_revision;
    holder->open_requests = args->open_requests;
    if (!coordinator_is_registered(coordinator, &holder->daemon) &&
        !holder->is_proposed) {
        struct ck_change change = {.kind = CK_CHANGE_DAEMON};
        change.ck_change_u.daemon = holder->daemon;
        holder->is_proposed = true;
        coordinator_propose(coordinator, &change, holder->daemon.vm,
                            COORDINATOR_REPLY_NONE, 0);
    }
}

static struct ck_renew_result *
coordinator_add_renew_reply(struct coordinator *coordinator, uint64_t token,
                            uint64_t sequence, int outcome)
{
    struct ck_renew_result *result = coordinator_actions_own(
        coordinator->actions, xcalloc(1, sizeof(*result)));

    result->outcome = outcome;
    result->sequence = sequence;
    result->leader_host = (char *)(uintptr_t) "";
    result->leader_term = coordinator->leader_term;
    struct coordinator_action *action =
        coordinator_add_action(coordinator, COORDINATOR_ACTION_REPLY_RENEW);
    action->token = token;
    action->renew = result;
    return result;
}

// Handles the return of a lease: the entry acknowledges no write and sends no
// read to a primary any more, so no change of primary waits for it.
static void
coordinator_handle_return(struct coordinator *coordinator, uint64_t token,
                          struct coordinator_holder *holder,
                          const struct ck_renew_args *args)
{
    holder->is_returned = true;
    coordinator_check_relay(coordinator, holder);
    (void)coordinator_add_renew_reply(coordinator, token, args->sequence,
                                      OUTCOME_OK);
    coordinator_end_pending_leases(coordinator, holder);
}

// Returns whether an entry gets a lease with a reply. It must bring the entry
// up to the revision before which a term has ended, so that a lease never
// covers a term that was superseded before. Other changes may be left, if the
// entry's quotas are those that this leader knows.
static bool
coordinator_is_lease_due(const struct coordinator *coordinator,
                         const struct ck_renew_args *args,
                         const struct ck_packed_delta *delta)
{
    return !delta->more ||
           (args->reported_term != 0 &&
            delta->to_revision >= coordinator->binding_revision);
}

// Fills the changes after a revision into a reply, which owns the data: the
// step may change the publication before the reply is sent.
static void
coordinator_fill_delta(struct coordinator *coordinator, uint64_t from_revision,
                       struct ck_packed_delta *delta)
{
    publication_fill_delta(coordinator->publication, from_revision,
                           coordinator->params.delta_max_size_bytes, delta);
    if (delta->data.data_len > 0) {
        delta->data.data_val = coordinator_actions_own(
            coordinator->actions,
            xmemdupz(delta->data.data_val, delta->data.data_len));
    }
}

// Replies to a renewal with the changes that the entry does not have yet, and
// grants the lease. Quotas and relays may name upstreams of changes that are
// left, so they come with the last of them.
static void
coordinator_reply_renewal(struct coordinator *coordinator, uint64_t token,
                          struct coordinator_holder *holder,
                          const struct ck_renew_args *args)
{
    bool recorded = coordinator_may_be_granted(coordinator, &holder->daemon);
    struct ck_renew_result *result =
        coordinator_add_renew_reply(coordinator, token, args->sequence,
                                    recorded ? OUTCOME_OK : OUTCOME_AGAIN);

    if (args->known_revision >
        publication_get_revision(coordinator->publication)) {
        (void)coordinator_update_publication(coordinator);
    }
    coordinator_fill_delta(coordinator, args->known_revision, &result->delta);
    if (!recorded || holder->is_returned ||
        !coordinator_is_lease_due(coordinator, args, &result->delta)) {
        return;
    }
    if (coordinator_is_lease_denied(coordinator, holder)) {
        coordinator_notify(coordinator, holder);
        return;
    }
    if (result->delta.more) {
        result->relays_version = args->relays_version;
    }
    else {
        coordinator_fill_quotas(coordinator, holder, args, result);
        coordinator_fill_relays(coordinator, holder, args, result);
    }
    result->lease_us = (uint64_t)coordinator->params.lease_us;
    holder->sent_revision = result->delta.to_revision;
    holder->granted_until_us =
        coordinator->now_us + coordinator_get_lease_bound_us(coordinator);
}

// Has the lists of relays checked if the holder has begun or ceased to run
// statements of others: it is denied a lease, or lacks connections.
static void
coordinator_check_relay_state(struct coordinator *coordinator,
                              struct coordinator_holder *holder)
{
    uint32_t state = coordinator_is_lease_denied(coordinator, holder) ? 1 : 0;

    for (size_t i = 0; i < holder->shares_count; i++) {
        state += holder->shares[i]->held.connections == 0 ? 2 : 0;
    }
    if (state != holder->relay_state) {
        holder->relay_state = state;
        coordinator_check_relay(coordinator, holder);
    }
}

// Handles a lease renewal. An entry that reports a revision which this group
// never had is refused: its state comes from another history.
void
coordinator_handle_renewal(struct coordinator *coordinator, uint64_t token,
                           const struct ck_renew_args *args)
{
    if (!coordinator->is_active) {
        (void)coordinator_add_renew_reply(coordinator, token, args->sequence,
                                          OUTCOME_NOT_LEADER);
        return;
    }
    if (!coordinator->has_quorum ||
        args->known_revision > group_get_revision(coordinator->group)) {
        (void)coordinator_add_renew_reply(coordinator, token, args->sequence,
                                          OUTCOME_UNAVAILABLE);
        return;
    }
    struct coordinator_holder *holder =
        coordinator_identify_holder(coordinator, args);
    if (holder == NULL) {
        coordinator_add_renew_reply(coordinator, token, args->sequence,
                                    OUTCOME_AGAIN)
            ->report_wanted = true;
        return;
    }
    coordinator_record_renewal(coordinator, holder, args);
    coordinator_update_candidate(coordinator, holder);
    coordinator_run_relay_plans(coordinator);
    if (args->returned) {
        coordinator_handle_return(coordinator, token, holder, args);
        return;
    }
    coordinator_handle_confirmations(
        coordinator, holder, args->daemon.incarnation,
        args->confirmed.confirmed_val, args->confirmed.confirmed_len);
    coordinator_handle_suspicions(coordinator, args->daemon.vm, args);
    coordinator_record_reports(coordinator, holder, args);
    bool learned = coordinator_learn_quotas(coordinator);
    coordinator_reply_renewal(coordinator, token, holder, args);
    coordinator_check_relay_state(coordinator, holder);
    if (learned) {
        coordinator_notify_waiting(coordinator);
    }
}

// Lists the terms whose in-flight requests the holders must abort: once the
// time for them is over, until the next term is published. items may be NULL.
// Returns the number of terms.
static u_int
coordinator_list_revocations(const struct coordinator *coordinator,
                             struct ck_revocation *items)
{
    u_int count = 0;

    for (const struct coordinator_database *db = coordinator->revocations;
         db != NULL; db = db->next_revoked) {
        if (db->phase < COORDINATOR_PHASE_REVOKING || !db->is_grace_over) {
            continue;
        }
        const struct ck_database *database =
            group_find_database(coordinator->group, db->name);
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
coordinator_build_notification(struct coordinator *coordinator)
{
    struct coordinator_actions *actions = coordinator->actions;
    struct ck_notify_args *args =
        coordinator_actions_own(actions, xcalloc(1, sizeof(*args)));
    u_int count = coordinator_list_revocations(coordinator, NULL);

    args->group = (char *)(uintptr_t)group_get_name(coordinator->group);
    args->leader_term = coordinator->leader_term;
    args->revision = publication_get_revision(coordinator->publication);
    args->revoked.revoked_val = coordinator_actions_own(
        actions, xcalloc(count, sizeof(struct ck_revocation)));
    args->revoked.revoked_len =
        coordinator_list_revocations(coordinator, args->revoked.revoked_val);
    return args;
}

// Notifies one holder to renew at once, with the list of revoked terms. While
// a notification is in flight, another one follows when it has ended.
void
coordinator_notify(struct coordinator *coordinator,
                   struct coordinator_holder *holder)
{
    if (!coordinator->has_quorum) {
        return;
    }
    if (holder->is_notifying) {
        holder->notify_again = true;
        return;
    }
    holder->notify_again = false;
    holder->is_notifying = true;
    const struct ck_notify_args *args =
        coordinator_build_notification(coordinator);
    struct coordinator_action *action =
        coordinator_add_action(coordinator, COORDINATOR_ACTION_NOTIFY);
    action->notify.daemon = &holder->daemon;
    action->notify.args = args;
}

// Has the entry that gets a renewal reply renew after a time, unless it renews
// earlier anyway.
void
coordinator_hasten(struct ck_renew_result *result, uint64_t after_us)
{
    if (result->hasten_us == 0 || after_us < result->hasten_us) {
        result->hasten_us = after_us;
    }
}

// Publishes the group state as it is now, without a notification. Returns the
// number of objects that have changed.
size_t
coordinator_update_publication(struct coordinator *coordinator)
{
    size_t objects_count =
        publication_update(coordinator->publication, coordinator->group);

    if (coordinator->is_binding_due) {
        coordinator->is_binding_due = false;
        coordinator->binding_revision =
            publication_get_revision(coordinator->publication);
    }
    return objects_count;
}

// Returns how long changes that are not urgent wait after a publication.
static int64_t
coordinator_get_publish_interval_us(const struct coordinator *coordinator,
                                    size_t objects_count)
{
    int64_t interval_us =
        (int64_t)coordinator->holders_count *
            COORDINATOR_PUBLISH_INTERVAL_PER_HOLDER_US +
        (int64_t)objects_count * COORDINATOR_PUBLISH_INTERVAL_PER_OBJECT_US;

    return interval_us < COORDINATOR_PUBLISH_MAX_INTERVAL_US
               ? interval_us
               : COORDINATOR_PUBLISH_MAX_INTERVAL_US;
}

// Publishes the group state, and notifies the holders of a lease that do not
// have it. Further changes that are not urgent wait for a time that grows with
// the number of holders, as each of them renews for every publication.
void
coordinator_publish(struct coordinator *coordinator)
{
    size_t objects_count = coordinator_update_publication(coordinator);
    uint64_t revision = publication_get_revision(coordinator->publication);
    coordinator->publish_soon = false;
    coordinator->publish_now = false;
    coordinator->next_publish_us =
        coordinator->now_us +
        coordinator_get_publish_interval_us(coordinator, objects_count);
    for (struct coordinator_holder *holder = coordinator->holders;
         holder != NULL; holder = holder->next) {
        bool has_it = holder->has_renewed && holder->sent_revision >= revision;
        if (!has_it && coordinator_has_live_lease(coordinator, holder)) {
            coordinator_notify(coordinator, holder);
        }
    }
}

// Handles the reply to a notification; result is NULL if the notification
// failed.
void
coordinator_handle_notify_result(struct coordinator *coordinator,
                                 const char *vm, uint64_t incarnation,
                                 const struct ck_notify_result *result)
{
    struct coordinator_holder *holder =
        coordinator_find_holder(coordinator, vm);

    if (holder == NULL) {
        return;
    }
    if (result != NULL && result->outcome == OUTCOME_OK &&
        holder->daemon.incarnation == result->daemon.incarnation) {
        holder->last_seen_us = coordinator->now_us;
    }
    bool again = holder->notify_again;
    holder->is_notifying = false;
    if (again && coordinator_has_live_lease(coordinator, holder)) {
        coordinator_notify(coordinator, holder);
    }
    if (result != NULL && result->outcome == OUTCOME_OK &&
        holder->daemon.incarnation == incarnation &&
        result->daemon.incarnation == incarnation) {
        coordinator_handle_confirmations(coordinator, holder, incarnation,
                                         result->confirmed.confirmed_val,
                                         result->confirmed.confirmed_len);
    }
}

// Proposes the expiry of daemons that have not renewed for daemon_expiry_us.
void
coordinator_expire_daemons(struct coordinator *coordinator)
{
    for (struct coordinator_holder *holder = coordinator->holders;
         holder != NULL; holder = holder->next) {
        if (holder->is_proposed ||
            coordinator_has_live_lease(coordinator, holder) ||
            coordinator->now_us - holder->last_seen_us <
                coordinator->params.daemon_expiry_us ||
            group_find_daemon(coordinator->group, holder->daemon.vm) == NULL) {
            continue;
        }
        struct ck_change change = {.kind = CK_CHANGE_DAEMON_EXPIRE};
        change.ck_change_u.daemon = holder->daemon;
        holder->is_proposed = true;
        coordinator_propose(coordinator, &change, holder->daemon.vm,
                            COORDINATOR_REPLY_NONE, 0);
    }
}
