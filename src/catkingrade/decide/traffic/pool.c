#include "catkingrade/decide/traffic/pool.h"

#include <stdlib.h>

#include "catkingrade/decide/traffic/fair_queue.h"
#include "catkingrade/decide/traffic/pool_evict.h"
#include "catkingrade/decide/traffic/pool_group.h"
#include "catkingrade/decide/traffic/scheduler_actions.h"
#include "catkingrade/decide/traffic/scheduler_request.h"
#include "catkingrade/decide/traffic/scheduler_sample.h"
#include "catkingrade/kernel/memory.h"
#include "catkingrade/kernel/outcome.h"

#define POOL_INDEX_BITS    16
#define POOL_INDEX_MASK    ((UINT32_C(1) << POOL_INDEX_BITS) - 1)
#define POOL_CONNS_MAX     (POOL_INDEX_MASK - 1)
#define POOL_OPENING_MAX   4 // for each upstream and customer
#define POOL_SPARE_CONNS   2 // idle connections kept for each upstream
#define POOL_OPEN_DIVISOR  8 // a new opening time has a weight of 1/8
#define POOL_IDLE_CLOSE_US (60 * SCHEDULER_SECOND_US)
// Connections opened within this time of a silent connection are validated
// too.
#define POOL_SAME_AGE_US (10 * SCHEDULER_SECOND_US)

// Initializes an empty pool.
void
pool_init(struct scheduler *scheduler)
{
    scheduler->conns_free = SCHEDULER_NO_ID;
}

// Frees the memory of the pool; closes no connection.
void
pool_free(struct scheduler *scheduler)
{
    free(scheduler->conns);
    pool_group_free_all(scheduler);
}

static uint32_t
pool_get_index(const struct scheduler *scheduler, const struct conn *conn)
{
    return (uint32_t)(conn - scheduler->conns);
}

// Returns the connection with this id, or NULL if it has been closed. An id
// holds an index and a generation, so that the id of a closed connection never
// finds a later connection at the same index.
struct conn *
pool_find(struct scheduler *scheduler, uint32_t id)
{
    uint32_t index = id & POOL_INDEX_MASK;

    if (index >= scheduler->conns_count) {
        return NULL;
    }
    struct conn *conn = &scheduler->conns[index];
    return conn->state != CONN_FREE && conn->id == id ? conn : NULL;
}

// Allocates a connection with an id of the next generation of its index.
// Returns NULL if the pool is full. Invalidates pointers to other connections.
static struct conn *
pool_add(struct scheduler *scheduler)
{
    uint32_t index = scheduler->conns_free;

    if (index == SCHEDULER_NO_ID) {
        if (scheduler->conns_count == POOL_CONNS_MAX) {
            return NULL;
        }
        index = scheduler->conns_count++;
        scheduler->conns =
            xrealloc(scheduler->conns,
                     scheduler->conns_count * sizeof(*scheduler->conns));
        scheduler->conns[index].id = index;
    }
    else {
        scheduler->conns_free = scheduler->conns[index].next;
    }
    struct conn *conn = &scheduler->conns[index];
    uint32_t id = conn->id + (UINT32_C(1) << POOL_INDEX_BITS);
    *conn = (struct conn){.id = id,
                          .next = SCHEDULER_NO_ID,
                          .previous = SCHEDULER_NO_ID,
                          .newer = SCHEDULER_NO_ID,
                          .older = SCHEDULER_NO_ID};
    return conn;
}

static void
pool_set_state(struct scheduler *scheduler, struct conn *conn,
               enum conn_state state)
{
    conn->state = state;
    conn->since_us = scheduler->now_us;
}

static void
pool_add_idle(struct scheduler *scheduler, struct conn *conn)
{
    pool_set_state(scheduler, conn, CONN_IDLE);
    pool_group_add_idle(scheduler, conn);
}

// Frees the slot of a statement that has ended, or whose connection has ended.
void
pool_release_slot(struct scheduler *scheduler, struct conn *conn, bool read)
{
    struct upstream *up = &scheduler->upstreams[conn->upstream];

    INVARIANT(up->running > 0);
    fair_queue_settle(scheduler, conn);
    up->running--;
    up->reads -= read;
    scheduler->running--;
}

