// Unit tests of the coordinator: leases, revocation, quotas, relays, customer
// shutdown and proposals. Failovers are tested by test_replay_failover.c.

#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "catkingrade/decide/coordinator/coordinator.h"
#include "catkingrade/decide/group/publication.h"
#include "catkingrade/kernel/memory.h"
#include "catkingrade/kernel/outcome.h"
#include "catkingrade/rpc/codec.h"
#include "test/fake/changes.h"
#include "test/suite.h"

#define MS       INT64_C(1000)
#define START_US (1000 * MS)
#define LEASE_US (1000 * MS)

// A coordinator whose proposals are applied at once, unless hold_proposals is
// set.
struct rig {
    struct group_state *group;
    struct coordinator *coordinator;
    struct coordinator_actions actions; // of the last step
    int64_t now_us;
    bool no_quorum;
    bool hold_proposals;
    uint64_t held_token;
};

static void step(struct rig *rig, struct coordinator_event *event);

static void
apply_proposal(struct rig *rig, const struct coordinator_action *action)
{
    struct ck_log_payload payload;
    struct group_result result;
    struct coordinator_event event = {.kind = COORDINATOR_EVENT_APPLIED};

    memset(&payload, 0, sizeof(payload));
    ck_assert_int_eq(codec_decode((xdrproc_t)xdr_ck_log_payload,
                                  action->payload.data,
                                  action->payload.size_bytes, &payload),
                     OUTCOME_OK);
    group_apply_payload(rig->group, group_get_applied_index(rig->group) + 1,
                        &payload, &result);
    event.token = action->token;
    event.applied.change = &payload.change;
    event.applied.result = &result;
    struct coordinator_actions before = rig->actions;
    memset(&rig->actions, 0, sizeof(rig->actions));
    step(rig, &event);
    coordinator_actions_free(&before);
    codec_free((xdrproc_t)xdr_ck_log_payload, &payload);
}

static const struct coordinator_action *
find_action(const struct rig *rig, enum coordinator_action_kind kind)
{
    for (size_t i = 0; i < rig->actions.count; i++) {
        if (rig->actions.items[i].kind == kind) {
            return &rig->actions.items[i];
        }
    }
    return NULL;
}

static void
step(struct rig *rig, struct coordinator_event *event)
{
    coordinator_actions_clear(&rig->actions);
    event->quorum = !rig->no_quorum;
    coordinator_step(rig->coordinator, rig->now_us, event, &rig->actions);
    const struct coordinator_action *proposal =
        find_action(rig, COORDINATOR_ACTION_PROPOSE);
    if (proposal != NULL && rig->hold_proposals) {
        rig->held_token = proposal->token;
    }
    else if (proposal != NULL) {
        struct coordinator_action copy = *proposal;
        apply_proposal(rig, &copy);
    }
}

static void
elect(struct rig *rig, uint64_t term)
{
    struct coordinator_event event = {.kind = COORDINATOR_EVENT_ELECTED,
                                      .leader_term = term};

    step(rig, &event);
}

static void
tick(struct rig *rig, int64_t now_us)
{
    struct coordinator_event event = {.kind = COORDINATOR_EVENT_TICK};

    rig->now_us = now_us;
    step(rig, &event);
}

static void
start(struct rig *rig)
{
    struct coordinator_params params;

    memset(rig, 0, sizeof(*rig));
    coordinator_params_init(&params);
    params.lease_us = LEASE_US;
    params.delta_max_size_bytes = 400;
    rig->now_us = START_US;
    rig->group = group_create(GROUP_FLEET_NAME);
    changes_set_customer(rig->group, "[{\"name\": \"roster1\"}]", "wait");
    rig->coordinator = coordinator_create(&params, rig->group);
}

static void
finish(struct rig *rig)
{
    coordinator_destroy(rig->coordinator);
    coordinator_actions_free(&rig->actions);
    group_destroy(rig->group);
}

static struct ck_renew_args
make_renewal(const char *vm, uint64_t sequence, uint64_t revision)
{
    struct ck_renew_args args = {.sequence = sequence,
                                 .known_revision = revision};

    args.group = (char *)(uintptr_t)GROUP_FLEET_NAME;
    args.daemon = changes_make_daemon(vm, "10.3.0.1", 1);
    return args;
}

// Renews and returns the reply, which is valid until the next step.
static const struct ck_renew_result *
renew(struct rig *rig, const char *vm, uint64_t sequence, uint64_t revision)
{
    struct ck_renew_args args = make_renewal(vm, sequence, revision);
    struct coordinator_event event = {.kind = COORDINATOR_EVENT_RENEW,
                                      .token = 9};

    event.renew = &args;
    rig->hold_proposals = true; // keeps the reply in the action list
    step(rig, &event);
    rig->hold_proposals = false;
    const struct coordinator_action *reply =
        find_action(rig, COORDINATOR_ACTION_REPLY_RENEW);
    ck_assert_ptr_nonnull(reply);
    ck_assert_uint_eq(reply->token, 9);
    ck_assert_uint_eq(reply->renew->sequence, sequence);
    return reply->renew;
}

// Registers a daemon in the group state.
static void
add_daemon(struct rig *rig, const char *vm)
{
    struct ck_change change = {.kind = CK_CHANGE_DAEMON};

    change.ck_change_u.daemon = changes_make_daemon(vm, "10.3.0.1", 1);
    ck_assert_int_eq(changes_apply(rig->group, 0, &change, "", -1, NULL),
                     OUTCOME_OK);
}

START_TEST(test_renewal_without_lease)
{
    struct rig rig;

    start(&rig);
    ck_assert_int_eq(renew(&rig, "e1", 1, 0)->outcome, OUTCOME_NOT_LEADER);
    add_daemon(&rig, "e1");
    elect(&rig, 4);
    rig.no_quorum = true;
    ck_assert_int_eq(renew(&rig, "e1", 1, 0)->outcome, OUTCOME_UNAVAILABLE);
    ck_assert_uint_eq(renew(&rig, "e1", 1, 0)->lease_us, 0);
    rig.no_quorum = false;
    // A revision that this group never had.
    ck_assert_int_eq(renew(&rig, "e1", 1, 999)->outcome, OUTCOME_UNAVAILABLE);
    // An unregistered daemon gets its lease with the renewal after its
    // registration.
    const struct ck_renew_result *result = renew(&rig, "e2", 1, 0);
    ck_assert_int_eq(result->outcome, OUTCOME_AGAIN);
    ck_assert_uint_eq(result->lease_us, 0);
    finish(&rig);
}
END_TEST

START_TEST(test_lease_is_granted_with_last_delta_page)
{
    struct rig rig;
    char name[16] = "u0";
    char host[16] = "10.0.0.0";
    uint64_t revision = 0;
    int pages = 0;

    start(&rig);
    add_daemon(&rig, "e1");
    for (char digit = '1'; digit <= '9'; digit++) {
        name[1] = digit;
        host[7] = digit;
        struct ck_upstream upstream =
            changes_make_upstream(name, "roster1", "noord", host);
        changes_apply_upstream(rig.group, &upstream);
    }
    elect(&rig, 4);
    for (;;) {
        const struct ck_renew_result *result = renew(&rig, "e1", 1, revision);
        ck_assert_int_eq(result->outcome, OUTCOME_OK);
        ck_assert_uint_gt(result->delta.to_revision, revision);
        revision = result->delta.to_revision;
        ck_assert_int_eq(result->lease_us == 0, result->delta.more);
        pages++;
        if (!result->delta.more) {
            break;
        }
    }
    ck_assert_int_gt(pages, 1);
    ck_assert_uint_eq(revision, group_get_revision(rig.group));
    finish(&rig);
}
END_TEST

// Creates the database roster1 with primary u1 and replica u2, both announced.
static void
start_database(struct rig *rig, const char *vm)
{
    struct ck_change change = {.kind = CK_CHANGE_PRIMARY};
    struct ck_upstream one =
        changes_make_upstream("u1", "roster1", "noord", "10.0.0.1");
    struct ck_upstream two =
        changes_make_upstream("u2", "roster1", "zuid", "10.0.0.2");

    start(rig);
    add_daemon(rig, vm);
    changes_apply_upstream(rig->group, &one);
    changes_apply_upstream(rig->group, &two);
    change.ck_change_u.primary.database = (char *)"roster1";
    change.ck_change_u.primary.term = 1;
    change.ck_change_u.primary.primary = (char *)"u1";
    ck_assert_int_eq(changes_apply(rig->group, 0, &change, "", -1, NULL),
                     OUTCOME_OK);
}

