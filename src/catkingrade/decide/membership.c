#include "catkingrade/decide/membership.h"

#include <string.h>

#include "catkingrade/kernel/outcome.h"

static bool
membership_is_same_address(const struct ck_voter *left,
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

// Returns whether every voter answers.
static bool
membership_all_answer(const struct membership_params *params,
                      const struct membership_voter *voters, size_t count)
{
    return membership_others_answer(params, voters, count, count);
}

// Returns whether a VM that has no vote is that of a voter which has lost its
// disk.
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

// Finds the one that stands by.
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

// Returns whether another voter has the same place: one of the two is the
// other's successor.
static bool
membership_has_duplicate_address(const struct membership_voter *voters,
                                 size_t count, size_t place)
{
    for (size_t i = 0; i < count; i++) {
        if (i != place &&
            membership_is_same_address(voters[i].voter, voters[place].voter)) {
            return true;
        }
    }
    return false;
}

// Finds the voter that came last, other than the leader; nobody while two
// share a place, since one of them goes in any case, nor while the leader does
// not know yet who will be silent.
static uint64_t
membership_find_newest(const struct membership_params *params,
                       const struct membership_voter *voters, size_t count)
{
    uint64_t last = MEMBERSHIP_NONE;

    for (size_t i = 0; i < count; i++) {
        if (membership_has_duplicate_address(voters, count, i) ||
            voters[i].known_us < params->silent_us) {
            return MEMBERSHIP_NONE;
        }
        if (voters[i].voter->voting && !voters[i].is_self &&
            voters[i].voter->id > last) {
            last = voters[i].voter->id;
        }
    }
    return last;
}

// Finds a voter that is to go. One whose VM has lost its disk goes as soon as
// its successor votes. One that is silent goes only when there are more than
// the target, so that the others are as many as the group is to have. When all
// answer and there are more, the last one goes, and may stand by.
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
    return voting > params->target &&
                   membership_all_answer(params, voters, count)
               ? membership_find_newest(params, voters, count)
               : MEMBERSHIP_NONE;
}

// A VM that has lost its disk may always come back, and one more than the
// target may stand by to take the place of a voter that goes. While a newcomer
// that is to vote has no vote yet, no other is added.
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

// Judges a VM that wants to vote. Several that ask at once are offered the
// same id: the first to come back has it, and the others ask again.
int
membership_check_join(const struct membership_params *params,
                      const struct membership_voter *voters, size_t count,
                      uint64_t highest, const struct ck_voter *voter,
                      uint64_t *number)
{
    *number = 0;
    for (size_t i = 0; voter->id != 0 && i < count; i++) {
        if (voters[i].voter->id != voter->id) {
            continue;
        }
        if (!membership_is_same_address(voters[i].voter, voter)) {
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
