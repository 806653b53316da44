#ifndef BENCH_BENCH_H
#define BENCH_BENCH_H

#include <stdbool.h>

// A measurement of `catkingrade bench NAME`; it registers itself and reports
// figures with bench_report. Virtual clock where it can be.
struct bench {
    const char *name;
    const char *help;
    // Returns OUTCOME_OK or an error. argv holds what stands after NAME.
    int (*run)(int argc, char **argv);
};

void bench_register(const struct bench *bench);
void bench_report(const char *figure, double value, const char *unit);
void bench_report_target(const char *figure, double value, const char *unit,
                         double target, bool at_least);
int bench_run(const char *name, int argc, char **argv, bool json);
void bench_list(void);

#define BENCH_REGISTER(bench_variable)                                        \
    __attribute__((constructor)) static void register_##bench_variable(void)  \
    {                                                                         \
        bench_register(&(bench_variable));                                    \
    }

#endif
