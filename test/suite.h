#ifndef TEST_SUITE_H
#define TEST_SUITE_H

#include <check.h>
#include <stdlib.h>

#define TEST_TIMEOUT_S 240 // for each test function

// Defines main() of a test program with one suite and one test case. add_tests
// adds the test functions to the test case.
#define TEST_MAIN(name, add_tests)                                            \
    int main(void)                                                            \
    {                                                                         \
        Suite *suite = suite_create(name);                                    \
        TCase *tests = tcase_create(name);                                    \
        tcase_set_timeout(tests, TEST_TIMEOUT_S);                             \
        (add_tests)(tests);                                                   \
        suite_add_tcase(suite, tests);                                        \
        SRunner *runner = srunner_create(suite);                              \
        srunner_run_all(runner, CK_ENV);                                      \
        int failed = srunner_ntests_failed(runner);                           \
        srunner_free(runner);                                                 \
        return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;                     \
    }

#endif
