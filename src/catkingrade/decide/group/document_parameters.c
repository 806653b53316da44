#include "catkingrade/decide/group/document_parameters.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "catkingrade/kernel/memory.h"

#define DOCUMENT_PATH_SIZE      512
#define DOCUMENT_MAX_PARAMETERS 128

enum document_parameter_type {
    DOCUMENT_PARAMETER_TEXT,
    DOCUMENT_PARAMETER_NUMBER,
    DOCUMENT_PARAMETER_DURATION_MS,
    DOCUMENT_PARAMETER_FLAG,
    DOCUMENT_PARAMETER_CHOICE,
    DOCUMENT_PARAMETER_LIST,
};

static const char *const document_parameter_type_names[] = {
    "text", "number", "duration_ms", "flag", "choice", "list", NULL,
};

static const char *const document_declaration_keys[] = {
    "type", "min", "max", "default", "choices", "description", NULL,
};

static void
document_join_path(char path[DOCUMENT_PATH_SIZE], const char *head,
                   const char *key)
{
    (void)snprintf(path, DOCUMENT_PATH_SIZE, "%s.%s", head, key);
}

static struct json_object *
document_get_member(struct json_object *object, const char *key)
{
    struct json_object *member = NULL;

    return json_object_object_get_ex(object, key, &member) ? member : NULL;
}

// Returns the type of a parameter, or DOCUMENT_PARAMETER_TEXT for an unknown
// type, which document_check_declaration reports.
static enum document_parameter_type
document_get_parameter_type(struct json_object *declaration)
{
    const char *name =
        json_object_get_string(document_get_member(declaration, "type"));

    for (int i = 0; name != NULL && document_parameter_type_names[i] != NULL;
         i++) {
        if (strcmp(document_parameter_type_names[i], name) == 0) {
            return (enum document_parameter_type)i;
        }
    }
    return DOCUMENT_PARAMETER_TEXT;
}

static bool
document_check_number(struct json_reader *reader, const char *path,
                      struct json_object *declaration,
                      struct json_object *value)
{
    struct json_object *min = document_get_member(declaration, "min");
    struct json_object *max = document_get_member(declaration, "max");

    if (!json_object_is_type(value, json_type_int)) {
        json_reader_add_error(reader, path, "must be a whole number");
        return false;
    }
    int64_t number = json_object_get_int64(value);
    int64_t low = min == NULL ? 0 : json_object_get_int64(min);
    int64_t high = max == NULL ? INT32_MAX : json_object_get_int64(max);
    if (number < low || number > high) {
        json_reader_add_error(reader, path,
                              "%" PRId64 " is out of range; allowed are "
                              "%" PRId64 " to %" PRId64,
                              number, low, high);
        return false;
    }
    return true;
}

static bool
document_check_choice(struct json_reader *reader, const char *path,
                      struct json_object *declaration,
                      struct json_object *value)
{
    struct json_object *choices = document_get_member(declaration, "choices");
    struct buffer list = {0};
    bool found = false;

    for (size_t i = 0;
         choices != NULL && i < json_object_array_length(choices); i++) {
        struct json_object *choice = json_object_array_get_idx(choices, i);
        found = found || json_object_equal(choice, value) != 0;
        buffer_append_format(&list, "%s%s", i == 0 ? "" : ", ",
                             json_object_get_string(choice));
    }
    if (!found) {
        json_reader_add_error(reader, path, "\"%s\" is not one of %.*s",
                              json_object_get_string(value),
                              (int)buffer_get_size(&list),
                              (const char *)list.data);
    }
    buffer_free(&list);
    return found;
}

static bool
document_check_json_type(struct json_reader *reader, const char *path,
                         struct json_object *value, enum json_type type,
                         const char *text)
{
    if (json_object_is_type(value, type)) {
        return true;
    }
    json_reader_add_error(reader, path, "must be %s", text);
    return false;
}

// Checks one parameter value against its declaration; adds an error at path
// and returns false if it does not match.
static bool
document_check_value(struct json_reader *reader, const char *path,
                     struct json_object *declaration,
                     struct json_object *value)
{
    switch (document_get_parameter_type(declaration)) {
    case DOCUMENT_PARAMETER_TEXT:
        return document_check_json_type(reader, path, value, json_type_string,
                                        "a text");
    case DOCUMENT_PARAMETER_NUMBER:
    case DOCUMENT_PARAMETER_DURATION_MS:
        return document_check_number(reader, path, declaration, value);
    case DOCUMENT_PARAMETER_FLAG:
        return document_check_json_type(reader, path, value, json_type_boolean,
                                        "true or false");
    case DOCUMENT_PARAMETER_CHOICE:
        return document_check_choice(reader, path, declaration, value);
    case DOCUMENT_PARAMETER_LIST:
        return document_check_json_type(reader, path, value, json_type_array,
                                        "a list");
    }
    return false;
}

