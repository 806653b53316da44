#ifndef CATKINGRADE_DECIDE_CUSTOMER_TABLE_H
#define CATKINGRADE_DECIDE_CUSTOMER_TABLE_H

#include <stdbool.h>
#include <stdint.h>

// Customers on whose behalf the requests of one scheduler run. Each name is
// given an index, which requests and connections hold with a reference. Index
// 0 stands for no customer. It is always present and is not counted. An entry
// without references keeps its name and its statistics until another customer
// needs the entry, so that the table grows with the customers in use at one
// time and not with all that were ever seen. Times are in microseconds.

#define CUSTOMER_NONE      0
#define CUSTOMER_NAME_SIZE 64
#define CUSTOMER_QUEUES    2 // as many as QUEUE_COUNT

struct customer {
    char name[CUSTOMER_NAME_SIZE];
    uint32_t references;
    uint32_t next;            // in the same hash bucket
    uint32_t unused_next;     // list of the entries without references
    uint32_t unused_previous; // the longest unused entry is first
    uint32_t queued;          // requests in the queues
    int64_t asked_us;         // last request; 0: none
    int64_t gap_us;           // moving average between requests; 0: unknown
    // Slot time used, by kind of queue, for fair queueing; see fair_queue.h.
    double virtual_us[CUSTOMER_QUEUES];
};

struct customer_table {
    struct customer **items; // by index; an item never moves
    uint32_t count;          // with index 0
    uint32_t capacity;
    uint32_t *buckets; // first index of each hash bucket, or CUSTOMER_NONE
    uint32_t buckets_count;
    uint32_t unused_first; // CUSTOMER_NONE: none
    uint32_t unused_last;
    uint32_t used; // named entries with references
};

void customer_table_init(struct customer_table *table);
void customer_table_free(struct customer_table *table);
uint32_t customer_table_acquire(struct customer_table *table,
                                const char *name);
void customer_table_reference(struct customer_table *table, uint32_t index);
void customer_table_release(struct customer_table *table, uint32_t index);
void customer_table_record_request(struct customer_table *table,
                                   uint32_t index, int64_t now_us);

#endif
