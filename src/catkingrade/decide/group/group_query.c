#include <json-c/json.h>
#include <stdlib.h>
#include <string.h>

#include "catkingrade/decide/group/group_private.h"
#include "catkingrade/kernel/memory.h"
#include "catkingrade/kernel/outcome.h"

// Lists the objects of a control group as pages of JSON for operators.

// Maximum size of a page. A single object may exceed it.
#define GROUP_QUERY_MAX_SIZE_BYTES 40000

static const char *const group_customer_state_names[] = {"open", "draining",
                                                         "closed"};
static const char *const group_upstream_state_names[] = {"ready", "leaving",
                                                         "lost"};

static void
group_json_add_text(struct json_object *object, const char *key,
                    const char *text)
{
    json_object_object_add(object, key, json_object_new_string(text));
}

static void
group_json_add_number(struct json_object *object, const char *key,
                      uint64_t number)
{
    json_object_object_add(object, key, json_object_new_uint64(number));
}

// Adds a document both as parsed JSON and as the stored text, because parsing
// removes the JSON comments.
static void
group_json_add_document(struct json_object *object, const char *document)
{
    struct json_object *parsed = json_tokener_parse(document);

    json_object_object_add(object, "document", parsed);
    group_json_add_text(object, "text", document);
}

static struct json_object *
group_json_upstream(const struct ck_upstream *upstream)
{
    struct json_object *row = json_object_new_object();

    group_json_add_text(row, "name", upstream->name);
    group_json_add_text(row, "failure_domain", upstream->failure_domain);
    group_json_add_text(row, "host", upstream->host);
    group_json_add_number(row, "port", upstream->port);
    group_json_add_number(row, "slots", upstream->slots);
    group_json_add_number(row, "connections", upstream->connections);
    group_json_add_text(row, "state",
                        group_upstream_state_names[upstream->state]);
    return row;
}

static struct json_object *
group_json_database(const struct ck_database *database)
{
    struct json_object *row = json_object_new_object();
    struct json_object *upstreams = json_object_new_array();

    group_json_add_text(row, "database", database->name);
    group_json_add_text(row, "customer", database->customer);
    group_json_add_text(row, "group", database->group);
    group_json_add_number(row, "revision", database->revision);
    group_json_add_number(row, "term", database->term);
    group_json_add_text(row, "primary", database->primary);
    group_json_add_number(row, "timeline", database->base.timeline);
    group_json_add_number(row, "base_lsn", database->base.lsn);
    json_object_object_add(row, "superseding",
                           json_object_new_boolean(database->superseding));
    for (u_int i = 0; i < database->upstreams.upstreams_len; i++) {
        json_object_array_add(
            upstreams,
            group_json_upstream(&database->upstreams.upstreams_val[i]));
    }
    json_object_object_add(row, "upstreams", upstreams);
    return row;
}

static struct json_object *
group_json_daemon(const struct group_object *object)
{
    struct json_object *row = json_object_new_object();
    const struct ck_daemon *daemon = &object->daemon;

    group_json_add_text(row, "vm", daemon->vm);
    group_json_add_number(row, "revision", object->revision);
    group_json_add_number(row, "incarnation", daemon->incarnation);
    group_json_add_text(row, "failure_domain", daemon->failure_domain);
    group_json_add_text(row, "host", daemon->host);
    group_json_add_number(row, "port", daemon->port);
    group_json_add_number(row, "roles", daemon->roles);
    return row;
}

static struct json_object *
group_json_customer(const struct group_object *object)
{
    struct json_object *row = json_object_new_object();
    struct json_object *databases = json_object_new_array();
    const struct ck_customer *customer = &object->expanded.customer;

    group_json_add_text(row, "customer", customer->name);
    group_json_add_text(row, "template", customer->template_name);
    group_json_add_number(row, "revision", customer->revision);
    group_json_add_text(row, "state",
                        group_customer_state_names[customer->state]);
    for (u_int i = 0; i < customer->databases.databases_len; i++) {
        json_object_array_add(
            databases,
            json_object_new_string(customer->databases.databases_val[i]));
    }
    json_object_object_add(row, "databases", databases);
    group_json_add_document(row, object->document);
    return row;
}

