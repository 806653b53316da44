#include <check.h>
#include <stdbool.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "catkingrade/kernel/memory.h"
#include "catkingrade/kernel/outcome.h"
#include "catkingrade/rpc/fragment.h"
#include "test/suite.h"

#define MESSAGE_BYTES 150000
#define MAX_FRAGMENTS 8
#define MAX_AGE_US    1000
#define MAX_BYTES     400000

// A sent message: its datagrams as received.
struct sent {
    struct {
        uint8_t data[DATAGRAM_MAX_SIZE_BYTES];
        size_t size_bytes;
    } datagrams[MAX_FRAGMENTS];
    size_t count;
};

static const struct datagram_key key = {"0123456789abcdef", 16};
static const struct datagram_key other_key = {"fedcba9876543210", 16};
static const struct settings_address peer = {"10.0.0.1", 9};
static const struct settings_address other_peer = {"10.0.0.2", 9};

static void
fill(struct buffer *message, size_t size_bytes)
{
    for (size_t i = 0; i < size_bytes; i++) {
        buffer_append_u8(message, (uint8_t)(i * 7 + i / 255));
    }
}

static struct sent *
send_message(uint64_t number, size_t size_bytes)
{
    struct sent *sent = xcalloc(1, sizeof(*sent));
    struct buffer message = {0};
    int fds[2];
    int size = 1024 * 1024;

    ck_assert_int_eq(socketpair(AF_UNIX, SOCK_DGRAM | SOCK_NONBLOCK, 0, fds),
                     0);
    (void)setsockopt(fds[0], SOL_SOCKET, SO_SNDBUF, &size, sizeof(size));
    fill(&message, size_bytes);
    ck_assert_int_eq(fragment_send(fds[0], NULL, 0, &key, number, &message),
                     OUTCOME_OK);
    for (;;) {
        ck_assert_uint_lt(sent->count, MAX_FRAGMENTS);
        ssize_t got = recv(fds[1], sent->datagrams[sent->count].data,
                           DATAGRAM_MAX_SIZE_BYTES, 0);
        if (got < 0) {
            break;
        }
        sent->datagrams[sent->count++].size_bytes = (size_t)got;
    }
    close(fds[0]);
    close(fds[1]);
    buffer_free(&message);
    return sent;
}

// Adds a datagram of a sent message to a set, as of the given time and peer.
static int
add(struct fragment_set *set, const struct sent *sent, size_t index,
    int64_t now_us, const struct settings_address *from,
    struct buffer *message)
{
    uint8_t copy[DATAGRAM_MAX_SIZE_BYTES];
    size_t size = sent->datagrams[index].size_bytes;

    memcpy(copy, sent->datagrams[index].data, size);
    ck_assert(fragment_is_one(copy, size));
    return fragment_set_add(set, now_us, from, &key, copy, size, message);
}

static void
assert_message(struct buffer *message)
{
    struct buffer expected = {0};

    fill(&expected, MESSAGE_BYTES);
    ck_assert_uint_eq(buffer_get_size(message), MESSAGE_BYTES);
    ck_assert_int_eq(memcmp(buffer_get_data(message),
                            buffer_get_data(&expected), MESSAGE_BYTES),
                     0);
    buffer_free(&expected);
    buffer_free(message);
}

START_TEST(test_small_message_is_sent_whole)
{
    struct sent *sent = send_message(1, DATAGRAM_MAX_SIZE_BYTES);

    ck_assert_uint_eq(sent->count, 1);
    ck_assert_uint_eq(sent->datagrams[0].size_bytes, DATAGRAM_MAX_SIZE_BYTES);
    free(sent);
}
END_TEST

// Fragments in any order, some of them twice and mixed with those of another
// peer and another message, make up the message.
START_TEST(test_fragments_in_any_order)
{
    struct fragment_set *set = fragment_set_create(MAX_AGE_US, MAX_BYTES * 2);
    struct sent *sent = send_message(1, MESSAGE_BYTES);
    struct sent *other = send_message(2, MESSAGE_BYTES);
    struct buffer message = {0};
    struct buffer none = {0};

    ck_assert_uint_gt(sent->count, 2);
    for (size_t i = sent->count; i > 1; i--) {
        ck_assert_int_eq(add(set, sent, i - 1, 0, &peer, &none),
                         OUTCOME_AGAIN);
        ck_assert_int_eq(add(set, sent, i - 1, 0, &peer, &none),
                         OUTCOME_AGAIN);
        ck_assert_int_eq(add(set, sent, i - 2, 0, &other_peer, &none),
                         OUTCOME_AGAIN);
        ck_assert_int_eq(add(set, other, i - 2, 0, &peer, &none),
                         OUTCOME_AGAIN);
    }
    ck_assert_uint_eq(buffer_get_size(&none), 0);
    ck_assert_int_eq(add(set, sent, 0, 0, &peer, &message), OUTCOME_OK);
    assert_message(&message);
    fragment_set_destroy(set);
    free(other);
    free(sent);
}
END_TEST

