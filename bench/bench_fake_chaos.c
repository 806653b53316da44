// The tests' random schedules, for their long run.
#include "test/fake/raft_chaos.c" // NOLINT(bugprone-suspicious-include)
