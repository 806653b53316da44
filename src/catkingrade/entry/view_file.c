#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "catkingrade/entry/view.h"
#include "catkingrade/kernel/file.h"
#include "catkingrade/kernel/json_reader.h"
#include "catkingrade/kernel/memory.h"
#include "catkingrade/kernel/outcome.h"
#include "catkingrade/rpc/codec.h"

#define VIEW_FILE_MAX_SIZE_BYTES (8 * 1024 * 1024)
#define VIEW_FILE_PATH_SIZE      256
#define VIEW_FILE_GROUP          "fleet"
#define VIEW_FILE_MAX_TYPES      64
#define VIEW_FILE_MAX_CALLERS    256
#define VIEW_FILE_MAX_MS         3600000

static const char *const view_file_keys[] = {"customers", "databases", NULL};
static const char *const view_file_customer_keys[] = {
    "name",      "template", "max_age_ms", "session_limit",
    "confirm",   "drain_ms", "types",      "unconfirmed",
    "promotion", "callers",  NULL};
static const char *const view_file_type_keys[] = {
    "name",       "weight",     "deadline_ms", "queue_limit",
    "repeatable", "max_age_ms", NULL};
static const char *const view_file_caller_keys[] = {"user", "verifier", NULL};
static const char *const view_file_database_keys[] = {
    "name", "customer", "group", "term", "primary", "base", "upstreams", NULL};
static const char *const view_file_base_keys[] = {"timeline", "lsn", NULL};
static const char *const view_file_upstream_keys[] = {
    "name", "failure_domain", "host", "port", "slots", "connections", NULL};
static const char *const view_file_unconfirmed[] = {"unknown", "warn", NULL};
static const char *const view_file_promotion[] = {"wait", "operator", NULL};

// Decodes one element of a list into out. object is NULL if the element is not
// an object; the function then sets the strings of out to "".
typedef void (*view_file_item_fn)(struct json_reader *reader,
                                  struct json_object *object, const char *path,
                                  void *out);

static unsigned
view_file_get_number(struct json_reader *reader, struct json_object *object,
                     const char *path, const char *key, int64_t fallback,
                     int64_t max)
{
    return (unsigned)json_reader_get_number(reader, object, path, key,
                                            fallback, 0, max);
}

static char *
view_file_get_name_or(struct json_reader *reader, struct json_object *object,
                      const char *path, const char *key, const char *fallback,
                      bool required)
{
    char *name =
        json_reader_get_text(reader, object, path, key, fallback, required);

    if (strlen(name) > CK_NAME_SIZE) {
        json_reader_add_error(reader, path, "%s: longer than %d characters",
                              key, CK_NAME_SIZE);
        // The codec that frees the view takes no longer name.
        name[0] = '\0';
    }
    return name;
}

static char *
view_file_get_name(struct json_reader *reader, struct json_object *object,
                   const char *path, const char *key, bool required)
{
    return view_file_get_name_or(reader, object, path, key, "", required);
}

// Decodes a list of at most max_count objects into a new array *items. Returns
// the number of items.
static unsigned
view_file_read_list(struct json_reader *reader, struct json_object *object,
                    const char *path, const char *key, size_t max_count,
                    size_t item_size_bytes, view_file_item_fn read_item,
                    void **items)
{
    char item_path[VIEW_FILE_PATH_SIZE];
    struct json_object *list =
        json_reader_get_array(reader, object, path, key);
    size_t count = list == NULL ? 0 : json_object_array_length(list);

    if (count > max_count) {
        json_reader_add_error(reader, path, "%s: more than %zu", key,
                              max_count);
        count = 0;
    }
    char *array = xcalloc(count, item_size_bytes);
    for (size_t i = 0; i < count; i++) {
        struct json_object *item = json_object_array_get_idx(list, i);
        (void)snprintf(item_path, sizeof(item_path), "%s%s%s[%zu]", path,
                       path[0] == '\0' ? "" : ".", key, i);
        if (!json_object_is_type(item, json_type_object)) {
            json_reader_add_error(reader, item_path, "must be an object");
            item = NULL;
        }
        read_item(reader, item, item_path, array + i * item_size_bytes);
    }
    *items = array;
    return (unsigned)count;
}

static void
view_file_read_type(struct json_reader *reader, struct json_object *object,
                    const char *path, void *out)
{
    struct ck_request_type *type = out;

    if (object == NULL) {
        type->name = xstrdup("");
        return;
    }
    json_reader_check_keys(reader, object, path, view_file_type_keys);
    type->name = view_file_get_name(reader, object, path, "name", true);
    type->weight =
        view_file_get_number(reader, object, path, "weight", 1, 1000000);
    type->deadline_ms = view_file_get_number(
        reader, object, path, "deadline_ms", 5000, VIEW_FILE_MAX_MS);
    type->queue_limit = view_file_get_number(reader, object, path,
                                             "queue_limit", 1000, 1000000);
    type->repeatable =
        json_reader_get_bool(reader, object, path, "repeatable", false);
    type->max_age_ms = view_file_get_number(reader, object, path, "max_age_ms",
                                            0, VIEW_FILE_MAX_MS);
}

