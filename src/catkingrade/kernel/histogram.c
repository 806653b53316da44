#include "catkingrade/kernel/histogram.h"

#include <inttypes.h>
#include <pthread.h>
#include <stdatomic.h>
#include <stdbool.h>
#include <stdlib.h>
#include <string.h>

#include "catkingrade/kernel/memory.h"

// Limits the memory and the size of the page by database. Label combinations
// beyond the limit are recorded by phase only.
#define HISTOGRAM_MAX_COUNT 512
#define HISTOGRAM_US_PER_S  1000000.0

struct histogram_bound {
    int64_t bound_us;
    const char *text; // in seconds, as the value of the label le
};

// Upper bounds of the buckets: two per doubling from 1 ms to about 4 s, then
// one per doubling. A last bucket without a bound follows.
static const struct histogram_bound histogram_bounds[] = {
    {1000, "0.001"},    {1500, "0.0015"},   {2000, "0.002"},
    {3000, "0.003"},    {4000, "0.004"},    {6000, "0.006"},
    {8000, "0.008"},    {12000, "0.012"},   {16000, "0.016"},
    {24000, "0.024"},   {32000, "0.032"},   {48000, "0.048"},
    {64000, "0.064"},   {96000, "0.096"},   {128000, "0.128"},
    {192000, "0.192"},  {256000, "0.256"},  {384000, "0.384"},
    {512000, "0.512"},  {768000, "0.768"},  {1024000, "1.024"},
    {1536000, "1.536"}, {2048000, "2.048"}, {3072000, "3.072"},
    {4096000, "4.096"}, {8192000, "8.192"}, {16384000, "16.384"},
};

#define HISTOGRAM_BUCKETS (ARRAY_SIZE(histogram_bounds) + 1)

struct histogram {
    struct histogram *total; // of its phase; NULL if this is one
    char *labels;            // never freed, like the histogram itself
    atomic_uint_fast64_t buckets[HISTOGRAM_BUCKETS];
    atomic_uint_fast64_t sum_us;
};

static struct {
    pthread_mutex_t mutex;
    struct histogram *items[HISTOGRAM_MAX_COUNT];
    size_t count;
} histogram_table = {.mutex = PTHREAD_MUTEX_INITIALIZER};

// The histograms of all requests, by phase.
static struct histogram histogram_totals[HISTOGRAM_PHASE_COUNT] = {
    [HISTOGRAM_QUEUE] = {.labels = "phase=\"queue\""},
    [HISTOGRAM_RUN] = {.labels = "phase=\"run\""},
    [HISTOGRAM_CONFIRM] = {.labels = "phase=\"confirm\""},
    [HISTOGRAM_TOTAL] = {.labels = "phase=\"total\""},
    [HISTOGRAM_CONNECT] = {.labels = "phase=\"connect\""},
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

// Appends a label with its value, in which the text exposition format escapes
// three characters.
static void
histogram_append_label(struct buffer *labels, const char *name,
                       const char *value)
{
    buffer_append_format(labels, ",%s=\"", name);
    for (const char *at = value; *at != '\0'; at++) {
        if (*at == '\n') {
            buffer_append_text(labels, "\\n");
            continue;
        }
        if (*at == '\\' || *at == '"') {
            buffer_append_u8(labels, '\\');
        }
        buffer_append_u8(labels, (uint8_t)*at);
    }
    buffer_append_u8(labels, '"');
}

static struct histogram *
histogram_create(const char *labels, struct histogram *total)
{
    struct histogram *histogram = xcalloc(1, sizeof(*histogram));

    histogram->total = total;
    histogram->labels = xstrdup(labels);
    histogram_table.items[histogram_table.count++] = histogram;
    return histogram;
}

// Returns the histogram of a phase with these labels, creating it if needed.
// upstream may be empty. Once HISTOGRAM_MAX_COUNT histograms exist, returns
// that of the phase for any further labels.
struct histogram *
histogram_get(enum histogram_phase phase, const char *database,
              const char *type, const char *upstream)
{
    struct histogram *total = &histogram_totals[phase];
    struct buffer text = {0};

    buffer_append_text(&text, total->labels);
    histogram_append_label(&text, "database", database);
    histogram_append_label(&text, "type", type);
    histogram_append_label(&text, "upstream", upstream);
    buffer_append_u8(&text, 0);
    const char *labels = (const char *)buffer_get_data(&text);
    pthread_mutex_lock(&histogram_table.mutex);
    struct histogram *histogram = histogram_find(labels);
    if (histogram == NULL) {
        histogram = histogram_table.count < HISTOGRAM_MAX_COUNT
                        ? histogram_create(labels, total)
                        : total;
    }
    pthread_mutex_unlock(&histogram_table.mutex);
    buffer_free(&text);
    return histogram;
}

static size_t
histogram_find_bucket(int64_t duration_us)
{
    size_t bucket = 0;

    while (bucket < ARRAY_SIZE(histogram_bounds) &&
           duration_us > histogram_bounds[bucket].bound_us) {
        bucket++;
    }
    return bucket;
}

static void
histogram_add(struct histogram *histogram, size_t bucket, uint64_t amount_us)
{
    atomic_fetch_add_explicit(&histogram->buckets[bucket], 1,
                              memory_order_relaxed);
    atomic_fetch_add_explicit(&histogram->sum_us, amount_us,
                              memory_order_relaxed);
}

// Records one duration, also in the histogram of the phase.
void
histogram_record(struct histogram *histogram, int64_t duration_us)
{
    size_t bucket = histogram_find_bucket(duration_us);
    uint64_t amount_us = (uint64_t)(duration_us < 0 ? 0 : duration_us);

    histogram_add(histogram, bucket, amount_us);
    if (histogram->total != NULL) {
        histogram_add(histogram->total, bucket, amount_us);
    }
}

static uint64_t
histogram_load_bucket(const struct histogram *histogram, size_t bucket)
{
    return atomic_load_explicit(&histogram->buckets[bucket],
                                memory_order_relaxed);
}

static void
histogram_append(const struct histogram *histogram, const char *name,
                 struct buffer *text)
{
    uint64_t count = 0;
    uint64_t sum_us =
        atomic_load_explicit(&histogram->sum_us, memory_order_relaxed);

