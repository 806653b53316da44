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

struct json_index_level {
    bool is_array;
    unsigned item;
    size_t path_length; // of the container itself
};

struct json_index_scan {
    struct json_index *index;
    const char *place;
    unsigned line;
    char path[JSON_INDEX_PATH_SIZE];
    struct json_index_level levels[JSON_INDEX_MAX_DEPTH];
    int depth;
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

// Moves past blanks and comments, counting lines.
static void
json_index_skip_blanks(struct json_index_scan *scan)
{
    for (;;) {
        const char *c = scan->place;
        if (*c == '\n') {
            scan->line++;
            scan->place++;
        }
        else if (*c == ' ' || *c == '\t' || *c == '\r') {
            scan->place++;
        }
        else if (c[0] == '/' && c[1] == '/') {
            scan->place += strcspn(c, "\n");
        }
        else if (c[0] == '/' && c[1] == '*') {
            const char *end = strstr(c + 2, "*/");
            for (; *c != '\0' && c != end; c++) {
                scan->line += *c == '\n' ? 1 : 0;
            }
            scan->place = end == NULL ? c : end + 2;
        }
        else {
            return;
        }
    }
}

// Moves past a quoted string and copies its raw text.
static void
json_index_read_string(struct json_index_scan *scan, char *text, size_t size)
{
    char quote = *scan->place++;
    size_t length = 0;

    while (*scan->place != '\0' && *scan->place != quote) {
        if (*scan->place == '\\' && scan->place[1] != '\0') {
            scan->place++;
        }
        if (*scan->place == '\n') {
            scan->line++;
        }
        if (length + 1 < size) {
            text[length++] = *scan->place;
        }
        scan->place++;
    }
    text[length] = '\0';
    if (*scan->place != '\0') {
        scan->place++;
    }
}

static void
json_index_open(struct json_index_scan *scan, bool is_array)
{
    scan->place++;
    if (scan->depth + 1 >= JSON_INDEX_MAX_DEPTH) {
        return;
    }
    scan->depth++;
    scan->levels[scan->depth].is_array = is_array;
    scan->levels[scan->depth].item = 0;
    scan->levels[scan->depth].path_length = strlen(scan->path);
}

static void
json_index_close(struct json_index_scan *scan)
{
    scan->place++;
    if (scan->depth > 0) {
        scan->depth--;
    }
    scan->path[scan->levels[scan->depth].path_length] = '\0';
}

// Puts the present item's number behind the path of its array.
static void
json_index_append_item_number(struct json_index_scan *scan)
{
    struct json_index_level *level = &scan->levels[scan->depth];
    size_t length = level->path_length;

    if (!level->is_array) {
        return;
    }
    (void)snprintf(scan->path + length, sizeof(scan->path) - length, "[%u]",
                   level->item);
}

// Reads a key of an object and the colon behind it.
static void
json_index_read_key(struct json_index_scan *scan)
{
    size_t length = scan->levels[scan->depth].path_length;
    unsigned line = scan->line;
    char key[128];

    json_index_read_string(scan, key, sizeof(key));
    json_index_skip_blanks(scan);
    if (*scan->place != ':') {
        return;
    }
    scan->place++;
    (void)snprintf(scan->path + length, sizeof(scan->path) - length, "%s%s",
                   length == 0 ? "" : ".", key);
    json_index_add(scan->index, scan->path, line);
}

static void
json_index_read_next(struct json_index_scan *scan)
{
    struct json_index_level *level = &scan->levels[scan->depth];
    char ignored[2];

    switch (*scan->place) {
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
        level->item++;
        scan->path[level->path_length] = '\0';
        scan->place++;
        break;
    case '"':
    case '\'':
        if (!level->is_array && scan->path[level->path_length] == '\0') {
            json_index_read_key(scan);
        }
        else {
            json_index_read_string(scan, ignored, sizeof(ignored));
        }
        break;
    default:
        scan->place++;
        break;
    }
}

// Indexes a JSON text, which need not be valid. Never returns NULL.
struct json_index *
json_index_create(const char *text)
{
    struct json_index *index = xcalloc(1, sizeof(*index));
    struct json_index_scan scan = {
        .index = index,
        .place = text,
        .line = 1,
    };

    // Level 0 stands for what is around the outermost value.
    scan.levels[0].is_array = true;
    json_index_skip_blanks(&scan);
    if (*scan.place == '{') {
        json_index_open(&scan, false);
    }
    for (;;) {
        json_index_skip_blanks(&scan);
        if (*scan.place == '\0') {
            return index;
        }
        json_index_read_next(&scan);
    }
}

// Frees the index.
void
json_index_destroy(struct json_index *index)
{
    for (size_t i = 0; i < index->count; i++) {
        free(index->rows[i].path);
    }
    free(index->rows);
    free(index);
}

// Returns the line of a path, or of the closest container that was indexed;
// 0 when there is none.
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

// Appends an error for each key that stands twice in one object. Returns
// OUTCOME_OK or OUTCOME_INVALID.
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
