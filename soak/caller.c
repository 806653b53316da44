#include "soak/caller.h"

#include <inttypes.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "catkingrade/decide/random.h"
#include "catkingrade/kernel/loop.h"
#include "catkingrade/kernel/memory.h"
#include "test/rig/platform_rig.h"

#define CALLER_MAX_VALUES   8192
#define CALLER_MAX_PAUSE_US 30000
#define CALLER_LINE_SIZE    128
// As the configuration allows on the route of own saves.
#define CALLER_MAX_STALENESS_US 2500000

// What a caller was told of a value that it saved.
enum caller_save_outcome {
    CALLER_UNSENT,
    CALLER_SAVED,
    CALLER_NOT_RUN,
    CALLER_UNKNOWN,
};

struct caller {
    struct callers *callers;
    pthread_t thread;
    int number;
    uint64_t random;
    int fd;            // of its session; -1: none
    int kept;          // operations that this session still lives for
    bool current;      // it is on the route of the primary
    int session_saved; // newest value that it has saved
    int64_t saved_us[CALLER_MAX_VALUES];
    enum caller_save_outcome fates[CALLER_MAX_VALUES];
    int last;  // newest value tried
    int saved; // newest value acknowledged
};

struct callers {
    pthread_mutex_t mutex; // of faults
    volatile bool stopping;
    struct caller *items;
    int count;
    struct buffer faults;
};

static void
caller_record_failure(struct caller *caller, const char *what,
                      const char *detail)
{
    struct callers *callers = caller->callers;

    pthread_mutex_lock(&callers->mutex);
    buffer_append_format(&callers->faults, "caller %d: %s: %s\n",
                         caller->number, what, detail);
    pthread_mutex_unlock(&callers->mutex);
}

static void
caller_disconnect(struct caller *caller)
{
    if (caller->fd >= 0) {
        (void)close(caller->fd);
    }
    caller->fd = -1;
}

// Opens a session on some entry, by the route of own saves or of the primary.
static bool
caller_ensure_session(struct caller *caller)
{
    static const char *const startups[] = {"STARTUP own u1",
                                           "STARTUP current u1"};
    uint32_t entry =
        random_below(&caller->random, (uint32_t)rig.entries_count);

    if (caller->fd >= 0 && caller->kept-- > 0) {
        return true;
    }
    caller_disconnect(caller);
    caller->fd = platform_connect(rig.caller_ports[entry]);
    if (caller->fd < 0) {
        return false;
    }
    caller->current = random_below(&caller->random, 2) == 1;
    caller->session_saved = 0;
    char *text =
        platform_send_request(caller->fd, startups[caller->current ? 1 : 0]);
    bool ready = text != NULL && strncmp(text, "READY", 5) == 0;
    free(text);
    if (!ready) {
        caller_disconnect(caller);
    }
    caller->kept = (int)random_below(&caller->random, 100);
    return ready;
}

static bool
caller_starts_with(const char *text, const char *part)
{
    return text != NULL && strncmp(text, part, strlen(part)) == 0;
}

// Returns whether an answer promises that nothing of the operation is kept.
static bool
caller_is_not_run_answer(const char *text)
{
    return caller_starts_with(text, "ERROR BUSY") ||
           caller_starts_with(text, "ERROR ABORTED") ||
           caller_starts_with(text, "ERROR LAGGING") ||
           caller_starts_with(text, "ERROR NODB");
}

static void
caller_set_outcome(struct caller *caller, int value,
                   enum caller_save_outcome fate)
{
    caller->fates[value] = fate;
    if (fate == CALLER_SAVED) {
        caller->saved = caller->session_saved = value;
        caller->saved_us[value] = monotonic_get_us();
    }
}

// Takes the answer that ends a save: of the single one, or of its commit.
static void
caller_record_save(struct caller *caller, int value, const char *text)
{
    if (caller_starts_with(text, "COMPLETE")) {
        caller_set_outcome(caller, value, CALLER_SAVED);
        return;
    }
    caller_set_outcome(caller, value,
                       caller_is_not_run_answer(text) ? CALLER_NOT_RUN
                                                      : CALLER_UNKNOWN);
    caller_disconnect(caller);
}

static void
caller_save(struct caller *caller)
{
    char line[CALLER_LINE_SIZE];

    if (caller->last + 1 == CALLER_MAX_VALUES) {
        return;
    }
    int value = ++caller->last;
    (void)snprintf(line, sizeof(line), "QUERY s%dn%d WRITE k%d v%dn%d",
                   caller->number, value, caller->number, caller->number,
                   value);
    char *text = platform_send_request(caller->fd, line);
    caller_record_save(caller, value, text);
    free(text);
}

// Saves in a transaction, which is committed, rolled back or left.
static void
caller_save_in_transaction(struct caller *caller)
{
    char line[CALLER_LINE_SIZE];
    uint32_t end = random_below(&caller->random, 10);

    if (caller->last + 1 == CALLER_MAX_VALUES) {
        return;
    }
    int value = ++caller->last;
    free(platform_send_request(caller->fd, "QUERY b BEGIN"));
    (void)snprintf(line, sizeof(line), "QUERY t%dn%d WRITE k%d v%dn%d",
                   caller->number, value, caller->number, caller->number,
                   value);
    char *text = platform_send_request(caller->fd, line);
    bool runs = caller_starts_with(text, "COMPLETE");
    free(text);
    if (!runs || end == 0) {
        // It has not been committed, and never will be.
        caller_set_outcome(caller, value, CALLER_NOT_RUN);
        caller_disconnect(caller);
        return;
    }
    if (end == 1) {
        caller_set_outcome(caller, value, CALLER_NOT_RUN);
        text = platform_send_request(caller->fd, "QUERY r ROLLBACK");
        if (!caller_starts_with(text, "COMPLETE")) {
            caller_disconnect(caller);
        }
        free(text);
        return;
    }
    text = platform_send_request(caller->fd, "QUERY c COMMIT");
    caller_record_save(caller, value, text);
    free(text);
}

