#include "catkingrade/decide/group/document_customer.h"

#include <inttypes.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "catkingrade/decide/group/group.h"
#include "catkingrade/kernel/memory.h"

#define DOCUMENT_MAX_REQUEST_TYPES 64
#define DOCUMENT_MAX_CALLERS       256
#define DOCUMENT_MAX_DATABASES     16384
#define DOCUMENT_DAY_MS            86400000
#define DOCUMENT_CUSTOMER_PATH     "customer"
#define DOCUMENT_ITEM_PATH_SIZE    96

static const char *const document_unconfirmed_names[] = {
    "unknown",
    "warn",
    NULL,
};

static const char *const document_promotion_names[] = {
    "wait",
    "operator",
    NULL,
};

static const char *const document_customer_keys[] = {
    "databases", "request_types", "callers",  "max_age_ms",
    "confirm",   "session_limit", "drain_ms", "unconfirmed",
    "promotion", "description",   NULL,
};

static const char *const document_database_keys[] = {"name", "group", NULL};

static const char *const document_caller_keys[] = {"user", "verifier", NULL};

static const char *const document_request_type_keys[] = {
    "name",       "weight",     "deadline_ms", "queue_limit",
    "repeatable", "max_age_ms", NULL,
};

// A numeric field of a customer or a request type and its valid range.
struct document_numeric_field {
    const char *key;
    size_t offset;    // of the u_int in ck_customer or ck_request_type
    int64_t fallback; // value when the key is missing
    int64_t min;
    int64_t max;
};

static const struct document_numeric_field document_customer_numeric_fields[] =
    {
        {"max_age_ms", offsetof(ck_customer, max_age_ms), 0, 0,
         DOCUMENT_DAY_MS},
        {"session_limit", offsetof(ck_customer, session_limit), 100, 1,
         1000000},
        {"confirm", offsetof(ck_customer, confirm), 1, 0, 15},
        {"drain_ms", offsetof(ck_customer, drain_ms), 30000, 0,
         DOCUMENT_DAY_MS},
};

static const struct document_numeric_field
    document_request_type_numeric_fields[] = {
        {"weight", offsetof(ck_request_type, weight), 1, 1, 1000},
        {"deadline_ms", offsetof(ck_request_type, deadline_ms), 5000, 1,
         DOCUMENT_DAY_MS},
        {"queue_limit", offsetof(ck_request_type, queue_limit), 100, 0,
         1000000},
        {"max_age_ms", offsetof(ck_request_type, max_age_ms), 0, 0,
         DOCUMENT_DAY_MS},
};

// Checks that a name consists of 1 to CK_NAME_SIZE letters, digits, '_', '-'
// or '.'. Adds an error at path and returns false otherwise.
bool
document_check_name(struct json_reader *reader, const char *path,
                    const char *name)
{
    size_t length = strlen(name);
    size_t valid = strspn(name, "abcdefghijklmnopqrstuvwxyz"
                                "ABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789_-.");

    if (length >= 1 && length <= CK_NAME_SIZE && valid == length) {
        return true;
    }
    json_reader_add_error(reader, path,
                          "\"%.80s\" is no name; use 1 to %d letters, "
                          "digits, '_', '-' or '.'",
                          name, CK_NAME_SIZE);
    return false;
}

// Reads the numeric fields of a JSON object into the struct at out.
static void
document_read_numeric_fields(struct json_reader *reader,
                             struct json_object *object, const char *path,
                             const struct document_numeric_field *numbers,
                             size_t count, void *out)
{
    for (size_t i = 0; i < count; i++) {
        const struct document_numeric_field *number = &numbers[i];
        int64_t value =
            json_reader_get_number(reader, object, path, number->key,
                                   number->fallback, number->min, number->max);
        u_int *field = (u_int *)(void *)((char *)out + number->offset);
        *field = (u_int)value;
    }
}

// Reads the member key as a name. The member is required if fallback is NULL.
// Returns a new string, which is "" if a required member cannot be read.
static char *
document_read_name(struct json_reader *reader, struct json_object *object,
                   const char *path, const char *key, const char *fallback)
{
    char member_path[DOCUMENT_ITEM_PATH_SIZE * 2];
    char *name = json_reader_get_text(reader, object, path, key, fallback,
                                      fallback == NULL);

    if (name == NULL) {
        return xstrdup("");
    }
    (void)snprintf(member_path, sizeof(member_path), "%s.%s", path, key);
    (void)document_check_name(reader, member_path, name);
    return name;
}

