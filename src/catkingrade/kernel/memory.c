#include "catkingrade/kernel/memory.h"

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static void *
memory_check_result(void *memory)
{
    if (memory == NULL) {
        (void)fputs("catkingrade: out of memory\n", stderr);
        abort();
    }
    return memory;
}

// Allocates size_bytes. Never returns NULL; aborts if memory is exhausted.
void *
xmalloc(size_t size_bytes)
{
    return memory_check_result(malloc(size_bytes == 0 ? 1 : size_bytes));
}

// Allocates an array of count zeroed items. Never returns NULL.
void *
xcalloc(size_t count, size_t size_bytes)
{
    if (count == 0 || size_bytes == 0) {
        return memory_check_result(calloc(1, 1));
    }
    return memory_check_result(calloc(count, size_bytes));
}

// Resizes an allocation, or allocates if memory is NULL. Never returns NULL.
void *
xrealloc(void *memory, size_t size_bytes)
{
    size_t size = size_bytes == 0 ? 1 : size_bytes;

    return memory_check_result(realloc(memory, size));
}

// Returns a copy of a string, which the caller frees. Never returns NULL.
char *
xstrdup(const char *text)
{
    return memory_check_result(strdup(text));
}

// Returns a copy of size_bytes of data with a terminating zero byte, which the
// caller frees. Never returns NULL.
char *
xmemdupz(const char *data, size_t size_bytes)
{
    char *copy = xmalloc(size_bytes + 1);

    if (size_bytes > 0) {
        memcpy(copy, data, size_bytes);
    }
    copy[size_bytes] = '\0';
    return copy;
}

// Returns a printf-formatted string, which the caller frees. Never returns
// NULL.
char *
xasprintf(const char *format, ...)
{
    char *text = NULL;
    va_list args;

    va_start(args, format);
    int length = vasprintf(&text, format, args);
    va_end(args);
    return memory_check_result(length < 0 ? NULL : text);
}

// Reports a violated invariant on standard error and aborts the process.
void
memory_abort_invariant(const char *condition, const char *file, int line)
{
    (void)fprintf(stderr, "catkingrade: invariant broken at %s:%d: %s\n", file,
                  line, condition);
    abort();
}
