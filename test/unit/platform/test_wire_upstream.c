#include <apr_general.h>
#include <netinet/in.h>
#include <poll.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "catkingrade/kernel/memory.h"
#include "platform/wire_message.h"
#include "platform/wire_relay.h"
#include "platform/wire_upstream.h"
#include "test/suite.h"

// Links of the platform's upstream driver to a listener of the test, which
// sends fixed answers.

#define CONNECT_TIMEOUT_US 5000000
#define EVENT_TIMEOUT_US   2000000
#define QUIET_US           3000
#define STEP_US            200

#define READY "READY I 1.2\r\n"

struct rig {
    struct loop *loop;
    struct loop_timer *timer;
    struct upstream_link *link;
    struct job *job;
    int listen_fd;
    int peer_fd;
    unsigned port;
    int opened;
    int finished;
    int checked;
    int sampled;
    int lost;
    enum upstream_fault fault;
    enum scheduler_result result;
    struct upstream_sample sample;
};

static struct rig rig;

static void
handle_opened(void *data, enum upstream_fault fault)
{
    (void)data;
    rig.opened++;
    rig.fault = fault;
    loop_stop(rig.loop);
}

static void
handle_finished(void *data, struct job *job, enum scheduler_result result)
{
    (void)data;
    ck_assert_ptr_eq(job, rig.job);
    rig.finished++;
    rig.result = result;
    loop_stop(rig.loop);
}

static void
handle_checked(void *data, enum upstream_fault fault)
{
    (void)data;
    rig.checked++;
    rig.fault = fault;
    loop_stop(rig.loop);
}

static void
handle_sampled(void *data, const struct upstream_sample *sample)
{
    (void)data;
    rig.sampled++;
    rig.sample = *sample;
    loop_stop(rig.loop);
}

static void
handle_lost(void *data)
{
    (void)data;
    rig.lost++;
    loop_stop(rig.loop);
}

static const struct upstream_link_events events = {
    .opened = handle_opened,
    .finished = handle_finished,
    .checked = handle_checked,
    .sampled = handle_sampled,
    .lost = handle_lost,
};

static void
handle_timer(void *data)
{
    loop_stop(data);
}

// Runs the loop until an event or for a time.
static void
run_loop(int64_t time_us)
{
    loop_timer_set(rig.timer, monotonic_get_us() + time_us);
    loop_run(rig.loop);
}

static struct upstream_target
get_target(void)
{
    return (struct upstream_target){
        .host = "127.0.0.1",
        .port = rig.port,
        .database = "core",
        .upstream = "i-1",
        .customer = "",
        .user = "entry",
        .connect_timeout_us = CONNECT_TIMEOUT_US,
        .check_timeout_us = CONNECT_TIMEOUT_US,
    };
}

static void
open_link(const struct upstream_target *target)
{
    rig.link = wire_upstream_driver.open(rig.loop, target, &events, NULL);
}

