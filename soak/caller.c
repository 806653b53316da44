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
#include "soak/checks.h"
#include "soak/config.h"
#include "soak/customers.h"
#include "soak/events.h"
#include "test/rig/platform_rig.h"

#define CALLER_MAX_VALUES       8192
#define CALLER_MAX_PAUSE_US     30000
#define CALLER_LINE_SIZE        192
#define CALLER_TEXT_SIZE        112
#define CALLER_DATA_SIZE        80
#define CALLER_MAX_STALENESS_US (CONFIG_MAX_STALENESS_MS * 1000)
// Operations of a session. Every other caller has long sessions, which it uses
// until the entry closes them.
#define CALLER_SHORT_SESSION 100
#define CALLER_LONG_SESSION  10000
// Id of a statement that stands inside of data.
#define CALLER_SMUGGLED_ID    "smuggled"
#define CALLER_SMUGGLING_TAIL "\nQUERY smuggled WRITE k0 s\nQUERY x COMMIT"

// Outcome of a save as its answer reported it.
enum caller_save_outcome {
    CALLER_UNSENT,  // not sent yet
    CALLER_SAVED,   // acknowledged
    CALLER_NOT_RUN, // has no effect, by its error or without a commit
    CALLER_UNKNOWN, // may be stored or not
};

struct caller {
    struct callers *callers;
    pthread_t thread;
    int number;
    int database;
    uint64_t random;
    int entry;                // entry of the session
    int fd;                   // socket of the session; -1: none
    bool has_customer;        // the session has a customer's key
    int customer;             // of the session
    int key;                  // number of the customer's key
    int operations_left;      // operations left until the caller reconnects
    bool on_primary_route;    // the session uses the route of the primary
    int session_newest_saved; // newest value acknowledged in this session
    int64_t saved_us[CALLER_MAX_VALUES];
    enum caller_save_outcome outcomes[CALLER_MAX_VALUES];
    int newest_tried; // newest value that was tried
    int newest_saved; // newest value acknowledged
};

struct callers {
    volatile bool stopping;
    struct caller *items;
    int count;
};

static void
caller_disconnect(struct caller *caller)
{
    if (caller->fd >= 0) {
        (void)close(caller->fd);
    }
    caller->fd = -1;
}

static bool
caller_starts_with(const char *text, const char *prefix)
{
    return text != NULL && strncmp(text, prefix, strlen(prefix)) == 0;
}

// Returns whether an answer is complete: its last line is READY.
static bool
caller_is_complete(const char *text)
{
    const char *ready = text == NULL ? NULL : strstr(text, "READY ");

    return ready != NULL && strchr(ready, '\n') != NULL;
}

// Returns whether an answer leaves the session outside of a transaction.
static bool
caller_is_idle(const char *text)
{
    return caller_is_complete(text) && strstr(text, "READY I") != NULL;
}

// Returns when a request line with the caller's id last reached an upstream.
static int64_t
caller_get_arrival_us(const struct caller *caller, const char *line)
{
    char id[PLATFORM_ID_SIZE] = "";

    (void)sscanf(line, "QUERY %63s", id);
    return platform_get_arrival_us(rig.platforms[caller->database], id);
}

// Records a statement of a customer that has reached an upstream.
static void
caller_record_keyed(const struct caller *caller, const char *line,
                    int64_t sent_us, const char *text)
{
    struct checks_keyed keyed = {
        .customer = caller->customer,
        .key = caller->key,
        .entry = caller->entry,
        .sent_us = sent_us,
        .arrived_us = caller_get_arrival_us(caller, line),
        .has_run = caller_starts_with(text, "COMPLETE") ||
                   caller_starts_with(text, "DATAROW")};

    if (keyed.arrived_us >= sent_us) {
        checks_record_keyed(&keyed);
    }
}

// Sends a request on the session. Records a connection that ends without a
// complete answer, and statements of customers.
static char *
caller_request(struct caller *caller, const char *line)
{
    struct checks_cut cut = {.entry = caller->entry,
                             .database = caller->database,
                             .sent_us = monotonic_get_us()};
    char *text = platform_send_request(caller->fd, line);

    if (!caller_is_complete(text)) {
        cut.closed_us = monotonic_get_us();
        cut.arrived_us = caller_get_arrival_us(caller, line);
        (void)snprintf(cut.line, sizeof(cut.line), "%s", line);
        checks_record_cut(&cut);
    }
    if (caller->has_customer && strncmp(line, "QUERY e", 7) == 0) {
        caller_record_keyed(caller, line, cut.sent_us, text);
    }
    return text;
}

