#include "catkingrade/decide/raft/raft_internal.h"
#include "catkingrade/decide/random.h"
#include "catkingrade/kernel/memory.h"
#include "catkingrade/kernel/outcome.h"

// Returns a random duration of at most limit_us.
int64_t
raft_get_random_us(struct raft *raft, int64_t limit_us)
{
    return (int64_t)(random_next(&raft->random_state) %
                     (uint64_t)(limit_us + 1));
}

// Starts the election timer with a random timeout of 1 to 1.5 times the
// shortest election timeout, so that voters rarely become candidates at the
// same time.
void
raft_set_election_timer(struct raft *raft)
{
    int64_t shortest_us = raft->params.election_us;

    raft->election_at_us =
        raft->now_us + shortest_us + raft_get_random_us(raft, shortest_us / 2);
}

// Starts the election timer of a candidate, or of a voter that leaves an
// election to another candidate: a random timeout of 1 to 2 heartbeats in the
// pre-vote phase of a candidate, 2 to 4 otherwise. It is shorter than the
// election timeout because the other voters may have refused only because
// their own timeout had not yet passed.
void
raft_set_retry_timer(struct raft *raft)
{
    int64_t base_us = raft->params.heartbeat_us * (raft->pre_vote ? 1 : 2);

    raft->election_at_us =
        raft->now_us + base_us + raft_get_random_us(raft, base_us);
}

// Ends the proposals that this voter can no longer observe as the leader, with
// OUTCOME_UNKNOWN. A later leader may still commit their entries.
static void
raft_refuse_pending(struct raft *raft)
{
    uint64_t last_index = raft_log_get_last_index(&raft->log);

    for (uint64_t i = raft->commit_index + 1; i <= last_index; i++) {
        struct raft_slot *slot = raft_log_get(&raft->log, i);
        if (slot != NULL && slot->token != 0) {
            raft_add_refused(raft, slot->token, OUTCOME_UNKNOWN);
            slot->token = 0;
        }
    }
}

// Becomes a follower in the same term or a later one. leader may be
// RAFT_NO_VOTER. A leader that steps down ends its pending proposals and any
// leadership transfer.
void
raft_become_follower(struct raft *raft, uint64_t term, uint64_t leader)
{
    bool was_leader = raft->role == RAFT_LEADER;

    INVARIANT(term >= raft->term);
    raft->role = RAFT_FOLLOWER;
    raft->pre_vote = false;
    raft->leader = leader;
    raft->send_pending = false;
    raft->transfer_deadline_us = 0;
    raft->timeout_now_sent = false;
    if (term > raft->term) {
        raft->term = term;
        raft->voted_for = RAFT_NO_VOTER;
        raft_save_state(raft);
    }
    if (was_leader) {
        raft_refuse_pending(raft);
    }
    raft_set_election_timer(raft);
}

// Requests the votes of the other voters, or of all other members in a
// unanimous election.
static void
raft_request_votes(struct raft *raft)
{
    bool unanimous = raft->election == RAFT_ELECTION_UNANIMOUS;
    const struct ck_raft_body body = {
        .kind = unanimous ? CK_RAFT_UNANIMOUS_VOTE : CK_RAFT_VOTE,
        .ck_raft_body_u.vote = {
            .pre_vote = raft->pre_vote,
            .transfer = raft->election == RAFT_ELECTION_TRANSFER,
            .last_index = raft_log_get_last_index(&raft->log),
            .last_term = raft_log_get_last_term(&raft->log),
        }};

    for (size_t i = 0; i < raft->peers_count; i++) {
        raft->peers[i].granted = false;
        if (raft->peers[i].voting || unanimous) {
            raft_send(raft, raft->peers[i].id,
                      raft->term + (raft->pre_vote ? 1 : 0), &body);
        }
    }
}

// Returns whether the granted votes suffice: those of a majority of the
// voters, or of all members in a unanimous election.
static bool
raft_has_enough_votes(const struct raft *raft)
{
    size_t voters = 1; // own vote
    size_t members = 1;

    for (size_t i = 0; i < raft->peers_count; i++) {
        const struct raft_peer *peer = &raft->peers[i];
        voters += peer->voting && peer->granted;
        members += peer->granted;
    }
    return raft->election == RAFT_ELECTION_UNANIMOUS
               ? members == raft->peers_count + 1
               : voters >= raft_get_majority(raft);
}

static void
raft_count_votes(struct raft *raft)
{
    if (!raft_has_enough_votes(raft)) {
        return;
    }
    if (raft->pre_vote) {
        raft_become_candidate(raft, false, raft->election);
    }
    else {
        raft_become_leader(raft);
    }
}

// Becomes a candidate. With pre_vote, asks the other voters whether they would
// grant a vote, without a new term. Otherwise starts a new term, votes for
// itself and requests votes.
void
raft_become_candidate(struct raft *raft, bool pre_vote,
                      enum raft_election election)
{
    raft->role = RAFT_CANDIDATE;
    raft->leader = RAFT_NO_VOTER;
    raft->pre_vote = pre_vote;
    raft->election = election;
    if (!pre_vote) {
        raft->term++;
        raft->voted_for = raft->params.self;
        raft_save_state(raft);
    }
    raft_set_retry_timer(raft);
    raft_request_votes(raft);
    raft_count_votes(raft);
}

static bool
raft_is_candidate_up_to_date(const struct raft *raft,
                             const struct ck_raft_vote *vote)
{
    uint64_t last_term = raft_log_get_last_term(&raft->log);

    if (vote->last_term != last_term) {
        return vote->last_term > last_term;
    }
    return vote->last_index >= raft_log_get_last_index(&raft->log);
}

