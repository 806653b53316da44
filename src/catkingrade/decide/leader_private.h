#ifndef CATKINGRADE_DECIDE_LEADER_PRIVATE_H
#define CATKINGRADE_DECIDE_LEADER_PRIVATE_H

#include "catkingrade/decide/announce.h"
#include "catkingrade/decide/drain.h"
#include "catkingrade/decide/group_index.h"
#include "catkingrade/decide/leader.h"
#include "catkingrade/decide/suspicion.h"

#define LEADER_TICK_US    50000
#define LEADER_NOTIFY_US  50000   // between two tries to reach a holder
#define LEADER_COLLECT_US 100000  // for answers beyond those that suffice
#define LEADER_REPAIR_US  1000000 // between two tries to fence or follow
// Up to so many databases entries get a share of every upstream; beyond that,
// of those for which they report a demand.
#define LEADER_SHARED_DATABASES 64
// The same where few entries hold the connections of each database, so that
// a renewal tells of few.
#define LEADER_RELAYED_DATABASES 1024

// Kinds of names in the leader's index.
enum leader_kind {
    LEADER_HOLDER = 'H',
    LEADER_DATABASE = 'B',
    LEADER_PROPOSAL = 'P',
    LEADER_QUOTA = 'Q',
    LEADER_RELAY = 'L',
};

// A daemon that may hold a lease. It stays until the leader is deposed.
struct leader_holder {
    struct leader_holder *next;
    struct ck_daemon daemon; // a copy
    size_t number;           // of those of this leader, from 0
    int64_t granted_until_us;
    int64_t old_until_us; // of earlier incarnations
    int64_t last_seen_us;
    uint64_t known_revision;
    unsigned open_requests;
    bool proposed;     // its registration or expiry is in the log's hands
    bool notifying;    // a notification is out
    bool notify_again; // as soon as that one has ended
    bool denied;       // it does not confirm a revocation
};

// A holder whose lease has to end before the next term begins.
struct leader_wait {
    struct leader_holder *holder;
    uint64_t incarnation;
    bool confirmed;
};

