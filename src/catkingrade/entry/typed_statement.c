#include "catkingrade/entry/typed_statement.h"

#include <stdlib.h>
#include <string.h>

#include "catkingrade/kernel/memory.h"

// Returns a copy of the list with one variable set; values may be NULL.
struct typed_variables *
typed_variables_set(const struct typed_variables *values, const char *name,
                    const char *value)
{
    size_t count = values == NULL ? 0 : values->count;
    struct typed_variables *copy =
        xcalloc(1, sizeof(*copy) + (count + 1) * sizeof(copy->items[0]));
    bool found = false;

    copy->holders = 1;
    for (size_t i = 0; i < count; i++) {
        const struct typed_variable *item = &values->items[i];
        bool same = strcmp(item->name, name) == 0;
        found = found || same;
        copy->items[i].name = xstrdup(item->name);
        copy->items[i].value = xstrdup(same ? value : item->value);
    }
    copy->count = count;
    if (!found) {
        copy->items[count].name = xstrdup(name);
        copy->items[count].value = xstrdup(value);
        copy->count++;
    }
    return copy;
}

// Adds a holder and returns the list; NULL is returned as it is.
struct typed_variables *
typed_variables_retain(struct typed_variables *values)
{
    if (values != NULL) {
        values->holders++;
    }
    return values;
}

// Drops one holder; the last one frees the list. NULL is ignored.
void
typed_variables_release(struct typed_variables *values)
{
    if (values == NULL || --values->holders > 0) {
        return;
    }
    for (size_t i = 0; i < values->count; i++) {
        free(values->items[i].name);
        free(values->items[i].value);
    }
    free(values);
}

// Returns the value of a variable, or NULL when it is not set.
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

// Creates a prepared statement with one holder.
struct typed_prepared *
typed_prepared_create(bool is_write, const char *statement_text)
{
    struct typed_prepared *prepared = xcalloc(1, sizeof(*prepared));

    prepared->holders = 1;
    prepared->is_write = is_write;
    prepared->statement_text = xstrdup(statement_text);
    return prepared;
}

// Adds a holder and returns the statement.
struct typed_prepared *
typed_prepared_retain(struct typed_prepared *prepared)
{
    prepared->holders++;
    return prepared;
}

// Drops one holder; the last one frees the statement. NULL is ignored.
void
typed_prepared_release(struct typed_prepared *prepared)
{
    if (prepared == NULL || --prepared->holders > 0) {
        return;
    }
    free(prepared->statement_text);
    free(prepared);
}

// Frees a run with what it holds; NULL is ignored.
void
typed_statement_destroy(struct typed_statement *run)
{
    if (run == NULL) {
        return;
    }
    typed_variables_release(run->values);
    typed_prepared_release(run->prepared);
    free(run->arguments);
    free(run->id);
    free(run->text);
    free(run);
}
