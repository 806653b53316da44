#include "catkingrade/decide/customer/limit_lender.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "catkingrade/decide/id_map.h"
#include "catkingrade/kernel/json_text.h"
#include "catkingrade/kernel/memory.h"
#include "catkingrade/kernel/outcome.h"

#define LENDER_US_PER_S  1000000.0
#define LENDER_US_PER_MS 1000
#define LENDER_PPM       1000000
// An entry that has not called for this time is forgotten.
#define LENDER_FORGET_US       60000000
#define LENDER_FORGET_EVERY_US 10000000
// Expired tokens are deducted from what is lent this often.
#define LENDER_SWEEP_US 50000
// A part of the tokens that are left goes into the stock of one entry.
#define LENDER_STOCK_DIVISOR 4
// A part of what entries may hold is kept for operations that wait.
#define LENDER_STOCK_HELD_PART 0.75
// A customer with this part of its bucket left is well below its limit.
#define LENDER_PLENTY_PART 0.5
// A customer at its limit loses its least urgent operations first: they leave
// to more urgent ones what these ask for in LENDER_RESERVE_S, at most this
// part of the bucket for each priority.
#define LENDER_RESERVE_PART 0.125
#define LENDER_RESERVE_S    0.5
// Time over which the operations that ask are averaged.
#define LENDER_AVERAGE_S    2.0
#define LENDER_RETRY_MIN_US 50000
#define LENDER_RETRY_MAX_US 1000000
// Delay of the next call if tokens are left, but entries hold too many.
#define LENDER_HELD_RETRY_MS 25
// Rows of one page of limit_lender_describe. A row takes less than 200 bytes,
// a page at most CK_BLOB_SIZE.
#define LENDER_PAGE_ROWS 200
// A new leader makes operations wait instead of refusing them for this time:
// its buckets start empty, so that it does not know who is over the limit.
#define LENDER_START_US 1000000
#define LENDER_MIN_RATE 0.001

// An entry, one incarnation of a VM, and the answer to its last call.
struct lender_entry {
    uint64_t key;
    uint64_t sequence; // of the last call; 0: none
    int64_t called_us;
    struct ck_borrow_result answer;
};

// What an entry may hold of a customer's tokens.
struct lender_record {
    const struct lender_entry *entry;
    uint32_t held; // until until_us
    int64_t until_us;
    uint32_t answered; // until answered_until_us: for waiting operations
    int64_t answered_until_us;
};

struct lender_bucket {
    struct limit limit;
    struct limit_budget budget;
    double tokens;
    int64_t filled_us;
    int64_t slot_us; // next time at which a refused entry may ask again
    double held;     // sum of the records
    // Moving average of the operations that ask for a token, by priority.
    double asked_per_s[LIMIT_PRIORITIES];
    int64_t asked_us;
    struct lender_record *records;
    size_t records_count;
    size_t records_capacity;
    int64_t swept_us;
    bool declared; // else its limit was removed at removed_us
    bool stays;    // in the list that is being set
    int64_t removed_us;
};

struct limit_lender {
    struct limit_lender_params params;
    struct id_map entries; // struct lender_entry, by key
    struct id_map buckets; // struct lender_bucket, by hash of the customer
    uint64_t number;       // of the declaration; 0: none
    int64_t begun_us;
    bool settled;
    int64_t forgot_us;
    struct ck_borrow_result stale; // answer to a call that is out of date
};

struct limit_lender *
limit_lender_create(const struct limit_lender_params *params)
{
    struct limit_lender *lender = xcalloc(1, sizeof(*lender));

    lender->params = *params;
    return lender;
}

static void
lender_free_answer(struct ck_borrow_result *answer)
{
    for (u_int i = 0; i < answer->rows.rows_len; i++) {
        free(answer->rows.rows_val[i].customer);
    }
    free(answer->rows.rows_val);
    memset(answer, 0, sizeof(*answer));
}

