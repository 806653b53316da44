#ifndef CATKINGRADE_SOAK_ENTRIES_H
#define CATKINGRADE_SOAK_ENTRIES_H

#include <stdbool.h>

// Processes of the entries: planned stops, reloads, kills and freezes. Records
// each as an event. An entry that has not ended ENTRIES_GRACE_US after SIGTERM
// is killed, which is a failure. For one thread.

#define ENTRIES_GRACE_US 6000000 // graceS of the users

// Returns whether an entry runs, and is neither stopping nor frozen.
bool entries_is_up(int entry);
// Returns how many entries do.
int entries_count_up(void);
// Sends SIGTERM. The entry starts again down_us after it has ended.
void entries_stop(int entry, int down_us);
// Sends SIGHUP, unless the entry is down or frozen.
void entries_reload(int entry);
// Kills an entry, which starts again after down_us.
void entries_kill(int entry, int down_us);
// Freezes an entry with SIGSTOP for some time.
void entries_freeze(int entry, int frozen_us);
// Does what is due: kills entries that take too long to stop, and starts and
// resumes others.
void entries_step(void);
// Waits until all entries are up.
void entries_finish(void);

#endif
