// Contract tests of the texts that an upstream receives from an entry process.
// A recorder in place of the upstream reads the PostgreSQL protocol itself, so
// that it shares no reader with the entry, and compares bytes.

#include <apr_general.h>
#include <arpa/inet.h>
#include <check.h>
#include <ctype.h>
#include <netinet/in.h>
#include <poll.h>
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>
#include <xxhash.h>

#include "catkingrade/control/upstream_admin.h"
#include "catkingrade/kernel/buffer.h"
#include "catkingrade/kernel/loop.h"
#include "catkingrade/kernel/memory.h"
#include "catkingrade/kernel/outcome.h"
#include "catkingrade/kernel/settings.h"
#include "test/fake/process.h"
#include "test/suite.h"

#define RECORDER_CONNECTIONS 16
#define RECORDER_POLL_MS     20
#define ANSWER_WAIT_MS       20000
#define REFUSED_SETTING      "unknown.setting"
#define STATEMENT_SIZE       128

// One connection of the entry.
struct connection {
    int fd;
    bool started;
    struct buffer in;
};

// Records each Query, Parse and Bind message as a line: the type byte, a
// space, and the body with a dot for each zero byte.
static struct {
    pthread_t thread;
    pthread_mutex_t mutex;
    struct buffer lines;
    struct connection connections[RECORDER_CONNECTIONS];
    int listener;
    bool stopping;
} recorder = {.mutex = PTHREAD_MUTEX_INITIALIZER};

struct rig {
    char *folder;
    struct process *entry;
    int port;
};

static void
recorder_send(int fd, const struct buffer *out)
{
    (void)!send(fd, buffer_get_data(out), buffer_get_size(out), MSG_NOSIGNAL);
}

static void
recorder_add_message(struct buffer *out, char type, const char *body,
                     size_t size)
{
    buffer_append_u8(out, (uint8_t)type);
    buffer_append_be32(out, (uint32_t)size + 4);
    buffer_append(out, body, size);
}

// Appends one row of the role, timeline and log position of a primary, or
// nothing for any other statement.
static void
recorder_add_sample(struct buffer *out, const char *text)
{
    static const char columns[] = "\0\3"
                                  "a\0\0\0\0\0\0\0\0\0\0\31\377\377\377\377"
                                  "\377\377\0\0"
                                  "b\0\0\0\0\0\0\0\0\0\0\31\377\377\377\377"
                                  "\377\377\0\0"
                                  "c\0\0\0\0\0\0\0\0\0\0\31\377\377\377\377"
                                  "\377\377\0";
    static const char row[] = "\0\3\0\0\0\1f\0\0\0\0011\0\0\0\0030/1";

    if (strstr(text, "pg_is_in_recovery") != NULL) {
        recorder_add_message(out, 'T', columns, sizeof(columns));
        recorder_add_message(out, 'D', row, sizeof(row) - 1);
    }
}

static void
recorder_record(char type, const char *body, size_t size)
{
    pthread_mutex_lock(&recorder.mutex);
    buffer_append_u8(&recorder.lines, (uint8_t)type);
    buffer_append_u8(&recorder.lines, ' ');
    for (size_t i = 0; i < size; i++) {
        buffer_append_u8(&recorder.lines,
                         body[i] == '\0' ? '.' : (uint8_t)body[i]);
    }
    buffer_append_u8(&recorder.lines, '\n');
    pthread_mutex_unlock(&recorder.mutex);
}

static void
recorder_answer(int fd, char type, const char *body, size_t size)
{
    static const char refusal[] = "SERROR\0C42704\0Munknown setting\0";
    struct buffer out = {0};

    if (type == 'Q' || type == 'P' || type == 'B') {
        recorder_record(type, body, size);
    }
    switch (type) {
    case 'Q':
        recorder_add_sample(&out, body);
        if (strstr(body, REFUSED_SETTING) != NULL) {
            recorder_add_message(&out, 'E', refusal, sizeof(refusal));
        }
        else {
            recorder_add_message(&out, 'C', "SET", 4);
        }
        recorder_add_message(&out, 'Z', "I", 1);
        break;
    case 'P':
        recorder_add_message(&out, '1', "", 0);
        break;
    case 'B':
        recorder_add_message(&out, '2', "", 0);
        break;
    case 'D':
        recorder_add_message(&out, 'n', "", 0);
        break;
    case 'E':
        recorder_add_message(&out, 'C', "SET", 4);
        break;
    case 'S':
        recorder_add_message(&out, 'Z', "I", 1);
        break;
    default:
        break;
    }
    recorder_send(fd, &out);
    buffer_free(&out);
}