static void
probe(struct rig *rig, const char *upstream, bool answered, bool refused)
{
    struct coordinator_event event = {
        .kind = answered ? COORDINATOR_EVENT_PROBED
                         : COORDINATOR_EVENT_PROBE_FAILED};

    event.probe.upstream = upstream;
    event.probe.refused = refused;
    event.probe.position.timeline = 1;
    event.probe.position.lsn = 50;
    step(rig, &event);
}

// Returns whether the term was superseded and no lease covers it any more.
static bool
is_collecting(const struct rig *rig)
{
    struct buffer json = {0};

    coordinator_describe(rig->coordinator, rig->now_us, &json);
    buffer_append_u8(&json, 0);
    bool found =
        strstr((const char *)json.data, "\"phase\":\"collecting\"") != NULL;
    buffer_free(&json);
    return found;
}

// Makes the primary be lost: no announcements, and refused probes.
static void
lose_primary(struct rig *rig)
{
    for (int i = 0; i < 40; i++) {
        if (group_find_database(rig->group, "roster1")->superseding) {
            break;
        }
        tick(rig, rig->now_us + 50 * MS);
        probe(rig, "u1", false, true);
    }
    ck_assert(group_find_database(rig->group, "roster1")->superseding);
}

// Renews as an entry that has reported all its demands to this leader.
static const struct ck_renew_result *
renew_again(struct rig *rig, const char *vm, uint64_t sequence,
            uint64_t revision)
{
    struct ck_renew_args args = make_renewal(vm, sequence, revision);
    struct coordinator_event event = {.kind = COORDINATOR_EVENT_RENEW,
                                      .token = 9};

    args.reported_term = 4;
    event.renew = &args;
    rig->hold_proposals = true; // keeps the reply in the action list
    step(rig, &event);
    rig->hold_proposals = false;
    const struct coordinator_action *reply =
        find_action(rig, COORDINATOR_ACTION_REPLY_RENEW);
    ck_assert_ptr_nonnull(reply);
    return reply->renew;
}

// Has upstreams u3 to u9 announced, of more databases than one reply to an
// entry can hold.
static void
announce_many(struct rig *rig)
{
    struct coordinator_event event = {.kind = COORDINATOR_EVENT_ANNOUNCE,
                                      .token = 8};

    for (char digit = '3'; digit <= '9'; digit++) {
        char name[] = {'u', digit, '\0'};
        char host[] = "10.0.0.0";
        host[7] = digit;
        struct ck_upstream upstream = changes_make_upstream(
            name, digit % 2 == 0 ? "roster2" : "roster3", "noord", host);
        event.announce = &upstream;
        step(rig, &event);
    }
}

// Guards against a start at which every entry loses its lease: while the state
// changes faster than an entry can follow, it keeps its lease, unless a term
// has ended that it does not know of yet.
START_TEST(test_entry_that_is_behind_keeps_its_lease)
{
    struct rig rig;

    start_database(&rig, "e1");
    changes_set_customer(rig.group,
                         "[{\"name\": \"roster1\"}, {\"name\": \"roster2\"}, "
                         "{\"name\": \"roster3\"}]",
                         "wait");
    uint64_t known = group_get_revision(rig.group);
    elect(&rig, 4);
    ck_assert_uint_gt(renew(&rig, "e1", 1, known)->lease_us, 0);
    announce_many(&rig);
    tick(&rig, rig.now_us + 300 * MS);
    tick(&rig, rig.now_us + 300 * MS);
    const struct ck_renew_result *result = renew_again(&rig, "e1", 2, known);
    ck_assert(result->delta.more);
    ck_assert_uint_gt(result->lease_us, 0);
    ck_assert_uint_eq(result->quotas.quotas_len, 0);
    lose_primary(&rig);
    result = renew_again(&rig, "e1", 3, known);
    ck_assert(result->delta.more);
    ck_assert_uint_eq(result->lease_us, 0);
    finish(&rig);
}
END_TEST

START_TEST(test_new_leader_waits_for_previous_leases)
{
    struct rig rig;

    start_database(&rig, "e1");
    elect(&rig, 4);
    // The previous leader superseded the term. It may have granted e1 a lease
    // just before the election.
    rig.now_us = START_US + 10 * MS;
    struct ck_change change = {.kind = CK_CHANGE_SUPERSEDE};
    change.ck_change_u.supersede.database = (char *)"roster1";
    change.ck_change_u.supersede.term = 1;
    change.ck_change_u.supersede.reason = (char *)"";
    changes_apply(rig.group, 0, &change, "", -1, NULL);
    tick(&rig, START_US + 20 * MS);
    ck_assert(!is_collecting(&rig));
    tick(&rig, START_US + LEASE_US);
    ck_assert(!is_collecting(&rig));
    // The lease plus twice the clock drift of 0.1%.
    tick(&rig, START_US + LEASE_US + 2 * MS + 1);
    ck_assert(is_collecting(&rig));
    finish(&rig);
}
END_TEST

START_TEST(test_unconfirmed_lease_is_waited_out)
{
    struct rig rig;

    start_database(&rig, "e1");
    elect(&rig, 4);
    uint64_t revision = group_get_revision(rig.group);
    rig.now_us = START_US + 900 * MS;
    ck_assert_uint_eq(renew(&rig, "e1", 1, revision)->lease_us, LEASE_US);
    int64_t granted_us = rig.now_us;
    lose_primary(&rig);
    // From here on e1 neither renews nor answers.
    tick(&rig, granted_us + LEASE_US + 2 * MS);
    ck_assert(!is_collecting(&rig));
    tick(&rig, granted_us + LEASE_US + 2 * MS + 1);
    ck_assert(is_collecting(&rig));
    finish(&rig);
}
END_TEST

START_TEST(test_confirmation_ends_revocation)
{
    struct rig rig;
    struct ck_revocation revocation = {(char *)(uintptr_t) "roster1", 1};
    struct ck_notify_result result = {.outcome = OUTCOME_OK};
    struct coordinator_event event = {.kind = COORDINATOR_EVENT_NOTIFIED};

    start_database(&rig, "e1");
    elect(&rig, 4);
    rig.now_us = START_US + 900 * MS;
    (void)renew(&rig, "e1", 1, group_get_revision(rig.group));
    lose_primary(&rig);
    ck_assert(!is_collecting(&rig));
    result.daemon = changes_make_daemon("e1", "10.3.0.1", 1);
    result.confirmed.confirmed_val = &revocation;
    result.confirmed.confirmed_len = 1;
    event.notified.vm = "e1";
    event.notified.incarnation = 1;
    event.notified.result = &result;
    // Neither an earlier term nor another incarnation is a confirmation.
    revocation.term = 0;
    step(&rig, &event);
    ck_assert(!is_collecting(&rig));
    revocation.term = 1;
    result.daemon.incarnation = 2;
    step(&rig, &event);
    ck_assert(!is_collecting(&rig));
    result.daemon.incarnation = 1;
    step(&rig, &event);
    ck_assert(is_collecting(&rig));
    finish(&rig);
}
END_TEST

START_TEST(test_unconfirming_holder_is_denied_lease)
{
    struct rig rig;
    int64_t at_us = 0;

    start_database(&rig, "e1");
    elect(&rig, 4);
    rig.now_us = START_US + 900 * MS;
    (void)renew(&rig, "e1", 1, group_get_revision(rig.group));
    lose_primary(&rig);
    for (at_us = rig.now_us; at_us < START_US + 9000 * MS; at_us += 50 * MS) {
        tick(&rig, at_us);
        (void)renew(&rig, "e1", 2, group_get_revision(rig.group));
        if (is_collecting(&rig)) {
            break;
        }
    }
    // One lease until e1 is denied a further one, and one until that lease has
    // expired.
    ck_assert(is_collecting(&rig));
    ck_assert_int_le(at_us, START_US + 5000 * MS);
    finish(&rig);
}
END_TEST

