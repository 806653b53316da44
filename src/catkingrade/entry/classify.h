#ifndef CATKINGRADE_ENTRY_CLASSIFY_H
#define CATKINGRADE_ENTRY_CLASSIFY_H

#include <stdbool.h>
#include <stddef.h>

// What a statement text is. Anything unsure is a write.
enum classify_kind {
    CLASSIFY_READ,
    CLASSIFY_WRITE,
    CLASSIFY_BEGIN,
    CLASSIFY_BEGIN_READ_ONLY,
    CLASSIFY_COMMIT,
    CLASSIFY_ROLLBACK,
    CLASSIFY_SAVEPOINT,
    CLASSIFY_SET,              // SET, RESET, DISCARD, LISTEN: session state
    CLASSIFY_SET_CATKINGRADE,  // SET catkingrade.NAME = value
    CLASSIFY_SHOW_CATKINGRADE, // SHOW catkingrade.NAME
    CLASSIFY_COPY,
    CLASSIFY_EMPTY,
    CLASSIFY_INVALID, // does not parse; the upstream answers it
};

struct classification {
    enum classify_kind kind;
    unsigned statements; // number of statements in the text
    bool only_reads;     // all of several statements are reads
    // Copied from the text for the catkingrade kinds, and from a leading
    // comment such as /* catkingrade: type=booking key=... max_age_ms=2000 */
    char name[64];
    char value[256];
    char hint_type[64];
    char hint_key[128];
    long hint_max_age_ms;  // -1: none
    long hint_deadline_ms; // -1: none
    int hint_repeatable;   // -1: none, 0 or 1
};

// A bounded cache for one thread, keyed by the statement's text.
struct classifier;

struct classifier *classifier_create(size_t max_entries);
void classifier_destroy(struct classifier *classifier);
// Returns the classification; valid until the next call.
const struct classification *classifier_get(struct classifier *classifier,
                                            const char *text,
                                            size_t size_bytes);
void classify_text(const char *text, size_t size_bytes,
                   struct classification *result);

#endif
