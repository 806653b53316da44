#ifndef CATKINGRADE_RPC_CODEC_H
#define CATKINGRADE_RPC_CODEC_H

#include <rpc/rpc.h>
#include <stddef.h>

#include "catkingrade/kernel/buffer.h"

// Encodes, decodes, copies and frees objects of the XDR types of messages.x.
// xdr is the routine that rpcgen generated for the type, such as
// xdr_ck_renew_args.
int codec_encode(xdrproc_t xdr, const void *object, struct buffer *out);
int codec_decode(xdrproc_t xdr, const void *data, size_t size_bytes,
                 void *object);
// The same for a type that has grown by a last member, a bool. An encoding
// without the member reads as false, and false is left out, so that earlier
// programs read what later ones write as long as the member is not used.
int codec_encode_grown(xdrproc_t xdr, const void *object, struct buffer *out);
int codec_decode_grown(xdrproc_t xdr, const void *data, size_t size_bytes,
                       void *object);
void codec_copy(xdrproc_t xdr, const void *from, void *to,
                size_t object_size_bytes);
void codec_free(xdrproc_t xdr, void *object);

#endif
