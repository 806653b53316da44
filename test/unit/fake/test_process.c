#include <signal.h>
#include <stdlib.h>
#include <sys/wait.h>
#include <unistd.h>

#include "catkingrade/kernel/memory.h"
#include "test/fake/process.h"
#include "test/suite.h"

#define ROUNDS 300
#define PORTS  20

// Guards against a signal handler of the test in a child: a signal that
// arrives between fork and exec must end the child only, not the whole test.
START_TEST(test_signal_right_after_start)
{
    const char *args[] = {"5", NULL};
    char *folder = process_make_folder("process_start");
    char *log = xasprintf("%s/sleep.log", folder);

    for (int i = 0; i < ROUNDS; i++) {
        struct process *process = process_start(log, "/bin/sleep", args);
        ck_assert_int_eq(process_stop(process, SIGTERM), -SIGTERM);
    }
    free(log);
    free(folder);
}
END_TEST

static void
get_ports(int *ports)
{
    for (int i = 0; i < PORTS; i++) {
        ports[i] = process_get_free_port();
    }
}

// Starts a program that gets ports and keeps them until hold_fd is closed.
static pid_t
start_port_holder(int *ports, int *hold_fd)
{
    int result[2];
    int hold[2];
    char byte = 0;

    ck_assert_int_eq(pipe(result), 0);
    ck_assert_int_eq(pipe(hold), 0);
    pid_t pid = fork();
    ck_assert_int_ge(pid, 0);
    if (pid == 0) {
        close(hold[1]);
        get_ports(ports);
        (void)!write(result[1], ports, PORTS * sizeof(*ports));
        (void)!read(hold[0], &byte, 1);
        _exit(EXIT_SUCCESS);
    }
    close(hold[0]);
    close(result[1]);
    ck_assert_int_eq(read(result[0], ports, PORTS * sizeof(*ports)),
                     (ssize_t)(PORTS * sizeof(*ports)));
    close(result[0]);
    *hold_fd = hold[1];
    return pid;
}

START_TEST(test_programs_with_one_range_get_other_ports)
{
    int held[PORTS];
    int own[PORTS];
    int hold_fd = -1;
    int status = -1;

    (void)setenv("TEST_PORT_RANGE", "0", 0);
    pid_t pid = start_port_holder(held, &hold_fd);
    get_ports(own);
    close(hold_fd);
    ck_assert_int_eq(waitpid(pid, &status, 0), pid);
    ck_assert_int_eq(status, 0);
    for (int i = 0; i < PORTS; i++) {
        for (int j = 0; j < PORTS; j++) {
            ck_assert_int_ne(own[i], held[j]);
        }
    }
}
END_TEST

static void
add_tests(TCase *tests)
{
    tcase_add_test(tests, test_signal_right_after_start);
    tcase_add_test(tests, test_programs_with_one_range_get_other_ports);
}

TEST_MAIN("process", add_tests)
