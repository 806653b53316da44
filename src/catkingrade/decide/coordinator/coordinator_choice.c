// Choice of the next primary of a database from the answers of its upstreams.

#include <stdlib.h>
#include <string.h>

#include "catkingrade/decide/coordinator/coordinator_private.h"
#include "catkingrade/decide/coordinator/promotion.h"
#include "catkingrade/decide/promotion/history.h"
#include "catkingrade/kernel/memory.h"
#include "catkingrade/kernel/outcome.h"

// A planned switchover waits for its target to catch up during its time limit
// divided by COORDINATOR_CATCH_UP_DIVISOR, and until no more than what is kept
// for the promotion is left, but at least for its time limit divided by
// COORDINATOR_LEAST_CATCH_UP_DIVISOR.
#define COORDINATOR_CATCH_UP_DIVISOR       2
#define COORDINATOR_LEAST_CATCH_UP_DIVISOR 10
// After this number of failed probes the old primary counts as silent, and a
// planned switchover becomes a failover.
#define COORDINATOR_SILENT_PROBE_FAILURES 2
// With CK_PROMOTION_AVAILABLE, a complete choice is awaited for this time.
#define COORDINATOR_AVAILABLE_WAIT_US 1000000
// An upstream that is lost for this time is not expected to return with the
// writes of the newest terms.
#define COORDINATOR_RETURN_WAIT_US 15000000

// Probes all members. Returns the number of members, apart from except, that
// have neither answered nor failed since the phase began. Lost members are
// probed too, since they may have come back.
static size_t
coordinator_probe_members(struct coordinator *coordinator,
                          struct coordinator_database *db,
                          const struct ck_database *database, int except)
{
    size_t pending = 0;

    for (size_t i = 0; i < db->members_count; i++) {
        const struct coordinator_member *member = &db->members[i];
        coordinator_probe_member(coordinator, db, database, i);
        if (!member->answered && !member->failed && (int)i != except) {
            pending++;
        }
    }
    return pending;
}

// Returns whether each member has answered in this phase.
bool
coordinator_have_all_answered(const struct coordinator_database *db)
{
    for (size_t i = 0; i < db->members_count; i++) {
        if (!db->members[i].answered) {
            return false;
        }
    }
    return true;
}

// Returns whether a claim to be the primary is newer than another one: of a
// later term of the upstreams, or else of a more advanced log.
static bool
coordinator_is_newer_claim(const struct coordinator_member *left,
                           const struct coordinator_member *right)
{
    if (left->term != right->term) {
        return left->term > right->term;
    }
    return promotion_compare(&left->position, &right->position) > 0;
}

// Returns the index of the member that answered as a primary and may serve, or
// PROMOTION_NONE. Of several it returns the one with the newest claim.
static int
coordinator_find_answered_primary(const struct coordinator *coordinator,
                                  const struct coordinator_database *db)
{
    int index = PROMOTION_NONE;

    for (size_t i = 0; i < db->members_count; i++) {
        const struct coordinator_member *member = &db->members[i];
        if (member->answered && member->is_primary &&
            coordinator_may_serve(coordinator, member, 0) &&
            (index == PROMOTION_NONE ||
             coordinator_is_newer_claim(member, &db->members[index]))) {
            index = (int)i;
        }
    }
    return index;
}

// Returns whether a member has left, or leaves too soon to become or stay the
// primary.
static bool
coordinator_is_barred(const struct coordinator *coordinator,
                      const struct coordinator_member *member,
                      const struct ck_upstream *upstream)
{
    int64_t promotion_us =
        coordinator->params.switchover_us / COORDINATOR_PROMOTION_DIVISOR;

    return upstream->sequence == GROUP_SEQUENCE_WITHDRAWN ||
           !coordinator_may_serve(coordinator, member,
                                  member->is_primary ? 0 : promotion_us);
}

// Returns whether a member's log holds writes that a promotion has given up.
static bool
coordinator_is_diverged(const struct coordinator *coordinator,
                        const struct coordinator_database *db,
                        const struct coordinator_member *member)
{
    return member->answered &&
           !history_contains(group_find_history(coordinator->group, db->name),
                             &member->last_write);
}