static void
lender_free_entry(struct lender_entry *entry)
{
    lender_free_answer(&entry->answer);
    free(entry);
}

static void
lender_free_bucket(struct lender_bucket *bucket)
{
    free(bucket->records);
    free(bucket);
}

static void
lender_clear(struct limit_lender *lender)
{
    for (size_t i = 0; i < lender->entries.capacity; i++) {
        if (lender->entries.items[i] != NULL) {
            lender_free_entry(lender->entries.items[i]);
        }
    }
    for (size_t i = 0; i < lender->buckets.capacity; i++) {
        if (lender->buckets.items[i] != NULL) {
            lender_free_bucket(lender->buckets.items[i]);
        }
    }
    id_map_free(&lender->entries);
    id_map_free(&lender->buckets);
    memset(&lender->entries, 0, sizeof(lender->entries));
    memset(&lender->buckets, 0, sizeof(lender->buckets));
    lender->number = 0;
}

// Frees the lender. NULL is ignored.
void
limit_lender_destroy(struct limit_lender *lender)
{
    if (lender != NULL) {
        lender_clear(lender);
        free(lender);
    }
}

// Starts the work of a new leader, which knows nothing of what earlier leaders
// have lent. settled: no other change of the leader was seen within two
// windows, so that the initial tokens can be given. The limits must be set
// afterwards.
void
limit_lender_begin(struct limit_lender *lender, int64_t now_us, bool settled)
{
    lender_clear(lender);
    lender->begun_us = now_us;
    lender->settled = settled;
}

static struct lender_bucket *
lender_find_bucket(const struct limit_lender *lender, const char *customer)
{
    struct lender_bucket *bucket =
        id_map_get(&lender->buckets, limit_hash_customer(customer));

    return bucket != NULL && strcmp(bucket->limit.customer, customer) == 0
               ? bucket
               : NULL;
}

static void
lender_fill(struct lender_bucket *bucket, int64_t now_us)
{
    double elapsed_s = (double)(now_us - bucket->filled_us) / LENDER_US_PER_S;

    if (bucket->declared && elapsed_s > 0) {
        bucket->tokens += bucket->limit.rate_per_s * elapsed_s;
    }
    bucket->filled_us = now_us;
    if (bucket->tokens > bucket->budget.bucket) {
        bucket->tokens = bucket->budget.bucket;
    }
}

static void
lender_set_limit(struct limit_lender *lender, int64_t now_us,
                 const struct limit *limit, bool full)
{
    struct lender_bucket *bucket = lender_find_bucket(lender, limit->customer);
    uint64_t hash = limit_hash_customer(limit->customer);
    bool added = bucket == NULL;

    if (added) {
        struct lender_bucket *other = id_map_remove(&lender->buckets, hash);
        INVARIANT(other == NULL); // two names with one 64-bit hash
        bucket = xcalloc(1, sizeof(*bucket));
        id_map_put(&lender->buckets, hash, bucket);
    }
    else {
        lender_fill(bucket, now_us);
    }
    bucket->limit = *limit;
    limit_get_budget(limit, &lender->params.bound, &bucket->budget);
    bucket->declared = true;
    bucket->stays = true;
    if (added) {
        bucket->tokens = full              ? bucket->budget.bucket
                         : lender->settled ? bucket->budget.initial
                                           : 0;
    }
    bucket->filled_us = now_us;
    lender_fill(bucket, now_us);
}

// Removes the limits that are not in the list any more. A bucket is kept for
// two windows, so that a limit that returns does not start with a full one.
static void
lender_remove_limits(struct limit_lender *lender, int64_t now_us)
{
    size_t count = 0;
    uint64_t *expired = xcalloc(lender->buckets.count + 1, sizeof(*expired));

    for (size_t i = 0; i < lender->buckets.capacity; i++) {
        struct lender_bucket *bucket = lender->buckets.items[i];
        if (bucket == NULL || bucket->stays) {
            continue;
        }
        if (bucket->declared) {
            bucket->declared = false;
            bucket->removed_us = now_us;
        }
        else if (now_us - bucket->removed_us >
                 2 * lender->params.bound.window_us) {
            expired[count++] = lender->buckets.ids[i];
        }
    }
    for (size_t i = 0; i < count; i++) {
        lender_free_bucket(id_map_remove(&lender->buckets, expired[i]));
    }
    free(expired);
}

