#ifndef CATKINGRADE_KERNEL_LOOP_H
#define CATKINGRADE_KERNEL_LOOP_H

#include <stdbool.h>
#include <stdint.h>

// A single-threaded event loop with file descriptor watches, timers and posted
// tasks, based on apr_pollset. All functions except loop_post and loop_stop
// must be called on the loop's own thread.
struct loop;

enum loop_events {
    LOOP_READ = 1,
    LOOP_WRITE = 2,
    LOOP_ERROR = 4,
};

struct loop_watch;
struct loop_timer;

// Gets the duration of an iteration of the loop, without its wait for events.
typedef void (*loop_iteration_fn)(void *data, int64_t duration_us);
typedef void (*loop_watch_fn)(void *data, unsigned events);
typedef void (*loop_task_fn)(void *data);

struct loop *loop_create(void);
void loop_destroy(struct loop *loop);
void loop_run(struct loop *loop);
void loop_stop(struct loop *loop);
// Each posted task ends in one call: task(data) on the loop's thread, or
// discard(data) in loop_destroy if the loop has ended before the task. discard
// frees what data owns and must not use what the task would have used, which
// may be freed by then; NULL: data owns nothing.
void loop_post(struct loop *loop, loop_task_fn task, loop_task_fn discard,
               void *data);
void loop_set_iteration_end_task(struct loop *loop, loop_task_fn task,
                                 void *data);
void loop_set_iteration_observer(struct loop *loop, loop_iteration_fn observe,
                                 void *data);

struct loop_watch *loop_watch_create(struct loop *loop, int fd,
                                     unsigned events, loop_watch_fn callback,
                                     void *data);
void loop_watch_set_events(struct loop_watch *watch, unsigned events);
void loop_watch_destroy(struct loop_watch *watch);

struct loop_timer *loop_timer_create(struct loop *loop, loop_task_fn callback,
                                     void *data);
void loop_timer_set(struct loop_timer *timer, int64_t at_us);
void loop_timer_clear(struct loop_timer *timer);
void loop_timer_destroy(struct loop_timer *timer);

int64_t loop_get_now_us(const struct loop *loop);

// Current time, read from the system clock at each call.
int64_t monotonic_get_us(void);
int64_t walltime_get_us(void);

#endif
