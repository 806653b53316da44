#ifndef CATKINGRADE_DECIDE_DOCUMENT_PARAMETERS_H
#define CATKINGRADE_DECIDE_DOCUMENT_PARAMETERS_H

#include <stdbool.h>

#include "catkingrade/kernel/json_reader.h"

// The typed parameters of a template and their values.

// Checks the declarations of a template's "parameters" member.
void document_check_declarations(struct json_reader *reader,
                                 struct json_object *parameters);
// Returns a new object with a value for each declared parameter: the
// customer's, or the default. A value that lacks or is wrong adds an error;
// with samples, a parameter without a default gets a value of its type.
struct json_object *document_resolve_values(struct json_reader *reader,
                                            struct json_object *declarations,
                                            struct json_object *given,
                                            bool use_samples);
// Returns a copy of tree with each "${name}" replaced by its value; unknown
// names add errors at path.
struct json_object *document_substitute(struct json_reader *reader,
                                        struct json_object *tree,
                                        struct json_object *values,
                                        const char *path);

#endif