// Puts the limits of a declaration in force. Customers that are new have a
// full bucket, except in the first declaration that a new leader sees, since
// an earlier leader may have lent it.
void
limit_lender_set_limits(struct limit_lender *lender, int64_t now_us,
                        uint64_t number, const struct limit *limits,
                        size_t count)
{
    bool full = lender->number != 0;

    for (size_t i = 0; i < lender->buckets.capacity; i++) {
        struct lender_bucket *bucket = lender->buckets.items[i];
        if (bucket != NULL) {
            bucket->stays = false;
        }
    }
    for (size_t i = 0; i < count; i++) {
        if (limits[i].rate_per_s >= LENDER_MIN_RATE) {
            lender_set_limit(lender, now_us, &limits[i], full);
        }
    }
    lender_remove_limits(lender, now_us);
    // Without a declaration, the next one is the first of the group.
    lender->number = number == 0 ? UINT64_MAX : number;
}

// Returns the number of the declaration whose limits are in force; 0: none
// were set since the begin.
uint64_t
limit_lender_get_number(const struct limit_lender *lender)
{
    return lender->number == UINT64_MAX ? 0 : lender->number;
}

// Deducts tokens that have expired at the entries.
static void
lender_sweep(struct lender_bucket *bucket, int64_t now_us)
{
    size_t kept = 0;

    bucket->swept_us = now_us;
    bucket->held = 0;
    for (size_t i = 0; i < bucket->records_count; i++) {
        struct lender_record record = bucket->records[i];
        record.held = record.until_us > now_us ? record.held : 0;
        record.answered =
            record.answered_until_us > now_us ? record.answered : 0;
        if (record.held + record.answered > 0) {
            bucket->held += record.held + record.answered;
            bucket->records[kept++] = record;
        }
    }
    bucket->records_count = kept;
}

static struct lender_record *
lender_get_or_add_record(struct lender_bucket *bucket,
                         const struct lender_entry *entry)
{
    for (size_t i = 0; i < bucket->records_count; i++) {
        if (bucket->records[i].entry == entry) {
            return &bucket->records[i];
        }
    }
    if (bucket->records_count == bucket->records_capacity) {
        bucket->records_capacity = 2 * bucket->records_capacity + 4;
        bucket->records =
            xrealloc(bucket->records,
                     bucket->records_capacity * sizeof(*bucket->records));
    }
    struct lender_record *record = &bucket->records[bucket->records_count++];
    memset(record, 0, sizeof(*record));
    record->entry = entry;
    return record;
}

// Forgets entries that have not called for long. Their tokens have expired.
static void
lender_forget_entries(struct limit_lender *lender, int64_t now_us)
{
    size_t count = 0;

    if (now_us - lender->forgot_us < LENDER_FORGET_EVERY_US) {
        return;
    }
    lender->forgot_us = now_us;
    uint64_t *old = xcalloc(lender->entries.count + 1, sizeof(*old));
    for (size_t i = 0; i < lender->entries.capacity; i++) {
        const struct lender_entry *entry = lender->entries.items[i];
        if (entry != NULL && now_us - entry->called_us > LENDER_FORGET_US) {
            old[count++] = entry->key;
        }
    }
    for (size_t i = 0; count > 0 && i < lender->buckets.capacity; i++) {
        if (lender->buckets.items[i] != NULL) {
            lender_sweep(lender->buckets.items[i], now_us);
        }
    }
    for (size_t i = 0; i < count; i++) {
        lender_free_entry(id_map_remove(&lender->entries, old[i]));
    }
    free(old);
}

