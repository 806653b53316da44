// Tests of the lease of an entry as control executes it: the actions of the
// leaseholder in their order, with a clock of the test.

#include <apr_general.h>
#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "catkingrade/control/lease_agent_private.h"
#include "catkingrade/decide/group/group.h"
#include "catkingrade/entry/entry.h"
#include "catkingrade/kernel/daemon.h"
#include "catkingrade/kernel/memory.h"
#include "catkingrade/kernel/outcome.h"
#include "catkingrade/kernel/settings.h"
#include "test/fake/changes.h"
#include "test/suite.h"

#define MS              INT64_C(1000)
#define LEASE_US        (3000 * MS)
#define STANDSTILL_US   (3300 * MS)
#define RENEW_US        (1000 * MS)
#define UPSTREAMS_COUNT 24
#define FIRST_SLOTS     2
#define LATER_SLOTS     5
#define GUARANTEED      1
#define FIRST_REVISION  9
#define LATER_REVISION  10

// An entry with one lease, and what its traffic threads were told last. The
// process stands still for longer than its lease at one of the points at which
// it reads the clock, tells the traffic threads something or sends a call.
static struct {
    struct settings settings;
    struct settings_voter voter;
    struct settings_group group;
    struct daemon daemon;
    struct lease_agent agent;
    struct group_lease lease;
    int64_t now_us;
    unsigned points; // passed
    unsigned stops_at;
    rpcnet_done_fn done; // of the call in flight; NULL: none
    void *done_data;
    uint64_t sequence;
    char names[UPSTREAMS_COUNT][8];
    u_int slots[UPSTREAMS_COUNT];
    int64_t valid_until_us;
    uint64_t revision;
    unsigned relays_count;
} rig;

// The functions of the product that this program replaces: the linker's option
// --wrap.
int64_t __wrap_monotonic_get_us(void);
void __wrap_rpcnet_call(struct rpcnet *rpcnet,
                        const struct settings_address *peer,
                        const struct rpcnet_procedure *procedure,
                        const void *args, int64_t timeout_us, int64_t retry_us,
                        rpcnet_done_fn done, void *data);
void __wrap_entry_post_view(struct entry *entry, struct view *view);
void __wrap_entry_post_lease(struct entry *entry, const char *group,
                             int64_t valid_until_us);
void __wrap_entry_post_quotas(struct entry *entry,
                              const struct ck_quota *quotas, size_t count);
void __wrap_entry_post_relays(struct entry *entry,
                              const struct ck_relay *relays, size_t count);

static void
pass_point(void)
{
    if (++rig.points == rig.stops_at) {
        rig.now_us += STANDSTILL_US;
    }
}

int64_t
__wrap_monotonic_get_us(void)
{
    pass_point();
    return rig.now_us;
}

// Ends the call before, whose result is of no use any more.
static void
drop_call(void)
{
    rpcnet_done_fn done = rig.done;

    rig.done = NULL;
    if (done != NULL) {
        done(rig.done_data, OUTCOME_CLOSED, NULL);
    }
}

void
__wrap_rpcnet_call(struct rpcnet *rpcnet, const struct settings_address *peer,
                   const struct rpcnet_procedure *procedure, const void *args,
                   int64_t timeout_us, int64_t retry_us, rpcnet_done_fn done,
                   void *data)
{
    (void)rpcnet;
    (void)peer;
    (void)procedure;
    (void)timeout_us;
    (void)retry_us;
    pass_point();
    drop_call();
    rig.done = done;
    rig.done_data = data;
    rig.sequence = ((const struct ck_renew_args *)args)->sequence;
}

void
__wrap_entry_post_view(struct entry *entry, struct view *view)
{
    (void)entry;
    pass_point();
    rig.revision = view_get_revision(view, GROUP_FLEET_NAME);
}

void
__wrap_entry_post_lease(struct entry *entry, const char *group,
                        int64_t valid_until_us)
{
    (void)entry;
    pass_point();
    ck_assert_str_eq(group, GROUP_FLEET_NAME);
    rig.valid_until_us = valid_until_us;
}

void
__wrap_entry_post_quotas(struct entry *entry, const struct ck_quota *quotas,
                         size_t count)
{
    (void)entry;
    pass_point();
    for (size_t i = 0; i < count; i++) {
        int number = atoi(quotas[i].upstream + 1);
        ck_assert_str_eq(quotas[i].upstream, rig.names[number]);
        rig.slots[number] = quotas[i].slots;
    }
}

void
__wrap_entry_post_relays(struct entry *entry, const struct ck_relay *relays,
                         size_t count)
{
    (void)entry;
    pass_point();
    for (size_t i = 0; i < count; i++) {
        ck_assert_str_eq(relays[i].database, "roster1");
        ck_assert_str_eq(relays[i].hosts.hosts_val[0], "10.3.0.2");
    }
    rig.relays_count = (unsigned)count;
}

static void
start(void)
{
    apr_initialize();
    memset(&rig, 0, sizeof(rig));
    rig.now_us = 100000 * MS;
    rig.voter.id = 1;
    (void)snprintf(rig.voter.rpc.host, sizeof(rig.voter.rpc.host), "10.1.0.1");
    rig.voter.rpc.port = 7432;
    rig.group.name = (char *)(uintptr_t)GROUP_FLEET_NAME;
    rig.group.voters = &rig.voter;
    rig.group.voters_count = 1;
    rig.settings.vm = (char *)(uintptr_t) "e1";
    rig.settings.failure_domain = (char *)(uintptr_t) "noord";
    rig.settings.lease_us = LEASE_US;
    rig.settings.renew_us = RENEW_US;
    rig.settings.ready_with_lease = true;
    rig.daemon.settings = &rig.settings;
    rig.daemon.incarnation = 7;
    rig.agent.daemon = &rig.daemon;
    rig.agent.loop = loop_create();
    rig.agent.view = view_create();
    rig.agent.leases = &rig.lease;
    rig.agent.leases_count = 1;
    for (int i = 0; i < UPSTREAMS_COUNT; i++) {
        (void)snprintf(rig.names[i], sizeof(rig.names[i]), "u%d", i);
    }
    group_lease_init(&rig.lease, &rig.agent, &rig.group);
}

