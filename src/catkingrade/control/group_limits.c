#include <inttypes.h>

#include "catkingrade/control/group_host_state.h"
#include "catkingrade/control/limit_list.h"
#include "catkingrade/decide/customer/limit_lender.h"
#include "catkingrade/decide/group/declaration.h"
#include "catkingrade/kernel/log.h"
#include "catkingrade/kernel/memory.h"
#include "catkingrade/kernel/outcome.h"

// Rate limits of customers at the leader. The lender is created at the first
// call of an entry.

// Windows of the rate limits that the term before must have lasted, so that a
// new leader may give initial tokens; see struct limit_budget.
#define HOST_LIMIT_WINDOWS 2

static uint64_t
host_get_declaration_number(const struct group_host *host)
{
    const struct ck_packed_declaration *packed =
        group_get_declaration(host->state);

    return packed == NULL ? 0 : packed->number;
}

// Notes a change of the Raft term; called at each step of the leadership. A
// new leader may lend a little at once if the term before was long enough.
void
host_note_term(struct group_host *host)
{
    uint64_t term = host->failed ? 0 : raft_get_term(host->raft);
    int64_t now_us = monotonic_get_us();

    if (term == host->limits.term) {
        return;
    }
    host->limits.settled =
        host->limits.term != 0 &&
        now_us - host->limits.term_since_us >
            HOST_LIMIT_WINDOWS *
                host->params.daemon->settings->limit_window_us;
    host->limits.term = term;
    host->limits.term_since_us = now_us;
}

// Forgets what an earlier leadership has lent; when this voter begins or ends
// to lead.
void
host_reset_limits(struct group_host *host)
{
    limit_lender_destroy(host->limits.lender);
    host->limits.lender = NULL;
    host->limits.begun_us = monotonic_get_us();
    host->limits.first_number = host_get_declaration_number(host);
}

static void
host_create_lender(struct group_host *host)
{
    const struct settings *settings = host->params.daemon->settings;
    struct limit_lender_params params = {
        .bound = {.window_us = settings->limit_window_us,
                  .excess = settings->limit_excess,
                  .slack = settings->limit_slack},
        .drift_ppm = settings->clock_drift_ppm,
    };

    host->limits.lender = limit_lender_create(&params);
    limit_lender_begin(host->limits.lender, host->limits.begun_us,
                       host->limits.settled);
    if (host->limits.first_number == 0) {
        limit_lender_set_limits(host->limits.lender, host->limits.begun_us, 0,
                                NULL, 0);
    }
    LOG_INFO("limits_lent", "group=%s term=%" PRIu64 " initial=%d",
             host->params.group->name, host->limits.term,
             host->limits.settled);
}

// Puts the limits of the declaration in force, if it has changed.
static void
host_update_limits(struct group_host *host)
{
    const struct ck_packed_declaration *packed =
        group_get_declaration(host->state);
    struct ck_declaration declaration;
    struct limit_list limits = {0};

    if (packed == NULL ||
        packed->number == limit_lender_get_number(host->limits.lender) ||
        declaration_unpack(packed, &declaration) != OUTCOME_OK) {
        return;
    }
    limit_list_fill(&limits, &declaration);
    limit_lender_set_limits(host->limits.lender,
                            packed->number == host->limits.first_number
                                ? host->limits.begun_us
                                : monotonic_get_us(),
                            packed->number, limits.items, limits.count);
    LOG_INFO("limits_set", "group=%s declaration=%" PRIu64 " customers=%zu",
             host->params.group->name, packed->number, limits.count);
    limit_list_free(&limits);
    declaration_free(&declaration);
}

// Handles a call of an entry for tokens.
void
group_host_handle_borrow(struct group_host *host,
                         struct rpcnet_request *request,
                         const struct ck_borrow_args *args)
{
    struct ck_borrow_result reply = {.outcome = OUTCOME_NOT_LEADER,
                                     .sequence = args->sequence};
    int64_t now_us = monotonic_get_us();

    if (host->leads && raft_has_quorum(host->raft, now_us)) {
        if (host->limits.lender == NULL) {
            host_create_lender(host);
        }
        host_update_limits(host);
        reply = *limit_lender_borrow(host->limits.lender, now_us, args);
    }
    host_fill_leader_hint(host, &reply.leader_host, &reply.leader_port);
    rpcnet_reply(request, &reply);
}

// Appends what is left and lent of the limits; an empty list if no entry has
// borrowed. Returns the cursor of the next page, or 0 after the last one.
uint64_t
host_describe_limits(struct group_host *host, const char *name,
                     uint64_t cursor, struct buffer *json)
{
    if (host->limits.lender == NULL) {
        buffer_append_text(json, "[]");
        return 0;
    }
    host_update_limits(host);
    return limit_lender_describe(host->limits.lender, monotonic_get_us(), name,
                                 cursor, json);
}
