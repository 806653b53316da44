#ifndef CATKINGRADE_CLI_OUTPUT_H
#define CATKINGRADE_CLI_OUTPUT_H

#include <json-c/json.h>
#include <stddef.h>

// A table for people, or the rows as JSON.
struct cli_column {
    const char *title;
    const char *key; // member of each row
};

void cli_print_table(struct json_object *rows,
                     const struct cli_column *columns, size_t columns_count);
void cli_print_json(struct json_object *value);
const char *cli_get_text(struct json_object *row, const char *key);

#endif
