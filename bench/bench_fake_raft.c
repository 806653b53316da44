// The tests' group of voters, for the long run of its random schedules.
#include "test/fake/raft_group.c" // NOLINT(bugprone-suspicious-include)
