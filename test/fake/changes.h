#ifndef TEST_FAKE_CHANGES_H
#define TEST_FAKE_CHANGES_H

#include "catkingrade/decide/group/group.h"
#include "catkingrade/rpc/messages.h"

// Builds changes for a control group's replicated state from string constants
// and applies them to a struct group_state directly, without Raft. The
// functions that apply a change return its outcome (enum outcome); OUTCOME_OK
// is success.

// Template "roster": a customer document with the parameters max_age_ms,
// databases and promotion.
#define CHANGES_TEMPLATE_ROSTER                                               \
    "{\"template\": \"roster\",\n"                                            \
    " \"parameters\": {\n"                                                    \
    "  \"max_age_ms\": {\"type\": \"duration_ms\", \"min\": 0,\n"             \
    "                 \"max\": 60000, \"default\": 2000},\n"                  \
    "  \"databases\": {\"type\": \"list\"},\n"                                \
    "  \"promotion\": {\"type\": \"choice\",\n"                               \
    "                \"choices\": [\"wait\", \"operator\"],\n"                \
    "                \"default\": \"wait\"}},\n"                              \
    " \"customer\": {\"max_age_ms\": \"${max_age_ms}\",\n"                    \
    "  \"databases\": \"${databases}\",\n"                                    \
    "  \"promotion\": \"${promotion}\", \"confirm\": 1,\n"                    \
    "  \"request_types\": [{\"name\": \"booking\", \"weight\": 3}]}}"

int changes_apply(struct group_state *group, uint64_t index,
                  const struct ck_change *change, const char *change_id,
                  int64_t expected_revision, struct group_result *result);
int changes_apply_document(struct group_state *group, ck_change_kind kind,
                           const char *name, const char *document,
                           const char *change_id, int64_t expected_revision,
                           struct group_result *result);
struct ck_upstream changes_make_upstream(const char *name,
                                         const char *database,
                                         const char *failure_domain,
                                         const char *host);
// Packs a delta as a publication does. The caller frees the data with free.
void changes_pack_delta(const struct ck_view_delta *delta,
                        struct ck_packed_delta *packed);
struct ck_daemon changes_make_daemon(const char *vm, const char *host,
                                     uint64_t incarnation);
int changes_apply_upstream(struct group_state *group,
                           const struct ck_upstream *upstream);
// databases is a JSON list, such as [{"name": "roster1"}].
void changes_set_customer(struct group_state *group, const char *databases,
                          const char *promotion);

#endif
