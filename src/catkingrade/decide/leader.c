#include "catkingrade/decide/leader.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "catkingrade/decide/leader_private.h"
#include "catkingrade/kernel/memory.h"
#include "catkingrade/kernel/outcome.h"
#include "catkingrade/rpc/codec.h"

// Sets the parameters to the defaults of the settings.
void
leader_params_init(struct leader_params *params)
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
leader_create(const struct leader_params *params,
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
leader_drop_proposals(struct leader *leader)
{
    while (leader->proposals != NULL) {
        struct leader_proposal *proposal =
            leader_take_proposal(leader, leader->proposals->token);
        if (proposal->reply == LEADER_REPLY_ANNOUNCE &&
            leader->actions != NULL) {
            leader_reply_text(leader, LEADER_ACTION_REPLY_ANNOUNCE,
                              proposal->reply_token, OUTCOME_UNKNOWN,
                              "this VM no longer leads; announce again");
        }
        leader_free_proposal(proposal);
    }
}

// Drops all that belongs to one time as leader.
static void
leader_reset(struct leader *leader)
{
    if (!leader->is_active) {
        return;
    }
    leader_drop_proposals(leader);
    leader_free_databases(leader);
    leader_free_quotas(leader);
    leader_free_relays(leader);
    leader_free_holders(leader);
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
leader_destroy(struct leader *leader)
{
    if (leader == NULL) {
        return;
    }
    leader_reset(leader);
    free(leader);
}

// Sets the group state after a snapshot was installed; a voter that leads
// does not get one.
void
leader_set_group(struct leader *leader, const struct group_state *group)
{
    leader->group = group;
}

// Returns whether this voter leads.
bool
leader_is_active(const struct leader *leader)
{
    return leader->is_active;
}

static void
leader_take_elected(struct leader *leader, uint64_t leader_term)
{
    struct announce_params params = {leader->params.announce_expiry_us,
                                     leader->params.publish_us};

    leader_reset(leader);
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
    leader_load_holders(leader);
    leader_load_databases(leader);
    leader_record(leader, "elected", NULL, "", "group=%s term=%" PRIu64,
                  group_get_name(leader->group), leader_term);
}

static void
leader_take_announce(struct leader *leader, uint64_t token,
                     const struct ck_upstream *announced)
{
    struct group_result reason;
    struct ck_upstream limited = *announced;
    const struct ck_upstream *upstream = &limited;
    struct ck_change change = {.kind = CK_CHANGE_UPSTREAM};

    if (!leader->is_active) {
        leader_reply_text(leader, LEADER_ACTION_REPLY_ANNOUNCE, token,
                          OUTCOME_NOT_LEADER, "this VM does not lead");
        return;
    }
    group_limit_upstream(leader->group, &limited);
    switch (announce_handle_upstream(leader->announce, leader->now_us,
                                     leader->group, upstream, &reason)) {
    case ANNOUNCE_UNCHANGED:
        leader_reply_text(leader, LEADER_ACTION_REPLY_ANNOUNCE, token,
                          OUTCOME_OK, "no change");
        break;
    case ANNOUNCE_DEFERRED:
        // A departure is acknowledged only once it cannot be forgotten.
        leader_reply_text(leader, LEADER_ACTION_REPLY_ANNOUNCE, token,
                          upstream->state == CK_UPSTREAM_LEAVING
                              ? OUTCOME_AGAIN
                              : OUTCOME_OK,
                          "taken; published within a second");
        break;
    case ANNOUNCE_REFUSED:
        leader_reply_text(leader, LEADER_ACTION_REPLY_ANNOUNCE, token,
                          reason.outcome, reason.message);
        break;
    case ANNOUNCE_WITHDRAW:
        change.kind = CK_CHANGE_UPSTREAM_EXPIRE;
        change.ck_change_u.upstream =
            *group_find_upstream(leader->group, upstream->name);
        leader_propose(leader, &change, upstream->name, LEADER_REPLY_ANNOUNCE,
                       token);
        break;
    case ANNOUNCE_PUBLISH:
        change.ck_change_u.upstream = *upstream;
        leader_propose(leader, &change, upstream->name, LEADER_REPLY_ANNOUNCE,
                       token);
        break;
    }
}

// A removal that was refused may be prepared again.
static void
leader_settle_removal(struct leader *leader, const char *upstream_name)
{
    const struct ck_upstream *upstream =
        group_find_upstream(leader->group, upstream_name);
    struct leader_database *db =
        upstream == NULL ? NULL
                         : leader_find_database(leader, upstream->database);

    if (db != NULL) {
        db->is_removing = false;
        db->is_removal_proposed = false;
    }
}

// Undoes what a proposal had marked, so that it is made again when needed.
static void
leader_settle_proposal(struct leader *leader,
                       const struct leader_proposal *proposal, int outcome)
{
    struct leader_database *db = NULL;

    switch (proposal->kind) {
    case CK_CHANGE_DAEMON:
    case CK_CHANGE_DAEMON_EXPIRE:
        leader_find_holder(leader, proposal->name)->proposed = false;
        break;
    case CK_CHANGE_UPSTREAM:
    case CK_CHANGE_UPSTREAM_EXPIRE:
        announce_end_proposal(leader->announce, proposal->name);
        leader_settle_removal(leader, proposal->name);
        break;
    case CK_CHANGE_CUSTOMER_STATE:
        if (outcome != OUTCOME_OK) {
            drain_reopen(leader->drain, proposal->name);
        }
        break;
    case CK_CHANGE_SUPERSEDE:
        db = leader_get_database(leader, proposal->name);
        if (outcome != OUTCOME_OK && db->phase == LEADER_SUPERSEDING) {
            leader_finish_command(leader, db, outcome,
                                  "the change did not get into the log");
            leader_set_phase(leader, db, LEADER_IDLE);
        }
        break;
    case CK_CHANGE_PRIMARY:
        db = leader_get_database(leader, proposal->name);
        if (outcome != OUTCOME_OK && db->phase == LEADER_PUBLISHING) {
            leader_choose_again(leader, db);
        }
        break;
    default:
        break;
    }
}

static void
leader_end_proposal(struct leader *leader, uint64_t token, int outcome,
                    const char *text)
{
    struct leader_proposal *proposal = leader_take_proposal(leader, token);

    if (proposal == NULL) {
        return;
    }
    leader_settle_proposal(leader, proposal, outcome);
    if (proposal->reply == LEADER_REPLY_ANNOUNCE) {
        leader_reply_text(leader, LEADER_ACTION_REPLY_ANNOUNCE,
                          proposal->reply_token, outcome, text);
    }
    leader_free_proposal(proposal);
}

// Takes the removal of an upstream.
static void
leader_take_removal(struct leader *leader, const char *database_name)
{
    const struct ck_database *database =
        group_find_database(leader->group, database_name);
    struct leader_database *db = leader_find_database(leader, database_name);

    if (database != NULL && db != NULL) {
        (void)leader_sync_members(db, database);
        db->is_removing = false;
        db->is_removal_proposed = false;
    }
}

// Takes a change of an upstream: a database without a term may get its first
// primary, and one that came back must follow the present primary.
static void
leader_take_upstream(struct leader *leader, const struct ck_upstream *changed)
{
    const char *name = changed->name;
    const struct ck_upstream *upstream =
        group_find_upstream(leader->group, name);
    const struct ck_database *database =
        group_find_database(leader->group, changed->database);

    if (database == NULL || upstream == NULL) {
        leader_take_removal(leader, changed->database);
        return;
    }
    struct leader_database *db = leader_get_database(leader, database->name);
    bool is_new = leader_sync_members(db, database);
    struct leader_member *member =
        &db->members[leader_find_member(database, name)];
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
    leader_run_database(leader, db);
}

static void
leader_take_change(struct leader *leader, const struct ck_change *change)
{
    const char *name = NULL;
    struct leader_database *db = NULL;

    switch (change->kind) {
    case CK_CHANGE_UPSTREAM:
    case CK_CHANGE_UPSTREAM_EXPIRE:
        leader_take_upstream(leader, &change->ck_change_u.upstream);
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
        leader_begin_revocation(leader, leader_get_database(leader, name));
        leader->publish_now = true;
        break;
    case CK_CHANGE_PRIMARY:
        name = change->ck_change_u.primary.database;
        db = leader_get_database(leader, name);
        leader_take_primary(leader, db,
                            group_find_database(leader->group, name));
        leader->publish_now = true;
        break;
    default:
        break;
    }
}

static void
leader_take_applied(struct leader *leader, const struct leader_event *event)
{
    const struct group_result *result = event->applied.result;

    if (result->outcome == OUTCOME_OK && !result->replayed) {
        leader_take_change(leader, event->applied.change);
    }
    if (event->token != 0) {
        leader_end_proposal(leader, event->token, result->outcome,
                            result->message);
    }
}

static void
leader_propose_upstream(void *data, ck_change_kind kind,
                        const struct ck_upstream *upstream)
{
    struct leader *leader = data;
    struct ck_change change = {.kind = kind};

    change.ck_change_u.upstream = *upstream;
    leader_propose(leader, &change, upstream->name, LEADER_REPLY_NONE, 0);
}

static void
leader_propose_closed(void *data, const char *customer, const char *report)
{
    struct leader *leader = data;
    struct ck_change change = {.kind = CK_CHANGE_CUSTOMER_STATE};
    struct ck_customer_state_change *state =
        &change.ck_change_u.customer_state;

    state->customer = (char *)(uintptr_t)customer;
    state->state = CK_CUSTOMER_CLOSED;
    state->report = (char *)(uintptr_t)report;
    leader_propose(leader, &change, customer, LEADER_REPLY_NONE, 0);
}

static bool
leader_see_draining(void *data, const struct ck_customer *customer)
{
    bool *found = data;

    *found = customer->state == CK_CUSTOMER_DRAINING;
    return !*found;
}

// Moves the shutdown of customers on. Customers belong to the fleet group.
static void
leader_run_drain(struct leader *leader)
{
    size_t count = 0;
    bool found = false;

    if (strcmp(group_get_name(leader->group), GROUP_FLEET_NAME) == 0) {
        group_visit_customers(leader->group, leader_see_draining, &found);
    }
    if (!found) {
        return;
    }
    struct drain_entry *entries =
        xcalloc(leader_count_live(leader), sizeof(*entries));
    for (const struct leader_holder *holder = leader->holders; holder != NULL;
         holder = holder->next) {
        if (leader_is_live(leader, holder)) {
            entries[count].vm = holder->daemon.vm;
            entries[count].known_revision = holder->known_revision;
            entries[count].open_requests = holder->open_requests;
            count++;
        }
    }
    drain_tick(leader->drain, leader->now_us, leader->group, entries, count,
               leader_propose_closed, leader);
    free(entries);
}

// Has the primaries watched that have not announced themselves of late.
static bool
leader_watch_primary(void *data, const struct ck_database *database)
{
    struct leader *leader = data;

    if (database->term == 0 || database->superseding) {
        return true;
    }
    int64_t last_us =
        announce_get_last_us(leader->announce, database->primary);
    if (leader->now_us - last_us >= leader->params.suspect_us) {
        (void)leader_get_database(leader, database->name);
    }
    return true;
}

static void
leader_take_tick(struct leader *leader)
{
    if (leader->now_us >= leader->next_tick_us) {
        leader->next_tick_us = leader->now_us + LEADER_TICK_US;
        group_visit_databases(leader->group, leader_watch_primary, leader);
        announce_tick(leader->announce, leader->now_us, leader->group,
                      leader_propose_upstream, leader);
        leader_expire_holders(leader);
        leader_run_drain(leader);
        leader->publish_now = leader->publish_now || leader->publish_soon;
    }
    for (struct leader_database *db = leader->databases; db != NULL;
         db = db->next) {
        leader_run_database(leader, db);
    }
}

static void
leader_take_active(struct leader *leader, const struct leader_event *event)
{
    switch (event->kind) {
    case LEADER_EVENT_DEPOSED:
        leader_reset(leader);
        break;
    case LEADER_EVENT_APPLIED:
        leader_take_applied(leader, event);
        break;
    case LEADER_EVENT_PROPOSE_FAILED:
        leader_end_proposal(leader, event->token, OUTCOME_UNAVAILABLE,
                            "the change did not get into the log");
        break;
    case LEADER_EVENT_PROBED:
    case LEADER_EVENT_PROBE_FAILED:
        leader_take_probe(leader, &event->probe,
                          event->kind == LEADER_EVENT_PROBED);
        break;
    case LEADER_EVENT_PROMOTED:
        leader_take_promoted(leader, &event->probe);
        break;
    case LEADER_EVENT_PROMOTE_FAILED:
        leader_take_promote_failed(leader, event->done.upstream,
                                   event->done.outcome);
        break;
    case LEADER_EVENT_FOLLOWED:
    case LEADER_EVENT_FENCED:
        leader_take_repair(leader, event->done.upstream,
                           event->kind == LEADER_EVENT_FENCED,
                           event->done.outcome);
        break;
    case LEADER_EVENT_NOTIFIED:
    case LEADER_EVENT_NOTIFY_FAILED:
        leader_take_notified(leader, event->notified.vm,
                             event->notified.incarnation,
                             event->notified.result);
        break;
    case LEADER_EVENT_TICK:
        leader_take_tick(leader);
        break;
    default:
        break;
    }
}

// Moves the proposals behind the other actions: a proposal may change the
// group state, from which the others borrow.
static void
leader_move_proposals(struct leader_actions *actions, size_t start)
{
    size_t count = actions->count - start;
    struct leader_action *items = xcalloc(count, sizeof(*items));
    size_t place = 0;

    for (size_t i = start; i < actions->count; i++) {
        if (actions->items[i].kind != LEADER_ACTION_PROPOSE) {
            items[place++] = actions->items[i];
        }
    }
    for (size_t i = start; i < actions->count; i++) {
        if (actions->items[i].kind == LEADER_ACTION_PROPOSE) {
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
leader_step(struct leader *leader, int64_t now_us,
            const struct leader_event *event, struct leader_actions *actions)
{
    size_t start = actions->count;

    leader->now_us = now_us;
    leader->has_quorum = event->quorum;
    leader->actions = actions;
    if (event->kind == LEADER_EVENT_TICK) {
        leader->wake_us = 0;
    }
    switch (event->kind) {
    case LEADER_EVENT_ELECTED:
        leader_take_elected(leader, event->leader_term);
        break;
    case LEADER_EVENT_RENEW:
        leader_take_renew(leader, event->token, event->renew);
        break;
    case LEADER_EVENT_ANNOUNCE:
        leader_take_announce(leader, event->token, event->announce);
        break;
    case LEADER_EVENT_COMMAND:
        leader_take_command(leader, event->token, event->command);
        break;
    default:
        if (leader->is_active) {
            leader_take_active(leader, event);
        }
        break;
    }
    if (leader->is_active) {
        if (leader->publish_now && leader->has_quorum) {
            leader_notify_all(leader);
        }
        leader_wake_at(leader, leader->next_tick_us);
    }
    leader_move_proposals(actions, start);
    leader->actions = NULL;
}
