#ifndef CATKINGRADE_DECIDE_DOCUMENT_CUSTOMER_H
#define CATKINGRADE_DECIDE_DOCUMENT_CUSTOMER_H

#include <stdbool.h>

#include "catkingrade/decide/group/document.h"
#include "catkingrade/kernel/json_reader.h"

// Reads and validates the "customer" object of an expanded template.

// Reads the object into out; errors are recorded in reader. With
// require_databases, an empty list of databases is an error. A template is
// checked without it, because only its customers list databases.
void document_read_customer(struct json_reader *reader,
                            struct json_object *object, bool require_databases,
                            struct document_customer *out);
bool document_check_name(struct json_reader *reader, const char *path,
                         const char *name);

#endif
