#include <check.h>
#include <string.h>

#include "catkingrade/decide/traffic/token.h"
#include "catkingrade/kernel/memory.h"
#include "catkingrade/kernel/outcome.h"
#include "test/suite.h"

#define KEY_A                                                                 \
    "000102030405060708090a0b0c0d0e0f101112131415161718191a1b1c1d1e1f"
#define KEY_B                                                                 \
    "ff0102030405060708090a0b0c0d0e0f101112131415161718191a1b1c1d1e1F"

static const struct scheduler_floor floor_written = {7, 0x1122334455667788};

START_TEST(test_round_trip)
{
    struct token_ring ring;
    struct scheduler_floor floor;
    char text[TOKEN_TEXT_SIZE];

    ck_assert_int_eq(token_ring_parse("3 " KEY_A "\n", &ring), OUTCOME_OK);
    ck_assert_int_eq(token_encode(&ring, "roster", &floor_written, text),
                     OUTCOME_OK);
    ck_assert_int_eq(token_decode(&ring, "roster", text, &floor), OUTCOME_OK);
    ck_assert_uint_eq(floor.term, floor_written.term);
    ck_assert_uint_eq(floor.lsn, floor_written.lsn);
    ck_assert_int_eq(token_decode(&ring, "quotes", text, &floor),
                     OUTCOME_DENIED);
    token_ring_free(&ring);
}
END_TEST

// A token is rejected when any of its characters is changed or its end is cut
// off.
START_TEST(test_modified_token_is_rejected)
{
    struct token_ring ring;
    struct scheduler_floor floor;
    char text[TOKEN_TEXT_SIZE];

    ck_assert_int_eq(token_ring_parse("3 " KEY_A, &ring), OUTCOME_OK);
    ck_assert_int_eq(token_encode(&ring, "roster", &floor_written, text),
                     OUTCOME_OK);
    size_t length = strlen(text);
    for (size_t i = 0; i < length; i++) {
        char kept = text[i];
        for (const char *other = "AZaz09-_.=\n "; *other != '\0'; other++) {
            text[i] = *other;
            ck_assert(*other == kept ||
                      token_decode(&ring, "roster", text, &floor) < 0);
        }
        text[i] = kept;
    }
    for (size_t i = length; i > 0; i--) {
        text[i - 1] = '\0';
        ck_assert_int_eq(token_decode(&ring, "roster", text, &floor),
                         OUTCOME_INVALID);
    }
    token_ring_free(&ring);
}
END_TEST

START_TEST(test_key_rotation)
{
    struct token_ring old;
    struct token_ring both;
    struct token_ring new;
    struct scheduler_floor floor;
    char text[TOKEN_TEXT_SIZE];

    ck_assert_int_eq(token_ring_parse("1 " KEY_A, &old), OUTCOME_OK);
    ck_assert_int_eq(token_ring_parse("2 " KEY_B "\n1 " KEY_A "\n", &both),
                     OUTCOME_OK);
    ck_assert_int_eq(token_ring_parse("2 " KEY_B "\n", &new), OUTCOME_OK);
    (void)token_encode(&old, "roster", &floor_written, text);
    ck_assert_int_eq(token_decode(&both, "roster", text, &floor), OUTCOME_OK);
    ck_assert_int_eq(token_decode(&new, "roster", text, &floor),
                     OUTCOME_DENIED);
    (void)token_encode(&both, "roster", &floor_written, text);
    ck_assert_int_eq(token_decode(&new, "roster", text, &floor), OUTCOME_OK);
    token_ring_free(&old);
    token_ring_free(&both);
    token_ring_free(&new);
}
END_TEST

static const char *const bad_rings[] = {
    "",
    "# nothing\n",
    "1\n",
    "x " KEY_A,
    "1 " KEY_A "0",
    "1 00",
    "4294967296 " KEY_A,
    "1 " KEY_A "\n1 " KEY_B "\n",
};

START_TEST(test_malformed_ring)
{
    struct token_ring ring;

    ck_assert_int_eq(token_ring_parse(bad_rings[_i], &ring), OUTCOME_INVALID);
    ck_assert_uint_eq(ring.keys_count, 0);
}
END_TEST

static void
add_tests(TCase *tests)
{
    tcase_add_test(tests, test_round_trip);
    tcase_add_test(tests, test_modified_token_is_rejected);
    tcase_add_test(tests, test_key_rotation);
    tcase_add_loop_test(tests, test_malformed_ring, 0, ARRAY_SIZE(bad_rings));
}

TEST_MAIN("token", add_tests)
