#include "catkingrade/kernel/counters.h"

#include <inttypes.h>
#include <pthread.h>
#include <stdatomic.h>

#include "catkingrade/kernel/memory.h"

struct counter_row {
    const char *name;
    const char *help;
};

static const struct counter_row counter_rows[] = {
#define COUNTER_ROW(name, text, help) [COUNTER_##name] = {text, help},
    COUNTER_LIST(COUNTER_ROW)
#undef COUNTER_ROW
};

// The counters of one thread. Blocks are never freed: what a thread that has
// ended counted must stay in the sums.
struct counter_block {
    _Atomic uint64_t values[COUNTER_COUNT];
    struct counter_block *next;
};

static pthread_mutex_t counter_mutex = PTHREAD_MUTEX_INITIALIZER;
static struct counter_block *counter_blocks;
static _Thread_local struct counter_block *counter_thread_block;

static struct counter_block *
counter_create_block(void)
{
    struct counter_block *block = xcalloc(1, sizeof(*block));

    pthread_mutex_lock(&counter_mutex);
    block->next = counter_blocks;
    counter_blocks = block;
    pthread_mutex_unlock(&counter_mutex);
    return block;
}

// Adds to a counter of this thread.
void
counter_add(enum counter counter, uint64_t amount)
{
    if (counter_thread_block == NULL) {
        counter_thread_block = counter_create_block();
    }
    uint64_t value = atomic_load_explicit(
        &counter_thread_block->values[counter], memory_order_relaxed);
    atomic_store_explicit(&counter_thread_block->values[counter],
                          value + amount, memory_order_relaxed);
}

// Returns the sum of a counter over all threads.
uint64_t
counter_get(enum counter counter)
{
    uint64_t sum = 0;

    pthread_mutex_lock(&counter_mutex);
    for (struct counter_block *b = counter_blocks; b != NULL; b = b->next) {
        sum += atomic_load_explicit(&b->values[counter], memory_order_relaxed);
    }
    pthread_mutex_unlock(&counter_mutex);
    return sum;
}

// Returns the counter's name without the catkingrade_ prefix.
const char *
counter_get_name(enum counter counter)
{
    return counter_rows[counter].name;
}

// Returns the counter's help text.
const char *
counter_get_help(enum counter counter)
{
    return counter_rows[counter].help;
}

// Appends all counters in the Prometheus text format.
void
counter_append_prometheus(struct buffer *text)
{
    for (int i = 0; i < COUNTER_COUNT; i++) {
        const struct counter_row *row = &counter_rows[i];
        buffer_append_format(text,
                             "# HELP catkingrade_%s %s\n"
                             "# TYPE catkingrade_%s counter\n"
                             "catkingrade_%s %" PRIu64 "\n",
                             row->name, row->help, row->name, row->name,
                             counter_get((enum counter)i));
    }
}
