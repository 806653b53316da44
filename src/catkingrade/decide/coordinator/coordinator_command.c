// Operators' commands about databases: switchover and promote.

#include <string.h>

#include "catkingrade/decide/coordinator/coordinator_private.h"
#include "catkingrade/kernel/memory.h"
#include "catkingrade/kernel/outcome.h"

static void
coordinator_reply_command(struct coordinator *coordinator, uint64_t token,
                          int outcome, const char *text)
{
    coordinator_reply_text(coordinator, COORDINATOR_ACTION_REPLY_COMMAND,
                           token, outcome, text);
}

static void
coordinator_accept_command(struct coordinator_database *db, uint64_t token,
                           const char *target)
{
    db->command_token = token;
    db->target = xstrdup(target);
}

// Begins a planned switchover. The command is idempotent: it succeeds at once
// if the target already is the primary.
static void
coordinator_handle_switchover(struct coordinator *coordinator, uint64_t token,
                              struct coordinator_database *db,
                              const struct ck_database *database,
                              const char *target)
{
    int index = coordinator_find_upstream_index(database, target);

    if (db->phase != COORDINATOR_PHASE_IDLE || db->planned_reason != NULL) {
        coordinator_reply_command(coordinator, token, OUTCOME_AGAIN,
                                  "a change of primary is under way");
    }
    else if (strcmp(database->primary, target) == 0) {
        coordinator_reply_command(coordinator, token, OUTCOME_OK,
                                  "it is the primary already");
    }
    else if (database->upstreams.upstreams_val[index].state !=
             CK_UPSTREAM_READY) {
        coordinator_reply_command(coordinator, token, OUTCOME_UNAVAILABLE,
                                  "the target is not ready");
    }
    else {
        coordinator_accept_command(db, token, target);
        coordinator_plan_change(coordinator, db, "switchover",
                                coordinator->now_us);
        coordinator_run_database(coordinator, db);
    }
}

// Promotes the target in a failover that waits for a complete replica,
// although the target may lack acknowledged saves. The customer's template
// must allow operators to do so.
static void
coordinator_handle_promote(struct coordinator *coordinator, uint64_t token,
                           struct coordinator_database *db,
                           const struct ck_database *database,
                           const char *target)
{
    const struct ck_customer *customer =
        group_find_customer_of_database(coordinator->group, database->name);

    if (strcmp(database->primary, target) == 0 && !database->superseding) {
        coordinator_reply_command(coordinator, token, OUTCOME_OK,
                                  "it is the primary already");
    }
    else if (db->phase != COORDINATOR_PHASE_COLLECTING || db->is_planned) {
        coordinator_reply_command(coordinator, token, OUTCOME_INVALID,
                                  "no promotion of this database waits; use "
                                  "switchover");
    }
    else if (customer == NULL ||
             customer->promotion != CK_PROMOTION_OPERATOR) {
        coordinator_reply_command(
            coordinator, token, OUTCOME_DENIED,
            "the customer's template says that promotion "
            "waits for a complete replica");
    }
    else if (db->command_token != 0) {
        coordinator_reply_command(coordinator, token, OUTCOME_AGAIN,
                                  "another command is under way");
    }
    else {
        coordinator_finish_command(coordinator, db, OUTCOME_OK, "");
        coordinator_accept_command(db, token, target);
        db->is_operator_approved = true;
        coordinator_run_database(coordinator, db);
    }
}

// Handles an operator's command. A command that is refused, or whose target
// is the primary already, is answered at once. Otherwise the reply is sent
// when the switchover or promotion has ended.
void
coordinator_handle_command(struct coordinator *coordinator, uint64_t token,
                           const struct ck_command_args *args)
{
    if (!coordinator->is_active) {
        coordinator_reply_command(coordinator, token, OUTCOME_NOT_LEADER,
                                  "this VM does not lead");
        return;
    }
    const struct ck_database *database =
        group_find_database(coordinator->group, args->database);
    if (args->kind != CK_COMMAND_SWITCHOVER &&
        args->kind != CK_COMMAND_PROMOTE) {
        coordinator_reply_command(coordinator, token, OUTCOME_NOT_SUPPORTED,
                                  "not a command about databases");
        return;
    }
    if (database == NULL || database->term == 0) {
        coordinator_reply_command(coordinator, token, OUTCOME_NOT_FOUND,
                                  "no such database with a primary");
        return;
    }
    if (coordinator_find_upstream_index(database, args->target) < 0) {
        coordinator_reply_command(coordinator, token, OUTCOME_NOT_FOUND,
                                  "the target is no upstream of the database");
        return;
    }
    struct coordinator_database *db =
        coordinator_get_or_add_database(coordinator, database->name);
    coordinator_sync_members(db, database);
    if (args->kind == CK_COMMAND_SWITCHOVER) {
        coordinator_handle_switchover(coordinator, token, db, database,
                                      args->target);
    }
    else {
        coordinator_handle_promote(coordinator, token, db, database,
                                   args->target);
    }
}
