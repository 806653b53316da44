#include "catkingrade/decide/membership.h"

#include <string.h>

#include "catkingrade/kernel/outcome.h"

static bool
membership_is_same_place(const struct ck_voter *left,
                         const struct ck_voter *right)
{
    return left->port == right->port && strcmp(left->host, right->host) == 0;
}

// Returns whether a voter's VM has come back under a later identity, which has
// a vote: the disk of the earlier one is lost.
static bool
membership_is_superseded(const struct membership_voter *voters, size_t count,
                         const struct ck_voter *voter)
{
    for (size_t i = 0; i < count; i++) {
        const struct ck_voter *other = voters[i].voter;
        if (other->id > voter->id && other->voting &&
            membership_is_same_place(other, voter)) {
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

// Returns whether all that vote, but the one given, answer: then the group
// loses nothing by removing it.
static bool
membership_others_answer(const struct membership_params *params,
                         const struct membership_voter *voters, size_t count,
                         size_t except)
{
    for (size_t i = 0; i < count; i++) {
        if (i != except && voters[i].voter->voting && !voters[i].is_self &&
            voters[i].silent_us >= params->silent_us) {
            return false;
        }
    }
    return true;
}

// Finds a voter that is to go. One whose VM has lost its disk goes as soon as
// its successor votes. One that is silent goes only when there are more than
// the target, so that the others are as many as the group is to have.
uint64_t
membership_find_removal(const struct membership_params *params,
                        const struct membership_voter *voters, size_t count)
{
    size_t voting = membership_count_voting(voters, count);

    for (size_t i = 0; i < count; i++) {
        const struct ck_voter *voter = voters[i].voter;
        if (voters[i].is_self) {
            continue;
        }
        if (membership_is_superseded(voters, count, voter)) {
            return voter->id;
        }
        if (voters[i].silent_us < params->silent_us) {
            continue;
        }
        if (!voter->voting ||
            (voting > params->target &&
             membership_others_answer(params, voters, count, i))) {
            return voter->id;
        }
    }
    return MEMBERSHIP_NOBODY;
}

// A VM that has lost its disk may always come back, and one more than the
// target may stand by to take the place of a voter that goes. While a newcomer
// has no vote yet, no other is added.
static bool
membership_may_add(const struct membership_params *params,
                   const struct membership_voter *voters, size_t count,
                   const struct ck_voter *added)
{
    bool returns = false;

    for (size_t i = 0; i < count; i++) {
        if (!voters[i].voter->voting) {
            return false;
        }
        returns = returns || membership_is_same_place(voters[i].voter, added);
    }
    return returns || membership_count_voting(voters, count) <= params->target;
}

// Judges a VM that wants to vote. Several that ask at once are offered the
// same id: the first to come back has it, and the others ask again.
int
membership_judge(const struct membership_params *params,
                 const struct membership_voter *voters, size_t count,
                 uint64_t highest, const struct ck_voter *voter,
                 uint64_t *number)
{
    *number = 0;
    for (size_t i = 0; voter->id != 0 && i < count; i++) {
        if (voters[i].voter->id != voter->id) {
            continue;
        }
        if (!membership_is_same_place(voters[i].voter, voter)) {
            return OUTCOME_INVALID;
        }
        *number = voter->id;
        return OUTCOME_OK;
    }
    if (voter->id != 0 && voter->id <= highest) {
        return OUTCOME_INVALID;
    }
    if (!membership_may_add(params, voters, count, voter)) {
        return OUTCOME_AGAIN;
    }
    if (voter->id == 0) {
        *number = highest + 1;
        return OUTCOME_AGAIN;
    }
    return OUTCOME_OK;
}
