#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/rand.h>
#include <stdlib.h>
#include <string.h>

#include "catkingrade/entry/scram.h"
#include "catkingrade/kernel/counters.h"
#include "catkingrade/kernel/memory.h"
#include "catkingrade/kernel/outcome.h"
#include "catkingrade/plugins/postgres_message.h"
#include "catkingrade/plugins/postgres_session.h"

// The messages of SCRAM-SHA-256 on the wire.

#define POSTGRES_AUTH_SASL          10
#define POSTGRES_AUTH_SASL_CONTINUE 11
#define POSTGRES_AUTH_SASL_FINAL    12
#define SCRAM_NONCE_BYTES           18

// Frees an exchange and what it holds of secrets; NULL is ignored.
void
postgres_scram_free(struct scram *scram)
{
    if (scram != NULL) {
        OPENSSL_cleanse(scram, sizeof(*scram));
        free(scram);
    }
}

// Begins an exchange. caller is NULL for a user that does not exist, who is
// taken through the same messages.
void
postgres_scram_begin(struct postgres_session *session,
                     const struct ck_caller *caller)
{
    struct scram *scram = xcalloc(1, sizeof(*scram));
    const struct entry *entry =
        worker_get_entry(postgres_session_get_worker(session));

    session->scram = scram;
    session->state = POSTGRES_STATE_AUTHENTICATION;
    scram->known_user =
        caller != NULL &&
        scram_verifier_parse(caller->verifier, &scram->verifier) == OUTCOME_OK;
    if (!scram->known_user) {
        scram_verifier_mock(entry_get_token_ring(entry)->keys[0].secret,
                            session->startup->user, &scram->verifier);
    }
    // A list of mechanisms, ended by an empty one.
    postgres_message_add_authentication(&session->out, POSTGRES_AUTH_SASL,
                                        SCRAM_MECHANISM "\0",
                                        sizeof(SCRAM_MECHANISM) + 1);
}

static void
postgres_scram_deny(struct postgres_session *session, int outcome)
{
    counter_add(COUNTER_SESSIONS_REFUSED, 1);
    if (outcome == OUTCOME_DENIED) {
        postgres_session_fail(session, SQLSTATE_PASSWORD_WRONG,
                              "password authentication failed");
        return;
    }
    counter_add(COUNTER_FRAMES_BAD, 1);
    postgres_session_fail(session, SQLSTATE_PROTOCOL,
                          "invalid authentication message");
}

static int
postgres_scram_handle_first(struct postgres_session *session,
                            struct postgres_reader *reader)
{
    struct scram *scram = session->scram;
    uint8_t random[SCRAM_NONCE_BYTES];
    char nonce[SCRAM_NONCE_TEXT_SIZE];
    const char *mechanism = postgres_reader_get_string(reader);
    uint32_t size = postgres_reader_get_u32(reader);
    const uint8_t *message = postgres_reader_get_bytes(reader, size);

    if (message == NULL || !postgres_reader_is_done(reader) ||
        strcmp(mechanism, SCRAM_MECHANISM) != 0 ||
        RAND_bytes(random, sizeof(random)) != 1) {
        return OUTCOME_PROTOCOL;
    }
    (void)EVP_EncodeBlock((unsigned char *)nonce, random, sizeof(random));
    int outcome =
        scram_handle_client_first(scram, (const char *)message, size, nonce);
    if (outcome == OUTCOME_OK) {
        postgres_message_add_authentication(
            &session->out, POSTGRES_AUTH_SASL_CONTINUE, scram->server_first,
            strlen(scram->server_first));
    }
    return outcome;
}

static int
postgres_scram_handle_final(struct postgres_session *session,
                            struct postgres_reader *reader)
{
    char server_final[SCRAM_MAX_MESSAGE_SIZE];
    size_t size = reader->left;
    const uint8_t *message = postgres_reader_get_bytes(reader, size);
    int outcome = scram_handle_client_final(
        session->scram, (const char *)message, size, server_final);

    if (outcome == OUTCOME_OK) {
        postgres_message_add_authentication(
            &session->out, POSTGRES_AUTH_SASL_FINAL, server_final,
            strlen(server_final));
    }
    return outcome;
}

// Handles a password message: one of the two of an exchange.
void
postgres_session_handle_password(struct postgres_session *session,
                                 const struct postgres_frame *frame)
{
    struct postgres_reader reader;
    int outcome = OUTCOME_PROTOCOL;

    postgres_reader_init(&reader, frame);
    if (frame->type != 'p' || session->scram == NULL) {
        postgres_scram_deny(session, OUTCOME_PROTOCOL);
        return;
    }
    if (session->scram->phase == SCRAM_EXPECTS_FIRST) {
        outcome = postgres_scram_handle_first(session, &reader);
        if (outcome != OUTCOME_OK) {
            postgres_scram_deny(session, outcome);
        }
        return;
    }
    if (session->scram->phase == SCRAM_EXPECTS_FINAL) {
        outcome = postgres_scram_handle_final(session, &reader);
    }
    if (outcome != OUTCOME_OK) {
        postgres_scram_deny(session, outcome);
        return;
    }
    postgres_scram_free(session->scram);
    session->scram = NULL;
    postgres_session_finish_login(session);
}