// Returns the array at key and sets count to its length. An array with more
// than max_count items is an error and sets count to 0.
static struct json_object *
document_read_list(struct json_reader *reader, struct json_object *object,
                   const char *key, size_t max_count, size_t *count)
{
    struct json_object *list =
        json_reader_get_array(reader, object, DOCUMENT_CUSTOMER_PATH, key);

    *count = list == NULL ? 0 : json_object_array_length(list);
    if (*count > max_count) {
        char path[DOCUMENT_ITEM_PATH_SIZE];
        (void)snprintf(path, sizeof(path), DOCUMENT_CUSTOMER_PATH ".%s", key);
        json_reader_add_error(reader, path, "%zu items; allowed are %zu",
                              *count, max_count);
        *count = 0;
    }
    return list;
}

// Returns the list item at index if it is an object, or adds an error and
// returns NULL. Sets path to the item's path and reports its unknown keys.
static struct json_object *
document_read_item(struct json_reader *reader, struct json_object *list,
                   const char *key, size_t index, const char *const *keys,
                   char path[DOCUMENT_ITEM_PATH_SIZE])
{
    struct json_object *item = json_object_array_get_idx(list, index);

    (void)snprintf(path, DOCUMENT_ITEM_PATH_SIZE,
                   DOCUMENT_CUSTOMER_PATH ".%s[%zu]", key, index);
    if (!json_object_is_type(item, json_type_object)) {
        json_reader_add_error(reader, path, "must be an object");
        return NULL;
    }
    (void)json_reader_check_keys(reader, item, path, keys);
    return item;
}

static void
document_read_databases(struct json_reader *reader, struct json_object *object,
                        struct document_customer *out)
{
    char path[DOCUMENT_ITEM_PATH_SIZE];
    size_t count = 0;
    struct json_object *list = document_read_list(
        reader, object, "databases", DOCUMENT_MAX_DATABASES, &count);

    out->customer.databases.databases_val = xcalloc(count, sizeof(ck_name));
    out->groups = xcalloc(count, sizeof(char *));
    out->customer.databases.databases_len = (u_int)count;
    for (size_t i = 0; i < count; i++) {
        struct json_object *item = document_read_item(
            reader, list, "databases", i, document_database_keys, path);
        out->customer.databases.databases_val[i] =
            item == NULL
                ? xstrdup("")
                : document_read_name(reader, item, path, "name", NULL);
        out->groups[i] = item == NULL
                             ? xstrdup("")
                             : document_read_name(reader, item, path, "group",
                                                  GROUP_FLEET_NAME);
    }
}

static void
document_read_request_types(struct json_reader *reader,
                            struct json_object *object,
                            struct ck_customer *customer)
{
    char path[DOCUMENT_ITEM_PATH_SIZE];
    size_t count = 0;
    struct json_object *list = document_read_list(
        reader, object, "request_types", DOCUMENT_MAX_REQUEST_TYPES, &count);

    customer->types.types_val = xcalloc(count, sizeof(ck_request_type));
    customer->types.types_len = (u_int)count;
    for (size_t i = 0; i < count; i++) {
        ck_request_type *type = &customer->types.types_val[i];
        struct json_object *item =
            document_read_item(reader, list, "request_types", i,
                               document_request_type_keys, path);
        if (item == NULL) {
            type->name = xstrdup("");
            continue;
        }
        type->name = document_read_name(reader, item, path, "name", NULL);
        document_read_numeric_fields(
            reader, item, path, document_request_type_numeric_fields,
            ARRAY_SIZE(document_request_type_numeric_fields), type);
        type->repeatable =
            json_reader_get_bool(reader, item, path, "repeatable", false);
    }
}

static void
document_read_callers(struct json_reader *reader, struct json_object *object,
                      struct ck_customer *customer)
{
    char path[DOCUMENT_ITEM_PATH_SIZE];
    size_t count = 0;
    struct json_object *list = document_read_list(
        reader, object, "callers", DOCUMENT_MAX_CALLERS, &count);

