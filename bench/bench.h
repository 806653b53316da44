#ifndef BENCH_BENCH_H
#define BENCH_BENCH_H

#include <stdbool.h>

// Registry and report functions of the measurements that
// `catkingrade bench NAME` runs. Each measurement registers itself with
// BENCH_REGISTER before main() and reports its figures through bench_report().
// Measurements use a virtual clock where they can, so that their figures do
// not depend on the load of the machine.

struct bench {
    const char *name;
    const char *help;
    // Runs the measurement. argv holds the arguments after NAME. Returns
    // OUTCOME_OK or an error.
    int (*run)(int argc, char **argv);
};

void bench_register(const struct bench *bench);
void bench_report(const char *figure, double value, const char *unit);
void bench_report_target(const char *figure, double value, const char *unit,
                         double target, bool at_least);
int bench_run(const char *name, int argc, char **argv, bool json);
void bench_list(void);

// Registers a measurement before main() runs. bench_variable is the name of
// its struct bench.
#define BENCH_REGISTER(bench_variable)                                        \
    __attribute__((constructor)) static void register_##bench_variable(void)  \
    {                                                                         \
        bench_register(&(bench_variable));                                    \
    }

#endif
