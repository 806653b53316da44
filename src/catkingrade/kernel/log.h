#ifndef CATKINGRADE_KERNEL_LOG_H
#define CATKINGRADE_KERNEL_LOG_H

#include <stdint.h>

enum log_level {
    LOG_LEVEL_DEBUG,
    LOG_LEVEL_INFO,
    LOG_LEVEL_WARNING,
    LOG_LEVEL_ERROR,
};

enum log_format {
    LOG_FORMAT_TEXT,
    LOG_FORMAT_JSON,
};

int log_open(const char *path, enum log_level level, enum log_format format,
             const char *vm);
int log_reopen(void);
void log_close(void);
void log_write(enum log_level level, const char *event, const char *format,
               ...) __attribute__((format(printf, 3, 4)));

// Bounds the lines of one kind; one for each thread that writes them.
struct log_limit {
    unsigned lines_per_second;
    unsigned count;
    unsigned left_out;
    int64_t second;
};

void log_write_limited(struct log_limit *limit, enum log_level level,
                       const char *event, const char *format, ...)
    __attribute__((format(printf, 4, 5)));

// event is a short constant such as "upstream_lost"; the rest is key=value
// pairs. Lines are for changes of state only.
#define LOG_DEBUG(event, ...) log_write(LOG_LEVEL_DEBUG, event, __VA_ARGS__)
#define LOG_INFO(event, ...)  log_write(LOG_LEVEL_INFO, event, __VA_ARGS__)
#define LOG_WARNING(event, ...)                                               \
    log_write(LOG_LEVEL_WARNING, event, __VA_ARGS__)
#define LOG_ERROR(event, ...) log_write(LOG_LEVEL_ERROR, event, __VA_ARGS__)
// At most so many lines of this place a second and thread.
#define LOG_LIMITED(lines, level, event, ...)                                 \
    do {                                                                      \
        static _Thread_local struct log_limit limit = {.lines_per_second =    \
                                                           (lines)};          \
        log_write_limited(&limit, level, event, __VA_ARGS__);                 \
    } while (0)

#endif
