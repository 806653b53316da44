#include "catkingrade/kernel/file.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "catkingrade/kernel/buffer.h"
#include "catkingrade/kernel/memory.h"
#include "catkingrade/kernel/outcome.h"

#define FILE_READ_CHUNK_BYTES 16384
#define FILE_MAX_SECRET_BYTES 65536

// Reads a whole file as text that the caller frees. Returns OUTCOME_OK,
// OUTCOME_IO with errno set, or OUTCOME_TOO_LARGE.
int
file_read_text(const char *path, size_t max_size_bytes, char **text)
{
    struct buffer content = {0};
    FILE *file = fopen(path, "re");
    int outcome = OUTCOME_OK;

    if (file == NULL) {
        return OUTCOME_IO;
    }
    for (;;) {
        uint8_t *place = buffer_reserve(&content, FILE_READ_CHUNK_BYTES);
        size_t got = fread(place, 1, FILE_READ_CHUNK_BYTES, file);
        content.end += got;
        if (got == 0) {
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
        *text = xmemdupz((const char *)buffer_get_data(&content),
                         buffer_get_size(&content));
    }
    buffer_free(&content);
    return outcome;
}

// Reads the first line of a file, such as a password, that the caller frees.
// An empty path gives an empty text. Returns as file_read_text does; on an
// error secret is left as it is.
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