// Formats a statement. Its id begins with the number of the entry, by which
// checks.c knows which entry took it, and ends with a dot and the beginning of
// the user name that the upstream must be sent, see platform_get_misnamed().
static void
caller_format(const struct caller *caller, char *line, const char *text)
{
    (void)snprintf(line, CALLER_LINE_SIZE, "QUERY e%dc%d.%s %s", caller->entry,
                   caller->number,
                   caller->has_customer ? customers_get_name(caller->customer)
                                        : "vm",
                   text);
}

// Picks the customer and the key of a session, for every other caller of a
// database.
static void
caller_pick_customer(struct caller *caller)
{
    caller->has_customer = caller->number / rig.databases_count / 2 % 2 == 0;
    if (caller->has_customer) {
        caller->customer = (int)random_below(&caller->random, CUSTOMERS_COUNT);
        caller->key = customers_pick_key(caller->customer, &caller->random);
    }
}

// Returns whether an answer to STARTUP opens the session.
static bool
caller_start_session(struct caller *caller)
{
    char line[CALLER_LINE_SIZE];
    char database[16] = "";
    char key[CUSTOMERS_KEY_SIZE] = "u1";

    if (caller->database > 0) {
        (void)snprintf(database, sizeof(database), "%d", caller->database);
    }
    if (caller->has_customer) {
        (void)snprintf(key, sizeof(key), "key-%s-%d",
                       customers_get_name(caller->customer), caller->key);
    }
    (void)snprintf(line, sizeof(line), "STARTUP %s%s%s %s",
                   caller->has_customer ? "keyed-" : "",
                   caller->on_primary_route ? "current" : "own", database,
                   key);
    char *text = platform_send_request(caller->fd, line);
    bool ready = caller_starts_with(text, "READY");
    if (caller->has_customer && caller_starts_with(text, "ERROR AUTHFAIL")) {
        checks_count_refusal();
    }
    free(text);
    return ready;
}

// Makes sure that the caller has a session. Opens a new one at a random entry
// and on a random route when there is none or its operations are used up.
// Returns false when the session can't be opened.
static bool
caller_ensure_session(struct caller *caller)
{
    int entry =
        (int)random_below(&caller->random, (uint32_t)rig.entries_count);

    if (caller->fd >= 0 && caller->operations_left-- > 0) {
        return true;
    }
    caller_disconnect(caller);
    caller->fd = platform_connect(rig.client_ports[entry]);
    if (caller->fd < 0) {
        return false;
    }
    caller->entry = entry;
    caller->on_primary_route = random_below(&caller->random, 2) == 1;
    caller->session_newest_saved = 0;
    caller_pick_customer(caller);
    caller->operations_left = (int)random_below(
        &caller->random, caller->number / rig.databases_count % 2 == 0
                             ? CALLER_SHORT_SESSION
                             : CALLER_LONG_SESSION);
    if (!caller_start_session(caller)) {
        caller_disconnect(caller);
        return false;
    }
    return true;
}

// Returns whether an answer guarantees that the operation has no effect.
static bool
caller_is_not_run_answer(const char *text)
{
    return caller_starts_with(text, "ERROR BUSY") ||
           caller_starts_with(text, "ERROR ABORTED") ||
           caller_starts_with(text, "ERROR LAGGING") ||
           caller_starts_with(text, "ERROR NODB") ||
           caller_starts_with(text, "ERROR AUTHFAIL");
}

static void
caller_set_outcome(struct caller *caller, int value,
                   enum caller_save_outcome outcome)
{
    caller->outcomes[value] = outcome;
    if (outcome == CALLER_SAVED) {
        caller->newest_saved = caller->session_newest_saved = value;
        caller->saved_us[value] = monotonic_get_us();
    }
}

// Records the outcome of a save from its final answer, which is that of the
// write itself or that of the commit. Ends the session after an error that
// leaves it in a transaction or closed.
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
    if (!caller_is_idle(text)) {
        caller_disconnect(caller);
    }
}

// Formats the data of a save. Some contain bytes that end no message, and a
// statement that must not run.
static void
caller_format_data(const struct caller *caller, char *data, int value)
{
    static const char *const tails[] = {
        "",
        "",
        "\n",
        "\r",
        " a  b ",
        "\n\r\ta\r\r",
        "\xff\x80 %s",
        CALLER_SMUGGLING_TAIL,
    };

    (void)snprintf(data, CALLER_DATA_SIZE, "v%dn%d%s", caller->number, value,
                   tails[(size_t)value % ARRAY_SIZE(tails)]);
}

