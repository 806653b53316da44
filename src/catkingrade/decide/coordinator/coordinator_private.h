#ifndef CATKINGRADE_DECIDE_COORDINATOR_PRIVATE_H
#define CATKINGRADE_DECIDE_COORDINATOR_PRIVATE_H

#include "catkingrade/decide/coordinator/announce.h"
#include "catkingrade/decide/coordinator/backlog.h"
#include "catkingrade/decide/coordinator/coordinator.h"
#include "catkingrade/decide/coordinator/drain.h"
#include "catkingrade/decide/coordinator/leaving.h"
#include "catkingrade/decide/coordinator/quota_plan.h"
#include "catkingrade/decide/coordinator/suspicion.h"
#include "catkingrade/decide/group/group_index.h"
#include "catkingrade/decide/group/publication.h"

#define COORDINATOR_US_PER_MS        1000
#define COORDINATOR_TICK_INTERVAL_US 50000
// A quiet database is looked at in one of this many ticks.
#define COORDINATOR_QUIET_TICKS 8
// Interval between two notifications of a holder that has not confirmed a
// revocation.
#define COORDINATOR_NOTIFY_INTERVAL_US 50000
// Wait for further answers once the answers suffice for a choice.
#define COORDINATOR_COLLECT_WAIT_US 100000
// The time limit of a planned change divided by this is kept for the
// promotion.
#define COORDINATOR_PROMOTION_DIVISOR 5
// A change that kept a leaving primary is followed by another one after the
// time limit divided by this, which is also the least time for a change before
// its promotion.
#define COORDINATOR_RETRY_DIVISOR 10
// Delay between a failed FENCE or FOLLOW and its retry.
#define COORDINATOR_REPAIR_RETRY_US 1000000

#define COORDINATOR_RELAY_STATE_UNKNOWN UINT32_MAX
#define COORDINATOR_FIRST_TERM          1

// Kinds of keys in the coordinator's index.
enum coordinator_key_kind {
    COORDINATOR_KEY_HOLDER = 'H',
    COORDINATOR_KEY_DATABASE = 'B',
    COORDINATOR_KEY_PROPOSAL = 'P',
    COORDINATOR_KEY_QUOTA = 'Q',
    COORDINATOR_KEY_QUOTA_SET = 'S',
    COORDINATOR_KEY_RELAY = 'L',
};

// A daemon as a lease holder, with or without a lease at present. Holders are
// kept until the coordinator is deposed, since other records point to them.
struct coordinator_holder {
    struct coordinator_holder *next;
    struct ck_daemon daemon;  // deep copy
    size_t index;             // unique within this coordinator, from 0
    int64_t granted_until_us; // end of the lease of this incarnation
    // This incarnation has given its lease back. Its quotas count until
    // granted_until_us all the same, as its connections may still be open.
    bool is_returned;
    // End of the leases of earlier incarnations, and the same with those that
    // were given back, whose quotas count.
    int64_t previous_until_us;
    int64_t previous_quota_until_us;
    int64_t last_seen_us;
    uint64_t known_revision;
    uint64_t sent_revision; // of the last reply with a lease
    unsigned open_requests;
    bool is_proposed; // a proposal to register or expire the daemon is pending
    bool is_notifying; // a notification is in flight
    bool notify_again; // notify again when the one in flight has ended
    // This incarnation has renewed with this coordinator, which knows its
    // quotas since.
    bool has_renewed;
    uint64_t report_sequence; // of the newest renewal
    bool is_registered;       // in the group state
    // May be a relay: registered, and heard of not long ago.
    bool is_candidate;
    int64_t candidate_us; // since when; valid if is_candidate
    bool had_lease;       // at the last tick
    int relayed_count;    // databases for which the entry is a relay
    bool awaits_quota;    // has a lease, but no connection to some upstream
    // Changes with what decides whether the entry runs statements of others.
    uint32_t relay_state;
    struct coordinator_share **shares;
    size_t shares_count;
};

// What an incarnation that has ended may use until its lease has run out.
struct coordinator_previous_quota {
    int64_t until_us;
    uint32_t slots;
    uint32_t connections;
};