static void
start(void)
{
    struct sockaddr_in address = {.sin_family = AF_INET,
                                  .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
    socklen_t size = sizeof(address);

    memset(&rig, 0, sizeof(rig));
    ck_assert_int_eq(apr_initialize(), APR_SUCCESS);
    rig.loop = loop_create();
    rig.timer = loop_timer_create(rig.loop, handle_timer, rig.loop);
    rig.peer_fd = -1;
    rig.listen_fd = socket(AF_INET, SOCK_STREAM, 0);
    ck_assert_int_eq(
        bind(rig.listen_fd, (struct sockaddr *)&address, sizeof(address)), 0);
    ck_assert_int_eq(listen(rig.listen_fd, 8), 0);
    ck_assert_int_eq(
        getsockname(rig.listen_fd, (struct sockaddr *)&address, &size), 0);
    rig.port = ntohs(address.sin_port);
}

static void
stop(void)
{
    rig.link->ops->close(rig.link);
    loop_timer_destroy(rig.timer);
    loop_destroy(rig.loop);
    if (rig.peer_fd >= 0) {
        close(rig.peer_fd);
    }
    close(rig.listen_fd);
}

static void
send_bytes(const char *data, size_t size)
{
    while (size > 0) {
        ssize_t sent =
            send(rig.peer_fd, data, size, MSG_DONTWAIT | MSG_NOSIGNAL);
        if (sent > 0) {
            data += sent;
            size -= (size_t)sent;
        }
        else {
            run_loop(STEP_US);
        }
    }
}

static void
send_text(const char *text)
{
    send_bytes(text, strlen(text));
}

// Returns all that has arrived; the caller frees it.
static char *
receive(void)
{
    struct buffer in = {0};
    ssize_t size = 1;

    while (size > 0) {
        uint8_t *chunk = buffer_reserve(&in, 4096);
        size = recv(rig.peer_fd, chunk, 4096, MSG_DONTWAIT);
        in.end += size > 0 ? (size_t)size : 0;
    }
    buffer_append_u8(&in, 0);
    char *text = xstrdup((const char *)buffer_get_data(&in));
    buffer_free(&in);
    return text;
}

static void
expect_received(const char *expected)
{
    char *text = receive();

    ck_assert_str_eq(text, expected);
    free(text);
}

static void
accept_link(void)
{
    rig.peer_fd = accept(rig.listen_fd, NULL, NULL);
    ck_assert_int_ge(rig.peer_fd, 0);
}

// Opens a link whose STARTUP is answered.
static void
start_open(bool relayed)
{
    start();
    struct upstream_target target = get_target();
    target.relayed = relayed;
    open_link(&target);
    accept_link();
    send_text(READY);
    run_loop(EVENT_TIMEOUT_US);
    ck_assert_int_eq(rig.opened, 1);
    ck_assert_int_eq(rig.fault, UPSTREAM_FAULT_NONE);
    expect_received("STARTUP core entry i-1\r\n");
}

static struct job *
create_job(const char *text)
{
    struct job *job = xcalloc(1, sizeof(*job));

    job->typed = xcalloc(1, sizeof(*job->typed));
    job->typed->id = xstrdup("q1");
    job->typed->text = xstrdup(text);
    job->typed->text_size_bytes = strlen(text);
    job->typed->route = "own";
    job->typed->customer = "";
    return job;
}

static void
run_job(struct job *job)
{
    rig.job = job;
    rig.finished = 0;
    rig.link->ops->run(rig.link, job);
    ck_assert_int_eq(rig.finished, 0);
}

static void
free_job(void)
{
    job_free(rig.job);
    free(rig.job);
    rig.job = NULL;
}

static char *
repeat(char byte, size_t size)
{
    char *text = xcalloc(1, size + 1);

    memset(text, byte, size);
    return text;
}

// ---- STARTUP ----

static void
check_refused_startup(const struct upstream_target *target)
{
    open_link(target);
    run_loop(EVENT_TIMEOUT_US);
    ck_assert_int_eq(rig.opened, 1);
    ck_assert_int_eq(rig.fault, UPSTREAM_FAULT_REFUSED);
    struct pollfd poll_fd = {rig.listen_fd, POLLIN, 0};
    if (poll(&poll_fd, 1, 10) > 0) {
        accept_link();
        expect_received("");
    }
}

static const char *const bad_words[] = {
    "i-1\r\nQUERY x WRITE k9 stolen",
    "i 1",
    "",
    "\r\n",
};

// Guards against a name that sends a statement or shifts the fields.
START_TEST(test_startup_refuses_names_that_are_no_word)
{
    const char *word = bad_words[_i / 3];

    start();
    struct upstream_target target = get_target();
    target.database = _i % 3 == 0 ? word : target.database;
    target.upstream = _i % 3 == 1 ? word : target.upstream;
    target.user = _i % 3 == 2 ? word : target.user;
    check_refused_startup(&target);
    stop();
}
END_TEST

// Guards against a customer's name that does the same, and against an upstream
// that counts as failing because of it.
START_TEST(test_startup_replaces_customer_that_is_no_word)
{
    static const char *const names[] = {
        "big shop", "c\r\nQUERY x WRITE k9 stolen", "c x i-2"};

    start();
    struct upstream_target target = get_target();
    target.customer = names[_i];
    open_link(&target);
    accept_link();
    send_text(READY);
    run_loop(EVENT_TIMEOUT_US);
    ck_assert_int_eq(rig.opened, 1);
    ck_assert_int_eq(rig.fault, UPSTREAM_FAULT_NONE);
    expect_received("STARTUP core entry i-1\r\n");
    stop();
}
END_TEST

START_TEST(test_startup_names_customer)
{
    start();
    struct upstream_target target = get_target();
    target.customer = "c-1\n";
    open_link(&target);
    accept_link();
    send_text(READY);
    run_loop(EVENT_TIMEOUT_US);
    expect_received("STARTUP core c-1\n i-1\r\n");
    stop();
}
END_TEST

// Guards against an answer other than READY or ERROR that opens a link.
START_TEST(test_startup_answer_out_of_step)
{
    static const char *const answers[] = {
        "COMPLETE s\r\n" READY, "DATAROW a\r\n" READY, "READY T 1.2\r\n",
        "READY\r\n", "ERROR\r\n" READY};

    start();
    struct upstream_target target = get_target();
    open_link(&target);
    accept_link();
    send_text(answers[_i]);
    run_loop(EVENT_TIMEOUT_US);
    ck_assert_int_eq(rig.opened, 1);
    ck_assert_int_ne(rig.fault, UPSTREAM_FAULT_NONE);
    stop();
}
END_TEST

// ---- answers ----

struct answer_row {
    const char *text; // of the answer, before READY
    const char *end;  // READY
    enum scheduler_result result;
};

static const struct answer_row answer_rows[] = {
    {"DATAROW a\nb\rc\r\nCOMPLETE s\n1\r\n", READY, SCHEDULER_RESULT_DONE},
    {"DATAROW \r\r\nDATAROW \r\nDATAROW\r\nCOMPLETE s\r\r\n", READY,
     SCHEDULER_RESULT_DONE},
    {"DATAROW READY I 1.2\nCOMPLETE x\r\nCOMPLETE s\r\n", READY,
     SCHEDULER_RESULT_DONE},
    {"COMPLETE s\r\n", "READY E -\r\n", SCHEDULER_RESULT_DONE},
    {"ERROR FAILED x\ny\rz\n\r\n", READY, SCHEDULER_RESULT_FAILED},
    {"DATAROW a\r\nERROR FAILED x\r\n", READY, SCHEDULER_RESULT_FAILED},
    {"ERROR A_CODE_OF_MORE_THAN_15_BYTES x\r\n", READY,
     SCHEDULER_RESULT_ERROR},
    {"ERROR READONLY_WITH_A_LONGER_NAME\r\n", READY, SCHEDULER_RESULT_ERROR},
    {"ERROR TIMEOUT\r\n", "READY E 1.2\r\n", SCHEDULER_RESULT_ERROR},
    // Out of step:
    {"", READY, SCHEDULER_RESULT_CONN_LOST},
    {"DATAROW a\r\n", READY, SCHEDULER_RESULT_CONN_LOST},
    {"COMPLETE\r\n", READY, SCHEDULER_RESULT_CONN_LOST},
    {"COMPLETE \r\n", READY, SCHEDULER_RESULT_CONN_LOST},
    {"ERROR\r\n", READY, SCHEDULER_RESULT_CONN_LOST},
    {"ERROR  FAILED\r\n", READY, SCHEDULER_RESULT_CONN_LOST},
    {"ERROR FAILED x\r\nCOMPLETE s\r\n", READY, SCHEDULER_RESULT_CONN_LOST},
    {"ERROR FAILED x\r\nDATAROW a\r\n", READY, SCHEDULER_RESULT_CONN_LOST},
    {"ERROR FAILED x\r\nERROR BUSY y\r\n", READY, SCHEDULER_RESULT_CONN_LOST},
    {"COMPLETE s\r\nDATAROW a\r\n", READY, SCHEDULER_RESULT_CONN_LOST},
    {"COMPLETE s\r\nCOMPLETE t\r\n", READY, SCHEDULER_RESULT_CONN_LOST},
    {"COMPLETE s\r\nERROR FAILED x\r\n", READY, SCHEDULER_RESULT_CONN_LOST},
    {"COMPLETE s\r\n", "READY\r\n", SCHEDULER_RESULT_CONN_LOST},
    {"COMPLETE s\r\n", "READY  1.2\r\n", SCHEDULER_RESULT_CONN_LOST},
    {"COMPLETE s\r\n", "READY X 1.2\r\n", SCHEDULER_RESULT_CONN_LOST},
    {"COMPLETE s\r\n", "READY IT 1.2\r\n", SCHEDULER_RESULT_CONN_LOST},
    {"COMPLETE s\r\n", "ready I 1.2\r\n", SCHEDULER_RESULT_CONN_LOST},
};

#define ANSWERS_COUNT ((int)ARRAY_SIZE(answer_rows))

static void
check_result(const struct answer_row *row)
{
    ck_assert_int_eq(rig.finished, 1);
    ck_assert_msg(rig.result == row->result, "%s%s: result %d", row->text,
                  row->end, (int)rig.result);
    if (row->result == SCHEDULER_RESULT_CONN_LOST) {
        return;
    }
    ck_assert_uint_eq(buffer_get_size(&rig.job->answer), strlen(row->text));
    ck_assert_mem_eq(buffer_get_data(&rig.job->answer), row->text,
                     strlen(row->text));
    ck_assert_int_eq(rig.job->transaction_status, row->end[6]);
    ck_assert(rig.job->failed == (row->result != SCHEDULER_RESULT_DONE));
}

// Guards against an answer that a client gets in part, or that is taken for a
// success although it has no signature.
START_TEST(test_answer_at_once)
{
    const struct answer_row *row = &answer_rows[_i];

    start_open(false);
    run_job(create_job("WRITE k1 a"));
    send_text(row->text);
    send_text(row->end);
    run_loop(EVENT_TIMEOUT_US);
    check_result(row);
    free_job();
    stop();
}
END_TEST

// Guards against the same when the answer arrives byte by byte.
START_TEST(test_answer_byte_by_byte)
{
    const struct answer_row *row = &answer_rows[_i];

    start_open(false);
    run_job(create_job("READ k1"));
    for (int part = 0; part < 2; part++) {
        const char *text = part == 0 ? row->text : row->end;
        for (size_t i = 0; rig.finished == 0 && text[i] != '\0'; i++) {
            send_bytes(&text[i], 1);
            run_loop(STEP_US);
        }
    }
    if (rig.finished == 0) {
        run_loop(EVENT_TIMEOUT_US);
    }
    check_result(row);
    free_job();
    stop();
}
END_TEST

// Guards against a client that gets the answer to another statement.
START_TEST(test_two_answers_in_one_packet)
{
    start_open(false);
    run_job(create_job("WRITE k1 a"));
    send_text("COMPLETE s\r\n" READY "COMPLETE t\r\n" READY);
    run_loop(EVENT_TIMEOUT_US);
    ck_assert_int_eq(rig.finished, 1);
    ck_assert_int_eq(rig.result, SCHEDULER_RESULT_DONE);
    ck_assert_uint_eq(buffer_get_size(&rig.job->answer),
                      strlen("COMPLETE s\r\n"));
    free_job();
    ck_assert_int_eq(rig.lost, 1);
    stop();
}
END_TEST

// Guards against a statement that is sent on a link whose peer has sent the
// beginning of a message before.
START_TEST(test_part_of_message_without_request)
{
    start_open(false);
    send_text("COMPL");
    run_loop(QUIET_US);
    run_job(create_job("WRITE k2 b"));
    run_loop(EVENT_TIMEOUT_US);
    ck_assert_int_eq(rig.finished, 1);
    ck_assert_int_eq(rig.result, SCHEDULER_RESULT_NOT_SENT);
    expect_received("");
    free_job();
    stop();
}
END_TEST

// Guards against a link that is used after a message that answers nothing.
START_TEST(test_message_without_request_ends_link)
{
    static const char *const messages[] = {"DATAROW a\r\n", "COMPLETE s\r\n",
                                           "ERROR FAILED x\r\n", READY,
                                           "QUERY x WRITE k1 a\r\n"};

    start_open(false);
    send_text(messages[_i]);
    run_loop(EVENT_TIMEOUT_US);
    ck_assert_int_eq(rig.lost, 1);
    stop();
}
END_TEST

#define LARGE_VALUES 16

// Runs a job whose requests are more than the socket buffers take.
static void
run_large_job(void)
{
    struct job *job = create_job("WRITE k1 a");
    char *value = repeat('b', WIRE_MESSAGE_MAX_BYTES / 2);

    for (int i = 0; i < LARGE_VALUES; i++) {
        char name[8];
        (void)snprintf(name, sizeof(name), "v%d", i);
        struct typed_variables *next = typed_variables_set(
            job->typed->values, name, value, strlen(value));
        typed_variables_release(job->typed->values);
        job->typed->values = next;
    }
    free(value);
    run_job(job);
    for (int i = 0; i < LARGE_VALUES; i++) {
        send_text("COMPLETE -\r\n" READY);
    }
}

// Guards against an answer that arrives before its statement is sent whole.
START_TEST(test_answer_before_statement_is_sent)
{
    start_open(false);
    run_large_job();
    send_text("COMPLETE s\r\n" READY);
    run_loop(EVENT_TIMEOUT_US);
    ck_assert_int_eq(rig.finished, 1);
    ck_assert_int_eq(rig.result, SCHEDULER_RESULT_CONN_LOST);
    free_job();
    stop();
}
END_TEST

// Guards against bytes that are lost or doubled when the socket buffer is
// full, and against setup answers that end the link meanwhile.
START_TEST(test_requests_above_socket_buffer_are_sent_whole)
{
    static const char *const last = "QUERY q1 WRITE k1 a\r\n";
    size_t expected = strlen(last);
    size_t size = 0;
    char *text = NULL;

    for (int i = 0; i < LARGE_VALUES; i++) {
        expected += strlen("QUERY - SET v \r\n") + (i < 10 ? 1 : 2) +
                    WIRE_MESSAGE_MAX_BYTES / 2;
    }
    start_open(false);
    run_large_job();
    for (int i = 0; i < 4000 && size < expected && rig.finished == 0; i++) {
        run_loop(STEP_US);
        free(text);
        text = receive();
        size += strlen(text);
    }
    ck_assert_uint_eq(size, expected);
    ck_assert_str_eq(text + strlen(text) - strlen(last), last);
    free(text);
    send_text("COMPLETE s\r\n" READY);
    run_loop(EVENT_TIMEOUT_US);
    ck_assert_int_eq(rig.finished, 1);
    ck_assert_int_eq(rig.result, SCHEDULER_RESULT_DONE);
    expect_received("");
    free_job();
    stop();
}
END_TEST

// Guards against a row that is cut, and one above the limit that is passed on.
START_TEST(test_row_of_largest_size)
{
    size_t size = WIRE_MESSAGE_MAX_BYTES - strlen("DATAROW ") + (size_t)_i;
    char *row = repeat('\n', size);

    start_open(false);
    run_job(create_job("READ k1"));
    send_text("DATAROW ");
    send_bytes(row, size);
    send_text("\r\nCOMPLETE s\r\n" READY);
    while (rig.finished == 0) {
        run_loop(EVENT_TIMEOUT_US);
    }
    ck_assert_int_eq(rig.result, _i == 0 ? SCHEDULER_RESULT_DONE
                                         : SCHEDULER_RESULT_CONN_LOST);
    if (_i == 0) {
        ck_assert_uint_eq(buffer_get_size(&rig.job->answer),
                          WIRE_MESSAGE_MAX_BYTES +
                              strlen("\r\nCOMPLETE s\r\n"));
        ck_assert_mem_eq(buffer_get_data(&rig.job->answer) + 8, row, size);
    }
    free(row);
    free_job();
    stop();
}
END_TEST

// Guards against a success of a relay without the session's read floor, which
// the session would lose.
START_TEST(test_relay_answer_without_floor)
{
    static const char *const ends[] = {"READY I 1.2\r\n", "READY I\r\n",
                                       "READY I - x\r\n",
                                       "READY I 1.2 99999999999999999999\r\n"};

    start_open(true);
    run_job(create_job("WRITE k1 a"));
    expect_received("QUERY q1 VIA own - 0 0 WRITE k1 a\r\n");
    send_text("COMPLETE s\r\n");
    send_text(ends[_i]);
    run_loop(EVENT_TIMEOUT_US);
    ck_assert_int_eq(rig.finished, 1);
    ck_assert_int_eq(rig.result, SCHEDULER_RESULT_CONN_LOST);
    free_job();
    stop();
}
END_TEST

// ---- statements that the link itself issues ----

// Guards against a statement that is sent although BEGIN was answered out of
// step.
START_TEST(test_begin_answer_out_of_step)
{
    static const char *const answers[] = {
        "READY T 1.2\r\n", "DATAROW a\r\nCOMPLETE -\r\nREADY T 1.2\r\n",
        "COMPLETE -\r\nCOMPLETE s\r\nREADY T 1.2\r\n",
        "COMPLETE -\r\nREADY TT 1.2\r\n"};
    struct job *job = create_job("WRITE k1 a");

    start_open(false);
    job->typed->begin = TYPED_BEGIN_READ_WRITE;
    run_job(job);
    expect_received("QUERY - BEGIN\r\n");
    send_text(answers[_i]);
    run_loop(EVENT_TIMEOUT_US);
    ck_assert_int_eq(rig.finished, 1);
    ck_assert_int_eq(rig.result, SCHEDULER_RESULT_NOT_SENT);
    expect_received("");
    free_job();
    stop();
}
END_TEST

// Guards against a link that is reused while its transaction is open.
START_TEST(test_rollback_answer_out_of_step)
{
    static const char *const answers[] = {
        "COMPLETE -\r\nREADY T 1.2\r\n", "COMPLETE -\r\nREADY E 1.2\r\n",
        "ERROR BUSY x\r\nREADY E 1.2\r\n", READY};

    start_open(false);
    run_job(create_job("WRITE k1 a"));
    expect_received("QUERY q1 WRITE k1 a\r\n");
    send_text("ERROR READONLY x\r\nREADY E 1.2\r\n");
    run_loop(QUIET_US);
    expect_received("QUERY - ROLLBACK\r\n");
    send_text(answers[_i]);
    run_loop(EVENT_TIMEOUT_US);
    ck_assert_int_eq(rig.finished, 1);
    ck_assert_int_eq(rig.result, SCHEDULER_RESULT_NOT_SENT);
    free_job();
    stop();
}
END_TEST

// Guards against a link that counts as reset although it is not.
START_TEST(test_reset_answer_out_of_step)
{
    static const char *const answers[] = {
        READY, "COMPLETE -\r\nREADY T 1.2\r\n",
        "ERROR BUSY x\r\nCOMPLETE -\r\n" READY,
        "DATAROW a\r\nCOMPLETE -\r\n" READY, "ERROR \r\n" READY};

    start_open(false);
    rig.link->ops->reset(rig.link);
    expect_received("QUERY - RESET\r\n");
    send_text(answers[_i]);
    run_loop(EVENT_TIMEOUT_US);
    ck_assert_int_eq(rig.checked, 1);
    ck_assert_int_ne(rig.fault, UPSTREAM_FAULT_NONE);
    stop();
}
END_TEST

// ---- status ----

struct status_row {
    const char *row;
    bool usable;
    bool is_primary;
    uint64_t term;
    uint64_t lsn;
};

#define LSN(term, number) (UINT64_C(term) << 40 | (number))

static const struct status_row status_rows[] = {
    {"DATAROW primary 3 3.1209 0 12 2 17\r\nCOMPLETE -\r\n", true, true, 3,
     LSN(3, 1209)},
    {"DATAROW replica 3 -\r\nCOMPLETE -\r\n", true, false, 3, 0},
    {"DATAROW primary 3 3.1209 x\ny\r\nCOMPLETE -\r\n", true, true, 3,
     LSN(3, 1209)},
    {"DATAROW primary\n 3 3.1209\r\nCOMPLETE -\r\n", false, false, 0, 0},
    {"DATAROW leader 3 3.1209\r\nCOMPLETE -\r\n", false, false, 0, 0},
    {"DATAROW  primary 3 3.1209\r\nCOMPLETE -\r\n", false, false, 0, 0},
    {"DATAROW primary 3x 3.1209\r\nCOMPLETE -\r\n", false, false, 0, 0},
    {"DATAROW primary -3 3.1209\r\nCOMPLETE -\r\n", false, false, 0, 0},
    {"DATAROW primary +3 3.1209\r\nCOMPLETE -\r\n", false, false, 0, 0},
    {"DATAROW primary 99999999999999999999 3.1\r\nCOMPLETE -\r\n", false,
     false, 0, 0},
    {"DATAROW primary 18446744073709551615 3.1\r\nCOMPLETE -\r\n", false,
     false, 0, 0},
    {"DATAROW primary 3 3.1x\r\nCOMPLETE -\r\n", false, false, 0, 0},
    {"DATAROW primary 3 3.18446744073709551620\r\nCOMPLETE -\r\n", false,
     false, 0, 0},
    {"DATAROW primary 3\r\nCOMPLETE -\r\n", false, false, 0, 0},
    {"DATAROW primary 3 3.1\r\nDATAROW replica 4 4.1\r\nCOMPLETE -\r\n", false,
     false, 0, 0},
    {"COMPLETE -\r\n", false, false, 0, 0},
    {"DATAROW primary 3 3.1\r\n", false, false, 0, 0},
    {"ERROR BUSY x\r\n", false, false, 0, 0},
    {"DATAROW primary 3 3.1\r\nERROR BUSY x\r\n", false, false, 0, 0},
};

// Guards against a role, term or position that the upstream did not report.
START_TEST(test_status_rows)
{
    const struct status_row *row = &status_rows[_i];

    start_open(false);
    rig.link->ops->sample(rig.link);
    expect_received("QUERY - STATUS\r\n");
    send_text(row->row);
    send_text(READY);
    run_loop(EVENT_TIMEOUT_US);
    ck_assert_int_eq(rig.sampled, 1);
    ck_assert_msg((rig.sample.fault == UPSTREAM_FAULT_NONE) == row->usable,
                  "%s: fault %d", row->row, (int)rig.sample.fault);
    ck_assert(rig.sample.is_primary == row->is_primary);
    ck_assert_uint_eq(rig.sample.term, row->term);
    ck_assert_uint_eq(rig.sample.position.lsn, row->lsn);
    stop();
}
END_TEST

// ---- size ----

static void
set_long_text(struct job *job, size_t size_bytes)
{
    free(job->typed->text);
    job->typed->text = repeat('a', size_bytes);
    job->typed->text_size_bytes = size_bytes;
}

// Guards against a statement that the relay can't read because of the prefix,
// so that its outcome would be unknown.
START_TEST(test_statement_above_limit_is_not_sent)
{
    struct job *job = create_job("");
    size_t prefix = strlen("QUERY q1 VIA own - 0 0 ");
    size_t limit = WIRE_MESSAGE_MAX_BYTES + WIRE_RELAY_CONTEXT_MAX_BYTES;

    start_open(true);
    set_long_text(job, limit - prefix + (size_t)_i);
    run_job(job);
    char *text = NULL;
    size_t size = 0;
    for (int i = 0;
         i < 2000 && rig.finished == 0 && size < limit + strlen("\r\n"); i++) {
        run_loop(STEP_US);
        text = receive();
        size += strlen(text);
        free(text);
    }
    if (_i == 0) {
        ck_assert_uint_eq(size, limit + strlen("\r\n"));
    }
    else {
        ck_assert_uint_eq(size, 0);
        ck_assert_int_eq(rig.finished, 1);
        ck_assert_int_eq(rig.result, SCHEDULER_RESULT_NOT_SENT);
    }
    rig.link->ops->close(rig.link);
    struct upstream_target target = get_target();
    open_link(&target);
    free_job();
    stop();
}
END_TEST

// Guards against the same because of AFTER, within a transaction's BEGIN.
START_TEST(test_statement_above_limit_after_begin_is_not_sent)
{
    struct job *job = create_job("");

    start_open(false);
    set_long_text(job, WIRE_MESSAGE_MAX_BYTES - 8);
    job->typed->begin = _i == 0 ? TYPED_BEGIN_NONE : TYPED_BEGIN_READ_WRITE;
    job->typed->after_lsn = LSN(3, 7);
    run_job(job);
    if (_i == 1) {
        expect_received("QUERY - AFTER 3.7 BEGIN\r\n");
        send_text("COMPLETE -\r\nREADY T 1.2\r\n");
    }
    run_loop(EVENT_TIMEOUT_US);
    char *text = receive();
    ck_assert_uint_eq(strlen(text), 0);
    free(text);
    ck_assert_int_eq(rig.finished, 1);
    ck_assert_int_eq(rig.result, SCHEDULER_RESULT_NOT_SENT);
    free_job();
    stop();
}
END_TEST

static void
add_tests(TCase *tests)
{
    tcase_add_loop_test(tests, test_startup_refuses_names_that_are_no_word, 0,
                        3 * (int)ARRAY_SIZE(bad_words));
    tcase_add_loop_test(tests, test_startup_replaces_customer_that_is_no_word,
                        0, 3);
    tcase_add_test(tests, test_startup_names_customer);
    tcase_add_loop_test(tests, test_startup_answer_out_of_step, 0, 5);
    tcase_add_loop_test(tests, test_answer_at_once, 0, ANSWERS_COUNT);
    tcase_add_loop_test(tests, test_answer_byte_by_byte, 0, ANSWERS_COUNT);
    tcase_add_test(tests, test_two_answers_in_one_packet);
    tcase_add_test(tests, test_part_of_message_without_request);
    tcase_add_loop_test(tests, test_message_without_request_ends_link, 0, 5);
    tcase_add_test(tests, test_answer_before_statement_is_sent);
    tcase_add_test(tests, test_requests_above_socket_buffer_are_sent_whole);
    tcase_add_loop_test(tests, test_row_of_largest_size, 0, 2);
    tcase_add_loop_test(tests, test_relay_answer_without_floor, 0, 4);
    tcase_add_loop_test(tests, test_begin_answer_out_of_step, 0, 4);
    tcase_add_loop_test(tests, test_rollback_answer_out_of_step, 0, 4);
    tcase_add_loop_test(tests, test_reset_answer_out_of_step, 0, 5);
    tcase_add_loop_test(tests, test_status_rows, 0,
                        (int)ARRAY_SIZE(status_rows));
    tcase_add_loop_test(tests, test_statement_above_limit_is_not_sent, 0, 2);
    tcase_add_loop_test(
        tests, test_statement_above_limit_after_begin_is_not_sent, 0, 2);
}

TEST_MAIN("wire_upstream", add_tests)
