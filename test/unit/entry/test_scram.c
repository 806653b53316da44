#include <check.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/sha.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "catkingrade/entry/scram.h"
#include "catkingrade/kernel/memory.h"
#include "catkingrade/kernel/outcome.h"
#include "test/suite.h"

// Example of RFC 7677, section 3: user "user", password "pencil".
#define RFC_SALT         "W22ZaJ0SNY7soEsUEjb6gQ=="
#define RFC_CLIENT_FIRST "n,,n=user,r=rOprNGfwEbeRWgbNEkqO"
#define RFC_SERVER_NONCE "%hvYDpWUa2RaTCAfuxFIlj)hNlF$k0"
#define RFC_NONCE        "rOprNGfwEbeRWgbNEkqO" RFC_SERVER_NONCE
#define RFC_SERVER_FIRST "r=" RFC_NONCE ",s=" RFC_SALT ",i=4096"
#define RFC_PROOF        "dHzbZapWIk4jUhN+Ute9ytag9zjfMHgsqmmiz7AndVQ="
#define RFC_CLIENT_FINAL "c=biws,r=" RFC_NONCE ",p=" RFC_PROOF
#define RFC_SERVER_FINAL "v=6rriTRBi23WpRR/wtup+mMhUZUn/dB5nLTJRsjl95G4="

static void
hmac(const uint8_t *key, const char *text, uint8_t *digest)
{
    unsigned size = SCRAM_KEY_BYTES;

    HMAC(EVP_sha256(), key, SCRAM_KEY_BYTES, (const unsigned char *)text,
         strlen(text), digest, &size);
}

// Builds the text of a verifier from a password, as PostgreSQL does.
static char *
build_verifier(const char *password)
{
    uint8_t salt[64];
    uint8_t salted[SCRAM_KEY_BYTES];
    uint8_t client_key[SCRAM_KEY_BYTES];
    uint8_t stored_key[SCRAM_KEY_BYTES];
    uint8_t server_key[SCRAM_KEY_BYTES];
    unsigned char stored[64];
    unsigned char server[64];

    EVP_DecodeBlock(salt, (const unsigned char *)RFC_SALT,
                    (int)strlen(RFC_SALT));
    PKCS5_PBKDF2_HMAC(password, (int)strlen(password), salt, 16, 4096,
                      EVP_sha256(), SCRAM_KEY_BYTES, salted);
    hmac(salted, "Client Key", client_key);
    hmac(salted, "Server Key", server_key);
    SHA256(client_key, SCRAM_KEY_BYTES, stored_key);
    EVP_EncodeBlock(stored, stored_key, SCRAM_KEY_BYTES);
    EVP_EncodeBlock(server, server_key, SCRAM_KEY_BYTES);
    return xasprintf("SCRAM-SHA-256$4096:%s$%s:%s", RFC_SALT, stored, server);
}

static void
exchange_init(struct scram *scram, const char *password)
{
    char *text = build_verifier(password);

    memset(scram, 0, sizeof(*scram));
    ck_assert_int_eq(scram_verifier_parse(text, &scram->verifier), OUTCOME_OK);
    scram->known_user = true;
    free(text);
}

static int
handle_client_first(struct scram *scram, const char *message)
{
    return scram_handle_client_first(scram, message, strlen(message),
                                     RFC_SERVER_NONCE);
}

static int
handle_client_final(struct scram *scram, const char *message, char *answer)
{
    return scram_handle_client_final(scram, message, strlen(message), answer);
}

START_TEST(test_rfc_7677)
{
    struct scram scram;
    char answer[SCRAM_MAX_MESSAGE_SIZE];

    exchange_init(&scram, "pencil");
    ck_assert_int_eq(handle_client_first(&scram, RFC_CLIENT_FIRST),
                     OUTCOME_OK);
    ck_assert_str_eq(scram.server_first, RFC_SERVER_FIRST);
    ck_assert_int_eq(handle_client_final(&scram, RFC_CLIENT_FINAL, answer),
                     OUTCOME_OK);
    ck_assert_str_eq(answer, RFC_SERVER_FINAL);
}
END_TEST

START_TEST(test_wrong_password)
{
    struct scram scram;
    char answer[SCRAM_MAX_MESSAGE_SIZE];

    exchange_init(&scram, "pencils");
    ck_assert_int_eq(handle_client_first(&scram, RFC_CLIENT_FIRST),
                     OUTCOME_OK);
    ck_assert_int_eq(handle_client_final(&scram, RFC_CLIENT_FINAL, answer),
                     OUTCOME_DENIED);
    ck_assert_str_eq(answer, "");
}
END_TEST

// Guards against replay: a recorded client-final message must be denied for
// another server nonce, and an exchange accepts only one client-final message.
START_TEST(test_replay)
{
    struct scram scram;
    char answer[SCRAM_MAX_MESSAGE_SIZE];

    exchange_init(&scram, "pencil");
    ck_assert_int_eq(scram_handle_client_first(&scram, RFC_CLIENT_FIRST,
                                               strlen(RFC_CLIENT_FIRST),
                                               "other"),
                     OUTCOME_OK);
    ck_assert_int_eq(handle_client_final(&scram, RFC_CLIENT_FINAL, answer),
                     OUTCOME_DENIED);
    ck_assert_int_eq(handle_client_final(&scram, RFC_CLIENT_FINAL, answer),
                     OUTCOME_PROTOCOL);
    exchange_init(&scram, "pencil");
    ck_assert_int_eq(handle_client_final(&scram, RFC_CLIENT_FINAL, answer),
                     OUTCOME_PROTOCOL);
}
END_TEST

