#include <stdlib.h>
#include <string.h>

#include "catkingrade/decide/coordinator_private.h"
#include "catkingrade/decide/promotion.h"
#include "catkingrade/kernel/memory.h"
#include "catkingrade/kernel/outcome.h"

// A planned switchover waits this part of its time limit for its target.
#define COORDINATOR_CATCH_UP_DIVISOR           2
#define COORDINATOR_PLANNED_PROBE_FAILURES_MAX 2
// Where availability comes first, a complete choice is awaited for so long.
#define COORDINATOR_AVAILABLE_WAIT_US 1000000

// Probes all members and returns how many have neither answered nor failed
// since the phase began. Lost ones are probed too: they may have come back.
static size_t
coordinator_probe_members(struct leader *leader,
                          struct coordinator_database *db,
                          const struct ck_database *database, int except)
{
    size_t pending = 0;

    for (size_t i = 0; i < db->members_count; i++) {
        const struct coordinator_member *member = &db->members[i];
        coordinator_probe_member(leader, db, database, i);
        if (!member->answered && !member->failed && (int)i != except) {
            pending++;
        }
    }
    return pending;
}

// Returns the primary among those that answered, the most advanced of several.
static int
coordinator_find_answered_primary(const struct coordinator_database *db)
{
    int place = PROMOTION_NONE;

    for (size_t i = 0; i < db->members_count; i++) {
        const struct coordinator_member *member = &db->members[i];
        if (member->answered && member->is_primary &&
            (place == PROMOTION_NONE ||
             promotion_compare(&member->position,
                               &db->members[place].position) > 0)) {
            place = (int)i;
        }
    }
    return place;
}

// Asks what promotion_choose makes of the answers, with that of the old
// primary or without it.
static struct promotion_choice
coordinator_choose_from_answers(const struct leader *leader,
                                const struct coordinator_database *db,
                                const struct ck_database *database,
                                bool with_old)
{
    const struct ck_customer *customer =
        group_find_customer_of_database(leader->group, db->name);
    struct promotion_answer *answers =
        xcalloc(db->members_count, sizeof(*answers));
    struct promotion_params question = {
        .answers = answers,
        .count = db->members_count,
        .confirm = customer == NULL ? 0 : customer->confirm,
        .base = database->base,
    };

    for (size_t i = 0; i < db->members_count; i++) {
        const struct coordinator_member *member = &db->members[i];
        const struct ck_upstream *upstream =
            &database->upstreams.upstreams_val[i];
        answers[i].is_old_primary =
            strcmp(upstream->name, database->primary) == 0;
        answers[i].answered =
            member->answered && (with_old || !answers[i].is_old_primary);
        answers[i].is_leaving = upstream->state == CK_UPSTREAM_LEAVING;
        answers[i].is_regressed = member->is_regressed;
        answers[i].position = member->position;
    }
    struct promotion_choice choice = promotion_choose(&question);
    free(answers);
    return choice;
}

// Chooses the next primary. One that lost its term is taken again only when no
// other choice is known to be complete: the leader may reach it although the
// entries do not.
static struct promotion_choice
coordinator_choose_primary(const struct leader *leader,
                           const struct coordinator_database *db,
                           const struct ck_database *database)
{
    struct promotion_choice choice =
        coordinator_choose_from_answers(leader, db, database, false);

    if (choice.index == PROMOTION_NONE || !choice.is_complete) {
        choice = coordinator_choose_from_answers(leader, db, database, true);
    }
    return choice;
}

// Looks for the first primary of a database: the upstream that is one
// already, or after a while the most advanced.
void
coordinator_run_initial(struct leader *leader, struct coordinator_database *db,
                        const struct ck_database *database)
{
    int64_t settled_us = db->phase_us + leader->params.settle_us;
    size_t pending =
        coordinator_probe_members(leader, db, database, PROMOTION_NONE);
    int primary = coordinator_find_answered_primary(db);

    if (primary != PROMOTION_NONE &&
        (pending == 0 || leader->now_us >= settled_us)) {
        coordinator_promote(leader, db, database, primary);
        return;
    }
    if (leader->now_us < settled_us) {
        coordinator_wake_at(leader, settled_us);
        return;
    }
    struct promotion_choice choice =
        coordinator_choose_primary(leader, db, database);
    if (choice.index != PROMOTION_NONE) {
        coordinator_promote(leader, db, database, choice.index);
    }
}

// Returns the place of the switchover's target; without one, of the most
// advanced replica that is ready.
static int
coordinator_find_target(const struct coordinator_database *db,
                        const struct ck_database *database)
{
    int place = PROMOTION_NONE;

    if (db->target != NULL) {
        return coordinator_find_upstream_index(database, db->target);
    }
    for (size_t i = 0; i < db->members_count; i++) {
        const struct ck_upstream *upstream =
            &database->upstreams.upstreams_val[i];
        if (!db->members[i].answered || upstream->state != CK_UPSTREAM_READY ||
            strcmp(upstream->name, database->primary) == 0) {
            continue;
        }
        if (place == PROMOTION_NONE ||
            promotion_compare(&db->members[i].position,
                              &db->members[place].position) > 0) {
            place = (int)i;
        }
    }
    return place;
}

