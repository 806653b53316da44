#include "catkingrade/kernel/file.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "catkingrade/kernel/buffer.h"
#include "catkingrade/kernel/memory.h"
#include "catkingrade/kernel/outcome.h"

#define FILE_READ_CHUNK_BYTES 16384
#define FILE_MAX_SECRET_BYTES 65536

// Reads a whole file into a new zero-terminated string, which the caller
// frees. *size_bytes is its size without the terminating zero byte; the file
// may have others. Returns OUTCOME_OK, OUTCOME_IO with errno set, or
// OUTCOME_TOO_LARGE for a file of more than max_size_bytes. On an error, *text
// is unchanged.
int
file_read_bytes(const char *path, size_t max_size_bytes, char **text,
                size_t *size_bytes)
{
    struct buffer content = {0};
    FILE *file = fopen(path, "re");
    int outcome = OUTCOME_OK;

    if (file == NULL) {
        return OUTCOME_IO;
    }
    for (;;) {
        uint8_t *chunk = buffer_reserve(&content, FILE_READ_CHUNK_BYTES);
        size_t read_bytes = fread(chunk, 1, FILE_READ_CHUNK_BYTES, file);
        content.end += read_bytes;
        if (read_bytes == 0) {
            break;
        }
        if (buffer_get_size(&content) > max_size_bytes) {
            outcome = OUTCOME_TOO_LARGE;
            break;
        }
    }
    if (ferror(file) != 0) {
        outcome = OUTCOME_IO;
    }
    (void)fclose(file);
    if (outcome == OUTCOME_OK) {
        *size_bytes = buffer_get_size(&content);
        *text = xmemdupz((const char *)buffer_get_data(&content), *size_bytes);
    }
    buffer_free(&content);
    return outcome;
}

// Reads a whole file like file_read_bytes.
int
file_read_text(const char *path, size_t max_size_bytes, char **text)
{
    size_t size_bytes = 0;

    return file_read_bytes(path, max_size_bytes, text, &size_bytes);
}

// Reads the first line of a file, such as a password, into a new string, which
// the caller frees. An empty path yields an empty string. Returns the same
// outcomes as file_read_text. On an error, *secret is unchanged.
int
file_read_secret(const char *path, char **secret)
{
    if (path[0] == '\0') {
        *secret = xstrdup("");
        return OUTCOME_OK;
    }
    int outcome = file_read_text(path, FILE_MAX_SECRET_BYTES, secret);
    if (outcome == OUTCOME_OK) {
        (*secret)[strcspn(*secret, "\r\n")] = '\0';
    }
    return outcome;
}
