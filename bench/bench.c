#include "bench/bench.h"

#include <json-c/json.h>
#include <stddef.h>
#include <stdio.h>
#include <string.h>

#include "catkingrade/kernel/memory.h"
#include "catkingrade/kernel/outcome.h"

#define BENCH_MAX_COUNT 64

static const struct bench *benches[BENCH_MAX_COUNT];
static size_t bench_count;
static struct json_object *bench_figures;

// Adds a measurement to the registry.
void
bench_register(const struct bench *bench)
{
    INVARIANT(bench_count < BENCH_MAX_COUNT);
    benches[bench_count++] = bench;
}

// Reports one figure of the running measurement.
void
bench_report(const char *figure, double value, const char *unit)
{
    struct json_object *row = json_object_new_object();

    if (bench_figures == NULL) {
        (void)printf("%-44s %14.3f %s\n", figure, value, unit);
        (void)fflush(stdout);
        json_object_put(row);
        return;
    }
    json_object_object_add(row, "figure", json_object_new_string(figure));
    json_object_object_add(row, "value", json_object_new_double(value));
    json_object_object_add(row, "unit", json_object_new_string(unit));
    json_object_array_add(bench_figures, row);
}

// Reports a figure with its stated target, and whether it was met.
void
bench_report_target(const char *figure, double value, const char *unit,
                    double target, bool at_least)
{
    char text[160];
    bool met = at_least ? value >= target : value <= target;

    (void)snprintf(text, sizeof(text), "%s (%s %g: %s)", figure,
                   at_least ? "at least" : "at most", target,
                   met ? "met" : "MISSED");
    bench_report(text, value, unit);
}

// Runs a measurement by its name. Returns its outcome, or OUTCOME_NOT_FOUND.
int
bench_run(const char *name, int argc, char **argv, bool json)
{
    for (size_t i = 0; i < bench_count; i++) {
        if (strcmp(benches[i]->name, name) != 0) {
            continue;
        }
        bench_figures = json ? json_object_new_array() : NULL;
        int outcome = benches[i]->run(argc, argv);
        if (json) {
            (void)printf("%s\n", json_object_to_json_string_ext(
                                     bench_figures, JSON_C_TO_STRING_PRETTY));
            json_object_put(bench_figures);
            bench_figures = NULL;
        }
        return outcome;
    }
    return OUTCOME_NOT_FOUND;
}

// Prints the names and help texts of all measurements.
void
bench_list(void)
{
    for (size_t i = 0; i < bench_count; i++) {
        (void)printf("  %-20s %s\n", benches[i]->name, benches[i]->help);
    }
}
