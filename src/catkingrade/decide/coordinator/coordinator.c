#include "catkingrade/decide/coordinator/coordinator.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "catkingrade/decide/coordinator/coordinator_private.h"
#include "catkingrade/kernel/memory.h"
#include "catkingrade/kernel/outcome.h"
#include "catkingrade/rpc/codec.h"

void
coordinator_params_init(struct coordinator_params *params)
{
    memset(params, 0, sizeof(*params));
    params->lease_us = 1000000;
    params->drift_ppm = 1000;
    params->announce_expiry_us = 2000000;
    params->suspect_us = 500000;
    params->initial_primary_wait_us = 2000000;
    params->repeated_failover_us = 30000000;
    params->switchover_us = 5000000;
    params->daemon_expiry_us = 600000000;
    params->probe_us = 100000;
    params->publish_us = 1000000;
    params->lost_retention_us = 60000000;
    params->fence_demotes = true;
    params->delta_max_size_bytes = PUBLICATION_MAX_DELTA_BYTES;
}

// Creates an inactive coordinator. group is borrowed.
struct coordinator *
coordinator_create(const struct coordinator_params *params,
                   const struct group_state *group)
{
    struct coordinator *coordinator = xcalloc(1, sizeof(*coordinator));

    coordinator->params = *params;
    coordinator->group = group;
    coordinator->leaving = leaving_create(group);
    return coordinator;
}

// Drops all proposals. An announcement that waits for one of them is answered
// with OUTCOME_UNKNOWN, since the change may still be committed.
static void
coordinator_drop_proposals(struct coordinator *coordinator)
{
    while (coordinator->proposals != NULL) {
        struct coordinator_proposal *proposal = coordinator_remove_proposal(
            coordinator, coordinator->proposals->token);
        if (proposal->reply == COORDINATOR_REPLY_ANNOUNCE &&
            coordinator->actions != NULL) {
            coordinator_reply_text(coordinator,
                                   COORDINATOR_ACTION_REPLY_ANNOUNCE,
                                   proposal->reply_token, OUTCOME_UNKNOWN,
                                   "this VM no longer leads; announce again");
        }
        coordinator_free_proposal(proposal);
    }
}

// Frees the state of the current leadership and becomes inactive.
static void
coordinator_reset(struct coordinator *coordinator)
{
    if (!coordinator->is_active) {
        return;
    }
    coordinator_drop_proposals(coordinator);
    coordinator_free_databases(coordinator);
    coordinator_free_quotas(coordinator);
    coordinator_free_relays(coordinator);
    coordinator_free_holders(coordinator);
    announce_destroy(coordinator->announce);
    drain_destroy(coordinator->drain);
    publication_destroy(coordinator->publication);
    group_index_destroy(coordinator->index);
    coordinator->announce = NULL;
    coordinator->drain = NULL;
    coordinator->publication = NULL;
    coordinator->index = NULL;
    coordinator->is_active = false;
}

// Frees the coordinator. NULL is allowed.
void
coordinator_destroy(struct coordinator *coordinator)
{
    if (coordinator == NULL) {
        return;
    }
    coordinator_reset(coordinator);
    leaving_destroy(coordinator->leaving);
    free(coordinator);
}

// Sets the group state after a snapshot was installed. A Raft leader installs
// no snapshot, so the coordinator is inactive.
void
coordinator_set_group(struct coordinator *coordinator,
                      const struct group_state *group)
{
    coordinator->group = group;
    leaving_destroy(coordinator->leaving);
    coordinator->leaving = leaving_create(group);
}

// Returns whether this voter is the Raft leader, between ELECTED and DEPOSED.
bool
coordinator_is_active(const struct coordinator *coordinator)
{
    return coordinator->is_active;
}

