// Contract tests of the traffic threads' confirmations of ended terms.

#include <apr_general.h>
#include <check.h>
#include <string.h>

#include "catkingrade/entry/entry.h"
#include "catkingrade/kernel/loop.h"
#include "catkingrade/kernel/outcome.h"
#include "catkingrade/kernel/settings.h"
#include "test/suite.h"

#define SETTINGS                                                              \
    "{\"vm\": \"e1\", \"failure_domain\": \"z1\", \"roles\": [\"entry\"], "   \
    "\"traffic_threads\": 1, "                                                \
    "\"listen\": {\"rpc\": \"127.0.0.1:1\", \"http\": \"127.0.0.1:2\", "      \
    "\"postgres\": \"127.0.0.1:3\"}}"

// The first confirmation.
struct rig {
    struct loop *loop;
    char database[CK_NAME_SIZE + 1];
    uint64_t term;
};

static void
confirm(void *data, const char *database, uint64_t term)
{
    struct rig *rig = data;

    if (rig->term == 0) {
        (void)strncpy(rig->database, database, CK_NAME_SIZE);
        rig->term = term;
    }
    loop_stop(rig->loop);
}

static struct view *
make_view(const char *name, uint64_t term)
{
    struct ck_database database = {.name = (char *)(uintptr_t)name,
                                   .customer = (char *)"roster",
                                   .group = (char *)"fleet",
                                   .term = term,
                                   .primary = (char *)"",
                                   .superseding = TRUE};
    const struct ck_view_delta delta = {
        .to_revision = 5,
        .full = TRUE,
        .databases = {.databases_len = 1, .databases_val = &database}};
    struct view *empty = view_create();
    struct view *view = view_apply_delta(empty, "fleet", &delta);

    view_release(empty);
    return view;
}

// Guards against a commit at the old primary: a view from before the end of
// the term may arrive after its revocation, and lets writes of the term begin.
START_TEST(test_database_without_view_is_not_confirmed)
{
    struct buffer errors = {0};
    struct rig rig = {0};
    struct settings *settings = settings_parse("a.json", SETTINGS, &errors);

    ck_assert_msg(settings != NULL, "%.*s", (int)buffer_get_size(&errors),
                  (const char *)buffer_get_data(&errors));
    ck_assert_int_eq(apr_initialize(), APR_SUCCESS);
    rig.loop = loop_create();
    const struct entry_report_handlers handlers = {.confirm_revoked = confirm,
                                                   .data = &rig};
    struct entry *entry = entry_create(settings, rig.loop, &handlers);
    ck_assert_ptr_nonnull(entry);
    ck_assert_int_eq(entry_start(entry), OUTCOME_OK);
    struct view *view = make_view("known", 3);
    entry_post_revocation(entry, "absent", 7);
    entry_post_view(entry, view);
    loop_run(rig.loop);
    ck_assert_str_eq(rig.database, "known");
    ck_assert_uint_eq(rig.term, 3);
    entry_destroy(entry);
    view_release(view);
    loop_destroy(rig.loop);
    settings_destroy(settings);
    buffer_free(&errors);
}
END_TEST

static void
add_tests(TCase *tests)
{
    tcase_add_test(tests, test_database_without_view_is_not_confirmed);
}

TEST_MAIN("worker", add_tests)
