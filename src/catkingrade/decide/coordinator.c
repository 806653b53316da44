#include "catkingrade/decide/coordinator.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "catkingrade/decide/coordinator_private.h"
#include "catkingrade/kernel/memory.h"
#include "catkingrade/kernel/outcome.h"
#include "catkingrade/rpc/codec.h"

// Sets the parameters to the defaults of the settings.
void
coordinator_params_init(struct coordinator_params *params)
{
    memset(params, 0, sizeof(*params));
    params->lease_us = 1000000;
    params->drift_ppm = 1000;
    params->announce_expiry_us = 2000000;
    params->suspect_us = 500000;
    params->settle_us = 2000000;
    params->flap_us = 30000000;
    params->switchover_us = 5000000;
    params->daemon_expiry_us = 600000000;
    params->probe_us = 100000;
    params->publish_us = 1000000;
    params->remove_us = 60000000;
    params->delta_max_size_bytes = GROUP_DELTA_MAX_SIZE_BYTES;
}

// Makes the machine of a voter that does not lead.
struct leader *
coordinator_create(const struct coordinator_params *params,
                   const struct group_state *group)
{
    struct leader *leader = xcalloc(1, sizeof(*leader));

    leader->params = *params;
    leader->group = group;
    return leader;
}

// Forgets all proposals. Who waits for one is told at once that it may still
// get into the log.
static void
coordinator_drop_proposals(struct leader *leader)
{
    while (leader->proposals != NULL) {
        struct coordinator_proposal *proposal =
            coordinator_remove_proposal(leader, leader->proposals->token);
        if (proposal->reply == COORDINATOR_REPLY_ANNOUNCE &&
            leader->actions != NULL) {
            coordinator_reply_text(leader, COORDINATOR_ACTION_REPLY_ANNOUNCE,
                                   proposal->reply_token, OUTCOME_UNKNOWN,
                                   "this VM no longer leads; announce again");
        }
        coordinator_free_proposal(proposal);
    }
}

// Drops all that belongs to one time as leader.
static void
coordinator_reset(struct leader *leader)
{
    if (!leader->is_active) {
        return;
    }
    coordinator_drop_proposals(leader);
    coordinator_free_databases(leader);
    coordinator_free_quotas(leader);
    coordinator_free_relays(leader);
    coordinator_free_holders(leader);
    announce_destroy(leader->announce);
    drain_destroy(leader->drain);
    group_index_destroy(leader->index);
    leader->announce = NULL;
    leader->drain = NULL;
    leader->index = NULL;
    leader->is_active = false;
}

// Frees the machine.
void
coordinator_destroy(struct leader *leader)
{
    if (leader == NULL) {
        return;
    }
    coordinator_reset(leader);
    free(leader);
}

// Sets the group state after a snapshot was installed; a voter that leads
// does not get one.
void
coordinator_set_group(struct leader *leader, const struct group_state *group)
{
    leader->group = group;
}

// Returns whether this voter leads.
bool
coordinator_is_active(const struct leader *leader)
{
    return leader->is_active;
}

static void
coordinator_handle_elected(struct leader *leader, uint64_t leader_term)
{
    struct announce_params params = {leader->params.announce_expiry_us,
                                     leader->params.publish_us};

    coordinator_reset(leader);
    leader->is_active = true;
    leader->leader_term = leader_term;
    leader->elected_us = leader->now_us;
    leader->wake_us = 0;
    leader->next_tick_us = leader->now_us;
    leader->publish_soon = false;
    leader->publish_now = true; // daemons learn who leads
    leader->index = group_index_create();
    leader->announce = announce_create(&params);
    leader->drain = drain_create();
    announce_load(leader->announce, leader->now_us, leader->group);
    coordinator_load_holders(leader);
    coordinator_load_databases(leader);
    coordinator_record(leader, "elected", NULL, "", "group=%s term=%" PRIu64,
                       group_get_name(leader->group), leader_term);
}

