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
// Figures of the running measurement; NULL: figures are printed as text.
static struct json_object *bench_figures;

// Adds a measurement to the registry. The pointer must stay valid.
void
bench_register(const struct bench *bench)
{
    INVARIANT(bench_count < BENCH_MAX_COUNT);
    benches[bench_count++] = bench;
}

// Reports one figure of the running measurement: prints a line of text, or
// adds a row to the JSON output.
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

// Reports a figure with its target and whether the value meets the target.
// at_least says that the target is a minimum, otherwise it is a maximum.
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

// Runs the measurement of the given name and prints its figures, as JSON when
// asked to. Returns the outcome of the measurement, or OUTCOME_NOT_FOUND when
// no measurement has this name.
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
