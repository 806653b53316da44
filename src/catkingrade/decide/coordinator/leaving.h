#ifndef CATKINGRADE_DECIDE_LEAVING_H
#define CATKINGRADE_DECIDE_LEAVING_H

#include <stdbool.h>
#include <stdint.h>

#include "catkingrade/decide/group/group.h"

// Since when upstreams have been leaving. Each voter keeps this from the
// changes that it applies, leader or not, so that a new leader goes on with
// the time that is left. What it has applied late, as after a restart, has an
// unknown age.
struct leaving;

// The upstream leaves, and since when is not known.
#define LEAVING_SINCE_UNKNOWN INT64_MIN

struct leaving *leaving_create(const struct group_state *group);
void leaving_destroy(struct leaving *leaving);
void leaving_handle_change(struct leaving *leaving, int64_t now_us,
                           const struct ck_upstream *upstream, bool is_late);
void leaving_forget(struct leaving *leaving, const char *name);
int64_t leaving_get_since_us(const struct leaving *leaving,
                             const struct ck_upstream *upstream);

#endif
