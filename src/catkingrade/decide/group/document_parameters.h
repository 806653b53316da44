#ifndef CATKINGRADE_DECIDE_DOCUMENT_PARAMETERS_H
#define CATKINGRADE_DECIDE_DOCUMENT_PARAMETERS_H

#include <stdbool.h>

#include "catkingrade/kernel/json_reader.h"

// Checks the typed parameters that a template declares, resolves their values
// and substitutes the values into the template.

// Validates the declarations in a template's "parameters" member.
void document_check_declarations(struct json_reader *reader,
                                 struct json_object *parameters);
// Returns a new object with a value for each declared parameter: the value
// given by the customer, or else the default. A missing or invalid value adds
// an error to reader. With use_samples, a parameter without a default gets a
// sample value of its type. given may be NULL.
struct json_object *document_resolve_values(struct json_reader *reader,
                                            struct json_object *declarations,
                                            struct json_object *given,
                                            bool use_samples);
// Returns a copy of tree with each "${name}" replaced by the value of that
// parameter. A name that is not in values adds an error at path.
struct json_object *document_substitute(struct json_reader *reader,
                                        struct json_object *tree,
                                        struct json_object *values,
                                        const char *path);

#endif