static void
finish(void)
{
    drop_call();
    group_lease_free(&rig.lease);
    view_release(rig.agent.view);
    loop_destroy(rig.agent.loop);
}

static void
tick(void)
{
    struct leaseholder_event event = {.kind = LEASEHOLDER_EVENT_TICK};

    group_lease_step(&rig.lease, &event);
}

// Answers the call in flight with a lease, changes up to a revision, relays
// and a quota of each upstream.
static void
grant(uint64_t from_revision, uint64_t to_revision, u_int slots)
{
    struct ck_renew_result result = {.outcome = OUTCOME_OK,
                                     .sequence = rig.sequence,
                                     .leader_term = 4,
                                     .lease_us = LEASE_US,
                                     .relays_version = to_revision};
    struct ck_quota quotas[UPSTREAMS_COUNT];
    char *hosts[] = {(char *)(uintptr_t) "10.3.0.2"};
    struct ck_relay relay = {.database = (char *)(uintptr_t) "roster1"};
    struct ck_upstream upstream =
        changes_make_upstream("u0", "roster1", "noord", "10.0.0.1");
    struct ck_database database = {.revision = to_revision, .term = 1};
    struct ck_view_delta delta = {.from_revision = from_revision,
                                  .to_revision = to_revision};
    rpcnet_done_fn done = rig.done;

    ck_assert_ptr_nonnull(done);
    database.name = database.customer = relay.database;
    database.group = (char *)(uintptr_t)GROUP_FLEET_NAME;
    database.primary = upstream.name;
    database.upstreams.upstreams_val = &upstream;
    database.upstreams.upstreams_len = 1;
    delta.databases.databases_val = &database;
    delta.databases.databases_len = 1;
    relay.hosts.hosts_val = hosts;
    relay.hosts.hosts_len = 1;
    for (int i = 0; i < UPSTREAMS_COUNT; i++) {
        quotas[i] = (struct ck_quota){.upstream = rig.names[i],
                                      .slots = slots,
                                      .connections = slots,
                                      .guaranteed_slots = GUARANTEED,
                                      .guaranteed_connections = GUARANTEED};
    }
    result.leader_host = (char *)(uintptr_t) "";
    result.quotas.quotas_val = quotas;
    result.quotas.quotas_len = UPSTREAMS_COUNT;
    result.relays.relays_val = &relay;
    result.relays.relays_len = 1;
    changes_pack_delta(&delta, &result.delta);
    rig.done = NULL;
    done(rig.done_data, OUTCOME_OK, &result);
    free(result.delta.data.data_val);
}

static void
check_slots(u_int slots)
{
    for (int i = 0; i < UPSTREAMS_COUNT; i++) {
        ck_assert_msg(rig.slots[i] == slots,
                      "point %u: %s has %u slots, not %u", rig.stops_at,
                      rig.names[i], rig.slots[i], slots);
    }
}

// Checks that the traffic threads were told what the entry may use now: the
// quotas of its lease, or the guaranteed ones without a lease. Returns whether
// it has a lease.
static bool
check_entry(void)
{
    int64_t until_us = leaseholder_get_valid_until_us(rig.lease.leaseholder);
    bool is_held = until_us > rig.now_us;

    ck_assert_msg(rig.lease.held == is_held, "point %u", rig.stops_at);
    ck_assert_msg((rig.valid_until_us > rig.now_us) == is_held, "point %u",
                  rig.stops_at);
    check_slots(is_held ? LATER_SLOTS : GUARANTEED);
    ck_assert_uint_eq(rig.revision, LATER_REVISION);
    ck_assert_uint_eq(rig.relays_count, 1);
    return is_held;
}

// Answers calls until the entry has a lease, within one renewal interval. A
// call from before the standstill may have been given up.
static void
renew(void)
{
    int64_t limit_us = rig.now_us + RENEW_US;

    do {
        rig.now_us += RENEW_US / 10;
        tick();
        if (rig.done != NULL) {
            grant(LATER_REVISION, LATER_REVISION, LATER_SLOTS);
        }
    } while (!rig.lease.held && rig.now_us < limit_us);
}

// Guards against an entry that uses freed memory, or more than it is granted,
// as its lease runs out while it handles a renewal: the process stands still
// at one point of the renewal after the other.
START_TEST(test_lease_runs_out_at_each_point_of_a_renewal)
{
    unsigned ends_count = 0;
    bool is_through = false;

    for (unsigned point = 1; !is_through; point++) {
        start();
        tick();
        grant(0, FIRST_REVISION, FIRST_SLOTS);
        check_slots(FIRST_SLOTS);
        rig.now_us += RENEW_US;
        rig.points = 0;
        rig.stops_at = point;
        tick();
        grant(FIRST_REVISION, LATER_REVISION, LATER_SLOTS);
        is_through = rig.points < point;
        rig.stops_at = 0;
        tick();
        ends_count += check_entry() ? 0 : 1;
        renew();
        ck_assert_msg(check_entry(), "point %u", point);
        finish();
    }
    // The call, the view, the relays, the quotas and the lease.
    ck_assert_uint_ge(ends_count, 5);
}
END_TEST

static void
add_tests(TCase *tests)
{
    tcase_add_test(tests, test_lease_runs_out_at_each_point_of_a_renewal);
}

TEST_MAIN("group_lease", add_tests)
