#include "catkingrade/decide/leaseholder/leaseholder.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "catkingrade/decide/group/publication.h"
#include "catkingrade/decide/leaseholder/leaseholder_private.h"
#include "catkingrade/decide/random.h"
#include "catkingrade/kernel/memory.h"
#include "catkingrade/kernel/outcome.h"
#include "catkingrade/rpc/codec.h"

// Consecutive redirects followed before the next voter is tried.
#define LEASEHOLDER_MAX_REDIRECTS     3
#define LEASEHOLDER_MAX_BACKOFF_SHIFT 4
#define LEASEHOLDER_PPM_PER_UNIT      1000000
// Without a lease, an entry whose voters answer "not leader" calls at least
// this many times per renewal interval, since a new Raft leader may be elected
// at any time.
#define LEASEHOLDER_UNLEASED_CALLS_PER_RENEWAL 8

// Minimum time between two early renewals that sessions with unknown keys ask
// for, so that such sessions cannot load the control VMs.
#define LEASEHOLDER_WANTED_INTERVAL_US 100000

// Returns a leaseholder without a lease. It sends its first renewal call at
// the first TICK. params must name at least one voter.
struct leaseholder *
leaseholder_create(const struct leaseholder_params *params)
{
    struct leaseholder *holder = xcalloc(1, sizeof(*holder));
    size_t size = params->voters_count * sizeof(*params->voters);

    INVARIANT(params->voters_count > 0);
    holder->params = *params;
    holder->params.group = xstrdup(params->group);
    codec_copy((xdrproc_t)xdr_ck_daemon, &params->daemon,
               &holder->params.daemon, sizeof(struct ck_daemon));
    holder->voters = xmalloc(size);
    memcpy(holder->voters, params->voters, size);
    holder->random = params->seed;
    holder->next_voter =
        random_below(&holder->random, (uint32_t)params->voters_count);
    holder->target = holder->voters[holder->next_voter];
    return holder;
}

void
leaseholder_destroy(struct leaseholder *holder)
{
    if (holder == NULL) {
        return;
    }
    leaseholder_free_reports(holder);
    publication_free_delta(&holder->delta);
    codec_free((xdrproc_t)xdr_ck_daemon, &holder->params.daemon);
    free((char *)(uintptr_t)holder->params.group);
    free(holder->voters);
    free(holder);
}

static struct leaseholder_action *
leaseholder_add_action(struct leaseholder_actions *actions,
                       enum leaseholder_action_kind kind)
{
    if (actions->count == actions->capacity) {
        actions->capacity = actions->capacity * 2 + 8;
        actions->items = xrealloc(actions->items,
                                  actions->capacity * sizeof(*actions->items));
    }
    struct leaseholder_action *action = &actions->items[actions->count++];
    memset(action, 0, sizeof(*action));
    action->kind = kind;
    return action;
}

static struct leaseholder_action *
leaseholder_find_action(const struct leaseholder_actions *actions,
                        enum leaseholder_action_kind kind)
{
    for (size_t i = 0; i < actions->count; i++) {
        if (actions->items[i].kind == kind) {
            return &actions->items[i];
        }
    }
    return NULL;
}

// Delivers the quotas that have changed, in one action. It is needed without
// any as well, if the relays have changed: it puts them in force.
static void
leaseholder_add_quotas(struct leaseholder *holder,
                       struct leaseholder_actions *actions)
{
    struct leaseholder_action *action =
        leaseholder_find_action(actions, LEASEHOLDER_ACTION_SET_QUOTAS);

    if (action == NULL) {
        action =
            leaseholder_add_action(actions, LEASEHOLDER_ACTION_SET_QUOTAS);
    }
    action->quotas.items = holder->changed_quotas;
    action->quotas.count = holder->changed_quotas_count;
}

static void
leaseholder_send(struct leaseholder *holder, int64_t now_us,
                 struct leaseholder_actions *actions)
{
    holder->sequence++;
    holder->in_flight = true;
    holder->sent_at_us = now_us;
    holder->renew_again = false;
    holder->last_wanted_us =
        holder->wanted_at_us != 0 ? now_us : holder->last_wanted_us;
    holder->wanted_at_us = 0;
    leaseholder_fill_args(holder, now_us);
    struct leaseholder_action *action =
        leaseholder_add_action(actions, LEASEHOLDER_ACTION_SEND_RENEW);
    action->send.address = holder->target;
    action->send.args = &holder->args;
    action->send.timeout_us = holder->params.call_timeout_us;
}