START_TEST(test_no_promotion_without_quorum)
{
    struct rig rig;

    start_database(&rig, "e1");
    elect(&rig, 4);
    lose_primary(&rig);
    tick(&rig, START_US + 4000 * MS);
    ck_assert(is_collecting(&rig));
    rig.no_quorum = true;
    // u1 was the primary: with its answer the choice is complete.
    probe(&rig, "u1", true, false);
    probe(&rig, "u2", true, false);
    ck_assert_ptr_null(find_action(&rig, COORDINATOR_ACTION_PROMOTE));
    rig.no_quorum = false;
    tick(&rig, START_US + 4200 * MS);
    ck_assert_ptr_nonnull(find_action(&rig, COORDINATOR_ACTION_PROMOTE));
    finish(&rig);
}
END_TEST

START_TEST(test_deposed_coordinator_replies_unknown)
{
    struct rig rig;
    struct ck_upstream upstream =
        changes_make_upstream("u1", "roster1", "noord", "10.0.0.1");
    struct coordinator_event announce = {.kind = COORDINATOR_EVENT_ANNOUNCE,
                                         .token = 31};
    struct coordinator_event deposed = {.kind = COORDINATOR_EVENT_DEPOSED};

    start(&rig);
    elect(&rig, 4);
    announce.announce = &upstream;
    rig.hold_proposals = true;
    step(&rig, &announce);
    ck_assert_ptr_null(find_action(&rig, COORDINATOR_ACTION_REPLY_ANNOUNCE));
    step(&rig, &deposed);
    const struct coordinator_action *reply =
        find_action(&rig, COORDINATOR_ACTION_REPLY_ANNOUNCE);
    ck_assert_ptr_nonnull(reply);
    ck_assert_uint_eq(reply->token, 31);
    ck_assert_int_eq(reply->reply.outcome, OUTCOME_UNKNOWN);
    ck_assert(!coordinator_is_active(rig.coordinator));
    finish(&rig);
}
END_TEST

START_TEST(test_failed_proposal_is_replied)
{
    struct rig rig;
    struct ck_upstream upstream =
        changes_make_upstream("u1", "roster1", "noord", "10.0.0.1");
    struct coordinator_event announce = {.kind = COORDINATOR_EVENT_ANNOUNCE,
                                         .token = 31};
    struct coordinator_event failed = {.kind =
                                           COORDINATOR_EVENT_PROPOSE_FAILED};

    start(&rig);
    elect(&rig, 4);
    announce.announce = &upstream;
    rig.hold_proposals = true;
    step(&rig, &announce);
    failed.token = rig.held_token;
    step(&rig, &failed);
    ck_assert_int_eq(
        find_action(&rig, COORDINATOR_ACTION_REPLY_ANNOUNCE)->reply.outcome,
        OUTCOME_UNAVAILABLE);
    // The next announcement is proposed again, after a second at the latest.
    rig.now_us += 1000 * MS;
    step(&rig, &announce);
    ck_assert_ptr_nonnull(find_action(&rig, COORDINATOR_ACTION_PROPOSE));
    finish(&rig);
}
END_TEST

static void
set_draining(struct rig *rig)
{
    struct ck_change change = {.kind = CK_CHANGE_CUSTOMER_STATE};

    change.ck_change_u.customer_state.customer = (char *)"pootafdruk";
    change.ck_change_u.customer_state.state = CK_CUSTOMER_DRAINING;
    change.ck_change_u.customer_state.report = (char *)"";
    ck_assert_int_eq(changes_apply(rig->group, 0, &change, "", -1, NULL),
                     OUTCOME_OK);
}

static ck_customer_state
get_state(const struct rig *rig)
{
    return group_find_customer(rig->group, "pootafdruk")->state;
}

START_TEST(test_draining_customer_closes_without_requests)
{
    struct rig rig;
    struct coordinator_event event = {.kind = COORDINATOR_EVENT_RENEW};

    start(&rig);
    add_daemon(&rig, "e1");
    elect(&rig, 4);
    uint64_t before = group_get_revision(rig.group);
    (void)renew(&rig, "e1", 1, before);
    set_draining(&rig);
    tick(&rig, START_US + 100 * MS);
    ck_assert_int_eq(get_state(&rig), CK_CUSTOMER_DRAINING);
    struct ck_renew_args args =
        make_renewal("e1", 2, group_get_revision(rig.group));
    args.open_requests = 3;
    event.renew = &args;
    step(&rig, &event);
    tick(&rig, START_US + 200 * MS);
    ck_assert_int_eq(get_state(&rig), CK_CUSTOMER_DRAINING);
    (void)renew(&rig, "e1", 3, group_get_revision(rig.group));
    tick(&rig, START_US + 300 * MS);
    ck_assert_int_eq(get_state(&rig), CK_CUSTOMER_CLOSED);
    finish(&rig);
}
END_TEST

START_TEST(test_draining_customer_closes_after_limit)
{
    struct rig rig;
    struct coordinator_event event = {.kind = COORDINATOR_EVENT_RENEW};

    start(&rig);
    add_daemon(&rig, "e1");
    elect(&rig, 4);
    set_draining(&rig);
    // drain_ms is 30 s unless the template says otherwise.
    for (int64_t at_ms = 0; at_ms <= 29900; at_ms += 100) {
        rig.now_us = START_US + at_ms * MS;
        struct ck_renew_args args = make_renewal(
            "e1", (uint64_t)at_ms + 1, group_get_revision(rig.group));
        args.open_requests = 1;
        event.renew = &args;
        step(&rig, &event);
        tick(&rig, rig.now_us);
        ck_assert_int_eq(get_state(&rig), CK_CUSTOMER_DRAINING);
    }
    tick(&rig, START_US + 30000 * MS);
    ck_assert_int_eq(get_state(&rig), CK_CUSTOMER_CLOSED);
    finish(&rig);
}
END_TEST

START_TEST(test_silent_daemon_expires)
{
    struct rig rig;

    start(&rig);
    add_daemon(&rig, "e1");
    elect(&rig, 4);
    tick(&rig, START_US + 599000 * MS);
    ck_assert_uint_eq(group_get_daemons_count(rig.group), 1);
    tick(&rig, START_US + 600000 * MS);
    ck_assert_uint_eq(group_get_daemons_count(rig.group), 0);
    finish(&rig);
}
END_TEST

// Guards against daemons that do not find a new leader: it notifies all
// registered daemons at once. A restarted daemon need not search for the
// leader, and quotas are frozen until all daemons have renewed.
START_TEST(test_new_leader_notifies_daemons)
{
    struct rig rig;

    start_database(&rig, "e1");
    elect(&rig, 4);
    const struct coordinator_action *notify =
        find_action(&rig, COORDINATOR_ACTION_NOTIFY);
    if (notify == NULL) {
        tick(&rig, START_US + MS);
        notify = find_action(&rig, COORDINATOR_ACTION_NOTIFY);
    }
    ck_assert_ptr_nonnull(notify);
    ck_assert_str_eq(notify->notify.daemon->vm, "e1");
    ck_assert_uint_eq(notify->notify.args->leader_term, 4);
    finish(&rig);
}
END_TEST

// Guards against entries that cannot connect after a power loss: 15 of an
// upstream's 30 connections are allocated, so that restarted entries can
// connect while the upstream still counts the dead connections.
START_TEST(test_half_of_connections_is_allocated)
{
    struct rig rig;

    start_database(&rig, "e1");
    elect(&rig, 4);
    rig.now_us = START_US + 900 * MS;
    const struct ck_renew_result *result =
        renew(&rig, "e1", 1, group_get_revision(rig.group));
    ck_assert_uint_eq(result->quotas.quotas_len, 2);
    for (u_int i = 0; i < result->quotas.quotas_len; i++) {
        ck_assert_uint_eq(result->quotas.quotas_val[i].connections, 15);
    }
    finish(&rig);
}
END_TEST

static bool
    relay_by_customer; // of the coordinator that start_with_relays sets up

