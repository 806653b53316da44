#ifndef CATKINGRADE_DECIDE_DECLARATION_H
#define CATKINGRADE_DECIDE_DECLARATION_H

#include <stddef.h>

#include "catkingrade/kernel/buffer.h"
#include "catkingrade/rpc/messages.h"

// A declaration is the complete set of routes and databases that an operator
// submits under a version number of the operator's choice. It is sent and
// stored XDR-encoded and compressed with Zstandard ("packed").
int declaration_check(const struct ck_declaration *declaration,
                      struct buffer *errors);
int declaration_pack(const struct ck_declaration *declaration, uint64_t number,
                     struct ck_packed_declaration *packed);
void declaration_free_packed(struct ck_packed_declaration *packed);
int declaration_unpack(const struct ck_packed_declaration *packed,
                       struct ck_declaration *declaration);
void declaration_free(struct ck_declaration *declaration);

#endif
