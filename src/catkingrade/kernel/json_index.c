#include "catkingrade/kernel/json_index.h"

#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "catkingrade/kernel/memory.h"
#include "catkingrade/kernel/outcome.h"

#define JSON_INDEX_MAX_DEPTH 32
#define JSON_INDEX_PATH_SIZE 512

struct json_index_row {
    char *path;
    unsigned line;
};

struct json_index {
    struct json_index_row *rows;
    size_t count;
    size_t capacity;
};

// One level of nested containers.
struct json_index_level {
    bool is_array;
    unsigned item_number; // from 0, the current item of an array
    size_t path_length;   // of the path of the container itself
};

// State of a scan. Containers nested deeper than JSON_INDEX_MAX_DEPTH get no
// level of their own, and their keys are left out.
struct json_index_scan {
    struct json_index *index;
    const char *cursor;
    unsigned line;
    char path[JSON_INDEX_PATH_SIZE];
    struct json_index_level levels[JSON_INDEX_MAX_DEPTH];
    int depth;
    unsigned unindexed_depth; // open containers without a level
};

static void
json_index_add(struct json_index *index, const char *path, unsigned line)
{
    if (index->count == index->capacity) {
        index->capacity = index->capacity * 2 + 32;
        index->rows =
            xrealloc(index->rows, index->capacity * sizeof(*index->rows));
    }
    index->rows[index->count].path = xstrdup(path);
    index->rows[index->count].line = line;
    index->count++;
}

// Skips whitespace and comments, counting lines.
static void
json_index_skip_blanks(struct json_index_scan *scan)
{
    for (;;) {
        const char *c = scan->cursor;
        if (*c == '\n') {
            scan->line++;
            scan->cursor++;
        }
        else if (*c == ' ' || *c == '\t' || *c == '\r') {
            scan->cursor++;
        }
        else if (c[0] == '/' && c[1] == '/') {
            scan->cursor += strcspn(c, "\n");
        }
        else if (c[0] == '/' && c[1] == '*') {
            const char *end = strstr(c + 2, "*/");
            for (; *c != '\0' && c != end; c++) {
                scan->line += *c == '\n' ? 1 : 0;
            }
            scan->cursor = end == NULL ? c : end + 2;
        }
        else {
            return;
        }
    }
}

// Skips a quoted string and copies its text, truncated to size. An escape
// sequence is copied as the character that follows the backslash.
static void
json_index_read_string(struct json_index_scan *scan, char *text, size_t size)
{
    char quote = *scan->cursor++;
    size_t length = 0;

    while (*scan->cursor != '\0' && *scan->cursor != quote) {
        if (*scan->cursor == '\\' && scan->cursor[1] != '\0') {
            scan->cursor++;
        }
        if (*scan->cursor == '\n') {
            scan->line++;
        }
        if (length + 1 < size) {
            text[length++] = *scan->cursor;
        }
        scan->cursor++;
    }
    text[length] = '\0';
    if (*scan->cursor != '\0') {
        scan->cursor++;
    }
}

static void
json_index_open(struct json_index_scan *scan, bool is_array)
{
    scan->cursor++;
    if (scan->depth + 1 >= JSON_INDEX_MAX_DEPTH) {
        scan->unindexed_depth++;
        return;
    }
    scan->depth++;
    scan->levels[scan->depth].is_array = is_array;
    scan->levels[scan->depth].item_number = 0;
    scan->levels[scan->depth].path_length = strlen(scan->path);
}

static void
json_index_close(struct json_index_scan *scan)
{
    scan->cursor++;
    if (scan->unindexed_depth > 0) {
        scan->unindexed_depth--;
        return;
    }
    if (scan->depth > 0) {
        scan->depth--;
    }
    scan->path[scan->levels[scan->depth].path_length] = '\0';
}

// Appends the number of the current array item to the path of the array.
static void
json_index_append_item_number(struct json_index_scan *scan)
{
    struct json_index_level *level = &scan->levels[scan->depth];
    size_t length = level->path_length;

    if (!level->is_array) {
        return;
    }
    (void)snprintf(scan->path + length, sizeof(scan->path) - length, "[%u]",
                   level->item_number);
}