static void
pool_end_opening(struct scheduler *scheduler, const struct conn *conn)
{
    scheduler->upstreams[conn->upstream].opening--;
    pool_group_find(scheduler, conn->upstream, conn->customer)->opening--;
}

// Removes a connection whose end the adapter has reported or has been asked
// for.
void
pool_remove(struct scheduler *scheduler, struct conn *conn)
{
    struct upstream *upstream = &scheduler->upstreams[conn->upstream];

    if (conn->state == CONN_IDLE) {
        pool_group_remove_idle(scheduler, conn);
    }
    else if (conn->state == CONN_OPENING) {
        pool_end_opening(scheduler, conn);
    }
    else if (conn->state == CONN_PINNED) {
        pool_release_slot(scheduler, conn, false);
    }
    if (conn->session != NULL) {
        conn->session->conn = SCHEDULER_NO_ID;
    }
    upstream->open--;
    pool_group_remove_conn(scheduler, conn);
    customer_table_release(&scheduler->customers, conn->user);
    conn->state = CONN_FREE;
    conn->session = NULL;
    conn->next = scheduler->conns_free;
    scheduler->conns_free = pool_get_index(scheduler, conn);
}

// Refuses the statement that waits for the pinned connection of its
// transaction, because that transaction has ended or is about to.
void
pool_refuse_pinned(struct scheduler *scheduler, struct conn *conn,
                   int64_t retry_after_us, const char *reason)
{
    struct session *session = conn->session;

    if (conn->state != CONN_PINNED || session->first == NULL ||
        session->first->state != REQUEST_QUEUED) {
        return;
    }
    struct request *request = session->first;
    conn->session = NULL;
    session->conn = SCHEDULER_NO_ID;
    request_list_remove(&scheduler->upstreams[conn->upstream].pinned, request);
    scheduler->pinned_waiting--;
    request_refuse(scheduler, request, OUTCOME_NOT_RUN, retry_after_us,
                   reason);
}

// Closes a connection in any state. The caller ends the request that ran on
// it.
void
pool_close(struct scheduler *scheduler, struct conn *conn,
           enum scheduler_close_reason reason)
{
    struct scheduler_action *action =
        scheduler_add_action(scheduler, SCHEDULER_ACTION_CLOSE);

    action->conn = conn->id;
    action->upstream = conn->upstream;
    action->close_reason = reason;
    pool_remove(scheduler, conn);
}

// Returns whether the open rate and the state of an upstream allow to open a
// connection for a customer now, if there is place for one.
static bool
pool_may_open(const struct scheduler *scheduler, uint32_t upstream,
              uint32_t customer)
{
    const struct upstream *up = &scheduler->upstreams[upstream];
    const struct conn_group *group =
        pool_group_find(scheduler, upstream, customer);

    return up->takes_work && up->connections > 0 &&
           (group == NULL || group->opening < POOL_OPENING_MAX) &&
           scheduler->now_us >= up->open_next_us;
}

// Returns whether the limits, the open rate and the state of an upstream allow
// one more connection of a customer to it now, without closing another one.
bool
pool_can_open(const struct scheduler *scheduler, uint32_t upstream,
              uint32_t customer)
{
    const struct upstream *up = &scheduler->upstreams[upstream];

    return up->open < up->connections &&
           pool_may_open(scheduler, upstream, customer);
}

// Returns the idle connection of another customer that may be closed for a
// request which has waited for waited_us, if a connection can be opened in its
// place, or NULL. While the upstream has more connections than it allows, none
// takes the place of a closed one.
static struct conn *
pool_find_evictable(struct scheduler *scheduler, uint32_t upstream,
                    uint32_t customer, int64_t waited_us)
{
    const struct upstream *up = &scheduler->upstreams[upstream];

    if (up->open != up->connections ||
        !pool_may_open(scheduler, upstream, customer)) {
        return NULL;
    }
    return pool_evict_choose(scheduler, upstream, customer, waited_us);
}

// Returns how many requests of a group have been found to wait for a
// connection in this dispatch round.
static uint32_t
pool_get_claimed(const struct scheduler *scheduler,
                 const struct conn_group *group)
{
    return group != NULL && group->waiting_round == scheduler->round
               ? group->waiting
               : 0;
}