// Returns the newest value that a read which begins now must not miss: any on
// the primary's route; on the other what its session has saved, and what was
// saved longer ago than a read may be old.
static int
caller_get_min_value(const struct caller *caller)
{
    int64_t limit_us = monotonic_get_us() - CALLER_MAX_STALENESS_US;
    int value = caller->saved;

    if (caller->current) {
        return value;
    }
    while (value > caller->session_saved &&
           (caller->fates[value] != CALLER_SAVED ||
            caller->saved_us[value] > limit_us)) {
        value--;
    }
    return value;
}

// Reads the caller's key, and checks that what must be there is. A save of
// unknown outcome may have come in between.
static void
caller_read(struct caller *caller)
{
    char line[CALLER_LINE_SIZE];
    int number = 0;
    int value = 0;
    int required = caller_get_min_value(caller);

    (void)snprintf(line, sizeof(line), "QUERY q%d READ k%d", caller->number,
                   caller->number);
    char *text = platform_send_request(caller->fd, line);
    if (!caller_starts_with(text, "DATAROW")) {
        free(text);
        caller_disconnect(caller);
        return;
    }
    bool known = sscanf(text, "DATAROW v%dn%d", &number, &value) == 2 &&
                 number == caller->number && value > 0 &&
                 value < CALLER_MAX_VALUES;
    if (known && caller->fates[value] == CALLER_NOT_RUN) {
        caller_record_failure(caller, "a read shows a save that has not run",
                              text);
    }
    if (known ? value < required && caller->fates[value] != CALLER_UNKNOWN
              : required > 0) {
        (void)snprintf(line, sizeof(line),
                       "a read on %s lacks value %d, which was saved",
                       caller->current ? "current" : "own", required);
        caller_record_failure(caller, line, text);
    }
    free(text);
}

static void *
caller_run(void *data)
{
    struct caller *caller = data;

    while (!caller->callers->stopping) {
        uint32_t pick = random_below(&caller->random, 10);
        if (caller_ensure_session(caller)) {
            if (pick < 3) {
                caller_save(caller);
            }
            else if (pick < 5) {
                caller_save_in_transaction(caller);
            }
            else {
                caller_read(caller);
            }
        }
        usleep(random_below(&caller->random, CALLER_MAX_PAUSE_US));
    }
    caller_disconnect(caller);
    return NULL;
}

// Starts callers. Each has a key of its own, so that it knows what it reads.
struct callers *
callers_start(int count, uint64_t seed)
{
    struct callers *callers = xcalloc(1, sizeof(*callers));

    pthread_mutex_init(&callers->mutex, NULL);
    callers->count = count;
    callers->items = xcalloc((size_t)count, sizeof(*callers->items));
    for (int i = 0; i < count; i++) {
        struct caller *caller = &callers->items[i];
        caller->callers = callers;
        caller->number = i;
        caller->random = seed * 1000 + (uint64_t)i;
        caller->fd = -1;
        INVARIANT(pthread_create(&caller->thread, NULL, caller_run, caller) ==
                  0);
    }
    return callers;
}

// Has all callers end after their present operation.
void
callers_stop(struct callers *callers)
{
    callers->stopping = true;
    for (int i = 0; i < callers->count; i++) {
        pthread_join(callers->items[i].thread, NULL);
    }
}

static void
caller_check_saves(const struct caller *caller, struct buffer *faults)
{
    static const char *const fates[] = {"unsent", "saved", "not run",
                                        "unknown"};

    for (int value = 1; value <= caller->last; value++) {
        char text[64];
        enum caller_save_outcome fate = caller->fates[value];
        (void)snprintf(text, sizeof(text), "v%dn%d", caller->number, value);
        int count = platform_count_writes(rig.platform, text);
        if (count > 1 || (fate == CALLER_SAVED && count != 1) ||
            (fate == CALLER_NOT_RUN && count != 0)) {
            buffer_append_format(faults, "%s was told as %s, is there %dx\n",
                                 text, fates[fate], count);
        }
    }
}

// Appends a line for each value that is lost, doubled, or there in spite of a
// promise; and what callers themselves have seen.
void
callers_check(const struct callers *callers, struct buffer *faults)
{
    buffer_append(faults, buffer_get_data(&callers->faults),
                  buffer_get_size(&callers->faults));
    for (int i = 0; i < callers->count; i++) {
        caller_check_saves(&callers->items[i], faults);
    }
}

// Returns how many saves were acknowledged.
uint64_t
callers_count_saves(const struct callers *callers)
{
    uint64_t count = 0;

    for (int i = 0; i < callers->count; i++) {
        for (int value = 1; value <= callers->items[i].last; value++) {
            count += callers->items[i].fates[value] == CALLER_SAVED;
        }
    }
    return count;
}

// Frees callers that have been stopped.
void
callers_destroy(struct callers *callers)
{
    buffer_free(&callers->faults);
    pthread_mutex_destroy(&callers->mutex);
    free(callers->items);
    free(callers);
}
