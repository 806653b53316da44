#include <ctype.h>
#include <inttypes.h>
#include <stdio.h>
#include <string.h>
#include <xxhash.h>

#include "catkingrade/kernel/outcome.h"
#include "catkingrade/store/store_internal.h"

#define IDENTITY_TEXT_SIZE 256

static int
store_identity_format(char text[IDENTITY_TEXT_SIZE], const char *kind,
                      const struct store_identity *identity)
{
    int length = snprintf(
        text, IDENTITY_TEXT_SIZE,
        "catkingrade 1\n%s %s\nvoter %" PRIu64 "\nfolder %016" PRIx64 "\n",
        kind, identity->name, identity->voter, identity->folder);
    uint64_t checksum = XXH64(text, (size_t)length, 0);

    return length + snprintf(text + length, IDENTITY_TEXT_SIZE - length,
                             "checksum %016" PRIx64 "\n", checksum);
}

// Reads the identity of a folder; kind is "vm" or "group". Returns
// OUTCOME_NOT_FOUND when it has none.
int
store_identity_read(const char *dir, const char *kind,
                    struct store_identity *identity, struct buffer *report)
{
    char path[STORE_PATH_SIZE];
    char text[IDENTITY_TEXT_SIZE];
    char format[64];
    struct buffer data = {0};

    store_format_path(path, dir, "identity");
    int outcome = store_read_file(path, &data);
    if (outcome != OUTCOME_OK) {
        buffer_free(&data);
        return outcome;
    }
    buffer_append_u8(&data, 0);
    (void)snprintf(format, sizeof(format),
                   "catkingrade 1\n%s %%63s\nvoter %%" SCNu64
                   "\nfolder %%16" SCNx64,
                   kind);
    int fields = sscanf((const char *)buffer_get_data(&data), format,
                        identity->name, &identity->voter, &identity->folder);
    int length = store_identity_format(text, kind, identity);
    bool same = buffer_get_size(&data) == (size_t)length + 1 &&
                memcmp(text, buffer_get_data(&data), (size_t)length) == 0;
    buffer_free(&data);
    if (fields != 3 || !same) {
        buffer_append_format(report, "%s: not a valid identity\n", path);
        return OUTCOME_CORRUPT;
    }
    return OUTCOME_OK;
}

// Writes the identity of a folder, durably.
int
store_identity_write(const struct store_io *io, const char *dir,
                     const char *kind, const struct store_identity *identity)
{
    char text[IDENTITY_TEXT_SIZE];
    int length = store_identity_format(text, kind, identity);

    return store_replace_file(io, dir, "identity", text, (size_t)length);
}

// Tells whether a name may stand in an identity and be a folder's name.
bool
store_is_valid_name(const char *name)
{
    size_t length = strlen(name);

    for (size_t i = 0; i < length; i++) {
        if (!isalnum((unsigned char)name[i]) &&
            strchr("-_.", name[i]) == NULL) {
            return false;
        }
    }
    return length > 0 && length < STORE_NAME_SIZE && name[0] != '.';
}
