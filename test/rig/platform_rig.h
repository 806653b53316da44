#ifndef TEST_RIG_PLATFORM_RIG_H
#define TEST_RIG_PLATFORM_RIG_H

#include <stdbool.h>

#include "test/fake/platform.h"
#include "test/fake/process.h"
#include "test/rig/announcer.h"

// Test rig: real daemons, three control VMs and up to RIG_ENTRIES entries,
// that use the databases of test/fake/platform.h. Entry i listens on
// loopback address 127.0.0.(i + 1) for RPC and relay connections, since all
// entries share one relay port.
//
// A daemon is addressed by its vm_index: first the RIG_CONTROLS control VMs,
// then the entries.

#define RIG_CONTROLS     3
#define RIG_ENTRIES      5
#define RIG_DATABASES    3
#define RIG_WAIT_ROUNDS  500
#define RIG_WAIT_STEP_US 20000
// drain_notice_ms of the default timings.
#define RIG_DRAIN_NOTICE_MS 100

// Arrays of RIG_CONTROLS + RIG_ENTRIES elements are indexed by vm_index.
struct platform_rig {
    char *folder;
    struct platform *platform; // the first database
    struct platform *platforms[RIG_DATABASES];
    int databases_count;
    struct process *controls[RIG_CONTROLS];
    struct process *entries[RIG_ENTRIES];
    int entries_count;
    const char *control_extra; // additional settings of the control VMs
    int rpc_ports[RIG_CONTROLS + RIG_ENTRIES];
    int http_ports[RIG_CONTROLS + RIG_ENTRIES];
    int client_ports[RIG_ENTRIES]; // for clients, by entry
    int relay_port;
    const char *entry_timings;
    const char *control_timings;
    long call_timeout_ms; // of HTTP calls
    int disturbances;     // of control by its disk, that are not judged
    // By the number in the upstream's id.
    struct announcer *announcers[RIG_DATABASES * PLATFORM_UPSTREAMS];
    // Announced as draining for good.
    volatile bool leaving[RIG_DATABASES * PLATFORM_UPSTREAMS];
};

struct platform_rig_options {
    int entries;
    int databases;
    const char *control_extra; // see platform_rig_start()
    // JSON settings that end in _ms, separated by commas; NULL: the default.
    const char *entry_timings;
    const char *control_timings;
    long call_timeout_ms; // of HTTP calls; 0: 20 s
};

extern struct platform_rig rig;

// Starts the daemons and a thread that announces the upstreams. control_extra:
// additional JSON settings of the control VMs, each preceded by a comma.
void platform_rig_start(const char *name, int entries,
                        const char *control_extra);
// The same with further options, which must stay valid.
void platform_rig_start_with(const char *name,
                             const struct platform_rig_options *options);
// Kills all daemons and stops the fake platform.
void platform_rig_stop(void);
// Starts the daemon of a VM. bootstrap: the value of that setting.
struct process *platform_rig_start_daemon(int vm_index, bool bootstrap);
// Sends one HTTP request to a daemon; see platform_call_http. The second one
// waits for the time in the options.
char *platform_rig_call_within(int vm_index, const char *method,
                               const char *path, const char *body,
                               long timeout_ms, long *status);
char *platform_rig_call(int vm_index, const char *method, const char *path,
                        const char *body, long *status);
// Sends a configuration. Returns the HTTP status; 0: no response.
long platform_rig_put_config(int vm_index, const char *body);
// Sends a configuration until it is accepted.
void platform_rig_wait_config(int vm_index, const char *body);
// Sends a request on new sessions until its answer contains the expected text.
// Returns that session's socket.
int platform_rig_wait_answer(int entry, const char *name, const char *line,
                             const char *expected);
// Returns whether a control VM reports three voters, all of which vote.
// timeout_ms: time to wait for each daemon.
bool platform_rig_is_settled(int vm_index, int timeout_ms);
// Returns how often the log of a VM contains a text.
int platform_rig_count_in_log(int vm_index, const char *text);
// Returns whether the log of a VM contains a text.
bool platform_rig_log_contains(int vm_index, const char *text);
// Removes the data directory of a control VM, which must not be running.
void platform_rig_remove_disk(int vm_index);
// Runs each kind of statement on a session: variables, prepared statements,
// and transactions that end by COMMIT and ROLLBACK, with and without
// statements.
void platform_rig_check_statements(int fd);
// Checks that a session reads what it wrote while no replica applies it.
void platform_rig_check_read_own_writes(int fd);
// Begins what is judged: from here on, platform_rig_is_disturbed() tells
// whether the disk held up a control VM for longer than heartbeat_ms, so that
// control may have no leader. No other cause counts, such as a change of the
// leader by itself. Both wait until the control VMs that run answer, so that a
// turn in progress is counted.
void platform_rig_begin_judged(void);
bool platform_rig_is_disturbed(void);
// Returns whether an answer, or what follows it, says that the entry ends the
// session. Fails if the entry has ended sessions more often than it has lost
// its lease.
bool platform_rig_is_ended(int entry, const char *answer);
// Sends a request on a session of an entry. Returns whether it got this
// answer. It fails if control was not disturbed, and at any answer that is not
// the expected one, an error or the end of the session.
bool platform_rig_try(int entry, int fd, const char *line, const char *answer);
// Expects the announcement that an entry ends a session.
void platform_rig_expect_end(int fd);
// Expects the same, and then that the entry closes the connection, although
// the client does not; closes the socket.
void platform_rig_expect_close(int fd);
// Sends a request on a session and expects exactly this answer.
void platform_rig_expect(int fd, const char *line, const char *answer);

// Sends a request, and checks how its answer starts.
void platform_rig_expect_start(int fd, const char *line, const char *start);

#endif
