#ifndef CATKINGRADE_KERNEL_HISTOGRAM_H
#define CATKINGRADE_KERNEL_HISTOGRAM_H

#include <stdint.h>

#include "catkingrade/kernel/buffer.h"

// Log-linear histograms of times, one for each name and set of labels, for
// Prometheus. Any thread may note and read.
struct histogram;

// Phases of a request.
enum histogram_phase {
    HISTOGRAM_QUEUE,   // from its arrival until it is sent
    HISTOGRAM_RUN,     // from then until its upstream's whole answer
    HISTOGRAM_CONFIRM, // of a save: from then until it is confirmed
    HISTOGRAM_TOTAL,   // from its arrival until its outcome
    HISTOGRAM_CONNECT, // of no request: to open a connection
    HISTOGRAM_PHASE_COUNT,
};

// Returns the histogram of a phase with these labels, made when it is new.
// upstream may be empty. NULL when there are too many.
struct histogram *histogram_get(enum histogram_phase phase,
                                const char *database, const char *type,
                                const char *upstream);
// NULL is ignored.
void histogram_record(struct histogram *histogram, int64_t time_us);
void histogram_append_prometheus(struct buffer *text);

#endif