static void
document_check_declaration(struct json_reader *reader, const char *path,
                           struct json_object *declaration)
{
    char member_path[DOCUMENT_PATH_SIZE];

    (void)json_reader_check_keys(reader, declaration, path,
                                 document_declaration_keys);
    if (document_get_member(declaration, "type") == NULL) {
        document_join_path(member_path, path, "type");
        json_reader_add_error(reader, member_path,
                              "missing; use one of text, number, "
                              "duration_ms, flag, choice, list");
        return;
    }
    enum document_parameter_type type =
        (enum document_parameter_type)json_reader_get_choice(
            reader, declaration, path, "type", document_parameter_type_names,
            0);
    struct json_object *choices =
        json_reader_get_array(reader, declaration, path, "choices");
    if (type == DOCUMENT_PARAMETER_CHOICE &&
        (choices == NULL || json_object_array_length(choices) == 0)) {
        document_join_path(member_path, path, "choices");
        json_reader_add_error(reader, member_path,
                              "a choice needs a list of choices");
        return;
    }
    int64_t low = json_reader_get_number(reader, declaration, path, "min", 0,
                                         INT64_MIN, INT64_MAX);
    int64_t high = json_reader_get_number(reader, declaration, path, "max",
                                          INT64_MAX, INT64_MIN, INT64_MAX);
    document_join_path(member_path, path, "max");
    if (low > high) {
        json_reader_add_error(reader, member_path, "must be at least min");
    }
    struct json_object *fallback = document_get_member(declaration, "default");
    if (fallback != NULL) {
        document_join_path(member_path, path, "default");
        (void)document_check_value(reader, member_path, declaration, fallback);
    }
}

// Validates the declarations in a template's "parameters" member.
void
document_check_declarations(struct json_reader *reader,
                            struct json_object *parameters)
{
    char path[DOCUMENT_PATH_SIZE];

    if (json_object_object_length(parameters) > DOCUMENT_MAX_PARAMETERS) {
        json_reader_add_error(reader, "parameters", "more than %d",
                              DOCUMENT_MAX_PARAMETERS);
    }
    json_object_object_foreach(parameters, key, declaration)
    {
        document_join_path(path, "parameters", key);
        if (document_check_json_type(reader, path, declaration,
                                     json_type_object, "an object")) {
            document_check_declaration(reader, path, declaration);
        }
    }
}

// Returns a new value that the declaration allows.
static struct json_object *
document_make_sample_value(struct json_object *declaration)
{
    struct json_object *min = document_get_member(declaration, "min");
    struct json_object *choices = document_get_member(declaration, "choices");

    switch (document_get_parameter_type(declaration)) {
    case DOCUMENT_PARAMETER_TEXT:
        return json_object_new_string("sample");
    case DOCUMENT_PARAMETER_NUMBER:
    case DOCUMENT_PARAMETER_DURATION_MS:
        return json_object_new_int64(min == NULL ? 0
                                                 : json_object_get_int64(min));
    case DOCUMENT_PARAMETER_FLAG:
        return json_object_new_boolean(0);
    case DOCUMENT_PARAMETER_CHOICE:
        return json_object_get(json_object_array_get_idx(choices, 0));
    case DOCUMENT_PARAMETER_LIST:
        return json_object_new_array();
    }
    return NULL;
}

// Returns the value of one parameter as a new reference, or NULL after adding
// an error.
static struct json_object *
document_resolve_value(struct json_reader *reader, const char *key,
                       struct json_object *declaration,
                       struct json_object *given, bool use_samples)
{
    char path[DOCUMENT_PATH_SIZE];
    struct json_object *value =
        given == NULL ? NULL : document_get_member(given, key);

