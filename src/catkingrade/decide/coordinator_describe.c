#include <inttypes.h>

#include "catkingrade/decide/coordinator_private.h"

static const char *const coordinator_phase_names[] = {
    "watching",   "first_primary", "superseding", "revoking",
    "collecting", "promoting",     "publishing",
};

// Writes a JSON array of the databases that are not at rest: name, phase, how
// long it has lasted, and the holders that are waited for.
void
coordinator_describe(const struct leader *leader, int64_t now_us,
                     struct buffer *json)
{
    const char *separator = "";

    buffer_append_text(json, "[");
    for (const struct coordinator_database *db = leader->databases; db != NULL;
         db = db->next) {
        if (db->phase == COORDINATOR_PHASE_IDLE) {
            continue;
        }
        buffer_append_format(json,
                             "%s{\"database\":\"%s\",\"phase\":\"%s\","
                             "\"since_ms\":%" PRId64 ",\"holders\":%zu}",
                             separator, db->name,
                             coordinator_phase_names[db->phase],
                             (now_us - db->phase_us) / 1000, db->waits_count);
        separator = ",";
    }
    buffer_append_text(json, "]");
}
