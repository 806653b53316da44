#include "catkingrade/cli/output.h"

#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "catkingrade/kernel/pairs.h"

#define OUTPUT_MAX_COLUMNS 16

const char *
cli_get_text(struct json_object *row, const char *key)
{
    struct json_object *member = NULL;

    if (!json_object_object_get_ex(row, key, &member) || member == NULL) {
        return "";
    }
    return json_object_get_string(member);
}

void
cli_print_text(const char *text, size_t width)
{
    char *printable = pairs_copy_printable(text);

    (void)printf("%-*s", (int)width, printable);
    free(printable);
}

static size_t
output_get_width(struct json_object *row, const char *key)
{
    char *printable = pairs_copy_printable(cli_get_text(row, key));
    size_t width = strlen(printable);

    free(printable);
    return width;
}

void
cli_print_table(struct json_object *rows, const struct cli_column *columns,
                size_t columns_count)
{
    size_t widths[OUTPUT_MAX_COLUMNS] = {0};
    size_t rows_count = json_object_array_length(rows);

    for (size_t c = 0; c < columns_count; c++) {
        widths[c] = strlen(columns[c].title);
        for (size_t i = 0; i < rows_count; i++) {
            struct json_object *row = json_object_array_get_idx(rows, i);
            size_t width = output_get_width(row, columns[c].key);
            widths[c] = width > widths[c] ? width : widths[c];
        }
    }
    for (size_t c = 0; c < columns_count; c++) {
        bool is_last = c + 1 == columns_count;
        cli_print_text(columns[c].title, is_last ? 0 : widths[c]);
        (void)fputs(is_last ? "\n" : "  ", stdout);
    }
    for (size_t i = 0; i < rows_count; i++) {
        struct json_object *row = json_object_array_get_idx(rows, i);
        for (size_t c = 0; c < columns_count; c++) {
            bool is_last = c + 1 == columns_count;
            cli_print_text(cli_get_text(row, columns[c].key),
                           is_last ? 0 : widths[c]);
            (void)fputs(is_last ? "\n" : "  ", stdout);
        }
    }
}

void
cli_print_json(struct json_object *value)
{
    (void)printf("%s\n", json_object_to_json_string_ext(
                             value, JSON_C_TO_STRING_PRETTY |
                                        JSON_C_TO_STRING_NOSLASHESCAPE));
}
