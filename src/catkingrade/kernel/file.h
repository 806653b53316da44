#ifndef CATKINGRADE_KERNEL_FILE_H
#define CATKINGRADE_KERNEL_FILE_H

#include <stddef.h>

// Reading of whole files into memory.
int file_read_bytes(const char *path, size_t max_size_bytes, char **text,
                    size_t *size_bytes);
int file_read_text(const char *path, size_t max_size_bytes, char **text);
int file_read_secret(const char *path, char **secret);

#endif
