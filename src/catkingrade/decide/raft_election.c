#include "catkingrade/decide/raft_internal.h"
#include "catkingrade/decide/random.h"
#include "catkingrade/kernel/memory.h"
#include "catkingrade/kernel/outcome.h"

static int64_t
raft_get_random_us(struct raft *raft, int64_t limit_us)
{
    return (int64_t)(random_next(&raft->random_state) %
                     (uint64_t)(limit_us + 1));
}

// Arms the election timer with one to one and a half times the shortest
// timeout, so that voters rarely become candidates together.
void
raft_set_election_timer(struct raft *raft)
{
    int64_t shortest_us = raft->params.election_us;

    raft->election_at_us =
        raft->now_us + shortest_us + raft_get_random_us(raft, shortest_us / 2);
}

// A candidate tries again sooner: the others may only have waited for their
// own timeout to pass.
static void
raft_set_retry_timer(struct raft *raft)
{
    int64_t base_us = raft->params.heartbeat_us * (raft->pre_vote ? 1 : 2);

    raft->election_at_us =
        raft->now_us + base_us + raft_get_random_us(raft, base_us);
}

// Ends the proposals whose fate this voter won't learn as a leader.
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

// Follows a leader, or none yet, in the same term or a later one.
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

static void
raft_request_votes(struct raft *raft)
{
    const struct ck_raft_body body = {
        .kind = CK_RAFT_VOTE,
        .ck_raft_body_u.vote = {
            .pre_vote = raft->pre_vote,
            .transfer = raft->transfer_election,
            .last_index = raft_log_get_last_index(&raft->log),
            .last_term = raft_log_get_last_term(&raft->log),
        }};

    for (size_t i = 0; i < raft->peers_count; i++) {
        raft->peers[i].granted = false;
        if (raft->peers[i].voting) {
            raft_send(raft, raft->peers[i].id,
                      raft->term + (raft->pre_vote ? 1 : 0), &body);
        }
    }
}

static void
raft_count_votes(struct raft *raft)
{
    size_t count = 1; // its own

    for (size_t i = 0; i < raft->peers_count; i++) {
        count += raft->peers[i].voting && raft->peers[i].granted;
    }
    if (count < raft_get_majority(raft)) {
        return;
    }
    if (raft->pre_vote) {
        raft_become_candidate(raft, false, false);
    }
    else {
        raft_become_leader(raft);
    }
}

// Asks the other voters whether they would vote for it (pre_vote), or for
// their votes in a new term. transfer: the leader itself asked for it.
void
raft_become_candidate(struct raft *raft, bool pre_vote, bool transfer)
{
    raft->role = RAFT_CANDIDATE;
    raft->leader = RAFT_NO_VOTER;
    raft->pre_vote = pre_vote;
    raft->transfer_election = transfer;
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

static void
raft_answer_vote(struct raft *raft, uint64_t to, uint64_t term, bool pre_vote,
                 bool granted)
{
    const struct ck_raft_body body = {.kind = CK_RAFT_VOTE_RESULT,
                                      .ck_raft_body_u.vote_result = {
                                          .pre_vote = pre_vote,
                                          .granted = granted,
                                      }};

    raft_send(raft, to, term, &body);
}

// A voter that heard from a leader within the shortest election timeout, or
// may have before it restarted, has promised that leader not to vote: leases
// depend on it. The leader itself can release it from that by a transfer.
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
           raft->now_us >= raft->heard_us + raft->params.election_us;
}

static void
raft_handle_pre_vote(struct raft *raft, const struct ck_raft_message *message)
{
    const struct ck_raft_vote *vote = &message->body.ck_raft_body_u.vote;
    bool granted =
        message->term > raft->term && raft_is_candidate_up_to_date(raft, vote);

    raft_answer_vote(raft, message->from, granted ? message->term : raft->term,
                     true, granted);
}

// Grants or refuses a vote. The vote is written before the answer goes out.
void
raft_handle_vote(struct raft *raft, const struct ck_raft_message *message)
{
    const struct ck_raft_vote *vote = &message->body.ck_raft_body_u.vote;

    if (!raft_may_vote(raft, vote)) {
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
    raft_answer_vote(raft, message->from, raft->term, false, granted);
}

// Counts a vote or pre-vote, or learns a later term from a refusal.
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
    uint64_t asked_term = raft->term + (raft->pre_vote ? 1 : 0);
    if (raft->role != RAFT_CANDIDATE || peer == NULL ||
        (bool)result->pre_vote != raft->pre_vote ||
        message->term != asked_term) {
        return;
    }
    peer->granted = true;
    raft_count_votes(raft);
}

// The leader hands over: this voter becomes a candidate at once.
void
raft_handle_timeout_now(struct raft *raft,
                        const struct ck_raft_message *message)
{
    if (raft->now_us >= raft->no_vote_until_us &&
        raft->role == RAFT_FOLLOWER && message->term == raft->term &&
        message->from == raft->leader &&
        raft_is_voting(raft, raft->params.self)) {
        raft_become_candidate(raft, false, true);
    }
}