static bool
raft_is_unanimous(const struct ck_raft_message *message)
{
    return message->body.kind == CK_RAFT_UNANIMOUS_VOTE ||
           message->body.kind == CK_RAFT_UNANIMOUS_VOTE_RESULT;
}

static void
raft_answer_vote(struct raft *raft, const struct ck_raft_message *request,
                 uint64_t term, bool granted)
{
    const struct ck_raft_body body = {
        .kind = raft_is_unanimous(request) ? CK_RAFT_UNANIMOUS_VOTE_RESULT
                                           : CK_RAFT_VOTE_RESULT,
        .ck_raft_body_u.vote_result = {
            .pre_vote = request->body.ck_raft_body_u.vote.pre_vote,
            .granted = granted,
        }};

    raft_send(raft, request->from, term, &body);
}

// Returns whether this voter may answer a vote request. It must not vote
// within the shortest election timeout after a message from a leader, because
// that leader's leases rely on no other leader being elected meanwhile. The
// same holds after a restart, since a message may have arrived just before it.
// A leadership transfer lifts the first restriction, since the leader itself
// requested it.
static bool
raft_may_vote(const struct raft *raft, const struct ck_raft_vote *vote)
{
    if (raft->now_us < raft->no_vote_until_us) {
        return false;
    }
    if (vote->transfer) {
        return true;
    }
    return raft->role != RAFT_LEADER &&
           raft->now_us >= raft->leader_contact_us + raft->params.election_us;
}

// Returns whether this voter, a candidate in the pre-vote phase itself, leaves
// the election to another one: to a more advanced log, or to the lower id
// between equal logs. Without this rule, voters that restart together would
// become candidates of the same term and split the votes.
static bool
raft_yields_to(const struct raft *raft, const struct ck_raft_message *message)
{
    const struct ck_raft_vote *vote = &message->body.ck_raft_body_u.vote;
    bool same = vote->last_term == raft_log_get_last_term(&raft->log) &&
                vote->last_index == raft_log_get_last_index(&raft->log);

    return same ? message->from < raft->params.self
                : raft_is_candidate_up_to_date(raft, vote);
}

static void
raft_handle_pre_vote(struct raft *raft, const struct ck_raft_message *message)
{
    const struct ck_raft_vote *vote = &message->body.ck_raft_body_u.vote;
    bool granted =
        message->term > raft->term && raft_is_candidate_up_to_date(raft, vote);

    if (granted && raft->role == RAFT_CANDIDATE && raft->pre_vote) {
        if (!raft_yields_to(raft, message)) {
            return;
        }
        raft_become_follower(raft, raft->term, RAFT_NO_VOTER);
        raft_set_retry_timer(raft);
    }
    if (raft_is_unanimous(message)) {
        raft_unanimous_handle_pre_vote(raft, granted);
    }
    raft_answer_vote(raft, message, granted ? message->term : raft->term,
                     granted);
}

// Handles a vote or pre-vote request. A granted vote is saved before the
// answer is sent. There is no answer while this voter may not vote.
void
raft_handle_vote(struct raft *raft, const struct ck_raft_message *message)
{
    const struct ck_raft_vote *vote = &message->body.ck_raft_body_u.vote;

    bool may_vote = raft_is_unanimous(message) ? raft_unanimous_may_vote(raft)
                                               : raft_may_vote(raft, vote);
    if (!may_vote) {
        return;
    }
    if (vote->pre_vote) {
        raft_handle_pre_vote(raft, message);
        return;
    }
    if (message->term > raft->term) {
        raft_become_follower(raft, message->term, RAFT_NO_VOTER);
    }
    bool granted = message->term == raft->term &&
                   (raft->voted_for == RAFT_NO_VOTER ||
                    raft->voted_for == message->from) &&
                   raft_is_candidate_up_to_date(raft, vote);
    if (granted && raft->voted_for != message->from) {
        raft->voted_for = message->from;
        raft_save_state(raft);
    }
    if (granted) {
        raft_set_election_timer(raft);
    }
    raft_answer_vote(raft, message, raft->term, granted);
}

// Counts a granted vote or pre-vote. A refusal with a later term makes this
// voter a follower in that term.
void
raft_handle_vote_result(struct raft *raft,
                        const struct ck_raft_message *message)
{
    const struct ck_raft_vote_result *result =
        &message->body.ck_raft_body_u.vote_result;
    struct raft_peer *peer = raft_find_peer(raft, message->from);

    if (!result->granted) {
        if (message->term > raft->term) {
            raft_become_follower(raft, message->term, RAFT_NO_VOTER);
        }
        return;
    }
    uint64_t requested_term = raft->term + (raft->pre_vote ? 1 : 0);
    bool unanimous = raft->election == RAFT_ELECTION_UNANIMOUS;
    if (raft->role != RAFT_CANDIDATE || peer == NULL ||
        (bool)result->pre_vote != raft->pre_vote ||
        raft_is_unanimous(message) != unanimous ||
        message->term != requested_term) {
        return;
    }
    peer->granted = true;
    raft_count_votes(raft);
}

// Handles a leadership transfer to this voter: it starts an election at once,
// without a pre-vote.
void
raft_handle_timeout_now(struct raft *raft,
                        const struct ck_raft_message *message)
{
    if (raft->now_us >= raft->no_vote_until_us &&
        raft->role == RAFT_FOLLOWER && message->term == raft->term &&
        message->from == raft->leader &&
        raft_is_voting(raft, raft->params.self)) {
        raft_become_candidate(raft, false, RAFT_ELECTION_TRANSFER);
    }
}