// What an entry demands, holds and gets of an upstream.
struct coordinator_share {
    struct coordinator_quota *quota;
    struct coordinator_holder *holder;
    bool is_member;      // the entry is one that connects to the upstream
    bool is_next_member; // working state of a change of the members
    // Renewals in a row that gave it no slot; see struct quota_plan_entry.
    uint32_t unserved;
    uint32_t slots_demand;
    uint32_t connections_demand;
    struct quota_plan_share reported; // held, by its newest renewal
    // Upper bound of what the entry may use now, even if a reply was lost.
    struct quota_plan_share held;
    struct quota_plan_share planned; // what its next renewal gets
    // What incarnations before a restart may still use, oldest first.
    struct coordinator_previous_quota *previous;
    size_t previous_count;
};

// The shares of all entries in one upstream, sorted by VM.
struct coordinator_quota {
    struct coordinator_quota *next;
    char *name;
    bool is_removed;     // the upstream is no longer in its database
    bool is_lost;        // CK_UPSTREAM_LOST in the group state
    bool is_stale;       // an input has changed and may change the plan
    bool is_used;        // so has one that hardly does; planned again later
    int64_t planned_us;  // time of the plan; 0: none
    int64_t outdated_us; // when a lease that the plan counts may have ended
    struct coordinator_share **shares;
    size_t shares_count;
};

// The quotas of the upstreams of a database.
struct coordinator_quota_set {
    struct coordinator_quota_set *next;
    char *database;
    uint64_t term; // of the database when it was last looked at
    struct coordinator_quota *quotas;
};

// A lease that must end before the next term of a database may begin. Leases
// of later incarnations of its holder come with the end of the term and need
// not end.
struct coordinator_pending_lease {
    struct coordinator_holder *holder;
    uint64_t incarnation;
    int64_t previous_until_us; // end of the leases of earlier incarnations
    int64_t until_us; // end of the lease, once the holder has restarted
    bool confirmed;
};

// State of one upstream of a database. Members have the order of the
// database's upstreams.
struct coordinator_member {
    char *name;
    bool probing;      // a probe is in flight
    bool answered;     // in this phase, with its position
    bool is_busy;      // in this phase it was too busy to report it
    bool failed;       // in this phase
    bool is_primary;   // in the last answer
    bool is_regressed; // position is below max_position
    unsigned failures; // in this phase
    int64_t probe_sent_us;
    int64_t next_probe_us;
    struct ck_position position;     // in the last answer
    uint64_t term;                   // in the last answer
    struct ck_position last_write;   // in the last answer
    struct ck_position max_position; // highest position ever answered
    bool was_lost;                   // CK_UPSTREAM_LOST at the last change
    bool is_removing;                // its removal is being prepared
    int64_t leaving_us;              // since when it is leaving; 0: it is not
    int64_t lost_us;
    uint64_t lost_revision; // revision that marks the upstream as lost
    bool needs_fence;       // may still accept writes as a primary
    bool needs_follow;      // must replicate from the current primary
    bool repairing;         // a FENCE or FOLLOW is in flight
    int64_t next_repair_us;
    int64_t fenced_us;      // end of the last FENCE; 0: none
    struct backlog backlog; // reports that it lags
};

enum coordinator_phase {
    COORDINATOR_PHASE_IDLE,
    COORDINATOR_PHASE_INITIAL,     // no term yet: choosing a first primary
    COORDINATOR_PHASE_SUPERSEDING, // end of the term is proposed
    COORDINATOR_PHASE_REVOKING,    // waiting until no lease covers the term
    COORDINATOR_PHASE_COLLECTING,  // probing positions of all upstreams
    COORDINATOR_PHASE_ORDERING,    // the upstream to promote is proposed
    COORDINATOR_PHASE_PROMOTING,   // PROMOTE is in flight
    COORDINATOR_PHASE_PUBLISHING,  // the new primary is proposed
};

