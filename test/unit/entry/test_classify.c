#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "catkingrade/entry/classify.h"
#include "catkingrade/kernel/counters.h"
#include "catkingrade/kernel/memory.h"
#include "test/suite.h"

struct kind_row {
    const char *text;
    enum classify_kind kind;
};

static const struct kind_row kind_rows[] = {
    {"SELECT 1", CLASSIFY_READ},
    {"select * from roster where id = $1", CLASSIFY_READ},
    {"SELECT count(*), max(at) FROM roster WHERE at > now()", CLASSIFY_READ},
    {"SELECT pg_catalog.lower(name) FROM walkers", CLASSIFY_READ},
    {"SELECT current_timestamp, clock_timestamp()", CLASSIFY_READ},
    {"VALUES (1), (2)", CLASSIFY_READ},
    {"WITH w AS (SELECT 1) SELECT * FROM w", CLASSIFY_READ},
    {"SELECT 1 UNION SELECT 2", CLASSIFY_READ},
    {"SELECT 'InsertStmt lockingClause'", CLASSIFY_READ},
    {"EXPLAIN DELETE FROM roster", CLASSIFY_READ},
    {"EXPLAIN ANALYZE SELECT 1", CLASSIFY_READ},
    {"SELECT 1; SELECT 2;", CLASSIFY_READ},
    {"INSERT INTO roster VALUES (1)", CLASSIFY_WRITE},
    {"UPDATE roster SET a = 1", CLASSIFY_WRITE},
    {"DELETE FROM roster", CLASSIFY_WRITE},
    {"MERGE INTO a USING b ON a.i = b.i WHEN MATCHED THEN DELETE",
     CLASSIFY_WRITE},
    {"SELECT * FROM roster FOR UPDATE", CLASSIFY_WRITE},
    {"SELECT * FROM roster FOR KEY SHARE", CLASSIFY_WRITE},
    {"SELECT * FROM (SELECT * FROM roster FOR SHARE) s", CLASSIFY_WRITE},
    {"SELECT * INTO copy FROM roster", CLASSIFY_WRITE},
    {"CREATE TABLE copy AS SELECT 1", CLASSIFY_WRITE},
    {"WITH w AS (DELETE FROM roster RETURNING 1) SELECT * FROM w",
     CLASSIFY_WRITE},
    {"SELECT nextval('s')", CLASSIFY_WRITE},
    {"SELECT random()", CLASSIFY_WRITE},
    {"SELECT set_config('a.b', 'c', false)", CLASSIFY_WRITE},
    {"SELECT pg_advisory_lock(1)", CLASSIFY_WRITE},
    {"SELECT book(1)", CLASSIFY_WRITE},
    {"SELECT public.lower('a')", CLASSIFY_WRITE},
    {"SELECT * FROM book(1)", CLASSIFY_WRITE},
    {"SELECT 1 WHERE (SELECT book(1)) = 2", CLASSIFY_WRITE},
    {"EXPLAIN ANALYZE DELETE FROM roster", CLASSIFY_WRITE},
    {"EXPLAIN (ANALYZE true) SELECT book(1)", CLASSIFY_WRITE},
    {"EXECUTE plan", CLASSIFY_WRITE},
    {"CALL book(1)", CLASSIFY_WRITE},
    {"DO 'begin end'", CLASSIFY_WRITE},
    {"NOTIFY walkers", CLASSIFY_WRITE},
    {"LOCK TABLE roster", CLASSIFY_WRITE},
    {"SHOW server_version", CLASSIFY_WRITE},
    {"SELECT 1; DELETE FROM roster", CLASSIFY_WRITE},
    {"BEGIN; SELECT 1; COMMIT", CLASSIFY_WRITE},
    {"PREPARE TRANSACTION 'x'", CLASSIFY_WRITE},
    {"BEGIN", CLASSIFY_BEGIN},
    {"START TRANSACTION ISOLATION LEVEL SERIALIZABLE", CLASSIFY_BEGIN},
    {"BEGIN READ WRITE", CLASSIFY_BEGIN},
    {"BEGIN READ ONLY", CLASSIFY_BEGIN_READ_ONLY},
    {"START TRANSACTION READ ONLY, DEFERRABLE", CLASSIFY_BEGIN_READ_ONLY},
    {"COMMIT", CLASSIFY_COMMIT},
    {"END", CLASSIFY_COMMIT},
    {"ROLLBACK", CLASSIFY_ROLLBACK},
    {"ABORT", CLASSIFY_ROLLBACK},
    {"SAVEPOINT s", CLASSIFY_SAVEPOINT},
    {"RELEASE s", CLASSIFY_SAVEPOINT},
    {"ROLLBACK TO s", CLASSIFY_SAVEPOINT},
    {"SET search_path = a", CLASSIFY_SET},
    {"RESET ALL", CLASSIFY_SET},
    {"DISCARD ALL", CLASSIFY_SET},
    {"LISTEN walkers", CLASSIFY_SET},
    {"PREPARE plan AS SELECT 1", CLASSIFY_SET},
    {"SET catkingrade.token = 'x'", CLASSIFY_SET_CATKINGRADE},
    {"SHOW catkingrade.last_route", CLASSIFY_SHOW_CATKINGRADE},
    {"COPY roster FROM STDIN", CLASSIFY_COPY},
    {"", CLASSIFY_EMPTY},
    {" ; -- nothing", CLASSIFY_EMPTY},
    {"SELEC 1", CLASSIFY_INVALID},
    {"SELECT 'open", CLASSIFY_INVALID},
};