static uint32_t
recorder_get_length(const uint8_t *bytes)
{
    return (uint32_t)bytes[0] << 24 | (uint32_t)bytes[1] << 16 |
           (uint32_t)bytes[2] << 8 | bytes[3];
}

static void
recorder_accept_startup(struct connection *connection)
{
    struct buffer out = {0};

    connection->started = true;
    recorder_add_message(&out, 'R', "\0\0\0\0", 4);
    recorder_add_message(&out, 'Z', "I", 1);
    recorder_send(connection->fd, &out);
    buffer_free(&out);
}

static void
recorder_take_messages(struct connection *connection)
{
    for (;;) {
        const uint8_t *data = buffer_get_data(&connection->in);
        size_t head = connection->started ? 1 : 0;
        size_t size = buffer_get_size(&connection->in);
        if (size < head + 4 ||
            size < head + recorder_get_length(data + head)) {
            return;
        }
        size_t length = recorder_get_length(data + head);
        if (!connection->started && length == 8) {
            (void)!send(connection->fd, "N", 1, MSG_NOSIGNAL);
        }
        else if (!connection->started) {
            recorder_accept_startup(connection);
        }
        else {
            recorder_answer(connection->fd, (char)data[0],
                            (const char *)data + 5, length - 4);
        }
        buffer_consume(&connection->in, head + length);
    }
}

static void
recorder_read(struct connection *connection)
{
    uint8_t *space = buffer_reserve(&connection->in, 4096);
    ssize_t size = recv(connection->fd, space, 4096, 0);

    if (size <= 0) {
        close(connection->fd);
        buffer_free(&connection->in);
        memset(connection, 0, sizeof(*connection));
        connection->fd = -1;
        return;
    }
    connection->in.end += (size_t)size;
    recorder_take_messages(connection);
}

static void
recorder_accept(void)
{
    int fd = accept(recorder.listener, NULL, NULL);

    for (int i = 0; i < RECORDER_CONNECTIONS; i++) {
        if (recorder.connections[i].fd < 0) {
            recorder.connections[i].fd = fd;
            return;
        }
    }
    close(fd);
}

static void *
recorder_run(void *data)
{
    (void)data;
    while (!__atomic_load_n(&recorder.stopping, __ATOMIC_RELAXED)) {
        struct pollfd fds[RECORDER_CONNECTIONS + 1];
        fds[0] = (struct pollfd){recorder.listener, POLLIN, 0};
        for (int i = 0; i < RECORDER_CONNECTIONS; i++) {
            fds[i + 1] =
                (struct pollfd){recorder.connections[i].fd, POLLIN, 0};
        }
        (void)poll(fds, RECORDER_CONNECTIONS + 1, RECORDER_POLL_MS);
        for (int i = 0; i < RECORDER_CONNECTIONS; i++) {
            if (fds[i + 1].revents != 0) {
                recorder_read(&recorder.connections[i]);
            }
        }
        if (fds[0].revents != 0) {
            recorder_accept();
        }
    }
    return NULL;
}