static void
view_file_read_caller(struct json_reader *reader, struct json_object *object,
                      const char *path, void *out)
{
    struct ck_caller *caller = out;

    if (object == NULL) {
        caller->user = xstrdup("");
        caller->verifier = xstrdup("");
        return;
    }
    json_reader_check_keys(reader, object, path, view_file_caller_keys);
    caller->user = view_file_get_name(reader, object, path, "user", true);
    caller->verifier =
        json_reader_get_text(reader, object, path, "verifier", "", false);
    if (strlen(caller->verifier) > CK_VERIFIER_SIZE) {
        json_reader_add_error(reader, path, "verifier: too long");
    }
}

static void
view_file_read_customer(struct json_reader *reader, struct json_object *object,
                        const char *path, void *out)
{
    struct ck_customer *customer = out;
    void *items;

    if (object == NULL) {
        customer->name = xstrdup("");
        customer->template_name = xstrdup("");
        return;
    }
    json_reader_check_keys(reader, object, path, view_file_customer_keys);
    customer->name = view_file_get_name(reader, object, path, "name", true);
    customer->template_name =
        view_file_get_name(reader, object, path, "template", false);
    customer->revision = 1;
    customer->max_age_ms = view_file_get_number(
        reader, object, path, "max_age_ms", 0, VIEW_FILE_MAX_MS);
    customer->session_limit = view_file_get_number(
        reader, object, path, "session_limit", 10000, 1000000);
    customer->confirm =
        view_file_get_number(reader, object, path, "confirm", 1, 15);
    customer->drain_ms = view_file_get_number(reader, object, path, "drain_ms",
                                              30000, VIEW_FILE_MAX_MS);
    customer->unconfirmed = (enum ck_unconfirmed_policy)json_reader_get_choice(
        reader, object, path, "unconfirmed", view_file_unconfirmed, 0);
    customer->promotion = (enum ck_promotion_policy)json_reader_get_choice(
        reader, object, path, "promotion", view_file_promotion, 0);
    customer->types.types_len = view_file_read_list(
        reader, object, path, "types", VIEW_FILE_MAX_TYPES,
        sizeof(struct ck_request_type), view_file_read_type, &items);
    customer->types.types_val = items;
    customer->callers.callers_len = view_file_read_list(
        reader, object, path, "callers", VIEW_FILE_MAX_CALLERS,
        sizeof(struct ck_caller), view_file_read_caller, &items);
    customer->callers.callers_val = items;
}

static void
view_file_read_upstream(struct json_reader *reader, struct json_object *object,
                        const char *path, void *out)
{
    struct ck_upstream *upstream = out;

    upstream->database = xstrdup("");
    if (object == NULL) {
        upstream->name = xstrdup("");
        upstream->failure_domain = xstrdup("");
        upstream->host = xstrdup("");
        return;
    }
    json_reader_check_keys(reader, object, path, view_file_upstream_keys);
    upstream->name = view_file_get_name(reader, object, path, "name", true);
    upstream->failure_domain =
        view_file_get_name(reader, object, path, "failure_domain", false);
    upstream->host = view_file_get_name(reader, object, path, "host", true);
    upstream->port =
        view_file_get_number(reader, object, path, "port", 5432, UINT16_MAX);
    upstream->slots =
        view_file_get_number(reader, object, path, "slots", 5, 10000);
    upstream->connections =
        view_file_get_number(reader, object, path, "connections", 30, 100000);
}

static void
view_file_read_base(struct json_reader *reader, struct json_object *object,
                    const char *path, struct ck_position *base)
{
    char base_path[VIEW_FILE_PATH_SIZE];
    struct json_object *member =
        json_reader_get_object(reader, object, path, "base");

    if (member == NULL) {
        return;
    }
    (void)snprintf(base_path, sizeof(base_path), "%s.base", path);
    json_reader_check_keys(reader, member, base_path, view_file_base_keys);
    base->timeline = (uint64_t)json_reader_get_number(
        reader, member, base_path, "timeline", 0, 0, INT64_MAX);
    base->lsn = (uint64_t)json_reader_get_number(reader, member, base_path,
                                                 "lsn", 0, 0, INT64_MAX);
}

