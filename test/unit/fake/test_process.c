#include <signal.h>
#include <stdlib.h>

#include "catkingrade/kernel/memory.h"
#include "test/fake/process.h"
#include "test/suite.h"

#define ROUNDS 300

// A signal that comes before the program does ends that process and no other:
// the test's own handlers are not the program's.
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
add_tests(TCase *tests)
{
    tcase_add_test(tests, test_signal_right_after_start);
}

TEST_MAIN("process", add_tests)