// Failover state of a database.
struct coordinator_database {
    struct coordinator_database *next;
    char *name;
    enum coordinator_phase phase;
    int64_t phase_us; // start of the phase
    struct suspicion suspicion;
    int64_t failover_us;      // time of the last unplanned change; 0: none
    int64_t changed_us;       // begin of the last change of primary; 0: none
    int64_t kept_us;          // last change, if it kept the primary; else 0
    bool is_kept;             // the candidate is the primary of the ended term
    const char *candidate_by; // what makes it the primary, for the log
    struct coordinator_member *members;
    size_t members_count;
    struct coordinator_pending_lease *pending_leases;
    size_t pending_leases_count;
    struct coordinator_database *next_revoked;
    // A promotion for the next term may have taken effect.
    bool may_be_superseded;
    bool is_revoked;    // in the list of revocations
    bool is_quiet;      // nothing in progress that goes on with the time
    bool is_grace_over; // holders must abort in-flight requests
    int64_t next_notify_us;
    const char *planned_reason; // a planned change waits; NULL: none
    int64_t planned_us;         // when it was planned
    int64_t change_end_us;      // time limit of a planned change
    // By then no lease covers the term any more; set when the change begins.
    int64_t lease_end_us;
    // By then a planned change no longer waits for a replica to reach the
    // position of the primary that serves; set when the change begins.
    int64_t target_end_us;
    bool is_planned_position_known;      // planned_position is set
    struct ck_position planned_position; // primary's first one since the plan
    const struct coordinator_holder *awaited; // recorded last; NULL: none
    bool is_planned;             // planned switchover, not a failover
    bool is_demoted;             // the primary answered a probe as a replica
    bool is_operator_approved;   // an operator accepts an incomplete target
    bool is_incomplete_recorded; // "promotion_waits" is recorded
    bool is_order_refused;       // the last order was answered as not run
    char *target;           // upstream to promote; NULL: the most advanced
    uint64_t command_token; // command to reply to; 0: none
    int candidate_index;    // index of the next primary
    // Removal of lost upstreams; see coordinator_removal.c.
    bool is_removing;
    bool is_removal_known; // removal_position is set
    bool is_removal_proposed;
    struct ck_position removal_position; // primary's position at the start
    struct ck_position base; // position at which the next term begins
    // Last time at which this leader may have called for a promotion; 0: none.
    int64_t ordered_us;
};

enum coordinator_reply {
    COORDINATOR_REPLY_NONE,
    COORDINATOR_REPLY_ANNOUNCE,
};

// A pending proposal: neither applied nor failed.
struct coordinator_proposal {
    struct coordinator_proposal *older;
    struct coordinator_proposal *newer;
    uint64_t token;
    enum ck_change_kind kind;
    char *name; // of the VM, upstream, database or customer
    enum coordinator_reply reply;
    uint64_t reply_token;
};

struct coordinator {
    struct coordinator_params params;
    const struct group_state *group;
    bool is_active;
    bool has_quorum; // in the current step
    uint64_t leader_term;
    int64_t now_us;
    int64_t elected_us;
    int64_t wake_us; // last requested TICK
    int64_t next_tick_us;
    uint64_t ticks_count;
    uint64_t next_token;
    // What entries follow of the group state, and when it may be published
    // again for a change that is not urgent.
    struct publication *publication;
    int64_t next_publish_us;
    // An entry that does not have this revision gets no lease: up to it a term
    // has ended, or what entries serve was declared.
    uint64_t binding_revision;
    bool is_binding_due; // the next publication contains such a change
    bool publish_soon;   // publish when it is time
    bool publish_now;    // publish and notify holders at the end of this step
    struct group_index *index;
    // Holders are freed only when the coordinator is deposed.
    struct coordinator_holder *holders;
    size_t holders_count;
    bool quotas_known;      // those of all holders that may have a lease
    int64_t change_cost_us; // duration of the last planned change; 0: none
    struct coordinator_proposal *proposals;   // newest first
    struct coordinator_database *databases;   // only those that need a state
    struct coordinator_database *revocations; // whose term is ending
    struct coordinator_quota_set *quota_sets; // one per database
    size_t quotas_count;                      // in all sets
    struct coordinator_relay_plan *relay_plans;
    size_t relay_plans_count;
    struct coordinator_relay_plan *relay_cursor; // checked next
    struct coordinator_relay_plan *relays_queued;
    struct coordinator_relay_plan *relays_queued_last;
    int64_t relay_budget; // candidates that may be worked on
    int64_t relay_budget_us;
    // The plans in the order in which what entries are sent about them has
    // changed, and the number of such changes.
    struct coordinator_relay_plan *relays_oldest;
    struct coordinator_relay_plan *relays_newest;
    uint64_t relays_version;
    uint64_t candidates_version; // increased when a candidate joins or leaves
    uint64_t synced_revision;    // of the group state
    size_t synced_daemons_count;
    struct announce *announce;
    struct drain *drain;
    struct leaving *leaving;             // kept while inactive
    struct coordinator_actions *actions; // of this step; NULL between steps
};