static void
coordinator_handle_announcement(struct leader *leader, uint64_t token,
                                const struct ck_upstream *announced)
{
    struct group_result reason;
    struct ck_upstream limited = *announced;
    const struct ck_upstream *upstream = &limited;
    struct ck_change change = {.kind = CK_CHANGE_UPSTREAM};

    if (!leader->is_active) {
        coordinator_reply_text(leader, COORDINATOR_ACTION_REPLY_ANNOUNCE,
                               token, OUTCOME_NOT_LEADER,
                               "this VM does not lead");
        return;
    }
    group_override_upstream_limits(leader->group, &limited);
    switch (announce_handle_upstream(leader->announce, leader->now_us,
                                     leader->group, upstream, &reason)) {
    case ANNOUNCE_UNCHANGED:
        coordinator_reply_text(leader, COORDINATOR_ACTION_REPLY_ANNOUNCE,
                               token, OUTCOME_OK, "no change");
        break;
    case ANNOUNCE_DEFERRED:
        // A departure is acknowledged only once it cannot be forgotten.
        coordinator_reply_text(
            leader, COORDINATOR_ACTION_REPLY_ANNOUNCE, token,
            upstream->state == CK_UPSTREAM_LEAVING ? OUTCOME_AGAIN
                                                   : OUTCOME_OK,
            "taken; published within a second");
        break;
    case ANNOUNCE_REFUSED:
        coordinator_reply_text(leader, COORDINATOR_ACTION_REPLY_ANNOUNCE,
                               token, reason.outcome, reason.message);
        break;
    case ANNOUNCE_WITHDRAW:
        change.kind = CK_CHANGE_UPSTREAM_EXPIRE;
        change.ck_change_u.upstream =
            *group_find_upstream(leader->group, upstream->name);
        coordinator_propose(leader, &change, upstream->name,
                            COORDINATOR_REPLY_ANNOUNCE, token);
        break;
    case ANNOUNCE_PUBLISH:
        change.ck_change_u.upstream = *upstream;
        coordinator_propose(leader, &change, upstream->name,
                            COORDINATOR_REPLY_ANNOUNCE, token);
        break;
    }
}

// A removal that was refused may be prepared again.
static void
coordinator_clear_removal_flags(struct leader *leader,
                                const char *upstream_name)
{
    const struct ck_upstream *upstream =
        group_find_upstream(leader->group, upstream_name);
    struct coordinator_database *db =
        upstream == NULL
            ? NULL
            : coordinator_find_database(leader, upstream->database);

    if (db != NULL) {
        db->is_removing = false;
        db->is_removal_proposed = false;
    }
}

// Undoes what a proposal had marked, so that it is made again when needed.
static void
coordinator_clear_proposal_flags(struct leader *leader,
                                 const struct coordinator_proposal *proposal,
                                 int outcome)
{
    struct coordinator_database *db = NULL;

    switch (proposal->kind) {
    case CK_CHANGE_DAEMON:
    case CK_CHANGE_DAEMON_EXPIRE:
        coordinator_find_holder(leader, proposal->name)->proposed = false;
        break;
    case CK_CHANGE_UPSTREAM:
    case CK_CHANGE_UPSTREAM_EXPIRE:
        announce_end_proposal(leader->announce, proposal->name);
        coordinator_clear_removal_flags(leader, proposal->name);
        break;
    case CK_CHANGE_CUSTOMER_STATE:
        if (outcome != OUTCOME_OK) {
            drain_retry_close(leader->drain, proposal->name);
        }
        break;
    case CK_CHANGE_SUPERSEDE:
        db = coordinator_get_or_add_database(leader, proposal->name);
        if (outcome != OUTCOME_OK &&
            db->phase == COORDINATOR_PHASE_SUPERSEDING) {
            coordinator_finish_command(leader, db, outcome,
                                       "the change did not get into the log");
            coordinator_set_phase(leader, db, COORDINATOR_PHASE_IDLE);
        }
        break;
    case CK_CHANGE_PRIMARY:
        db = coordinator_get_or_add_database(leader, proposal->name);
        if (outcome != OUTCOME_OK &&
            db->phase == COORDINATOR_PHASE_PUBLISHING) {
            coordinator_restart_collection(leader, db);
        }
        break;
    default:
        break;
    }
}