// Schedules a renewal for now, or for right after the result of the in-flight
// call. After a failed call the backoff stays in effect.
static void
leaseholder_renew_soon(struct leaseholder *holder, int64_t now_us)
{
    if (holder->in_flight) {
        holder->renew_again = true;
    }
    else if (holder->failures == 0 && holder->next_renew_us > now_us) {
        holder->next_renew_us = now_us;
    }
}

// Returns the upper limit of the delay before the next voter is called. The
// delay doubles with each consecutive failure up to renew_us. Its cap is lower
// while the entry has no lease and voters answer.
static int64_t
leaseholder_get_backoff_us(const struct leaseholder *holder, int64_t now_us,
                           bool answered)
{
    unsigned shift = holder->failures < LEASEHOLDER_MAX_BACKOFF_SHIFT
                         ? holder->failures
                         : LEASEHOLDER_MAX_BACKOFF_SHIFT;
    int64_t wait_us = holder->params.retry_us << shift;
    int64_t max_us = holder->params.renew_us;

    if (answered && holder->valid_until_us <= now_us) {
        max_us /= LEASEHOLDER_UNLEASED_CALLS_PER_RENEWAL;
    }
    return wait_us < max_us ? wait_us : max_us;
}

// Schedules a call to the next voter after a jittered delay. answered: the
// previous voter answered but is not the Raft leader.
static void
leaseholder_back_off(struct leaseholder *holder, int64_t now_us, bool answered)
{
    int64_t limit_us = leaseholder_get_backoff_us(holder, now_us, answered);

    holder->failures++;
    holder->redirects = 0;
    holder->next_voter =
        (holder->next_voter + 1) % holder->params.voters_count;
    holder->target = holder->voters[holder->next_voter];
    holder->next_renew_us =
        now_us + limit_us / 2 +
        random_below(&holder->random, (uint32_t)(limit_us / 2) + 1);
}

// Follows the leader address in a result, if there is one, at most
// LEASEHOLDER_MAX_REDIRECTS times in a row. Otherwise backs off.
static void
leaseholder_redirect(struct leaseholder *holder, int64_t now_us,
                     const struct ck_renew_result *result)
{
    bool has_hint = result->leader_host != NULL &&
                    result->leader_host[0] != '\0' && result->leader_port != 0;
    bool same = has_hint && result->leader_port == holder->target.port &&
                strcmp(result->leader_host, holder->target.host) == 0;

    if (!has_hint || same || holder->redirects >= LEASEHOLDER_MAX_REDIRECTS) {
        leaseholder_back_off(holder, now_us, true);
        return;
    }
    holder->redirects++;
    (void)snprintf(holder->target.host, sizeof(holder->target.host), "%s",
                   result->leader_host);
    holder->target.port = result->leader_port;
    holder->next_renew_us = now_us;
}

// Applies a view delta. Returns whether the entry's view is now at the delta's
// target revision. A delta that leads to an older revision, that starts at a
// revision the entry does not have yet, or that cannot be unpacked, is not
// applied.
static bool
leaseholder_apply_delta(struct leaseholder *holder,
                        const struct ck_packed_delta *packed,
                        struct leaseholder_actions *actions)
{
    if (packed->from_revision > holder->revision ||
        packed->to_revision < holder->revision) {
        return false;
    }
    if (packed->to_revision == holder->revision) {
        return true;
    }
    publication_free_delta(&holder->delta);
    if (publication_unpack_delta(packed, &holder->delta) != OUTCOME_OK) {
        return false;
    }
    leaseholder_add_action(actions, LEASEHOLDER_ACTION_APPLY_DELTA)->delta =
        &holder->delta;
    holder->revision = packed->to_revision;
    leaseholder_drop_superseded(holder, &holder->delta);
    return true;
}

// Extends the lease. The lease counts from the time at which the request was
// sent, less the assumed clock drift, so that it never ends later at the entry
// than at the coordinator.
static void
leaseholder_extend_lease(struct leaseholder *holder,
                         const struct ck_renew_result *result,
                         struct leaseholder_actions *actions)
{
    int64_t lease_us = (int64_t)result->lease_us;
    int64_t drift_us = lease_us * (int64_t)holder->params.drift_ppm /
                       LEASEHOLDER_PPM_PER_UNIT;
    int64_t until_us = holder->sent_at_us + lease_us - drift_us;