static struct lender_entry *
lender_get_or_add_entry(struct limit_lender *lender,
                        const struct ck_borrow_args *args)
{
    uint64_t key =
        XXH3_64bits_withSeed(args->vm, strlen(args->vm), args->incarnation);
    struct lender_entry *entry = id_map_get(&lender->entries, key);

    if (entry == NULL) {
        entry = xcalloc(1, sizeof(*entry));
        entry->key = key;
        id_map_put(&lender->entries, key, entry);
    }
    return entry;
}

// Takes back what the last answer granted, if the entry never applied it.
static void
lender_take_back(struct limit_lender *lender, struct lender_entry *entry,
                 const struct ck_borrow_args *args)
{
    if (entry->sequence == 0 || args->applied >= entry->sequence) {
        return;
    }
    for (u_int i = 0; i < entry->answer.rows.rows_len; i++) {
        const struct ck_lent_row *row = &entry->answer.rows.rows_val[i];
        struct lender_bucket *bucket =
            lender_find_bucket(lender, row->customer);
        if (bucket != NULL) {
            bucket->tokens += row->granted + row->stock;
        }
    }
}

// Returns after how long an entry may ask again: refused entries get times one
// after the other, as tokens become available.
static int64_t
lender_make_retry_us(struct lender_bucket *bucket, int64_t now_us)
{
    double missing = bucket->tokens < 1 ? 1 - bucket->tokens : 0;
    int64_t spacing_us = (int64_t)(LENDER_US_PER_S / bucket->limit.rate_per_s);
    int64_t first_us = now_us + (int64_t)(missing * LENDER_US_PER_S /
                                          bucket->limit.rate_per_s);

    bucket->slot_us += spacing_us;
    if (bucket->slot_us < first_us) {
        bucket->slot_us = first_us;
    }
    if (bucket->slot_us > now_us + LENDER_RETRY_MAX_US) {
        bucket->slot_us = now_us + LENDER_RETRY_MAX_US;
    }
    int64_t retry_us = bucket->slot_us - now_us;
    return retry_us < LENDER_RETRY_MIN_US ? LENDER_RETRY_MIN_US : retry_us;
}

static uint32_t
lender_round_down(double value, uint32_t limit)
{
    if (value < 1) {
        return 0;
    }
    return value >= (double)limit ? limit : (uint32_t)value;
}

// Returns the tokens that are kept for operations more urgent than those of a
// priority.
static double
lender_get_reserve(const struct lender_bucket *bucket, unsigned priority)
{
    double most = bucket->budget.bucket * LENDER_RESERVE_PART * priority;
    double reserve = 0;

    for (unsigned i = 0; i < priority; i++) {
        reserve += bucket->asked_per_s[i] * LENDER_RESERVE_S;
    }
    return reserve < most ? reserve : most;
}

// Returns the tokens that do not go into the stock of entries, where any
// operation takes them: the reserve, as far as less urgent operations ask.
static double
lender_get_stock_reserve(const struct lender_bucket *bucket)
{
    double reserve = lender_get_reserve(bucket, LIMIT_PRIORITIES - 1);
    double later = 0;

    for (unsigned i = 1; i < LIMIT_PRIORITIES; i++) {
        later += bucket->asked_per_s[i] * LENDER_RESERVE_S;
    }
    return reserve < later ? reserve : later;
}

static void
lender_count_asked(struct lender_bucket *bucket, int64_t now_us,
                   const u_int waiting[LIMIT_PRIORITIES])
{
    double elapsed_s = (double)(now_us - bucket->asked_us) / LENDER_US_PER_S;
    double kept = exp(-elapsed_s / LENDER_AVERAGE_S);

    for (unsigned i = 0; i < LIMIT_PRIORITIES; i++) {
        bucket->asked_per_s[i] =
            bucket->asked_per_s[i] * kept + waiting[i] / LENDER_AVERAGE_S;
    }
    bucket->asked_us = now_us;
}

