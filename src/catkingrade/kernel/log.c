#include "catkingrade/kernel/log.h"

#include <poll.h>
#include <pthread.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#include "catkingrade/kernel/buffer.h"
#include "catkingrade/kernel/loop.h"
#include "catkingrade/kernel/memory.h"
#include "catkingrade/kernel/outcome.h"
#include "catkingrade/kernel/pairs.h"

#define LOG_TEXT_SIZE     2048
#define LOG_VM_SIZE       256
#define LOG_LEFT_OUT_SIZE 32 // of the text for left_out
#define LOG_US_PER_SECOND INT64_C(1000000)

static struct {
    pthread_mutex_t mutex;
    FILE *file;
    char *path;
    char vm[LOG_VM_SIZE];
    enum log_level level;
    enum log_format format;
    uint64_t dropped_lines; // reported by the next log_stalled event
} log_state = {
    .mutex = PTHREAD_MUTEX_INITIALIZER,
    .level = LOG_LEVEL_INFO,
};

static const char *const log_level_names[] = {
    [LOG_LEVEL_DEBUG] = "debug",
    [LOG_LEVEL_INFO] = "info",
    [LOG_LEVEL_WARNING] = "warning",
    [LOG_LEVEL_ERROR] = "error",
};

// Opens the log and replaces the previous one. A path of NULL or "-" means
// standard output; vm is added to each line. Returns OUTCOME_OK, or OUTCOME_IO
// if the file cannot be opened; the previous log then remains in use.
int
log_open(const char *path, enum log_level level, enum log_format format,
         const char *vm)
{
    FILE *file = NULL;

    if (path != NULL && strcmp(path, "-") != 0) {
        file = fopen(path, "ae");
        if (file == NULL) {
            return OUTCOME_IO;
        }
    }
    log_close();
    pthread_mutex_lock(&log_state.mutex);
    log_state.file = file;
    log_state.path = file == NULL ? NULL : xstrdup(path);
    (void)pairs_append_text(log_state.vm, 0, sizeof(log_state.vm),
                            vm == NULL ? "" : vm);
    log_state.level = level;
    log_state.format = format;
    pthread_mutex_unlock(&log_state.mutex);
    return OUTCOME_OK;
}

// Reopens the log file by its path, after log rotation. Returns OUTCOME_OK, or
// OUTCOME_IO if the file cannot be opened; the old file then stays open.
int
log_reopen(void)
{
    int outcome = OUTCOME_OK;

    pthread_mutex_lock(&log_state.mutex);
    if (log_state.path != NULL) {
        FILE *file = fopen(log_state.path, "ae");
        if (file == NULL) {
            outcome = OUTCOME_IO;
        }
        else {
            (void)fclose(log_state.file);
            log_state.file = file;
        }
    }
    pthread_mutex_unlock(&log_state.mutex);
    return outcome;
}

// Closes the log. Later lines go to standard output.
void
log_close(void)
{
    pthread_mutex_lock(&log_state.mutex);
    if (log_state.file != NULL) {
        (void)fclose(log_state.file);
        log_state.file = NULL;
    }
    free(log_state.path);
    log_state.path = NULL;
    log_state.vm[0] = '\0';
    pthread_mutex_unlock(&log_state.mutex);
}

// Appends text escaped for the inside of a JSON string.
static void
log_append_escaped(struct buffer *line, const char *text, size_t size)
{
    for (const char *c = text; c < text + size; c++) {
        if (*c == '"' || *c == '\\') {
            buffer_append_format(line, "\\%c", *c);
        }
        else if ((unsigned char)*c < 0x20) {
            buffer_append_format(line, "\\u%04x", (unsigned char)*c);
        }
        else {
            buffer_append_u8(line, (uint8_t)*c);
        }
    }
}

// Returns whether text begins with a key and an equals sign. Sets *size to the
// length of the key.
static bool
log_is_key(const char *text, size_t *size)
{
    size_t length = strspn(text, "abcdefghijklmnopqrstuvwxyz_0123456789");

    *size = length;
    return length > 0 && text[length] == '=';
}

// Returns the length of a value, which ends at the space before the next key.
static size_t
log_get_value_size(const char *text)
{
    size_t size = 0;
    size_t ignored = 0;

    while (text[size] != '\0' &&
           !(text[size] == ' ' && log_is_key(text + size + 1, &ignored))) {
        size++;
    }
    return size;
}

// Appends key=value pairs as members of a JSON object. Text before the first
// key becomes the member "text".
static void
log_append_members(struct buffer *line, const char *text)
{
    while (*text != '\0') {
        size_t key_size = 0;
        const char *key = text;
        if (log_is_key(text, &key_size)) {
            text += key_size + 1;
        }
        else {
            key = "text";
            key_size = strlen(key);
        }
        size_t size = log_get_value_size(text);
        buffer_append_format(line, ",\"%.*s\":\"", (int)key_size, key);
        log_append_escaped(line, text, size);
        buffer_append_text(line, "\"");
        text += size;
        text += *text == ' ' ? 1 : 0;
    }
}