// Returns whether only diverged logs are left: all other members have left, or
// have been lost for long.
static bool
coordinator_is_history_lost(const struct coordinator *coordinator,
                            const struct coordinator_database *db,
                            const struct ck_database *database)
{
    for (size_t i = 0; i < db->members_count; i++) {
        const struct coordinator_member *member = &db->members[i];
        const struct ck_upstream *upstream =
            &database->upstreams.upstreams_val[i];
        bool is_gone = upstream->sequence == GROUP_SEQUENCE_WITHDRAWN ||
                       (upstream->state == CK_UPSTREAM_LOST &&
                        coordinator->now_us - member->lost_us >=
                            COORDINATOR_RETURN_WAIT_US);
        if (!is_gone && !coordinator_is_diverged(coordinator, db, member)) {
            return false;
        }
    }
    return true;
}

// Calls promotion_choose on the answers, with or without the answer of the old
// primary. A diverged log does not count unless nothing else is left.
static struct promotion_choice
coordinator_choose_from_answers(const struct coordinator *coordinator,
                                const struct coordinator_database *db,
                                const struct ck_database *database,
                                bool with_old)
{
    const struct ck_customer *customer =
        group_find_customer_of_database(coordinator->group, db->name);
    struct promotion_answer *answers =
        xcalloc(db->members_count, sizeof(*answers));
    bool is_history_lost =
        coordinator_is_history_lost(coordinator, db, database);
    struct promotion_params params = {
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
        answers[i].is_barred =
            coordinator_is_barred(coordinator, member, upstream);
        answers[i].is_regressed =
            member->is_regressed ||
            (!is_history_lost &&
             coordinator_is_diverged(coordinator, db, member));
        answers[i].position = member->position;
    }
    struct promotion_choice choice = promotion_choose(&params);
    free(answers);
    return choice;
}

// Chooses the next primary. The old primary is chosen again only when no other
// choice is known to be complete: it may be reachable from the coordinator
// although the entries cannot reach it.
static struct promotion_choice
coordinator_choose_primary(const struct coordinator *coordinator,
                           const struct coordinator_database *db,
                           const struct ck_database *database)
{
    struct promotion_choice choice =
        coordinator_choose_from_answers(coordinator, db, database, false);

    if (choice.index == PROMOTION_NONE || !choice.is_complete) {
        choice =
            coordinator_choose_from_answers(coordinator, db, database, true);
    }
    return choice;
}

// Chooses the first primary of a database: an upstream that already is a
// primary or, after initial_primary_wait_us, the most advanced upstream.
void
coordinator_run_initial(struct coordinator *coordinator,
                        struct coordinator_database *db,
                        const struct ck_database *database)
{
    int64_t wait_end_us =
        db->phase_us + coordinator->params.initial_primary_wait_us;
    size_t pending =
        coordinator_probe_members(coordinator, db, database, PROMOTION_NONE);
    int primary = coordinator_find_answered_primary(coordinator, db);

    if (coordinator_continue_order(coordinator, db, database)) {
        return;
    }
    if (primary != PROMOTION_NONE &&
        (pending == 0 || coordinator->now_us >= wait_end_us)) {
        coordinator_promote(coordinator, db, database, primary);
        return;
    }
    if (coordinator->now_us < wait_end_us) {
        coordinator_wake_at(coordinator, wait_end_us);
        return;
    }
    struct promotion_choice choice =
        coordinator_choose_primary(coordinator, db, database);
    if (choice.index != PROMOTION_NONE) {
        coordinator_promote(coordinator, db, database, choice.index);
    }
}

// Returns the index of the switchover's target. Without a target, returns the
// most advanced ready replica, or PROMOTION_NONE.
static int
coordinator_find_target(const struct coordinator_database *db,
                        const struct ck_database *database)
{
    int index = PROMOTION_NONE;

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
        if (index == PROMOTION_NONE ||
            promotion_compare(&db->members[i].position,
                              &db->members[index].position) > 0) {
            index = (int)i;
        }
    }
    return index;
}

// Returns when a planned switchover stops waiting for its target. The target
// has a least time to answer, however late the change is.
static int64_t
coordinator_get_catch_up_end_us(const struct coordinator *coordinator,
                                const struct coordinator_database *db)
{
    int64_t limit_us = coordinator->params.switchover_us;
    int64_t last_us =
        db->change_end_us - limit_us / COORDINATOR_PROMOTION_DIVISOR;
    int64_t least_us =
        db->phase_us + limit_us / COORDINATOR_LEAST_CATCH_UP_DIVISOR;
    int64_t end_us = db->phase_us + limit_us / COORDINATOR_CATCH_UP_DIVISOR;

    if (end_us > last_us) {
        end_us = last_us;
    }
    return end_us < least_us ? least_us : end_us;
}