static int
recorder_start(void)
{
    struct sockaddr_in address = {.sin_family = AF_INET};
    int port = process_get_free_port();

    for (int i = 0; i < RECORDER_CONNECTIONS; i++) {
        recorder.connections[i].fd = -1;
    }
    address.sin_port = htons((uint16_t)port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    recorder.listener = socket(AF_INET, SOCK_STREAM, 0);
    ck_assert_int_eq(
        bind(recorder.listener, (struct sockaddr *)&address, sizeof(address)),
        0);
    ck_assert_int_eq(listen(recorder.listener, RECORDER_CONNECTIONS), 0);
    ck_assert_int_eq(
        pthread_create(&recorder.thread, NULL, recorder_run, NULL), 0);
    return port;
}

static void
recorder_stop(void)
{
    __atomic_store_n(&recorder.stopping, true, __ATOMIC_RELAXED);
    (void)pthread_join(recorder.thread, NULL);
    for (int i = 0; i < RECORDER_CONNECTIONS; i++) {
        buffer_free(&recorder.connections[i].in);
    }
    buffer_free(&recorder.lines);
}

// Returns the lines recorded so far, which the caller frees.
static char *
recorder_get_lines(void)
{
    pthread_mutex_lock(&recorder.mutex);
    char *lines = xmemdupz((const char *)buffer_get_data(&recorder.lines),
                           buffer_get_size(&recorder.lines));
    pthread_mutex_unlock(&recorder.mutex);
    return lines;
}

static void
recorder_clear(void)
{
    pthread_mutex_lock(&recorder.mutex);
    buffer_clear(&recorder.lines);
    pthread_mutex_unlock(&recorder.mutex);
}

static bool
recorder_has(const char *part)
{
    char *lines = recorder_get_lines();
    bool found = strstr(lines, part) != NULL;

    free(lines);
    return found;
}

#define assert_received(part)                                                 \
    do {                                                                      \
        char *lines = recorder_get_lines();                                   \
        ck_assert_msg(strstr(lines, (part)) != NULL,                          \
                      "not received: %s\nreceived:\n%s", (part), lines);      \
        free(lines);                                                          \
    } while (0)

static void
start_rig(struct rig *rig, const char *name)
{
    rig->folder = process_make_folder(name);
    rig->port = process_get_free_port();
    int upstream_port = recorder_start();
    char *log_path = xasprintf("%s/entry.log", rig->folder);
    char *view_path = xasprintf("%s/view.json", rig->folder);
    char *path = xasprintf("%s/entry.json", rig->folder);
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
                           view_path, rig->port);

    process_write_file(view_path, view);
    process_write_file(path, text);
    const char *args[] = {"--settings", path, NULL};
    rig->entry = process_start(log_path, "catkingraded", args);
    ck_assert(process_wait_port(rig->port));
    free(text);
    free(view);
    free(path);
    free(view_path);
    free(log_path);
}

static void
stop_rig(struct rig *rig)
{
    (void)process_stop(rig->entry, SIGKILL);
    recorder_stop();
    free(rig->folder);
}

static void
run(PGconn *conn, const char *sql)
{
    char *text = process_query(conn, sql);

    ck_assert_msg(text[0] == '\0', "%s: %s", sql, text);
    free(text);
}

// Runs a statement of another session, whose settings differ, and then one of
// the session, so that the entry sends the session's settings again.
static void
replay_settings(struct rig *rig, PGconn *conn)
{
    PGconn *other = process_connect(rig->port, NULL);

    run(other, "DELETE FROM other");
    PQfinish(other);
    recorder_clear();
    run(conn, "DELETE FROM own");
}

// Guards against a setting that the comment at the end of another one hides.
START_TEST(test_comment_hides_no_later_setting)
{
    struct rig rig;

    start_rig(&rig, "pg_texts_comment");
    PGconn *conn = process_connect(rig.port, NULL);
    run(conn, "SET search_path = a -- the schema");
    run(conn, "SET search_path = b");
    replay_settings(&rig, conn);
    assert_received(
        "Q SET search_path = a -- the schema\n;SET search_path = b\n;.");
    PQfinish(conn);
    stop_rig(&rig);
}
END_TEST

// Guards against RESET of one setting that is sent as RESET ALL, because its
// name begins with ALL.
START_TEST(test_reset_of_one_setting_is_sent_unchanged)
{
    struct rig rig;

    start_rig(&rig, "pg_texts_reset");
    PGconn *conn = process_connect(rig.port, NULL);
    run(conn, "SET search_path = a");
    recorder_clear();
    run(conn, "RESET allow_system_table_mods");
    assert_received("P .RESET allow_system_table_mods.");
    replay_settings(&rig, conn);
    assert_received(
        "Q SET search_path = a\n;RESET allow_system_table_mods\n;.");
    PQfinish(conn);
    stop_rig(&rig);
}
END_TEST

