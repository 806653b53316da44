#include <stdlib.h>
#include <string.h>

#include "catkingrade/decide/group/group_private.h"
#include "catkingrade/kernel/memory.h"
#include "catkingrade/kernel/outcome.h"
#include "catkingrade/rpc/codec.h"

// Keeps where the terms of a database's log began: the promotions that have
// taken effect, and those that were ordered for the next term and may do so.

// Inserts a promotion into a history by its term, and drops the oldest one if
// there are too many.
static void
group_insert_begin(struct ck_history *history, const struct ck_position *begin)
{
    struct ck_position *begins = history->begins.begins_val;
    u_int count = history->begins.begins_len;

    if (count == CK_HISTORY_SIZE) {
        count--;
        memmove(begins, begins + 1, count * sizeof(*begins));
    }
    begins = xrealloc(begins, (count + 1) * sizeof(*begins));
    u_int i = count;
    while (i > 0 && begins[i - 1].timeline > begin->timeline) {
        begins[i] = begins[i - 1];
        i--;
    }
    begins[i] = *begin;
    history->begins.begins_val = begins;
    history->begins.begins_len = count + 1;
}

// Adds a promotion that has taken effect. A term that has begun anew replaces
// itself and later ones.
static void
group_add_begin(struct ck_history *history, const struct ck_position *begin)
{
    u_int *count = &history->begins.begins_len;

    while (*count > 0 && history->begins.begins_val[*count - 1].timeline >=
                             begin->timeline) {
        (*count)--;
    }
    group_insert_begin(history, begin);
}

static struct group_object *
group_find_or_add(struct group_state *group, enum group_kind kind,
                  const char *name)
{
    struct group_object *object = group_find(group, kind, name);

    return object == NULL ? group_add(group, kind, name) : object;
}

// Ends what is known of ordered promotions: they take effect no more.
void
group_end_orders(struct group_state *group, const char *database)
{
    struct group_object *object = group_find(group, GROUP_ORDERS, database);

    if (object != NULL) {
        group_delete(group, object);
    }
}

// Adds the ordered promotions of earlier terms to a history. The upstreams
// count a later term, so that one of each of these terms has taken effect.
static void
group_keep_earlier_orders(const struct group_state *group,
                          const char *database, struct ck_history *history,
                          uint64_t timeline)
{
    const struct ck_orders *orders = group_find_orders(group, database);

    for (u_int i = 0; orders != NULL && i < orders->orders.orders_len; i++) {
        const struct ck_position *begin = &orders->orders.orders_val[i].begin;
        if (begin->timeline < timeline) {
            group_insert_begin(history, begin);
        }
    }
}

// Records that a promotion has taken effect.
void
group_apply_promoted(struct group_state *group,
                     const struct ck_promoted_change *change,
                     struct group_result *result)
{
    const struct group_object *database =
        group_find_declared_database(group, change->database, result);

    if (database == NULL) {
        return;
    }
    struct group_object *object =
        group_find_or_add(group, GROUP_HISTORY, change->database);
    group_keep_earlier_orders(group, change->database, &object->history,
                              change->begin.timeline);
    group_add_begin(&object->history, &change->begin);
    group_end_orders(group, change->database);
    group_result_set(result, OUTCOME_OK, group->revision, "%s", "recorded");
}

// Returns the promotions of a database that have taken effect, or NULL. They
// are borrowed until the next change.
const struct ck_history *
group_find_history(const struct group_state *group, const char *database)
{
    const struct group_object *object =
        group_find(group, GROUP_HISTORY, database);

    return object == NULL ? NULL : &object->history;
}

// Returns the promotions for the next term of a database that were ordered and
// may take effect, or NULL. They are borrowed until the next change.
const struct ck_orders *
group_find_orders(const struct group_state *group, const char *database)
{
    const struct group_object *object =
        group_find(group, GROUP_ORDERS, database);

    return object == NULL ? NULL : &object->orders;
}

static void
group_remove_order(struct ck_orders *orders, u_int index)
{
    struct ck_order *list = orders->orders.orders_val;
    u_int last = --orders->orders.orders_len;

    free(list[index].upstream);
    memmove(list + index, list + index + 1, (last - index) * sizeof(*list));
}

// Records that a promotion is about to be ordered, and drops the oldest order
// if there are too many.
void
group_apply_ordered(struct group_state *group,
                    const struct ck_order_change *change,
                    struct group_result *result)
{
    const struct group_object *database =
        group_find_declared_database(group, change->database, result);

    if (database == NULL) {
        return;
    }
    struct group_object *object =
        group_find_or_add(group, GROUP_ORDERS, change->database);
    struct ck_orders *orders = &object->orders;
    if (orders->orders.orders_len == CK_HISTORY_SIZE) {
        group_remove_order(orders, 0);
    }
    u_int count = orders->orders.orders_len;
    struct ck_order *list =
        xrealloc(orders->orders.orders_val, (count + 1) * sizeof(*list));
    list[count].upstream = xstrdup(change->order.upstream);
    list[count].begin = change->order.begin;
    orders->orders.orders_val = list;
    orders->orders.orders_len = count + 1;
    group_result_set(result, OUTCOME_OK, group->revision, "%s", "ordered");
}

// Records that the orders to promote an upstream were refused, so that they
// won't take effect.
void
group_apply_order_refused(struct group_state *group,
                          const struct ck_order_change *change,
                          struct group_result *result)
{
    struct group_object *object =
        group_find(group, GROUP_ORDERS, change->database);
    struct ck_orders *orders = object == NULL ? NULL : &object->orders;

    for (u_int i = orders == NULL ? 0 : orders->orders.orders_len; i > 0;
         i--) {
        if (strcmp(orders->orders.orders_val[i - 1].upstream,
                   change->order.upstream) == 0) {
            group_remove_order(orders, i - 1);
        }
    }
    group_result_set(result, OUTCOME_OK, group->revision, "%s", "refused");
}
