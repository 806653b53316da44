#include <inttypes.h>
#include <stdio.h>
#include <string.h>
#include <time.h>

#include "catkingrade/cli/cli.h"
#include "catkingrade/cli/client.h"
#include "catkingrade/cli/objects.h"
#include "catkingrade/kernel/memory.h"
#include "catkingrade/rpc/codec.h"

#define CUSTOMER_POLL_INTERVAL_S 1

static const struct cli_column customer_columns[] = {
    {"CUSTOMER", "customer"},   {"STATE", "state"},
    {"TEMPLATE", "template"},   {"REVISION", "revision"},
    {"DATABASES", "databases"},
};

// Asks for a new state of a customer.
static int
customer_request_state(struct cli_client *client, const char *name,
                       enum ck_customer_state state, const char *state_name)
{
    char id[CK_NAME_SIZE + 1];
    struct ck_apply_result result;
    uint64_t revision = 0;
    int code = cli_fetch_revision(client, CK_QUERY_CUSTOMERS, name, &revision);

    if (code != CLI_EXIT_OK) {
        return code;
    }
    cli_build_change_id("customer-state", name, state_name, revision, 0, id);
    struct ck_apply_args args = {.group = CLI_FLEET_GROUP,
                                 .change_id = id,
                                 .expected_revision = revision,
                                 .check_revision = true};
    args.change.kind = CK_CHANGE_CUSTOMER_STATE;
    args.change.ck_change_u.customer_state.customer = (char *)(uintptr_t)name;
    args.change.ck_change_u.customer_state.state = state;
    args.change.ck_change_u.customer_state.report = "";
    int outcome = cli_client_apply(client, &args, &result);
    code = cli_report_outcome(name, outcome, result.outcome, result.message);
    if (code == CLI_EXIT_OK) {
        (void)printf("customer %s: %s accepted (revision %" PRIu64 ")\n", name,
                     state_name, (uint64_t)result.revision);
    }
    if (outcome == 0) {
        codec_free((xdrproc_t)xdr_ck_apply_result, &result);
    }
    return code;
}

// Polls until the customer is closed, and prints each state once.
static int
customer_wait_closed(struct cli_client *client, const char *name)
{
    struct timespec pause = {.tv_sec = CUSTOMER_POLL_INTERVAL_S};
    char last[32] = "";

    for (;;) {
        struct json_object *row = NULL;
        int code = cli_fetch_object(client, CK_QUERY_CUSTOMERS, name, &row);
        if (code != CLI_EXIT_OK) {
            return code;
        }
        const char *state = cli_get_text(row, "state");
        if (strcmp(state, last) != 0) {
            (void)printf("customer %s: %s\n", name, state);
            (void)fflush(stdout);
            (void)snprintf(last, sizeof(last), "%s", state);
        }
        json_object_put(row);
        if (strcmp(last, "closed") == 0) {
            return CLI_EXIT_OK;
        }
        nanosleep(&pause, NULL);
    }
}

// Begins the graceful shutdown of a customer, unless it has begun.
static int
customer_shutdown(struct cli_client *client, const char *name, bool wait)
{
    struct json_object *row = NULL;
    int code = cli_fetch_object(client, CK_QUERY_CUSTOMERS, name, &row);
    bool open =
        code == CLI_EXIT_OK && strcmp(cli_get_text(row, "state"), "open") == 0;

    json_object_put(row);
    if (code != CLI_EXIT_OK) {
        return code;
    }
    if (open) {
        code = customer_request_state(client, name, CK_CUSTOMER_DRAINING,
                                      "draining");
    }
    else {
        (void)printf("customer %s: its shutdown has begun before\n", name);
    }
    return code == CLI_EXIT_OK && wait ? customer_wait_closed(client, name)
                                       : code;
}

static int
customer_run_action(const struct cli_options *options, const char *action,
                    const char *name, bool wait)
{
    struct cli_client *client = NULL;
    int code = cli_client_open(options, &client);

    if (code == CLI_EXIT_OK) {
        code = strcmp(action, "show") == 0
                   ? cli_show_document(client, CK_QUERY_CUSTOMERS, name)
                   : customer_shutdown(client, name, wait);
    }
    cli_client_close(client);
    return code;
}

static int
cli_run_customer(const struct cli_options *options, int argc, char **argv)
{
    const char *action = argc < 2 ? "list" : argv[1];
    bool wait = argc == 4 && strcmp(argv[3], "--wait") == 0;

    if (argc <= 2 && strcmp(action, "list") == 0) {
        return cli_list_objects(options, CK_QUERY_CUSTOMERS, customer_columns,
                                ARRAY_SIZE(customer_columns));
    }
    if (argc == 3 && strcmp(action, "show") == 0) {
        return customer_run_action(options, action, argv[2], false);
    }
    if ((argc == 3 || wait) && strcmp(action, "shutdown") == 0) {
        return customer_run_action(options, action, argv[2], wait);
    }
    return cli_fail_usage(argv[0], "expected list, show NAME, or "
                                   "shutdown NAME [--wait]");
}

const struct cli_verb cli_verb_customer = {
    .name = "customer",
    .args = "[list | show NAME | shutdown NAME [--wait]]",
    .help = "list or show customers, or shut one down without cutting a "
            "request",
    .run = cli_run_customer,
};