static void
caller_format_save(const struct caller *caller, char *text, int value)
{
    char data[CALLER_DATA_SIZE];

    caller_format_data(caller, data, value);
    (void)snprintf(text, CALLER_TEXT_SIZE, "WRITE k%d %s", caller->number,
                   data);
}

// Checks the text of the caller's statement that last reached an upstream,
// which may be an earlier one that was late: it must be one that the caller
// has sent, and none may have run that stood inside of another.
static void
caller_check_arrival(const struct caller *caller, const char *line)
{
    struct platform *platform = rig.platforms[caller->database];
    char id[PLATFORM_ID_SIZE] = "";
    char expected[CALLER_TEXT_SIZE];
    int value = 0;

    (void)sscanf(line, "QUERY %63s", id);
    char *text = platform_get_arrival_text(platform, id);
    const char *at = text;
    if (caller_starts_with(text, "AFTER ")) {
        at = strchrnul(text + strlen("AFTER "), ' ') + 1;
    }
    (void)snprintf(expected, sizeof(expected), "READ k%d", caller->number);
    if (at != NULL && sscanf(at, "WRITE k%*d v%*dn%d", &value) == 1) {
        caller_format_save(caller, expected, value);
    }
    if (at != NULL &&
        (strcmp(at, expected) != 0 || value > caller->newest_tried)) {
        events_fail("caller %d: an upstream ran a changed text: %s",
                    caller->number, text);
    }
    if (platform_get_arrival_us(platform, CALLER_SMUGGLED_ID) != 0) {
        events_fail("caller %d: an upstream ran a text inside of data",
                    caller->number);
    }
    free(text);
}

// Saves a value and checks what arrived. Returns the answer.
static char *
caller_request_save(struct caller *caller, int value)
{
    char text[CALLER_TEXT_SIZE];
    char line[CALLER_LINE_SIZE];

    caller_format_save(caller, text, value);
    caller_format(caller, line, text);
    char *answer = caller_request(caller, line);
    caller_check_arrival(caller, line);
    return answer;
}

static void
caller_save(struct caller *caller)
{
    if (caller->newest_tried + 1 == CALLER_MAX_VALUES) {
        return;
    }
    int value = ++caller->newest_tried;
    char *text = caller_request_save(caller, value);
    caller_record_save(caller, value, text);
    free(text);
}

// Saves in a transaction and then commits, rolls back, or closes the
// connection with the transaction open.
static void
caller_save_in_transaction(struct caller *caller)
{
    uint32_t end = random_below(&caller->random, 10);

    if (caller->newest_tried + 1 == CALLER_MAX_VALUES) {
        return;
    }
    int value = ++caller->newest_tried;
    char *text = caller_request(caller, "QUERY b BEGIN");
    bool has_begun = caller_starts_with(text, "COMPLETE");
    free(text);
    if (!has_begun) {
        // A write would run outside of a transaction.
        caller_set_outcome(caller, value, CALLER_NOT_RUN);
        caller_disconnect(caller);
        return;
    }
    text = caller_request_save(caller, value);
    bool is_written = caller_starts_with(text, "COMPLETE");
    free(text);
    if (!is_written || end == 0) {
        // The transaction ends without a commit.
        caller_set_outcome(caller, value, CALLER_NOT_RUN);
        caller_disconnect(caller);
        return;
    }
    if (end == 1) {
        caller_set_outcome(caller, value, CALLER_NOT_RUN);
        text = caller_request(caller, "QUERY r ROLLBACK");
        if (!caller_starts_with(text, "COMPLETE")) {
            caller_disconnect(caller);
        }
        free(text);
        return;
    }
    text = caller_request(caller, "QUERY c COMMIT");
    caller_record_save(caller, value, text);
    free(text);
}

// Returns the oldest value that a read starting now may return. On the route
// of the primary this is the newest acknowledged value. On the route `own` it
// is the newest value acknowledged in this session or, if newer, the newest
// value acknowledged more than CALLER_MAX_STALENESS_US ago.
static int
caller_get_min_value(const struct caller *caller)
{
    int64_t limit_us = monotonic_get_us() - CALLER_MAX_STALENESS_US;
    int value = caller->newest_saved;

    if (caller->on_primary_route) {
        return value;
    }
    while (value > caller->session_newest_saved &&
           (caller->outcomes[value] != CALLER_SAVED ||
            caller->saved_us[value] > limit_us)) {
        value--;
    }
    return value;
}

