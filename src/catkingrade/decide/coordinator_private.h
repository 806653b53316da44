#ifndef CATKINGRADE_DECIDE_COORDINATOR_PRIVATE_H
#define CATKINGRADE_DECIDE_COORDINATOR_PRIVATE_H

#include "catkingrade/decide/announce.h"
#include "catkingrade/decide/coordinator.h"
#include "catkingrade/decide/drain.h"
#include "catkingrade/decide/group_index.h"
#include "catkingrade/decide/suspicion.h"

#define COORDINATOR_TICK_INTERVAL_US 50000
#define COORDINATOR_NOTIFY_INTERVAL_US                                        \
    50000 // between two tries to reach a holder
#define COORDINATOR_COLLECT_WAIT_US                                           \
    100000 // for answers beyond those that suffice
#define COORDINATOR_REPAIR_RETRY_US                                           \
    1000000 // between two tries to fence or follow
// Up to so many databases entries get a share of every upstream; beyond that,
// of those for which they report a demand.
#define COORDINATOR_ALLOCATE_ALL_MAX_DATABASES 64
// The same where few entries hold the connections of each database, so that
// a renewal tells of few.
#define COORDINATOR_ALLOCATE_ALL_MAX_RELAYED 1024

// Kinds of names in the leader's index.
enum coordinator_key_kind {
    COORDINATOR_KEY_HOLDER = 'H',
    COORDINATOR_KEY_DATABASE = 'B',
    COORDINATOR_KEY_PROPOSAL = 'P',
    COORDINATOR_KEY_QUOTA = 'Q',
    COORDINATOR_KEY_RELAY = 'L',
};

// A daemon that may hold a lease. It stays until the leader is deposed.
struct coordinator_holder {
    struct coordinator_holder *next;
    struct ck_daemon daemon; // a copy
    size_t number;           // of those of this leader, from 0
    int64_t granted_until_us;
    int64_t previous_until_us; // of earlier incarnations
    int64_t last_seen_us;
    uint64_t known_revision;
    unsigned open_requests;
    bool proposed;     // its registration or expiry is in the log's hands
    bool notifying;    // a notification is out
    bool notify_again; // as soon as that one has ended
    bool denied;       // it does not confirm a revocation
};

// A holder whose lease has to end before the next term begins.
struct coordinator_pending_lease {
    struct coordinator_holder *holder;
    uint64_t incarnation;
    bool confirmed;
};

// What is known of one upstream of a database, in the database's order.
struct coordinator_member {
    char *name;
    bool probing;
    bool answered; // since the phase began
    bool failed;   // since the phase began
    bool is_primary;
    bool is_regressed;
    unsigned failures; // since the phase began
    int64_t probe_sent_us;
    int64_t next_probe_us;
    struct ck_position position;
    struct ck_position seen; // the highest ever
    bool was_lost;
    bool is_removing; // its removal is prepared
    int64_t lost_us;
    uint64_t lost_revision;
    bool needs_fence;
    bool needs_follow;
    bool repairing;
    int64_t next_repair_us;
};

enum coordinator_phase {
    COORDINATOR_PHASE_IDLE,
    COORDINATOR_PHASE_INITIAL, // no term yet: a first primary is looked for
    COORDINATOR_PHASE_SUPERSEDING, // proposed
    COORDINATOR_PHASE_REVOKING,
    COORDINATOR_PHASE_COLLECTING,
    COORDINATOR_PHASE_PROMOTING,
    COORDINATOR_PHASE_PUBLISHING, // proposed
};

struct coordinator_database {
    struct coordinator_database *next;
    char *name;
    enum coordinator_phase phase;
    int64_t phase_us; // when it began
    struct suspicion suspicion;
    int64_t failover_us; // the last one; 0: none
    struct coordinator_member *members;
    size_t members_count;
    struct coordinator_pending_lease *waits;
    size_t waits_count;
    bool is_grace_over; // holders are told to drop what is in flight
    int64_t grace_end_us;
    int64_t next_notify_us;
    bool is_planned;           // a switchover
    bool is_demoted;           // its primary says that it is a replica
    bool is_operator_approved; // target may be incomplete
    bool is_incomplete_recorded;
    char *target;           // name; NULL: the most advanced
    uint64_t command_token; // 0: no command to be answered
    int candidate;          // place of the next primary
    // What the primary held when a removal was begun, once it is known.
    bool is_removing;
    bool is_removal_known;
    bool is_removal_proposed;
    struct ck_position removal;
    struct ck_position base;
};

