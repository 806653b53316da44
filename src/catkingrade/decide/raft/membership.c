#include "catkingrade/decide/raft/membership.h"

#include <string.h>

#include "catkingrade/kernel/outcome.h"

static bool
membership_is_same_address(const struct ck_voter *left,
                           const struct ck_voter *right)
{
    return left->port == right->port && strcmp(left->host, right->host) == 0;
}

// Returns whether the voter's VM has rejoined under a later id that has a
// vote. A VM rejoins under a new id only after it has lost its disk.
static bool
membership_is_superseded(const struct membership_voter *voters, size_t count,
                         const struct ck_voter *voter)
{
    for (size_t i = 0; i < count; i++) {
        const struct ck_voter *other = voters[i].voter;
        if (other->id > voter->id && other->voting &&
            membership_is_same_address(other, voter)) {
            return true;
        }
    }
    return false;
}

static size_t
membership_count_voting(const struct membership_voter *voters, size_t count)
{
    size_t voting = 0;

    for (size_t i = 0; i < count; i++) {
        voting += voters[i].voter->voting ? 1 : 0;
    }
    return voting;
}

static bool
membership_answers(const struct membership_params *params,
                   const struct membership_voter *voter)
{
    return voter->is_self || voter->silent_us < params->silence_timeout_us;
}

static size_t
membership_count_answering(const struct membership_params *params,
                           const struct membership_voter *voters, size_t count)
{
    size_t answering = 0;

    for (size_t i = 0; i < count; i++) {
        answering +=
            voters[i].voter->voting && membership_answers(params, &voters[i])
                ? 1
                : 0;
    }
    return answering;
}

// Returns whether every voter answers.
static bool
membership_all_answer(const struct membership_params *params,
                      const struct membership_voter *voters, size_t count)
{
    return membership_count_answering(params, voters, count) ==
           membership_count_voting(voters, count);
}

// Returns whether a VM without a vote has the address of a listed voter. Such
// a VM has lost its disk and rejoins under a new id.
static bool
membership_is_rejoin(const struct membership_voter *voters, size_t count,
                     const struct ck_voter *added)
{
    for (size_t i = 0; i < count; i++) {
        if (voters[i].voter->voting &&
            membership_is_same_address(voters[i].voter, added)) {
            return true;
        }
    }
    return false;
}

// Finds the standby: with all votes assigned and all voters answering, the
// first learner that does not rejoin after the loss of its disk.
uint64_t
membership_find_standby(const struct membership_params *params,
                        const struct membership_voter *voters, size_t count)
{
    size_t voting = membership_count_voting(voters, count);

    if (voting < params->target ||
        !membership_all_answer(params, voters, count)) {
        return MEMBERSHIP_NONE;
    }
    for (size_t i = 0; i < count; i++) {
        if (!voters[i].voter->voting &&
            !membership_is_rejoin(voters, count, voters[i].voter)) {
            return voters[i].voter->id;
        }
    }
    return MEMBERSHIP_NONE;
}

// Returns whether another member has the address of the member at index. One
// of the two then replaces the other after the loss of its disk.
static bool
membership_has_duplicate_address(const struct membership_voter *voters,
                                 size_t count, size_t index)
{
    for (size_t i = 0; i < count; i++) {
        if (i != index &&
            membership_is_same_address(voters[i].voter, voters[index].voter)) {
            return true;
        }
    }
    return false;
}

// Finds the voter with the highest id, other than the Raft leader. Returns
// MEMBERSHIP_NONE while two members share an address, since one of them will
// be removed anyway, and while the Raft leader has listed a member for less
// than the silence timeout and so cannot tell yet whether that member is
// silent.
static uint64_t
membership_find_newest(const struct membership_params *params,
                       const struct membership_voter *voters, size_t count)
{
    uint64_t newest = MEMBERSHIP_NONE;

    for (size_t i = 0; i < count; i++) {
        if (membership_has_duplicate_address(voters, count, i) ||
            voters[i].known_us < params->silence_timeout_us) {
            return MEMBERSHIP_NONE;
        }
        if (voters[i].voter->voting && !voters[i].is_self &&
            voters[i].voter->id > newest) {
            newest = voters[i].voter->id;
        }
    }
    return newest;
}

