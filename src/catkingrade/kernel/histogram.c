#include "catkingrade/kernel/histogram.h"

#include <inttypes.h>
#include <pthread.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "catkingrade/kernel/memory.h"

// Bounds the memory and the page of metrics; what comes later is not counted.
#define HISTOGRAM_MAX_COUNT   512
#define HISTOGRAM_LABELS_SIZE 224
#define HISTOGRAM_US_PER_S    1000000.0

// Upper bounds in microseconds: two steps for each doubling from 1 ms on.
static const int64_t histogram_bounds_us[] = {
    1000,    1500,    2000,    3000,    4000,    6000,     8000,
    12000,   16000,   24000,   32000,   48000,   64000,    96000,
    128000,  192000,  256000,  384000,  512000,  768000,   1024000,
    1536000, 2048000, 3072000, 4096000, 8192000, 16384000,
};

#define HISTOGRAM_BUCKETS (ARRAY_SIZE(histogram_bounds_us) + 1)

struct histogram {
    char labels[HISTOGRAM_LABELS_SIZE];
    atomic_uint_fast64_t buckets[HISTOGRAM_BUCKETS];
    atomic_uint_fast64_t sum_us;
};

static struct {
    pthread_mutex_t mutex;
    struct histogram *items[HISTOGRAM_MAX_COUNT];
    size_t count;
} histogram_table = {.mutex = PTHREAD_MUTEX_INITIALIZER};

static const char *const histogram_phase_names[] = {
    [HISTOGRAM_QUEUE] = "queue",     [HISTOGRAM_RUN] = "run",
    [HISTOGRAM_CONFIRM] = "confirm", [HISTOGRAM_TOTAL] = "total",
    [HISTOGRAM_CONNECT] = "connect",
};

static struct histogram *
histogram_find(const char *labels)
{
    for (size_t i = 0; i < histogram_table.count; i++) {
        if (strcmp(histogram_table.items[i]->labels, labels) == 0) {
            return histogram_table.items[i];
        }
    }
    return NULL;
}

// Returns the histogram of a phase with these labels.
struct histogram *
histogram_get(enum histogram_phase phase, const char *database,
              const char *type, const char *upstream)
{
    char labels[HISTOGRAM_LABELS_SIZE];

    (void)snprintf(labels, sizeof(labels),
                   "phase=\"%s\",database=\"%s\",type=\"%s\",upstream=\"%s\"",
                   histogram_phase_names[phase], database, type, upstream);
    pthread_mutex_lock(&histogram_table.mutex);
    struct histogram *histogram = histogram_find(labels);
    if (histogram == NULL && histogram_table.count < HISTOGRAM_MAX_COUNT) {
        histogram = xcalloc(1, sizeof(*histogram));
        memcpy(histogram->labels, labels, sizeof(labels));
        histogram_table.items[histogram_table.count++] = histogram;
    }
    pthread_mutex_unlock(&histogram_table.mutex);
    return histogram;
}

// Counts one time.
void
histogram_record(struct histogram *histogram, int64_t time_us)
{
    size_t bucket = 0;

    if (histogram == NULL) {
        return;
    }
    while (bucket < ARRAY_SIZE(histogram_bounds_us) &&
           time_us > histogram_bounds_us[bucket]) {
        bucket++;
    }
    atomic_fetch_add_explicit(&histogram->buckets[bucket], 1,
                              memory_order_relaxed);
    atomic_fetch_add_explicit(&histogram->sum_us,
                              (uint64_t)(time_us < 0 ? 0 : time_us),
                              memory_order_relaxed);
}

static void
histogram_append(const struct histogram *histogram, struct buffer *text)
{
    uint64_t count = 0;

    for (size_t i = 0; i < HISTOGRAM_BUCKETS; i++) {
        count +=
            atomic_load_explicit(&histogram->buckets[i], memory_order_relaxed);
        buffer_append_format(text,
                             "catkingrade_request_seconds_bucket{%s,le=\"",
                             histogram->labels);
        if (i < ARRAY_SIZE(histogram_bounds_us)) {
            buffer_append_format(text, "%g",
                                 (double)histogram_bounds_us[i] /
                                     HISTOGRAM_US_PER_S);
        }
        else {
            buffer_append_text(text, "+Inf");
        }
        buffer_append_format(text, "\"} %" PRIu64 "\n", count);
    }
    buffer_append_format(text,
                         "catkingrade_request_seconds_sum{%s} %.6f\n"
                         "catkingrade_request_seconds_count{%s} %" PRIu64 "\n",
                         histogram->labels,
                         (double)atomic_load_explicit(&histogram->sum_us,
                                                      memory_order_relaxed) /
                             HISTOGRAM_US_PER_S,
                         histogram->labels, count);
}

// Appends all histograms as one metric with labels.
void
histogram_append_prometheus(struct buffer *text)
{
    buffer_append_text(text,
                       "# HELP catkingrade_request_seconds time of requests "
                       "by phase\n"
                       "# TYPE catkingrade_request_seconds histogram\n");
    pthread_mutex_lock(&histogram_table.mutex);
    for (size_t i = 0; i < histogram_table.count; i++) {
        histogram_append(histogram_table.items[i], text);
    }
    pthread_mutex_unlock(&histogram_table.mutex);
}
