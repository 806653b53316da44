#include "catkingrade/kernel/loop.h"

#include <apr_general.h>
#include <apr_poll.h>
#include <apr_portable.h>
#include <pthread.h>
#include <stddef.h>
#include <stdlib.h>
#include <time.h>

#include "catkingrade/kernel/memory.h"

#define LOOP_MAX_FDS       65536
#define LOOP_MAX_WAIT_US   1000000
#define LOOP_TIMER_NOT_SET SIZE_MAX
#define LOOP_US_PER_SECOND 1000000
#define LOOP_NS_PER_US     1000

struct loop_task {
    loop_task_fn run;
    void *data;
    struct loop_task *next;
};

struct loop_watch {
    struct loop *loop;
    apr_pool_t *pool;
    apr_pollfd_t pollfd;
    loop_watch_fn callback;
    void *data;
    unsigned events;
    bool dead;
    struct loop_watch *next_destroyed;
};

struct loop_timer {
    struct loop *loop;
    loop_task_fn callback;
    void *data;
    int64_t at_us;
    size_t heap_index;
};

struct loop {
    apr_pool_t *pool;
    apr_pollset_t *pollset;
    pthread_mutex_t tasks_mutex;
    struct loop_task *tasks_head;
    struct loop_task **tasks_tail;
    struct loop_timer **heap;
    size_t heap_size;
    size_t heap_capacity;
    struct loop_watch *destroyed_watches;
    loop_task_fn after;
    void *iteration_end_data;
    int64_t now_us;
    bool stopping;
};

// Returns the monotonic clock in microseconds. It counts the time that the VM
// is suspended, so that a lease that ended meanwhile has ended.
int64_t
monotonic_get_us(void)
{
    struct timespec now;

    clock_gettime(CLOCK_BOOTTIME, &now);
    return (int64_t)now.tv_sec * LOOP_US_PER_SECOND +
           now.tv_nsec / LOOP_NS_PER_US;
}

// Returns the wall clock in microseconds since 1970.
int64_t
walltime_get_us(void)
{
    struct timespec now;

    clock_gettime(CLOCK_REALTIME, &now);
    return (int64_t)now.tv_sec * LOOP_US_PER_SECOND +
           now.tv_nsec / LOOP_NS_PER_US;
}

// Creates a loop; apr_initialize must have been called. Returns NULL when the
// system gives no pollset.
struct loop *
loop_create(void)
{
    struct loop *loop = xcalloc(1, sizeof(*loop));

    if (apr_pool_create(&loop->pool, NULL) != APR_SUCCESS) {
        free(loop);
        return NULL;
    }
    if (apr_pollset_create(&loop->pollset, LOOP_MAX_FDS, loop->pool,
                           APR_POLLSET_WAKEABLE | APR_POLLSET_NOCOPY) !=
        APR_SUCCESS) {
        apr_pool_destroy(loop->pool);
        free(loop);
        return NULL;
    }
    pthread_mutex_init(&loop->tasks_mutex, NULL);
    loop->tasks_tail = &loop->tasks_head;
    loop->now_us = monotonic_get_us();
    return loop;
}

static void
loop_free_destroyed_watches(struct loop *loop)
{
    while (loop->destroyed_watches != NULL) {
        struct loop_watch *watch = loop->destroyed_watches;
        loop->destroyed_watches = watch->next_destroyed;
        apr_pool_destroy(watch->pool);
        free(watch);
    }
}

// Frees the loop. Its watches and timers must have been destroyed; tasks that
// were never run are dropped.
void
loop_destroy(struct loop *loop)
{
    loop_free_destroyed_watches(loop);
    while (loop->tasks_head != NULL) {
        struct loop_task *task = loop->tasks_head;
        loop->tasks_head = task->next;
        free(task);
    }
    pthread_mutex_destroy(&loop->tasks_mutex);
    apr_pollset_destroy(loop->pollset);
    apr_pool_destroy(loop->pool);
    free(loop->heap);
    free(loop);
}

// Runs task(data) on the loop's thread soon. May be called from any thread.
void
loop_post(struct loop *loop, loop_task_fn task, void *data)
{
    struct loop_task *item = xcalloc(1, sizeof(*item));

    item->run = task;
    item->data = data;
    pthread_mutex_lock(&loop->tasks_mutex);
    *loop->tasks_tail = item;
    loop->tasks_tail = &item->next;
    pthread_mutex_unlock(&loop->tasks_mutex);
    apr_pollset_wakeup(loop->pollset);
}