    customer->callers.callers_val = xcalloc(count, sizeof(ck_caller));
    customer->callers.callers_len = (u_int)count;
    for (size_t i = 0; i < count; i++) {
        ck_caller *caller = &customer->callers.callers_val[i];
        struct json_object *item = document_read_item(
            reader, list, "callers", i, document_caller_keys, path);
        caller->user = item == NULL ? xstrdup("")
                                    : document_read_name(reader, item, path,
                                                         "user", NULL);
        caller->verifier = item == NULL
                               ? xstrdup("")
                               : json_reader_get_text(reader, item, path,
                                                      "verifier", "", false);
        if (strlen(caller->verifier) > CK_VERIFIER_SIZE) {
            json_reader_add_error(reader, path, "verifier is longer than %d",
                                  CK_VERIFIER_SIZE);
        }
    }
}

static int
document_compare_names(const void *left, const void *right)
{
    return strcmp(*(char *const *)left, *(char *const *)right);
}

// Adds an error for each database name that occurs more than once.
static void
document_check_unique_databases(struct json_reader *reader,
                                const struct ck_customer *customer)
{
    size_t count = customer->databases.databases_len;
    char **names = xcalloc(count, sizeof(char *));

    if (count > 0) {
        memcpy(names, customer->databases.databases_val,
               count * sizeof(char *));
        qsort(names, count, sizeof(char *), document_compare_names);
    }
    for (size_t i = 1; i < count; i++) {
        if (names[i][0] != '\0' && strcmp(names[i], names[i - 1]) == 0) {
            json_reader_add_error(reader, DOCUMENT_CUSTOMER_PATH ".databases",
                                  "\"%s\" is listed twice", names[i]);
        }
    }
    free(names);
}

// Reads the "customer" object of an expanded template into out. The caller
// frees out with document_customer_clear, also after errors.
void
document_read_customer(struct json_reader *reader, struct json_object *object,
                       bool require_databases, struct document_customer *out)
{
    struct ck_customer *customer = &out->customer;

    (void)json_reader_check_keys(reader, object, DOCUMENT_CUSTOMER_PATH,
                                 document_customer_keys);
    document_read_numeric_fields(reader, object, DOCUMENT_CUSTOMER_PATH,
                                 document_customer_numeric_fields,
                                 ARRAY_SIZE(document_customer_numeric_fields),
                                 customer);
    customer->unconfirmed = (ck_unconfirmed_policy)json_reader_get_choice(
        reader, object, DOCUMENT_CUSTOMER_PATH, "unconfirmed",
        document_unconfirmed_names, CK_UNCONFIRMED_UNKNOWN);
    customer->promotion = (ck_promotion_policy)json_reader_get_choice(
        reader, object, DOCUMENT_CUSTOMER_PATH, "promotion",
        document_promotion_names, CK_PROMOTION_WAIT);
    document_read_databases(reader, object, out);
    document_read_request_types(reader, object, customer);
    document_read_callers(reader, object, customer);
    document_check_unique_databases(reader, customer);
    if (require_databases && customer->databases.databases_len == 0) {
        json_reader_add_error(reader, DOCUMENT_CUSTOMER_PATH ".databases",
                              "must list at least one database");
    }
}

static void
document_describe_number(struct buffer *lines, const char *customer,
                         const char *key, int64_t before, int64_t after,
                         size_t *count)
{
    if (before == after) {
        return;
    }
    buffer_append_format(lines, "%s: %s: %" PRId64 " -> %" PRId64 "\n",
                         customer, key, before, after);
    (*count)++;
}

static void
document_describe_text(struct buffer *lines, const char *customer,
                       const char *key, const char *before, const char *after,
                       size_t *count)
{
    if (strcmp(before, after) == 0) {
        return;
    }
    buffer_append_format(lines, "%s: %s: %s -> %s\n", customer, key, before,
                         after);
    (*count)++;
}

// Formats the databases as a comma-separated text of "name (group)".
static void
document_format_databases(const struct document_customer *customer,
                          struct buffer *text)
{
    u_int count = customer->customer.databases.databases_len;

    for (u_int i = 0; i < count; i++) {
        buffer_append_format(text, "%s%s (%s)", i == 0 ? "" : ", ",
                             customer->customer.databases.databases_val[i],
                             customer->groups[i]);
    }
    buffer_append_u8(text, 0);
}