// Returns the index of a ready upstream that is known to hold every
// acknowledged write without an answer of the old primary, as in a failover.
// PROMOTION_NONE if there is none, or if the customer takes unconfirmed writes
// for acknowledged.
static int
coordinator_choose_without_old(const struct coordinator *coordinator,
                               const struct coordinator_database *db,
                               const struct ck_database *database)
{
    const struct ck_customer *customer =
        group_find_customer_of_database(coordinator->group, db->name);
    struct promotion_choice choice =
        coordinator_choose_from_answers(coordinator, db, database, false);
    bool holds_all = customer != NULL &&
                     customer->unconfirmed == CK_UNCONFIRMED_UNKNOWN &&
                     choice.is_complete;

    if (!holds_all || database->upstreams.upstreams_val[choice.index].state !=
                          CK_UPSTREAM_READY) {
        return PROMOTION_NONE;
    }
    return choice.index;
}

// Ends a planned switchover whose target has not caught up. A leaving primary
// is replaced by an upstream that holds every acknowledged write, if there is
// one. Otherwise the old primary stays, in a new term. If its time is over,
// the switchover becomes a failover.
static void
coordinator_end_catch_up(struct coordinator *coordinator,
                         struct coordinator_database *db,
                         const struct ck_database *database, int old_primary)
{
    const struct ck_upstream *old =
        &database->upstreams.upstreams_val[old_primary];
    bool is_leaving = old->state == CK_UPSTREAM_LEAVING;
    int index = is_leaving && db->target == NULL
                    ? coordinator_choose_without_old(coordinator, db, database)
                    : PROMOTION_NONE;

    if (index == PROMOTION_NONE &&
        coordinator_is_barred(coordinator, &db->members[old_primary], old)) {
        db->is_planned = false;
        return;
    }
    if (index == PROMOTION_NONE) {
        coordinator_record(coordinator, "switchover_given_up", database,
                           database->primary, "database=%s", db->name);
        index = old_primary;
    }
    coordinator_promote(coordinator, db, database, index);
}

// Promotes the target of a planned switchover once it has reached the position
// of the old primary, which accepts no more writes. If the old primary is lost
// meanwhile, the switchover becomes a failover.
static void
coordinator_run_planned(struct coordinator *coordinator,
                        struct coordinator_database *db,
                        const struct ck_database *database)
{
    int old_primary =
        coordinator_find_upstream_index(database, database->primary);
    int target = coordinator_find_target(db, database);
    int64_t limit_us = coordinator_get_catch_up_end_us(coordinator, db);

    if (db->members[old_primary].failures >=
        COORDINATOR_SILENT_PROBE_FAILURES) {
        db->is_planned = false;
        return;
    }
    bool old_answered = db->members[old_primary].answered;
    if (!old_answered && !db->members[old_primary].is_busy) {
        return;
    }
    if (old_answered && target != PROMOTION_NONE &&
        db->members[target].answered &&
        promotion_compare(&db->members[target].position,
                          &db->members[old_primary].position) >= 0) {
        coordinator_promote(coordinator, db, database, target);
        return;
    }
    if (coordinator->now_us >= limit_us) {
        coordinator_end_catch_up(coordinator, db, database, old_primary);
        return;
    }
    coordinator_wake_at(coordinator, limit_us);
}

static void
coordinator_record_incomplete(struct coordinator *coordinator,
                              struct coordinator_database *db,
                              const struct ck_database *database)
{
    size_t answered = 0;
    size_t diverged = 0;

    if (db->is_incomplete_recorded) {
        return;
    }
    for (size_t i = 0; i < db->members_count; i++) {
        const struct coordinator_member *member = &db->members[i];
        answered += member->answered ? 1 : 0;
        diverged += coordinator_is_diverged(coordinator, db, member) ? 1 : 0;
    }
    db->is_incomplete_recorded = true;
    coordinator_record(coordinator, "promotion_waits", database,
                       database->primary,
                       "database=%s answered=%zu of=%zu diverged=%zu",
                       db->name, answered, db->members_count, diverged);
}