// Starts a coordinator that uses relays when entries e1 to e<last_digit> would
// have fewer than min_connections each.
static void
start_with_relays(struct rig *rig, uint32_t min_connections, char last_digit)
{
    struct coordinator_params params;

    start_database(rig, "e1");
    for (char digit = '2'; digit <= last_digit; digit++) {
        char vm[] = {'e', digit, '\0'};
        add_daemon(rig, vm);
    }
    coordinator_destroy(rig->coordinator);
    coordinator_params_init(&params);
    params.lease_us = LEASE_US;
    params.relay_min_connections = min_connections;
    params.relay_by_customer = relay_by_customer;
    rig->coordinator = coordinator_create(&params, rig->group);
    elect(rig, 4);
}

// Renews, with a report that the primary is unreachable if asked for. Returns
// the relays of the database in the reply.
static const struct ck_relay *
renew_with_report(struct rig *rig, const char *vm, uint64_t sequence,
                  bool is_unreachable)
{
    struct ck_suspicion suspicion = {.database = (char *)"roster1",
                                     .upstream = (char *)"u1",
                                     .term = 1,
                                     .kind = CK_SUSPECT_SILENT};
    struct ck_renew_args args =
        make_renewal(vm, sequence, group_get_revision(rig->group));
    struct coordinator_event event = {.kind = COORDINATOR_EVENT_RENEW,
                                      .token = 9};

    args.suspicions.suspicions_val = &suspicion;
    args.suspicions.suspicions_len = is_unreachable ? 1 : 0;
    event.renew = &args;
    step(rig, &event);
    const struct coordinator_action *reply =
        find_action(rig, COORDINATOR_ACTION_REPLY_RENEW);
    ck_assert_ptr_nonnull(reply);
    ck_assert_msg(reply->renew->relays.relays_len == 1, "%s %d", vm,
                  (int)sequence);
    return &reply->renew->relays.relays_val[0];
}

// With too few connections for all entries, only the relays get quotas. The
// other entries use relays always, and a relay uses others only without a
// lease.
START_TEST(test_scarce_connections_go_to_relays)
{
    struct rig rig;
    unsigned with_quotas = 0;

    start_with_relays(&rig, 6, '3');
    for (char digit = '1'; digit <= '3'; digit++) {
        char vm[] = {'e', digit, '\0'};
        const struct ck_relay *relay = renew_with_report(&rig, vm, 1, false);
        const struct ck_renew_result *result =
            find_action(&rig, COORDINATOR_ACTION_REPLY_RENEW)->renew;
        // 15 connections are too few for 6 per entry, but enough for 3 relays,
        // which are all entries.
        ck_assert(relay->standby);
        with_quotas += result->quotas.quotas_len > 0;
    }
    ck_assert_uint_eq(with_quotas, 3);
    finish(&rig);
    start_with_relays(&rig, 6, '4');
    with_quotas = 0;
    for (char digit = '1'; digit <= '4'; digit++) {
        char vm[] = {'e', digit, '\0'};
        const struct ck_relay *relay = renew_with_report(&rig, vm, 1, false);
        const struct ck_renew_result *result =
            find_action(&rig, COORDINATOR_ACTION_REPLY_RENEW)->renew;
        ck_assert_int_eq(relay->standby, result->quotas.quotas_len > 0);
        with_quotas += result->quotas.quotas_len > 0;
    }
    ck_assert_uint_eq(with_quotas, 3);
    finish(&rig);
}
END_TEST

// Guards against entries that divide the customers among different relays:
// each entry without connections is told all relays, but only with the
// setting, and relays themselves run their statements.
START_TEST(test_relays_are_told_for_customers)
{
    struct rig rig;
    unsigned told = 0;

    relay_by_customer = _i == 1;
    start_with_relays(&rig, 6, '4');
    for (uint64_t sequence = 1; sequence <= 4; sequence++) {
        for (char digit = '1'; digit <= '4'; digit++) {
            char vm[] = {'e', digit, '\0'};
            const struct ck_renew_result *result =
                renew(&rig, vm, sequence, group_get_revision(rig.group));
            for (u_int i = 0; i < result->relays.relays_len; i++) {
                const struct ck_relay *relay = &result->relays.relays_val[i];
                ck_assert(!relay->standby || relay->spread.spread_len == 0);
                told = relay->standby ? told : relay->spread.spread_len;
            }
        }
    }
    ck_assert_uint_eq(told, _i == 1 ? 3 : 0);
    relay_by_customer = false;
    finish(&rig);
}
END_TEST

// An entry that reports the primary as unreachable uses relays for a while. If
// no entry reaches the primary, it runs its statements itself.
START_TEST(test_entry_that_cannot_reach_primary_uses_relays)
{
    struct rig rig;

    start_with_relays(&rig, 2, '3');
    ck_assert(renew_with_report(&rig, "e1", 1, false)->standby);
    ck_assert(renew_with_report(&rig, "e2", 1, false)->standby);
    ck_assert(!renew_with_report(&rig, "e1", 2, true)->standby);
    ck_assert(!renew_with_report(&rig, "e1", 3, false)->standby);
    ck_assert(renew_with_report(&rig, "e2", 2, false)->standby);
    rig.now_us += 3100 * MS;
    (void)renew(&rig, "e2", 3, group_get_revision(rig.group));
    rig.now_us += 300 * MS;
    ck_assert(renew_with_report(&rig, "e1", 4, false)->standby);
    (void)renew_with_report(&rig, "e3", 1, true);
    (void)renew_with_report(&rig, "e2", 4, true);
    ck_assert(renew_with_report(&rig, "e1", 5, true)->standby);
    finish(&rig);
}
END_TEST

// Renews as a daemon that was restarted with another address.
static void
renew_with_address(struct rig *rig, const char *vm, const char *host,
                   uint64_t sequence)
{
    struct ck_renew_args args =
        make_renewal(vm, sequence, group_get_revision(rig->group));
    struct coordinator_event event = {.kind = COORDINATOR_EVENT_RENEW,
                                      .token = 9};

    args.daemon = changes_make_daemon(vm, host, 2);
    event.renew = &args;
    step(rig, &event);
}

// Guards against relays with an outdated address: entries are sent the new
// address of a restarted relay, even if the relays were selected just before.
START_TEST(test_relays_have_current_address)
{
    struct rig rig;
    bool found = false;

    start_with_relays(&rig, 2, '2');
    (void)renew_with_report(&rig, "e1", 1, false);
    renew_with_address(&rig, "e2", "10.3.0.77", 1);
    rig.now_us += 10 * MS;
    renew_with_address(&rig, "e2", "10.3.0.77", 2);
    rig.now_us += 300 * MS;
    const struct ck_relay *relay = renew_with_report(&rig, "e1", 2, false);
    for (u_int i = 0; i < relay->hosts.hosts_len; i++) {
        found |= strcmp(relay->hosts.hosts_val[i], "10.3.0.77") == 0;
    }
    ck_assert(found);
    finish(&rig);
}
END_TEST

// Guards against a use after free: a recent relay plan points to strings of a
// daemon's record, which is replaced when the daemon restarts. Sanitizers
// detect the read.
START_TEST(test_recent_plan_drops_old_record)
{
    struct rig rig;

    start_with_relays(&rig, 2, '2');
    (void)renew_with_report(&rig, "e2", 1, false);
    (void)renew_with_report(&rig, "e1", 1, false);
    renew_with_address(&rig, "e2", "10.3.0.77", 1);
    const struct ck_relay *relay = renew_with_report(&rig, "e1", 2, false);
    ck_assert_uint_eq(relay->hosts.hosts_len, 1);
    ck_assert_str_eq(relay->hosts.hosts_val[0], "10.3.0.77");
    finish(&rig);
}
END_TEST

