#ifndef CATKINGRADE_KERNEL_WORK_TIME_H
#define CATKINGRADE_KERNEL_WORK_TIME_H

#include <stdint.h>

#include "catkingrade/kernel/buffer.h"

// Times of the control thread by kind of work, exported to Prometheus: the
// number of measurements, their sum, and the longest one of the last seconds.
// Only the control thread records; any thread may read.
#define WORK_TIME_LIST(ROW)                                                   \
    ROW(TURN, "turn", "one turn of the control loop, without its wait")       \
    ROW(RAFT, "raft", "a message of the replicated log")                      \
    ROW(RENEWAL, "renewal", "a lease renewal or the reply to one")            \
    ROW(NOTIFICATION, "notification",                                         \
        "a notification of a lease holder or the reply to one")               \
    ROW(ANNOUNCEMENT, "announcement",                                         \
        "announcements forwarded by another daemon or the reply to them")     \
    ROW(CHANGE, "change", "a change of an operator or the reply to one")      \
    ROW(QUERY, "query", "a query or command")                                 \
    ROW(BORROW, "borrow",                                                     \
        "a call for tokens of rate limits or the reply to one")               \
    ROW(HTTP, "http", "an HTTP request of an operator or upstream")           \
    ROW(LOG, "log",                                                           \
        "writes to the replicated log and what follows from them")            \
    ROW(TICK, "tick", "a tick of the coordinator")                            \
    ROW(HEARTBEAT_DELAY, "heartbeat_delay",                                   \
        "from the time a leader's heartbeat was due until it is sent")        \
    ROW(HEARTBEAT_ROUND, "heartbeat_round",                                   \
        "from sending a heartbeat until its answer is handled")

enum work_time {
#define WORK_TIME_ENUM(name, label, help) WORK_TIME_##name,
    WORK_TIME_LIST(WORK_TIME_ENUM)
#undef WORK_TIME_ENUM
        WORK_TIME_COUNT
};

void work_time_record(enum work_time kind, int64_t now_us,
                      int64_t duration_us);
int64_t work_time_get_sum_us(enum work_time kind);
int64_t work_time_get_longest_us(enum work_time kind, int64_t now_us);
const char *work_time_get_label(enum work_time kind);
const char *work_time_get_help(enum work_time kind);
void work_time_append_prometheus(struct buffer *text, int64_t now_us);

#endif