// Actions; coordinator_actions.c.
struct coordinator_action *
coordinator_add_action(struct coordinator *coordinator,
                       enum coordinator_action_kind kind);
void *coordinator_actions_own(struct coordinator_actions *actions,
                              void *memory);
void coordinator_record(struct coordinator *coordinator, const char *kind,
                        const struct ck_database *database,
                        const char *upstream, const char *format, ...)
    __attribute__((format(printf, 5, 6)));
void coordinator_reply_text(struct coordinator *coordinator,
                            enum coordinator_action_kind kind, uint64_t token,
                            int outcome, const char *text);
void coordinator_wake_at(struct coordinator *coordinator, int64_t at_us);
void coordinator_propose(struct coordinator *coordinator,
                         const struct ck_change *change, const char *name,
                         enum coordinator_reply reply, uint64_t reply_token);
struct coordinator_proposal *
coordinator_remove_proposal(struct coordinator *coordinator, uint64_t token);
void coordinator_free_proposal(struct coordinator_proposal *proposal);

// Leases and holders; coordinator_lease.c.
int64_t coordinator_get_lease_bound_us(const struct coordinator *coordinator);
void coordinator_load_holders(struct coordinator *coordinator);
void coordinator_free_holders(struct coordinator *coordinator);
struct coordinator_holder *
coordinator_find_holder(const struct coordinator *coordinator, const char *vm);
bool coordinator_has_live_lease(const struct coordinator *coordinator,
                                const struct coordinator_holder *holder);
bool coordinator_has_quota(const struct coordinator *coordinator,
                           const struct coordinator_holder *holder);
bool coordinator_has_previous_quota(const struct coordinator *coordinator,
                                    const struct coordinator_holder *holder);
int64_t coordinator_get_term_until_us(const struct coordinator_holder *holder);
bool coordinator_has_any_lease(const struct coordinator *coordinator,
                               const struct coordinator_holder *holder);
bool coordinator_is_entry(const struct coordinator_holder *holder);
void coordinator_sync_group(struct coordinator *coordinator);
void coordinator_update_candidates(struct coordinator *coordinator);
size_t coordinator_count_leased_entries(const struct coordinator *coordinator);
void coordinator_handle_renewal(struct coordinator *coordinator,
                                uint64_t token,
                                const struct ck_renew_args *args);
void coordinator_notify(struct coordinator *coordinator,
                        struct coordinator_holder *holder);
void coordinator_hasten(struct ck_renew_result *result, uint64_t after_us);
size_t coordinator_update_publication(struct coordinator *coordinator);
void coordinator_publish(struct coordinator *coordinator);
void coordinator_handle_notify_result(struct coordinator *coordinator,
                                      const char *vm, uint64_t incarnation,
                                      const struct ck_notify_result *result);
void coordinator_expire_daemons(struct coordinator *coordinator);

// Shares of entries in upstreams; coordinator_share.c.
bool coordinator_is_same_quota(const struct quota_plan_share *left,
                               const struct quota_plan_share *right);
bool coordinator_holds_quota(const struct ck_demand *demand);
bool coordinator_allocates_all(const struct coordinator *coordinator);
struct coordinator_quota *
coordinator_find_quota(const struct coordinator *coordinator,
                       const char *name);
struct coordinator_quota_set *
coordinator_get_or_add_quota_set(struct coordinator *coordinator,
                                 const char *database);
struct coordinator_share *
coordinator_find_share(const struct coordinator_quota *quota,
                       const struct coordinator_holder *holder);
void coordinator_set_members(struct coordinator *coordinator,
                             const char *database,
                             struct coordinator_holder *const *holders,
                             size_t holders_count);
void coordinator_add_holder_shares(struct coordinator *coordinator,
                                   struct coordinator_holder *holder);
void coordinator_sync_quotas(struct coordinator *coordinator,
                             const char *name);