// Guards against entries that keep an outdated address: a new address of a
// relay changes the version of the relays, although the set of relays is the
// same.
START_TEST(test_new_address_changes_relays_version)
{
    struct rig rig;
    struct ck_renew_args args;
    struct coordinator_event event = {.kind = COORDINATOR_EVENT_RENEW,
                                      .token = 9};

    start_with_relays(&rig, 2, '2');
    (void)renew_with_report(&rig, "e2", 1, false);
    (void)renew_with_report(&rig, "e1", 1, false);
    uint64_t version = find_action(&rig, COORDINATOR_ACTION_REPLY_RENEW)
                           ->renew->relays_version;
    renew_with_address(&rig, "e2", "10.3.0.77", 1);
    rig.now_us += 10 * MS;
    renew_with_address(&rig, "e2", "10.3.0.77", 2);
    rig.now_us += 300 * MS;
    args = make_renewal("e1", 2, group_get_revision(rig.group));
    args.relays_version = version;
    event.renew = &args;
    step(&rig, &event);
    const struct ck_renew_result *result =
        find_action(&rig, COORDINATOR_ACTION_REPLY_RENEW)->renew;
    ck_assert_uint_ne(result->relays_version, version);
    ck_assert_uint_eq(result->relays.relays_len, 1);
    ck_assert_uint_eq(result->relays.relays_val[0].hosts.hosts_len, 1);
    ck_assert_str_eq(result->relays.relays_val[0].hosts.hosts_val[0],
                     "10.3.0.77");
    finish(&rig);
}
END_TEST

// Relays are sent to an entry again only after a change.
START_TEST(test_relays_are_sent_when_they_change)
{
    struct rig rig;
    struct ck_renew_args args;
    struct coordinator_event event = {.kind = COORDINATOR_EVENT_RENEW,
                                      .token = 9};

    start_with_relays(&rig, 2, '3');
    (void)renew_with_report(&rig, "e1", 1, false);
    uint64_t version = find_action(&rig, COORDINATOR_ACTION_REPLY_RENEW)
                           ->renew->relays_version;
    ck_assert_uint_ne(version, 0);
    for (int reported = 0; reported < 2; reported++) {
        rig.now_us += 300 * MS;
        (void)renew_with_report(&rig, "e2", 1 + (uint64_t)reported,
                                reported != 0);
        args = make_renewal("e1", 2 + (uint64_t)reported,
                            group_get_revision(rig.group));
        args.relays_version = version;
        event.renew = &args;
        step(&rig, &event);
        const struct ck_renew_result *result =
            find_action(&rig, COORDINATOR_ACTION_REPLY_RENEW)->renew;
        ck_assert_uint_eq(result->relays.relays_len, reported ? 1 : 0);
        ck_assert_int_eq(result->relays_version == version, !reported);
    }
    finish(&rig);
}
END_TEST

// More databases than one step plans the relays of.
#define MANY_DATABASES 1000

// Declares databases d0, d1 and so on, each with an upstream.
static void
add_many_databases(struct rig *rig, int databases_count)
{
    struct buffer list = {0};
    char name[16];
    char host[16];

    buffer_append_text(&list, "[");
    for (int i = 0; i < databases_count; i++) {
        buffer_append_format(&list, "%s{\"name\": \"d%d\"}", i == 0 ? "" : ",",
                             i);
    }
    buffer_append_text(&list, "]");
    buffer_append_u8(&list, 0);
    changes_set_customer(rig->group, (const char *)buffer_get_data(&list),
                         "wait");
    buffer_free(&list);
    for (int i = 0; i < databases_count; i++) {
        char database[16];
        (void)snprintf(database, sizeof(database), "d%d", i);
        (void)snprintf(name, sizeof(name), "m%d", i);
        (void)snprintf(host, sizeof(host), "10.9.%d.%d", i / 250, i % 250);
        struct ck_upstream upstream =
            changes_make_upstream(name, database, "noord", host);
        changes_apply_upstream(rig->group, &upstream);
    }
}

static void
announce_one(struct rig *rig, const char *name, const char *host)
{
    struct ck_upstream upstream =
        changes_make_upstream(name, "d0", "noord", host);
    struct coordinator_event event = {
        .kind = COORDINATOR_EVENT_ANNOUNCE, .token = 8, .announce = &upstream};

    step(rig, &event);
}

// Lets time pass until the entry, which has a lease and knows a revision, is
// notified of a newer one, but not longer than so many ticks. Returns the
// newer revision, or 0.
static uint64_t
wait_for_publication(struct rig *rig, uint64_t known, int ticks_count)
{
    static uint64_t sequence;
    struct coordinator_event failed = {.kind =
                                           COORDINATOR_EVENT_NOTIFY_FAILED};

    failed.notified.vm = "e1";
    failed.notified.incarnation = 1;
    for (int i = 0; i < ticks_count; i++) {
        step(rig, &failed); // the last notification has ended
        (void)renew(rig, "e1", ++sequence, known);
        tick(rig, rig->now_us + 50 * MS);
        const struct coordinator_action *notify =
            find_action(rig, COORDINATOR_ACTION_NOTIFY);
        if (notify != NULL && notify->notify.args->revision > known) {
            return notify->notify.args->revision;
        }
    }
    return 0;
}

// Guards against a change that waits for as long as the publication of all
// databases before it was large: it is published within 2 s, so that a
// declaration is in force in time.
START_TEST(test_change_after_large_publication_is_published)
{
    struct rig rig;

    start_database(&rig, "e1");
    uint64_t known = group_get_revision(rig.group);
    elect(&rig, 4);
    add_many_databases(&rig, 2500);
    announce_one(&rig, "x1", "10.8.0.1");
    known = wait_for_publication(&rig, known, 60);
    ck_assert_uint_ne(known, 0);
    announce_one(&rig, "x2", "10.8.0.2");
    ck_assert_uint_gt(group_get_revision(rig.group), known);
    ck_assert_uint_ne(wait_for_publication(&rig, known, 41), 0);
    finish(&rig);
}
END_TEST

// Guards against a leader that sends memory it has freed: one that stood still
// has no quorum when a publication is due. It publishes at the next event, and
// the reply to a renewal then has a delta of the publication before.
START_TEST(test_reply_outlives_publication)
{
    struct rig rig;
    struct ck_view_delta delta;
    struct ck_upstream upstream =
        changes_make_upstream("u3", "roster1", "west", "10.0.0.3");
    struct coordinator_event event = {
        .kind = COORDINATOR_EVENT_ANNOUNCE, .token = 8, .announce = &upstream};

    start_database(&rig, "e1");
    elect(&rig, 4);
    uint64_t published = group_get_revision(rig.group);
    step(&rig, &event);
    ck_assert_uint_gt(group_get_revision(rig.group), published);
    rig.no_quorum = true;
    tick(&rig, rig.now_us + 5000 * MS);
    rig.no_quorum = false;
    const struct ck_renew_result *result = renew(&rig, "e1", 1, 0);
    ck_assert_uint_eq(result->delta.to_revision, published);
    ck_assert_int_eq(publication_unpack_delta(&result->delta, &delta),
                     OUTCOME_OK);
    ck_assert_uint_eq(delta.databases.databases_len, 1);
    publication_free_delta(&delta);
    finish(&rig);
}
END_TEST

// Renews until no more relays are listed. Returns the number of replies that
// listed some.
static unsigned
take_all_relays(struct rig *rig, size_t *listed)
{
    uint64_t version = 0;
    unsigned replies = 0;

    *listed = 0;
    for (uint64_t sequence = 2;; sequence++) {
        struct ck_renew_args args =
            make_renewal("e1", sequence, group_get_revision(rig->group));
        struct coordinator_event event = {.kind = COORDINATOR_EVENT_RENEW,
                                          .token = 9};
        args.relays_version = version;
        event.renew = &args;
        step(rig, &event);
        const struct ck_renew_result *result =
            find_action(rig, COORDINATOR_ACTION_REPLY_RENEW)->renew;
        if (result->relays.relays_len == 0) {
            return replies;
        }
        *listed += result->relays.relays_len;
        version = result->relays_version;
        replies++;
    }
}

// Guards against a step that plans the relays of all databases, as after an
// election: a step plans some, so that heartbeats do not wait for the rest,
// and the steps after it plan the others.
START_TEST(test_relays_are_planned_in_steps)
{
    struct rig rig;
    size_t listed = 0;

    start_with_relays(&rig, 6, '9');
    add_many_databases(&rig, MANY_DATABASES);
    tick(&rig, rig.now_us + 50 * MS);
    (void)take_all_relays(&rig, &listed);
    ck_assert_uint_gt(listed, 0);
    ck_assert_uint_lt(listed, MANY_DATABASES);
    for (int i = 0; i < 40; i++) {
        tick(&rig, rig.now_us + 50 * MS);
    }
    (void)take_all_relays(&rig, &listed);
    ck_assert_uint_eq(listed, MANY_DATABASES);
    finish(&rig);
}
END_TEST