// A modified fragment, or one under another key, is refused and does not
// reach the message.
START_TEST(test_forged_fragment_is_denied)
{
    struct fragment_set *set = fragment_set_create(MAX_AGE_US, MAX_BYTES);
    struct sent *sent = send_message(1, MESSAGE_BYTES);
    uint8_t copy[DATAGRAM_MAX_SIZE_BYTES];
    struct buffer message = {0};
    size_t size = sent->datagrams[0].size_bytes;

    memcpy(copy, sent->datagrams[0].data, size);
    copy[size - 1] ^= 1;
    ck_assert_int_eq(
        fragment_set_add(set, 0, &peer, &key, copy, size, &message),
        OUTCOME_DENIED);
    memcpy(copy, sent->datagrams[0].data, size);
    ck_assert_int_eq(
        fragment_set_add(set, 0, &peer, &other_key, copy, size, &message),
        OUTCOME_DENIED);
    for (size_t i = 0; i < sent->count; i++) {
        ck_assert_int_eq(add(set, sent, i, 0, &peer, &message),
                         i + 1 < sent->count ? OUTCOME_AGAIN : OUTCOME_OK);
    }
    assert_message(&message);
    fragment_set_destroy(set);
    free(sent);
}
END_TEST

// A fragment that is cut short, or whose header names an impossible size or
// index, is refused.
START_TEST(test_malformed_fragment_is_refused)
{
    static const struct {
        size_t offset;
        uint8_t value;
    } rows[] = {{16, 0xff}, {17, 0x00}, {20, 0x01}, {23, 0x77}};
    struct fragment_set *set = fragment_set_create(MAX_AGE_US, MAX_BYTES);
    struct sent *sent = send_message(1, MESSAGE_BYTES);
    uint8_t copy[DATAGRAM_MAX_SIZE_BYTES];
    struct buffer message = {0};
    size_t size = sent->datagrams[0].size_bytes;

    for (size_t i = 0; i < sizeof(rows) / sizeof(rows[0]); i++) {
        memcpy(copy, sent->datagrams[0].data, size);
        copy[rows[i].offset] = rows[i].value;
        ck_assert_int_eq(
            fragment_set_add(set, 0, &peer, &key, copy, size, &message),
            OUTCOME_PROTOCOL);
    }
    for (size_t cut = 0; cut < size; cut += 1 + cut / 8) {
        memcpy(copy, sent->datagrams[0].data, size);
        if (fragment_is_one(copy, cut)) {
            ck_assert_int_eq(
                fragment_set_add(set, 0, &peer, &key, copy, cut, &message),
                OUTCOME_PROTOCOL);
        }
    }
    ck_assert_uint_eq(buffer_get_size(&message), 0);
    fragment_set_destroy(set);
    free(sent);
}
END_TEST

// Messages whose other fragments never arrive must not occupy memory for ever:
// they are dropped with time and when others need the space.
START_TEST(test_incomplete_messages_are_dropped)
{
    struct fragment_set *set = fragment_set_create(MAX_AGE_US, MAX_BYTES);
    struct sent *sent = send_message(1, MESSAGE_BYTES);
    struct sent *second = send_message(2, MESSAGE_BYTES);
    struct sent *third = send_message(3, MESSAGE_BYTES);
    struct buffer message = {0};

    ck_assert_int_eq(add(set, sent, 0, 0, &peer, &message), OUTCOME_AGAIN);
    for (size_t i = 1; i < sent->count; i++) {
        ck_assert_int_eq(add(set, sent, i, MAX_AGE_US + 1, &peer, &message),
                         OUTCOME_AGAIN);
    }
    ck_assert_int_eq(add(set, second, 0, MAX_AGE_US + 1, &peer, &message),
                     OUTCOME_AGAIN);
    ck_assert_int_eq(add(set, third, 0, MAX_AGE_US + 1, &peer, &message),
                     OUTCOME_AGAIN);
    ck_assert_int_eq(add(set, sent, 0, MAX_AGE_US + 1, &peer, &message),
                     OUTCOME_AGAIN);
    for (size_t i = 1; i < third->count; i++) {
        ck_assert_int_eq(add(set, third, i, MAX_AGE_US + 1, &peer, &message),
                         i + 1 < third->count ? OUTCOME_AGAIN : OUTCOME_OK);
    }
    assert_message(&message);
    fragment_set_destroy(set);
    free(third);
    free(second);
    free(sent);
}
END_TEST

static void
add_tests(TCase *tests)
{
    tcase_add_test(tests, test_small_message_is_sent_whole);
    tcase_add_test(tests, test_fragments_in_any_order);
    tcase_add_test(tests, test_forged_fragment_is_denied);
    tcase_add_test(tests, test_malformed_fragment_is_refused);
    tcase_add_test(tests, test_incomplete_messages_are_dropped);
}

TEST_MAIN("fragment", add_tests)