// Guards against a lifetime of a setting that is guessed from the first words
// of its statement.
START_TEST(test_lifetime_of_a_setting_comes_from_its_statement)
{
    struct rig rig;

    start_rig(&rig, "pg_texts_lifetime");
    PGconn *conn = process_connect(rig.port, NULL);
    run(conn, "SET localized.name = 'x'");
    run(conn, "SET  LOCAL lock_timeout = 1");
    run(conn, "/* note */ SET LOCAL lock_timeout = 2");
    replay_settings(&rig, conn);
    assert_received("Q SET localized.name = 'x'\n;.");
    run(conn, "/* note */ RESET ALL");
    recorder_clear();
    run(conn, "DELETE FROM own");
    ck_assert(!recorder_has("Q SET"));
    PQfinish(conn);
    stop_rig(&rig);
}
END_TEST

// Guards against settings of a text with several statements that another
// session gets and that the session itself loses.
START_TEST(test_settings_of_several_statements_are_the_session_s)
{
    struct rig rig;

    start_rig(&rig, "pg_texts_several");
    PGconn *conn = process_connect(rig.port, NULL);
    PGconn *other = process_connect(rig.port, NULL);
    run(conn, "SET search_path = a; SET lock_timeout = 5 -- ms");
    recorder_clear();
    run(other, "DELETE FROM other");
    assert_received("Q DISCARD ALL.");
    recorder_clear();
    run(conn, "DELETE FROM own");
    assert_received("Q SET search_path = a\n;SET lock_timeout = 5 -- ms\n;.");
    PQfinish(conn);
    PQfinish(other);
    stop_rig(&rig);
}
END_TEST

// Writes two statements that differ and have the same XXH3 hash: it multiplies
// bytes 24 to 31 by the difference of bytes 16 to 23 from a constant.
static void
write_colliding_statements(char first[], char second[])
{
    (void)strcpy(first, "DELETE FROM t --"
                        "\xcb\x79\xe6\x4e\xcc\xc0\xe5\x78"
                        "11111111................................");
    (void)strcpy(second, first);
    memcpy(second + 24, "22222222", 8);
    ck_assert_uint_eq(XXH3_64bits(first, strlen(first)),
                      XXH3_64bits(second, strlen(second)));
}

static void
run_extended(PGconn *conn, const char *sql)
{
    PGresult *result = PQexecParams(conn, sql, 0, NULL, NULL, NULL, NULL, 0);

    ck_assert_msg(PQresultStatus(result) == PGRES_COMMAND_OK, "%s: %s", sql,
                  PQresultErrorMessage(result));
    PQclear(result);
}

static void
run_extended_fails(PGconn *conn, const char *sql, const char *sqlstate)
{
    PGresult *result = PQexecParams(conn, sql, 0, NULL, NULL, NULL, NULL, 0);

    ck_assert_pstr_eq(PQresultErrorField(result, PG_DIAG_SQLSTATE), sqlstate);
    PQclear(result);
}

// Guards against a statement that runs in place of another one, because a
// connection knows prepared statements by a hash that is easily equal.
START_TEST(test_prepared_statements_are_told_apart)
{
    struct rig rig;
    char first[STATEMENT_SIZE];
    char second[STATEMENT_SIZE];

    start_rig(&rig, "pg_texts_prepared");
    PGconn *conn = process_connect(rig.port, NULL);
    write_colliding_statements(first, second);
    run_extended(conn, first);
    assert_received(first);
    run_extended(conn, second);
    assert_received(second);
    PQfinish(conn);
    stop_rig(&rig);
}
END_TEST

// Guards against DISCARD ALL among the settings that a connection gets.
START_TEST(test_discard_all_is_no_setting)
{
    struct rig rig;

    start_rig(&rig, "pg_texts_discard");
    PGconn *conn = process_connect(rig.port, NULL);
    run_extended(conn, "SET search_path = a");
    run_extended(conn, "DISCARD ALL");
    run_extended(conn, "SET search_path = b");
    replay_settings(&rig, conn);
    assert_received("Q SET search_path = a\n;RESET ALL\n;"
                    "SET search_path = b\n;.");
    PQfinish(conn);
    stop_rig(&rig);
}
END_TEST

