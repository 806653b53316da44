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

#define SLOW_POSTS     40
#define SLOW_POST_US   1000
#define SLOW_MAX_DELAY 20 // slow posts that may run before a timer that is due

// Slow posts, such as calls of an HTTP server, and a timer that is due.
struct slow_posts {
    struct loop *loop;
    unsigned runs;
    unsigned runs_before_timer;
};

static void
run_slow_post(void *data)
{
    struct slow_posts *posts = data;
    int64_t until_us = monotonic_get_us() + SLOW_POST_US;

    while (monotonic_get_us() < until_us) {
    }
    posts->runs++;
    if (posts->runs == SLOW_POSTS) {
        loop_stop(posts->loop);
    }
}

static void
handle_slow_timer(void *data)
{
    struct slow_posts *posts = data;

    posts->runs_before_timer = posts->runs;
}

// A leader whose heartbeat waits for all calls of a flood loses its role.
START_TEST(test_timer_passes_a_flood_of_posts)
{
    apr_initialize();
    struct loop *loop = loop_create();
    struct slow_posts posts = {.loop = loop};
    struct loop_timer *timer =
        loop_timer_create(loop, handle_slow_timer, &posts);

    for (int i = 0; i < SLOW_POSTS; i++) {
        loop_post(loop, run_slow_post, NULL, &posts);
    }
    loop_timer_set(timer, monotonic_get_us() + SLOW_POST_US);
    loop_run(loop);
    ck_assert_uint_eq(posts.runs, SLOW_POSTS);
    ck_assert_uint_gt(posts.runs_before_timer, 0);
    ck_assert_uint_le(posts.runs_before_timer, SLOW_MAX_DELAY);
    loop_timer_destroy(timer);
    loop_destroy(loop);
}
END_TEST

START_TEST(test_posts_of_a_flood_are_discarded_once)
{
    apr_initialize();
    struct loop *loop = loop_create();
    struct slow_posts posts = {.loop = loop};
    struct post after = {.loop = loop};

    for (int i = 0; i < SLOW_POSTS - 1; i++) {
        loop_post(loop, run_slow_post, NULL, &posts);
    }
    loop_post(loop, run_post, discard_post, &after);
    loop_stop(loop);
    loop_run(loop);
    loop_destroy(loop);
    ck_assert_uint_eq(after.runs + after.discards, 1);
}
END_TEST

static void
add_tests(TCase *tests)
{
    tcase_add_test(tests, test_post_after_last_turn_is_discarded_once);
    tcase_add_test(tests, test_post_of_last_turn_is_discarded_once);
    tcase_add_test(tests, test_post_left_by_one_run_runs_in_the_next);
    tcase_add_test(tests, test_timer_passes_a_flood_of_posts);
    tcase_add_test(tests, test_posts_of_a_flood_are_discarded_once);
}

TEST_MAIN("loop", add_tests)