enum coordinator_reply {
    COORDINATOR_REPLY_NONE,
    COORDINATOR_REPLY_ANNOUNCE,
};

// A proposal that the log has not answered.
struct coordinator_proposal {
    struct coordinator_proposal *older;
    struct coordinator_proposal *newer;
    uint64_t token;
    enum ck_change_kind kind;
    char *name; // VM, upstream, database or customer
    enum coordinator_reply reply;
    uint64_t reply_token;
};

struct leader {
    struct coordinator_params params;
    const struct group_state *group;
    bool is_active;
    bool has_quorum; // as of the present step
    uint64_t leader_term;
    int64_t now_us;
    int64_t elected_us;
    int64_t wake_us; // the last that was asked for
    int64_t next_tick_us;
    uint64_t next_token;
    bool publish_soon; // with the next regular tick
    bool publish_now;
    struct group_index *index;
    struct coordinator_holder
        *holders; // none goes before the leader is deposed
    size_t holders_count;
    struct coordinator_proposal *proposals; // the newest
    struct coordinator_database *databases;
    struct coordinator_quota *quotas;
    struct coordinator_relay_plan *relays;
    uint64_t relays_version; // grows with each change of what entries are told
    struct announce *announce;
    struct drain *drain;
    struct coordinator_actions *actions; // of the present step
};

// Actions; coordinator_actions.c.
struct coordinator_action *
coordinator_add_action(struct leader *leader,
                       enum coordinator_action_kind kind);
void *coordinator_actions_own(struct coordinator_actions *actions,
                              void *memory);
void coordinator_record(struct leader *leader, const char *kind,
                        const struct ck_database *database,
                        const char *upstream, const char *format, ...)
    __attribute__((format(printf, 5, 6)));
void coordinator_reply_text(struct leader *leader,
                            enum coordinator_action_kind kind, uint64_t token,
                            int outcome, const char *text);
void coordinator_wake_at(struct leader *leader, int64_t at_us);
void coordinator_propose(struct leader *leader, const struct ck_change *change,
                         const char *name, enum coordinator_reply reply,
                         uint64_t reply_token);
struct coordinator_proposal *coordinator_remove_proposal(struct leader *leader,
                                                         uint64_t token);
void coordinator_free_proposal(struct coordinator_proposal *proposal);

// Leases and holders; leader_lease.c.
int64_t coordinator_get_lease_bound_us(const struct leader *leader);
void coordinator_load_holders(struct leader *leader);
void coordinator_free_holders(struct leader *leader);
struct coordinator_holder *coordinator_find_holder(const struct leader *leader,
                                                   const char *vm);
bool coordinator_is_live(const struct leader *leader,
                         const struct coordinator_holder *holder);
bool coordinator_is_entry(const struct coordinator_holder *holder);
size_t coordinator_count_live(const struct leader *leader);
void coordinator_handle_renewal(struct leader *leader, uint64_t token,
                                const struct ck_renew_args *args);
void coordinator_notify(struct leader *leader,
                        struct coordinator_holder *holder);
void coordinator_notify_all(struct leader *leader);
void coordinator_handle_notify_result(struct leader *leader, const char *vm,
                                      uint64_t incarnation,
                                      const struct ck_notify_result *result);
void coordinator_expire_holders(struct leader *leader);

// Lending of slots and connections; coordinator_quota.c.
void coordinator_fill_quotas(struct leader *leader,
                             struct coordinator_holder *holder,
                             const struct ck_renew_args *args,
                             struct ck_renew_result *result);
