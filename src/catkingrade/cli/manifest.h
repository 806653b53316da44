#ifndef CATKINGRADE_CLI_MANIFEST_H
#define CATKINGRADE_CLI_MANIFEST_H

#include <stdbool.h>
#include <stddef.h>

// A template or customer as a file under version control declares it.
struct declaration {
    char *path;
    char *name;
    char *document; // the file's text
    bool is_customer;
};

struct manifest_list {
    struct declaration *items; // templates first, then by name
    size_t count;
};

// Reads all *.json files of a folder. Returns CLI_EXIT_OK, or an exit code
// with a line printed for each fault.
int manifest_list_read(const char *dir, struct manifest_list *list);
void manifest_list_free(struct manifest_list *list);

#endif