// Guards against accepting an incomplete message: both client messages are
// truncated at each offset. A client-first message without a nonce and a
// client-final message without the full proof must be refused.
START_TEST(test_truncated)
{
    struct scram scram;
    char answer[SCRAM_MAX_MESSAGE_SIZE];

    for (size_t size = 0; size < strlen("n,,n=user,r=") + 1; size++) {
        exchange_init(&scram, "pencil");
        int outcome = scram_handle_client_first(&scram, RFC_CLIENT_FIRST, size,
                                                RFC_SERVER_NONCE);
        ck_assert_int_eq(outcome == OUTCOME_OK,
                         size == strlen("n,,n=user,r=") + 1);
    }
    for (size_t size = 0; size < strlen(RFC_CLIENT_FINAL); size++) {
        exchange_init(&scram, "pencil");
        ck_assert_int_eq(handle_client_first(&scram, RFC_CLIENT_FIRST),
                         OUTCOME_OK);
        ck_assert_int_ne(
            scram_handle_client_final(&scram, RFC_CLIENT_FINAL, size, answer),
            OUTCOME_OK);
    }
}
END_TEST

struct client_first_row {
    const char *message;
    int outcome;
};

static const struct client_first_row client_first_rows[] = {
    {"n,,n=,r=abc", OUTCOME_OK},
    {"y,,n=,r=abc", OUTCOME_OK},
    {"n,,n=,r=abc,x=ext", OUTCOME_OK},
    {"p=tls-server-end-point,,n=,r=abc", OUTCOME_NOT_SUPPORTED},
    {"n,a=admin,n=,r=abc", OUTCOME_NOT_SUPPORTED},
    {"n,,r=abc", OUTCOME_PROTOCOL},
    {"n,,m=x,n=,r=abc", OUTCOME_PROTOCOL},
    {"n,,n=,r=", OUTCOME_PROTOCOL},
    {"n,,n=,r=a\tc", OUTCOME_PROTOCOL},
    {"x,,n=,r=abc", OUTCOME_PROTOCOL},
};

START_TEST(test_client_first)
{
    struct scram scram;

    exchange_init(&scram, "pencil");
    ck_assert_int_eq(
        handle_client_first(&scram, client_first_rows[_i].message),
        client_first_rows[_i].outcome);
}
END_TEST

// Guards against tampering with the channel binding flag: the flag "y" of the
// client-first message must be repeated in the client-final message.
START_TEST(test_channel_binding_flag)
{
    struct scram scram;
    char answer[SCRAM_MAX_MESSAGE_SIZE];

    exchange_init(&scram, "pencil");
    ck_assert_int_eq(
        handle_client_first(&scram, "y,,n=user,r=rOprNGfwEbeRWgbNEkqO"),
        OUTCOME_OK);
    ck_assert_int_eq(handle_client_final(&scram, RFC_CLIENT_FINAL, answer),
                     OUTCOME_DENIED);
}
END_TEST

static const char *const bad_verifiers[] = {
    "",
    "md5aabbcc",
    "SCRAM-SHA-256$",
    "SCRAM-SHA-256$0:" RFC_SALT "$" RFC_PROOF ":" RFC_PROOF,
    "SCRAM-SHA-256$4096:$" RFC_PROOF ":" RFC_PROOF,
    "SCRAM-SHA-256$4096:" RFC_SALT "$" RFC_PROOF,
    "SCRAM-SHA-256$4096:" RFC_SALT "$AAAA:" RFC_PROOF,
    "SCRAM-SHA-256$4096:" RFC_SALT "$" RFC_PROOF ":" RFC_PROOF "x",
    "SCRAM-SHA-256$4096:" RFC_SALT "$" RFC_PROOF ":!!!!",
};

START_TEST(test_bad_verifier)
{
    struct scram_verifier verifier;

    ck_assert_int_eq(scram_verifier_parse(bad_verifiers[_i], &verifier),
                     OUTCOME_INVALID);
}
END_TEST

// Guards against user enumeration: the salt of an unknown user is stable and
// differs between users, and authentication always fails for an unknown user.
START_TEST(test_mock_verifier)
{
    static const uint8_t secret[SCRAM_KEY_BYTES] = {1, 2, 3};
    struct scram_verifier one;
    struct scram_verifier again;
    struct scram_verifier other;
    struct scram scram;
    char answer[SCRAM_MAX_MESSAGE_SIZE];

    scram_verifier_mock(secret, "walker", &one);
    scram_verifier_mock(secret, "walker", &again);
    scram_verifier_mock(secret, "trainer", &other);
    ck_assert_mem_eq(&one, &again, sizeof(one));
    ck_assert_mem_ne(one.salt, other.salt, one.salt_size_bytes);
    ck_assert_uint_eq(one.iterations, 4096);

    exchange_init(&scram, "pencil");
    scram.known_user = false;
    ck_assert_int_eq(handle_client_first(&scram, RFC_CLIENT_FIRST),
                     OUTCOME_OK);
    ck_assert_int_eq(handle_client_final(&scram, RFC_CLIENT_FINAL, answer),
                     OUTCOME_DENIED);
}
END_TEST

static void
add_tests(TCase *tests)
{
    tcase_add_test(tests, test_rfc_7677);
    tcase_add_test(tests, test_wrong_password);
    tcase_add_test(tests, test_replay);
    tcase_add_test(tests, test_truncated);
    tcase_add_loop_test(tests, test_client_first, 0,
                        ARRAY_SIZE(client_first_rows));
    tcase_add_test(tests, test_channel_binding_flag);
    tcase_add_loop_test(tests, test_bad_verifier, 0,
                        ARRAY_SIZE(bad_verifiers));
    tcase_add_test(tests, test_mock_verifier);
}

TEST_MAIN("scram", add_tests)
