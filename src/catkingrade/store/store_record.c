#include <string.h>
#include <xxhash.h>

#include "catkingrade/store/store_internal.h"

#define SECTOR_BYTES        512
#define MIN_UNWRITTEN_BYTES 16

// Decodes a 64-bit little-endian number.
uint64_t
store_get_le64(const uint8_t *data)
{
    uint64_t value = 0;

    for (size_t i = 8; i > 0; i--) {
        value = value << 8 | data[i - 1];
    }
    return value;
}

// Appends a 64-bit little-endian number.
void
store_append_le64(struct buffer *buffer, uint64_t value)
{
    for (size_t i = 0; i < 8; i++) {
        buffer_append_u8(buffer, (uint8_t)(value >> (8 * i)));
    }
}

// Appends a record. seed is the number in the name of the file (segment
// sequence or snapshot index). It seeds the checksums, so that a record is
// invalid in any other file.
void
store_record_append(struct buffer *out, enum store_record_type type,
                    uint64_t seed, uint64_t synced_bytes,
                    const struct buffer *payload)
{
    const uint8_t *data = buffer_get_data(payload);
    size_t size = buffer_get_size(payload);
    size_t header_offset = buffer_get_size(out);

    store_append_le64(out, (uint64_t)type << 32 | (uint32_t)size);
    store_append_le64(out, synced_bytes);
    store_append_le64(out, XXH64(data, size, seed));
    store_append_le64(out, XXH64(buffer_get_data(out) + header_offset,
                                 STORE_RECORD_HEADER_BYTES - 8, seed));
    buffer_append(out, data, size);
}

static bool
store_is_header_valid(const uint8_t *data, uint64_t seed)
{
    return XXH64(data, STORE_RECORD_HEADER_BYTES - 8, seed) ==
           store_get_le64(data + STORE_RECORD_HEADER_BYTES - 8);
}

// Decodes the record at the start of data and verifies its checksums.
// record->payload points into data. STORE_PARSE_TRUNCATED: data ends before
// the record does.
enum store_parse
store_record_parse(const uint8_t *data, size_t size_bytes, uint64_t seed,
                   struct store_record *record)
{
    if (size_bytes < STORE_RECORD_HEADER_BYTES) {
        return STORE_PARSE_TRUNCATED;
    }
    if (!store_is_header_valid(data, seed)) {
        return STORE_PARSE_CORRUPT;
    }
    uint64_t type_and_size = store_get_le64(data);
    record->type = (uint32_t)(type_and_size >> 32);
    record->size_bytes = (uint32_t)type_and_size;
    record->synced_bytes = store_get_le64(data + 8);
    record->payload = data + STORE_RECORD_HEADER_BYTES;
    record->total_bytes = STORE_RECORD_HEADER_BYTES + record->size_bytes;
    if (record->total_bytes > size_bytes) {
        return STORE_PARSE_TRUNCATED;
    }
    return XXH64(record->payload, record->size_bytes, seed) ==
                   store_get_le64(data + 16)
               ? STORE_PARSE_OK
               : STORE_PARSE_CORRUPT;
}

// Returns whether the record at offset was synced. A later valid record header
// whose synced size is beyond offset proves it.
static bool
store_was_synced(const uint8_t *data, size_t size_bytes, size_t offset,
                 uint64_t seed)
{
    for (size_t i = offset + 1; i + STORE_RECORD_HEADER_BYTES <= size_bytes;
         i++) {
        if (store_is_header_valid(data + i, seed) &&
            store_get_le64(data + i + 8) > offset) {
            return true;
        }
    }
    return false;
}

// Returns whether a sector, or a part of one, between two offsets contains
// only zeros. Sectors that were not written before a crash read as zeros.
// Parts shorter than MIN_UNWRITTEN_BYTES are ignored, since a written record
// can contain short runs of zeros, such as a number that is 0.
static bool
store_has_unwritten_sector(const uint8_t *data, size_t from, size_t to)
{
    static const uint8_t zeros[SECTOR_BYTES];

    while (from < to) {
        size_t end = (from / SECTOR_BYTES + 1) * SECTOR_BYTES;
        if (end > to) {
            end = to;
        }
        if (end - from >= MIN_UNWRITTEN_BYTES &&
            memcmp(data + from, zeros, end - from) == 0) {
            return true;
        }
        from = end;
    }
    return false;
}

// Returns whether the invalid record at offset is a torn tail: the rest of a
// write that a crash interrupted. Otherwise the record is corrupt, since it
// was synced, or is complete but has wrong bytes.
bool
store_is_torn(const uint8_t *data, size_t size_bytes, size_t offset,
              uint64_t seed)
{
    struct store_record record;

    if (store_was_synced(data, size_bytes, offset, seed)) {
        return false;
    }
    enum store_parse parse =
        store_record_parse(data + offset, size_bytes - offset, seed, &record);
    return parse == STORE_PARSE_TRUNCATED ||
           store_has_unwritten_sector(data, offset, size_bytes);
}