static void
loop_mark_stopping(void *data)
{
    struct loop *loop = data;

    loop->stopping = true;
}

// Makes loop_run return after its present turn. May be called from any thread.
void
loop_stop(struct loop *loop)
{
    loop_post(loop, loop_mark_stopping, loop);
}

// Sets a function that runs at the end of each turn, for batched work.
void
loop_set_iteration_end_task(struct loop *loop, loop_task_fn task, void *data)
{
    loop->after = task;
    loop->iteration_end_data = data;
}

// Returns the monotonic time at the start of this turn, in microseconds.
int64_t
loop_get_now_us(const struct loop *loop)
{
    return loop->now_us;
}

static void
loop_heap_swap(struct loop *loop, size_t a, size_t b)
{
    struct loop_timer *timer = loop->heap[a];

    loop->heap[a] = loop->heap[b];
    loop->heap[b] = timer;
    loop->heap[a]->heap_index = a;
    loop->heap[b]->heap_index = b;
}

static void
loop_heap_sift_up(struct loop *loop, size_t place)
{
    while (place > 0) {
        size_t parent = (place - 1) / 2;
        if (loop->heap[parent]->at_us <= loop->heap[place]->at_us) {
            return;
        }
        loop_heap_swap(loop, parent, place);
        place = parent;
    }
}

static void
loop_heap_sift_down(struct loop *loop, size_t place)
{
    for (;;) {
        size_t least = place;
        for (size_t child = 2 * place + 1; child <= 2 * place + 2; child++) {
            if (child < loop->heap_size &&
                loop->heap[child]->at_us < loop->heap[least]->at_us) {
                least = child;
            }
        }
        if (least == place) {
            return;
        }
        loop_heap_swap(loop, least, place);
        place = least;
    }
}

// Creates a timer that is not set. It calls callback(data) once each time it
// was set and its moment has come.
struct loop_timer *
loop_timer_create(struct loop *loop, loop_task_fn callback, void *data)
{
    struct loop_timer *timer = xcalloc(1, sizeof(*timer));

    timer->loop = loop;
    timer->callback = callback;
    timer->data = data;
    timer->heap_index = LOOP_TIMER_NOT_SET;
    return timer;
}

// Sets or moves the timer to a moment of the monotonic clock.
void
loop_timer_set(struct loop_timer *timer, int64_t at_us)
{
    struct loop *loop = timer->loop;

    loop_timer_clear(timer);
    if (loop->heap_size == loop->heap_capacity) {
        loop->heap_capacity = loop->heap_capacity * 2 + 16;
        loop->heap =
            xrealloc(loop->heap, loop->heap_capacity * sizeof(*loop->heap));
    }
    timer->at_us = at_us;
    timer->heap_index = loop->heap_size;
    loop->heap[loop->heap_size++] = timer;
    loop_heap_sift_up(loop, timer->heap_index);
}

// Unsets the timer; it may be set again.
void
loop_timer_clear(struct loop_timer *timer)
{
    struct loop *loop = timer->loop;
    size_t place = timer->heap_index;

    if (place == LOOP_TIMER_NOT_SET) {
        return;
    }
    size_t last = loop->heap_size - 1;
    if (place != last) {
        loop_heap_swap(loop, place, last);
    }
    loop->heap_size = last;
    timer->heap_index = LOOP_TIMER_NOT_SET;
    if (place < loop->heap_size) {
        loop_heap_sift_up(loop, place);
        loop_heap_sift_down(loop, place);
    }
}

// Unsets and frees the timer; NULL is ignored.
void
loop_timer_destroy(struct loop_timer *timer)
{
    if (timer == NULL) {
        return;
    }
    loop_timer_clear(timer);
    free(timer);
}

static apr_int16_t
loop_get_poll_events(unsigned events)
{
    apr_int16_t poll_events = 0;

    if ((events & LOOP_READ) != 0) {
        poll_events |= APR_POLLIN;
    }
    if ((events & LOOP_WRITE) != 0) {
        poll_events |= APR_POLLOUT;
    }
    return poll_events;
}