    if (until_us > holder->valid_until_us) {
        holder->valid_until_us = until_us;
        leaseholder_add_action(actions, LEASEHOLDER_ACTION_SET_LEASE)
            ->valid_until_us = until_us;
    }
}

// Delivers the relays that have changed, the entries that run this entry's
// statements. Returns whether there are any.
static bool
leaseholder_update_relays(struct leaseholder *holder,
                          const struct ck_renew_result *result,
                          struct leaseholder_actions *actions)
{
    if (result->relays_version == holder->args.relays_version) {
        return false;
    }
    holder->args.relays_version = result->relays_version;
    leaseholder_add_action(actions, LEASEHOLDER_ACTION_SET_RELAYS)->relays =
        result;
    return true;
}

static void
leaseholder_handle_grant(struct leaseholder *holder, int64_t now_us,
                         const struct ck_renew_result *result,
                         struct leaseholder_actions *actions)
{
    int64_t jitter_us = random_below(
        &holder->random, (uint32_t)(holder->params.renew_us / 8) + 1);
    bool has_relays = false;

    // Relays come first: a delta that cannot be applied ends the handling.
    if (result->lease_us > 0) {
        has_relays = leaseholder_update_relays(holder, result, actions);
    }
    if (!leaseholder_apply_delta(holder, &result->delta, actions)) {
        holder->redelivers_quotas = true;
        leaseholder_back_off(holder, now_us, false);
        return;
    }
    holder->failures = 0;
    holder->redirects = 0;
    holder->next_renew_us =
        holder->sent_at_us + holder->params.renew_us - jitter_us;
    if (result->outcome == OUTCOME_AGAIN) {
        holder->next_renew_us = now_us + holder->params.retry_us;
        return;
    }
    holder->is_hastened = result->hasten_us > 0;
    if (holder->is_hastened &&
        (int64_t)result->hasten_us < holder->params.renew_us) {
        holder->next_renew_us = now_us + (int64_t)result->hasten_us;
    }
    if (result->delta.more || holder->renew_again) {
        holder->next_renew_us = now_us;
    }
    if (result->lease_us > 0) {
        leaseholder_set_quotas(holder, result,
                               holder->args.reported_term == 0);
        if (holder->redelivers_quotas) {
            leaseholder_list_all_quotas(holder);
            has_relays = true;
        }
        if (has_relays || holder->changed_quotas_count > 0) {
            leaseholder_add_quotas(holder, actions);
        }
        leaseholder_extend_lease(holder, result, actions);
    }
}

// Handles the Raft leader's answer to the return of the lease.
static void
leaseholder_handle_returned(struct leaseholder *holder,
                            struct leaseholder_actions *actions)
{
    holder->is_returned = true;
    (void)leaseholder_add_action(actions, LEASEHOLDER_ACTION_RETURNED);
}

// Handles the result of a renewal call. A result of an earlier call is
// ignored. A result from a Raft leader with a lower term than one already
// received only makes the leaseholder call the next voter.
static void
leaseholder_handle_result(struct leaseholder *holder, int64_t now_us,
                          const struct ck_renew_result *result,
                          struct leaseholder_actions *actions)
{
    if (!holder->in_flight || result->sequence != holder->sequence) {
        return;
    }
    holder->in_flight = false;
    if (result->outcome == OUTCOME_NOT_LEADER) {
        leaseholder_redirect(holder, now_us, result);
        return;
    }
    if ((result->outcome != OUTCOME_OK && result->outcome != OUTCOME_AGAIN) ||
        result->leader_term < holder->leader_term) {
        leaseholder_back_off(holder, now_us, false);
        return;
    }
    holder->leader_term = result->leader_term;
    if (result->report_wanted) {
        leaseholder_report_all(holder);
        holder->next_renew_us = now_us;
        return;
    }
    leaseholder_acknowledge_reports(holder, result->leader_term);
    if (holder->is_returning) {
        leaseholder_handle_returned(holder, actions);
        return;
    }
    leaseholder_handle_grant(holder, now_us, result, actions);
}