// Returns whether a request of a customer should wait for a connection of its
// customer that is in use or opens, rather than have another one opened: until
// it has waited for as long as opening one takes, if no earlier request waits
// for the same connection.
static bool
pool_awaits_own(const struct scheduler *scheduler, uint32_t upstream,
                const struct request *request)
{
    uint32_t customer = pool_group_get_customer(scheduler, upstream, request);
    const struct conn_group *group =
        pool_group_find(scheduler, upstream, customer);
    int64_t waited_us = scheduler->now_us - request->queued_us;

    return customer != CUSTOMER_NONE && group != NULL &&
           group->open - group->idle > pool_get_claimed(scheduler, group) &&
           waited_us < pool_evict_get_open_us(&scheduler->upstreams[upstream]);
}

// Has the scheduler run again when a request need no longer wait for a
// connection of its customer.
static void
pool_wake_at_end_of_wait(struct scheduler *scheduler, uint32_t upstream,
                         struct request *request)
{
    int64_t at_us = request->queued_us +
                    pool_evict_get_open_us(&scheduler->upstreams[upstream]);

    if (at_us > request->conn_wake_us) {
        request->conn_wake_us = at_us;
        timers_add(&scheduler->timers, at_us, TIMER_WAKE, 0);
    }
}

// Returns how well an upstream can provide a connection for a request.
enum pool_room
pool_get_room(struct scheduler *scheduler, uint32_t upstream,
              const struct request *request)
{
    uint32_t customer = pool_group_get_customer(scheduler, upstream, request);
    const struct conn_group *group =
        pool_group_find(scheduler, upstream, customer);
    int64_t waited_us = scheduler->now_us - request->queued_us;

    if (group != NULL && group->idle > 0) {
        return POOL_ROOM_IDLE;
    }
    if (group != NULL && group->opening > pool_get_claimed(scheduler, group)) {
        return POOL_ROOM_OPENING;
    }
    if (pool_awaits_own(scheduler, upstream, request)) {
        return POOL_ROOM_IN_USE;
    }
    if (pool_can_open(scheduler, upstream, customer)) {
        return POOL_ROOM_OPEN;
    }
    if (pool_find_evictable(scheduler, upstream, customer, waited_us) !=
        NULL) {
        return POOL_ROOM_EVICT;
    }
    return group != NULL && group->opening > 0 ? POOL_ROOM_OPENING_CLAIMED
                                               : POOL_ROOM_NONE;
}

// Opens a connection for a customer. The caller must have checked
// pool_can_open.
void
pool_open(struct scheduler *scheduler, uint32_t upstream, uint32_t customer)
{
    struct upstream *up = &scheduler->upstreams[upstream];
    struct conn *conn = pool_add(scheduler);

    if (conn == NULL) {
        return;
    }
    conn->upstream = upstream;
    conn->customer = customer;
    conn->opened_us = conn->used_us = scheduler->now_us;
    pool_set_state(scheduler, conn, CONN_OPENING);
    up->open++;
    up->opening++;
    pool_group_add_conn(scheduler, conn)->opening++;
    struct scheduler_action *action =
        scheduler_add_action(scheduler, SCHEDULER_ACTION_OPEN);
    action->conn = conn->id;
    action->upstream = upstream;
    action->customer = scheduler->customers.items[customer]->name;
    timers_add(&scheduler->timers,
               scheduler->now_us + scheduler->params.connect_timeout_us,
               TIMER_CONN, conn->id);
}

// Requests a validation or a reset of a connection, with a time limit.
static void
pool_check(struct scheduler *scheduler, struct conn *conn,
           enum scheduler_action_kind kind)
{
    struct scheduler_action *action = scheduler_add_action(scheduler, kind);

    action->conn = conn->id;
    action->upstream = conn->upstream;
    pool_set_state(scheduler, conn, CONN_CHECKING);
    conn->validation_wanted = false;
    conn->reset_wanted = false;
    timers_add(&scheduler->timers,
               scheduler->now_us + scheduler->params.connect_timeout_us,
               TIMER_CONN, conn->id);
}

// Returns whether a connection must be validated before it carries a write.
static bool
pool_needs_validation(const struct scheduler *scheduler,
                      const struct conn *conn)
{
    return conn->validation_wanted || scheduler->now_us - conn->validated_us >
                                          scheduler->params.idle_proof_us;
}