// What is known of one upstream of a database, in the database's order.
struct leader_member {
    char *name;
    bool probing;
    bool answered; // since the phase began
    bool failed;   // since the phase began
    bool is_primary;
    bool is_regressed;
    unsigned failures; // since the phase began
    int64_t asked_us;
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

enum leader_phase {
    LEADER_IDLE,
    LEADER_FIRST,       // no term yet: a first primary is looked for
    LEADER_SUPERSEDING, // proposed
    LEADER_REVOKING,
    LEADER_COLLECTING,
    LEADER_PROMOTING,
    LEADER_PUBLISHING, // proposed
};

struct leader_database {
    struct leader_database *next;
    char *name;
    enum leader_phase phase;
    int64_t phase_us; // when it began
    struct suspicion suspicion;
    int64_t failover_us; // the last one; 0: none
    struct leader_member *members;
    size_t members_count;
    struct leader_wait *waits;
    size_t waits_count;
    bool is_hard; // holders are told to drop what is in flight
    int64_t hard_us;
    int64_t next_notify_us;
    bool is_planned;       // a switchover
    bool is_demoted;       // its primary says that it is a replica
    bool is_operator_word; // target may be incomplete
    bool waits_recorded;
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

enum leader_reply {
    LEADER_REPLY_NONE,
    LEADER_REPLY_ANNOUNCE,
};

// A proposal that the log has not answered.
struct leader_proposal {
    struct leader_proposal *older;
    struct leader_proposal *newer;
    uint64_t token;
    enum ck_change_kind kind;
    char *name; // VM, upstream, database or customer
    enum leader_reply reply;
    uint64_t reply_token;
};

struct leader {
    struct leader_params params;
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
    struct leader_holder *holders; // none goes before the leader is deposed
    size_t holders_count;
    struct leader_proposal *proposals; // the newest
    struct leader_database *databases;
    struct leader_quota *quotas;
    struct leader_relay *relays;
    uint64_t relays_version; // grows with each change of what entries are told
    struct announce *announce;
    struct drain *drain;
    struct leader_actions *actions; // of the present step
};

// Actions; leader_actions.c.
struct leader_action *leader_add_action(struct leader *leader,
                                        enum leader_action_kind kind);
void *leader_own(struct leader_actions *actions, void *memory);
void leader_record(struct leader *leader, const char *kind,
                   const struct ck_database *database, const char *upstream,
                   const char *format, ...)
    __attribute__((format(printf, 5, 6)));
void leader_reply_text(struct leader *leader, enum leader_action_kind kind,
                       uint64_t token, int outcome, const char *text);
void leader_wake_at(struct leader *leader, int64_t at_us);
void leader_propose(struct leader *leader, const struct ck_change *change,
                    const char *name, enum leader_reply reply,
                    uint64_t reply_token);
struct leader_proposal *leader_take_proposal(struct leader *leader,
                                             uint64_t token);
void leader_free_proposal(struct leader_proposal *proposal);

// Leases and holders; leader_lease.c.
int64_t leader_get_lease_bound_us(const struct leader *leader);
void leader_load_holders(struct leader *leader);
void leader_free_holders(struct leader *leader);
struct leader_holder *leader_find_holder(const struct leader *leader,
                                         const char *vm);
bool leader_is_live(const struct leader *leader,
                    const struct leader_holder *holder);
bool leader_is_entry(const struct leader_holder *holder);
size_t leader_count_live(const struct leader *leader);
void leader_take_renew(struct leader *leader, uint64_t token,
                       const struct ck_renew_args *args);
void leader_notify(struct leader *leader, struct leader_holder *holder);
void leader_notify_all(struct leader *leader);
void leader_take_notified(struct leader *leader, const char *vm,
                          uint64_t incarnation,
                          const struct ck_notify_result *result);
void leader_expire_holders(struct leader *leader);

// Lending of slots and connections; leader_quota.c.
void leader_fill_quotas(struct leader *leader, struct leader_holder *holder,
                        const struct ck_renew_args *args,
                        struct ck_renew_result *result);
void leader_free_quotas(struct leader *leader);
uint32_t leader_get_lendable(const struct ck_upstream *upstream);
bool leader_shares_all(const struct leader *leader);

// Entries that run the statements of others; leader_relay.c.
bool leader_holds_connections(struct leader *leader,
                              const struct ck_database *database,
                              const struct leader_holder *holder);
void leader_fill_relays(struct leader *leader,
                        const struct leader_holder *holder,
                        const struct ck_renew_args *args,
                        struct ck_renew_result *result);
void leader_free_relays(struct leader *leader);
void leader_rename_in_relays(struct leader *leader,
                             const struct leader_holder *holder);
void leader_note_lacking(struct leader *leader, const char *database,
                         const struct leader_holder *holder);
size_t leader_count_watchers(struct leader *leader,
                             const struct ck_database *database);

// Databases; leader_database.c.
struct leader_database *leader_get_database(struct leader *leader,
                                            const char *name);
struct leader_database *leader_find_database(const struct leader *leader,
                                             const char *name);
void leader_load_databases(struct leader *leader);
void leader_free_databases(struct leader *leader);
void leader_choose_again(struct leader *leader, struct leader_database *db);
void leader_set_phase(struct leader *leader, struct leader_database *db,
                      enum leader_phase phase);
bool leader_sync_members(struct leader_database *db,
                         const struct ck_database *database);
int leader_find_member(const struct ck_database *database, const char *name);
void leader_probe_member(struct leader *leader, struct leader_database *db,
                         const struct ck_database *database, size_t place);
void leader_take_probe(struct leader *leader, const struct leader_probe *probe,
                       bool answered);
void leader_run_database(struct leader *leader, struct leader_database *db);
void leader_run_repairs(struct leader *leader, struct leader_database *db,
                        const struct ck_database *database);
void leader_take_repair(struct leader *leader, const char *upstream,
                        bool is_fence, int outcome);
void leader_take_suspicions(struct leader *leader, const char *vm,
                            const struct ck_renew_args *args);

// Removal of lost upstreams; leader_removal.c.
void leader_run_removal(struct leader *leader, struct leader_database *db,
                        const struct ck_database *database);

// Failover; leader_failover.c.
void leader_supersede(struct leader *leader, struct leader_database *db,
                      const struct ck_database *database, const char *reason);
void leader_begin_revocation(struct leader *leader,
                             struct leader_database *db);
void leader_confirm(struct leader *leader, const struct leader_holder *holder,
                    uint64_t incarnation, const struct ck_revocation *items,
                    size_t count);
void leader_run_failover(struct leader *leader, struct leader_database *db,
                         const struct ck_database *database);
void leader_take_promoted(struct leader *leader,
                          const struct leader_probe *probe);
void leader_take_promote_failed(struct leader *leader, const char *upstream,
                                int outcome);
void leader_take_primary(struct leader *leader, struct leader_database *db,
                         const struct ck_database *database);
void leader_finish_command(struct leader *leader, struct leader_database *db,
                           int outcome, const char *text);
// Choice of the next primary; leader_choice.c.
void leader_run_first(struct leader *leader, struct leader_database *db,
                      const struct ck_database *database);
void leader_run_collecting(struct leader *leader, struct leader_database *db,
                           const struct ck_database *database);
void leader_promote(struct leader *leader, struct leader_database *db,
                    const struct ck_database *database, int place);
// Commands of operators; leader_command.c.
void leader_take_command(struct leader *leader, uint64_t token,
                         const struct ck_command_args *args);

#endif
