#include <arpa/inet.h>
#include <check.h>
#include <errno.h>
#include <netinet/in.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "catkingrade/kernel/buffer.h"
#include "catkingrade/kernel/memory.h"
#include "test/fake/process.h"
#include "test/suite.h"

// Fuzzes the PostgreSQL protocol of an entry process with mutated frames.
// Guards against crashes and hanging sessions on malformed input: every
// session must end within FRAMES_TIMEOUT_S seconds, and the entry must answer
// a query afterwards.

#define FRAMES_SOURCE_ADDRESSES 97
#define FRAMES_SEED             UINT64_C(0x5eed0f0ca71)
#define FRAMES_SESSIONS         10000
#define FRAMES_PER_SESSION      10
#define FRAMES_BATCH            50
#define FRAMES_TIMEOUT_S        60

struct frame {
    char type; // 0: startup
    const char *body;
    size_t size;
};

#define FRAME(type, body)                                                     \
    {                                                                         \
        type, body, sizeof(body) - 1                                          \
    }

static const struct frame startup_frame =
    FRAME(0, "\0\3\0\0user\0walker\0database\0roster\0options\0"
             "-c catkingrade.max_age_ms=1000\0\0");

static const struct frame frames[] = {
    FRAME('Q', "SELECT 1\0"),
    FRAME('Q', "SET catkingrade.key = 'a'\0"),
    FRAME('Q', "SELECT 1; SELECT 2\0"),
    FRAME('P', "s\0SELECT $1\0\0\1\0\0\0\27"),
    FRAME('P', "\0SHOW catkingrade.token\0\0\0"),
    FRAME('B', "\0s\0\0\1\0\0\0\1\0\0\0\0017\0\1\0\0"),
    FRAME('B', "p\0\0\0\0\0\0\0\0"),
    FRAME('D', "Ss\0"),
    FRAME('D', "P\0"),
    FRAME('E', "\0\0\0\0\0"),
    FRAME('E', "p\0\0\0\0\1"),
    FRAME('C', "Ss\0"),
    FRAME('H', ""),
    FRAME('S', ""),
    FRAME('F', "\0\0\0\1"),
    FRAME('d', "rows"),
    FRAME('p', "SCRAM-SHA-256\0\0\0\0\1n"),
};

static uint64_t random_state = FRAMES_SEED;

static uint64_t
get_random(uint64_t limit)
{
    random_state ^= random_state << 13;
    random_state ^= random_state >> 7;
    random_state ^= random_state << 17;
    return random_state % limit;
}

// Appends an unchanged frame.
static void
append_frame(struct buffer *out, const struct frame *frame)
{
    if (frame->type != 0) {
        buffer_append_u8(out, (uint8_t)frame->type);
    }
    buffer_append_be32(out, (uint32_t)frame->size + 4);
    buffer_append(out, frame->body, frame->size);
}

// Appends a frame with up to two changed bytes, which may also be truncated or
// followed by a repeated part. The header is rarely changed, because the
// entry cannot parse any frame after a wrong length.
static void
append_mutated(struct buffer *out, const struct frame *frame)
{
    struct buffer copy = {0};
    size_t header_size = frame->type == 0 ? 4 : 5;

    append_frame(&copy, frame);
    size_t size = buffer_get_size(&copy);
    size_t first = get_random(10) == 0 ? 0 : header_size;
    for (uint64_t i = get_random(3); i > 0 && size > first; i--) {
        copy.data[first + get_random(size - first)] = (uint8_t)get_random(256);
    }
    if (get_random(8) == 0) {
        size = get_random(size + 1);
    }
    buffer_append(out, copy.data, size);
    if (get_random(16) == 0) {
        buffer_append(out, copy.data, get_random(size + 1));
    }
    buffer_free(&copy);
}

