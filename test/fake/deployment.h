#ifndef TEST_FAKE_DEPLOYMENT_H
#define TEST_FAKE_DEPLOYMENT_H

#include "test/fake/process.h"

#define DEPLOYMENT_MAX 4

// Processes of a test: stand-in upstreams, of which the first is the primary
// of "roster", and entries with a static view of them.
struct deployment {
    char *folder;
    size_t upstreams_count;
    int upstream_ports[DEPLOYMENT_MAX];
    int control_ports[DEPLOYMENT_MAX];
    struct process *upstreams[DEPLOYMENT_MAX];
    size_t entries_count;
    int entry_ports[DEPLOYMENT_MAX];
    struct process *entries[DEPLOYMENT_MAX];
};

struct deployment_params {
    size_t upstreams_count;
    size_t entries_count;
    unsigned confirm;
    unsigned slots;
    unsigned connections;
    const char *callers;      // JSON list; NULL: any caller, without password
    const char *settings;     // further members of the settings, or NULL
    const char *const *extra; // arguments of each upstream, or NULL
};

// Starts everything and waits until all listen.
void deployment_start(struct deployment *deployment, const char *name,
                      const struct deployment_params *params);
// Ends everything. Returns whether each entry ended by itself with status 0.
bool deployment_stop(struct deployment *deployment);

#endif
