#include "catkingrade/plugins/postgres_session.h"

#include <apr_general.h>
#include <poll.h>
#include <semaphore.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "catkingrade/entry/entry.h"
#include "catkingrade/kernel/daemon.h"
#include "catkingrade/kernel/loop.h"
#include "catkingrade/kernel/outcome.h"
#include "catkingrade/kernel/plugin.h"
#include "catkingrade/kernel/settings.h"
#include "catkingrade/plugins/postgres_listener.h"
#include "test/fake/platform.h"
#include "test/fake/process.h"
#include "test/suite.h"

#define DATABASE      "roster"
#define WORKERS       2
#define CLIENTS       16 // that no worker gets none of them is 1 in 2^15
#define TURNS         20 // of a loop; a session is accepted and read in two
#define CLOSE_WAIT_MS 20000

// An entry with the PostgreSQL listener, and clients of one database.
static struct {
    struct settings settings;
    struct daemon daemon;
    int clients[CLIENTS];
    sem_t turns;
} rig;

static void
init_rig(void)
{
    struct settings *settings = &rig.settings;

    apr_initialize();
    settings->roles = SETTINGS_ROLE_ENTRY;
    settings->traffic_threads = WORKERS;
    settings->max_sessions = CLIENTS;
    settings->classify_cache_entries = 16;
    settings->view_file = settings->token_keys_file = "";
    settings->tls_cert_file = settings->upstream_password_file = "";
    (void)strcpy(settings->postgres.host, "127.0.0.1");
    settings->postgres.port = (uint16_t)process_get_free_port();
    (void)sem_init(&rig.turns, 0, 0);
    rig.daemon.settings = settings;
    rig.daemon.control_loop = loop_create();
}

static void
start_rig(void)
{
    init_rig();
    ck_assert_int_eq(plugin_start_all(&rig.daemon, &rig.settings), OUTCOME_OK);
}

static void
count_turn(void *data)
{
    (void)data;
    (void)sem_post(&rig.turns);
}

// The turn that counts is the last one: it takes both tasks.
static void
end_loop(void *data)
{
    loop_stop(data);
    loop_post(data, count_turn, NULL, data);
}

static void
run_task(struct loop *loop, loop_task_fn task)
{
    loop_post(loop, task, NULL, loop);
    (void)sem_wait(&rig.turns);
}

// Connects and sends a startup message for DATABASE, protocol 3.0.
static int
send_startup(void)
{
    static const char startup[] =
        "\0\0\0\x25\0\3\0\0user\0walker\0database\0" DATABASE "\0";
    int fd = platform_connect(rig.settings.postgres.port);

    ck_assert_int_ge(fd, 0);
    ck_assert_int_eq(send(fd, startup, sizeof(startup), MSG_NOSIGNAL),
                     (ssize_t)sizeof(startup));
    return fd;
}

static void
assert_closed(int fd)
{
    struct pollfd wait = {.fd = fd, .events = POLLIN};
    char byte = 0;

    ck_assert_int_eq(poll(&wait, 1, CLOSE_WAIT_MS), 1);
    ck_assert_int_le(recv(fd, &byte, 1, MSG_DONTWAIT), 0);
    close(fd);
}

START_TEST(test_session_moved_to_ended_worker_is_not_leaked)
{
    start_rig();
    struct worker *owner = entry_find_worker(rig.daemon.entry, DATABASE);
    run_task(worker_get_loop(owner), end_loop);
    for (int i = 0; i < CLIENTS; i++) {
        rig.clients[i] = send_startup();
    }
    for (unsigned i = 0; i < WORKERS; i++) {
        struct worker *worker = entry_get_worker(rig.daemon.entry, i);
        for (int turn = 0; worker != owner && turn < TURNS; turn++) {
            run_task(worker_get_loop(worker), count_turn);
        }
    }
    plugin_stop_all(&rig.daemon);
    for (int i = 0; i < CLIENTS; i++) {
        assert_closed(rig.clients[i]);
    }
    loop_destroy(rig.daemon.control_loop);
}
END_TEST

START_TEST(test_cancel_request_to_ended_worker_is_not_leaked)
{
    start_rig();
    run_task(worker_get_loop(entry_get_worker(rig.daemon.entry, 0)), end_loop);
    postgres_listener_cancel(rig.daemon.entry, 1, 1);
    plugin_stop_all(&rig.daemon);
    loop_destroy(rig.daemon.control_loop);
}
END_TEST

START_TEST(test_failed_start_leaves_no_worker)
{
    init_rig();
    (void)strcpy(rig.settings.postgres.host, "192.0.2.1"); // not of this VM
    ck_assert_int_eq(plugin_start_all(&rig.daemon, &rig.settings),
                     OUTCOME_UNAVAILABLE);
    ck_assert_ptr_null(rig.daemon.entry);
    plugin_stop_all(&rig.daemon);
    loop_destroy(rig.daemon.control_loop);
}
END_TEST

static void
add_tests(TCase *tests)
{
    tcase_add_test(tests, test_session_moved_to_ended_worker_is_not_leaked);
    tcase_add_test(tests, test_cancel_request_to_ended_worker_is_not_leaked);
    tcase_add_test(tests, test_failed_start_leaves_no_worker);
}

TEST_MAIN("postgres_session", add_tests)