void coordinator_restart_shares(struct coordinator *coordinator,
                                struct coordinator_holder *holder);
void coordinator_record_reports(struct coordinator *coordinator,
                                struct coordinator_holder *holder,
                                const struct ck_renew_args *args);
void coordinator_free_quotas(struct coordinator *coordinator);

// Allocation of slots and connections; coordinator_quota.c.
void coordinator_fill_quotas(struct coordinator *coordinator,
                             struct coordinator_holder *holder,
                             const struct ck_renew_args *args,
                             struct ck_renew_result *result);
bool coordinator_learn_quotas(struct coordinator *coordinator);
void coordinator_notify_waiting(struct coordinator *coordinator);
uint32_t coordinator_get_quota_connections(const struct ck_upstream *upstream);
bool coordinator_awaits_connections(const struct coordinator *coordinator,
                                    const char *upstream,
                                    const struct coordinator_holder *holder);

// Relays: entries that run the statements of others; coordinator_relay*.c.
void coordinator_sync_relays(struct coordinator *coordinator,
                             const char *database);
void coordinator_run_relay_plans(struct coordinator *coordinator);
bool
coordinator_is_relay_choice_pending(const struct coordinator *coordinator,
                                    const struct coordinator_holder *holder);
void coordinator_fill_relays(struct coordinator *coordinator,
                             const struct coordinator_holder *holder,
                             const struct ck_renew_args *args,
                             struct ck_renew_result *result);
void coordinator_free_relays(struct coordinator *coordinator);
void coordinator_check_relay(struct coordinator *coordinator,
                             const struct coordinator_holder *holder);
void coordinator_check_relays_of(struct coordinator *coordinator,
                                 const char *database);
void coordinator_update_relay_entries(struct coordinator *coordinator,
                                      const struct coordinator_holder *holder);
void coordinator_record_unreachable(struct coordinator *coordinator,
                                    const char *database,
                                    const struct coordinator_holder *holder);
size_t
coordinator_count_connected_entries(const struct coordinator *coordinator,
                                    const struct ck_database *database);

// State of databases; coordinator_database.c.
struct coordinator_database *
coordinator_get_or_add_database(struct coordinator *coordinator,
                                const char *name);
struct coordinator_database *
coordinator_find_database(const struct coordinator *coordinator,
                          const char *name);
void coordinator_load_databases(struct coordinator *coordinator);
void coordinator_free_databases(struct coordinator *coordinator);
void coordinator_restart_collection(struct coordinator *coordinator,
                                    struct coordinator_database *db);
void coordinator_set_phase(struct coordinator *coordinator,
                           struct coordinator_database *db,
                           enum coordinator_phase phase);
bool coordinator_sync_members(struct coordinator_database *db,
                              const struct ck_database *database);
int coordinator_find_upstream_index(const struct ck_database *database,
                                    const char *name);
void coordinator_probe_member(struct coordinator *coordinator,
                              struct coordinator_database *db,
                              const struct ck_database *database,
                              size_t index);
void coordinator_handle_probe_result(struct coordinator *coordinator,
                                     const struct coordinator_probe *probe,
                                     bool answered);
void coordinator_run_database(struct coordinator *coordinator,
                              struct coordinator_database *db);
void coordinator_order_fence(struct coordinator *coordinator,
                             struct coordinator_database *db,
                             const struct ck_database *database, size_t index);
void coordinator_run_repairs(struct coordinator *coordinator,
                             struct coordinator_database *db,
                             const struct ck_database *database);
void coordinator_handle_repair_result(struct coordinator *coordinator,
                                      const char *upstream, bool is_fence,
                                      int outcome);
void coordinator_handle_suspicions(struct coordinator *coordinator,
                                   const char *vm,
                                   const struct ck_renew_args *args);

// Removal of lost upstreams; coordinator_removal.c.
void coordinator_run_removal(struct coordinator *coordinator,
                             struct coordinator_database *db,
                             const struct ck_database *database);

// Planned changes of primary; coordinator_planned.c.
void coordinator_plan_change(struct coordinator *coordinator,
                             struct coordinator_database *db,
                             const char *reason, int64_t begin_us);
void coordinator_record_awaited(struct coordinator *coordinator,
                                struct coordinator_database *db,
                                const struct coordinator_holder *holder,
                                size_t count, int64_t until_us);