static void
coordinator_handle_elected(struct coordinator *coordinator,
                           uint64_t leader_term)
{
    struct announce_params params = {coordinator->params.announce_expiry_us,
                                     coordinator->params.publish_us};

    coordinator_reset(coordinator);
    coordinator->is_active = true;
    coordinator->leader_term = leader_term;
    coordinator->elected_us = coordinator->now_us;
    coordinator->wake_us = 0;
    coordinator->next_tick_us = coordinator->now_us;
    coordinator->publish_soon = false;
    coordinator->publish_now = true; // daemons learn the new leader
    coordinator->quotas_known = false;
    coordinator->index = group_index_create();
    coordinator->announce = announce_create(&params);
    coordinator->drain = drain_create();
    coordinator->publication = publication_create();
    coordinator->next_publish_us = coordinator->now_us;
    coordinator->is_binding_due = true;
    (void)coordinator_update_publication(coordinator);
    announce_load(coordinator->announce, coordinator->now_us,
                  coordinator->group);
    coordinator->synced_revision = 0;
    coordinator->synced_daemons_count = 0;
    coordinator->candidates_version = 1;
    coordinator->relays_version = 0;
    coordinator_load_holders(coordinator);
    coordinator_load_databases(coordinator);
    coordinator_sync_group(coordinator);
    coordinator_record(coordinator, "elected", NULL, "",
                       "group=%s term=%" PRIu64,
                       group_get_name(coordinator->group), leader_term);
}

static void
coordinator_handle_announcement(struct coordinator *coordinator,
                                uint64_t token,
                                const struct ck_upstream *announced)
{
    struct group_result reason;
    struct ck_upstream limited = *announced;
    const struct ck_upstream *upstream = &limited;
    struct ck_change change = {.kind = CK_CHANGE_UPSTREAM};

    if (!coordinator->is_active) {
        coordinator_reply_text(coordinator, COORDINATOR_ACTION_REPLY_ANNOUNCE,
                               token, OUTCOME_NOT_LEADER,
                               "this VM does not lead");
        return;
    }
    group_override_upstream_limits(coordinator->group, &limited);
    switch (announce_handle_upstream(coordinator->announce,
                                     coordinator->now_us, coordinator->group,
                                     upstream, &reason)) {
    case ANNOUNCE_UNCHANGED:
        coordinator_reply_text(coordinator, COORDINATOR_ACTION_REPLY_ANNOUNCE,
                               token, OUTCOME_OK, "no change");
        break;
    case ANNOUNCE_DEFERRED:
        // A deferred withdrawal would be lost with this coordinator, so it is
        // not acknowledged yet: the upstream announces it again.
        coordinator_reply_text(
            coordinator, COORDINATOR_ACTION_REPLY_ANNOUNCE, token,
            upstream->state == CK_UPSTREAM_LEAVING ? OUTCOME_AGAIN
                                                   : OUTCOME_OK,
            "taken; published within a second");
        break;
    case ANNOUNCE_REFUSED:
        coordinator_reply_text(coordinator, COORDINATOR_ACTION_REPLY_ANNOUNCE,
                               token, reason.outcome, reason.message);
        break;
    case ANNOUNCE_WITHDRAW:
        change.kind = CK_CHANGE_UPSTREAM_EXPIRE;
        change.ck_change_u.upstream =
            *group_find_upstream(coordinator->group, upstream->name);
        // With the state "lost" the change would remove the record.
        change.ck_change_u.upstream.state = CK_UPSTREAM_LEAVING;
        change.ck_change_u.upstream.sequence = GROUP_SEQUENCE_WITHDRAWN;
        coordinator_propose(coordinator, &change, upstream->name,
                            COORDINATOR_REPLY_ANNOUNCE, token);
        break;
    case ANNOUNCE_PUBLISH:
        change.ck_change_u.upstream = *upstream;
        coordinator_propose(coordinator, &change, upstream->name,
                            COORDINATOR_REPLY_ANNOUNCE, token);
        break;
    }
}

// Allows the removal of upstreams of this database to be prepared again after
// a proposal has ended.
static void
coordinator_clear_removal_flags(struct coordinator *coordinator,
                                const char *upstream_name)
{
    const struct ck_upstream *upstream =
        group_find_upstream(coordinator->group, upstream_name);
    struct coordinator_database *db =
        upstream == NULL
            ? NULL
            : coordinator_find_database(coordinator, upstream->database);

    if (db != NULL) {
        db->is_removing = false;
        db->is_removal_proposed = false;
    }
}

