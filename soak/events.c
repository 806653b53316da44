#include "soak/events.h"

#include <pthread.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <time.h>

#include "catkingrade/kernel/buffer.h"
#include "catkingrade/kernel/loop.h"
#include "catkingrade/kernel/memory.h"

#define EVENTS_MAX       8192
#define EVENTS_LINE_SIZE 512

struct event {
    enum event_kind kind;
    enum event_subject subject;
    int index;
    int64_t begin_us;
    int64_t end_us; // INT64_MAX: not ended
};

struct events {
    pthread_mutex_t mutex;
    FILE *file;
    bool verbose;
    int64_t start_us;
    struct event items[EVENTS_MAX];
    int count;
    struct buffer failures;
};

static struct events events = {.mutex = PTHREAD_MUTEX_INITIALIZER};

void
events_start(const char *folder, bool verbose)
{
    char *path = xasprintf("%s/events.log", folder);

    events.file = fopen(path, "w");
    INVARIANT(events.file != NULL);
    events.verbose = verbose;
    events.start_us = monotonic_get_us();
    free(path);
}

double
events_get_seconds(int64_t time_us)
{
    return (double)(time_us - events.start_us) / 1e6;
}

// Writes a line with the seconds since the start and with the time of day, by
// which the lines of the daemons' logs are found.
static void
events_write(const char *text)
{
    struct timespec now;
    struct tm utc;

    (void)clock_gettime(CLOCK_REALTIME, &now);
    (void)gmtime_r(&now.tv_sec, &utc);
    (void)fprintf(events.file, "%7.3f s %02d:%02d:%02d.%03ld %s\n",
                  events_get_seconds(monotonic_get_us()), utc.tm_hour,
                  utc.tm_min, utc.tm_sec, now.tv_nsec / 1000000, text);
    (void)fflush(events.file);
    if (events.verbose) {
        (void)printf("%7.3f s %s\n", events_get_seconds(monotonic_get_us()),
                     text);
        (void)fflush(stdout);
    }
}

void
events_log(const char *format, ...)
{
    char text[EVENTS_LINE_SIZE];
    va_list args;

    va_start(args, format);
    (void)vsnprintf(text, sizeof(text), format, args);
    va_end(args);
    pthread_mutex_lock(&events.mutex);
    events_write(text);
    pthread_mutex_unlock(&events.mutex);
}

int
events_begin(enum event_kind kind, enum event_subject subject, int index)
{
    pthread_mutex_lock(&events.mutex);
    INVARIANT(events.count < EVENTS_MAX);
    int number = events.count++;
    events.items[number] = (struct event){.kind = kind,
                                          .subject = subject,
                                          .index = index,
                                          .begin_us = monotonic_get_us(),
                                          .end_us = INT64_MAX};
    pthread_mutex_unlock(&events.mutex);
    return number;
}

void
events_end(int number)
{
    pthread_mutex_lock(&events.mutex);
    events.items[number].end_us = monotonic_get_us();
    pthread_mutex_unlock(&events.mutex);
}

static bool
event_matches(const struct event *event, enum event_kind kind,
              enum event_subject subject, int index)
{
    return event->kind == kind && event->subject == subject &&
           (index == EVENT_ANY || event->index == index);
}

bool
events_overlap(enum event_kind kind, enum event_subject subject, int index,
               int64_t from_us, int64_t to_us)
{
    bool found = false;

    pthread_mutex_lock(&events.mutex);
    for (int i = 0; i < events.count && !found; i++) {
        const struct event *event = &events.items[i];
        found = event_matches(event, kind, subject, index) &&
                event->begin_us <= to_us && event->end_us >= from_us;
    }
    pthread_mutex_unlock(&events.mutex);
    return found;
}

int64_t
events_find_last(enum event_kind kind, enum event_subject subject, int index,
                 int64_t before_us)
{
    int64_t last_us = 0;

    pthread_mutex_lock(&events.mutex);
    for (int i = 0; i < events.count; i++) {
        const struct event *event = &events.items[i];
        if (event_matches(event, kind, subject, index) &&
            event->begin_us <= before_us && event->begin_us > last_us) {
            last_us = event->begin_us;
        }
    }
    pthread_mutex_unlock(&events.mutex);
    return last_us;
}

void
events_fail(const char *format, ...)
{
    char text[EVENTS_LINE_SIZE];
    va_list args;

    va_start(args, format);
    (void)vsnprintf(text, sizeof(text), format, args);
    va_end(args);
    pthread_mutex_lock(&events.mutex);
    buffer_append_format(&events.failures, "%s\n", text);
    events_write(text);
    pthread_mutex_unlock(&events.mutex);
}

const char *
events_get_failures(void)
{
    buffer_append_u8(&events.failures, 0);
    events.failures.end--;
    return (const char *)buffer_get_data(&events.failures);
}
