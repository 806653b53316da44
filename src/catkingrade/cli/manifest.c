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

// Returns whether a file name is that of a manifest: it ends in .json and is
// not hidden.
static bool
manifest_has_suffix(const char *name)
{
    size_t length = strlen(name);
    size_t suffix_length = strlen(MANIFEST_SUFFIX);

    return name[0] != '.' && length > suffix_length &&
           strcmp(name + length - suffix_length, MANIFEST_SUFFIX) == 0;
}

// Reads the kind and the name of a document. In a customer, "customer" is the
// name; in a template, "customer" is an object and "template" is the name.
static bool
manifest_read_kind_and_name(struct json_reader *reader,
                            struct manifest *manifest)
{
    struct json_object *customer = NULL;
    struct json_object *template = NULL;

    json_object_object_get_ex(reader->root, "customer", &customer);
    json_object_object_get_ex(reader->root, "template", &template);
    if (json_object_is_type(customer, json_type_string)) {
        manifest->is_customer = true;
        manifest->name = xstrdup(json_object_get_string(customer));
        return true;
    }
    if (json_object_is_type(customer, json_type_object) &&
        json_object_is_type(template, json_type_string)) {
        manifest->name = xstrdup(json_object_get_string(template));
        return true;
    }
    json_reader_add_error(reader, "customer",
                          "neither a customer (\"customer\" is its name) nor "
                          "a template (\"template\" is its name and "
                          "\"customer\" an object)");
    return false;
}

// Reads one file. Returns the exit code, after printing the errors. The caller
// frees the manifest also after an error.
static int
manifest_read(const char *path, struct manifest *manifest)
{
    struct buffer errors = {0};
    struct json_reader reader;
    int code = CLI_EXIT_ERROR;

    memset(manifest, 0, sizeof(*manifest));
    int outcome = file_read_text(path, CK_BLOB_SIZE, &manifest->document);
    if (outcome != OUTCOME_OK) {
        return cli_fail("%s: %s", path, outcome_get_text(outcome));
    }
    manifest->path = xstrdup(path);
    if (json_reader_open(&reader, path, manifest->document, &errors) ==
            OUTCOME_OK &&
        manifest_read_kind_and_name(&reader, manifest)) {
        code = CLI_EXIT_OK;
    }
    json_reader_close(&reader);
    (void)fprintf(stderr, "%.*s", (int)buffer_get_size(&errors),
                  (const char *)buffer_get_data(&errors));
    buffer_free(&errors);
    return code;
}

// Orders templates before customers, then by name.
static int
manifest_compare(const void *left, const void *right)
{
    const struct manifest *a = left;
    const struct manifest *b = right;

    if (a->is_customer != b->is_customer) {
        return a->is_customer ? 1 : -1;
    }
    return strcmp(a->name, b->name);
}

static void
manifest_free(struct manifest *manifest)
{
    free(manifest->path);
    free(manifest->name);
    free(manifest->document);
}

// Fails if two files declare the same object. The list is sorted, so that such
// files are neighbours.
static int
manifest_list_check(const struct manifest_list *list)
{
    for (size_t i = 1; i < list->count; i++) {
        const struct manifest *previous = &list->items[i - 1];
        const struct manifest *current = &list->items[i];
        if (manifest_compare(previous, current) == 0) {
            return cli_fail("%s and %s both declare \"%s\"", previous->path,
                            current->path, previous->name);
        }
    }
    return CLI_EXIT_OK;
}

static void
manifest_list_add(struct manifest_list *list, const struct manifest *manifest)
{
    list->items =
        xrealloc(list->items, (list->count + 1) * sizeof(struct manifest));
    list->items[list->count++] = *manifest;
}

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
        struct manifest manifest;
        if (!manifest_has_suffix(entry->d_name)) {
            continue;
        }
        char *path = xasprintf("%s/%s", dir, entry->d_name);
        if (manifest_read(path, &manifest) == CLI_EXIT_OK) {
            manifest_list_add(list, &manifest);
        }
        else {
            manifest_free(&manifest);
            code = CLI_EXIT_ERROR;
        }
        free(path);
    }
    (void)closedir(folder);
    if (list->count > 1) {
        qsort(list->items, list->count, sizeof(struct manifest),
              manifest_compare);
    }
    if (code == CLI_EXIT_OK && list->count == 0) {
        return cli_fail("%s: no " MANIFEST_SUFFIX " file in it", dir);
    }
    return code == CLI_EXIT_OK ? manifest_list_check(list) : code;
}

void
manifest_list_free(struct manifest_list *list)
{
    for (size_t i = 0; i < list->count; i++) {
        manifest_free(&list->items[i]);
    }
    free(list->items);
    memset(list, 0, sizeof(*list));
}
