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
// Posted tasks that are left after this time run in the next iteration, so
// that many of them do not hold up timers and watches.
#define LOOP_TASKS_LIMIT_US 10000

struct loop_task {
    loop_task_fn run;
    loop_task_fn discard; // or NULL
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
    bool destroyed;
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
    struct loop_task *due_tasks; // taken from the posted ones, not run yet
    struct loop_timer **heap;
    size_t heap_size;
    size_t heap_capacity;
    struct loop_watch *destroyed_watches;
    loop_task_fn iteration_end_task;
    void *iteration_end_data;
    loop_iteration_fn observe_iteration;
    void *observe_data;
    int64_t now_us;
    bool stopping;
};

// Returns the monotonic clock in microseconds. The clock includes time during
// which the VM is suspended, so that a lease which expires during the
// suspension is expired when the VM resumes.
int64_t
monotonic_get_us(void)
{
    struct timespec now;

    clock_gettime(CLOCK_BOOTTIME, &now);
    return (int64_t)now.tv_sec * LOOP_US_PER_SECOND +
           now.tv_nsec / LOOP_NS_PER_US;
}

// Returns the wall clock in microseconds since the Unix epoch.
int64_t
walltime_get_us(void)
{
    struct timespec now;

    clock_gettime(CLOCK_REALTIME, &now);
    return (int64_t)now.tv_sec * LOOP_US_PER_SECOND +
           now.tv_nsec / LOOP_NS_PER_US;
}

// Creates a loop. apr_initialize must have been called before. Returns NULL if
// no pollset can be created.
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

// Takes all posted tasks from the loop, as a list in the order of the posts.
static struct loop_task *
loop_take_tasks(struct loop *loop)
{
    pthread_mutex_lock(&loop->tasks_mutex);
    struct loop_task *task = loop->tasks_head;
    loop->tasks_head = NULL;
    loop->tasks_tail = &loop->tasks_head;
    pthread_mutex_unlock(&loop->tasks_mutex);
    return task;
}

// Discards a list of tasks, which will not run.
static void
loop_discard_tasks(struct loop_task *task)
{
    while (task != NULL) {
        struct loop_task *next = task->next;
        if (task->discard != NULL) {
            task->discard(task->data);
        }
        free(task);
        task = next;
    }
}

// Frees the loop. All its watches and timers must have been destroyed, and the
// other threads that post to it must have ended. Posted tasks that have not
// run are discarded, and so is what a discard function posts.
void
loop_destroy(struct loop *loop)
{
    loop_discard_tasks(loop->due_tasks);
    while (loop->tasks_head != NULL) {
        loop_discard_tasks(loop_take_tasks(loop));
    }
    loop_free_destroyed_watches(loop);
    pthread_mutex_destroy(&loop->tasks_mutex);
    apr_pollset_destroy(loop->pollset);
    apr_pool_destroy(loop->pool);
    free(loop->heap);
    free(loop);
}

