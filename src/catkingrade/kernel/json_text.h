#ifndef CATKINGRADE_KERNEL_JSON_TEXT_H
#define CATKINGRADE_KERNEL_JSON_TEXT_H

#include "catkingrade/kernel/buffer.h"

// Appends a text as a JSON string, in quotes and escaped, so that no name can
// end the string that it stands in.
void json_text_append(struct buffer *json, const char *text);

#endif
