#include "catkingrade/rpc/codec.h"

#include <stdbool.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>

#include "catkingrade/kernel/memory.h"
#include "catkingrade/kernel/outcome.h"

#define CODEC_MAX_SIZE_BYTES (64 * 1024 * 1024)
#define CODEC_BOOL_BYTES     4

// Appends the XDR encoding of an object to out. Returns OUTCOME_OK,
// OUTCOME_TOO_LARGE if the encoding exceeds CODEC_MAX_SIZE_BYTES, or
// OUTCOME_INVALID if a string or list is longer than its type allows. After an
// error the contents of out are unchanged.
int
codec_encode(xdrproc_t xdr, const void *object, struct buffer *out)
{
    XDR stream;
    unsigned long size = xdr_sizeof(xdr, (void *)(uintptr_t)object);

    if (size > CODEC_MAX_SIZE_BYTES) {
        return OUTCOME_TOO_LARGE;
    }
    uint8_t *dest = buffer_reserve(out, size);
    xdrmem_create(&stream, (char *)dest, (u_int)size, XDR_ENCODE);
    if (!xdr(&stream, (void *)(uintptr_t)object)) {
        return OUTCOME_INVALID;
    }
    out->end += xdr_getpos(&stream);
    return OUTCOME_OK;
}

// Decodes an object from its XDR encoding. The caller zeroes object before the
// call and frees its members with codec_free after OUTCOME_OK. Returns
// OUTCOME_PROTOCOL if the bytes are not the encoding of exactly one object of
// the type; object then holds no memory.
int
codec_decode(xdrproc_t xdr, const void *data, size_t size_bytes, void *object)
{
    XDR stream;

    xdrmem_create(&stream, (char *)(uintptr_t)data, (u_int)size_bytes,
                  XDR_DECODE);
    if (!xdr(&stream, object) || xdr_getpos(&stream) != size_bytes) {
        codec_free(xdr, object);
        return OUTCOME_PROTOCOL;
    }
    return OUTCOME_OK;
}

// Appends the encoding of an object whose last member is a bool, without that
// member if it is false. Returns what codec_encode returns.
int
codec_encode_grown(xdrproc_t xdr, const void *object, struct buffer *out)
{
    static const uint8_t no[CODEC_BOOL_BYTES] = {0};
    int outcome = codec_encode(xdr, object, out);

    if (outcome == OUTCOME_OK &&
        memcmp(out->data + out->end - sizeof(no), no, sizeof(no)) == 0) {
        out->end -= sizeof(no);
    }
    return outcome;
}

// Decodes what codec_encode_grown or codec_encode has written, or an earlier
// program that did not have the last member. See codec_decode.
int
codec_decode_grown(xdrproc_t xdr, const void *data, size_t size_bytes,
                   void *object)
{
    uint8_t *padded = xcalloc(1, size_bytes + CODEC_BOOL_BYTES);
    XDR stream;

    if (size_bytes > 0) {
        memcpy(padded, data, size_bytes);
    }
    xdrmem_create(&stream, (char *)padded,
                  (u_int)(size_bytes + CODEC_BOOL_BYTES), XDR_DECODE);
    bool is_read = xdr(&stream, object);
    size_t read_bytes = xdr_getpos(&stream);
    free(padded);
    if (!is_read || (read_bytes != size_bytes &&
                     read_bytes != size_bytes + CODEC_BOOL_BYTES)) {
        codec_free(xdr, object);
        return OUTCOME_PROTOCOL;
    }
    return OUTCOME_OK;
}

// Makes a deep copy of from in to. object_size_bytes is the sizeof of the
// type. The object must be encodable: an encoding error aborts the process.
void
codec_copy(xdrproc_t xdr, const void *from, void *to, size_t object_size_bytes)
{
    struct buffer bytes = {0};

    memset(to, 0, object_size_bytes);
    int outcome = codec_encode(xdr, from, &bytes);
    INVARIANT(outcome == OUTCOME_OK);
    outcome = codec_decode(xdr, buffer_get_data(&bytes),
                           buffer_get_size(&bytes), to);
    INVARIANT(outcome == OUTCOME_OK);
    buffer_free(&bytes);
}

// Frees the strings and lists of a decoded or copied object, but not the
// object itself.
void
codec_free(xdrproc_t xdr, void *object)
{
    xdr_free(xdr, object);
}