// Makes the Raft leader that sent a notification the target of renewal calls.
// An in-flight call to another voter is abandoned and its result ignored.
static void
leaseholder_switch_target(struct leaseholder *holder, int64_t now_us,
                          const struct leaseholder_address *leader)
{
    bool same = leader->port == holder->target.port &&
                strcmp(leader->host, holder->target.host) == 0;

    holder->failures = 0;
    holder->redirects = 0;
    if (same) {
        return;
    }
    holder->target = *leader;
    holder->in_flight = false;
    holder->next_renew_us = now_us;
}

// Handles a notification from the Raft leader: revokes the listed terms, and
// renews at once if the notification announces a newer revision or the leader
// has asked for an early renewal. A notification with a lower leader term is
// ignored.
static void
leaseholder_handle_notification(struct leaseholder *holder, int64_t now_us,
                                const struct leaseholder_event *event,
                                struct leaseholder_actions *actions)
{
    const struct ck_notify_args *args = event->notified;

    if (args->leader_term < holder->leader_term) {
        return;
    }
    if (args->leader_term > holder->leader_term) {
        leaseholder_report_all(holder);
    }
    holder->leader_term = args->leader_term;
    for (u_int i = 0; i < args->revoked.revoked_len; i++) {
        const struct ck_revocation *revocation = &args->revoked.revoked_val[i];
        if (!leaseholder_is_confirmed(holder, revocation)) {
            leaseholder_add_action(actions, LEASEHOLDER_ACTION_REVOKE)
                ->revoke = *revocation;
        }
    }
    if (event->from != NULL) {
        leaseholder_switch_target(holder, now_us, event->from);
    }
    if (args->revision > holder->revision || holder->is_hastened) {
        leaseholder_renew_soon(holder, now_us);
    }
}

static void
leaseholder_handle_suspicion(struct leaseholder *holder, int64_t now_us,
                             const struct ck_suspicion *suspicion)
{
    size_t count = holder->suspicions_count;

    leaseholder_add_suspicion(holder, now_us, suspicion);
    if (holder->suspicions_count > count) {
        leaseholder_renew_soon(holder, now_us);
    }
}

// Schedules a renewal that starts after now.
static void
leaseholder_want_renewal(struct leaseholder *holder, int64_t now_us)
{
    int64_t earliest_us =
        holder->last_wanted_us + LEASEHOLDER_WANTED_INTERVAL_US;

    if (holder->wanted_at_us == 0) {
        holder->wanted_at_us = now_us > earliest_us ? now_us : earliest_us;
    }
}

// Returns when the next call is due. After a failed call the backoff stays in
// effect.
static int64_t
leaseholder_get_due_us(const struct leaseholder *holder)
{
    bool is_wanted = holder->wanted_at_us != 0 && holder->failures == 0 &&
                     holder->wanted_at_us < holder->next_renew_us;

    return is_wanted ? holder->wanted_at_us : holder->next_renew_us;
}

// Gives the lease back. A call in flight is abandoned, and its result ignored:
// the next call says that the lease is returned.
static void
leaseholder_return(struct leaseholder *holder, int64_t now_us)
{
    holder->is_returning = true;
    holder->valid_until_us = 0;
    holder->in_flight = false;
    holder->failures = 0;
    holder->redirects = 0;
    holder->next_renew_us = now_us;
}

static void
leaseholder_handle_event(struct leaseholder *holder, int64_t now_us,
                         const struct leaseholder_event *event,
                         struct leaseholder_actions *actions)
{
    switch (event->kind) {
    case LEASEHOLDER_EVENT_TICK:
        break;
    case LEASEHOLDER_EVENT_RENEWED:
        leaseholder_handle_result(holder, now_us, event->renewed, actions);
        break;
    case LEASEHOLDER_EVENT_RENEW_FAILED:
        if (holder->in_flight && event->sequence == holder->sequence) {
            holder->in_flight = false;
            leaseholder_back_off(holder, now_us, false);
        }
        break;
    case LEASEHOLDER_EVENT_NOTIFIED:
        leaseholder_handle_notification(holder, now_us, event, actions);
        break;
    case LEASEHOLDER_EVENT_SUSPECT:
        leaseholder_handle_suspicion(holder, now_us, event->suspicion);
        break;
    case LEASEHOLDER_EVENT_CONFIRM_REVOKED:
        if (leaseholder_add_confirmed(holder, &event->revocation)) {
            leaseholder_renew_soon(holder, now_us);
        }
        break;
    case LEASEHOLDER_EVENT_DEMAND:
        leaseholder_set_demand(holder, event->demand);
        break;
    case LEASEHOLDER_EVENT_OPEN_REQUESTS:
        holder->open_requests = event->open_requests;
        break;
    case LEASEHOLDER_EVENT_WANT_RENEWAL:
        leaseholder_want_renewal(holder, now_us);
        break;
    case LEASEHOLDER_EVENT_APPLIED:
        // The actions after a delta that could not be applied are not run.
        holder->redelivers_quotas =
            holder->redelivers_quotas || event->revision < holder->revision;
        holder->revision = event->revision;
        break;
    case LEASEHOLDER_EVENT_RETURN:
        leaseholder_return(holder, now_us);
        break;
    }
}