// Promotes the target of a planned switchover once it holds all that the
// primary holds, which takes no more writes. A target that is too slow leaves
// the primary in its place, with a new term; a primary that is lost meanwhile
// makes it a failover.
static void
coordinator_run_planned(struct leader *leader, struct coordinator_database *db,
                        const struct ck_database *database)
{
    int old = coordinator_find_upstream_index(database, database->primary);
    int target = coordinator_find_target(db, database);
    int64_t limit_us = db->phase_us + leader->params.switchover_us /
                                          COORDINATOR_CATCH_UP_DIVISOR;

    if (db->members[old].failures >= COORDINATOR_PLANNED_PROBE_FAILURES_MAX) {
        db->is_planned = false;
        return;
    }
    if (!db->members[old].answered) {
        return;
    }
    if (target != PROMOTION_NONE && db->members[target].answered &&
        promotion_compare(&db->members[target].position,
                          &db->members[old].position) >= 0) {
        coordinator_promote(leader, db, database, target);
        return;
    }
    if (leader->now_us >= limit_us) {
        coordinator_record(leader, "switchover_given_up", database,
                           database->primary, "database=%s", db->name);
        coordinator_promote(leader, db, database, old);
        return;
    }
    coordinator_wake_at(leader, limit_us);
}

static void
coordinator_record_incomplete(struct leader *leader,
                              struct coordinator_database *db,
                              const struct ck_database *database)
{
    size_t answered = 0;

    if (db->is_incomplete_recorded) {
        return;
    }
    for (size_t i = 0; i < db->members_count; i++) {
        answered += db->members[i].answered ? 1 : 0;
    }
    db->is_incomplete_recorded = true;
    coordinator_record(leader, "promotion_waits", database, database->primary,
                       "database=%s answered=%zu of=%zu", db->name, answered,
                       db->members_count);
}

// Returns whether the customer would rather go on without unconfirmed saves
// than wait for an upstream that holds them.
static bool
coordinator_prefers_available(const struct leader *leader,
                              const struct coordinator_database *db)
{
    const struct ck_customer *customer =
        group_find_customer_of_database(leader->group, db->name);

    return customer != NULL && customer->promotion == CK_PROMOTION_AVAILABLE;
}

// Chooses the next primary where availability comes first. An old primary
// that still answers takes no more saves: a replica may catch up with it, and
// otherwise it stays. When it does not answer, all others that do are heard
// for a short while, and the most advanced is taken.
static void
coordinator_run_available(struct leader *leader,
                          struct coordinator_database *db,
                          const struct ck_database *database, size_t pending)
{
    int old = coordinator_find_upstream_index(database, database->primary);
    struct promotion_choice choice =
        coordinator_choose_from_answers(leader, db, database, false);
    bool old_answers = old >= 0 && db->members[old].answered;
    bool caught_up =
        choice.index != PROMOTION_NONE &&
        (choice.is_complete ||
         (old_answers && promotion_compare(&db->members[choice.index].position,
                                           &db->members[old].position) >= 0));
    bool waited =
        leader->now_us - db->phase_us >= COORDINATOR_AVAILABLE_WAIT_US;
    bool heard = pending == 0 &&
                 leader->now_us - db->phase_us >= COORDINATOR_COLLECT_WAIT_US;

    if (old_answers && !caught_up && waited) {
        coordinator_promote(leader, db, database, old);
    }
    else if (choice.index != PROMOTION_NONE &&
             (caught_up || (!old_answers && (heard || waited)))) {
        coordinator_promote(leader, db, database, choice.index);
    }
    else {
        coordinator_wake_at(leader, leader->now_us + leader->params.probe_us);
    }
}

// Chooses among the answers of the upstreams left. A choice that is known to
// be complete is promoted; otherwise more answers or an operator's word are
// awaited.
void
coordinator_run_collecting(struct leader *leader,
                           struct coordinator_database *db,
                           const struct ck_database *database)
{
    int old = coordinator_find_upstream_index(database, database->primary);
    size_t pending = coordinator_probe_members(leader, db, database, old);

    if (db->is_planned) {
        coordinator_run_planned(leader, db, database);
        return;
    }
    if (coordinator_prefers_available(leader, db)) {
        coordinator_run_available(leader, db, database, pending);
        return;
    }
    struct promotion_choice choice =
        coordinator_choose_primary(leader, db, database);
    int64_t enough_us = db->phase_us + COORDINATOR_COLLECT_WAIT_US;
    if (choice.is_complete && (pending == 0 || leader->now_us >= enough_us)) {
        coordinator_promote(leader, db, database, choice.index);
        return;
    }
    if (choice.is_complete) {
        coordinator_wake_at(leader, enough_us);
        return;
    }
    int target = db->is_operator_approved
                     ? coordinator_find_upstream_index(database, db->target)
                     : PROMOTION_NONE;
    if (target != PROMOTION_NONE && db->members[target].answered) {
        coordinator_promote(leader, db, database, target);
        return;
    }
    if (pending == 0) {
        coordinator_record_incomplete(leader, db, database);
    }
}