// Clears the flags that were set when a proposal was made, so that the change
// can be proposed again. If the end of a term or a new primary was not
// committed, the failover is cancelled or returns to the choice of a primary.
static void
coordinator_clear_proposal_flags(struct coordinator *coordinator,
                                 const struct coordinator_proposal *proposal,
                                 int outcome)
{
    struct coordinator_database *db = NULL;

    switch (proposal->kind) {
    case CK_CHANGE_DAEMON:
    case CK_CHANGE_DAEMON_EXPIRE:
        coordinator_find_holder(coordinator, proposal->name)->is_proposed =
            false;
        break;
    case CK_CHANGE_UPSTREAM:
    case CK_CHANGE_UPSTREAM_EXPIRE:
        announce_end_proposal(coordinator->announce, proposal->name);
        coordinator_clear_removal_flags(coordinator, proposal->name);
        break;
    case CK_CHANGE_CUSTOMER_STATE:
        if (outcome != OUTCOME_OK) {
            drain_retry_close(coordinator->drain, proposal->name);
        }
        break;
    case CK_CHANGE_SUPERSEDE:
        db = coordinator_get_or_add_database(coordinator, proposal->name);
        if (outcome != OUTCOME_OK &&
            db->phase == COORDINATOR_PHASE_SUPERSEDING) {
            coordinator_finish_command(coordinator, db, outcome,
                                       "the change did not get into the log");
            coordinator_set_phase(coordinator, db, COORDINATOR_PHASE_IDLE);
        }
        break;
    case CK_CHANGE_PRIMARY:
        db = coordinator_get_or_add_database(coordinator, proposal->name);
        if (outcome != OUTCOME_OK &&
            db->phase == COORDINATOR_PHASE_PUBLISHING) {
            coordinator_restart_collection(coordinator, db);
        }
        break;
    case CK_CHANGE_PROMOTION:
        db = coordinator_get_or_add_database(coordinator, proposal->name);
        if (outcome != OUTCOME_OK && db->phase == COORDINATOR_PHASE_ORDERING) {
            coordinator_restart_collection(coordinator, db);
        }
        break;
    default:
        break;
    }
}

static void
coordinator_end_proposal(struct coordinator *coordinator, uint64_t token,
                         int outcome, const char *text)
{
    struct coordinator_proposal *proposal =
        coordinator_remove_proposal(coordinator, token);

    if (proposal == NULL) {
        return;
    }
    coordinator_clear_proposal_flags(coordinator, proposal, outcome);
    if (proposal->reply == COORDINATOR_REPLY_ANNOUNCE) {
        coordinator_reply_text(coordinator, COORDINATOR_ACTION_REPLY_ANNOUNCE,
                               proposal->reply_token, outcome, text);
    }
    coordinator_free_proposal(proposal);
}

// Updates the members of a database after an upstream was removed.
static void
coordinator_handle_upstream_removed(struct coordinator *coordinator,
                                    const char *database_name)
{
    const struct ck_database *database =
        group_find_database(coordinator->group, database_name);
    struct coordinator_database *db =
        coordinator_find_database(coordinator, database_name);

    if (database != NULL && db != NULL) {
        (void)coordinator_sync_members(db, database);
        db->is_removing = false;
        db->is_removal_proposed = false;
    }
}

