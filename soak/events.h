#ifndef CATKINGRADE_SOAK_EVENTS_H
#define CATKINGRADE_SOAK_EVENTS_H

#include <stdbool.h>
#include <stdint.h>

// Record of what the soak did to the processes, and of the checks that were
// violated. The checks ask it which planned work and which faults there were
// at the time of a request. All functions are thread-safe.

enum event_kind {
    EVENT_STOP,   // planned stop, from SIGTERM to the restart
    EVENT_RELOAD, // SIGHUP
    EVENT_FAULT,  // unplanned disruption
};

enum event_subject {
    EVENT_ENTRY,
    EVENT_CONTROL,
    EVENT_DATABASE, // an upstream of it or the connections to one
};

#define EVENT_ANY (-1) // any index

// Starts the record, with a file events.log in the folder.
void events_start(const char *folder, bool verbose);
// Returns the time since events_start() in seconds.
double events_get_seconds(int64_t time_us);
// Writes a line to events.log, and to the output if verbose.
void events_log(const char *format, ...) __attribute__((format(printf, 1, 2)));
// Records the begin of an event. Returns its number for events_end().
int events_begin(enum event_kind kind, enum event_subject subject, int index);
void events_end(int number);
// Returns whether an event overlaps the time from from_us to to_us.
bool events_overlap(enum event_kind kind, enum event_subject subject,
                    int index, int64_t from_us, int64_t to_us);
// Returns when the last event that began up to before_us has begun; 0: none.
int64_t events_find_last(enum event_kind kind, enum event_subject subject,
                         int index, int64_t before_us);
// Records a violated check, a line without a line end.
void events_fail(const char *format, ...)
    __attribute__((format(printf, 1, 2)));
// Returns the violated checks, a line each; empty: none.
const char *events_get_failures(void);

#endif