// Guards against SET LOCAL outside a transaction that marks a connection with
// settings as one without.
START_TEST(test_set_local_leaves_no_setting_to_others)
{
    struct rig rig;

    start_rig(&rig, "pg_texts_local");
    PGconn *conn = process_connect(rig.port, NULL);
    PGconn *other = process_connect(rig.port, NULL);
    run(conn, "SET search_path = a");
    run(conn, "SET LOCAL lock_timeout = 1");
    recorder_clear();
    run(other, "DELETE FROM other");
    assert_received("Q DISCARD ALL.");
    PQfinish(conn);
    PQfinish(other);
    stop_rig(&rig);
}
END_TEST

// Reads answers up to ReadyForQuery or the end of the connection. Returns them
// with a dot for each byte that can't be printed; the caller frees the text.
static char *
receive_until_ready(PGconn *conn)
{
    struct buffer text = {0};
    struct pollfd wait = {PQsocket(conn), POLLIN, 0};
    char bytes[4096];
    ssize_t size = 0;

    do {
        ck_assert_int_eq(poll(&wait, 1, ANSWER_WAIT_MS), 1);
        size = recv(wait.fd, bytes, sizeof(bytes), MSG_DONTWAIT);
        for (ssize_t i = 0; i < size; i++) {
            buffer_append_u8(&text, isprint((unsigned char)bytes[i])
                                        ? (uint8_t)bytes[i]
                                        : (uint8_t)'.');
        }
    } while (size > 0 && !(size >= 6 && bytes[size - 6] == 'Z'));
    char *copy =
        xmemdupz((const char *)buffer_get_data(&text), buffer_get_size(&text));
    buffer_free(&text);
    return copy;
}

// Sends a Parse, a Bind with one text parameter of the given bytes, an Execute
// and a Sync, and returns the answer, which the caller frees.
static char *
send_parameter(PGconn *conn, const char *bytes, size_t size)
{
    static const char parse[] = "\0DELETE FROM t WHERE v = $1\0\0";
    struct buffer out = {0};
    struct buffer bind = {0};

    buffer_append(&bind, "\0\0\0\0\0\1", 6);
    buffer_append_be32(&bind, (uint32_t)size);
    buffer_append(&bind, bytes, size);
    buffer_append(&bind, "\0\0", 2);
    recorder_add_message(&out, 'P', parse, sizeof(parse));
    recorder_add_message(&out, 'B', (const char *)buffer_get_data(&bind),
                         buffer_get_size(&bind));
    recorder_add_message(&out, 'E', "\0\0\0\0\0", 5);
    recorder_add_message(&out, 'S', "", 0);
    recorder_send(PQsocket(conn), &out);
    buffer_free(&bind);
    buffer_free(&out);
    return receive_until_ready(conn);
}

// Guards against a parameter whose value is cut at a zero byte.
START_TEST(test_text_parameter_is_not_cut)
{
    struct rig rig;

    start_rig(&rig, "pg_texts_parameter");
    PGconn *conn = process_connect(rig.port, NULL);
    char *answer = send_parameter(conn, "ab\0cd", 5);
    ck_assert_msg(strstr(answer, "C22021.") != NULL, "%s", answer);
    free(answer);
    ck_assert(!recorder_has("B "));
    answer = send_parameter(conn, "abcd", 4);
    ck_assert_msg(strstr(answer, "SET.") != NULL, "%s", answer);
    free(answer);
    assert_received("abcd");
    PQfinish(conn);
    stop_rig(&rig);
}
END_TEST

