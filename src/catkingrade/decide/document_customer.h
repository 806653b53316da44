#ifndef CATKINGRADE_DECIDE_DOCUMENT_CUSTOMER_H
#define CATKINGRADE_DECIDE_DOCUMENT_CUSTOMER_H

#include <stdbool.h>

#include "catkingrade/decide/document.h"
#include "catkingrade/kernel/json_reader.h"

// Reads the "customer" object of an expanded template; errors go to reader.
// Without complete, fields may lack items that a customer will bring.
void document_read_customer(struct json_reader *reader,
                            struct json_object *object, bool require_databases,
                            struct document_customer *out);
bool document_check_name(struct json_reader *reader, const char *path,
                         const char *name);

#endif
