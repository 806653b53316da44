#include "catkingrade/kernel/loop.h"

#include <apr_general.h>
#include <stddef.h>

#include "test/suite.h"

// What a posted task does in a test, and how it has ended.
struct post {
    struct loop *loop;
    struct post *next; // posted by the task or by its discard function
    unsigned runs;
    unsigned discards;
};

static void post_next(struct post *post);

static void
run_post(void *data)
{
    struct post *post = data;

    post->runs++;
    post_next(post);
}

static void
discard_post(void *data)
{
    struct post *post = data;

    post->discards++;
    post_next(post);
}

static void
post_next(struct post *post)
{
    if (post->next != NULL) {
        loop_post(post->loop, run_post, discard_post, post->next);
    }
}

static void
assert_ends(const struct post *post, unsigned runs, unsigned discards)
{
    ck_assert_uint_eq(post->runs, runs);
    ck_assert_uint_eq(post->discards, discards);
}

START_TEST(test_post_after_last_turn_is_discarded_once)
{
    apr_initialize();
    struct loop *loop = loop_create();
    struct post before = {.loop = loop};
    struct post after = {.loop = loop};

    loop_post(loop, run_post, discard_post, &before);
    loop_stop(loop);
    loop_run(loop);
    loop_post(loop, run_post, discard_post, &after);
    loop_post(loop, run_post, NULL, &after);
    assert_ends(&after, 0, 0);
    loop_destroy(loop);
    assert_ends(&before, 1, 0);
    assert_ends(&after, 0, 1);
}
END_TEST

START_TEST(test_post_of_last_turn_is_discarded_once)
{
    apr_initialize();
    struct loop *loop = loop_create();
    struct post third = {.loop = loop};
    struct post second = {.loop = loop, .next = &third};
    struct post first = {.loop = loop, .next = &second};

    loop_stop(loop);
    loop_post(loop, run_post, discard_post, &first);
    loop_run(loop);
    loop_destroy(loop);
    assert_ends(&first, 1, 0);
    assert_ends(&second, 0, 1);
    assert_ends(&third, 0, 1);
}
END_TEST

START_TEST(test_post_left_by_one_run_runs_in_the_next)
{
    apr_initialize();
    struct loop *loop = loop_create();
    struct post second = {.loop = loop};
    struct post first = {.loop = loop, .next = &second};

    loop_stop(loop);
    loop_post(loop, run_post, discard_post, &first);
    loop_run(loop);
    loop_stop(loop);
    loop_run(loop);
    loop_destroy(loop);
    assert_ends(&first, 1, 0);
    assert_ends(&second, 1, 0);
}
END_TEST

static void
add_tests(TCase *tests)
{
    tcase_add_test(tests, test_post_after_last_turn_is_discarded_once);
    tcase_add_test(tests, test_post_of_last_turn_is_discarded_once);
    tcase_add_test(tests, test_post_left_by_one_run_runs_in_the_next);
}

TEST_MAIN("loop", add_tests)