bool coordinator_has_target(const struct coordinator_database *db,
                            const struct ck_database *database);
void coordinator_supersede_planned(struct coordinator *coordinator,
                                   struct coordinator_database *db,
                                   const struct ck_database *database);
bool coordinator_run_planned_change(struct coordinator *coordinator,
                                    struct coordinator_database *db,
                                    const struct ck_database *database);
void coordinator_handle_lagging(struct coordinator *coordinator,
                                const struct coordinator_holder *holder,
                                const struct ck_database *database,
                                const struct ck_suspicion *report);
void coordinator_clear_lagging(struct coordinator_database *db);
void coordinator_relieve_primary(struct coordinator *coordinator,
                                 struct coordinator_database *db,
                                 const struct ck_database *database);

// Upstreams that leave; coordinator_leaving.c.
bool coordinator_may_serve(const struct coordinator *coordinator,
                           const struct coordinator_member *member,
                           int64_t needed_us);
void coordinator_set_leaving(const struct coordinator *coordinator,
                             struct coordinator_member *member,
                             const struct ck_upstream *upstream);
void coordinator_note_leaving(struct coordinator *coordinator,
                              const struct coordinator_event *event);
void coordinator_replace_leaving_primary(struct coordinator *coordinator,
                                         struct coordinator_database *db,
                                         const struct ck_database *database);
bool coordinator_stop_leaving_primary(struct coordinator *coordinator,
                                      struct coordinator_database *db,
                                      const struct ck_database *database);

// Failover; coordinator_failover.c.
void coordinator_supersede(struct coordinator *coordinator,
                           struct coordinator_database *db,
                           const struct ck_database *database,
                           const char *reason);
void coordinator_load_order(const struct coordinator *coordinator,
                            struct coordinator_database *db,
                            const struct ck_database *database);
void coordinator_begin_revocation(struct coordinator *coordinator,
                                  struct coordinator_database *db);
void coordinator_end_revocation(struct coordinator *coordinator,
                                struct coordinator_database *db);
size_t coordinator_count_pending_leases(const struct coordinator_database *db,
                                        int64_t now_us);
void coordinator_end_pending_leases(struct coordinator *coordinator,
                                    const struct coordinator_holder *holder);
bool coordinator_is_lease_denied(const struct coordinator *coordinator,
                                 const struct coordinator_holder *holder);
void coordinator_keep_pending_leases(struct coordinator *coordinator,
                                     const struct coordinator_holder *holder);
void coordinator_handle_confirmations(struct coordinator *coordinator,
                                      const struct coordinator_holder *holder,
                                      uint64_t incarnation,
                                      const struct ck_revocation *items,
                                      size_t count);
void coordinator_run_failover(struct coordinator *coordinator,
                              struct coordinator_database *db,
                              const struct ck_database *database);
void coordinator_handle_promoted(struct coordinator *coordinator,
                                 const struct coordinator_probe *probe);
bool coordinator_continue_order(struct coordinator *coordinator,
                                struct coordinator_database *db,
                                const struct ck_database *database);
void coordinator_handle_ordered(struct coordinator *coordinator,
                                struct coordinator_database *db);
void coordinator_handle_promote_failed(struct coordinator *coordinator,
                                       const char *upstream, int outcome);
void coordinator_handle_new_primary(struct coordinator *coordinator,
                                    struct coordinator_database *db,
                                    const struct ck_database *database);
void coordinator_finish_command(struct coordinator *coordinator,
                                struct coordinator_database *db, int outcome,
                                const char *text);
// Choice of the next primary; coordinator_choice.c.
bool coordinator_have_all_answered(const struct coordinator_database *db);
void coordinator_run_initial(struct coordinator *coordinator,
                             struct coordinator_database *db,
                             const struct ck_database *database);
void coordinator_run_collecting(struct coordinator *coordinator,
                                struct coordinator_database *db,
                                const struct ck_database *database);
void coordinator_promote(struct coordinator *coordinator,
                         struct coordinator_database *db,
                         const struct ck_database *database, int index);
// Commands of operators; coordinator_command.c.
void coordinator_handle_command(struct coordinator *coordinator,
                                uint64_t token,
                                const struct ck_command_args *args);

#endif
