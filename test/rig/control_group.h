#ifndef TEST_RIG_CONTROL_GROUP_H
#define TEST_RIG_CONTROL_GROUP_H

#include <stdbool.h>

#include "test/fake/process.h"

// Test rig: control VMs as real daemons, without entries and upstreams. A VM
// is addressed by its index. The first CONTROL_GROUP_SEEDS are the seeds of
// those that start with the group.

#define CONTROL_GROUP_MAX   16
#define CONTROL_GROUP_SEEDS 3

struct control_group {
    char *folder;
    unsigned tolerated_losses;
    int rpc_ports[CONTROL_GROUP_MAX];
    int http_ports[CONTROL_GROUP_MAX];
    struct process *processes[CONTROL_GROUP_MAX]; // NULL: not running
    int count;                                    // VMs that were ever started
};

// What a VM reports about the group.
struct control_group_status {
    int voter;  // its id; 0: none
    int leader; // id of the leader; 0: unknown
    int members;
    int voting;
    int revision; // of the replicated state
};

// Starts a new group of VMs.
void control_group_start(struct control_group *group, const char *name,
                         int vms, unsigned tolerated_losses);
void control_group_stop(struct control_group *group);
// Kills the daemon of a VM, whose disk and address never come back.
void control_group_kill(struct control_group *group, int vm);
// Starts an empty VM at a new address. Its seeds are the VMs that run, the
// newest first. Returns its index.
int control_group_add(struct control_group *group);
// Returns false if the VM does not answer.
bool control_group_get_status(const struct control_group *group, int vm,
                              struct control_group_status *status);
// Returns the index of the VM that leads, or -1 if no VM that runs says so.
int control_group_find_leader(const struct control_group *group);
// Sends a configuration to a VM. Returns the HTTP status; 0: no response.
long control_group_put_config(const struct control_group *group, int vm,
                              const char *body);
// Asks a VM for the configuration. Returns the body, which the caller frees.
char *control_group_get_config(const struct control_group *group, int vm,
                               long *status);

#endif
