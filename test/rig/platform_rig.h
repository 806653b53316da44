#ifndef TEST_RIG_PLATFORM_RIG_H
#define TEST_RIG_PLATFORM_RIG_H

#include <pthread.h>
#include <stdbool.h>

#include "test/fake/platform.h"
#include "test/fake/process.h"

// Real daemons against the stand-in of the platform: three control VMs and
// some entries. Entries have loopback addresses of their own, 127.0.0.1 and
// up, since they share the port of the relay.

#define RIG_CONTROLS     3
#define RIG_ENTRIES      3
#define RIG_WAIT_ROUNDS  500
#define RIG_WAIT_STEP_US 20000

struct platform_rig {
    char *folder;
    struct platform *platform;
    struct process *controls[RIG_CONTROLS];
    struct process *entries[RIG_ENTRIES];
    int entries_count;
    const char *control_extra;
    int rpc_ports[RIG_CONTROLS + RIG_ENTRIES];
    int http_ports[RIG_CONTROLS + RIG_ENTRIES];
    int caller_ports[RIG_ENTRIES];
    int relay_port;
    pthread_t beats;
    bool beating;
    volatile bool stopping;
    volatile bool leaving[PLATFORM_UPSTREAMS];
};

extern struct platform_rig rig;

void platform_rig_start(const char *name, int entries,
                        const char *control_extra);
void platform_rig_stop(void);
struct process *platform_rig_start_daemon(int place, bool bootstrap);
char *platform_rig_call(int place, const char *method, const char *path,
                        const char *body, long *status);
long platform_rig_put_config(int place, const char *body);
void platform_rig_wait_config(int place, const char *body);
int platform_rig_wait_answer(int entry, const char *name, const char *line,
                             const char *part);
bool platform_rig_is_settled(int place);
void platform_rig_remove_disk(int place);
void platform_rig_check_statements(int fd);
void platform_rig_check_read_own_writes(int fd);
void platform_rig_expect(int fd, const char *line, const char *answer);

#endif