static struct json_object *
group_json_template(const struct group_object *object)
{
    struct json_object *row = json_object_new_object();

    group_json_add_text(row, "template", object->name);
    group_json_add_number(row, "revision", object->revision);
    group_json_add_document(row, object->document);
    return row;
}

static struct json_object *
group_json_object(const struct group_object *object)
{
    switch (object->kind) {
    case GROUP_TEMPLATE:
        return group_json_template(object);
    case GROUP_CUSTOMER:
        return group_json_customer(object);
    case GROUP_DAEMON:
        return group_json_daemon(object);
    default:
        return group_json_database(&object->database);
    }
}

static int
group_compare_objects(const void *left, const void *right)
{
    const struct group_object *const *a = left;
    const struct group_object *const *b = right;

    return strcmp((*a)->name, (*b)->name);
}

// Returns the objects of a kind that are not removed, sorted by name, and sets
// count. An empty name selects all of them. The caller frees the array.
static const struct group_object **
group_list_objects(const struct group_state *group, enum group_kind kind,
                   const char *name, size_t *count)
{
    const struct group_object **list = NULL;
    size_t capacity = 0;

    *count = 0;
    for (const struct group_object *object = group->oldest; object != NULL;
         object = object->newer) {
        if (object->kind != kind || object->removed ||
            (name[0] != '\0' && strcmp(name, object->name) != 0)) {
            continue;
        }
        if (*count == capacity) {
            capacity = capacity * 2 + 16;
            list = xrealloc(list, capacity * sizeof(*list));
        }
        list[(*count)++] = object;
    }
    if (*count > 1) {
        qsort(list, *count, sizeof(*list), group_compare_objects);
    }
    return list;
}

// Appends objects to a page from cursor on until the page is full. Returns the
// cursor of the next page, or 0 after the last object.
static uint64_t
group_write_page(const struct group_object **list, size_t count,
                 uint64_t cursor, struct buffer *json)
{
    size_t start = buffer_get_size(json);

    buffer_append_text(json, "[");
    for (uint64_t i = cursor; i < count; i++) {
        struct json_object *row = group_json_object(list[i]);
        const char *text =
            json_object_to_json_string_ext(row, JSON_C_TO_STRING_PLAIN);
        size_t size = buffer_get_size(json) - start + strlen(text);
        if (i > cursor && size > GROUP_QUERY_MAX_SIZE_BYTES) {
            json_object_put(row);
            buffer_append_text(json, "]");
            return i;
        }
        buffer_append_format(json, "%s%s", i == cursor ? "" : ",", text);
        json_object_put(row);
    }
    buffer_append_text(json, "]");
    return 0;
}

// Appends one page of a query to json as a JSON array, sorted by name.
int
group_query(const struct group_state *group, enum ck_query_kind kind,
            const char *name, uint64_t cursor, struct buffer *json,
            uint64_t *next_cursor)
{
    enum group_kind object_kind = GROUP_DATABASE;
    size_t count = 0;

    switch (kind) {
    case CK_QUERY_DAEMONS:
        object_kind = GROUP_DAEMON;
        break;
    case CK_QUERY_DATABASES:
        object_kind = GROUP_DATABASE;
        break;
    case CK_QUERY_TEMPLATES:
        object_kind = GROUP_TEMPLATE;
        break;
    case CK_QUERY_CUSTOMERS:
        object_kind = GROUP_CUSTOMER;
        break;
    case CK_QUERY_DECLARED_CUSTOMERS:
        return group_query_declared_customers(group, name, cursor, json,
                                              next_cursor);
    default:
        return OUTCOME_NOT_SUPPORTED;
    }
    const struct group_object **list =
        group_list_objects(group, object_kind, name, &count);
    *next_cursor = group_write_page(list, count, cursor, json);
    free(list);
    return OUTCOME_OK;
}
