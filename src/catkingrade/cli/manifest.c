#include "catkingrade/cli/manifest.h"

#include <dirent.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "catkingrade/cli/cli.h"
#include "catkingrade/kernel/file.h"
#include "catkingrade/kernel/json_reader.h"
#include "catkingrade/kernel/memory.h"
#include "catkingrade/kernel/outcome.h"
#include "catkingrade/rpc/messages.h"

#define MANIFEST_SUFFIX ".json"

static bool
manifest_has_suffix(const char *name)
{
    size_t length = strlen(name);
    size_t suffix = strlen(MANIFEST_SUFFIX);

    return name[0] != '.' && length > suffix &&
           strcmp(name + length - suffix, MANIFEST_SUFFIX) == 0;
}

// Finds out whether a document is a template, whose "customer" is an object,
// or a customer, whose "customer" is its name.
static bool
manifest_read_kind_and_name(struct json_reader *reader,
                            struct declaration *declaration)
{
    struct json_object *customer = NULL;
    struct json_object *template = NULL;

    json_object_object_get_ex(reader->root, "customer", &customer);
    json_object_object_get_ex(reader->root, "template", &template);
    if (json_object_is_type(customer, json_type_string)) {
        declaration->is_customer = true;
        declaration->name = xstrdup(json_object_get_string(customer));
        return true;
    }
    if (json_object_is_type(customer, json_type_object) &&
        json_object_is_type(template, json_type_string)) {
        declaration->name = xstrdup(json_object_get_string(template));
        return true;
    }
    json_reader_add_error(reader, "customer",
                          "neither a customer (\"customer\" is its name) nor "
                          "a template (\"template\" is its name and "
                          "\"customer\" an object)");
    return false;
}

static int
manifest_read(const char *path, struct declaration *declaration)
{
    struct buffer errors = {0};
    struct json_reader reader;
    int code = CLI_EXIT_ERROR;

    memset(declaration, 0, sizeof(*declaration));
    int outcome = file_read_text(path, CK_BLOB_SIZE, &declaration->document);
    if (outcome != OUTCOME_OK) {
        return cli_fail("%s: %s", path, outcome_get_text(outcome));
    }
    declaration->path = xstrdup(path);
    if (json_reader_open(&reader, path, declaration->document, &errors) ==
            OUTCOME_OK &&
        manifest_read_kind_and_name(&reader, declaration)) {
        code = CLI_EXIT_OK;
    }
    json_reader_close(&reader);
    (void)fprintf(stderr, "%.*s", (int)buffer_get_size(&errors),
                  (const char *)buffer_get_data(&errors));
    buffer_free(&errors);
    return code;
}

static int
manifest_compare(const void *left, const void *right)
{
    const struct declaration *a = left;
    const struct declaration *b = right;

    if (a->is_customer != b->is_customer) {
        return a->is_customer ? 1 : -1;
    }
    return strcmp(a->name, b->name);
}

static void
declaration_free(struct declaration *declaration)
{
    free(declaration->path);
    free(declaration->name);
    free(declaration->document);
}

// Two files must not declare the same object.
static int
manifest_list_check(const struct manifest_list *list)
{
    for (size_t i = 1; i < list->count; i++) {
        const struct declaration *one = &list->items[i - 1];
        const struct declaration *two = &list->items[i];
        if (manifest_compare(one, two) == 0) {
            return cli_fail("%s and %s both declare \"%s\"", one->path,
                            two->path, one->name);
        }
    }
    return CLI_EXIT_OK;
}

static void
manifest_list_add(struct manifest_list *list,
                  const struct declaration *declaration)
{
    list->items =
        xrealloc(list->items, (list->count + 1) * sizeof(struct declaration));
    list->items[list->count++] = *declaration;
}

// Reads the declarations of a folder.
int
manifest_list_read(const char *dir, struct manifest_list *list)
{
    DIR *folder = opendir(dir);
    struct dirent *entry = NULL;
    int code = CLI_EXIT_OK;

    memset(list, 0, sizeof(*list));
    if (folder == NULL) {
        return cli_fail("%s: can't be opened as a folder", dir);
    }
    while ((entry = readdir(folder)) != NULL) {
        struct declaration declaration;
        if (!manifest_has_suffix(entry->d_name)) {
            continue;
        }
        char *path = xasprintf("%s/%s", dir, entry->d_name);
        if (manifest_read(path, &declaration) == CLI_EXIT_OK) {
            manifest_list_add(list, &declaration);
        }
        else {
            declaration_free(&declaration);
            code = CLI_EXIT_ERROR;
        }
        free(path);
    }
    (void)closedir(folder);
    if (list->count > 1) {
        qsort(list->items, list->count, sizeof(struct declaration),
              manifest_compare);
    }
    if (code == CLI_EXIT_OK && list->count == 0) {
        return cli_fail("%s: no " MANIFEST_SUFFIX " file in it", dir);
    }
    return code == CLI_EXIT_OK ? manifest_list_check(list) : code;
}

// Frees the declarations.
void
manifest_list_free(struct manifest_list *list)
{
    for (size_t i = 0; i < list->count; i++) {
        declaration_free(&list->items[i]);
    }
    free(list->items);
    memset(list, 0, sizeof(*list));
}