// Grants tokens to operations that wait, the most urgent ones first. available
// is what the entry may get. Sets lent->retry_priority to the first priority
// that gets too few. Returns whether the bucket is the reason for that.
static bool
lender_grant_waiting(struct lender_bucket *bucket, int64_t now_us,
                     double available, const struct ck_borrow_row *row,
                     struct ck_lent_row *lent)
{
    u_int later = row->less_urgent + row->least_urgent;
    const u_int waiting[LIMIT_PRIORITIES] = {
        row->waiting > later ? row->waiting - later : 0, row->less_urgent,
        row->least_urgent};
    bool is_empty = false;

    lender_count_asked(bucket, now_us, waiting);
    lent->retry_priority = LIMIT_PRIORITIES;
    for (unsigned i = 0; i < LIMIT_PRIORITIES; i++) {
        double left =
            bucket->tokens - lent->granted - lender_get_reserve(bucket, i);
        double room = available - lent->granted;
        uint32_t granted =
            lender_round_down(left < room ? left : room, waiting[i]);
        lent->granted += granted;
        if (granted < waiting[i] && lent->retry_priority > i) {
            lent->retry_priority = i;
            is_empty = left - granted < 1;
        }
    }
    bucket->tokens -= lent->granted;
    return is_empty;
}

// Grants tokens of one customer. others: what the other entries hold.
static void
lender_grant(struct lender_bucket *bucket, int64_t now_us, bool starting,
             double others, const struct ck_borrow_row *row,
             struct ck_lent_row *lent)
{
    double most = bucket->budget.held;
    double room = most - others;

    lent->kept = lender_round_down(room, row->held);
    room -= lent->kept;
    bool refuses =
        lender_grant_waiting(bucket, now_us, room, row, lent) && !starting;
    uint32_t granted = lent->granted;
    room = most * LENDER_STOCK_HELD_PART - others - lent->kept - granted;
    double available = (bucket->tokens - lender_get_stock_reserve(bucket)) /
                       LENDER_STOCK_DIVISOR;
    available = available < room ? available : room;
    uint32_t stock = lender_round_down(available, row->stock);
    bucket->tokens -= stock;
    lent->stock = stock;
    lent->plenty =
        bucket->tokens >= bucket->budget.bucket * LENDER_PLENTY_PART;
    if (granted == row->waiting) {
        return;
    }
    lent->wait = !refuses;
    lent->retry_priority = refuses ? lent->retry_priority : 0;
    lent->retry_after_ms =
        refuses
            ? (u_int)(lender_make_retry_us(bucket, now_us) / LENDER_US_PER_MS)
            : LENDER_HELD_RETRY_MS;
}

static void
lender_handle_row(struct limit_lender *lender, int64_t now_us,
                  const struct lender_entry *entry, bool known,
                  const struct ck_borrow_row *row, struct ck_lent_row *lent)
{
    struct lender_bucket *bucket = lender_find_bucket(lender, row->customer);

    lent->customer = xstrdup(row->customer);
    if (bucket == NULL || !bucket->declared) {
        lent->kept = row->held;
        lent->granted = row->waiting;
        lent->valid_ms = LENDER_US_PER_S / LENDER_US_PER_MS;
        return;
    }
    // Tokens that are returned in the first call of an entry may have been
    // returned in the same call to an earlier leader.
    bucket->tokens += known ? row->returned : 0;
    lender_fill(bucket, now_us);
    if (now_us - bucket->swept_us >= LENDER_SWEEP_US) {
        lender_sweep(bucket, now_us);
    }
    struct lender_record *record = lender_get_or_add_record(bucket, entry);
    double others = bucket->held - record->held - record->answered;
    bool starting = now_us - lender->begun_us < LENDER_START_US;
    lender_grant(bucket, now_us, starting, others, row, lent);
    // If the entry does not get the answer, it still holds all that it had.
    uint32_t after = lent->kept + lent->stock;
    record->held = after > row->held ? after : row->held;
    record->until_us =
        now_us + bucket->budget.validity_us +
        bucket->budget.validity_us * lender->params.drift_ppm / LENDER_PPM;
    record->answered = lent->granted;
    record->answered_until_us =
        now_us + LIMIT_CALL_US +
        (int64_t)LIMIT_CALL_US * lender->params.drift_ppm / LENDER_PPM;
    bucket->held = others + record->held + record->answered;
    lent->valid_ms = (u_int)((bucket->budget.validity_us -
                              bucket->budget.validity_us *
                                  lender->params.drift_ppm / LENDER_PPM) /
                             LENDER_US_PER_MS);
}