// Handles a changed upstream. A database without a term may get its first
// primary. An upstream that is new or was lost must follow the current
// primary.
static void
coordinator_handle_upstream_changed(struct coordinator *coordinator,
                                    const struct ck_upstream *changed)
{
    const char *name = changed->name;
    const struct ck_upstream *upstream =
        group_find_upstream(coordinator->group, name);
    const struct ck_database *database =
        group_find_database(coordinator->group, changed->database);

    if (database == NULL || upstream == NULL) {
        coordinator_handle_upstream_removed(coordinator, changed->database);
        return;
    }
    struct coordinator_database *db =
        coordinator_get_or_add_database(coordinator, database->name);
    bool is_new = coordinator_sync_members(db, database);
    struct coordinator_member *member =
        &db->members[coordinator_find_upstream_index(database, name)];
    if ((is_new || member->was_lost) && upstream->state == CK_UPSTREAM_READY &&
        database->term > 0 && strcmp(database->primary, name) != 0) {
        member->needs_fence = true;
        member->needs_follow = true;
    }
    if (upstream->state == CK_UPSTREAM_LOST && !member->was_lost) {
        member->lost_us = coordinator->now_us;
        member->lost_revision = database->revision;
    }
    member->was_lost = upstream->state == CK_UPSTREAM_LOST;
    bool was_leaving = member->leaving_us != 0;
    coordinator_set_leaving(coordinator, member, upstream);
    if (member->leaving_us != 0 && !was_leaving) {
        coordinator_record(coordinator, "upstream_leaving", database, name,
                           "database=%s primary=%s", database->name,
                           database->primary);
    }
    coordinator_run_database(coordinator, db);
}

static void
coordinator_handle_change(struct coordinator *coordinator,
                          const struct ck_change *change)
{
    const char *name = NULL;
    struct coordinator_database *db = NULL;

    switch (change->kind) {
    case CK_CHANGE_UPSTREAM:
    case CK_CHANGE_UPSTREAM_EXPIRE:
        coordinator_handle_upstream_changed(coordinator,
                                            &change->ck_change_u.upstream);
        coordinator->publish_soon = true;
        break;
    case CK_CHANGE_TEMPLATE:
    case CK_CHANGE_CUSTOMER:
    case CK_CHANGE_CUSTOMER_STATE:
    case CK_CHANGE_DECLARATION:
        coordinator->is_binding_due = true;
        coordinator->publish_soon = true;
        break;
    case CK_CHANGE_SUPERSEDE:
        name = change->ck_change_u.supersede.database;
        coordinator_begin_revocation(
            coordinator, coordinator_get_or_add_database(coordinator, name));
        coordinator->publish_now = true;
        break;
    case CK_CHANGE_PROMOTION:
        name = change->ck_change_u.primary.database;
        coordinator_handle_ordered(
            coordinator, coordinator_get_or_add_database(coordinator, name));
        break;
    case CK_CHANGE_PRIMARY:
        name = change->ck_change_u.primary.database;
        db = coordinator_get_or_add_database(coordinator, name);
        coordinator_handle_new_primary(
            coordinator, db, group_find_database(coordinator->group, name));
        // Nobody waits for the first primary of a database as for the end of
        // a failover, and at a start there are as many as databases.
        coordinator->publish_now =
            coordinator->publish_now ||
            change->ck_change_u.primary.term > COORDINATOR_FIRST_TERM;
        coordinator->publish_soon = true;
        break;
    default:
        break;
    }
}

static void
coordinator_handle_applied(struct coordinator *coordinator,
                           const struct coordinator_event *event)
{
    const struct group_result *result = event->applied.result;

    if (result->outcome == OUTCOME_OK && !result->replayed) {
        coordinator_handle_change(coordinator, event->applied.change);
    }
    if (event->token != 0) {
        coordinator_end_proposal(coordinator, event->token, result->outcome,
                                 result->message);
    }
}

static void
coordinator_propose_upstream(void *data, ck_change_kind kind,
                             const struct ck_upstream *upstream)
{
    struct coordinator *coordinator = data;
    struct ck_change change = {.kind = kind};

    change.ck_change_u.upstream = *upstream;
    coordinator_propose(coordinator, &change, upstream->name,
                        COORDINATOR_REPLY_NONE, 0);
}

static void
coordinator_propose_customer_closed(void *data, const char *customer,
                                    const char *report)
{
    struct coordinator *coordinator = data;
    struct ck_change change = {.kind = CK_CHANGE_CUSTOMER_STATE};
    struct ck_customer_state_change *state =
        &change.ck_change_u.customer_state;

    state->customer = (char *)(uintptr_t)customer;
    state->state = CK_CUSTOMER_CLOSED;
    state->report = (char *)(uintptr_t)report;
    coordinator_propose(coordinator, &change, customer, COORDINATOR_REPLY_NONE,
                        0);
}