// Renews with a later incarnation of a daemon, as after a restart. Returns the
// reply, which is valid until the next step.
static const struct ck_renew_result *
renew_restarted(struct rig *rig, const char *vm, uint64_t sequence)
{
    struct ck_renew_args args =
        make_renewal(vm, sequence, group_get_revision(rig->group));
    struct coordinator_event event = {.kind = COORDINATOR_EVENT_RENEW,
                                      .token = 9};

    args.daemon.incarnation++;
    event.renew = &args;
    rig->hold_proposals = true; // keeps the reply in the action list
    step(rig, &event);
    const struct coordinator_action *reply =
        find_action(rig, COORDINATOR_ACTION_REPLY_RENEW);
    ck_assert_ptr_nonnull(reply);
    return reply->renew;
}

// Guards against entries that wait for their registration after a restart: the
// VM is known, so that a later leader waits for its lease, and the first
// renewal gets the lease. The lease of the earlier incarnation still counts.
START_TEST(test_restarted_entry_gets_lease_at_once)
{
    struct rig rig;

    start_database(&rig, "e1");
    elect(&rig, 4);
    rig.now_us = START_US + 10 * MS;
    const struct ck_renew_result *result = renew_restarted(&rig, "e1", 1);
    ck_assert_int_eq(result->outcome, OUTCOME_OK);
    ck_assert_uint_eq(result->lease_us, LEASE_US);
    ck_assert_ptr_nonnull(find_action(&rig, COORDINATOR_ACTION_PROPOSE));
    finish(&rig);
}
END_TEST

// Guards against a commit at the old primary by an entry that restarted just
// before the election: the previous leader may have granted it a lease too.
START_TEST(test_new_leader_waits_for_unregistered_incarnation)
{
    struct rig rig;
    struct ck_change change = {.kind = CK_CHANGE_SUPERSEDE};

    start_database(&rig, "e1");
    change.ck_change_u.supersede.database = (char *)"roster1";
    change.ck_change_u.supersede.term = 1;
    change.ck_change_u.supersede.reason = (char *)"";
    changes_apply(rig.group, 0, &change, "", -1, NULL);
    elect(&rig, 4);
    tick(&rig, START_US + 20 * MS);
    tick(&rig, START_US + 500 * MS);
    ck_assert_uint_eq(renew_restarted(&rig, "e1", 1)->lease_us, LEASE_US);
    tick(&rig, START_US + LEASE_US + 2 * MS + 1);
    ck_assert(!is_collecting(&rig));
    tick(&rig, START_US + 500 * MS + LEASE_US + 2 * MS + 1);
    ck_assert(is_collecting(&rig));
    finish(&rig);
}
END_TEST

// Guards against a change of primary that waits for leases which no ended term
// can be under: those of an entry that restarts after its renewal here.
START_TEST(test_restart_after_renewal_is_not_waited_for)
{
    struct rig rig;

    start_database(&rig, "e1");
    elect(&rig, 4);
    (void)renew(&rig, "e1", 1, group_get_revision(rig.group));
    lose_primary(&rig);
    rig.now_us = START_US + 900 * MS;
    ck_assert_uint_eq(renew_restarted(&rig, "e1", 1)->lease_us, LEASE_US);
    tick(&rig, START_US + LEASE_US + 2 * MS + 1);
    ck_assert(is_collecting(&rig));
    finish(&rig);
}
END_TEST

// The entries of a test of lists: each has an address of its own, and one of
// them, the user, has no connections and uses the other three.
struct relay_rig {
    struct rig rig;
    const char *user;
    char first[16]; // VM of the user's first relay
    uint64_t sequence;
    struct ck_revocation *confirmed; // by the next renewal; NULL: none
};

// Renews an entry at its own address. Returns the reply, which is valid until
// the next step.
static const struct ck_renew_result *
renew_relay(struct relay_rig *relays, const char *vm, uint64_t incarnation,
            bool returned)
{
    struct rig *rig = &relays->rig;
    char host[] = "10.3.1.0";
    struct ck_renew_args args =
        make_renewal(vm, ++relays->sequence, group_get_revision(rig->group));
    struct coordinator_event event = {.kind = COORDINATOR_EVENT_RENEW,
                                      .token = 9};

    host[strlen(host) - 1] = vm[1];
    args.daemon = changes_make_daemon(vm, host, incarnation);
    args.returned = returned;
    args.confirmed.confirmed_val = relays->confirmed;
    args.confirmed.confirmed_len = relays->confirmed == NULL ? 0 : 1;
    event.renew = &args;
    rig->hold_proposals = true; // keeps the reply in the action list
    step(rig, &event);
    rig->hold_proposals = false;
    const struct coordinator_action *reply =
        find_action(rig, COORDINATOR_ACTION_REPLY_RENEW);
    ck_assert_ptr_nonnull(reply);
    return reply->renew;
}

// Writes the hosts that the user is sent, each by its last digit.
static const char *
list_hosts(struct relay_rig *relays)
{
    static char digits[CK_RELAY_HOSTS + 1];
    const struct ck_renew_result *result =
        renew_relay(relays, relays->user, 1, false);

    ck_assert_uint_eq(result->relays.relays_len, 1);
    const struct ck_relay *relay = &result->relays.relays_val[0];
    ck_assert(!relay->standby);
    memset(digits, 0, sizeof(digits));
    for (u_int i = 0; i < relay->hosts.hosts_len; i++) {
        const char *host = relay->hosts.hosts_val[i];
        digits[i] = host[strlen(host) - 1];
    }
    return digits;
}

// Renews an entry and confirms the end of term 1 with it.
static void
confirm_revocation(struct relay_rig *relays, const char *vm)
{
    struct ck_revocation revocation = {(char *)(uintptr_t) "roster1", 1};

    relays->confirmed = &revocation;
    (void)renew_relay(relays, vm, 1, false);
    relays->confirmed = NULL;
}

static void
start_with_lists(struct relay_rig *relays)
{
    static const char *const vms[] = {"e1", "e2", "e3", "e4"};

    memset(relays, 0, sizeof(*relays));
    start_with_relays(&relays->rig, 6, '4');
    for (int round = 0; round < 2; round++) {
        for (size_t i = 0; i < 4; i++) {
            const struct ck_renew_result *result =
                renew_relay(relays, vms[i], 1, false);
            if (result->quotas.quotas_len == 0) {
                relays->user = vms[i];
            }
        }
        relays->rig.now_us += 300 * MS;
    }
    ck_assert_ptr_nonnull(relays->user);
    (void)snprintf(relays->first, sizeof(relays->first), "e%c",
                   list_hosts(relays)[0]);
}

// Guards against entries that keep asking a relay that has given its lease
// back: it is listed no more at once, and the others keep their order.
START_TEST(test_returned_relay_leaves_lists)
{
    struct relay_rig relays;
    char others[CK_RELAY_HOSTS + 1];

    start_with_lists(&relays);
    (void)strcpy(others, list_hosts(&relays) + 1);
    ck_assert_uint_eq(strlen(others), 2);
    (void)renew_relay(&relays, relays.first, 1, true);
    ck_assert_str_eq(list_hosts(&relays), others);
    finish(&relays.rig);
}
END_TEST

#define SPREAD_ENTRIES 9

// Renews all entries but one that has left, and fills first with the last
// digit of the first relay of each; '\0' for a relay and for the one that has
// left.
static void
list_first_hosts(struct relay_rig *relays, char left, char *first)
{
    for (int i = 0; i < SPREAD_ENTRIES; i++) {
        char vm[] = {'e', (char)('1' + i), '\0'};
        first[i] = '\0';
        if (vm[1] == left) {
            continue;
        }
        const struct ck_renew_result *result =
            renew_relay(relays, vm, 1, false);
        ck_assert_uint_eq(result->relays.relays_len, 1);
        const struct ck_relay *relay = &result->relays.relays_val[0];
        if (!relay->standby) {
            const char *host = relay->hosts.hosts_val[0];
            first[i] = host[strlen(host) - 1];
        }
    }
}