START_TEST(test_kind)
{
    struct classification result;

    classify_text(kind_rows[_i].text, strlen(kind_rows[_i].text), &result);
    ck_assert_msg(result.kind == kind_rows[_i].kind, "%s: %d and not %d",
                  kind_rows[_i].text, result.kind, kind_rows[_i].kind);
}
END_TEST

START_TEST(test_several_statements)
{
    static const char several[] = "SELECT 1; SELECT 2; DELETE FROM a";
    struct classification result;

    classify_text(several, strlen(several), &result);
    ck_assert_uint_eq(result.statements, 3);
    ck_assert(!result.only_reads);
    classify_text("SELECT 1; SELECT 2", 18, &result);
    ck_assert_uint_eq(result.statements, 2);
    ck_assert(result.only_reads);
    classify_text("SELECT 1\0; DELETE FROM a", 24, &result);
    ck_assert_int_eq(result.kind, CLASSIFY_INVALID);
}
END_TEST

struct value_row {
    const char *text;
    const char *name;
    const char *value;
};

static const struct value_row value_rows[] = {
    {"SET catkingrade.token = 'a b'", "token", "a b"},
    {"SET catkingrade.max_age_ms TO 2000", "max_age_ms", "2000"},
    {"SET catkingrade.max_age_ms TO -1", "max_age_ms", "-1"},
    {"SET catkingrade.max_age_ms = 0", "max_age_ms", "0"},
    {"SET SESSION catkingrade.new_session = on", "new_session", "on"},
    {"SET catkingrade.ratio = 0.5", "ratio", "0.5"},
    {"RESET catkingrade.token", "token", ""},
    {"SHOW catkingrade.outcome", "outcome", ""},
};

START_TEST(test_setting_name_and_value)
{
    const struct value_row *row = &value_rows[_i];
    struct classification result;

    classify_text(row->text, strlen(row->text), &result);
    ck_assert_str_eq(result.name, row->name);
    ck_assert_str_eq(result.value, row->value);
}
END_TEST

START_TEST(test_hint)
{
    static const char text[] =
        " /* catkingrade: type=booking key=abc-1 max_age_ms=2000\n"
        "    deadline_ms=500 repeatable=0 other=1 */ SELECT 1";
    struct classifier *classifier = classifier_create(4);
    const struct classification *result =
        classifier_get(classifier, text, strlen(text));

    ck_assert_int_eq(result->kind, CLASSIFY_READ);
    ck_assert_str_eq(result->hint_type, "booking");
    ck_assert_str_eq(result->hint_key, "abc-1");
    ck_assert_int_eq(result->hint_max_age_ms, 2000);
    ck_assert_int_eq(result->hint_deadline_ms, 500);
    ck_assert_int_eq(result->hint_repeatable, 0);

    // The cached classification must not contain the hint's options.
    result = classifier_get(classifier, " SELECT 1", 9);
    ck_assert_str_eq(result->hint_type, "");
    ck_assert_int_eq(result->hint_max_age_ms, -1);
    ck_assert_int_eq(result->hint_repeatable, -1);
    result = classifier_get(classifier,
                            "/* catkingrade: max_age_ms=-5 repeatable=2 "
                            "deadline_ms=x */ SELECT 1",
                            68);
    ck_assert_int_eq(result->hint_max_age_ms, -1);
    ck_assert_int_eq(result->hint_deadline_ms, -1);
    ck_assert_int_eq(result->hint_repeatable, -1);
    result =
        classifier_get(classifier, "SELECT 1 /* catkingrade: type=a */", 34);
    ck_assert_str_eq(result->hint_type, "");
    result = classifier_get(classifier, "/* catkingrade: type=a ", 23);
    ck_assert_int_eq(result->kind, CLASSIFY_INVALID);
    classifier_destroy(classifier);
}
END_TEST