static void
document_format_request_types(const struct document_customer *customer,
                              struct buffer *text)
{
    for (u_int i = 0; i < customer->customer.types.types_len; i++) {
        const ck_request_type *type = &customer->customer.types.types_val[i];
        buffer_append_format(
            text,
            "%s%s (weight %u, deadline_ms %u, queue_limit %u, "
            "repeatable %s, max_age_ms %u)",
            i == 0 ? "" : ", ", type->name, type->weight, type->deadline_ms,
            type->queue_limit, type->repeatable ? "true" : "false",
            type->max_age_ms);
    }
    buffer_append_u8(text, 0);
}

static void
document_format_callers(const struct document_customer *customer,
                        struct buffer *text)
{
    for (u_int i = 0; i < customer->customer.callers.callers_len; i++) {
        buffer_append_format(text, "%s%s", i == 0 ? "" : ", ",
                             customer->customer.callers.callers_val[i].user);
    }
    buffer_append_u8(text, 0);
}

// Returns whether the password verifier of any caller differs.
static bool
document_verifiers_differ(const struct ck_customer *before,
                          const struct ck_customer *after)
{
    if (before->callers.callers_len != after->callers.callers_len) {
        return false; // document_format_callers shows the changed list
    }
    for (u_int i = 0; i < before->callers.callers_len; i++) {
        if (strcmp(before->callers.callers_val[i].verifier,
                   after->callers.callers_val[i].verifier) != 0) {
            return true;
        }
    }
    return false;
}

typedef void (*document_format_fn)(const struct document_customer *customer,
                                   struct buffer *text);

// Appends a line and increments *count if the list formatted by format differs
// between before and after.
static void
document_describe_list(struct buffer *lines, const char *key,
                       const struct document_customer *before,
                       const struct document_customer *after,
                       document_format_fn format, size_t *count)
{
    struct buffer old_text = {0};
    struct buffer new_text = {0};

    format(before, &old_text);
    format(after, &new_text);
    document_describe_text(lines, after->customer.name, key,
                           (const char *)old_text.data,
                           (const char *)new_text.data, count);
    buffer_free(&old_text);
    buffer_free(&new_text);
}

static void
document_describe_numeric_fields(struct buffer *lines,
                                 const struct ck_customer *before,
                                 const struct ck_customer *after,
                                 size_t *count)
{
    for (size_t i = 0; i < ARRAY_SIZE(document_customer_numeric_fields); i++) {
        const struct document_numeric_field *number =
            &document_customer_numeric_fields[i];
        u_int old_value = 0;
        u_int new_value = 0;
        memcpy(&old_value, (const char *)before + number->offset,
               sizeof(old_value));
        memcpy(&new_value, (const char *)after + number->offset,
               sizeof(new_value));
        document_describe_number(lines, after->name, number->key, old_value,
                                 new_value, count);
    }
}

// Appends one line per changed field and returns the number of lines. Of a
// changed password verifier only the change is shown, not its text.
size_t
document_describe_changes(const struct document_customer *before,
                          const struct document_customer *after,
                          struct buffer *lines)
{
    size_t count = 0;
    const char *name = after->customer.name;

    if (before == NULL) {
        buffer_append_format(lines, "%s: new, of template %s\n", name,
                             after->customer.template_name);
        return 1;
    }
    document_describe_text(lines, name, "template",
                           before->customer.template_name,
                           after->customer.template_name, &count);
    document_describe_numeric_fields(lines, &before->customer,
                                     &after->customer, &count);
    document_describe_text(
        lines, name, "unconfirmed",
        document_unconfirmed_names[before->customer.unconfirmed],
        document_unconfirmed_names[after->customer.unconfirmed], &count);
    document_describe_text(
        lines, name, "promotion",
        document_promotion_names[before->customer.promotion],
        document_promotion_names[after->customer.promotion], &count);
    document_describe_list(lines, "databases", before, after,
                           document_format_databases, &count);
    document_describe_list(lines, "request_types", before, after,
                           document_format_request_types, &count);
    document_describe_list(lines, "callers", before, after,
                           document_format_callers, &count);
    if (document_verifiers_differ(&before->customer, &after->customer)) {
        buffer_append_format(lines, "%s: callers: a verifier changes\n", name);
        count++;
    }
    return count;
}
