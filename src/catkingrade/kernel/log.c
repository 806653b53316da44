#include "catkingrade/kernel/log.h"

#include <pthread.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "catkingrade/kernel/buffer.h"
#include "catkingrade/kernel/memory.h"
#include "catkingrade/kernel/outcome.h"

static struct {
    pthread_mutex_t mutex;
    FILE *file;
    char *path;
    char *vm;
    enum log_level level;
    enum log_format format;
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

// Opens the log. path NULL or "-" is standard error. Returns OUTCOME_OK, or
// OUTCOME_IO when the file cannot be opened; the old log then stays.
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
    log_state.vm = xstrdup(vm == NULL ? "" : vm);
    log_state.level = level;
    log_state.format = format;
    pthread_mutex_unlock(&log_state.mutex);
    return OUTCOME_OK;
}

// Opens the log file again under its path, after it was rotated. Returns
// OUTCOME_OK or OUTCOME_IO; on failure the old file stays open.
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

// Closes the log; later lines go to standard error.
void
log_close(void)
{
    pthread_mutex_lock(&log_state.mutex);
    if (log_state.file != NULL) {
        (void)fclose(log_state.file);
        log_state.file = NULL;
    }
    free(log_state.path);
    free(log_state.vm);
    log_state.path = NULL;
    log_state.vm = NULL;
    pthread_mutex_unlock(&log_state.mutex);
}

// Appends text as the inside of a JSON string.
static void
log_append_escaped(struct buffer *line, const char *text)
{
    for (const char *c = text; *c != '\0'; c++) {
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

// Appends text on one line: control characters become spaces.
static void
log_append_plain(struct buffer *line, const char *text)
{
    for (const char *c = text; *c != '\0'; c++) {
        buffer_append_u8(line, (unsigned char)*c < 0x20 ? ' ' : (uint8_t)*c);
    }
}

static void
log_format_line(struct buffer *line, enum log_level level, const char *event,
                const char *text)
{
    struct timespec now;
    struct tm parts;
    char when[32];
    const char *vm = log_state.vm == NULL ? "" : log_state.vm;

    clock_gettime(CLOCK_REALTIME, &now);
    gmtime_r(&now.tv_sec, &parts);
    (void)strftime(when, sizeof(when), "%Y-%m-%dT%H:%M:%S", &parts);
    if (log_state.format == LOG_FORMAT_JSON) {
        buffer_append_format(line,
                             "{\"time\":\"%s.%03ldZ\",\"vm\":\"%s\","
                             "\"level\":\"%s\",\"event\":\"%s\",\"text\":\"",
                             when, now.tv_nsec / 1000000, vm,
                             log_level_names[level], event);
        log_append_escaped(line, text);
        buffer_append_text(line, "\"}\n");
        return;
    }
    buffer_append_format(line, "%s.%03ldZ vm=%s level=%s event=%s ", when,
                         now.tv_nsec / 1000000, vm, log_level_names[level],
                         event);
    log_append_plain(line, text);
    buffer_append_u8(line, '\n');
}

// Writes one line for a change of state. event is a short constant, format
// and its arguments give key=value pairs. Thread-safe.
void
log_write(enum log_level level, const char *event, const char *format, ...)
{
    char text[1024];
    struct buffer line = {0};
    va_list args;

    if (level < log_state.level) {
        return;
    }
    va_start(args, format);
    (void)vsnprintf(text, sizeof(text), format, args);
    va_end(args);
    pthread_mutex_lock(&log_state.mutex);
    log_format_line(&line, level, event, text);
    FILE *file = log_state.file == NULL ? stderr : log_state.file;
    (void)fwrite(buffer_get_data(&line), 1, buffer_get_size(&line), file);
    (void)fflush(file);
    pthread_mutex_unlock(&log_state.mutex);
    buffer_free(&line);
}
