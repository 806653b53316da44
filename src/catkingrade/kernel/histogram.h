#ifndef CATKINGRADE_KERNEL_HISTOGRAM_H
#define CATKINGRADE_KERNEL_HISTOGRAM_H

#include <stdint.h>

#include "catkingrade/kernel/buffer.h"

// A latency histogram with log-linear buckets, exported to Prometheus. There
// is one histogram for each phase, which counts all requests, and one for each
// combination of phase, database, type and upstream. All functions are
// thread-safe.
struct histogram;

// Measured phases of a request.
enum histogram_phase {
    HISTOGRAM_QUEUE,   // from arrival until the request is sent
    HISTOGRAM_RUN,     // from sending until the upstream's full response
    HISTOGRAM_CONFIRM, // of a write: from the response until confirmed
    HISTOGRAM_TOTAL,   // from arrival until the outcome is known
    HISTOGRAM_CONNECT, // opening a connection; not part of a request
    HISTOGRAM_PHASE_COUNT,
};

struct histogram *histogram_get(enum histogram_phase phase,
                                const char *database, const char *type,
                                const char *upstream);
void histogram_record(struct histogram *histogram, int64_t duration_us);
void histogram_append_prometheus(struct buffer *text);
void histogram_append_databases(struct buffer *text);

#endif
