#include "catkingrade/entry/typed_statement.h"

#include <stdlib.h>
#include <string.h>

#include "catkingrade/kernel/memory.h"

static void
typed_variable_init(struct typed_variable *variable, const char *name,
                    const char *value, size_t value_size_bytes)
{
    variable->name = xstrdup(name);
    variable->value = xmemdupz(value, value_size_bytes);
    variable->value_size_bytes = value_size_bytes;
}

// Returns a copy of the list, with one reference, in which the variable name
// is set to value. values may be NULL, which is the empty list.
struct typed_variables *
typed_variables_set(const struct typed_variables *values, const char *name,
                    const char *value, size_t value_size_bytes)
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
        typed_variable_init(
            &copy->items[i], item->name, matches ? value : item->value,
            matches ? value_size_bytes : item->value_size_bytes);
    }
    copy->count = count;
    if (!found) {
        typed_variable_init(&copy->items[count], name, value,
                            value_size_bytes);
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

// Returns a variable of the list, or NULL if it is not set. values may be
// NULL.
const struct typed_variable *
typed_variables_find(const struct typed_variables *values, const char *name)
{
    for (size_t i = 0; values != NULL && i < values->count; i++) {
        if (strcmp(values->items[i].name, name) == 0) {
            return &values->items[i];
        }
    }
    return NULL;
}

// Returns whether a variable, which may be NULL, has this value.
bool
typed_variable_has_value(const struct typed_variable *variable,
                         const char *value, size_t value_size_bytes)
{
    return variable != NULL &&
           variable->value_size_bytes == value_size_bytes &&
           memcmp(variable->value, value, value_size_bytes) == 0;
}

// Creates a prepared statement with one reference. Copies statement_text.
struct typed_prepared *
typed_prepared_create(bool is_write, const char *statement_text,
                      size_t statement_size_bytes)
{
    struct typed_prepared *prepared = xcalloc(1, sizeof(*prepared));

    prepared->ref_count = 1;
    prepared->is_write = is_write;
    prepared->statement_text = xmemdupz(statement_text, statement_size_bytes);
    prepared->statement_size_bytes = statement_size_bytes;
    return prepared;
}

// Returns whether one prepared statement can stand for the other.
bool
typed_prepared_is_equal(const struct typed_prepared *prepared,
                        const struct typed_prepared *other)
{
    return prepared->is_write == other->is_write &&
           prepared->statement_size_bytes == other->statement_size_bytes &&
           memcmp(prepared->statement_text, other->statement_text,
                  prepared->statement_size_bytes) == 0;
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

// Creates a statement without session state. Copies id and text.
struct typed_statement *
typed_statement_create(const char *id, const char *text,
                       size_t text_size_bytes)
{
    struct typed_statement *statement = xcalloc(1, sizeof(*statement));

    statement->id = xstrdup(id);
    statement->text = xmemdupz(text, text_size_bytes);
    statement->text_size_bytes = text_size_bytes;
    return statement;
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
    free(statement->id);
    free(statement->text);
    free(statement);
}
