#ifndef CATKINGRADE_DECIDE_RELAY_CONTACT_H
#define CATKINGRADE_DECIDE_RELAY_CONTACT_H

#include <stdbool.h>
#include <stdint.h>

// Whether an entry can reach any relay of a database. The load that it
// answers: a network partition separates entries from all relays while clients
// still reach them. A request that waits there for a relay is lost time; one
// that is refused at once may be in time at another entry.
struct relay_contact {
    int64_t failing_since_us; // first failure since the last contact; 0: none
    bool lost;
};

void relay_contact_record_failure(struct relay_contact *contact,
                                  int64_t now_us);
void relay_contact_record_answer(struct relay_contact *contact);
bool relay_contact_is_failing(const struct relay_contact *contact);

#endif
