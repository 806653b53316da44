#include "test/fake/process.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <signal.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/un.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#include "catkingrade/kernel/file.h"
#include "catkingrade/kernel/loop.h"
#include "catkingrade/kernel/memory.h"
#include "catkingrade/kernel/outcome.h"

#define PROCESS_FIRST_PORT       10240
#define PROCESS_PORT_RANGES      100
#define PROCESS_PORTS_PER_RANGE  220
#define PROCESS_CLAIM_NAME       "catkingrade-test-ports-%d"
#define PROCESS_MAX_ARGS         64
#define PROCESS_PATH_SIZE        1024
#define PROCESS_TIMEOUT_US       60000000
#define PROCESS_POLL_INTERVAL_US 10000
#define PROCESS_MAX_FILE_BYTES   (16U * 1024 * 1024)
#define PROCESS_EXEC_FAILED      127
#define PROCESS_FOLDER_MODE      0755
#define PROCESS_FILE_MODE        0644

struct process {
    pid_t pid;
};

// Returns the folder of the running program, which is the build folder. The
// caller frees the path.
static char *
process_get_build_folder(void)
{
    char path[PROCESS_PATH_SIZE];
    ssize_t size = readlink("/proc/self/exe", path, sizeof(path) - 1);

    INVARIANT(size > 0);
    path[size] = '\0';
    *strrchr(path, '/') = '\0';
    return xstrdup(path);
}

static void
process_sleep(void)
{
    struct timespec pause = {.tv_nsec = PROCESS_POLL_INTERVAL_US * 1000L};

    nanosleep(&pause, NULL);
}

// Resets the signal handling of a forked child to the defaults. Until the
// child executes its program, it has the test's signal handlers, which would
// end the whole test.
static void
process_reset_signals(void)
{
    sigset_t none;

    (void)signal(SIGTERM, SIG_DFL);
    (void)signal(SIGINT, SIG_DFL);
    (void)sigemptyset(&none);
    (void)sigprocmask(SIG_SETMASK, &none, NULL);
}

static void
process_exec_child(const char *log_path, const char *path, char **argv)
{
    process_reset_signals();
    int fd = open(log_path, O_WRONLY | O_CREAT | O_APPEND, PROCESS_FILE_MODE);

    prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (fd >= 0) {
        dup2(fd, STDOUT_FILENO);
        dup2(fd, STDERR_FILENO);
    }
    execv(path, argv);
    _exit(PROCESS_EXEC_FAILED);
}

struct process *
process_start(const char *log_path, const char *program,
              const char *const *args)
{
    char *build_folder = process_get_build_folder();
    char *path = strchr(program, '/') != NULL
                     ? xstrdup(program)
                     : xasprintf("%s/%s", build_folder, program);
    char *argv[PROCESS_MAX_ARGS] = {path};
    struct process *process = xcalloc(1, sizeof(*process));

    for (size_t i = 0; args != NULL && args[i] != NULL; i++) {
        INVARIANT(i + 2 < PROCESS_MAX_ARGS);
        argv[i + 1] = (char *)(uintptr_t)args[i];
    }
    // Blocks signals until the child has reset its signal handling.
    sigset_t all;
    sigset_t old;
    (void)sigfillset(&all);
    (void)pthread_sigmask(SIG_SETMASK, &all, &old);
    process->pid = fork();
    INVARIANT(process->pid >= 0);
    if (process->pid == 0) {
        process_exec_child(log_path, path, argv);
    }
    (void)pthread_sigmask(SIG_SETMASK, &old, NULL);
    free(path);
    free(build_folder);
    return process;
}

pid_t
process_get_pid(const struct process *process)
{
    return process->pid;
}

static int
process_decode_status(int status)
{
    return WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
}

int
process_stop(struct process *process, int signal_number)
{
    (void)kill(process->pid, signal_number);
    return process_wait(process);
}

bool
process_has_ended(const struct process *process)
{
    siginfo_t info = {0};

    return waitid(P_PID, (id_t)process->pid, &info,
                  WEXITED | WNOHANG | WNOWAIT) == 0 &&
           info.si_pid == process->pid;
}