// Guards against a write that is taken for a read, because the upstream ends
// its literals elsewhere: writes alone are followed by the log position.
START_TEST(test_write_is_no_read_with_other_literals)
{
    struct rig rig;
    static const char backslash[] = "SELECT 'a\\' , ', f(' s, ') --'";
    static const char sjis[] = "SELECT \x95|lower('a')";

    start_rig(&rig, "pg_texts_lexing");
    PGconn *conn = process_connect(rig.port, NULL);
    run(conn, backslash);
    ck_assert(!recorder_has("pg_current_wal_lsn()."));
    run(conn, "SET standard_conforming_strings = off");
    run(conn, backslash);
    assert_received("pg_current_wal_lsn().");
    PQfinish(conn);
    conn = process_connect(rig.port, "options='-c client_encoding=SJIS'");
    recorder_clear();
    run(conn, sjis);
    assert_received("pg_current_wal_lsn().");
    recorder_clear();
    run(conn, "SELECT 'a' , ', f(' s, ') --'");
    ck_assert(!recorder_has("pg_current_wal_lsn()."));
    PQfinish(conn);
    conn = process_connect(rig.port, NULL);
    run(conn, "SET standard_conforming_strings = on; SET NAMES 'utf-8'");
    recorder_clear();
    run(conn, backslash);
    ck_assert(!recorder_has("pg_current_wal_lsn()."));
    PQfinish(conn);
    stop_rig(&rig);
}
END_TEST

// Guards against a prepared statement that is read with other settings than
// those it was prepared with.
START_TEST(test_prepared_statement_is_read_as_it_was_prepared)
{
    struct rig rig;
    static const char sql[] = "DELETE FROM t WHERE v = 'a\\'";

    start_rig(&rig, "pg_texts_reprepared");
    PGconn *conn = process_connect(rig.port, NULL);
    PQclear(PQprepare(conn, "s", sql, 0, NULL));
    run(conn, "SET standard_conforming_strings = off");
    recorder_clear();
    PGresult *result = PQexecPrepared(conn, "s", 0, NULL, NULL, NULL, 0);
    ck_assert_pstr_eq(PQresultErrorField(result, PG_DIAG_SQLSTATE), "0A000");
    PQclear(result);
    run_extended(conn, sql);
    assert_received("DISCARD ALL");
    assert_received(sql);
    PQfinish(conn);
    stop_rig(&rig);
}
END_TEST

// Guards against a statement that runs without its session's settings, because
// the upstream has refused one of them.
START_TEST(test_statement_does_not_run_without_its_settings)
{
    struct rig rig;

    start_rig(&rig, "pg_texts_refused");
    PGconn *conn = process_connect(rig.port, "options='-c search_path=a "
                                             "-c " REFUSED_SETTING "=1'");
    recorder_clear();
    char *text = process_query(conn, "DELETE FROM own");
    ck_assert_str_eq(text, "42704 unknown setting");
    free(text);
    run_extended_fails(conn, "DELETE FROM own", "42704");
    run_extended_fails(conn, "DELETE FROM own", "42704");
    ck_assert(!recorder_has("DELETE"));
    PGconn *other = process_connect(rig.port, NULL);
    run(other, "DELETE FROM other");
    assert_received("DELETE FROM other");
    PQfinish(other);
    PQfinish(conn);
    stop_rig(&rig);
}
END_TEST

// Appends a Parse, Bind and Execute of a statement without parameters.
static void
add_extended(struct buffer *out, const char *sql)
{
    struct buffer parse = {0};

    buffer_append_u8(&parse, 0);
    buffer_append(&parse, sql, strlen(sql) + 1);
    buffer_append(&parse, "\0\0", 2);
    recorder_add_message(out, 'P', (const char *)buffer_get_data(&parse),
                         buffer_get_size(&parse));
    recorder_add_message(out, 'B', "\0\0\0\0\0\0\0\0", 8);
    recorder_add_message(out, 'E', "\0\0\0\0\0", 5);
    buffer_free(&parse);
}

static const char query_body[] = "DELETE FROM second";