// Opens a session, sends mutated frames and shuts down the sending side.
// Returns the socket and adds the mutated frames to *frames_count.
static int
send_mutated_session(int port, size_t *frames_count)
{
    struct sockaddr_in address = {.sin_family = AF_INET};
    struct sockaddr_in source = {.sin_family = AF_INET};
    int on = 1;
    struct timeval timeout = {.tv_sec = FRAMES_TIMEOUT_S};
    struct buffer out = {0};
    int fd = socket(AF_INET, SOCK_STREAM, 0);

    source.sin_addr.s_addr =
        htonl(INADDR_LOOPBACK + 1 +
              (uint32_t)(*frames_count % FRAMES_SOURCE_ADDRESSES));
    address.sin_port = htons((uint16_t)port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    ck_assert_int_ge(fd, 0);
    setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof(timeout));
    // The test uses thousands of local ports. They are spread over other
    // loopback addresses, so that they do not collide with the free ports that
    // parallel tests have selected, and so that a second run is not short of
    // ports.
    setsockopt(fd, IPPROTO_IP, IP_BIND_ADDRESS_NO_PORT, &on, sizeof(on));
    ck_assert_int_eq(bind(fd, (struct sockaddr *)&source, sizeof(source)), 0);
    ck_assert_int_eq(connect(fd, (struct sockaddr *)&address, sizeof(address)),
                     0);
    if (get_random(10) == 0) {
        append_mutated(&out, &startup_frame);
        (*frames_count)++;
    }
    else {
        append_frame(&out, &startup_frame);
    }
    for (int i = 0; i < FRAMES_PER_SESSION; i++) {
        append_mutated(&out, &frames[get_random(ARRAY_SIZE(frames))]);
        (*frames_count)++;
    }
    // The entry may close the connection before it has read all frames.
    (void)!send(fd, buffer_get_data(&out), buffer_get_size(&out),
                MSG_NOSIGNAL);
    shutdown(fd, SHUT_WR);
    buffer_free(&out);
    return fd;
}

// Reads until the entry closes the connection, which must happen within the
// receive timeout.
static void
wait_for_close(int fd)
{
    char bytes[4096];
    ssize_t size = 0;

    do {
        size = recv(fd, bytes, sizeof(bytes), 0);
    } while (size > 0);
    ck_assert_msg(size == 0 || errno == ECONNRESET, "a session hangs");
    close(fd);
}

static char *
write_settings(const char *folder, int entry_port, int upstream_port)
{
    char *view_path = xasprintf("%s/view.json", folder);
    char *path = xasprintf("%s/entry.json", folder);
    char *view = xasprintf(
        "{\"customers\": [{\"name\": \"pootafdruk\", \"confirm\": 0,\n"
        " \"types\": [{\"name\": \"default\", \"deadline_ms\": 30000}]}],\n"
        " \"databases\": [{\"name\": \"roster\", \"primary\": \"n1\",\n"
        " \"customer\": \"pootafdruk\", \"upstreams\": [{\"name\": \"n1\",\n"
        " \"host\": \"127.0.0.1\", \"port\": %d}]}]}",
        upstream_port);
    char *text = xasprintf("{\"vm\": \"e\", \"failure_domain\": \"noord\",\n"
                           " \"roles\": [\"entry\"], \"view_file\": \"%s\",\n"
                           " \"listen\": {\"postgres\": \"127.0.0.1:%d\"}}",
                           view_path, entry_port);

    process_write_file(view_path, view);
    process_write_file(path, text);
    free(view);
    free(text);
    free(view_path);
    return path;
}

START_TEST(test_mutated_frames)
{
    char *folder = process_make_folder("entry_frames");
    char *log_path = xasprintf("%s/entry.log", folder);
    int upstream_port = process_get_free_port();
    int port = process_get_free_port();
    const char *extra[] = {"--database", "roster", NULL};
    size_t frames_count = 0;
    int fds[FRAMES_BATCH];

    struct process *upstream =
        process_start_upstream(folder, "n1", upstream_port, extra);
    char *path = write_settings(folder, port, upstream_port);
    const char *args[] = {"--settings", path, NULL};
    struct process *entry = process_start(log_path, "catkingraded", args);
    ck_assert(process_wait_port(port));
    for (int i = 0; i < FRAMES_SESSIONS; i += FRAMES_BATCH) {
        for (int j = 0; j < FRAMES_BATCH; j++) {
            fds[j] = send_mutated_session(port, &frames_count);
        }
        for (int j = 0; j < FRAMES_BATCH; j++) {
            wait_for_close(fds[j]);
        }
    }
    ck_assert_uint_ge(frames_count, 100000);
    PGconn *conn = process_connect(port, NULL);
    char *text = process_query(conn, "SELECT 42");
    ck_assert_str_eq(text, "42");
    free(text);
    PQfinish(conn);
    // The entry ends by the signal of the test, thus it has not crashed.
    ck_assert_int_eq(process_stop(entry, SIGKILL), -SIGKILL);
    (void)process_stop(upstream, SIGKILL);
    free(path);
    free(log_path);
    free(folder);
}
END_TEST

static void
add_tests(TCase *tests)
{
    tcase_add_test(tests, test_mutated_frames);
}

TEST_MAIN("entry_frames", add_tests)