// Returns whether a read returned the data of a save unchanged.
static bool
caller_is_data(const struct caller *caller, const char *text, int value)
{
    char data[CALLER_DATA_SIZE];

    caller_format_data(caller, data, value);
    text += strlen("DATAROW ");
    return strncmp(text, data, strlen(data)) == 0 &&
           strncmp(text + strlen(data), "\r\n", 2) == 0;
}

// Reads the caller's key and checks the value. The read must return the
// required value, a newer one, or a save of unknown outcome, which may have
// run late.
static void
caller_read(struct caller *caller)
{
    char line[CALLER_LINE_SIZE];
    char request[CALLER_LINE_SIZE];
    int number = 0;
    int value = 0;
    int required = caller_get_min_value(caller);

    (void)snprintf(line, sizeof(line), "READ k%d", caller->number);
    caller_format(caller, request, line);
    char *text = caller_request(caller, request);
    caller_check_arrival(caller, request);
    if (!caller_starts_with(text, "DATAROW")) {
        if (!caller_is_idle(text)) {
            caller_disconnect(caller);
        }
        free(text);
        return;
    }
    bool known = sscanf(text, "DATAROW v%dn%d", &number, &value) == 2 &&
                 number == caller->number && value > 0 &&
                 value < CALLER_MAX_VALUES;
    if (known && !caller_is_data(caller, text, value)) {
        events_fail("caller %d: a read returned changed data: %s",
                    caller->number, text);
    }
    if (known && caller->outcomes[value] == CALLER_NOT_RUN) {
        events_fail("caller %d: a read returned a save that was answered as "
                    "not run: %s",
                    caller->number, text);
    }
    if (known ? value < required && caller->outcomes[value] != CALLER_UNKNOWN
              : required > 0) {
        (void)snprintf(line, sizeof(line),
                       "a read on %s misses the acknowledged value %d",
                       caller->on_primary_route ? "current" : "own", required);
        events_fail("caller %d: %s: %s", caller->number, line, text);
    }
    free(text);
}

// Runs random operations with random pauses until the callers are stopped.
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

// Starts `count` callers. Each has its own key, which no other caller writes,
// so that it knows which values its reads may return.
struct callers *
callers_start(int count, uint64_t seed)
{
    struct callers *callers = xcalloc(1, sizeof(*callers));

    callers->count = count;
    callers->items = xcalloc((size_t)count, sizeof(*callers->items));
    for (int i = 0; i < count; i++) {
        struct caller *caller = &callers->items[i];
        caller->callers = callers;
        caller->number = i;
        caller->database = i % rig.databases_count;
        caller->random = seed * 1000 + (uint64_t)i;
        caller->fd = -1;
        INVARIANT(pthread_create(&caller->thread, NULL, caller_run, caller) ==
                  0);
    }
    return callers;
}

// Stops all callers after their current operation and joins their threads.
void
callers_stop(struct callers *callers)
{
    callers->stopping = true;
    for (int i = 0; i < callers->count; i++) {
        pthread_join(callers->items[i].thread, NULL);
    }
}

// Compares the outcome of each save with the number of times that its value is
// stored: acknowledged saves once, saves not run never, unknown ones at most
// once.
static void
caller_check_saves(const struct caller *caller)
{
    static const char *const outcomes[] = {"unsent", "saved", "not run",
                                           "unknown"};

    for (int value = 1; value <= caller->newest_tried; value++) {
        char text[CALLER_DATA_SIZE];
        enum caller_save_outcome outcome = caller->outcomes[value];
        caller_format_data(caller, text, value);
        int count =
            platform_count_writes(rig.platforms[caller->database], text);
        if (count > 1 || (outcome == CALLER_SAVED && count != 1) ||
            (outcome == CALLER_NOT_RUN && count != 0)) {
            events_fail("%s: answered as %s, stored %d times", text,
                        outcomes[outcome], count);
        }
    }
}

void
callers_check(const struct callers *callers)
{
    for (int i = 0; i < callers->count; i++) {
        caller_check_saves(&callers->items[i]);
    }
}

// Returns the number of acknowledged saves.
uint64_t
callers_count_saves(const struct callers *callers)
{
    uint64_t count = 0;

    for (int i = 0; i < callers->count; i++) {
        for (int value = 1; value <= callers->items[i].newest_tried; value++) {
            count += callers->items[i].outcomes[value] == CALLER_SAVED;
        }
    }
    return count;
}

// Frees callers that have been stopped.
void
callers_destroy(struct callers *callers)
{
    free(callers->items);
    free(callers);
}