// Opens a connection to an upstream for a request that found none, unless as
// many are being opened for its customer as requests wait in this round, or
// the request should wait for one that is in use. An idle connection of
// another customer is closed before if there is no place left.
void
pool_open_for(struct scheduler *scheduler, uint32_t upstream,
              struct request *request)
{
    uint32_t customer = pool_group_get_customer(scheduler, upstream, request);
    struct conn_group *group = pool_group_find(scheduler, upstream, customer);
    uint32_t waiting = pool_get_claimed(scheduler, group) + 1;

    if (group != NULL) {
        bool awaits = pool_awaits_own(scheduler, upstream, request);
        group->waiting_round = scheduler->round;
        group->waiting = waiting;
        if (group->opening >= waiting) {
            return;
        }
        if (awaits) {
            pool_wake_at_end_of_wait(scheduler, upstream, request);
            return;
        }
    }
    if (!pool_can_open(scheduler, upstream, customer)) {
        struct conn *conn =
            pool_find_evictable(scheduler, upstream, customer,
                                scheduler->now_us - request->queued_us);
        if (conn == NULL) {
            return;
        }
        pool_close(scheduler, conn, SCHEDULER_CLOSE_EVICTED);
    }
    pool_open(scheduler, upstream, customer);
    group = pool_group_find(scheduler, upstream, customer);
    if (group != NULL) {
        group->waiting_round = scheduler->round;
        group->waiting = waiting;
    }
}

// Takes an idle connection of a customer off the idle list and returns it:
// preferably the connection that holds the state of the session, or else the
// connection that was used last. For a write, a connection that was idle for
// too long is validated instead and the next connection is tried. Returns NULL
// if no connection is left.
struct conn *
pool_acquire_idle(struct scheduler *scheduler, uint32_t upstream,
                  const struct request *request)
{
    const struct conn_group *group =
        pool_group_find(scheduler, upstream,
                        pool_group_get_customer(scheduler, upstream, request));
    bool needs_validation = !request_is_read(request);

    while (group != NULL && group->idle_first != SCHEDULER_NO_ID) {
        struct conn *conn =
            pool_group_find_idle(scheduler, group, request->session->id);
        pool_group_remove_idle(scheduler, conn);
        if (!conn->validation_wanted &&
            !(needs_validation && pool_needs_validation(scheduler, conn))) {
            return conn;
        }
        pool_check(scheduler, conn, SCHEDULER_ACTION_VALIDATE);
    }
    return NULL;
}

// Binds a connection to the transaction of a session. The connection keeps its
// slot between statements: the transaction may hold locks that the statements
// in all other slots wait for, so its next statement must never wait for a
// slot.
void
pool_pin(struct scheduler *scheduler, struct conn *conn,
         struct session *session)
{
    scheduler->upstreams[conn->upstream].running++;
    scheduler->running++;
    conn->session = session;
    session->conn = conn->id;
    pool_set_state(scheduler, conn, CONN_PINNED);
}

// Returns a connection at a transaction boundary to the pool, after a reset if
// its caller has abandoned the request. Closes the connection instead if it
// exceeds the limits, if its upstream is leaving or if the term of its primary
// has ended.
void
pool_release(struct scheduler *scheduler, struct conn *conn)
{
    struct upstream *up = &scheduler->upstreams[conn->upstream];

    if (conn->session != NULL) {
        conn->session->conn = SCHEDULER_NO_ID;
        conn->session = NULL;
    }
    conn->read_only = false;
    if (!up->takes_work) {
        pool_close(scheduler, conn, SCHEDULER_CLOSE_LEAVING);
    }
    else if (conn->superseded) {
        pool_close(scheduler, conn, SCHEDULER_CLOSE_SUPERSEDED);
    }
    else if (up->open > up->connections) {
        pool_close(scheduler, conn, SCHEDULER_CLOSE_QUOTA);
    }
    else if (conn->reset_wanted) {
        pool_check(scheduler, conn, SCHEDULER_ACTION_RESET);
    }
    else {
        pool_add_idle(scheduler, conn);
    }
}

// Updates the moving average of the opening time of an upstream.
static void
pool_record_open_time(struct scheduler *scheduler, const struct conn *conn)
{
    struct upstream *up = &scheduler->upstreams[conn->upstream];
    int64_t took_us = scheduler->now_us - conn->opened_us;

    up->open_us += up->open_us == 0
                       ? took_us
                       : (took_us - up->open_us) / POOL_OPEN_DIVISOR;
}