static void
log_format_line(struct buffer *line, enum log_level level, const char *event,
                const char *text)
{
    struct timespec now;
    struct tm parts;
    char when[32];
    const char *vm = log_state.vm;

    clock_gettime(CLOCK_REALTIME, &now);
    gmtime_r(&now.tv_sec, &parts);
    (void)strftime(when, sizeof(when), "%Y-%m-%dT%H:%M:%S", &parts);
    if (log_state.format == LOG_FORMAT_JSON) {
        buffer_append_format(line, "{\"time\":\"%s.%03ldZ\",\"vm\":\"", when,
                             now.tv_nsec / 1000000);
        log_append_escaped(line, vm, strlen(vm));
        buffer_append_format(line, "\",\"level\":\"%s\",\"event\":\"%s\"",
                             log_level_names[level], event);
        log_append_members(line, text);
        buffer_append_text(line, "}\n");
        return;
    }
    buffer_append_format(line, "%s.%03ldZ vm=%s level=%s event=%s ", when,
                         now.tv_nsec / 1000000, vm, log_level_names[level],
                         event);
    buffer_append_text(line, text);
    buffer_append_u8(line, '\n');
}

// Returns whether a write would not block, for example on a full pipe.
static bool
log_is_writable(int fd)
{
    struct pollfd pollfd = {.fd = fd, .events = POLLOUT};

    return poll(&pollfd, 1, 0) == 1 && (pollfd.revents & POLLOUT) != 0;
}

// Writes a line. Returns false if the write fails or would block, so that a
// stalled reader of the log does not stall the daemon.
static bool
log_put_line(const struct buffer *line)
{
    int fd = log_state.file == NULL ? STDOUT_FILENO : fileno(log_state.file);

    return log_is_writable(fd) &&
           write(fd, buffer_get_data(line), buffer_get_size(line)) >= 0;
}

// Writes a line, preceded by a log_stalled event if lines were dropped before.
// Drops and counts it if it cannot be written.
static void
log_write_line(enum log_level level, const char *event, const char *text)
{
    struct buffer line = {0};

    pthread_mutex_lock(&log_state.mutex);
    if (log_state.dropped_lines > 0) {
        char count[48];
        (void)snprintf(count, sizeof(count), "lines=%llu",
                       (unsigned long long)log_state.dropped_lines);
        log_format_line(&line, LOG_LEVEL_WARNING, "log_stalled", count);
    }
    log_format_line(&line, level, event, text);
    log_state.dropped_lines =
        log_put_line(&line) ? 0 : log_state.dropped_lines + 1;
    pthread_mutex_unlock(&log_state.mutex);
    buffer_free(&line);
}

// Writes one log line. event is a short constant; format and its arguments
// yield key=value pairs, see pairs_format. Drops the line instead of waiting
// for a stalled reader; the next line is then preceded by a log_stalled event.
// Thread-safe.
void
log_write(enum log_level level, const char *event, const char *format, ...)
{
    char text[LOG_TEXT_SIZE];
    va_list args;

    if (level < log_state.level) {
        return;
    }
    va_start(args, format);
    (void)pairs_format(text, sizeof(text), format, args);
    va_end(args);
    log_write_line(level, event, text);
}

// Returns whether the rate limit allows one more line in the current second.
// If so, sets *suppressed_lines to the number of lines suppressed since the
// last allowed line.
static bool
log_limit_allows_line(struct log_limit *limit, unsigned *suppressed_lines)
{
    int64_t second = monotonic_get_us() / LOG_US_PER_SECOND;

    if (second != limit->second) {
        limit->second = second;
        limit->written_lines = 0;
    }
    if (limit->written_lines >= limit->lines_per_second) {
        limit->suppressed_lines++;
        return false;
    }
    limit->written_lines++;
    *suppressed_lines = limit->suppressed_lines;
    limit->suppressed_lines = 0;
    return true;
}

// Writes one log line subject to a rate limit. The next line that the limit
// allows ends with left_out=N, the number of lines suppressed before it.
void
log_write_limited(struct log_limit *limit, enum log_level level,
                  const char *event, const char *format, ...)
{
    char text[LOG_TEXT_SIZE];
    unsigned suppressed_lines = 0;
    va_list args;

    if (level < log_state.level ||
        !log_limit_allows_line(limit, &suppressed_lines)) {
        return;
    }
    va_start(args, format);
    size_t size =
        pairs_format(text, sizeof(text) - LOG_LEFT_OUT_SIZE, format, args);
    va_end(args);
    if (suppressed_lines > 0) {
        (void)snprintf(text + size, LOG_LEFT_OUT_SIZE, " left_out=%u",
                       suppressed_lines);
    }
    log_write_line(level, event, text);
}