// Returns whether the customer's template prefers to continue without
// unconfirmed saves over waiting for an upstream that holds them.
static bool
coordinator_prefers_available(const struct coordinator *coordinator,
                              const struct coordinator_database *db)
{
    const struct ck_customer *customer =
        group_find_customer_of_database(coordinator->group, db->name);

    return customer != NULL && customer->promotion == CK_PROMOTION_AVAILABLE;
}

// Returns whether a member has answered in this phase, and has not fallen
// silent since.
static bool
coordinator_still_answers(const struct coordinator_member *member)
{
    bool is_silent = member->failed &&
                     member->failures >= COORDINATOR_SILENT_PROBE_FAILURES;

    return member->answered && !is_silent;
}

// Chooses the next primary of a customer that prefers availability. While the
// old primary answers, it accepts no more saves: a replica that catches up
// with it is promoted, otherwise the old primary stays, or is waited for if it
// leaves too soon to stay. If it does not answer,
// the coordinator waits for the other upstreams up to
// COORDINATOR_AVAILABLE_WAIT_US and promotes the most advanced one.
static void
coordinator_run_available(struct coordinator *coordinator,
                          struct coordinator_database *db,
                          const struct ck_database *database, size_t pending)
{
    int old_primary =
        coordinator_find_upstream_index(database, database->primary);
    struct promotion_choice choice =
        coordinator_choose_from_answers(coordinator, db, database, false);
    bool old_answers = old_primary >= 0 &&
                       coordinator_still_answers(&db->members[old_primary]);
    bool caught_up =
        choice.index != PROMOTION_NONE &&
        (choice.is_complete ||
         (old_answers &&
          promotion_compare(&db->members[choice.index].position,
                            &db->members[old_primary].position) >= 0));
    bool old_may_stay = old_primary >= 0 &&
                        !coordinator_is_barred(
                            coordinator, &db->members[old_primary],
                            &database->upstreams.upstreams_val[old_primary]);
    bool waited =
        coordinator->now_us - db->phase_us >= COORDINATOR_AVAILABLE_WAIT_US;
    bool is_collected = pending == 0 && coordinator->now_us - db->phase_us >=
                                            COORDINATOR_COLLECT_WAIT_US;

    if (old_answers && !caught_up && waited && old_may_stay) {
        coordinator_promote(coordinator, db, database, old_primary);
    }
    else if (choice.index != PROMOTION_NONE &&
             (caught_up || (!old_answers && (is_collected || waited)))) {
        coordinator_promote(coordinator, db, database, choice.index);
    }
    else {
        if (waited) {
            coordinator_record_incomplete(coordinator, db, database);
        }
        coordinator_wake_at(coordinator, coordinator->now_us +
                                             coordinator->params.probe_us);
    }
}

// Chooses the next primary from the answers. A choice that is known to be
// complete is promoted. Otherwise the database waits for further answers or
// for an operator's command.
void
coordinator_run_collecting(struct coordinator *coordinator,
                           struct coordinator_database *db,
                           const struct ck_database *database)
{
    int old_primary =
        coordinator_find_upstream_index(database, database->primary);
    size_t pending =
        coordinator_probe_members(coordinator, db, database, old_primary);

    if (coordinator_continue_order(coordinator, db, database)) {
        return;
    }
    if (db->is_planned) {
        coordinator_run_planned(coordinator, db, database);
        return;
    }
    if (coordinator_prefers_available(coordinator, db)) {
        coordinator_run_available(coordinator, db, database, pending);
        return;
    }
    struct promotion_choice choice =
        coordinator_choose_primary(coordinator, db, database);
    int64_t wait_end_us = db->phase_us + COORDINATOR_COLLECT_WAIT_US;
    if (choice.is_complete &&
        (pending == 0 || coordinator->now_us >= wait_end_us)) {
        coordinator_promote(coordinator, db, database, choice.index);
        return;
    }
    if (choice.is_complete) {
        coordinator_wake_at(coordinator, wait_end_us);
        return;
    }
    int target = db->is_operator_approved
                     ? coordinator_find_upstream_index(database, db->target)
                     : PROMOTION_NONE;
    if (target != PROMOTION_NONE && db->members[target].answered &&
        !coordinator_is_barred(coordinator, &db->members[target],
                               &database->upstreams.upstreams_val[target])) {
        coordinator_promote(coordinator, db, database, target);
        return;
    }
    if (pending == 0) {
        coordinator_record_incomplete(coordinator, db, database);
    }
}