// Guards against a simple query that runs before the statements that its
// client has sent first.
START_TEST(test_query_does_not_overtake_a_batch)
{
    struct rig rig;
    struct buffer out = {0};

    start_rig(&rig, "pg_texts_order");
    PGconn *conn = process_connect(rig.port, NULL);
    add_extended(&out, "DELETE FROM first");
    recorder_add_message(&out, 'Q', query_body, sizeof(query_body));
    recorder_send(PQsocket(conn), &out);
    char *answer = receive_until_ready(conn);
    ck_assert_msg(strstr(answer, "C0A000.") != NULL, "%s", answer);
    free(answer);
    ck_assert(!recorder_has("DELETE"));
    buffer_clear(&out);
    recorder_add_message(&out, 'Q', query_body, sizeof(query_body));
    recorder_send(PQsocket(conn), &out);
    free(receive_until_ready(conn));
    assert_received("DELETE FROM second");
    ck_assert(!recorder_has("DELETE FROM first"));
    buffer_clear(&out);
    recorder_add_message(&out, 'C', "Ss", 3);
    recorder_add_message(&out, 'Q', query_body, sizeof(query_body));
    recorder_send(PQsocket(conn), &out);
    answer = receive_until_ready(conn);
    ck_assert_msg(strncmp(answer, "3....C....SET.", 14) == 0, "%s", answer);
    free(answer);
    buffer_free(&out);
    PQfinish(conn);
    stop_rig(&rig);
}
END_TEST

struct malformed_case {
    char type;
    const char *body;
    size_t size;
};

static const struct malformed_case malformed_cases[] = {
    {'S', "x", 1},
    {'H', "x", 1},
    {'Q', "DELETE FROM own\0x", 17},
    {'Q', "DELETE FROM own", 15},
    {'P', "\0DELETE FROM own\0\0\0x", 20},
    {'B', "\0\0\0\0\0\0\0\0x", 9},
    {'E', "\0\0\0\0\0x", 6},
    {'D', "S\0x", 3},
    {'C', "S\0x", 3},
};

// Guards against bytes of a message that are neither read nor refused.
START_TEST(test_bytes_after_the_end_of_a_message_are_refused)
{
    struct rig rig;
    const struct malformed_case *row = &malformed_cases[_i];
    struct buffer out = {0};

    start_rig(&rig, "pg_texts_malformed");
    PGconn *conn = process_connect(rig.port, NULL);
    add_extended(&out, "DELETE FROM first");
    recorder_add_message(&out, row->type, row->body, row->size);
    recorder_add_message(&out, 'S', "", 0);
    recorder_send(PQsocket(conn), &out);
    char *answer = receive_until_ready(conn);
    ck_assert_msg(strstr(answer, "C08P01.") != NULL, "%s", answer);
    free(answer);
    ck_assert(!recorder_has("DELETE"));
    buffer_free(&out);
    PQfinish(conn);
    stop_rig(&rig);
}
END_TEST

// Guards against an option of the startup message that is cut.
START_TEST(test_startup_option_is_not_cut)
{
    struct rig rig;
    char path[2001];
    char options[2100];

    memset(path, 'a', sizeof(path) - 1);
    path[sizeof(path) - 1] = '\0';
    (void)snprintf(options, sizeof(options), "options='-c search_path=%s'",
                   path);
    start_rig(&rig, "pg_texts_option");
    PGconn *conn = process_connect(rig.port, options);
    run(conn, "DELETE FROM own");
    (void)snprintf(options, sizeof(options), "Q SET search_path = '%s';.",
                   path);
    assert_received(options);
    PQfinish(conn);
    stop_rig(&rig);
}
END_TEST

// Guards against an error text that ends within a UTF-8 character.
START_TEST(test_error_text_ends_with_a_character)
{
    struct rig rig;
    char name[1000];

    start_rig(&rig, "pg_texts_error");
    PGconn *conn = process_connect(rig.port, NULL);
    for (int odd = 0; odd < 2; odd++) {
        memset(name, 'a', sizeof(name));
        for (size_t i = (size_t)odd; i + 2 < sizeof(name); i += 2) {
            memcpy(name + i, "\xc3\xbc", 2);
        }
        name[sizeof(name) - 1] = '\0';
        PGresult *result = PQexecPrepared(conn, name, 0, NULL, NULL, NULL, 0);
        const char *text = PQresultErrorField(result, PG_DIAG_MESSAGE_PRIMARY);
        ck_assert_ptr_nonnull(text);
        ck_assert_int_ne((unsigned char)text[strlen(text) - 1], 0xc3);
        PQclear(result);
    }
    PQfinish(conn);
    stop_rig(&rig);
}
END_TEST

