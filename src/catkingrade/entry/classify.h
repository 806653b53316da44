#ifndef CATKINGRADE_ENTRY_CLASSIFY_H
#define CATKINGRADE_ENTRY_CLASSIFY_H

#include <stdbool.h>
#include <stddef.h>

// Classification of SQL texts for routing. The text is parsed with
// PostgreSQL's grammar (libpg_query). A statement counts as a read only if
// every part of it is known to be read-only; otherwise it is classified as a
// write.

// Kind of a statement text. Unclassifiable statements are CLASSIFY_WRITE.
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
    CLASSIFY_INVALID, // syntax error; the upstream reports the error
};

// What a statement changes in the session state of its connection.
enum classify_setting {
    CLASSIFY_SETTING_NONE,       // nothing that outlives its transaction
    CLASSIFY_SETTING_SESSION,    // a setting, until the end of the session
    CLASSIFY_SETTING_RESET_ALL,  // RESET ALL, DISCARD ALL
    CLASSIFY_SETTING_CONNECTION, // LISTEN, PREPARE, EXECUTE, DEALLOCATE
};

struct classification {
    enum classify_kind kind;
    enum classify_setting setting; // of a text with a single statement
    unsigned statements;           // number of statements in the text
    bool only_reads;               // every statement in the text is a read
    // The text may change session state beside its other effects: one of its
    // several statements does, or the text could not be parsed.
    bool changes_session;
    // The text sets standard_conforming_strings to off, or client_encoding to
    // one whose characters may contain ASCII bytes. The parser reads no later
    // text of the session as the upstream does if it has a backslash or bytes
    // beyond ASCII.
    bool changes_lexing;
    // Setting of SET_CATKINGRADE and SHOW_CATKINGRADE: the name without the
    // prefix "catkingrade.", and the value for SET.
    char name[64];
    char value[256];
    // Options of a leading hint comment, for example
    // /* catkingrade: type=booking key=... max_age_ms=2000 */
    char hint_type[64];    // request type; empty: none
    char hint_key[128];    // idempotency key; empty: none
    long hint_max_age_ms;  // accepted age of the data read; -1: none
    long hint_deadline_ms; // -1: none
    int hint_repeatable;   // -1: none; 0: false; 1: true (may run again)
};

// Bounded cache of classifications, keyed by the statement text without its
// hint. Not thread-safe: each thread has its own.
struct classifier;

struct classifier *classifier_create(size_t max_entries);
void classifier_destroy(struct classifier *classifier);
// The result is valid until the next call with the same classifier.
const struct classification *classifier_get(struct classifier *classifier,
                                            const char *text,
                                            size_t size_bytes);
// Returns the classification of a text that is not parsed: several statements
// that write. Its hint applies.
const struct classification *
classifier_get_unparsed(struct classifier *classifier, const char *text,
                        size_t size_bytes);
// Returns whether a setting changes the lexing of texts, see changes_lexing.
bool classify_changes_lexing(const char *name, const char *value);
// Returns the statements of a text with several that change a setting of the
// session, each ended by a newline and a semicolon, or NULL if there are none
// or if the text also begins or ends a transaction. The caller frees it.
char *classify_copy_settings(const char *text);
// Classifies a text without a cache.
void classify_text(const char *text, size_t size_bytes,
                   struct classification *result);

#endif