static void
coordinator_end_proposal(struct leader *leader, uint64_t token, int outcome,
                         const char *text)
{
    struct coordinator_proposal *proposal =
        coordinator_remove_proposal(leader, token);

    if (proposal == NULL) {
        return;
    }
    coordinator_clear_proposal_flags(leader, proposal, outcome);
    if (proposal->reply == COORDINATOR_REPLY_ANNOUNCE) {
        coordinator_reply_text(leader, COORDINATOR_ACTION_REPLY_ANNOUNCE,
                               proposal->reply_token, outcome, text);
    }
    coordinator_free_proposal(proposal);
}

// Takes the removal of an upstream.
static void
coordinator_handle_upstream_removed(struct leader *leader,
                                    const char *database_name)
{
    const struct ck_database *database =
        group_find_database(leader->group, database_name);
    struct coordinator_database *db =
        coordinator_find_database(leader, database_name);

    if (database != NULL && db != NULL) {
        (void)coordinator_sync_members(db, database);
        db->is_removing = false;
        db->is_removal_proposed = false;
    }
}

// Takes a change of an upstream: a database without a term may get its first
// primary, and one that came back must follow the present primary.
static void
coordinator_handle_upstream_changed(struct leader *leader,
                                    const struct ck_upstream *changed)
{
    const char *name = changed->name;
    const struct ck_upstream *upstream =
        group_find_upstream(leader->group, name);
    const struct ck_database *database =
        group_find_database(leader->group, changed->database);

    if (database == NULL || upstream == NULL) {
        coordinator_handle_upstream_removed(leader, changed->database);
        return;
    }
    struct coordinator_database *db =
        coordinator_get_or_add_database(leader, database->name);
    bool is_new = coordinator_sync_members(db, database);
    struct coordinator_member *member =
        &db->members[coordinator_find_upstream_index(database, name)];
    if ((is_new || member->was_lost) && upstream->state == CK_UPSTREAM_READY &&
        database->term > 0 && strcmp(database->primary, name) != 0) {
        member->needs_fence = true;
        member->needs_follow = true;
    }
    if (upstream->state == CK_UPSTREAM_LOST && !member->was_lost) {
        member->lost_us = leader->now_us;
        member->lost_revision = database->revision;
    }
    member->was_lost = upstream->state == CK_UPSTREAM_LOST;
    coordinator_run_database(leader, db);
}

static void
coordinator_handle_change(struct leader *leader,
                          const struct ck_change *change)
{
    const char *name = NULL;
    struct coordinator_database *db = NULL;

    switch (change->kind) {
    case CK_CHANGE_UPSTREAM:
    case CK_CHANGE_UPSTREAM_EXPIRE:
        coordinator_handle_upstream_changed(leader,
                                            &change->ck_change_u.upstream);
        leader->publish_soon = true;
        break;
    case CK_CHANGE_TEMPLATE:
    case CK_CHANGE_CUSTOMER:
    case CK_CHANGE_CUSTOMER_STATE:
    case CK_CHANGE_DECLARATION:
        leader->publish_soon = true;
        break;
    case CK_CHANGE_SUPERSEDE:
        name = change->ck_change_u.supersede.database;
        coordinator_begin_revocation(
            leader, coordinator_get_or_add_database(leader, name));
        leader->publish_now = true;
        break;
    case CK_CHANGE_PRIMARY:
        name = change->ck_change_u.primary.database;
        db = coordinator_get_or_add_database(leader, name);
        coordinator_handle_new_primary(
            leader, db, group_find_database(leader->group, name));
        leader->publish_now = true;
        break;
    default:
        break;
    }
}

