#include <stdio.h>
#include <string.h>

#include "bench/bench.h"
#include "catkingrade/entry/classify.h"
#include "catkingrade/kernel/loop.h"
#include "catkingrade/kernel/memory.h"
#include "catkingrade/kernel/outcome.h"

#define BENCH_TEXTS           512
#define BENCH_CACHED_ROUNDS   4000
#define BENCH_UNCACHED_ROUNDS 8
#define BENCH_CACHE_ENTRIES   4096
#define BENCH_MAX_CACHED_US   0.5
#define BENCH_TEXT_SIZE       256

static void
bench_fill_texts(char texts[BENCH_TEXTS][BENCH_TEXT_SIZE])
{
    for (int i = 0; i < BENCH_TEXTS; i++) {
        (void)snprintf(texts[i], BENCH_TEXT_SIZE,
                       "SELECT p.id, p.walker, p.at FROM placements_%d p "
                       "WHERE p.walker = $1 AND p.at > now() "
                       "ORDER BY p.at LIMIT 20",
                       i);
    }
}

static double
bench_classify_cached(struct classifier *classifier,
                      char texts[BENCH_TEXTS][BENCH_TEXT_SIZE])
{
    size_t sizes[BENCH_TEXTS];
    unsigned reads = 0;

    for (int i = 0; i < BENCH_TEXTS; i++) {
        sizes[i] = strlen(texts[i]);
        (void)classifier_get(classifier, texts[i], sizes[i]);
    }
    int64_t start_us = monotonic_get_us();
    for (int round = 0; round < BENCH_CACHED_ROUNDS; round++) {
        for (int i = 0; i < BENCH_TEXTS; i++) {
            const struct classification *result =
                classifier_get(classifier, texts[i], sizes[i]);
            reads += result->kind == CLASSIFY_READ ? 1 : 0;
        }
    }
    int64_t spent_us = monotonic_get_us() - start_us;
    INVARIANT(reads == BENCH_TEXTS * BENCH_CACHED_ROUNDS);
    return (double)spent_us / (BENCH_TEXTS * BENCH_CACHED_ROUNDS);
}

static double
bench_classify_uncached(char texts[BENCH_TEXTS][BENCH_TEXT_SIZE])
{
    struct classification result;
    int64_t start_us = monotonic_get_us();

    for (int round = 0; round < BENCH_UNCACHED_ROUNDS; round++) {
        for (int i = 0; i < BENCH_TEXTS; i++) {
            classify_text(texts[i], strlen(texts[i]), &result);
            INVARIANT(result.kind == CLASSIFY_READ);
        }
    }
    return (double)(monotonic_get_us() - start_us) /
           (BENCH_TEXTS * BENCH_UNCACHED_ROUNDS);
}

// Measures the classification of 512 texts, from the cache and without it.
static int
bench_classify_run(int argc, char **argv)
{
    static char texts[BENCH_TEXTS][BENCH_TEXT_SIZE];
    struct classifier *classifier = classifier_create(BENCH_CACHE_ENTRIES);

    (void)argc;
    (void)argv;
    bench_fill_texts(texts);
    bench_report_target("cached classification",
                        bench_classify_cached(classifier, texts), "us",
                        BENCH_MAX_CACHED_US, false);
    bench_report("uncached classification", bench_classify_uncached(texts),
                 "us");
    classifier_destroy(classifier);
    return OUTCOME_OK;
}

static const struct bench bench_classify = {
    .name = "classify",
    .help = "classification of a statement, cached and not",
    .run = bench_classify_run,
};

BENCH_REGISTER(bench_classify)
