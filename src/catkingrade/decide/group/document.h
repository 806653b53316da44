#ifndef CATKINGRADE_DECIDE_DOCUMENT_H
#define CATKINGRADE_DECIDE_DOCUMENT_H

#include <stdbool.h>
#include <stddef.h>

#include "catkingrade/kernel/buffer.h"
#include "catkingrade/rpc/messages.h"

// Parses and validates the JSON documents of templates and customers, and
// expands a customer's document with the template that it names. JSON
// comments are allowed. Example of a template and of a customer:
//
//   {"template": "roster",
//    "parameters": {"max_age_ms": {"type": "duration_ms", "min": 0,
//                                  "max": 60000, "default": 2000}},
//    "customer": {"max_age_ms": "${max_age_ms}", ...}}
//
//   {"customer": "pootafdruk", "template": "roster",
//    "parameters": {"max_age_ms": 1500}}
//
// The parameter types are text, number, duration_ms, flag, choice (with
// "choices") and list (items of any JSON type). A string in "customer" that is
// exactly "${name}" is replaced by the parameter's value with its JSON type;
// within a longer string the value is inserted as text.

// A customer that was expanded from its document and template.
struct document_customer {
    // document_expand leaves the revision and state 0; the group sets them.
    struct ck_customer customer;
    char **groups; // control group names, one per database
};

// document_check_template, document_read_template_name and document_expand
// return OUTCOME_OK or OUTCOME_INVALID. For OUTCOME_INVALID they append one
// line per fault to errors, with the field and the values that are allowed.
int document_check_template(const char *name, const char *document,
                            struct buffer *errors);
int document_read_template_name(const char *document, char **template_name,
                                struct buffer *errors);
int document_expand(const char *name, const char *document,
                    const char *template_document,
                    struct document_customer *out, struct buffer *errors);
void document_customer_clear(struct document_customer *expanded);
// Appends one line per changed field to lines and returns the number of lines.
// before is NULL for a new customer.
size_t document_describe_changes(const struct document_customer *before,
                                 const struct document_customer *after,
                                 struct buffer *lines);

#endif
