#ifndef TEST_FAKE_DEPLOYMENT_H
#define TEST_FAKE_DEPLOYMENT_H

#include "test/fake/process.h"

#define DEPLOYMENT_MAX 4

// Starts fake upstreams and entries as real processes on loopback for a test.
// There is no control group: each entry reads a static view file, in which the
// first upstream is the primary of the database "roster" and the others are
// replicas.
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
    unsigned confirm;     // replicas that must confirm a save
    unsigned slots;       // of each upstream
    unsigned connections; // of each upstream
    const char *callers;  // JSON list; NULL: any caller, without password
    const char *settings; // more members of the entries' settings, or NULL
    // More arguments for each upstream, ending with NULL; or NULL.
    const char *const *extra;
};

// Starts all processes in a new folder and waits until each one listens.
// Aborts if a process does not listen in time.
void deployment_start(struct deployment *deployment, const char *name,
                      const struct deployment_params *params);
// Stops all processes. Returns whether every entry exited with status 0.
bool deployment_stop(struct deployment *deployment);

#endif
