#ifndef CATKINGRADE_DECIDE_RELAY_CONTACT_H
#define CATKINGRADE_DECIDE_RELAY_CONTACT_H

#include <stdbool.h>
#include <stdint.h>

// Whether an entry can reach any relay of a database. A network partition may
// separate entries from all relays while clients still reach them. There a
// request that waits for a relay waits in vain; one that is refused at once
// may still be in time at another entry.
struct relay_contact {
    int64_t failing_since_us; // first failure since the last contact; 0: none
    bool lost;
    bool silent; // the last failure was silence, not a refusal
};

void relay_contact_record_failure(struct relay_contact *contact,
                                  int64_t now_us, bool silent);
void relay_contact_record_answer(struct relay_contact *contact);
bool relay_contact_is_silent(const struct relay_contact *contact);

#endif