// Handles the report of the adapter that a connection is open.
void
pool_handle_opened(struct scheduler *scheduler,
                   const struct scheduler_conn_event *event)
{
    struct conn *conn = pool_find(scheduler, event->conn);

    if (conn == NULL || conn->state != CONN_OPENING) {
        return;
    }
    struct upstream *up = &scheduler->upstreams[conn->upstream];
    pool_end_opening(scheduler, conn);
    pool_record_open_time(scheduler, conn);
    up->open_backoff_us = 0;
    conn->validated_us = scheduler->now_us;
    if (scheduler->params.guarded) {
        sample_record_answer(scheduler, conn->upstream);
    }
    pool_set_state(scheduler, conn, CONN_CHECKING);
    pool_release(scheduler, conn);
}

// Handles the report of the adapter that a reset or a validation has
// succeeded.
void
pool_handle_ready(struct scheduler *scheduler,
                  const struct scheduler_conn_event *event)
{
    struct conn *conn = pool_find(scheduler, event->conn);

    if (conn == NULL || conn->state != CONN_CHECKING) {
        return;
    }
    conn->validated_us = scheduler->now_us;
    pool_release(scheduler, conn);
}

// Makes the connections of an upstream that were opened at about the same time
// as a silent one are validated before their next use. A network device
// that has lost its state of one connection may have lost the others too.
void
pool_check_same_age(struct scheduler *scheduler, uint32_t upstream,
                    int64_t opened_us)
{
    for (uint32_t i = 0; i < scheduler->conns_count; i++) {
        struct conn *conn = &scheduler->conns[i];
        int64_t distance_us = llabs(conn->opened_us - opened_us);
        if (conn->state == CONN_FREE || conn->upstream != upstream ||
            distance_us > POOL_SAME_AGE_US) {
            continue;
        }
        conn->validation_wanted = true;
        if (conn->state == CONN_IDLE) {
            pool_group_remove_idle(scheduler, conn);
            pool_check(scheduler, conn, SCHEDULER_ACTION_VALIDATE);
        }
    }
}

// Returns since when a connection has waited for its upstream, if the pool
// limits that wait, or INT64_MAX.
static int64_t
pool_get_wait_start_us(const struct conn *conn)
{
    switch (conn->state) {
    case CONN_OPENING:
    case CONN_CHECKING:
        return conn->since_us;
    case CONN_BUSY:
        return conn->abandoned_us != 0 ? conn->abandoned_us : INT64_MAX;
    default:
        return INT64_MAX;
    }
}

// Suspects an upstream that has not answered anything since a statement was
// sent to it. Only guarded upstreams need this: where upstreams are sampled, a
// missing sample shows the silence sooner.
static void
pool_detect_silence(struct scheduler *scheduler, const struct conn *conn)
{
    const struct upstream *up = &scheduler->upstreams[conn->upstream];

    if (scheduler->params.guarded && conn->state == CONN_BUSY &&
        scheduler->now_us - conn->since_us >= scheduler->params.suspect_us &&
        up->answered_us <= conn->since_us) {
        sample_record_failure(scheduler, conn->upstream, CK_SUSPECT_SILENT);
        timers_add(&scheduler->timers,
                   scheduler->now_us + scheduler->params.suspect_us,
                   TIMER_CONN, conn->id);
    }
}

// Closes a connection whose opening, reset, validation or abandoned statement
// has exceeded its time limit, and suspects its upstream.
void
pool_handle_timer(struct scheduler *scheduler, uint32_t id)
{
    struct conn *conn = pool_find(scheduler, id);

    if (conn != NULL) {
        pool_detect_silence(scheduler, conn);
    }
    if (conn == NULL ||
        pool_get_wait_start_us(conn) >
            scheduler->now_us - scheduler->params.connect_timeout_us) {
        return;
    }
    bool was_open = conn->state != CONN_OPENING;
    uint32_t upstream = conn->upstream;
    int64_t opened_us = conn->opened_us;
    if (conn->state == CONN_BUSY) {
        pool_release_slot(scheduler, conn, conn->read);
    }
    pool_close(scheduler, conn, SCHEDULER_CLOSE_SILENT);
    sample_record_failure(scheduler, upstream, CK_SUSPECT_SILENT);
    if (was_open) {
        pool_check_same_age(scheduler, upstream, opened_us);
    }
}

