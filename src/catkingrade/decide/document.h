#ifndef CATKINGRADE_DECIDE_DOCUMENT_H
#define CATKINGRADE_DECIDE_DOCUMENT_H

#include <stdbool.h>
#include <stddef.h>

#include "catkingrade/kernel/buffer.h"
#include "catkingrade/rpc/messages.h"

// Templates and customers as JSON documents with comments:
//
//   {"template": "roster",
//    "parameters": {"max_age_ms": {"type": "duration_ms", "min": 0,
//                                  "max": 60000, "default": 2000}},
//    "customer": {"max_age_ms": "${max_age_ms}", ...}}
//
//   {"customer": "pootafdruk", "template": "roster",
//    "parameters": {"max_age_ms": 1500}}
//
// Types are text, number, duration_ms, flag, choice (with "choices") and list
// (the items are of any JSON form). A member of "customer" that is exactly
// "${name}" takes the parameter's value as it is; within a longer text the
// value is inserted as text.

// A customer as its document and template make it.
struct document_customer {
    struct ck_customer customer; // revision and state are left at 0
    char **groups;               // control group of each database
};

// Each of these returns OUTCOME_OK, or OUTCOME_INVALID with a line for each
// fault in errors that names the field and what would be right.
int document_check_template(const char *name, const char *document,
                            struct buffer *errors);
int document_read_template_name(const char *document, char **template_name,
                                struct buffer *errors);
int document_expand(const char *name, const char *document,
                    const char *template_document,
                    struct document_customer *out, struct buffer *errors);
void document_customer_clear(struct document_customer *expanded);
// Adds a line for each field that differs; returns how many. before is NULL
// for a customer that is new.
size_t document_describe_changes(const struct document_customer *before,
                                 const struct document_customer *after,
                                 struct buffer *lines);

#endif
