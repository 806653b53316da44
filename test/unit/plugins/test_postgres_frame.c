#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "catkingrade/kernel/outcome.h"
#include "catkingrade/plugins/postgres_frame.h"
#include "catkingrade/plugins/postgres_startup.h"
#include "test/suite.h"

#define LIMIT_BYTES 32

struct frame_row {
    const char *bytes;
    size_t size;
    bool startup;
    int outcome;
    size_t frame_size;
};

#define ROW(bytes, startup, outcome, frame_size)                              \
    {                                                                         \
        bytes, sizeof(bytes) - 1, startup, outcome, frame_size                \
    }

static const struct frame_row rows[] = {
    ROW("", false, OUTCOME_AGAIN, 0),
    ROW("Q\0\0\0", false, OUTCOME_AGAIN, 0),
    ROW("Q\0\0\0\3", false, OUTCOME_PROTOCOL, 0),
    ROW("Q\0\0\0\0", false, OUTCOME_PROTOCOL, 0),
    ROW("S\0\0\0\4", false, OUTCOME_OK, 5),
    ROW("S\0\0\0\4S\0\0\0\4", false, OUTCOME_OK, 5),
    ROW("Q\0\0\0\6x", false, OUTCOME_AGAIN, 0),
    ROW("Q\0\0\0\6x\0", false, OUTCOME_OK, 7),
    ROW("Q\0\0\0\41", false, OUTCOME_TOO_LARGE, 0),
    ROW("Q\377\377\377\377", false, OUTCOME_TOO_LARGE, 0),
    ROW("\0\0\0\10\4\322\26\57", true, OUTCOME_OK, 8),
    ROW("\0\0\0\10\4\322\26", true, OUTCOME_AGAIN, 0),
};

START_TEST(test_frame)
{
    const struct frame_row *row = &rows[_i];
    struct postgres_frame frame = {0};
    // On the heap, so that a read past the end is found.
    uint8_t *copy = malloc(row->size + 1);

    ck_assert_ptr_nonnull(copy);
    memcpy(copy, row->bytes, row->size);
    copy = realloc(copy, row->size == 0 ? 1 : row->size);
    ck_assert_int_eq(postgres_frame_read(copy, row->size, row->startup,
                                         LIMIT_BYTES, &frame),
                     row->outcome);
    ck_assert_uint_eq(frame.frame_size, row->frame_size);
    free(copy);
}
END_TEST

START_TEST(test_reader_fails_past_end)
{
    const uint8_t body[] = {1, 0, 2, 'a', 0, 'b'};
    struct postgres_frame frame = {.body = body, .body_size = sizeof(body)};
    struct postgres_reader reader;

    postgres_reader_init(&reader, &frame);
    ck_assert_uint_eq(postgres_reader_get_u8(&reader), 1);
    ck_assert_uint_eq(postgres_reader_get_u16(&reader), 2);
    ck_assert_str_eq(postgres_reader_get_string(&reader), "a");
    ck_assert(!postgres_reader_is_done(&reader));
    ck_assert_str_eq(postgres_reader_get_string(&reader), "");
    ck_assert(reader.failed);
    ck_assert_uint_eq(postgres_reader_get_u32(&reader), 0);
    ck_assert_ptr_null(postgres_reader_get_bytes(&reader, 1));
    ck_assert(!postgres_reader_is_done(&reader));
}
END_TEST

struct startup_row {
    const char *body;
    size_t size;
    int outcome;
    int64_t max_age_us;
    const char *settings; // NULL: none
};

#define STARTUP(body, outcome, max_age_us, settings)                          \
    {                                                                         \
        body, sizeof(body) - 1, outcome, max_age_us, settings                 \
    }

static const struct startup_row startups[] = {
    STARTUP("user\0w\0\0", OUTCOME_OK, -1, NULL),
    STARTUP("user\0w\0application_name\0psql\0client_encoding\0UTF8\0\0",
            OUTCOME_OK, -1, NULL),
    STARTUP("user\0w\0TimeZone\0Europe/Amsterdam\0\0", OUTCOME_OK, -1,
            "SET TimeZone = 'Europe/Amsterdam';"),
    STARTUP("user\0w\0options\0-c catkingrade.max_age_ms=20 -cx.y=a\\ b\0\0",
            OUTCOME_OK, 20000, "SET x.y = 'a b';"),
    STARTUP("user\0w\0options\0--datestyle=it's\0\0", OUTCOME_OK, -1,
            "SET datestyle = 'it''s';"),
    STARTUP("user\0w\0catkingrade.max_age_ms\0007\0\0", OUTCOME_OK, 7000,
            NULL),
    STARTUP("user\0w\0catkingrade.max_age_ms\0-7\0\0", OUTCOME_PROTOCOL, 0,
            NULL),
    STARTUP("user\0w\0catkingrade.other\0001\0\0", OUTCOME_PROTOCOL, 0, NULL),
    STARTUP("user\0w\0a;b\0001\0\0", OUTCOME_PROTOCOL, 0, NULL),
    STARTUP("user\0w\0options\0-x\0\0", OUTCOME_PROTOCOL, 0, NULL),
    STARTUP("user\0w\0replication\0on\0\0", OUTCOME_PROTOCOL, 0, NULL),
    STARTUP("database\0d\0\0", OUTCOME_PROTOCOL, 0, NULL),
    STARTUP("user\0w\0", OUTCOME_PROTOCOL, 0, NULL),
    STARTUP("user\0w\0\0more", OUTCOME_PROTOCOL, 0, NULL),
};

START_TEST(test_startup)
{
    const struct startup_row *row = &startups[_i];
    struct postgres_frame frame = {.body = (const uint8_t *)row->body,
                                   .body_size = row->size};
    struct postgres_reader reader;
    struct postgres_startup startup;

    postgres_reader_init(&reader, &frame);
    ck_assert_int_eq(postgres_startup_read(&reader, &startup), row->outcome);
    if (row->outcome == OUTCOME_OK) {
        ck_assert_str_eq(startup.user, "w");
        ck_assert_str_eq(startup.database, "w");
        ck_assert_int_eq(startup.max_age_us, row->max_age_us);
        ck_assert_str_eq(startup.settings == NULL ? "" : startup.settings,
                         row->settings == NULL ? "" : row->settings);
    }
    postgres_startup_free(&startup);
}
END_TEST

static void
add_tests(TCase *tests)
{
    tcase_add_loop_test(tests, test_frame, 0, sizeof(rows) / sizeof(rows[0]));
    tcase_add_test(tests, test_reader_fails_past_end);
    tcase_add_loop_test(tests, test_startup, 0,
                        sizeof(startups) / sizeof(startups[0]));
}

TEST_MAIN("postgres_frame", add_tests)
