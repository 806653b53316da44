#ifndef TEST_RIG_HISTORY_PRIVATE_H
#define TEST_RIG_HISTORY_PRIVATE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "catkingrade/decide/coordinator/coordinator.h"
#include "catkingrade/decide/group/group.h"
#include "catkingrade/decide/leaseholder/leaseholder.h"
#include "catkingrade/decide/random.h"
#include "catkingrade/kernel/buffer.h"
#include "test/rig/history_rig.h"

#define HISTORY_DATABASE      "roster1"
#define HISTORY_VOTERS        3
#define HISTORY_MAX_ENTRIES   3
#define HISTORY_MAX_UPSTREAMS 4
#define HISTORY_MAX_TERMS     256
#define HISTORY_NONE          (-1)
#define HISTORY_NEVER_US      INT64_MAX

#define HISTORY_MS           INT64_C(1000)
#define HISTORY_S            INT64_C(1000000)
#define HISTORY_STEP_US      (10 * HISTORY_MS)
#define HISTORY_START_US     (10 * HISTORY_S)
#define HISTORY_DISTURBED_US (30 * HISTORY_S) // no new disturbance after it

// Settings of the VMs, as a deployment of the platform has them.
#define HISTORY_LEASE_US           (3000 * HISTORY_MS)
#define HISTORY_RENEW_US           (500 * HISTORY_MS)
#define HISTORY_CALL_US            (400 * HISTORY_MS)
#define HISTORY_RETRY_US           (50 * HISTORY_MS)
#define HISTORY_ELECTION_US        (300 * HISTORY_MS)
#define HISTORY_SUSPECT_US         (600 * HISTORY_MS)
#define HISTORY_ANNOUNCE_EXPIRY_US (4500 * HISTORY_MS)
#define HISTORY_SWITCHOVER_US      (7000 * HISTORY_MS)
#define HISTORY_NOTIFY_US          (300 * HISTORY_MS)
#define HISTORY_CONNECT_US         (1000 * HISTORY_MS)
#define HISTORY_DRIFT_PPM          10000

// The platform: a promotion takes effect at most this time after the call, a
// driver waits this long for it, and a superseded primary serves at most this
// long once it can reach its successor.
#define HISTORY_CALL_LATENCY_US 300000
#define HISTORY_EFFECT_MIN_US   200000
#define HISTORY_EFFECT_MAX_US   900000
#define HISTORY_LATE_EFFECT_US  1500000
#define HISTORY_PROMOTE_US      (8 * HISTORY_S)
#define HISTORY_POLL_US         (50 * HISTORY_MS)
#define HISTORY_FOLLOW_US       1000000
#define HISTORY_HEARTBEAT_US    1200000
// A leaving upstream ends this time, at most, after its last promised moment.
#define HISTORY_LEAVE_EXTRA_US 2000000

enum history_message_kind {
    HISTORY_MESSAGE_PROPOSAL, // is committed
    HISTORY_MESSAGE_PROBE,    // reaches the upstream
    HISTORY_MESSAGE_PROBE_ANSWER,
    HISTORY_MESSAGE_PROBE_FAILURE,
    HISTORY_MESSAGE_FENCE, // reaches the upstream
    HISTORY_MESSAGE_FENCE_ANSWER,
    HISTORY_MESSAGE_FENCE_FAILURE,
    HISTORY_MESSAGE_FOLLOW_ANSWER,
    HISTORY_MESSAGE_ORDER,        // a call to promote reaches the platform
    HISTORY_MESSAGE_EFFECT,       // a promotion takes effect
    HISTORY_MESSAGE_POLL,         // the caller asks the upstream for its role
    HISTORY_MESSAGE_ORDER_FAILED, // the caller is told
    HISTORY_MESSAGE_RENEW,        // reaches a voter
    HISTORY_MESSAGE_RENEW_ANSWER,
    HISTORY_MESSAGE_RENEW_FAILURE,
    HISTORY_MESSAGE_NOTIFY, // reaches an entry
    HISTORY_MESSAGE_NOTIFY_ANSWER,
    HISTORY_MESSAGE_NOTIFY_FAILURE,
    HISTORY_MESSAGE_ANNOUNCE, // reaches a voter
};

