#include "test/fake/scheduler_rig.h"

#include <stdio.h>
#include <string.h>

static char scheduler_rig_database_name[] = "roster";
static char scheduler_rig_template_name[] = "core";
static char scheduler_rig_no_group[] = "";
static char scheduler_rig_primary[] = "u0";
static char scheduler_rig_host[] = "127.0.0.1";
static char scheduler_rig_local_domain[] = "noord";
static char scheduler_rig_remote_domain[] = "midden";

static void
scheduler_rig_init_with(struct scheduler_rig *rig, uint32_t upstreams_count,
                        bool guarded)
{
    const struct scheduler_params params = {
        .guarded = guarded,
        .probe_us = 50 * SCHEDULER_RIG_MS_US,
        .suspect_us = 200 * SCHEDULER_RIG_MS_US,
        .idle_proof_us = 2000 * SCHEDULER_RIG_MS_US,
        .leaving_limit_us = 7000 * SCHEDULER_RIG_MS_US,
        .connect_timeout_us = 500 * SCHEDULER_RIG_MS_US,
        .seed = 7,
    };

    *rig = (struct scheduler_rig){.now_us = 1000000};
    rig->scheduler = scheduler_create(&params);
    rig->customer =
        (struct ck_customer){.name = scheduler_rig_database_name,
                             .template_name = scheduler_rig_template_name,
                             .max_age_ms = 2000};
    rig->database =
        (struct ck_database){.name = scheduler_rig_database_name,
                             .customer = scheduler_rig_database_name,
                             .group = scheduler_rig_no_group,
                             .primary = scheduler_rig_primary};
    rig->database.base.timeline = 1;
    rig->database.upstreams.upstreams_len = upstreams_count;
    rig->database.upstreams.upstreams_val = rig->upstreams;
    rig->customer.types.types_val = rig->types;
    for (uint32_t i = 0; i < upstreams_count; i++) {
        (void)snprintf(rig->names[i], sizeof(rig->names[i]), "u%u", i);
        rig->upstreams[i] = (struct ck_upstream){
            .name = rig->names[i],
            .database = scheduler_rig_database_name,
            .failure_domain = i % 3 == 0 ? scheduler_rig_local_domain
                                         : scheduler_rig_remote_domain,
            .host = scheduler_rig_host,
            .slots = 5,
            .connections = 30};
    }
}

void
scheduler_rig_init(struct scheduler_rig *rig, uint32_t upstreams_count)
{
    scheduler_rig_init_with(rig, upstreams_count, false);
}

void
scheduler_rig_init_guarded(struct scheduler_rig *rig, uint32_t upstreams_count)
{
    scheduler_rig_init_with(rig, upstreams_count, true);
}

void
scheduler_rig_init_learned(struct scheduler_rig *rig, uint32_t upstreams_count,
                           bool learned_capacity, uint64_t seed)
{
    const struct scheduler_params params = {
        .guarded = true,
        .learned_capacity = learned_capacity,
        .probe_us = 1000 * SCHEDULER_RIG_MS_US,
        .suspect_us = 600 * SCHEDULER_RIG_MS_US,
        .idle_proof_us = 2000 * SCHEDULER_RIG_MS_US,
        .leaving_limit_us = 7000 * SCHEDULER_RIG_MS_US,
        .connect_timeout_us = 1000 * SCHEDULER_RIG_MS_US,
        .timer_granularity_us = 50 * SCHEDULER_RIG_MS_US,
        .seed = seed,
    };

    scheduler_rig_init_with(rig, upstreams_count, true);
    scheduler_destroy(rig->scheduler);
    rig->scheduler = scheduler_create(&params);
}

void
scheduler_rig_start(struct scheduler_rig *rig, uint32_t upstreams_count)
{
    scheduler_rig_init(rig, upstreams_count);
    scheduler_rig_post_view(rig);
    for (uint32_t i = 0; i < upstreams_count; i++) {
        scheduler_rig_post_sample(rig, i, 100);
    }
    scheduler_rig_open_session(rig, 1, NULL);
    scheduler_rig_complete_opens(rig);
}

void
scheduler_rig_free(struct scheduler_rig *rig)
{
    scheduler_destroy(rig->scheduler);
    scheduler_actions_free(&rig->actions);
}

void
scheduler_rig_step(struct scheduler_rig *rig,
                   const struct scheduler_event *event)
{
    rig->actions.count = 0;
    scheduler_step(rig->scheduler, rig->now_us, event, &rig->actions);
}

void
scheduler_rig_post_view(struct scheduler_rig *rig)
{
    const struct scheduler_event event = {
        .kind = SCHEDULER_EVENT_VIEW,
        .view = {.customer = &rig->customer,
                 .database = &rig->database,
                 .quotas =
                     rig->quotas[0].upstream != NULL ? rig->quotas : NULL,
                 .quotas_count = rig->quotas[0].upstream != NULL
                                     ? rig->database.upstreams.upstreams_len
                                     : 0,
                 .failure_domain = "noord"}};

    scheduler_rig_step(rig, &event);
}

void
scheduler_rig_post_lease(struct scheduler_rig *rig, uint64_t term,
                         int64_t valid_until_us)
{
    const struct scheduler_event event = {
        .kind = SCHEDULER_EVENT_LEASE, .lease = {term, valid_until_us, false}};

    scheduler_rig_step(rig, &event);
}