void coordinator_free_quotas(struct leader *leader);
uint32_t coordinator_get_quota_connections(const struct ck_upstream *upstream);
bool coordinator_allocates_all(const struct leader *leader);

// Entries that run the statements of others; coordinator_relay_plan.c.
bool coordinator_is_relay(struct leader *leader,
                          const struct ck_database *database,
                          const struct coordinator_holder *holder);
void coordinator_fill_relays(struct leader *leader,
                             const struct coordinator_holder *holder,
                             const struct ck_renew_args *args,
                             struct ck_renew_result *result);
void coordinator_free_relays(struct leader *leader);
void coordinator_update_relay_entries(struct leader *leader,
                                      const struct coordinator_holder *holder);
void coordinator_record_unreachable(struct leader *leader,
                                    const char *database,
                                    const struct coordinator_holder *holder);
size_t coordinator_count_connected_entries(struct leader *leader,
                                           const struct ck_database *database);

// Databases; coordinator_database.c.
struct coordinator_database *
coordinator_get_or_add_database(struct leader *leader, const char *name);
struct coordinator_database *
coordinator_find_database(const struct leader *leader, const char *name);
void coordinator_load_databases(struct leader *leader);
void coordinator_free_databases(struct leader *leader);
void coordinator_restart_collection(struct leader *leader,
                                    struct coordinator_database *db);
void coordinator_set_phase(struct leader *leader,
                           struct coordinator_database *db,
                           enum coordinator_phase phase);
bool coordinator_sync_members(struct coordinator_database *db,
                              const struct ck_database *database);
int coordinator_find_upstream_index(const struct ck_database *database,
                                    const char *name);
void coordinator_probe_member(struct leader *leader,
                              struct coordinator_database *db,
                              const struct ck_database *database,
                              size_t place);
void coordinator_handle_probe_result(struct leader *leader,
                                     const struct coordinator_probe *probe,
                                     bool answered);
void coordinator_run_database(struct leader *leader,
                              struct coordinator_database *db);
void coordinator_run_repairs(struct leader *leader,
                             struct coordinator_database *db,
                             const struct ck_database *database);
void coordinator_handle_repair_result(struct leader *leader,
                                      const char *upstream, bool is_fence,
                                      int outcome);
void coordinator_handle_suspicions(struct leader *leader, const char *vm,
                                   const struct ck_renew_args *args);

// Removal of lost upstreams; leader_removal.c.
void coordinator_run_removal(struct leader *leader,
                             struct coordinator_database *db,
                             const struct ck_database *database);

// Failover; leader_failover.c.
void coordinator_supersede(struct leader *leader,
                           struct coordinator_database *db,
                           const struct ck_database *database,
                           const char *reason);
void coordinator_begin_revocation(struct leader *leader,
                                  struct coordinator_database *db);
void coordinator_handle_confirmations(struct leader *leader,
                                      const struct coordinator_holder *holder,
                                      uint64_t incarnation,
                                      const struct ck_revocation *items,
                                      size_t count);
void coordinator_run_failover(struct leader *leader,
                              struct coordinator_database *db,
                              const struct ck_database *database);
void coordinator_handle_promoted(struct leader *leader,
                                 const struct coordinator_probe *probe);
void coordinator_handle_promote_failed(struct leader *leader,
                                       const char *upstream, int outcome);
void coordinator_handle_new_primary(struct leader *leader,
                                    struct coordinator_database *db,
                                    const struct ck_database *database);
void coordinator_finish_command(struct leader *leader,
                                struct coordinator_database *db, int outcome,
                                const char *text);
// Choice of the next primary; leader_choice.c.
void coordinator_run_initial(struct leader *leader,
                             struct coordinator_database *db,
                             const struct ck_database *database);
void coordinator_run_collecting(struct leader *leader,
                                struct coordinator_database *db,
                                const struct ck_database *database);
void coordinator_promote(struct leader *leader,
                         struct coordinator_database *db,
                         const struct ck_database *database, int place);
// Commands of operators; leader_command.c.
void coordinator_handle_command(struct leader *leader, uint64_t token,
                                const struct ck_command_args *args);

#endif