// What becomes of the next call to promote.
enum history_order_fate {
    HISTORY_ORDER_NORMAL,
    HISTORY_ORDER_REFUSED,     // and the caller is told so
    HISTORY_ORDER_LATE,        // takes effect late
    HISTORY_ORDER_LOST,        // never arrives; the caller is told nothing
    HISTORY_ORDER_ANSWER_LOST, // takes effect; the caller is told nothing
    HISTORY_ORDER_FATES_COUNT,
};

struct history_message {
    struct history_message *next;
    int64_t due_us;
    enum history_message_kind kind;
    int voter;
    unsigned process; // of the voter, when the message was sent
    int entry;
    uint64_t incarnation; // of the entry
    uint64_t sequence;    // of a renewal
    int upstream;
    uint64_t token;
    int64_t deadline_us;
    int outcome;
    bool is_primary;
    bool is_refused;
    struct ck_position position;
    ck_upstream_state state;
    enum history_order_fate fate;
    struct buffer bytes;
};

struct history_voter {
    struct coordinator *coordinator;
    unsigned process; // increases with each restart
    bool has_quorum;
};

struct history_entry {
    char vm[HISTORY_NAME_SIZE];
    struct leaseholder *leaseholder;
    uint64_t incarnation;
    // View and lease.
    uint64_t term;
    int primary;
    bool is_superseded;
    uint64_t served_term; // in which it acknowledged last
    int64_t served_us;    // last time before it knew of the term's end
    uint64_t min_term;
    int64_t lease_until_us;
    int64_t drained_us;   // end of its open transactions in a superseded term
    int64_t cut_until_us; // from the control VMs
    int64_t suspect_since_us;
    int64_t next_suspect_us;
    int64_t next_demand_us;
};

struct history_upstream {
    char name[HISTORY_NAME_SIZE];
    char host[16];
    bool is_primary; // as it sees itself
    bool is_leaving;
    uint64_t incarnation;
    uint64_t term;
    uint64_t number; // of the last commit in its log
    int64_t down_until_us;
    int64_t control_cut_until_us;
    int64_t peers_cut_until_us;
    int64_t entry_cut_until_us[HISTORY_MAX_ENTRIES];
    int64_t lag_until_us; // receives nothing until then
    int64_t follows_us;   // when it becomes a replica; 0: not known
    int64_t leaves_us;    // end of its process
    int64_t next_announce_us;
};

// What the platform has carried out.
struct history_platform {
    int primary; // promoted last
    int64_t promoted_us;
    uint64_t term;
    uint64_t fence; // highest one seen
    // Where the log of each term branches off from another one, and the
    // highest number in it that was acknowledged.
    uint64_t parents[HISTORY_MAX_TERMS];
    uint64_t bases[HISTORY_MAX_TERMS];
    uint64_t acknowledged[HISTORY_MAX_TERMS];
    bool is_fencing;
    int64_t down_until_us;
    enum history_order_fate next_fate;
};

enum history_trigger {
    HISTORY_TRIGGER_TIME,
    HISTORY_TRIGGER_ELECTED,
    HISTORY_TRIGGER_SUPERSEDED,
    HISTORY_TRIGGER_ORDERED,
    HISTORY_TRIGGER_EFFECT,
    HISTORY_TRIGGERS_COUNT,
};

enum history_event_kind {
    HISTORY_EVENT_SILENCE,
    HISTORY_EVENT_CRASH,
    HISTORY_EVENT_ENTRY_CUT,
    HISTORY_EVENT_ENTRY_PRIMARY_CUT,
    HISTORY_EVENT_ENTRY_RESTART,
    HISTORY_EVENT_LEADER_KILL,
    HISTORY_EVENT_LEADER_CUT,
    HISTORY_EVENT_LEADER_RESIGN,
    HISTORY_EVENT_ORDER,
    HISTORY_EVENT_LEAVE,
    HISTORY_EVENT_LAG,
    HISTORY_EVENT_NOTIFY_LOSS,
    HISTORY_EVENT_SLOW_CALLS,
    HISTORY_EVENT_PLATFORM_DOWN,
    HISTORY_EVENT_KINDS_COUNT,
};

enum history_target {
    HISTORY_TARGET_PUBLISHED,
    HISTORY_TARGET_PROMOTED, // by the platform
    HISTORY_TARGET_ANY,
    HISTORY_TARGETS_COUNT,
};

