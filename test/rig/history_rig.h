#ifndef TEST_RIG_HISTORY_RIG_H
#define TEST_RIG_HISTORY_RIG_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>

// Plays one seeded day of a database: the coordinators of three control VMs,
// of which one leads, the leaseholders of some entries, and models of the
// platform and of the database's upstreams, in virtual time. It judges by what
// the platform has carried out and what entries have acknowledged, and looks
// at no state of the coordinators.

#define HISTORY_MAX_EVENTS   16
#define HISTORY_TEXT_SIZE    200
#define HISTORY_NAME_SIZE    8
#define HISTORY_FAULTS_COUNT 5

enum history_fault {
    HISTORY_FAULT_NONE,
    // A commit was acknowledged at an upstream after the promotion of another
    // one had taken effect.
    HISTORY_FAULT_FORMER_PRIMARY,
    // Two upstreams acknowledged commits in one term.
    HISTORY_FAULT_SHARED_TERM,
    // No commit is acknowledged although an upstream answers and the platform
    // takes calls.
    HISTORY_FAULT_NO_PRIMARY,
    // A log with acknowledged commits that an earlier promotion gave up was
    // promoted. Judged only if the day asks for it.
    HISTORY_FAULT_GIVEN_UP_LOG,
};

struct history_day {
    uint64_t seed;
    uint32_t dropped; // events that are left out, one bit each
    FILE *trace;      // the time line is written to it; NULL: none
    bool judges_logs; // HISTORY_FAULT_GIVEN_UP_LOG, and only it
    // Results.
    enum history_fault fault; // the first one; it ends the day
    int64_t fault_us;
    char text[HISTORY_TEXT_SIZE];
    size_t events_count;
    size_t commits_count;    // acknowledged
    size_t promotions_count; // taken effect
    size_t leaders_count;
};

const char *history_get_fault_name(enum history_fault fault);
// Plays the day of a seed without the events that are left out.
void history_play(struct history_day *day);
// Leaves out each event without which the same fault is found. Returns the
// number of events that are left.
size_t history_shrink(struct history_day *day);

#endif