    for (size_t i = 0; i < HISTOGRAM_BUCKETS; i++) {
        bool bounded = i < ARRAY_SIZE(histogram_bounds);
        count += histogram_load_bucket(histogram, i);
        buffer_append_format(text, "%s_bucket{%s,le=\"%s\"} %" PRIu64 "\n",
                             name, histogram->labels,
                             bounded ? histogram_bounds[i].text : "+Inf",
                             count);
    }
    buffer_append_format(text,
                         "%s_sum{%s} %.6f\n"
                         "%s_count{%s} %" PRIu64 "\n",
                         name, histogram->labels,
                         (double)sum_us / HISTOGRAM_US_PER_S, name,
                         histogram->labels, count);
}

static bool
histogram_is_empty(const struct histogram *histogram)
{
    for (size_t i = 0; i < HISTOGRAM_BUCKETS; i++) {
        if (histogram_load_bucket(histogram, i) > 0) {
            return false;
        }
    }
    return true;
}

// Appends the histograms by phase in the Prometheus text exposition format,
// except for phases without a recorded duration.
void
histogram_append_prometheus(struct buffer *text)
{
    buffer_append_text(text,
                       "# HELP catkingrade_request_seconds time of requests "
                       "by phase\n"
                       "# TYPE catkingrade_request_seconds histogram\n");
    for (size_t i = 0; i < HISTOGRAM_PHASE_COUNT; i++) {
        if (!histogram_is_empty(&histogram_totals[i])) {
            histogram_append(&histogram_totals[i],
                             "catkingrade_request_seconds", text);
        }
    }
}

// Appends the histograms by phase, database, type and upstream in the
// Prometheus text exposition format. The metric has a name of its own, since
// it counts the same requests as that by phase.
void
histogram_append_databases(struct buffer *text)
{
    pthread_mutex_lock(&histogram_table.mutex);
    size_t count = histogram_table.count;
    pthread_mutex_unlock(&histogram_table.mutex);
    buffer_append_text(
        text, "# HELP catkingrade_database_request_seconds time of requests "
              "by phase, database, type and upstream\n"
              "# TYPE catkingrade_database_request_seconds histogram\n");
    // Histograms are only added, so the first ones are read without the mutex.
    for (size_t i = 0; i < count; i++) {
        histogram_append(histogram_table.items[i],
                         "catkingrade_database_request_seconds", text);
    }
}
