#include <inttypes.h>

#include "catkingrade/decide/coordinator/coordinator_private.h"
#include "catkingrade/kernel/json_text.h"

static const char *const coordinator_phase_names[] = {
    "watching",   "first_primary", "superseding", "revoking",
    "collecting", "ordering",      "promoting",   "publishing",
};

// Appends a JSON array of the databases whose phase is not idle: name, phase,
// time since the phase began in ms, and number of leases that must end.
void
coordinator_describe(const struct coordinator *coordinator, int64_t now_us,
                     struct buffer *json)
{
    const char *separator = "";

    buffer_append_text(json, "[");
    for (const struct coordinator_database *db = coordinator->databases;
         db != NULL; db = db->next) {
        if (db->phase == COORDINATOR_PHASE_IDLE) {
            continue;
        }
        buffer_append_format(json, "%s{\"database\":", separator);
        json_text_append(json, db->name);
        buffer_append_format(
            json,
            ",\"phase\":\"%s\",\"since_ms\":%" PRId64 ",\"holders\":%zu}",
            coordinator_phase_names[db->phase], (now_us - db->phase_us) / 1000,
            coordinator_count_pending_leases(db, now_us));
        separator = ",";
    }
    buffer_append_text(json, "]");
}
