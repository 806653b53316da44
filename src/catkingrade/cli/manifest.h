#ifndef CATKINGRADE_CLI_MANIFEST_H
#define CATKINGRADE_CLI_MANIFEST_H

#include <stdbool.h>
#include <stddef.h>

// A manifest is a JSON file, kept under version control by the operators, that
// declares a template or a customer.
struct manifest {
    char *path;
    char *name;
    char *document; // text of the file
    bool is_customer;
};

struct manifest_list {
    struct manifest *items; // templates first, then customers; by name
    size_t count;
};

// Reads all *.json files of a folder. Returns CLI_EXIT_OK, or another exit
// code after printing a line for each error. The caller frees the list in both
// cases.
int manifest_list_read(const char *dir, struct manifest_list *list);
void manifest_list_free(struct manifest_list *list);

#endif