static bool
coordinator_visit_draining(void *data, const struct ck_customer *customer)
{
    bool *found = data;

    *found = customer->state == CK_CUSTOMER_DRAINING;
    return !*found;
}

// Continues the shutdown of draining customers. Only the fleet group has
// customers.
static void
coordinator_run_drain(struct coordinator *coordinator)
{
    size_t count = 0;
    bool found = false;

    if (strcmp(group_get_name(coordinator->group), GROUP_FLEET_NAME) == 0) {
        group_visit_customers(coordinator->group, coordinator_visit_draining,
                              &found);
    }
    if (!found) {
        return;
    }
    struct drain_entry *entries = xcalloc(
        coordinator_count_leased_entries(coordinator), sizeof(*entries));
    for (const struct coordinator_holder *holder = coordinator->holders;
         holder != NULL; holder = holder->next) {
        if (coordinator_has_live_lease(coordinator, holder)) {
            entries[count].vm = holder->daemon.vm;
            entries[count].known_revision = holder->known_revision;
            entries[count].open_requests = holder->open_requests;
            count++;
        }
    }
    drain_tick(coordinator->drain, coordinator->now_us, coordinator->group,
               entries, count, coordinator_propose_customer_closed,
               coordinator);
    free(entries);
}

// Starts monitoring a primary that has not announced itself for suspect_us.
static bool
coordinator_visit_silent_primary(void *data,
                                 const struct ck_database *database)
{
    struct coordinator *coordinator = data;

    if (database->term == 0 || database->superseding) {
        return true;
    }
    int64_t last_us =
        announce_get_last_us(coordinator->announce, database->primary);
    if (coordinator->now_us - last_us >= coordinator->params.suspect_us) {
        coordinator_get_or_add_database(coordinator, database->name)
            ->is_quiet = false;
    }
    return true;
}

// Continues the work on databases that are not quiet, and on some of the
// others in turn.
static void
coordinator_run_databases(struct coordinator *coordinator, bool is_interval)
{
    uint64_t index = 0;

    for (struct coordinator_database *db = coordinator->databases; db != NULL;
         db = db->next) {
        bool is_next = is_interval &&
                       index % COORDINATOR_QUIET_TICKS ==
                           coordinator->ticks_count % COORDINATOR_QUIET_TICKS;
        index++;
        if (!db->is_quiet || is_next) {
            coordinator_run_database(coordinator, db);
        }
    }
}

static void
coordinator_handle_tick(struct coordinator *coordinator)
{
    bool is_interval = coordinator->now_us >= coordinator->next_tick_us;

    if (is_interval) {
        coordinator->next_tick_us =
            coordinator->now_us + COORDINATOR_TICK_INTERVAL_US;
        coordinator->ticks_count++;
        group_visit_databases(coordinator->group,
                              coordinator_visit_silent_primary, coordinator);
        announce_tick(coordinator->announce, coordinator->now_us,
                      coordinator->group, coordinator_propose_upstream,
                      coordinator);
        coordinator_expire_daemons(coordinator);
        coordinator_update_candidates(coordinator);
        coordinator_run_relay_plans(coordinator);
        coordinator_run_drain(coordinator);
        coordinator->publish_now =
            coordinator->publish_now ||
            (coordinator->publish_soon &&
             coordinator->now_us >= coordinator->next_publish_us);
    }
    coordinator_run_databases(coordinator, is_interval);
}