// Queues task(data) to run once on the loop's thread, after the tasks posted
// before. If the loop is destroyed before that, discard(data) is called there
// instead. Thread-safe.
void
loop_post(struct loop *loop, loop_task_fn task, loop_task_fn discard,
          void *data)
{
    struct loop_task *item = xcalloc(1, sizeof(*item));

    item->run = task;
    item->discard = discard;
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

// Posts a task that makes loop_run return at the end of the iteration in which
// the task runs. Thread-safe.
void
loop_stop(struct loop *loop)
{
    loop_post(loop, loop_mark_stopping, NULL, loop);
}

// Sets a task that runs at the end of each loop iteration, for work that is
// batched over an iteration. A NULL task removes it.
void
loop_set_iteration_end_task(struct loop *loop, loop_task_fn task, void *data)
{
    loop->iteration_end_task = task;
    loop->iteration_end_data = data;
}

// Sets a function that gets the duration of each loop iteration. NULL removes
// it.
void
loop_set_iteration_observer(struct loop *loop, loop_iteration_fn observe,
                            void *data)
{
    loop->observe_iteration = observe;
    loop->observe_data = data;
}

// Returns the monotonic time in microseconds at which the current loop
// iteration began to handle events.
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
loop_heap_sift_up(struct loop *loop, size_t index)
{
    while (index > 0) {
        size_t parent = (index - 1) / 2;
        if (loop->heap[parent]->at_us <= loop->heap[index]->at_us) {
            return;
        }
        loop_heap_swap(loop, parent, index);
        index = parent;
    }
}

static void
loop_heap_sift_down(struct loop *loop, size_t index)
{
    for (;;) {
        size_t least = index;
        for (size_t child = 2 * index + 1; child <= 2 * index + 2; child++) {
            if (child < loop->heap_size &&
                loop->heap[child]->at_us < loop->heap[least]->at_us) {
                least = child;
            }
        }
        if (least == index) {
            return;
        }
        loop_heap_swap(loop, least, index);
        index = least;
    }
}

// Creates an unset timer. Each time the timer is set and expires, the loop
// calls callback(data) once.
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

// Sets the timer to expire at at_us of the monotonic clock, replacing an
// earlier expiry time.
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

// Cancels the timer, which may be set again. No effect on an unset timer.
void
loop_timer_clear(struct loop_timer *timer)
{
    struct loop *loop = timer->loop;
    size_t index = timer->heap_index;

    if (index == LOOP_TIMER_NOT_SET) {
        return;
    }
    size_t last = loop->heap_size - 1;
    if (index != last) {
        loop_heap_swap(loop, index, last);
    }
    loop->heap_size = last;
    timer->heap_index = LOOP_TIMER_NOT_SET;
    if (index < loop->heap_size) {
        loop_heap_sift_up(loop, index);
        loop_heap_sift_down(loop, index);
    }
}

// Cancels and frees the timer. NULL is ignored.
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

// Watches a file descriptor for events, a set of LOOP_READ and LOOP_WRITE that
// may be empty. LOOP_ERROR is always reported. Returns NULL if the pollset
// cannot add the descriptor.
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

// Changes the set of events that a watch reports.
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

// Removes a watch. Must be called before the file descriptor is closed, and
// may be called from inside a callback: the memory is freed at the end of the
// iteration, because polled events may still refer to the watch. NULL is
// ignored.
void
loop_watch_destroy(struct loop_watch *watch)
{
    if (watch == NULL) {
        return;
    }
    struct loop *loop = watch->loop;
    apr_pollset_remove(loop->pollset, &watch->pollfd);
    watch->destroyed = true;
    watch->next_destroyed = loop->destroyed_watches;
    loop->destroyed_watches = watch;
}

// Runs the posted tasks in order. Those that are left after
// LOOP_TASKS_LIMIT_US stay due.
static void
loop_run_tasks(struct loop *loop)
{
    if (loop->due_tasks == NULL) {
        loop->due_tasks = loop_take_tasks(loop);
    }
    if (loop->due_tasks == NULL) {
        return;
    }
    int64_t until_us = monotonic_get_us() + LOOP_TASKS_LIMIT_US;
    while (loop->due_tasks != NULL) {
        struct loop_task *task = loop->due_tasks;
        loop->due_tasks = task->next;
        task->run(task->data);
        free(task);
        if (loop->due_tasks != NULL && monotonic_get_us() >= until_us) {
            return;
        }
    }
}

static void
loop_run_timers(struct loop *loop)
{
    // The limit defers timers that callbacks set to the current time to the
    // next iteration, so that they cannot keep this function from returning.
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
    if (loop->due_tasks != NULL) {
        return 0;
    }
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

    if (watch->destroyed) {
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

// Runs the loop until loop_stop is called.
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
        if (loop->iteration_end_task != NULL) {
            loop->iteration_end_task(loop->iteration_end_data);
        }
        loop_free_destroyed_watches(loop);
        if (loop->observe_iteration != NULL) {
            loop->observe_iteration(loop->observe_data,
                                    monotonic_get_us() - loop->now_us);
        }
    }
}