static void
coordinator_handle_applied(struct leader *leader,
                           const struct coordinator_event *event)
{
    const struct group_result *result = event->applied.result;

    if (result->outcome == OUTCOME_OK && !result->replayed) {
        coordinator_handle_change(leader, event->applied.change);
    }
    if (event->token != 0) {
        coordinator_end_proposal(leader, event->token, result->outcome,
                                 result->message);
    }
}

static void
coordinator_propose_upstream(void *data, ck_change_kind kind,
                             const struct ck_upstream *upstream)
{
    struct leader *leader = data;
    struct ck_change change = {.kind = kind};

    change.ck_change_u.upstream = *upstream;
    coordinator_propose(leader, &change, upstream->name,
                        COORDINATOR_REPLY_NONE, 0);
}

static void
coordinator_propose_customer_closed(void *data, const char *customer,
                                    const char *report)
{
    struct leader *leader = data;
    struct ck_change change = {.kind = CK_CHANGE_CUSTOMER_STATE};
    struct ck_customer_state_change *state =
        &change.ck_change_u.customer_state;

    state->customer = (char *)(uintptr_t)customer;
    state->state = CK_CUSTOMER_CLOSED;
    state->report = (char *)(uintptr_t)report;
    coordinator_propose(leader, &change, customer, COORDINATOR_REPLY_NONE, 0);
}

static bool
coordinator_visit_draining(void *data, const struct ck_customer *customer)
{
    bool *found = data;

    *found = customer->state == CK_CUSTOMER_DRAINING;
    return !*found;
}

// Moves the shutdown of customers on. Customers belong to the fleet group.
static void
coordinator_run_drain(struct leader *leader)
{
    size_t count = 0;
    bool found = false;

    if (strcmp(group_get_name(leader->group), GROUP_FLEET_NAME) == 0) {
        group_visit_customers(leader->group, coordinator_visit_draining,
                              &found);
    }
    if (!found) {
        return;
    }
    struct drain_entry *entries =
        xcalloc(coordinator_count_live(leader), sizeof(*entries));
    for (const struct coordinator_holder *holder = leader->holders;
         holder != NULL; holder = holder->next) {
        if (coordinator_is_live(leader, holder)) {
            entries[count].vm = holder->daemon.vm;
            entries[count].known_revision = holder->known_revision;
            entries[count].open_requests = holder->open_requests;
            count++;
        }
    }
    drain_tick(leader->drain, leader->now_us, leader->group, entries, count,
               coordinator_propose_customer_closed, leader);
    free(entries);
}

// Has the primaries watched that have not announced themselves of late.
static bool
coordinator_visit_silent_primary(void *data,
                                 const struct ck_database *database)
{
    struct leader *leader = data;

    if (database->term == 0 || database->superseding) {
        return true;
    }
    int64_t last_us =
        announce_get_last_us(leader->announce, database->primary);
    if (leader->now_us - last_us >= leader->params.suspect_us) {
        (void)coordinator_get_or_add_database(leader, database->name);
    }
    return true;
}

static void
coordinator_handle_tick(struct leader *leader)
{
    if (leader->now_us >= leader->next_tick_us) {
        leader->next_tick_us = leader->now_us + COORDINATOR_TICK_INTERVAL_US;
        group_visit_databases(leader->group, coordinator_visit_silent_primary,
                              leader);
        announce_tick(leader->announce, leader->now_us, leader->group,
                      coordinator_propose_upstream, leader);
        coordinator_expire_holders(leader);
        coordinator_run_drain(leader);
        leader->publish_now = leader->publish_now || leader->publish_soon;
    }
    for (struct coordinator_database *db = leader->databases; db != NULL;
         db = db->next) {
        coordinator_run_database(leader, db);
    }
}

