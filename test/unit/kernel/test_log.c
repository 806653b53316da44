// Unit tests of the log: lines that its reader does not take in time.

#include <check.h>
#include <fcntl.h>
#include <string.h>
#include <unistd.h>

#include "catkingrade/kernel/log.h"
#include "catkingrade/kernel/outcome.h"
#include "test/suite.h"

static void
fill_pipe(int fd)
{
    static const char bytes[4096];

    while (write(fd, bytes, sizeof(bytes)) > 0) {
    }
    while (write(fd, bytes, 1) > 0) {
    }
}

static void
drain_pipe(int fd)
{
    char bytes[4096];

    while (read(fd, bytes, sizeof(bytes)) > 0) {
    }
}

// Guards against a wrong number of dropped lines: the count must not be reset
// by a report that is dropped itself.
START_TEST(test_dropped_lines_are_counted)
{
    char text[1024] = "";
    int fds[2] = {-1, -1};
    int old_stdout = dup(STDOUT_FILENO);

    ck_assert_int_eq(pipe(fds), 0);
    ck_assert_int_eq(fcntl(fds[0], F_SETFL, O_NONBLOCK), 0);
    ck_assert_int_eq(fcntl(fds[1], F_SETFL, O_NONBLOCK), 0);
    ck_assert_int_ge(dup2(fds[1], STDOUT_FILENO), 0);
    ck_assert_int_eq(log_open(NULL, LOG_LEVEL_INFO, LOG_FORMAT_TEXT, "vm"),
                     OUTCOME_OK);
    fill_pipe(fds[1]);
    for (int i = 0; i < 5; i++) {
        log_write(LOG_LEVEL_INFO, "dropped", "number=%d", i);
    }
    drain_pipe(fds[0]);
    log_write(LOG_LEVEL_INFO, "written", "number=5");
    ck_assert_int_gt(read(fds[0], text, sizeof(text) - 1), 0);
    (void)dup2(old_stdout, STDOUT_FILENO);
    log_close();
    ck_assert_ptr_nonnull(strstr(text, "event=log_stalled lines=5"));
    ck_assert_ptr_nonnull(strstr(text, "event=written"));
}
END_TEST

static void
add_tests(TCase *tests)
{
    tcase_add_test(tests, test_dropped_lines_are_counted);
}

TEST_MAIN("log", add_tests)
