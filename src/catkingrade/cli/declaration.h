#ifndef CATKINGRADE_CLI_DECLARATION_H
#define CATKINGRADE_CLI_DECLARATION_H

#include <stdbool.h>
#include <stddef.h>

// A template or customer as a file under version control declares it.
struct declaration {
    char *path;
    char *name;
    char *document; // the file's text
    bool is_customer;
};

struct declaration_list {
    struct declaration *items; // templates first, then by name
    size_t count;
};

// Reads all *.json files of a folder. Returns CLI_EXIT_OK, or an exit code
// with a line printed for each fault.
int declaration_list_read(const char *dir, struct declaration_list *list);
void declaration_list_free(struct declaration_list *list);

#endif