static void
coordinator_handle_event(struct leader *leader,
                         const struct coordinator_event *event)
{
    switch (event->kind) {
    case COORDINATOR_EVENT_DEPOSED:
        coordinator_reset(leader);
        break;
    case COORDINATOR_EVENT_APPLIED:
        coordinator_handle_applied(leader, event);
        break;
    case COORDINATOR_EVENT_PROPOSE_FAILED:
        coordinator_end_proposal(leader, event->token, OUTCOME_UNAVAILABLE,
                                 "the change did not get into the log");
        break;
    case COORDINATOR_EVENT_PROBED:
    case COORDINATOR_EVENT_PROBE_FAILED:
        coordinator_handle_probe_result(
            leader, &event->probe, event->kind == COORDINATOR_EVENT_PROBED);
        break;
    case COORDINATOR_EVENT_PROMOTED:
        coordinator_handle_promoted(leader, &event->probe);
        break;
    case COORDINATOR_EVENT_PROMOTE_FAILED:
        coordinator_handle_promote_failed(leader, event->done.upstream,
                                          event->done.outcome);
        break;
    case COORDINATOR_EVENT_FOLLOWED:
    case COORDINATOR_EVENT_FENCED:
        coordinator_handle_repair_result(
            leader, event->done.upstream,
            event->kind == COORDINATOR_EVENT_FENCED, event->done.outcome);
        break;
    case COORDINATOR_EVENT_NOTIFIED:
    case COORDINATOR_EVENT_NOTIFY_FAILED:
        coordinator_handle_notify_result(leader, event->notified.vm,
                                         event->notified.incarnation,
                                         event->notified.result);
        break;
    case COORDINATOR_EVENT_TICK:
        coordinator_handle_tick(leader);
        break;
    default:
        break;
    }
}

// Moves the proposals behind the other actions: a proposal may change the
// group state, from which the others borrow.
static void
coordinator_actions_move_proposals_last(struct coordinator_actions *actions,
                                        size_t start)
{
    size_t count = actions->count - start;
    struct coordinator_action *items = xcalloc(count, sizeof(*items));
    size_t place = 0;

    for (size_t i = start; i < actions->count; i++) {
        if (actions->items[i].kind != COORDINATOR_ACTION_PROPOSE) {
            items[place++] = actions->items[i];
        }
    }
    for (size_t i = start; i < actions->count; i++) {
        if (actions->items[i].kind == COORDINATOR_ACTION_PROPOSE) {
            items[place++] = actions->items[i];
        }
    }
    if (count > 0) {
        memcpy(actions->items + start, items, count * sizeof(*items));
    }
    free(items);
}

// Takes one event and appends actions. A step after which the leader has
// something to wait for ends with WAKE.
void
coordinator_step(struct leader *leader, int64_t now_us,
                 const struct coordinator_event *event,
                 struct coordinator_actions *actions)
{
    size_t start = actions->count;

    leader->now_us = now_us;
    leader->has_quorum = event->quorum;
    leader->actions = actions;
    if (event->kind == COORDINATOR_EVENT_TICK) {
        leader->wake_us = 0;
    }
    switch (event->kind) {
    case COORDINATOR_EVENT_ELECTED:
        coordinator_handle_elected(leader, event->leader_term);
        break;
    case COORDINATOR_EVENT_RENEW:
        coordinator_handle_renewal(leader, event->token, event->renew);
        break;
    case COORDINATOR_EVENT_ANNOUNCE:
        coordinator_handle_announcement(leader, event->token, event->announce);
        break;
    case COORDINATOR_EVENT_COMMAND:
        coordinator_handle_command(leader, event->token, event->command);
        break;
    default:
        if (leader->is_active) {
            coordinator_handle_event(leader, event);
        }
        break;
    }
    if (leader->is_active) {
        if (leader->publish_now && leader->has_quorum) {
            coordinator_notify_all(leader);
        }
        coordinator_wake_at(leader, leader->next_tick_us);
    }
    coordinator_actions_move_proposals_last(actions, start);
    leader->actions = NULL;
}
