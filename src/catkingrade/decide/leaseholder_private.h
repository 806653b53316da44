#ifndef CATKINGRADE_DECIDE_LEASEHOLDER_PRIVATE_H
#define CATKINGRADE_DECIDE_LEASEHOLDER_PRIVATE_H

#include "catkingrade/decide/leaseholder.h"

// A suspicion that the entry's traffic reported, until it gets old.
struct leaseholder_suspicion {
    struct ck_suspicion suspicion;
    int64_t reported_us;
};

struct leaseholder {
    struct leaseholder_params params; // texts are copies
    struct leaseholder_address *voters;
    uint64_t random;
    uint64_t sequence;
    uint64_t leader_term;
    uint64_t revision;
    unsigned open_requests;
    int64_t valid_until_us; // 0: no lease
    // The call that is out.
    bool in_flight;
    int64_t sent_at_us;
    bool renew_again; // as soon as the answer is here
    // Where the next call goes, and when.
    struct leaseholder_address target;
    size_t next_voter;
    unsigned failures;
    unsigned redirects;
    int64_t next_renew_us;
    // What the next call says.
    struct ck_demand *demands;
    size_t demands_count;
    struct leaseholder_suspicion *suspicions;
    size_t suspicions_count;
    struct ck_suspicion *sent_suspicions;
    struct ck_revocation *confirmed;
    size_t confirmed_count;
    struct ck_quota *quotas;
    size_t quotas_count;
    struct ck_renew_args args;
};

// What the entry has to say; leaseholder_reports.c.
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
                            const struct ck_renew_result *result);
void leaseholder_reset_quotas(struct leaseholder *holder);
void leaseholder_fill_args(struct leaseholder *holder, int64_t now_us);
void leaseholder_free_reports(struct leaseholder *holder);

#endif