// Guards against lists that leave out the spread: the entries that used a
// relay which stops are divided evenly among the two others.
START_TEST(test_users_of_stopped_relay_are_divided)
{
    for (char left = '1'; left <= '0' + SPREAD_ENTRIES; left++) {
        struct relay_rig relays;
        char before[SPREAD_ENTRIES];
        char after[SPREAD_ENTRIES];
        char vm[] = {'e', left, '\0'};
        int taken['9' + 1] = {0};
        memset(&relays, 0, sizeof(relays));
        start_with_relays(&relays.rig, 6, '0' + SPREAD_ENTRIES);
        for (int round = 0; round < 3; round++) {
            list_first_hosts(&relays, '\0', before);
            relays.rig.now_us += 300 * MS;
        }
        (void)renew_relay(&relays, vm, 1, true);
        list_first_hosts(&relays, left, after);
        int min = SPREAD_ENTRIES;
        int max = 0;
        for (int i = 0; i < SPREAD_ENTRIES; i++) {
            taken[(int)after[i]] += before[i] == left ? 1 : 0;
            ck_assert(before[i] == left || after[i] == before[i] ||
                      '1' + i == left);
        }
        for (int i = 0; i < SPREAD_ENTRIES; i++) {
            int count = taken['1' + i];
            if (before[i] == '\0' && '1' + i != left) {
                min = count < min ? count : min;
                max = count > max ? count : max;
            }
        }
        ck_assert_msg(max - min <= 1, "%s: %d to %d", vm, min, max);
        finish(&relays.rig);
    }
}
END_TEST

// Guards against entries that keep asking a relay which is denied its lease.
START_TEST(test_denied_relay_leaves_lists)
{
    struct relay_rig relays;
    char others[CK_RELAY_HOSTS + 1];
    bool denied = false;

    start_with_lists(&relays);
    (void)strcpy(others, list_hosts(&relays) + 1);
    lose_primary(&relays.rig);
    for (int i = 0; i < 100 && !denied; i++) {
        tick(&relays.rig, relays.rig.now_us + 50 * MS);
        for (const char *host = others; *host != '\0'; host++) {
            char vm[] = {'e', *host, '\0'};
            confirm_revocation(&relays, vm);
        }
        confirm_revocation(&relays, relays.user);
        denied = renew_relay(&relays, relays.first, 1, false)->lease_us == 0;
    }
    relays.rig.now_us += 300 * MS;
    confirm_revocation(&relays, relays.user);
    ck_assert_str_eq(list_hosts(&relays), others);
    ck_assert(denied);
    finish(&relays.rig);
}
END_TEST

// Guards against entries that ask a relay which waits for its connections
// after a restart: it is listed again, as the first, once it has some.
START_TEST(test_restarted_relay_is_listed_with_its_connections)
{
    struct relay_rig relays;
    char all[CK_RELAY_HOSTS + 1];
    bool waits = true;

    start_with_lists(&relays);
    (void)strcpy(all, list_hosts(&relays));
    (void)renew_relay(&relays, relays.first, 1, true);
    for (int i = 0; i < 20; i++) {
        const struct ck_renew_result *result =
            renew_relay(&relays, relays.first, 2, false);
        ck_assert_uint_gt(result->quotas.quotas_len, 0);
        ck_assert(i > 0 || result->quotas.quotas_val[0].connections == 0);
        waits = result->quotas.quotas_val[0].connections == 0;
        relays.rig.now_us += 300 * MS;
        ck_assert_str_eq(list_hosts(&relays), waits ? all + 1 : all);
        for (const char *host = all + 1; *host != '\0'; host++) {
            char vm[] = {'e', *host, '\0'};
            (void)renew_relay(&relays, vm, 1, false);
        }
    }
    ck_assert(!waits);
    finish(&relays.rig);
}
END_TEST

// Guards against relays that depend on the order in which entries return after
// a restart of all: an entry that has renewed, but had no lease yet, must be
// selected like the others.
START_TEST(test_restart_keeps_relays)
{
    struct rig rig;
    size_t quotas[2][4] = {{0}};

    start_with_relays(&rig, 6, '4');
    for (int restarted = 0; restarted < 2; restarted++) {
        for (int i = 0; i < 4; i++) {
            char vm[] = {'e', (char)('1' + i), '\0'};
            const struct ck_renew_result *result =
                restarted == 1
                    ? renew_restarted(&rig, vm, 1)
                    : renew(&rig, vm, 1, group_get_revision(rig.group));
            quotas[restarted][i] = result->quotas.quotas_len;
        }
        elect(&rig, 5);
    }
    ck_assert_mem_eq(quotas[0], quotas[1], sizeof(quotas[0]));
    finish(&rig);
}
END_TEST

// Guards against a relay that has its lease, but waits for its next renewal to
// get connections: no quota grows until the quotas of all entries are known,
// and then those that wait are notified.
START_TEST(test_quotas_are_announced_when_known)
{
    struct rig rig;

    start_database(&rig, "e1");
    add_daemon(&rig, "e2");
    elect(&rig, 4);
    rig.now_us = START_US + 10 * MS;
    const struct ck_renew_result *result = renew_restarted(&rig, "e1", 1);
    ck_assert_uint_eq(result->quotas.quotas_val[0].connections, 0);
    struct coordinator_event notified = {.kind = COORDINATOR_EVENT_NOTIFIED};
    notified.notified.vm = "e1"; // the notification of the election
    step(&rig, &notified);
    result = renew_restarted(&rig, "e2", 1);
    ck_assert_uint_gt(result->quotas.quotas_val[0].connections, 0);
    const struct coordinator_action *notify =
        find_action(&rig, COORDINATOR_ACTION_NOTIFY);
    ck_assert_ptr_nonnull(notify);
    ck_assert_str_eq(notify->notify.daemon->vm, "e1");
    result = renew_restarted(&rig, "e1", 2);
    ck_assert_uint_gt(result->quotas.quotas_val[0].connections, 0);
    finish(&rig);
}
END_TEST

static void
announce(struct rig *rig, const char *name, const char *host,
         enum ck_upstream_state state)
{
    const char *failure_domain = strcmp(name, "u1") == 0 ? "noord" : "zuid";
    struct ck_upstream upstream =
        changes_make_upstream(name, "roster1", failure_domain, host);
    struct coordinator_event event = {.kind = COORDINATOR_EVENT_ANNOUNCE,
                                      .token = 9};

    upstream.state = state;
    event.announce = &upstream;
    step(rig, &event);
}

static void
answer_notification(struct rig *rig, const char *vm)
{
    struct ck_notify_result result = {.outcome = OUTCOME_OK};
    struct coordinator_event event = {.kind = COORDINATOR_EVENT_NOTIFIED};

    result.daemon = changes_make_daemon(vm, "10.3.0.1", 1);
    event.notified.vm = vm;
    event.notified.incarnation = result.daemon.incarnation;
    event.notified.result = &result;
    step(rig, &event);
}

// Answers the probes of a planned change whose replica u2 lacks nothing.
static void
answer_planned_probes(struct rig *rig)
{
    struct coordinator_event event = {.kind = COORDINATOR_EVENT_PROBED};

    event.probe.upstream = "u1";
    event.probe.is_primary = true;
    event.probe.position.timeline = 1;
    event.probe.position.lsn = 50;
    step(rig, &event);
    probe(rig, "u2", true, false);
}

// Guards against a gap of a planned change that lasts as long as the lease of
// a frozen entry: the term of a primary that leaves is superseded only when
// all lease holders have answered, or have no lease any more.
START_TEST(test_planned_change_waits_for_silent_holder)
{
    struct rig rig;

    start_database(&rig, "e1");
    add_daemon(&rig, "e2");
    elect(&rig, 4);
    uint64_t revision = group_get_revision(rig.group);
    rig.now_us = START_US + 100 * MS;
    (void)renew(&rig, "e1", 1, revision);
    (void)renew(&rig, "e2", 1, revision);
    int64_t granted_us = rig.now_us;
    rig.now_us += 200 * MS;
    announce(&rig, "u2", "10.0.0.2", CK_UPSTREAM_READY);
    announce(&rig, "u1", "10.0.0.1", CK_UPSTREAM_LEAVING);
    const struct ck_database *database =
        group_find_database(rig.group, "roster1");
    ck_assert(!database->superseding);
    tick(&rig, rig.now_us + 50 * MS);
    answer_planned_probes(&rig);
    answer_notification(&rig, "e1");
    ck_assert(!database->superseding);
    // e2 is silent until the lease plus twice the clock drift has passed.
    tick(&rig, granted_us + LEASE_US + 2 * MS);
    ck_assert(!group_find_database(rig.group, "roster1")->superseding);
    tick(&rig, granted_us + LEASE_US + 2 * MS + 50 * MS);
    ck_assert(group_find_database(rig.group, "roster1")->superseding);
    finish(&rig);
}
END_TEST