// Finds a voter whose VM has lost its disk and has a vote under a new id.
static uint64_t
membership_find_superseded(const struct membership_voter *voters, size_t count)
{
    for (size_t i = 0; i < count; i++) {
        if (!voters[i].is_self &&
            membership_is_superseded(voters, count, voters[i].voter)) {
            return voters[i].voter->id;
        }
    }
    return MEMBERSHIP_NONE;
}

// Finds the silent learner or voter that has been silent for longest.
static uint64_t
membership_find_silent(const struct membership_params *params,
                       const struct membership_voter *voters, size_t count,
                       bool voting)
{
    const struct membership_voter *longest = NULL;

    for (size_t i = 0; i < count; i++) {
        if ((bool)voters[i].voter->voting == voting &&
            !membership_answers(params, &voters[i]) &&
            (longest == NULL || voters[i].silent_us > longest->silent_us)) {
            longest = &voters[i];
        }
    }
    return longest == NULL ? MEMBERSHIP_NONE : longest->voter->id;
}

// Finds the voter to remove. A voter whose VM has lost its disk is removed as
// soon as the VM's new id has a vote. A silent learner is always removed. A
// silent voter is removed only while the group has more voters than the
// target, so that the target number remains, and while a majority answers. The
// voters that answer are then a larger part of those that remain, however many
// others are silent, and a VM that replaces one of these can join. If all
// voters answer and there are too many, the newest voter is removed; it may
// rejoin as the standby.
uint64_t
membership_find_removal(const struct membership_params *params,
                        const struct membership_voter *voters, size_t count)
{
    size_t voting = membership_count_voting(voters, count);
    size_t answering = membership_count_answering(params, voters, count);
    uint64_t superseded = membership_find_superseded(voters, count);
    uint64_t learner = membership_find_silent(params, voters, count, false);

    if (superseded != MEMBERSHIP_NONE) {
        return superseded;
    }
    if (learner != MEMBERSHIP_NONE) {
        return learner;
    }
    if (voting <= params->target || answering <= voting / 2) {
        return MEMBERSHIP_NONE;
    }
    return answering < voting
               ? membership_find_silent(params, voters, count, true)
               : membership_find_newest(params, voters, count);
}

// Returns whether a VM may be added now. No VM is added while a learner that
// is not the standby waits for its vote. Otherwise a VM that has lost its disk
// may always rejoin, and other VMs may join until the group has one member
// more than the target, which is the standby.
static bool
membership_may_add(const struct membership_params *params,
                   const struct membership_voter *voters, size_t count,
                   const struct ck_voter *added)
{
    uint64_t standby = membership_find_standby(params, voters, count);

    for (size_t i = 0; i < count; i++) {
        if (!voters[i].voter->voting && voters[i].voter->id != standby) {
            return false;
        }
    }
    return membership_is_rejoin(voters, count, added) ||
           count <= params->target;
}

// Checks the request of a VM to join. VMs that ask concurrently are offered
// the same id. The first one to repeat its request under this id gets it; the
// others receive OUTCOME_INVALID and must ask for another id.
int
membership_check_join(const struct membership_params *params,
                      const struct membership_voter *voters, size_t count,
                      uint64_t highest_id, const struct ck_voter *voter,
                      uint64_t *assigned_id)
{
    *assigned_id = 0;
    for (size_t i = 0; voter->id != 0 && i < count; i++) {
        if (voters[i].voter->id != voter->id) {
            continue;
        }
        if (!membership_is_same_address(voters[i].voter, voter)) {
            return OUTCOME_INVALID;
        }
        *assigned_id = voter->id;
        return OUTCOME_OK;
    }
    if (voter->id != 0 && voter->id <= highest_id) {
        return OUTCOME_INVALID;
    }
    if (!membership_may_add(params, voters, count, voter)) {
        return OUTCOME_AGAIN;
    }
    if (voter->id == 0) {
        *assigned_id = highest_id + 1;
        return OUTCOME_AGAIN;
    }
    return OUTCOME_OK;
}