// Reads an object key and the colon after it, and adds the key to the index.
static void
json_index_read_key(struct json_index_scan *scan)
{
    size_t length = scan->levels[scan->depth].path_length;
    unsigned line = scan->line;
    char key[128];

    json_index_read_string(scan, key, sizeof(key));
    json_index_skip_blanks(scan);
    if (*scan->cursor != ':') {
        return;
    }
    scan->cursor++;
    (void)snprintf(scan->path + length, sizeof(scan->path) - length, "%s%s",
                   length == 0 ? "" : ".", key);
    json_index_add(scan->index, scan->path, line);
}

static void
json_index_read_next(struct json_index_scan *scan)
{
    struct json_index_level *level = &scan->levels[scan->depth];
    char ignored[2];

    switch (*scan->cursor) {
    case '{':
        json_index_append_item_number(scan);
        json_index_open(scan, false);
        break;
    case '[':
        json_index_append_item_number(scan);
        json_index_open(scan, true);
        break;
    case '}':
    case ']':
        json_index_close(scan);
        break;
    case ',':
        scan->cursor++;
        if (scan->unindexed_depth == 0) {
            level->item_number++;
            scan->path[level->path_length] = '\0';
        }
        break;
    case '"':
    case '\'':
        // In an object, the string is a key unless the path already contains
        // the key of the current member.
        if (scan->unindexed_depth == 0 && !level->is_array &&
            scan->path[level->path_length] == '\0') {
            json_index_read_key(scan);
        }
        else {
            json_index_read_string(scan, ignored, sizeof(ignored));
        }
        break;
    default:
        scan->cursor++;
        break;
    }
}

// Indexes the keys of a JSON text. The text may be invalid. Never returns
// NULL.
struct json_index *
json_index_create(const char *text)
{
    struct json_index *index = xcalloc(1, sizeof(*index));
    struct json_index_scan scan = {
        .index = index,
        .cursor = text,
        .line = 1,
    };

    // Level 0 is the context of the outermost value.
    scan.levels[0].is_array = true;
    json_index_skip_blanks(&scan);
    if (*scan.cursor == '{') {
        json_index_open(&scan, false);
    }
    for (;;) {
        json_index_skip_blanks(&scan);
        if (*scan.cursor == '\0') {
            return index;
        }
        json_index_read_next(&scan);
    }
}

void
json_index_destroy(struct json_index *index)
{
    for (size_t i = 0; i < index->count; i++) {
        free(index->rows[i].path);
    }
    free(index->rows);
    free(index);
}

// Returns the line number of a path, or of its closest indexed container, or 0
// if neither is indexed.
unsigned
json_index_find_line(const struct json_index *index, const char *path)
{
    size_t best_length = 0;
    unsigned best_line = 0;

    for (size_t i = 0; i < index->count; i++) {
        const char *row_path = index->rows[i].path;
        size_t length = strlen(row_path);
        bool inside = strncmp(row_path, path, length) == 0 &&
                      strchr(".[", path[length]) != NULL;
        if (inside && length > best_length) {
            best_length = length;
            best_line = index->rows[i].line;
        }
    }
    return best_line;
}

// Appends one error line for each key that occurs more than once in the same
// object. Returns OUTCOME_OK, or OUTCOME_INVALID if there are duplicates.
int
json_index_check_duplicates(const struct json_index *index, const char *file,
                            struct buffer *errors)
{
    int outcome = OUTCOME_OK;

    for (size_t i = 1; i < index->count; i++) {
        for (size_t j = 0; j < i; j++) {
            if (strcmp(index->rows[i].path, index->rows[j].path) != 0) {
                continue;
            }
            buffer_append_format(
                errors, "%s:%u: %s: given twice, first on line %u\n", file,
                index->rows[i].line, index->rows[i].path, index->rows[j].line);
            outcome = OUTCOME_INVALID;
            break;
        }
    }
    return outcome;
}