// Plays an entry that refuses all requests while the replica u2 lags, for
// duration_us. Returns whether the term was superseded.
static bool
play_overload(int64_t duration_us)
{
    struct rig rig;

    start_database(&rig, "e1");
    elect(&rig, 4);
    int64_t end_us = START_US + duration_us;
    bool superseding = false;
    for (uint64_t i = 1; rig.now_us < end_us && !superseding; i++) {
        struct ck_suspicion report = {.database = (char *)"roster1",
                                      .upstream = (char *)"u2",
                                      .term = 1,
                                      .kind = CK_SUSPECT_LAGGING,
                                      .since_ms = 0};
        struct ck_renew_args args =
            make_renewal("e1", i, group_get_revision(rig.group));
        struct coordinator_event event = {.kind = COORDINATOR_EVENT_RENEW,
                                          .token = 9};
        rig.now_us += 200 * MS;
        report.since_ms = (u_quad_t)((rig.now_us - START_US) / MS);
        announce(&rig, "u1", "10.0.0.1", CK_UPSTREAM_READY);
        announce(&rig, "u2", "10.0.0.2", CK_UPSTREAM_READY);
        args.suspicions.suspicions_val = &report;
        args.suspicions.suspicions_len = 1;
        event.renew = &args;
        step(&rig, &event);
        answer_notification(&rig, "e1");
        superseding = group_find_database(rig.group, "roster1")->superseding;
    }
    finish(&rig);
    return superseding;
}

// Guards against a primary that serves all reads for as long as its replicas
// lag; see test_backlog for the cases.
START_TEST(test_lagging_replicas_cause_planned_change)
{
    // A change is expected to cost 1.5 s.
    ck_assert(!play_overload(1400 * MS));
    ck_assert(play_overload(2200 * MS));
}
END_TEST

// Guards against a late renewal that takes back the return of a lease, and
// against quotas that are allocated again while the connections of the entry
// that stops may be open.
START_TEST(test_returned_lease_frees_no_quota)
{
    struct rig rig;
    struct ck_renew_args args = make_renewal("e1", 2, 0);
    struct coordinator_event event = {.kind = COORDINATOR_EVENT_RENEW,
                                      .token = 9};

    start_database(&rig, "e1");
    elect(&rig, 4);
    uint64_t revision = group_get_revision(rig.group);
    rig.now_us = START_US + 1100 * MS;
    uint32_t all =
        renew(&rig, "e1", 1, revision)->quotas.quotas_val[0].connections;
    int64_t granted_us = rig.now_us;
    args.returned = true;
    event.renew = &args;
    step(&rig, &event);
    ck_assert_uint_eq(renew(&rig, "e1", 3, revision)->lease_us, 0);
    add_daemon(&rig, "e2");
    uint32_t held = renew(&rig, "e2", 1, group_get_revision(rig.group))
                        ->quotas.quotas_val[0]
                        .connections;
    // e1 had all connections.
    ck_assert_uint_gt(all, 0);
    ck_assert_uint_eq(held, 0);
    rig.now_us = granted_us + LEASE_US + 10 * MS;
    ck_assert_uint_gt(renew(&rig, "e2", 2, group_get_revision(rig.group))
                          ->quotas.quotas_val[0]
                          .connections,
                      0);
    finish(&rig);
}
END_TEST

// Renews as a new incarnation. Returns its connections to the first upstream.
static uint32_t
renew_after_restart(struct rig *rig, uint64_t incarnation)
{
    struct ck_renew_args args =
        make_renewal("e1", 1, group_get_revision(rig->group));
    struct coordinator_event event = {.kind = COORDINATOR_EVENT_RENEW,
                                      .token = 9};

    args.daemon.incarnation = incarnation;
    event.renew = &args;
    rig->hold_proposals = true;
    step(rig, &event);
    rig->hold_proposals = false;
    const struct coordinator_action *reply =
        find_action(rig, COORDINATOR_ACTION_REPLY_RENEW);
    return reply->renew->quotas.quotas_val[0].connections;
}

// Guards against quotas that stay allocated to incarnations of long ago while
// an entry restarts again before its last lease has run out.
START_TEST(test_restarts_in_turn_free_quotas)
{
    struct rig rig;

    start_database(&rig, "e1");
    elect(&rig, 4);
    rig.now_us = START_US + 1100 * MS;
    ck_assert_uint_gt(renew_after_restart(&rig, 1), 0);
    rig.now_us += LEASE_US * 9 / 10;
    ck_assert_uint_eq(renew_after_restart(&rig, 2), 0);
    rig.now_us += LEASE_US * 9 / 10;
    ck_assert_uint_gt(renew_after_restart(&rig, 3), 0);
    finish(&rig);
}
END_TEST

static void
add_tests(TCase *tests)
{
    tcase_add_test(tests, test_relays_are_sent_when_they_change);
    tcase_add_test(tests, test_relays_are_planned_in_steps);
    tcase_add_test(tests, test_change_after_large_publication_is_published);
    tcase_add_test(tests, test_reply_outlives_publication);
    tcase_add_test(tests, test_relays_have_current_address);
    tcase_add_test(tests, test_recent_plan_drops_old_record);
    tcase_add_test(tests, test_new_address_changes_relays_version);
    tcase_add_test(tests, test_scarce_connections_go_to_relays);
    tcase_add_loop_test(tests, test_relays_are_told_for_customers, 0, 2);
    tcase_add_test(tests, test_entry_that_cannot_reach_primary_uses_relays);
    tcase_add_test(tests, test_renewal_without_lease);
    tcase_add_test(tests, test_lease_is_granted_with_last_delta_page);
    tcase_add_test(tests, test_entry_that_is_behind_keeps_its_lease);
    tcase_add_test(tests, test_new_leader_waits_for_previous_leases);
    tcase_add_test(tests, test_unconfirmed_lease_is_waited_out);
    tcase_add_test(tests, test_confirmation_ends_revocation);
    tcase_add_test(tests, test_unconfirming_holder_is_denied_lease);
    tcase_add_test(tests, test_no_promotion_without_quorum);
    tcase_add_test(tests, test_deposed_coordinator_replies_unknown);
    tcase_add_test(tests, test_failed_proposal_is_replied);
    tcase_add_test(tests, test_draining_customer_closes_without_requests);
    tcase_add_test(tests, test_draining_customer_closes_after_limit);
    tcase_add_test(tests, test_new_leader_notifies_daemons);
    tcase_add_test(tests, test_half_of_connections_is_allocated);
    tcase_add_test(tests, test_silent_daemon_expires);
    tcase_add_test(tests, test_restarted_entry_gets_lease_at_once);
    tcase_add_test(tests, test_new_leader_waits_for_unregistered_incarnation);
    tcase_add_test(tests, test_restart_after_renewal_is_not_waited_for);
    tcase_add_test(tests, test_restart_keeps_relays);
    tcase_add_test(tests, test_returned_relay_leaves_lists);
    tcase_add_test(tests, test_denied_relay_leaves_lists);
    tcase_add_test(tests, test_users_of_stopped_relay_are_divided);
    tcase_add_test(tests, test_restarted_relay_is_listed_with_its_connections);
    tcase_add_test(tests, test_quotas_are_announced_when_known);
    tcase_add_test(tests, test_planned_change_waits_for_silent_holder);
    tcase_add_test(tests, test_lagging_replicas_cause_planned_change);
    tcase_add_test(tests, test_returned_lease_frees_no_quota);
    tcase_add_test(tests, test_restarts_in_turn_free_quotas);
}

TEST_MAIN("coordinator", add_tests)