// Guards against a collision of idempotency keys: keys that are too long to
// store and differ only in their last byte must remain different.
START_TEST(test_long_keys_remain_different)
{
    struct classification results[2];
    char key[300];

    memset(key, 'k', sizeof(key));
    key[sizeof(key) - 1] = '\0';
    for (int i = 0; i < 2; i++) {
        key[sizeof(key) - 2] = (char)('a' + i);
        char *text = xasprintf("/* catkingrade: key=%s */ SELECT 1", key);
        classify_text(text, strlen(text), &results[i]);
        free(text);
    }
    ck_assert_str_ne(results[0].hint_key, results[1].hint_key);
    ck_assert_int_eq(strncmp(results[0].hint_key, "sha256:", 7), 0);
}
END_TEST

// With more texts than cache entries, classifications must stay correct and a
// frequently used text must be served from the cache.
START_TEST(test_cache_eviction)
{
    struct classifier *classifier = classifier_create(8);
    char text[64];

    for (int i = 0; i < 2000; i++) {
        int number = i % 37;
        const char *format =
            number % 2 == 0 ? "SELECT %d" : "DELETE FROM t WHERE i = %d";
        (void)snprintf(text, sizeof(text), format, number);
        const struct classification *result =
            classifier_get(classifier, text, strlen(text));
        ck_assert_int_eq(result->kind,
                         number % 2 == 0 ? CLASSIFY_READ : CLASSIFY_WRITE);
        result = classifier_get(classifier, "BEGIN", 5);
        ck_assert_int_eq(result->kind, CLASSIFY_BEGIN);
    }
    ck_assert_uint_ge(counter_get(COUNTER_CLASSIFY_HITS), 1900);
    ck_assert_uint_ge(counter_get(COUNTER_CLASSIFY_MISSES), 1900);
    classifier_destroy(classifier);
}
END_TEST

// Guards against a write being classified as a read when the text is nested
// too deeply or too long to be parsed.
START_TEST(test_depth_and_size_limits)
{
    struct classification result;
    char text[8192];
    size_t offset = 0;

    offset += (size_t)snprintf(text, sizeof(text), "SELECT ");
    for (int i = 0; i < 900; i++) {
        offset +=
            (size_t)snprintf(text + offset, sizeof(text) - offset, "abs(");
    }
    offset +=
        (size_t)snprintf(text + offset, sizeof(text) - offset, "book(1)");
    for (int i = 0; i < 900; i++) {
        offset += (size_t)snprintf(text + offset, sizeof(text) - offset, ")");
    }
    classify_text(text, offset, &result);
    ck_assert_int_ne(result.kind, CLASSIFY_READ);
    char *large = xmalloc(300000);
    memset(large, ' ', 300000);
    memcpy(large, "SELECT 1", 8);
    classify_text(large, 300000, &result);
    ck_assert_int_eq(result.kind, CLASSIFY_WRITE);
    ck_assert_uint_gt(result.statements, 1);
    free(large);
}
END_TEST

static void
add_tests(TCase *tests)
{
    tcase_add_loop_test(tests, test_kind, 0, ARRAY_SIZE(kind_rows));
    tcase_add_loop_test(tests, test_setting_name_and_value, 0,
                        ARRAY_SIZE(value_rows));
    tcase_add_test(tests, test_several_statements);
    tcase_add_test(tests, test_hint);
    tcase_add_test(tests, test_long_keys_remain_different);
    tcase_add_test(tests, test_cache_eviction);
    tcase_add_test(tests, test_depth_and_size_limits);
}

TEST_MAIN("classify", add_tests)
