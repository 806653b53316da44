#ifndef TEST_FAKE_PROCESS_H
#define TEST_FAKE_PROCESS_H

#include <libpq-fe.h>
#include <stdbool.h>
#include <stddef.h>
#include <sys/types.h>

// Our programs as children of a test. They die with the test.
struct process;

// program is a name in the build folder, or a path with a slash. args end
// with NULL and hold what stands after the program. Output goes to log_path.
struct process *process_start(const char *log_path, const char *program,
                              const char *const *args);
pid_t process_get_pid(const struct process *process);
// Sends a signal, waits for the end and frees. Returns the exit status, or
// minus the signal that ended it.
int process_stop(struct process *process, int signal_number);
// Waits for the end by itself, up to a generous limit; then as process_stop.
int process_wait(struct process *process);

// Runs a program to its end. Returns what it printed, which the caller frees.
char *process_run(const char *folder, const char *program,
                  const char *const *args, int *code);

int process_get_free_port(void);
// Waits until a local port accepts connections. Returns whether it does.
bool process_wait_port(int port);
// Makes an empty folder of that name for a test. The caller frees the path.
char *process_make_folder(const char *name);
void process_write_file(const char *path, const char *text);
char *process_read_file(const char *path);

// A stand-in upstream that listens; extra args as in process_start.
struct process *process_start_upstream(const char *folder, const char *name,
                                       int port, const char *const *extra);
// Gives a fault command to the control port of a stand-in upstream.
bool process_send_fault_command(int control_port, const char *line);

// Connects, or fails the test. options are further libpq keywords.
PGconn *process_connect(int port, const char *options);
// Runs a statement and returns the first value of its answer ("" without
// one), or "SQLSTATE message". The caller frees the text.
char *process_query(PGconn *conn, const char *sql);
// Repeats a statement on conn until it gives the value. Returns whether it
// did within a generous limit.
bool process_wait_value(PGconn *conn, const char *sql, const char *value);

#endif
