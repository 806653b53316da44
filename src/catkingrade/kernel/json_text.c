#include "catkingrade/kernel/json_text.h"

#include <json-c/json.h>

#include "catkingrade/kernel/memory.h"

void
json_text_append(struct buffer *json, const char *text)
{
    struct json_object *string = json_object_new_string(text);

    INVARIANT(string != NULL);
    buffer_append_text(json, json_object_to_json_string_ext(
                                 string, JSON_C_TO_STRING_PLAIN |
                                             JSON_C_TO_STRING_NOSLASHESCAPE));
    json_object_put(string);
}
