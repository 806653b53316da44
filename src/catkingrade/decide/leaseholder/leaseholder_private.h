#ifndef CATKINGRADE_DECIDE_LEASEHOLDER_PRIVATE_H
#define CATKINGRADE_DECIDE_LEASEHOLDER_PRIVATE_H

#include "catkingrade/decide/leaseholder/leaseholder.h"

// Internal state of leaseholder.c and leaseholder_reports.c.

// A suspicion reported by the entry's traffic. It is dropped if the report is
// not repeated.
struct leaseholder_suspicion {
    struct ck_suspicion suspicion;
    int64_t reported_us;
};

// What the entry demands and holds of an upstream.
struct leaseholder_upstream {
    // As the next call reports it: its demand, smoothed, and the quota in
    // force. The name is owned.
    struct ck_demand report;
    uint64_t changed_in; // sequence number of the first call with this report
    // Peaks of the demand in the present window of measurements.
    u_int peak_waiting;
    u_int peak_running;
    u_int peak_connections;
    unsigned measurements;
    bool is_listed; // in the renewal result that is being applied
};

struct leaseholder {
    struct leaseholder_params params; // strings are owned copies
    struct leaseholder_address *voters;
    uint64_t random;      // state of the random number generator
    uint64_t sequence;    // of the last renewal call
    uint64_t leader_term; // highest Raft term received
    uint64_t revision;    // of the view in force
    unsigned open_requests;
    int64_t valid_until_us; // 0: no lease
    bool is_returning;      // the lease is given back, and never held again
    bool is_returned;       // the Raft leader has answered
    // The in-flight renewal call.
    bool in_flight;
    int64_t sent_at_us;
    bool renew_again; // right after the result of the in-flight call
    bool is_hastened; // the leader asked for an early renewal
    // Target and time of the next call.
    struct leaseholder_address target;
    size_t next_voter;
    unsigned failures;  // consecutive
    unsigned redirects; // consecutive
    int64_t next_renew_us;
    int64_t wanted_at_us;   // of an earlier call that is wanted; 0: none
    int64_t last_wanted_us; // last call that was wanted
    // Contents of the next call.
    struct leaseholder_upstream *upstreams; // sorted by name
    size_t upstreams_count;
    struct ck_demand *sent_demands; // array that args refers to
    // The leader of this term has the reports up to acked_sequence; 0: the
    // next call reports everything.
    uint64_t reported_term;
    uint64_t acked_sequence;
    struct leaseholder_suspicion *suspicions;
    size_t suspicions_count;
    struct ck_suspicion *sent_suspicions; // array that args refers to
    struct ck_revocation *confirmed;
    size_t confirmed_count;
    struct ck_view_delta delta;      // of the last action APPLY_DELTA
    struct ck_quota *changed_quotas; // since the last action SET_QUOTAS
    size_t changed_quotas_count;
    bool redelivers_quotas; // the entry may not have got all of them
    struct ck_renew_args args;
};

// Reports of the entry and its quotas; see leaseholder_reports.c.
void leaseholder_add_suspicion(struct leaseholder *holder, int64_t now_us,
                               const struct ck_suspicion *suspicion);
void leaseholder_set_demand(struct leaseholder *holder,
                            const struct ck_demand *demand);
bool leaseholder_add_confirmed(struct leaseholder *holder,
                               const struct ck_revocation *revocation);
bool leaseholder_is_confirmed(const struct leaseholder *holder,
                              const struct ck_revocation *revocation);
void leaseholder_drop_superseded(struct leaseholder *holder,
                                 const struct ck_view_delta *delta);
void leaseholder_set_quotas(struct leaseholder *holder,
                            const struct ck_renew_result *result,
                            bool is_complete);
void leaseholder_list_all_quotas(struct leaseholder *holder);
void leaseholder_report_all(struct leaseholder *holder);
void leaseholder_acknowledge_reports(struct leaseholder *holder,
                                     uint64_t leader_term);
void leaseholder_reset_quotas(struct leaseholder *holder, bool keeps_changes);
void leaseholder_fill_args(struct leaseholder *holder, int64_t now_us);
void leaseholder_free_reports(struct leaseholder *holder);

#endif
