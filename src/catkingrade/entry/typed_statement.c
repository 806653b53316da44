#include "catkingrade/entry/typed_statement.h"

#include <stdlib.h>
#include <string.h>

#include "catkingrade/kernel/memory.h"

// Returns a copy of the list, with one reference, in which the variable name
// is set to value. values may be NULL, which is the empty list.
struct typed_variables *
typed_variables_set(const struct typed_variables *values, const char *name,
                    const char *value)
{
    size_t count = values == NULL ? 0 : values->count;
    struct typed_variables *copy =
        xcalloc(1, sizeof(*copy) + (count + 1) * sizeof(copy->items[0]));
    bool found = false;

    copy->ref_count = 1;
    for (size_t i = 0; i < count; i++) {
        const struct typed_variable *item = &values->items[i];
        bool matches = strcmp(item->name, name) == 0;
        found = found || matches;
        copy->items[i].name = xstrdup(item->name);
        copy->items[i].value = xstrdup(matches ? value : item->value);
    }
    copy->count = count;
    if (!found) {
        copy->items[count].name = xstrdup(name);
        copy->items[count].value = xstrdup(value);
        copy->count++;
    }
    return copy;
}

// Adds a reference and returns the list. NULL is returned unchanged.
struct typed_variables *
typed_variables_retain(struct typed_variables *values)
{
    if (values != NULL) {
        values->ref_count++;
    }
    return values;
}

// Drops a reference; frees the list with the last one. NULL is ignored.
void
typed_variables_release(struct typed_variables *values)
{
    if (values == NULL || --values->ref_count > 0) {
        return;
    }
    for (size_t i = 0; i < values->count; i++) {
        free(values->items[i].name);
        free(values->items[i].value);
    }
    free(values);
}

// Returns the value of a variable, or NULL if it is not set. values may be
// NULL.
const char *
typed_variables_find(const struct typed_variables *values, const char *name)
{
    for (size_t i = 0; values != NULL && i < values->count; i++) {
        if (strcmp(values->items[i].name, name) == 0) {
            return values->items[i].value;
        }
    }
    return NULL;
}

// Creates a prepared statement with one reference. Copies statement_text.
struct typed_prepared *
typed_prepared_create(bool is_write, const char *statement_text)
{
    struct typed_prepared *prepared = xcalloc(1, sizeof(*prepared));

    prepared->ref_count = 1;
    prepared->is_write = is_write;
    prepared->statement_text = xstrdup(statement_text);
    return prepared;
}

// Adds a reference and returns the prepared statement.
struct typed_prepared *
typed_prepared_retain(struct typed_prepared *prepared)
{
    prepared->ref_count++;
    return prepared;
}

// Drops a reference; frees the prepared statement with the last one. NULL is
// ignored.
void
typed_prepared_release(struct typed_prepared *prepared)
{
    if (prepared == NULL || --prepared->ref_count > 0) {
        return;
    }
    free(prepared->statement_text);
    free(prepared);
}

// Frees a typed statement and drops its references. NULL is ignored.
void
typed_statement_destroy(struct typed_statement *statement)
{
    if (statement == NULL) {
        return;
    }
    typed_variables_release(statement->values);
    typed_prepared_release(statement->prepared);
    free(statement->arguments);
    free(statement->id);
    free(statement->text);
    free(statement);
}