static void
view_file_read_database(struct json_reader *reader, struct json_object *object,
                        const char *path, void *out)
{
    struct ck_database *database = out;
    void *items;

    if (object == NULL) {
        database->name = xstrdup("");
        database->customer = xstrdup("");
        database->group = xstrdup("");
        database->primary = xstrdup("");
        return;
    }
    json_reader_check_keys(reader, object, path, view_file_database_keys);
    database->name = view_file_get_name(reader, object, path, "name", true);
    database->customer =
        view_file_get_name(reader, object, path, "customer", true);
    database->group =
        view_file_get_name_or(reader, object, path, "group", "fleet", false);
    database->primary =
        view_file_get_name(reader, object, path, "primary", false);
    database->revision = 1;
    database->term = (uint64_t)json_reader_get_number(reader, object, path,
                                                      "term", 1, 1, INT64_MAX);
    view_file_read_base(reader, object, path, &database->base);
    database->upstreams.upstreams_len = view_file_read_list(
        reader, object, path, "upstreams", CK_LIST_SIZE,
        sizeof(struct ck_upstream), view_file_read_upstream, &items);
    database->upstreams.upstreams_val = items;
    for (unsigned i = 0; i < database->upstreams.upstreams_len; i++) {
        struct ck_upstream *upstream = &database->upstreams.upstreams_val[i];
        free(upstream->database);
        upstream->database = xstrdup(database->name);
    }
}

// Checks that the customer of a database exists and that its primary, if set,
// is one of its upstreams.
static void
view_file_check_database(struct json_reader *reader,
                         const struct ck_view_delta *delta, size_t index)
{
    const struct ck_database *database =
        &delta->databases.databases_val[index];
    char path[VIEW_FILE_PATH_SIZE];
    bool found = database->primary[0] == '\0';

    (void)snprintf(path, sizeof(path), "databases[%zu]", index);
    for (unsigned i = 0; i < database->upstreams.upstreams_len && !found;
         i++) {
        found = strcmp(database->upstreams.upstreams_val[i].name,
                       database->primary) == 0;
    }
    if (!found) {
        json_reader_add_error(reader, path,
                              "primary: \"%s\" is not one of its upstreams",
                              database->primary);
    }
    for (unsigned i = 0; i < delta->customers.customers_len; i++) {
        if (strcmp(delta->customers.customers_val[i].name,
                   database->customer) == 0) {
            return;
        }
    }
    json_reader_add_error(reader, path, "customer: \"%s\" is not known",
                          database->customer);
}

// Sets each customer's list of databases from the customers of the databases.
static void
view_file_fill_customers(struct ck_view_delta *delta)
{
    for (unsigned i = 0; i < delta->customers.customers_len; i++) {
        struct ck_customer *customer = &delta->customers.customers_val[i];
        unsigned count = 0;
        ck_name *names =
            xcalloc(delta->databases.databases_len, sizeof(*names));
        for (unsigned j = 0; j < delta->databases.databases_len; j++) {
            const struct ck_database *database =
                &delta->databases.databases_val[j];
            if (strcmp(database->customer, customer->name) == 0) {
                names[count++] = xstrdup(database->name);
            }
        }
        customer->databases.databases_val = names;
        customer->databases.databases_len = count;
    }
}

// Loads a static view from a JSON file, which may contain comments. It is used
// by entries that run without a control group. If the file can't be read or is
// invalid, appends one line per error to errors and returns NULL.
struct view *
view_load(const char *path, struct buffer *errors)
{
    struct json_reader reader;
    struct ck_view_delta delta = {.full = TRUE, .to_revision = 1};
    struct view *view = NULL;
    char *text = NULL;
    void *items;

    if (file_read_text(path, VIEW_FILE_MAX_SIZE_BYTES, &text) != OUTCOME_OK) {
        buffer_append_format(errors, "%s: cannot be read: %s\n", path,
                             strerror(errno));
        return NULL;
    }
    if (json_reader_open(&reader, path, text, errors) == OUTCOME_OK) {
        json_reader_check_keys(&reader, reader.root, "", view_file_keys);
        delta.customers.customers_len = view_file_read_list(
            &reader, reader.root, "", "customers", CK_LIST_SIZE,
            sizeof(struct ck_customer), view_file_read_customer, &items);
        delta.customers.customers_val = items;
        delta.databases.databases_len = view_file_read_list(
            &reader, reader.root, "", "databases", CK_LIST_SIZE,
            sizeof(struct ck_database), view_file_read_database, &items);
        delta.databases.databases_val = items;
        for (unsigned i = 0; i < delta.databases.databases_len; i++) {
            view_file_check_database(&reader, &delta, i);
        }
        view_file_fill_customers(&delta);
    }
    if (!reader.failed) {
        struct view *empty = view_create();
        view = view_apply_delta(empty, VIEW_FILE_GROUP, &delta);
        view_release(empty);
    }
    codec_free((xdrproc_t)xdr_ck_view_delta, &delta);
    json_reader_close(&reader);
    free(text);
    return view;
}
