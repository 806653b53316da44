#include <check.h>
#include <stdbool.h>
#include <string.h>

#include "catkingrade/kernel/outcome.h"
#include "catkingrade/rpc/codec.h"
#include "catkingrade/rpc/messages.h"
#include "test/suite.h"

// A ck_declared of number 7 and 9 ms, as programs wrote it that did not have
// its last member.
static const uint8_t earlier[] = {0, 0, 0, 0, 0, 0, 0, 7, 0, 0, 0, 9};

// Guards against an upgrade that cannot read what was written before it, and
// against bytes that change where the new member is not used.
START_TEST(test_earlier_encoding)
{
    struct ck_declared declared = {0};
    struct buffer bytes = {0};

    ck_assert_int_eq(codec_decode_grown((xdrproc_t)xdr_ck_declared, earlier,
                                        sizeof(earlier), &declared),
                     OUTCOME_OK);
    ck_assert_uint_eq(declared.number, 7);
    ck_assert_uint_eq(declared.idle_transaction_ms, 9);
    ck_assert(!declared.refuses_keys);
    ck_assert_int_eq(
        codec_encode_grown((xdrproc_t)xdr_ck_declared, &declared, &bytes),
        OUTCOME_OK);
    ck_assert_uint_eq(buffer_get_size(&bytes), sizeof(earlier));
    ck_assert_int_eq(memcmp(buffer_get_data(&bytes), earlier, sizeof(earlier)),
                     0);
    buffer_free(&bytes);
}
END_TEST

// Guards against a new member that gets lost, written with or without the
// means to leave it out.
START_TEST(test_grown_encoding)
{
    struct ck_declared declared = {.number = 7, .refuses_keys = TRUE};
    struct ck_declared back = {0};
    struct buffer bytes = {0};

    ck_assert_int_eq(
        codec_encode_grown((xdrproc_t)xdr_ck_declared, &declared, &bytes),
        OUTCOME_OK);
    ck_assert_int_eq(codec_decode_grown((xdrproc_t)xdr_ck_declared,
                                        buffer_get_data(&bytes),
                                        buffer_get_size(&bytes), &back),
                     OUTCOME_OK);
    ck_assert(back.refuses_keys);
    buffer_clear(&bytes);
    declared.refuses_keys = FALSE;
    ck_assert_int_eq(
        codec_encode((xdrproc_t)xdr_ck_declared, &declared, &bytes),
        OUTCOME_OK);
    ck_assert_int_eq(codec_decode_grown((xdrproc_t)xdr_ck_declared,
                                        buffer_get_data(&bytes),
                                        buffer_get_size(&bytes), &back),
                     OUTCOME_OK);
    ck_assert(!back.refuses_keys);
    buffer_free(&bytes);
}
END_TEST

// Guards against cut or longer bytes that are taken for an object.
START_TEST(test_other_sizes_are_refused)
{
    uint8_t longer[sizeof(earlier) + 5] = {0};
    struct ck_declared declared = {0};

    memcpy(longer, earlier, sizeof(earlier));
    for (size_t size = 0; size <= sizeof(longer); size++) {
        int outcome = codec_decode_grown((xdrproc_t)xdr_ck_declared, longer,
                                         size, &declared);
        bool is_whole = size == sizeof(earlier) || size == sizeof(earlier) + 4;
        ck_assert_int_eq(outcome, is_whole ? OUTCOME_OK : OUTCOME_PROTOCOL);
    }
}
END_TEST

static void
add_tests(TCase *tests)
{
    tcase_add_test(tests, test_earlier_encoding);
    tcase_add_test(tests, test_grown_encoding);
    tcase_add_test(tests, test_other_sizes_are_refused);
}

TEST_MAIN("codec", add_tests)
