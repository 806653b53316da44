#include "test/fake/traffic_rig.h"

#include <stdio.h>
#include <string.h>

static char rig_database_name[] = "roster";
static char rig_template_name[] = "core";
static char rig_no_group[] = "";
static char rig_primary[] = "u0";
static char rig_host[] = "127.0.0.1";
static char rig_near[] = "noord";
static char rig_far[] = "midden";

static void
rig_init_with(struct rig *rig, uint32_t upstreams_count, bool guarded)
{
    const struct scheduler_params params = {
        .guarded = guarded,
        .probe_us = 50 * RIG_MS_US,
        .suspect_us = 200 * RIG_MS_US,
        .idle_proof_us = 2000 * RIG_MS_US,
        .connect_timeout_us = 500 * RIG_MS_US,
        .seed = 7,
    };

    *rig = (struct rig){.now_us = 1000000};
    rig->scheduler = scheduler_create(&params);
    rig->customer = (struct ck_customer){.name = rig_database_name,
                                         .template_name = rig_template_name,
                                         .max_age_ms = 2000};
    rig->database = (struct ck_database){.name = rig_database_name,
                                         .customer = rig_database_name,
                                         .group = rig_no_group,
                                         .primary = rig_primary};
    rig->database.base.timeline = 1;
    rig->database.upstreams.upstreams_len = upstreams_count;
    rig->database.upstreams.upstreams_val = rig->upstreams;
    rig->customer.types.types_val = rig->types;
    for (uint32_t i = 0; i < upstreams_count; i++) {
        (void)snprintf(rig->names[i], sizeof(rig->names[i]), "u%u", i);
        rig->upstreams[i] = (struct ck_upstream){
            .name = rig->names[i],
            .database = rig_database_name,
            .failure_domain = i % 3 == 0 ? rig_near : rig_far,
            .host = rig_host,
            .slots = 5,
            .connections = 30};
    }
}

void
rig_init(struct rig *rig, uint32_t upstreams_count)
{
    rig_init_with(rig, upstreams_count, false);
}

void
rig_init_guarded(struct rig *rig, uint32_t upstreams_count)
{
    rig_init_with(rig, upstreams_count, true);
}

void
rig_start(struct rig *rig, uint32_t upstreams_count)
{
    rig_init(rig, upstreams_count);
    rig_post_view(rig);
    for (uint32_t i = 0; i < upstreams_count; i++) {
        rig_sample(rig, i, 100);
    }
    rig_open_session(rig, 1, NULL);
    rig_open_all(rig);
}

void
rig_free(struct rig *rig)
{
    scheduler_destroy(rig->scheduler);
    scheduler_actions_free(&rig->actions);
}

void
rig_step(struct rig *rig, const struct scheduler_event *event)
{
    rig->actions.count = 0;
    scheduler_step(rig->scheduler, rig->now_us, event, &rig->actions);
}

void
rig_post_view(struct rig *rig)
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

    rig_step(rig, &event);
}

void
rig_post_lease(struct rig *rig, uint64_t term, int64_t valid_until_us)
{
    const struct scheduler_event event = {
        .kind = SCHEDULER_EVENT_LEASE, .lease = {term, valid_until_us, false}};

    rig_step(rig, &event);
}

void
rig_revoke(struct rig *rig, uint64_t term)
{
    const struct scheduler_event event = {.kind = SCHEDULER_EVENT_LEASE,
                                          .lease = {term, 0, true}};

    rig_step(rig, &event);
}

void
rig_tick(struct rig *rig, int64_t after_us)
{
    const struct scheduler_event event = {.kind = SCHEDULER_EVENT_TICK};

    rig->now_us += after_us;
    rig_step(rig, &event);
}

void
rig_open_session(struct rig *rig, uint64_t session,
                 const struct scheduler_floor *floor)
{
    struct scheduler_event event = {
        .kind = SCHEDULER_EVENT_SESSION_OPEN,
        .session_open = {.session = session, .declared_new = floor == NULL}};

    if (floor != NULL) {
        event.session_open.floor_known = true;
        event.session_open.floor = *floor;
    }
    rig_step(rig, &event);
}

static uint64_t
rig_send_request(struct rig *rig, struct scheduler_request request)
{
    struct scheduler_event event = {.kind = SCHEDULER_EVENT_REQUEST};

    request.request = ++rig->next_request;
    event.request = request;
    rig_step(rig, &event);
    return request.request;
}

uint64_t
rig_request(struct rig *rig, uint64_t session,
            enum scheduler_class request_class, int64_t max_age_us)
{
    return rig_send_request(
        rig, (struct scheduler_request){.session = session,
                                        .request_class = request_class,
                                        .max_age_us = max_age_us});
}

uint64_t
rig_request_typed(struct rig *rig, uint64_t session,
                  enum scheduler_class request_class, const char *type,
                  int64_t deadline_us)
{
    struct scheduler_request request = {.session = session,
                                        .request_class = request_class,
                                        .max_age_us = -1,
                                        .deadline_us = deadline_us};

    (void)snprintf(request.type, sizeof(request.type), "%s", type);
    return rig_send_request(rig, request);
}

uint64_t
rig_request_patient(struct rig *rig, uint64_t session,
                    int64_t queue_timeout_us, int64_t deadline_us)
{
    return rig_send_request(
        rig, (struct scheduler_request){.session = session,
                                        .request_class = SCHEDULER_CLASS_READ,
                                        .max_age_us = -1,
                                        .queue_timeout_us = queue_timeout_us,
                                        .deadline_us = deadline_us});
}

void
rig_result(struct rig *rig, uint64_t request, uint32_t conn,
           enum scheduler_result result, bool in_transaction, uint64_t lsn)
{
    const struct scheduler_event event = {
        .kind = SCHEDULER_EVENT_RESULT,
        .result = {.request = request,
                   .conn = conn,
                   .result = result,
                   .in_transaction = in_transaction,
                   .answer_held = true,
                   .position = {rig->database.base.timeline, lsn}}};

    rig_step(rig, &event);
}

void
rig_sample(struct rig *rig, uint32_t upstream, uint64_t lsn)
{
    const struct scheduler_event event = {
        .kind = SCHEDULER_EVENT_SAMPLE,
        .sample = {.upstream = upstream,
                   .is_primary = strcmp(rig->names[upstream],
                                        rig->database.primary) == 0,
                   .position = {rig->database.base.timeline, lsn},
                   .asked_at_us = rig->now_us}};

    rig_step(rig, &event);
}

void
rig_conn(struct rig *rig, enum scheduler_event_kind kind, uint32_t conn)
{
    const struct scheduler_event event = {.kind = kind,
                                          .conn = {.conn = conn}};

    rig_step(rig, &event);
}

void
rig_open_all(struct rig *rig)
{
    for (size_t i = 0; i < rig->actions.count; i++) {
        struct scheduler_action action = rig->actions.items[i];
        struct scheduler_event event = {.kind = SCHEDULER_EVENT_CONN_OPENED};
        event.conn.conn = action.conn;
        if (action.kind == SCHEDULER_ACTION_PROVE ||
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
rig_find(const struct rig *rig, enum scheduler_action_kind kind,
         uint64_t request)
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
rig_count(const struct rig *rig, enum scheduler_action_kind kind)
{
    size_t count = 0;

    for (size_t i = 0; i < rig->actions.count; i++) {
        count += rig->actions.items[i].kind == kind;
    }
    return count;
}
