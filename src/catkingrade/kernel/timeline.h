#ifndef CATKINGRADE_KERNEL_TIMELINE_H
#define CATKINGRADE_KERNEL_TIMELINE_H

#include <stddef.h>
#include <stdint.h>

// Ring buffer of the recent events of this process. Events carry timestamps of
// a hybrid logical clock (HLC): the high 48 bits are milliseconds since the
// Unix epoch, the low 16 bits a counter. All functions are thread-safe.
#define TIMELINE_TEXT_SIZE 192
#define TIMELINE_NAME_SIZE 64

struct timeline_event {
    uint64_t sequence; // 1, 2, ...; a gap means overwritten events
    uint64_t hlc;
    char kind[32]; // a short constant such as "promoted"
    char customer[TIMELINE_NAME_SIZE];
    char upstream[TIMELINE_NAME_SIZE];
    uint64_t session;
    char text[TIMELINE_TEXT_SIZE]; // key=value pairs
};

uint64_t timeline_get_hlc(void);
void timeline_observe_hlc(uint64_t hlc);
void timeline_record(const char *kind, const char *customer,
                     const char *upstream, uint64_t session,
                     const char *format, ...)
    __attribute__((format(printf, 5, 6)));
size_t timeline_read(uint64_t after_sequence, struct timeline_event *events,
                     size_t max_count);

#endif
