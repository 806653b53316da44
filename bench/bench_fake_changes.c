// The tests' fake fleet, for measurements on its virtual clock.
#include "test/fake/changes.c" // NOLINT(bugprone-suspicious-include)
