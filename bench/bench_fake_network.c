// The fake network of the tests, for measurements on its virtual clock.
#include "test/fake/network.c" // NOLINT(bugprone-suspicious-include)