// Watches a file descriptor. events may be 0; errors are always reported.
// Returns NULL when the pollset takes no more.
struct loop_watch *
loop_watch_create(struct loop *loop, int fd, unsigned events,
                  loop_watch_fn callback, void *data)
{
    struct loop_watch *watch = xcalloc(1, sizeof(*watch));
    apr_os_sock_t os_socket = fd;

    watch->loop = loop;
    watch->callback = callback;
    watch->data = data;
    watch->events = events;
    if (apr_pool_create(&watch->pool, NULL) != APR_SUCCESS) {
        free(watch);
        return NULL;
    }
    watch->pollfd.desc_type = APR_POLL_SOCKET;
    watch->pollfd.p = watch->pool;
    watch->pollfd.reqevents = loop_get_poll_events(events);
    watch->pollfd.client_data = watch;
    apr_os_sock_put(&watch->pollfd.desc.s, &os_socket, watch->pool);
    if (apr_pollset_add(loop->pollset, &watch->pollfd) != APR_SUCCESS) {
        apr_pool_destroy(watch->pool);
        free(watch);
        return NULL;
    }
    return watch;
}

// Changes the events that a watch reports.
void
loop_watch_set_events(struct loop_watch *watch, unsigned events)
{
    if (watch->events == events) {
        return;
    }
    apr_pollset_remove(watch->loop->pollset, &watch->pollfd);
    watch->events = events;
    watch->pollfd.reqevents = loop_get_poll_events(events);
    apr_status_t status =
        apr_pollset_add(watch->loop->pollset, &watch->pollfd);
    INVARIANT(status == APR_SUCCESS);
}

// Ends a watch, also from inside a callback; call it before the descriptor
// is closed. NULL is ignored.
void
loop_watch_destroy(struct loop_watch *watch)
{
    if (watch == NULL) {
        return;
    }
    struct loop *loop = watch->loop;
    apr_pollset_remove(loop->pollset, &watch->pollfd);
    watch->dead = true;
    watch->next_destroyed = loop->destroyed_watches;
    loop->destroyed_watches = watch;
}

static void
loop_run_tasks(struct loop *loop)
{
    pthread_mutex_lock(&loop->tasks_mutex);
    struct loop_task *task = loop->tasks_head;
    loop->tasks_head = NULL;
    loop->tasks_tail = &loop->tasks_head;
    pthread_mutex_unlock(&loop->tasks_mutex);
    while (task != NULL) {
        struct loop_task *next = task->next;
        task->run(task->data);
        free(task);
        task = next;
    }
}

static void
loop_run_timers(struct loop *loop)
{
    // A callback may set its timer to now again: that one runs next turn.
    size_t limit = loop->heap_size;

    while (limit > 0 && loop->heap_size > 0 &&
           loop->heap[0]->at_us <= loop->now_us) {
        struct loop_timer *timer = loop->heap[0];
        loop_timer_clear(timer);
        timer->callback(timer->data);
        limit--;
    }
}

static int64_t
loop_get_wait_us(const struct loop *loop)
{
    if (loop->heap_size == 0) {
        return LOOP_MAX_WAIT_US;
    }
    int64_t wait_us = loop->heap[0]->at_us - monotonic_get_us();
    if (wait_us < 0) {
        return 0;
    }
    return wait_us < LOOP_MAX_WAIT_US ? wait_us : LOOP_MAX_WAIT_US;
}

static void
loop_run_watch(const apr_pollfd_t *ready)
{
    struct loop_watch *watch = ready->client_data;
    unsigned events = 0;

    if (watch->dead) {
        return;
    }
    if ((ready->rtnevents & APR_POLLIN) != 0) {
        events |= LOOP_READ;
    }
    if ((ready->rtnevents & APR_POLLOUT) != 0) {
        events |= LOOP_WRITE;
    }
    if ((ready->rtnevents & (APR_POLLERR | APR_POLLHUP | APR_POLLNVAL)) != 0) {
        events |= LOOP_ERROR;
    }
    watch->callback(watch->data, events);
}

// Runs the loop until loop_stop.
void
loop_run(struct loop *loop)
{
    loop->stopping = false;
    while (!loop->stopping) {
        apr_int32_t count = 0;
        const apr_pollfd_t *ready = NULL;
        apr_status_t status = apr_pollset_poll(
            loop->pollset, loop_get_wait_us(loop), &count, &ready);
        loop->now_us = monotonic_get_us();
        for (apr_int32_t i = 0; status == APR_SUCCESS && i < count; i++) {
            loop_run_watch(&ready[i]);
        }
        loop_run_tasks(loop);
        loop_run_timers(loop);
        if (loop->after != NULL) {
            loop->after(loop->iteration_end_data);
        }
        loop_free_destroyed_watches(loop);
    }
}