// ---- operations of the control plane ----

struct follow {
    struct loop *loop;
    int outcome;
};

static void
follow_handle_done(void *data, const struct upstream_admin_result *result)
{
    struct follow *follow = data;

    follow->outcome = result->outcome;
    loop_stop(follow->loop);
}

// Tells the recorder to follow a primary at the host. Returns the outcome.
static int
run_follow(int port, const char *sql, const char *host)
{
    struct settings settings = {
        .upstream_user = (char *)"walker",
        .upstream_sslmode = (char *)"disable",
        .upstream_password_file = (char *)"",
        .upstream_follow_sql = (char *)(uintptr_t)sql,
        .connect_timeout_us = ANSWER_WAIT_MS * INT64_C(1000),
    };
    struct ck_upstream upstream = {.name = (char *)"second",
                                   .database = (char *)"roster",
                                   .failure_domain = (char *)"z1",
                                   .host = (char *)"127.0.0.1",
                                   .port = (u_int)port};
    struct ck_upstream primary = upstream;
    struct follow follow = {.loop = loop_create()};
    struct upstream_admin_request request = {.kind = UPSTREAM_ADMIN_FOLLOW,
                                             .upstream = &upstream,
                                             .primary = &primary,
                                             .done = follow_handle_done,
                                             .data = &follow};

    primary.host = (char *)(uintptr_t)host;
    primary.port = 5432;
    struct upstream_admin *admin =
        libpq_admin_driver.create(follow.loop, &settings);
    admin->ops->run(admin, &request);
    loop_run(follow.loop);
    admin->ops->destroy(admin);
    loop_destroy(follow.loop);
    return follow.outcome;
}

// Guards against a host that ends the literal it is written into, and against
// a statement that is cut at a semicolon within a literal or a comment.
START_TEST(test_follow_keeps_its_statements)
{
    int port = recorder_start();

    apr_initialize();
    ck_assert(process_wait_port(port));
    ck_assert_int_ne(run_follow(port, "ALTER SYSTEM SET a = 'host={host}'",
                                "1' || x(); DROP TABLE t; --"),
                     OUTCOME_OK);
    ck_assert(!recorder_has("Q "));
    ck_assert_int_eq(run_follow(port,
                                "ALTER SYSTEM SET a = 'host={host};{port}'; "
                                "SELECT f() -- one; two",
                                "fe80::1%eth0"),
                     OUTCOME_OK);
    assert_received("Q ALTER SYSTEM SET a = 'host=fe80::1%eth0;5432'.\n");
    assert_received("Q SELECT f() -- one; two.\n");
    recorder_stop();
}
END_TEST

static void
add_tests(TCase *tests)
{
    tcase_add_test(tests, test_write_is_no_read_with_other_literals);
    tcase_add_test(tests, test_statement_does_not_run_without_its_settings);
    tcase_add_test(tests, test_query_does_not_overtake_a_batch);
    tcase_add_loop_test(tests,
                        test_bytes_after_the_end_of_a_message_are_refused, 0,
                        ARRAY_SIZE(malformed_cases));
    tcase_add_test(tests, test_startup_option_is_not_cut);
    tcase_add_test(tests, test_error_text_ends_with_a_character);
    tcase_add_test(tests, test_prepared_statement_is_read_as_it_was_prepared);
    tcase_add_test(tests, test_follow_keeps_its_statements);
    tcase_add_test(tests, test_prepared_statements_are_told_apart);
    tcase_add_test(tests, test_discard_all_is_no_setting);
    tcase_add_test(tests, test_set_local_leaves_no_setting_to_others);
    tcase_add_test(tests, test_text_parameter_is_not_cut);
    tcase_add_test(tests, test_reset_of_one_setting_is_sent_unchanged);
    tcase_add_test(tests, test_lifetime_of_a_setting_comes_from_its_statement);
    tcase_add_test(tests,
                   test_settings_of_several_statements_are_the_session_s);
    tcase_add_test(tests, test_comment_hides_no_later_setting);
}

TEST_MAIN("pg_texts", add_tests)