static void
leaseholder_check_lease(struct leaseholder *holder, int64_t now_us,
                        struct leaseholder_actions *actions)
{
    if (holder->valid_until_us == 0 || now_us < holder->valid_until_us) {
        return;
    }
    holder->valid_until_us = 0;
    (void)leaseholder_add_action(actions, LEASEHOLDER_ACTION_LEASE_EXPIRED);
    // A grant that comes when its lease is over has set quotas in this step.
    leaseholder_reset_quotas(
        holder, leaseholder_find_action(
                    actions, LEASEHOLDER_ACTION_SET_QUOTAS) != NULL);
    if (holder->changed_quotas_count > 0) {
        leaseholder_add_quotas(holder, actions);
    }
}

static void
leaseholder_add_wake(const struct leaseholder *holder,
                     struct leaseholder_actions *actions)
{
    int64_t at_us = holder->in_flight ? holder->sent_at_us +
                                            2 * holder->params.call_timeout_us
                                      : leaseholder_get_due_us(holder);

    if (holder->valid_until_us != 0 && holder->valid_until_us < at_us) {
        at_us = holder->valid_until_us;
    }
    leaseholder_add_action(actions, LEASEHOLDER_ACTION_WAKE)->wake_at_us =
        at_us;
}

// Handles one event and appends the resulting actions. Until the lease is
// returned, the last action is WAKE, which replaces the wake-up time requested
// earlier. A call without a result or a reported failure within twice its
// timeout counts as failed.
void
leaseholder_step(struct leaseholder *holder, int64_t now_us,
                 const struct leaseholder_event *event,
                 struct leaseholder_actions *actions)
{
    leaseholder_handle_event(holder, now_us, event, actions);
    leaseholder_check_lease(holder, now_us, actions);
    if (holder->in_flight &&
        now_us - holder->sent_at_us >= 2 * holder->params.call_timeout_us) {
        holder->in_flight = false;
        leaseholder_back_off(holder, now_us, false);
    }
    if (!holder->in_flight && !holder->is_returned &&
        now_us >= leaseholder_get_due_us(holder)) {
        leaseholder_send(holder, now_us, actions);
    }
    if (!holder->is_returned) {
        leaseholder_add_wake(holder, actions);
    }
}

// Frees the action list; the list is empty afterwards.
void
leaseholder_actions_free(struct leaseholder_actions *actions)
{
    free(actions->items);
    memset(actions, 0, sizeof(*actions));
}

// Returns whether the Raft leader has the lease back.
bool
leaseholder_is_returned(const struct leaseholder *holder)
{
    return holder->is_returned;
}

// Returns the revision of the view in force at this entry.
uint64_t
leaseholder_get_revision(const struct leaseholder *holder)
{
    return holder->revision;
}

// Returns the highest Raft term received from a leader.
uint64_t
leaseholder_get_leader_term(const struct leaseholder *holder)
{
    return holder->leader_term;
}

// Returns the end of the lease on this entry's clock, or 0 without a lease.
int64_t
leaseholder_get_valid_until_us(const struct leaseholder *holder)
{
    return holder->valid_until_us;
}

// Fills the reply to a notification with the revocations confirmed so far. The
// reply refers to memory of the leaseholder until the next step.
void
leaseholder_fill_notify_result(const struct leaseholder *holder,
                               struct ck_notify_result *result)
{
    memset(result, 0, sizeof(*result));
    result->outcome = OUTCOME_OK;
    result->daemon = holder->params.daemon;
    result->confirmed.confirmed_val = holder->confirmed;
    result->confirmed.confirmed_len = (u_int)holder->confirmed_count;
}