static void
coordinator_handle_event(struct coordinator *coordinator,
                         const struct coordinator_event *event)
{
    switch (event->kind) {
    case COORDINATOR_EVENT_DEPOSED:
        coordinator_reset(coordinator);
        break;
    case COORDINATOR_EVENT_APPLIED:
        coordinator_handle_applied(coordinator, event);
        break;
    case COORDINATOR_EVENT_PROPOSE_FAILED:
        coordinator_end_proposal(coordinator, event->token,
                                 OUTCOME_UNAVAILABLE,
                                 "the change did not get into the log");
        break;
    case COORDINATOR_EVENT_PROBED:
    case COORDINATOR_EVENT_PROBE_FAILED:
        coordinator_handle_probe_result(coordinator, &event->probe,
                                        event->kind ==
                                            COORDINATOR_EVENT_PROBED);
        break;
    case COORDINATOR_EVENT_PROMOTED:
        coordinator_handle_promoted(coordinator, &event->probe);
        break;
    case COORDINATOR_EVENT_PROMOTE_FAILED:
        coordinator_handle_promote_failed(coordinator, event->done.upstream,
                                          event->done.outcome);
        break;
    case COORDINATOR_EVENT_FOLLOWED:
    case COORDINATOR_EVENT_FENCED:
        coordinator_handle_repair_result(
            coordinator, event->done.upstream,
            event->kind == COORDINATOR_EVENT_FENCED, event->done.outcome);
        break;
    case COORDINATOR_EVENT_NOTIFIED:
    case COORDINATOR_EVENT_NOTIFY_FAILED:
        coordinator_handle_notify_result(coordinator, event->notified.vm,
                                         event->notified.incarnation,
                                         event->notified.result);
        break;
    case COORDINATOR_EVENT_TICK:
        coordinator_handle_tick(coordinator);
        break;
    default:
        break;
    }
}

// Moves the proposals behind the other actions, because executing a proposal
// may change the group state, from which the other actions borrow pointers.
static void
coordinator_actions_move_proposals_last(struct coordinator_actions *actions,
                                        size_t start)
{
    size_t count = actions->count - start;
    struct coordinator_action *items = xcalloc(count, sizeof(*items));
    size_t next = 0;

    for (size_t i = start; i < actions->count; i++) {
        if (actions->items[i].kind != COORDINATOR_ACTION_PROPOSE) {
            items[next++] = actions->items[i];
        }
    }
    for (size_t i = start; i < actions->count; i++) {
        if (actions->items[i].kind == COORDINATOR_ACTION_PROPOSE) {
            items[next++] = actions->items[i];
        }
    }
    if (count > 0) {
        memcpy(actions->items + start, items, count * sizeof(*items));
    }
    free(items);
}

void
coordinator_step(struct coordinator *coordinator, int64_t now_us,
                 const struct coordinator_event *event,
                 struct coordinator_actions *actions)
{
    size_t start = actions->count;

    coordinator->now_us = now_us;
    coordinator->has_quorum = event->quorum;
    coordinator->actions = actions;
    if (event->kind == COORDINATOR_EVENT_TICK) {
        coordinator->wake_us = 0;
    }
    if (coordinator->is_active) {
        coordinator_sync_group(coordinator);
    }
    switch (event->kind) {
    case COORDINATOR_EVENT_ELECTED:
        coordinator_handle_elected(coordinator, event->leader_term);
        break;
    case COORDINATOR_EVENT_RENEW:
        coordinator_handle_renewal(coordinator, event->token, event->renew);
        break;
    case COORDINATOR_EVENT_ANNOUNCE:
        coordinator_handle_announcement(coordinator, event->token,
                                        event->announce);
        break;
    case COORDINATOR_EVENT_COMMAND:
        coordinator_handle_command(coordinator, event->token, event->command);
        break;
    default:
        if (event->kind == COORDINATOR_EVENT_APPLIED) {
            coordinator_note_leaving(coordinator, event);
        }
        if (coordinator->is_active) {
            coordinator_handle_event(coordinator, event);
        }
        break;
    }
    if (coordinator->is_active) {
        if (coordinator->publish_now && coordinator->has_quorum) {
            coordinator_publish(coordinator);
        }
        coordinator_wake_at(coordinator, coordinator->next_tick_us);
    }
    coordinator_actions_move_proposals_last(actions, start);
    coordinator->actions = NULL;
}
