#include "catkingrade/cli/output.h"

#include <stdio.h>
#include <string.h>

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
cli_print_table(struct json_object *rows, const struct cli_column *columns,
                size_t columns_count)
{
    int widths[OUTPUT_MAX_COLUMNS] = {0};
    size_t rows_count = json_object_array_length(rows);

    for (size_t c = 0; c < columns_count; c++) {
        widths[c] = (int)strlen(columns[c].title);
        for (size_t i = 0; i < rows_count; i++) {
            struct json_object *row = json_object_array_get_idx(rows, i);
            int width = (int)strlen(cli_get_text(row, columns[c].key));
            widths[c] = width > widths[c] ? width : widths[c];
        }
    }
    for (size_t c = 0; c < columns_count; c++) {
        (void)printf("%-*s%s", c + 1 == columns_count ? 0 : widths[c],
                     columns[c].title, c + 1 == columns_count ? "\n" : "  ");
    }
    for (size_t i = 0; i < rows_count; i++) {
        struct json_object *row = json_object_array_get_idx(rows, i);
        for (size_t c = 0; c < columns_count; c++) {
            (void)printf("%-*s%s", c + 1 == columns_count ? 0 : widths[c],
                         cli_get_text(row, columns[c].key),
                         c + 1 == columns_count ? "\n" : "  ");
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