// Answers a call of an entry. The same call gets the same answer. The answer
// is valid until the next call of this function.
const struct ck_borrow_result *
limit_lender_borrow(struct limit_lender *lender, int64_t now_us,
                    const struct ck_borrow_args *args)
{
    lender_forget_entries(lender, now_us);
    struct lender_entry *entry = lender_get_or_add_entry(lender, args);
    bool known = entry->sequence != 0;

    entry->called_us = now_us;
    if (known && args->sequence == entry->sequence) {
        return &entry->answer;
    }
    if (known && args->sequence < entry->sequence) {
        lender->stale.outcome = OUTCOME_CONFLICT;
        lender->stale.sequence = args->sequence;
        return &lender->stale;
    }
    lender_take_back(lender, entry, args);
    lender_free_answer(&entry->answer);
    entry->sequence = args->sequence;
    entry->answer.outcome = OUTCOME_OK;
    entry->answer.sequence = args->sequence;
    entry->answer.rows.rows_val =
        xcalloc(args->rows.rows_len, sizeof(struct ck_lent_row));
    entry->answer.rows.rows_len = args->rows.rows_len;
    for (u_int i = 0; i < args->rows.rows_len; i++) {
        lender_handle_row(lender, now_us, entry, known,
                          &args->rows.rows_val[i],
                          &entry->answer.rows.rows_val[i]);
    }
    return &entry->answer;
}

static void
lender_describe_bucket(struct lender_bucket *bucket, int64_t now_us,
                       struct buffer *json)
{
    lender_fill(bucket, now_us);
    lender_sweep(bucket, now_us);
    buffer_append_text(json, "{\"customer\":");
    json_text_append(json, bucket->limit.customer);
    buffer_append_format(json,
                         ",\"rate_per_s\":%g,\"burst\":%g,"
                         "\"left\":%.1f,\"lent\":%.0f,\"entries\":%zu}",
                         bucket->limit.rate_per_s, bucket->limit.burst,
                         bucket->tokens, bucket->held, bucket->records_count);
}

// Appends a JSON array with what is left and lent of the limits of a customer;
// of all customers if name is empty. Returns the cursor of the next page, or 0
// after the last one.
uint64_t
limit_lender_describe(struct limit_lender *lender, int64_t now_us,
                      const char *name, uint64_t cursor, struct buffer *json)
{
    size_t rows = 0;
    size_t i = (size_t)cursor;

    buffer_append_text(json, "[");
    for (; i < lender->buckets.capacity && rows < LENDER_PAGE_ROWS; i++) {
        struct lender_bucket *bucket = lender->buckets.items[i];
        if (bucket == NULL || !bucket->declared ||
            (name[0] != '\0' && strcmp(bucket->limit.customer, name) != 0)) {
            continue;
        }
        buffer_append_text(json, rows++ == 0 ? "" : ",");
        lender_describe_bucket(bucket, now_us, json);
    }
    buffer_append_text(json, "]");
    return i < lender->buckets.capacity ? i : 0;
}
