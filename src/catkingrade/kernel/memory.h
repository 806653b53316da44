#ifndef CATKINGRADE_KERNEL_MEMORY_H
#define CATKINGRADE_KERNEL_MEMORY_H

#include <stddef.h>

// Allocation functions that abort the process when memory is exhausted, and
// checks of invariants.

// Aborts the process with file and line if condition is false. Also active in
// release builds.
#define INVARIANT(condition)                                                  \
    ((condition) ? (void)0                                                    \
                 : memory_abort_invariant(#condition, __FILE__, __LINE__))

#define ARRAY_SIZE(array) (sizeof(array) / sizeof((array)[0]))

void *xmalloc(size_t size_bytes) __attribute__((malloc, returns_nonnull));
void *xcalloc(size_t count, size_t size_bytes)
    __attribute__((malloc, returns_nonnull));
void *xrealloc(void *memory, size_t size_bytes)
    __attribute__((returns_nonnull));
char *xstrdup(const char *text) __attribute__((malloc, returns_nonnull));
char *xmemdupz(const char *data, size_t size_bytes)
    __attribute__((malloc, returns_nonnull));
char *xasprintf(const char *format, ...)
    __attribute__((malloc, returns_nonnull, format(printf, 1, 2)));
void memory_abort_invariant(const char *condition, const char *file, int line)
    __attribute__((noreturn));

#endif