int
process_wait(struct process *process)
{
    int64_t deadline_us = monotonic_get_us() + PROCESS_TIMEOUT_US;
    int status = 0;

    while (waitpid(process->pid, &status, WNOHANG) == 0) {
        if (monotonic_get_us() > deadline_us) {
            (void)kill(process->pid, SIGKILL);
            (void)waitpid(process->pid, &status, 0);
            break;
        }
        process_sleep();
    }
    free(process);
    return process_decode_status(status);
}

bool
process_try_wait(struct process *process, int *code)
{
    int status = 0;

    if (waitpid(process->pid, &status, WNOHANG) == 0) {
        return false;
    }
    free(process);
    *code = process_decode_status(status);
    return true;
}

char *
process_run(const char *folder, const char *program, const char *const *args,
            int *code)
{
    static int runs;
    char *log_path = xasprintf("%s/run-%d.log", folder, runs++);

    *code = process_wait(process_start(log_path, program, args));
    char *text = process_read_file(log_path);
    free(log_path);
    return text;
}

static struct sockaddr_in
process_get_address(int port)
{
    struct sockaddr_in address = {.sin_family = AF_INET};

    address.sin_port = htons((uint16_t)port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

static bool
process_is_port_free(int port)
{
    struct sockaddr_in address = process_get_address(port);
    bool is_free = true;

    for (int i = 0; i < 2 && is_free; i++) {
        int type = i == 0 ? SOCK_STREAM : SOCK_DGRAM;
        int fd = socket(AF_INET, type | SOCK_CLOEXEC, 0);
        INVARIANT(fd >= 0);
        is_free = bind(fd, (struct sockaddr *)&address, sizeof(address)) == 0;
        close(fd);
    }
    return is_free;
}

// Claims a port range until this program ends, by a Unix socket with an
// abstract name: the kernel keeps these names for each network namespace, as
// it does the ports. Returns false if another program has the range.
static bool
process_claim_range(int range)
{
    struct sockaddr_un address = {.sun_family = AF_UNIX};
    int fd = socket(AF_UNIX, SOCK_STREAM | SOCK_CLOEXEC, 0);
    int length = snprintf(address.sun_path + 1, sizeof(address.sun_path) - 1,
                          PROCESS_CLAIM_NAME, range);
    size_t size = offsetof(struct sockaddr_un, sun_path) + 1 + (size_t)length;

    INVARIANT(fd >= 0);
    if (bind(fd, (struct sockaddr *)&address, (socklen_t)size) == 0) {
        return true;
    }
    INVARIANT(errno == EADDRINUSE);
    close(fd);
    return false;
}

// Claims the port range that TEST_PORT_RANGE or else the process id selects,
// or the first one after it that no other program has.
static int
process_select_range(void)
{
    const char *number = getenv("TEST_PORT_RANGE");
    int first = number == NULL ? (int)getpid() : atoi(number);

    for (int i = 0; i < PROCESS_PORT_RANGES; i++) {
        int range = (first + i) % PROCESS_PORT_RANGES;
        if (process_claim_range(range)) {
            return range;
        }
    }
    INVARIANT(!"no free port range");
    return 0;
}

int
process_get_free_port(void)
{
    static int next;
    static int range = -1;

    if (range < 0) {
        range = process_select_range();
    }
    for (int i = 0; i < PROCESS_PORTS_PER_RANGE; i++) {
        int port = PROCESS_FIRST_PORT + range * PROCESS_PORTS_PER_RANGE +
                   next++ % PROCESS_PORTS_PER_RANGE;
        if (process_is_port_free(port)) {
            return port;
        }
    }
    INVARIANT(!"no free port");
    return 0;
}

static int
process_try_connect(int port)
{
    struct sockaddr_in address = process_get_address(port);
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

    INVARIANT(fd >= 0);
    if (connect(fd, (struct sockaddr *)&address, sizeof(address)) == 0) {
        return fd;
    }
    close(fd);
    return -1;
}

bool
process_wait_port(int port)
{
    int64_t deadline_us = monotonic_get_us() + PROCESS_TIMEOUT_US;

    while (monotonic_get_us() < deadline_us) {
        int fd = process_try_connect(port);
        if (fd >= 0) {
            close(fd);
            return true;
        }
        process_sleep();
    }
    return false;
}

static void
process_remove_folder(const char *path)
{
    char *command = xasprintf("rm -rf '%s'", path);

    INVARIANT(system(command) == 0);
    free(command);
}

char *
process_make_folder(const char *name)
{
    char *build_folder = process_get_build_folder();
    char *parent = xasprintf("%s/test-data", build_folder);
    char *path = xasprintf("%s/%s", parent, name);

    (void)mkdir(parent, PROCESS_FOLDER_MODE);
    process_remove_folder(path);
    INVARIANT(mkdir(path, PROCESS_FOLDER_MODE) == 0);
    free(parent);
    free(build_folder);
    return path;
}

void
process_write_file(const char *path, const char *text)
{
    FILE *file = fopen(path, "w");

    INVARIANT(file != NULL);
    INVARIANT(fputs(text, file) >= 0);
    INVARIANT(fclose(file) == 0);
}

char *
process_read_file(const char *path)
{
    char *text = NULL;

    INVARIANT(file_read_text(path, PROCESS_MAX_FILE_BYTES, &text) ==
              OUTCOME_OK);
    return text;
}

struct process *
process_start_upstream(const char *folder, const char *name, int port,
                       const char *const *extra)
{
    char *log_path = xasprintf("%s/%s.log", folder, name);
    char port_text[16];
    const char *args[PROCESS_MAX_ARGS] = {
        "--connect-delay-ms", "0", "--name", name, "--port", port_text};
    size_t count = 6;

    (void)snprintf(port_text, sizeof(port_text), "%d", port);
    for (size_t i = 0; extra != NULL && extra[i] != NULL; i++) {
        INVARIANT(count + 1 < PROCESS_MAX_ARGS);
        args[count++] = extra[i];
    }
    struct process *process = process_start(log_path, "fake_upstream", args);
    INVARIANT(process_wait_port(port));
    free(log_path);
    return process;
}

bool
process_send_fault_command(int control_port, const char *line)
{
    char answer[4] = "";
    int fd = process_try_connect(control_port);

    INVARIANT(fd >= 0);
    INVARIANT(dprintf(fd, "%s\n", line) == (int)strlen(line) + 1);
    ssize_t size = read(fd, answer, sizeof(answer) - 1);
    close(fd);
    return size == 3 && strcmp(answer, "ok\n") == 0;
}

PGconn *
process_connect(int port, const char *options)
{
    char *info = xasprintf("host=127.0.0.1 port=%d user=walker dbname=roster "
                           "connect_timeout=60 %s",
                           port, options == NULL ? "" : options);
    PGconn *conn = PQconnectdb(info);

    free(info);
    if (PQstatus(conn) != CONNECTION_OK) {
        (void)fprintf(stderr, "%s", PQerrorMessage(conn));
        INVARIANT(PQstatus(conn) == CONNECTION_OK);
    }
    return conn;
}

char *
process_query(PGconn *conn, const char *sql)
{
    PGresult *result = PQexec(conn, sql);
    ExecStatusType status = PQresultStatus(result);
    char *text = NULL;

    if (status == PGRES_TUPLES_OK) {
        text = xstrdup(PQntuples(result) > 0 ? PQgetvalue(result, 0, 0) : "");
    }
    else if (status == PGRES_COMMAND_OK || status == PGRES_EMPTY_QUERY) {
        text = xstrdup("");
    }
    else {
        const char *sqlstate = PQresultErrorField(result, PG_DIAG_SQLSTATE);
        const char *message =
            PQresultErrorField(result, PG_DIAG_MESSAGE_PRIMARY);
        text = xasprintf("%s %s", sqlstate == NULL ? "cut" : sqlstate,
                         message == NULL ? PQerrorMessage(conn) : message);
    }
    PQclear(result);
    return text;
}

bool
process_wait_value(PGconn *conn, const char *sql, const char *value)
{
    int64_t deadline_us = monotonic_get_us() + PROCESS_TIMEOUT_US;

    while (monotonic_get_us() < deadline_us) {
        char *text = process_query(conn, sql);
        bool matches = strcmp(text, value) == 0;
        free(text);
        if (matches) {
            return true;
        }
        process_sleep();
    }
    return false;
}
