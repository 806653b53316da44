#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "catkingrade/control/group_host_state.h"
#include "catkingrade/decide/raft/membership.h"
#include "catkingrade/kernel/log.h"
#include "catkingrade/kernel/outcome.h"

// Automatic management of a group's voters at its leader (setting
// voters_from_seeds): removes failed voters, keeps a standby learner and
// decides about VMs that want to join. The rules are in
// decide/raft/membership.h.

#define HOST_VOTERS_CHECK_INTERVAL_US 200000
#define HOST_VOTER_SILENCE_TIMEOUT_US 2000000

static int64_t
host_find_member_since_us(const struct group_host *host, uint64_t id,
                          int64_t now_us)
{
    for (size_t i = 0; i < host->members_count; i++) {
        if (host->members[i].id == id) {
            return host->members[i].since_us;
        }
    }
    return now_us;
}

// Updates since when this leader has seen each voter in the voter list. The
// time starts now for a new voter, and restarts for every voter if this leader
// has paused its checks: during the pause no voter had a chance to answer, so
// the pause must not count as silence.
static void
host_update_members(struct group_host *host, int64_t now_us, bool paused)
{
    const struct ck_voters_change *voters = raft_get_voters(host->raft);
    struct host_member members[HOST_MAX_VOTERS];
    size_t count = voters->voters.voters_len;

    for (size_t i = 0; i < count; i++) {
        members[i].id = voters->voters.voters_val[i].id;
        members[i].since_us =
            paused ? now_us
                   : host_find_member_since_us(host, members[i].id, now_us);
    }
    memcpy(host->members, members, count * sizeof(*members));
    host->members_count = count;
}

// Lists the voters with the time in microseconds since their last answer and
// since they were first seen. A voter that has not answered since then counts
// as silent from that time on. Returns their count.
static size_t
host_list_membership_voters(const struct group_host *host,
                            struct membership_voter members[HOST_MAX_VOTERS])
{
    const struct ck_voters_change *voters = raft_get_voters(host->raft);
    int64_t now_us = monotonic_get_us();
    size_t count = 0;

    for (u_int i = 0; i < voters->voters.voters_len; i++) {
        const struct ck_voter *voter = &voters->voters.voters_val[i];
        int64_t last_answer_us =
            raft_get_acked_round_us(host->raft, voter->id);
        int64_t since_us = host_find_member_since_us(host, voter->id, now_us);
        if (last_answer_us < since_us) {
            last_answer_us = since_us;
        }
        members[count].voter = voter;
        members[count].is_self = voter->id == host->params.self;
        members[count].silent_us = now_us - last_answer_us;
        members[count].known_us = now_us - since_us;
        count++;
    }
    return count;
}

static void
host_fill_membership_params(const struct group_host *host,
                            struct membership_params *params)
{
    params->target = 2 * host->params.daemon->settings->tolerated_losses + 1;
    params->silence_timeout_us = HOST_VOTER_SILENCE_TIMEOUT_US;
}

// Names the standby of the voter list in force to Raft, which gives a vote to
// every other learner that has caught up.
void
host_select_standby(struct group_host *host)
{
    struct membership_voter members[HOST_MAX_VOTERS];
    struct membership_params params;

    if (!host->params.daemon->settings->voters_from_seeds) {
        return;
    }
    host_fill_membership_params(host, &params);
    size_t count = host_list_membership_voters(host, members);
    raft_set_standby(host->raft,
                     membership_find_standby(&params, members, count));
}

// Begins the management of the voters at a new leader, which has not heard of
// any of them yet.
void
host_begin_voters(struct group_host *host)
{
    host->voters_checked_us = 0;
    host->members_count = 0;
    host_select_standby(host);
}

static void
host_remove_voter(struct group_host *host, uint64_t id)
{
    struct raft_event event = {.kind = RAFT_EVENT_CHANGE_VOTERS};

    LOG_INFO("voter_removed", "group=%s voter=%" PRIu64,
             host->params.group->name, id);
    event.change_voters.removed = id;
    event.change_voters.change_id = "";
    host_step_raft(host, &event);
}

// Selects the standby learner and removes at most one voter, as the membership
// rules require. Does nothing if this voter does not lead, or if called again
// within HOST_VOTERS_CHECK_INTERVAL_US.
void
host_maintain_voters(struct group_host *host)
{
    struct membership_voter members[HOST_MAX_VOTERS];
    struct membership_params params;
    int64_t now_us = monotonic_get_us();

    if (!host->leads || !host->params.daemon->settings->voters_from_seeds ||
        now_us - host->voters_checked_us < HOST_VOTERS_CHECK_INTERVAL_US) {
        return;
    }
    host_update_members(host, now_us,
                        now_us - host->voters_checked_us >
                            HOST_VOTER_SILENCE_TIMEOUT_US / 2);
    host->voters_checked_us = now_us;
    if (!raft_has_quorum(host->raft, now_us)) {
        return;
    }
    host_fill_membership_params(host, &params);
    size_t count = host_list_membership_voters(host, members);
    host_select_standby(host);
    uint64_t removed_id = membership_find_removal(&params, members, count);
    if (removed_id != MEMBERSHIP_NONE) {
        host_remove_voter(host, removed_id);
    }
}

// Writes the ids of the voters in the configuration in force, separated by
// commas. A learner's id is followed by "-", as it has no vote.
void
host_format_voters(const struct group_host *host,
                   char text[HOST_VOTERS_TEXT_SIZE])
{
    const struct ck_voters_change *voters = raft_get_voters(host->raft);
    size_t length = 0;

    text[0] = '\0';
    for (u_int i = 0; i < voters->voters.voters_len && i < HOST_MAX_VOTERS;
         i++) {
        const struct ck_voter *voter = &voters->voters.voters_val[i];
        length += (size_t)snprintf(
            text + length, HOST_VOTERS_TEXT_SIZE - length, "%s%" PRIu64 "%s",
            i == 0 ? "" : ",", voter->id, voter->voting ? "" : "-");
    }
}

// Decides whether a VM may join the group as a voter. Results as those of
// membership_check_join.
int
host_check_join(const struct group_host *host, const struct ck_voter *voter,
                uint64_t *number)
{
    struct membership_voter members[HOST_MAX_VOTERS];
    struct membership_params params;
    size_t count = host_list_membership_voters(host, members);

    host_fill_membership_params(host, &params);
    return membership_check_join(&params, members, count,
                                 raft_get_highest_voter_id(host->raft), voter,
                                 number);
}
