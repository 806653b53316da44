#include "catkingrade/decide/traffic/relay_contact.h"

// Failures within this time may be those of one relay, to which several links
// were being opened, or of relays whose role has moved. The next relay in the
// list answers sooner than this.
#define RELAY_CONTACT_LOSS_US INT64_C(250000)

// Records that a link to a relay could not be opened or got no answer, or that
// the relay does not serve. Contact is lost if failures go on for
// RELAY_CONTACT_LOSS_US without any answer.
void
relay_contact_record_failure(struct relay_contact *contact, int64_t now_us,
                             bool silent)
{
    if (contact->failing_since_us == 0) {
        contact->failing_since_us = now_us;
    }
    contact->silent = silent;
    contact->lost =
        now_us - contact->failing_since_us >= RELAY_CONTACT_LOSS_US;
}

// Records that a relay has accepted a link or answered a statement.
void
relay_contact_record_answer(struct relay_contact *contact)
{
    contact->failing_since_us = 0;
    contact->lost = false;
    contact->silent = false;
}

// Returns whether the last failure was silence. In place of a relay that
// refuses, as at a planned stop, another one is named soon.
bool
relay_contact_is_silent(const struct relay_contact *contact)
{
    return contact->silent;
}