void
scheduler_rig_revoke_lease(struct scheduler_rig *rig, uint64_t term)
{
    const struct scheduler_event event = {.kind = SCHEDULER_EVENT_LEASE,
                                          .lease = {term, 0, true}};

    scheduler_rig_step(rig, &event);
}

void
scheduler_rig_tick(struct scheduler_rig *rig, int64_t after_us)
{
    const struct scheduler_event event = {.kind = SCHEDULER_EVENT_TICK};

    rig->now_us += after_us;
    scheduler_rig_step(rig, &event);
}

void
scheduler_rig_open_session(struct scheduler_rig *rig, uint64_t session,
                           const struct scheduler_floor *floor)
{
    struct scheduler_event event = {
        .kind = SCHEDULER_EVENT_SESSION_OPEN,
        .session_open = {.session = session, .declared_new = floor == NULL}};

    if (floor != NULL) {
        event.session_open.floor_known = true;
        event.session_open.floor = *floor;
    }
    scheduler_rig_step(rig, &event);
}

static uint64_t
scheduler_rig_post_next_request(struct scheduler_rig *rig,
                                struct scheduler_request request)
{
    struct scheduler_event event = {.kind = SCHEDULER_EVENT_REQUEST};

    request.request = ++rig->next_request;
    event.request = request;
    scheduler_rig_step(rig, &event);
    return request.request;
}

uint64_t
scheduler_rig_post_request(struct scheduler_rig *rig, uint64_t session,
                           enum scheduler_class request_class,
                           int64_t max_age_us)
{
    return scheduler_rig_post_next_request(
        rig, (struct scheduler_request){.session = session,
                                        .request_class = request_class,
                                        .max_age_us = max_age_us});
}

uint64_t
scheduler_rig_post_typed_request(struct scheduler_rig *rig, uint64_t session,
                                 enum scheduler_class request_class,
                                 const char *type, int64_t deadline_us)
{
    struct scheduler_request request = {.session = session,
                                        .request_class = request_class,
                                        .max_age_us = -1,
                                        .deadline_us = deadline_us};

    (void)snprintf(request.type, sizeof(request.type), "%s", type);
    return scheduler_rig_post_next_request(rig, request);
}

uint64_t
scheduler_rig_post_timed_read(struct scheduler_rig *rig, uint64_t session,
                              int64_t queue_timeout_us, int64_t deadline_us)
{
    return scheduler_rig_post_next_request(
        rig, (struct scheduler_request){.session = session,
                                        .request_class = SCHEDULER_CLASS_READ,
                                        .max_age_us = -1,
                                        .queue_timeout_us = queue_timeout_us,
                                        .deadline_us = deadline_us});
}

void
scheduler_rig_post_result(struct scheduler_rig *rig, uint64_t request,
                          uint32_t conn, enum scheduler_result result,
                          bool in_transaction, uint64_t lsn)
{
    const struct scheduler_event event = {
        .kind = SCHEDULER_EVENT_RESULT,
        .result = {.request = request,
                   .conn = conn,
                   .result = result,
                   .in_transaction = in_transaction,
                   .answer_held = true,
                   .position = {rig->database.base.timeline, lsn}}};

    scheduler_rig_step(rig, &event);
}

void
scheduler_rig_post_sample(struct scheduler_rig *rig, uint32_t upstream,
                          uint64_t lsn)
{
    const struct scheduler_event event = {
        .kind = SCHEDULER_EVENT_SAMPLE,
        .sample = {.upstream = upstream,
                   .is_primary = strcmp(rig->names[upstream],
                                        rig->database.primary) == 0,
                   .position = {rig->database.base.timeline, lsn},
                   .asked_at_us = rig->now_us}};

    scheduler_rig_step(rig, &event);
}

void
scheduler_rig_post_conn_event(struct scheduler_rig *rig,
                              enum scheduler_event_kind kind, uint32_t conn)
{
    const struct scheduler_event event = {.kind = kind,
                                          .conn = {.conn = conn}};

    scheduler_rig_step(rig, &event);
}

void
scheduler_rig_complete_opens(struct scheduler_rig *rig)
{
    for (size_t i = 0; i < rig->actions.count; i++) {
        struct scheduler_action action = rig->actions.items[i];
        struct scheduler_event event = {.kind = SCHEDULER_EVENT_CONN_OPENED};
        event.conn.conn = action.conn;
        if (action.kind == SCHEDULER_ACTION_VALIDATE ||
            action.kind == SCHEDULER_ACTION_RESET) {
            event.kind = SCHEDULER_EVENT_CONN_READY;
        }
        else if (action.kind != SCHEDULER_ACTION_OPEN) {
            continue;
        }
        scheduler_step(rig->scheduler, rig->now_us, &event, &rig->actions);
    }
}

const struct scheduler_action *
scheduler_rig_find_action(const struct scheduler_rig *rig,
                          enum scheduler_action_kind kind, uint64_t request)
{
    for (size_t i = 0; i < rig->actions.count; i++) {
        const struct scheduler_action *action = &rig->actions.items[i];
        if (action->kind == kind &&
            (request == 0 || action->request == request)) {
            return action;
        }
    }
    return NULL;
}

size_t
scheduler_rig_count_actions(const struct scheduler_rig *rig,
                            enum scheduler_action_kind kind)
{
    size_t count = 0;

    for (size_t i = 0; i < rig->actions.count; i++) {
        count += rig->actions.items[i].kind == kind;
    }
    return count;
}
