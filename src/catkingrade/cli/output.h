#ifndef CATKINGRADE_CLI_OUTPUT_H
#define CATKINGRADE_CLI_OUTPUT_H

#include <json-c/json.h>
#include <stddef.h>

// Output of the verbs on stdout: tables of JSON rows, or JSON.

// A column of a table.
struct cli_column {
    const char *title;
    const char *key; // of the member of each row to print
};

// Prints a text as one line, without control characters: texts may come from
// other parties. It is padded with spaces to a width in bytes.
void cli_print_text(const char *text, size_t width);
// Prints rows as a table; each column is as wide as its widest text.
void cli_print_table(struct json_object *rows,
                     const struct cli_column *columns, size_t columns_count);
void cli_print_json(struct json_object *value);
// Returns a member as text, which belongs to row; "" if it is missing or null.
const char *cli_get_text(struct json_object *row, const char *key);

#endif
