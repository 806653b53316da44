// The tests' fake fleet, for measurements on its virtual clock.
#include "test/fake/fleet_voter.c" // NOLINT(bugprone-suspicious-include)
