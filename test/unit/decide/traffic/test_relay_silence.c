#include <stdio.h>

#include "catkingrade/decide/traffic/relay_silence.h"
#include "test/suite.h"

// Guards against databases that each wait for the connect timeout of the same
// silent relay, and against a relay that stays avoided after it has answered
// or after a while.
START_TEST(test_silence_is_known_for_a_while)
{
    struct relay_silence silence = {0};

    relay_silence_record(&silence, "10.0.0.1", 1000);
    ck_assert(relay_silence_contains(&silence, "10.0.0.1", 500000));
    ck_assert(!relay_silence_contains(&silence, "10.0.0.2", 500000));
    ck_assert(!relay_silence_contains(&silence, "10.0.0.1", 10000000));
    relay_silence_record(&silence, "10.0.0.1", 10000000);
    relay_silence_clear(&silence, "10.0.0.1");
    ck_assert(!relay_silence_contains(&silence, "10.0.0.1", 10000001));
}
END_TEST

// Guards against a table that loses the newest silence when it is full.
START_TEST(test_full_table_keeps_the_newest)
{
    struct relay_silence silence = {0};
    char host[CK_HOST_SIZE + 1];

    for (int i = 0; i < 2 * RELAY_SILENCE_MAX_HOSTS; i++) {
        (void)snprintf(host, sizeof(host), "10.0.0.%d", i);
        relay_silence_record(&silence, host, 1000 + i);
    }
    for (int i = RELAY_SILENCE_MAX_HOSTS; i < 2 * RELAY_SILENCE_MAX_HOSTS;
         i++) {
        (void)snprintf(host, sizeof(host), "10.0.0.%d", i);
        ck_assert(relay_silence_contains(&silence, host, 2000));
    }
}
END_TEST

static void
add_tests(TCase *tests)
{
    tcase_add_test(tests, test_silence_is_known_for_a_while);
    tcase_add_test(tests, test_full_table_keeps_the_newest);
}

TEST_MAIN("relay_silence", add_tests)
