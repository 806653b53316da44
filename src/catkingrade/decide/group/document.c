#include "catkingrade/decide/group/document.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "catkingrade/decide/group/document_customer.h"
#include "catkingrade/decide/group/document_parameters.h"
#include "catkingrade/kernel/json_reader.h"
#include "catkingrade/kernel/memory.h"
#include "catkingrade/kernel/outcome.h"
#include "catkingrade/rpc/codec.h"

#define DOCUMENT_FILE_SIZE 96

static const char *const document_template_keys[] = {
    "template", "parameters", "customer", "description", NULL,
};

static const char *const document_keys[] = {
    "customer", "template", "parameters", "description", NULL,
};

// Checks that name, under which the document is stored, is valid and that the
// root's member key equals it.
static void
document_check_name_member(struct json_reader *reader, const char *key,
                           const char *name)
{
    char *given =
        json_reader_get_text(reader, reader->root, "", key, NULL, true);

    if (given != NULL && strcmp(given, name) != 0) {
        json_reader_add_error(reader, key, "is \"%s\", must be \"%s\"", given,
                              name);
    }
    (void)document_check_name(reader, key, name);
    free(given);
}

// Substitutes parameter values into the template's "customer" object and reads
// the result into out. Errors refer to the lines of the template.
static void
document_expand_values(struct json_reader *template_reader,
                       struct json_object *values, bool require_databases,
                       struct document_customer *out)
{
    struct json_object *object = json_reader_get_object(
        template_reader, template_reader->root, "", "customer");

    if (object == NULL) {
        json_reader_add_error(template_reader, "customer",
                              "missing; must be an object");
        return;
    }
    struct json_object *expanded =
        document_substitute(template_reader, object, values, "customer");
    if (!template_reader->failed) {
        document_read_customer(template_reader, expanded, require_databases,
                               out);
    }
    json_object_put(expanded);
}

// Validates a template by expanding it with the default value of each
// parameter, or a sample value of its type for a parameter without a default.
int
document_check_template(const char *name, const char *document,
                        struct buffer *errors)
{
    struct json_reader reader;
    struct document_customer expanded = {0};
    char file[DOCUMENT_FILE_SIZE];

    (void)snprintf(file, sizeof(file), "template %s", name);
    int outcome = json_reader_open(&reader, file, document, errors);
    if (outcome != OUTCOME_OK) {
        json_reader_close(&reader);
        return OUTCOME_INVALID;
    }
    (void)json_reader_check_keys(&reader, reader.root, "",
                                 document_template_keys);
    document_check_name_member(&reader, "template", name);
    struct json_object *declarations =
        json_reader_get_object(&reader, reader.root, "", "parameters");
    declarations = declarations == NULL ? json_object_new_object()
                                        : json_object_get(declarations);
    document_check_declarations(&reader, declarations);
    if (!reader.failed) {
        struct json_object *values =
            document_resolve_values(&reader, declarations, NULL, true);
        document_expand_values(&reader, values, false, &expanded);
        json_object_put(values);
    }
    json_object_put(declarations);
    outcome = reader.failed ? OUTCOME_INVALID : OUTCOME_OK;
    document_customer_clear(&expanded);
    json_reader_close(&reader);
    return outcome;
}

// Reads the template name from a customer's document. *template_name is NULL
// after an error; the caller frees it.
int
document_read_template_name(const char *document, char **template_name,
                            struct buffer *errors)
{
    struct json_reader reader;
    int outcome = json_reader_open(&reader, "customer", document, errors);

    *template_name = NULL;
    if (outcome == OUTCOME_OK) {
        *template_name = json_reader_get_text(&reader, reader.root, "",
                                              "template", NULL, true);
    }
    json_reader_close(&reader);
    return *template_name == NULL ? OUTCOME_INVALID : OUTCOME_OK;
}

// Resolves the parameter values of a customer's document against the
// declarations of its template. The caller releases the returned object.
static struct json_object *
document_read_values(struct json_reader *reader,
                     struct json_reader *template_reader)
{
    struct json_object *declarations = json_reader_get_object(
        template_reader, template_reader->root, "", "parameters");
    struct json_object *given =
        json_reader_get_object(reader, reader->root, "", "parameters");

    declarations = declarations == NULL ? json_object_new_object()
                                        : json_object_get(declarations);
    struct json_object *values =
        document_resolve_values(reader, declarations, given, false);
    json_object_put(declarations);
    return values;
}

// Expands a customer from its parsed document and template. Errors are
// recorded in the two readers.
static void
document_expand_parsed(struct json_reader *reader,
                       struct json_reader *template_reader, const char *name,
                       struct document_customer *out)
{
    (void)json_reader_check_keys(reader, reader->root, "", document_keys);
    document_check_name_member(reader, "customer", name);
    struct json_object *values = document_read_values(reader, template_reader);
    if (!reader->failed) {
        document_expand_values(template_reader, values, true, out);
    }
    json_object_put(values);
    out->customer.name = xstrdup(name);
    out->customer.template_name =
        json_reader_get_text(reader, reader->root, "", "template", "", false);
}

// Expands a customer's document with its template into out. After an error out
// is empty. The caller frees out with document_customer_clear.
int
document_expand(const char *name, const char *document,
                const char *template_document, struct document_customer *out,
                struct buffer *errors)
{
    struct json_reader reader;
    struct json_reader template_reader;
    char file[DOCUMENT_FILE_SIZE];

    memset(out, 0, sizeof(*out));
    (void)snprintf(file, sizeof(file), "customer %s", name);
    int outcome = json_reader_open(&reader, file, document, errors);
    if (outcome != OUTCOME_OK) {
        json_reader_close(&reader);
        return OUTCOME_INVALID;
    }
    outcome = json_reader_open(&template_reader, "template", template_document,
                               errors);
    if (outcome == OUTCOME_OK) {
        document_expand_parsed(&reader, &template_reader, name, out);
    }
    bool failed = reader.failed || template_reader.failed;
    json_reader_close(&reader);
    json_reader_close(&template_reader);
    if (failed) {
        document_customer_clear(out);
        return OUTCOME_INVALID;
    }
    return OUTCOME_OK;
}

// Frees the memory that an expanded customer owns and zeroes the struct.
void
document_customer_clear(struct document_customer *expanded)
{
    for (u_int i = 0; i < expanded->customer.databases.databases_len; i++) {
        free(expanded->groups[i]);
    }
    free(expanded->groups);
    codec_free((xdrproc_t)xdr_ck_customer, &expanded->customer);
    memset(expanded, 0, sizeof(*expanded));
}
