#ifndef TEST_FAKE_PROCESS_H
#define TEST_FAKE_PROCESS_H

#include <libpq-fe.h>
#include <stdbool.h>
#include <stddef.h>
#include <sys/types.h>

// Child processes of a test, and helpers to talk to them: free ports, test
// folders, fault injection and SQL. The kernel kills the children when the
// test program ends. Functions abort the test program on failures of system
// calls.

struct process;

// Starts a program. program is a file name in the build folder, or a path that
// contains a slash. args are the arguments after the program name and end with
// NULL. Standard output and error are appended to log_path.
struct process *process_start(const char *log_path, const char *program,
                              const char *const *args);
pid_t process_get_pid(const struct process *process);
// Returns whether the process has ended; process_wait() is still needed.
bool process_has_ended(const struct process *process);
// Sends a signal, then waits as process_wait() does.
int process_stop(struct process *process, int signal_number);
// Waits until the process ends and frees it. Kills the process after 60 s.
// Returns the exit status, or the negated number of the signal that ended the
// process.
int process_wait(struct process *process);
// Frees the process if it has ended, with its exit status in *code as of
// process_wait(). Returns whether it has.
bool process_try_wait(struct process *process, int *code);

// Runs a program to its end, with its output in a new file of the folder.
// Returns the output, which the caller frees. *code is as of process_wait().
char *process_run(const char *folder, const char *program,
                  const char *const *args, int *code);

// Returns a port of the loopback address that is free for TCP and UDP.
//
// The port lies below the system's range for outgoing connections, so that no
// connection takes it before a program listens on it. It lies in a port range
// that this test program has claimed at its first call, and that no other one
// gets until this one ends, whichever clone and build it is of. The
// environment variable TEST_PORT_RANGE or else the process id selects the
// range; if another program has it, the next one that is free is claimed.
int process_get_free_port(void);
// Waits up to 60 s until a local port accepts connections. Returns whether it
// does.
bool process_wait_port(int port);
// Creates an empty folder "test-data/<name>" in the build folder and deletes
// an older one. Returns the path, which the caller frees.
char *process_make_folder(const char *name);
void process_write_file(const char *path, const char *text);
// Returns the contents of a text file, which the caller frees.
char *process_read_file(const char *path);

// Starts a fake upstream and waits until it listens. extra are further
// arguments, as in process_start(), or NULL.
struct process *process_start_upstream(const char *folder, const char *name,
                                       int port, const char *const *extra);
// Sends one fault injection command to the control port of a fake upstream.
// Returns whether the upstream accepted the command.
bool process_send_fault_command(int control_port, const char *line);

// Connects to a local port, by default to the database "roster". options are
// further libpq keywords, which override the defaults, or NULL. Aborts the
// test program if the connection fails.
PGconn *process_connect(int port, const char *options);
// Runs a statement with the simple query protocol. Returns the first value of
// the result ("" without rows) or, on error, "<SQLSTATE> <message>", with
// "cut" in place of a missing SQLSTATE. The caller frees the text.
char *process_query(PGconn *conn, const char *sql);
// Repeats a statement until process_query() returns the value. Returns false
// after 60 s.
bool process_wait_value(PGconn *conn, const char *sql, const char *value);

#endif