// A disturbance. With a trigger it happens some time after the trigger has
// happened as often as nth says.
struct history_event {
    enum history_event_kind kind;
    enum history_trigger trigger;
    unsigned nth;
    int64_t at_us; // HISTORY_NEVER_US until its trigger has happened
    int64_t delay_us;
    int64_t duration_us;
    enum history_target target;
    unsigned any;     // index of an upstream or an entry
    unsigned entries; // bits: that are affected
    enum history_order_fate fate;
    bool is_done;
};

struct history_rig {
    struct history_day *day;
    uint64_t random;
    int64_t now_us;
    bool is_over;
    struct group_state *group;
    struct coordinator_params params;
    struct history_voter voters[HISTORY_VOTERS];
    int leader; // HISTORY_NONE between two
    bool is_log_cut;
    uint64_t leader_term;
    int64_t election_us; // of the next leader; HISTORY_NEVER_US: none
    int64_t quorum_until_us;
    int64_t committed_us;             // due time of the newest proposal
    struct history_message *messages; // by due time
    struct history_message *stranded; // proposals of the leader that is lost
    struct history_entry entries[HISTORY_MAX_ENTRIES];
    int entries_count;
    struct history_upstream upstreams[HISTORY_MAX_UPSTREAMS];
    int upstreams_count;
    struct history_platform platform;
    unsigned confirm;
    struct history_event events[HISTORY_MAX_EVENTS];
    unsigned triggers[HISTORY_TRIGGERS_COUNT]; // times that each has happened
    unsigned silent_at_end; // upstreams that stay silent, one bit each
    int64_t notify_loss_until_us;
    int64_t slow_until_us;
    int primaries[HISTORY_MAX_TERMS]; // that acknowledged, plus one
    int64_t acknowledged_us;          // last acknowledgement
};

// history_rig.c
void history_trace(struct history_rig *rig, const char *format, ...)
    __attribute__((format(printf, 2, 3)));
void history_fail(struct history_rig *rig, enum history_fault fault,
                  const char *format, ...)
    __attribute__((format(printf, 3, 4)));
int64_t history_draw_us(struct history_rig *rig, int64_t least_us,
                        int64_t most_us);
bool history_draw(struct history_rig *rig, unsigned percent);
int64_t history_draw_latency_us(struct history_rig *rig);
struct history_message *history_send(struct history_rig *rig,
                                     enum history_message_kind kind,
                                     int64_t after_us);
// Sends a copy of a message, without its bytes, as another kind.
struct history_message *history_send_on(struct history_rig *rig,
                                        const struct history_message *message,
                                        enum history_message_kind kind,
                                        int64_t due_us);
void history_trigger(struct history_rig *rig, enum history_trigger trigger);

// Control VMs; history_voter.c.
void history_voters_start(struct history_rig *rig);
void history_voters_stop(struct history_rig *rig);
void history_voters_run(struct history_rig *rig);
void history_voter_step(struct history_rig *rig, int voter,
                        struct coordinator_event *event);
void history_voter_answer(struct history_rig *rig,
                          const struct history_message *message,
                          struct coordinator_event *event);
void history_voter_receive(struct history_rig *rig,
                           const struct history_message *message);
void history_leader_lose(struct history_rig *rig,
                         enum history_event_kind kind);
const struct ck_database *history_get_database(const struct history_rig *rig);
int history_get_published(const struct history_rig *rig);

// Upstreams and the platform; history_upstream.c.
void history_upstreams_start(struct history_rig *rig);
void history_upstreams_run(struct history_rig *rig);
bool history_upstream_is_up(const struct history_rig *rig, int upstream);
bool history_upstream_hears_control(const struct history_rig *rig,
                                    int upstream);
void history_upstream_receive(struct history_rig *rig,
                              const struct history_message *message);
// Commits one write of an entry; returns an outcome.
int history_upstream_commit(struct history_rig *rig, int upstream, int entry);
void history_note_acknowledged(struct history_rig *rig, int upstream);
void history_upstream_crash(struct history_rig *rig, int upstream,
                            int64_t until_us);

// Entries; history_entry.c.
void history_entries_start(struct history_rig *rig);
void history_entries_stop(struct history_rig *rig);
void history_entries_run(struct history_rig *rig);
void history_entry_restart(struct history_rig *rig, int entry);
void history_entry_receive(struct history_rig *rig,
                           const struct history_message *message);

// Disturbances; history_plan.c.
void history_plan_draw(struct history_rig *rig);
void history_plan_run(struct history_rig *rig);
void history_plan_end(struct history_rig *rig);

#endif