// Returns the enum scheduler_close_reason for which an idle or opening
// connection must be closed now, or -1.
static int
pool_find_close_reason(const struct scheduler *scheduler,
                       const struct conn *conn)
{
    const struct upstream *up = &scheduler->upstreams[conn->upstream];

    if (!up->takes_work) {
        return SCHEDULER_CLOSE_LEAVING;
    }
    if (conn->superseded) {
        return SCHEDULER_CLOSE_SUPERSEDED;
    }
    if (up->open > up->connections) {
        return SCHEDULER_CLOSE_QUOTA;
    }
    return -1;
}

// Closes idle connections of customers above the limits, those first that are
// expected to stay unused for the longest time.
static void
pool_close_least_used(struct scheduler *scheduler)
{
    for (uint32_t i = 0;
         scheduler->customers.used > 0 && i < scheduler->upstreams_count;
         i++) {
        const struct upstream *up = &scheduler->upstreams[i];
        struct conn *conn = NULL;
        while (up->takes_work && up->open > up->connections &&
               (conn = pool_evict_choose(scheduler, i, SCHEDULER_NO_ID, 0)) !=
                   NULL) {
            pool_close(scheduler, conn, SCHEDULER_CLOSE_QUOTA);
        }
    }
}

// Closes idle and opening connections that a new view, quota or lease no
// longer allows. Busy connections are closed when they are released.
void
pool_enforce_limits(struct scheduler *scheduler)
{
    pool_close_least_used(scheduler);
    for (uint32_t i = 0; i < scheduler->conns_count; i++) {
        struct conn *conn = &scheduler->conns[i];
        if (conn->state != CONN_IDLE && conn->state != CONN_OPENING) {
            continue;
        }
        int reason = pool_find_close_reason(scheduler, conn);
        if (reason >= 0) {
            pool_close(scheduler, conn, (enum scheduler_close_reason)reason);
        }
    }
}

// Opens connections of no customer until POOL_SPARE_CONNS are idle or opening,
// but no more than the free slots can use.
static void
pool_open_spares(struct scheduler *scheduler, uint32_t upstream)
{
    struct upstream *up = &scheduler->upstreams[upstream];

    while (up->idle + up->opening < POOL_SPARE_CONNS &&
           up->running + up->idle + up->opening < up->slots &&
           pool_can_open(scheduler, upstream, CUSTOMER_NONE)) {
        pool_open(scheduler, upstream, CUSTOMER_NONE);
    }
}

// Closes an idle connection that has not been used for long. Validates one
// whose last answer is older than three quarters of idle_proof_us, so that a
// later write need not wait for the validation.
static void
pool_maintain_idle(struct scheduler *scheduler, struct conn *conn)
{
    const struct upstream *up = &scheduler->upstreams[conn->upstream];
    int64_t validation_due_us =
        conn->validated_us + scheduler->params.idle_proof_us / 4 * 3;

    if (up->idle > POOL_SPARE_CONNS &&
        scheduler->now_us - conn->used_us > POOL_IDLE_CLOSE_US) {
        pool_close(scheduler, conn, SCHEDULER_CLOSE_IDLE);
    }
    else if (scheduler->now_us >= validation_due_us &&
             !scheduler->params.guarded) {
        pool_group_remove_idle(scheduler, conn);
        pool_check(scheduler, conn, SCHEDULER_ACTION_VALIDATE);
    }
}

// Closes or validates idle connections and, while sessions use the database,
// keeps spare connections open. Called once per probe interval and when the
// view or the number of sessions changes.
void
pool_maintain(struct scheduler *scheduler)
{
    for (uint32_t i = 0; i < scheduler->conns_count; i++) {
        if (scheduler->conns[i].state == CONN_IDLE) {
            pool_maintain_idle(scheduler, &scheduler->conns[i]);
        }
    }
    if (scheduler->sessions.count == 0) {
        return;
    }
    // No request of a customer could use a spare connection of no customer.
    if (scheduler->customers.count > 1 && !scheduler->view.relayed) {
        return;
    }
    // Of relays, only the first candidate serves requests of no customer.
    uint32_t count = scheduler->view.relayed ? 1 : scheduler->candidates_count;
    for (uint32_t i = 0; i < count && i < scheduler->candidates_count; i++) {
        pool_open_spares(scheduler, scheduler->candidates[i]);
    }
}