    document_join_path(path, "parameters", key);
    if (value != NULL) {
        return document_check_value(reader, path, declaration, value)
                   ? json_object_get(value)
                   : NULL;
    }
    value = document_get_member(declaration, "default");
    if (value != NULL) {
        return json_object_get(value);
    }
    if (use_samples) {
        return document_make_sample_value(declaration);
    }
    json_reader_add_error(
        reader, path, "missing; the template needs a %s here",
        document_parameter_type_names[document_get_parameter_type(
            declaration)]);
    return NULL;
}

// Returns a new object with a value for each declared parameter. Errors are
// recorded in reader, the reader of the customer's document.
struct json_object *
document_resolve_values(struct json_reader *reader,
                        struct json_object *declarations,
                        struct json_object *given, bool use_samples)
{
    struct json_object *values = json_object_new_object();

    if (given != NULL) {
        json_object_object_foreach(given, given_key, given_value)
        {
            char path[DOCUMENT_PATH_SIZE];
            (void)given_value;
            document_join_path(path, "parameters", given_key);
            if (document_get_member(declarations, given_key) == NULL) {
                json_reader_add_error(reader, path,
                                      "the template has no such parameter");
            }
        }
    }
    json_object_object_foreach(declarations, key, declaration)
    {
        struct json_object *value = document_resolve_value(
            reader, key, declaration, given, use_samples);
        if (value != NULL) {
            json_object_object_add(values, key, value);
        }
    }
    return values;
}

// Finds the first "${name}" in text. Returns its start and sets name and end,
// or returns NULL if there is none or its name exceeds 63 characters.
static const char *
document_find_reference(const char *text, char name[64], const char **end)
{
    const char *start = strstr(text, "${");
    const char *close = start == NULL ? NULL : strchr(start, '}');

    if (close == NULL || close - start - 2 >= 64) {
        return NULL;
    }
    memcpy(name, start + 2, (size_t)(close - start - 2));
    name[close - start - 2] = '\0';
    *end = close + 1;
    return start;
}

// Returns the substituted text as a string, or the value itself with its JSON
// type if the text is a single reference.
static struct json_object *
document_substitute_text(struct json_reader *reader, const char *text,
                         struct json_object *values, const char *path)
{
    struct buffer result = {0};
    char name[64];
    const char *end = NULL;
    const char *start = document_find_reference(text, name, &end);

    while (start != NULL) {
        struct json_object *value = document_get_member(values, name);
        if (value == NULL) {
            json_reader_add_error(reader, path,
                                  "\"${%s}\" names no parameter of the "
                                  "template",
                                  name);
            buffer_free(&result);
            return json_object_new_string(text);
        }
        if (start == text && *end == '\0' && buffer_get_size(&result) == 0) {
            return json_object_get(value);
        }
        buffer_append(&result, text, (size_t)(start - text));
        buffer_append_text(&result, json_object_get_string(value));
        text = end;
        start = document_find_reference(text, name, &end);
    }
    buffer_append_text(&result, text);
    struct json_object *joined = json_object_new_string_len(
        (const char *)result.data, (int)buffer_get_size(&result));
    buffer_free(&result);
    return joined;
}

static struct json_object *
document_substitute_list(struct json_reader *reader, struct json_object *list,
                         struct json_object *values, const char *path)
{
    struct json_object *copy = json_object_new_array();
    char item_path[DOCUMENT_PATH_SIZE];

    for (size_t i = 0; i < json_object_array_length(list); i++) {
        (void)snprintf(item_path, sizeof(item_path), "%s[%zu]", path, i);
        json_object_array_add(
            copy,
            document_substitute(reader, json_object_array_get_idx(list, i),
                                values, item_path));
    }
    return copy;
}

// Returns a copy of tree with each "${name}" replaced by its value. The JSON
// parser's limit on nesting bounds the depth of the recursion.
struct json_object *
document_substitute(struct json_reader *reader, struct json_object *tree,
                    struct json_object *values, const char *path)
{
    char member_path[DOCUMENT_PATH_SIZE];

    if (json_object_is_type(tree, json_type_string)) {
        return document_substitute_text(reader, json_object_get_string(tree),
                                        values, path);
    }
    if (json_object_is_type(tree, json_type_array)) {
        return document_substitute_list(reader, tree, values, path);
    }
    if (!json_object_is_type(tree, json_type_object)) {
        return json_object_get(tree);
    }
    struct json_object *copy = json_object_new_object();
    json_object_object_foreach(tree, key, member)
    {
        document_join_path(member_path, path, key);
        json_object_object_add(
            copy, key,
            document_substitute(reader, member, values, member_path));
    }
    return copy;
}
