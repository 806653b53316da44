#ifndef CATKINGRADE_DECIDE_CUSTOMER_CHECK_H
#define CATKINGRADE_DECIDE_CUSTOMER_CHECK_H

#include "catkingrade/kernel/buffer.h"
#include "catkingrade/rpc/messages.h"

// Validation of the customers of a declaration.
void customer_check(const struct ck_declaration *declaration,
                    struct buffer *errors);

#endif
