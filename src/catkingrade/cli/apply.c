#include <argp.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "catkingrade/cli/cli.h"
#include "catkingrade/cli/client.h"
#include "catkingrade/cli/manifest.h"
#include "catkingrade/cli/objects.h"
#include "catkingrade/cli/output.h"
#include "catkingrade/kernel/memory.h"
#include "catkingrade/kernel/outcome.h"
#include "catkingrade/rpc/codec.h"

// The verbs plan and apply: bring the templates and customers of the control
// groups to the state that the manifests of a folder declare. plan sends the
// same changes as apply, as a dry run.

// Limit of attempts, each under another change id; see
// apply_send_until_effective().
#define APPLY_MAX_REPLAYS 8

struct apply_run {
    struct cli_client *client;
    const char *group; // control group that the manifests are applied to
    bool dry_run;
    struct json_object *report; // rows printed by --json; NULL without it
    struct manifest_list list;
    size_t changes; // accepted, or planned by a dry run
};

static const char *
manifest_get_kind(const struct manifest *manifest)
{
    return manifest->is_customer ? "customer" : "template";
}

// Prints the result for one manifest, or adds it to the JSON report. A
// revision of 0 is not printed.
static void
apply_report(struct apply_run *run, const struct manifest *manifest,
             const char *state, uint64_t revision, const char *text)
{
    if (run->report == NULL) {
        (void)printf("%s %s: %s", manifest_get_kind(manifest), manifest->name,
                     state);
        if (strcmp(run->group, CLI_FLEET_GROUP) != 0) {
            (void)printf(" in control group %s", run->group);
        }
        if (revision > 0) {
            (void)printf(" (revision %" PRIu64 ")", revision);
        }
        (void)printf("\n%s%s", text,
                     text[0] == '\0' || text[strlen(text) - 1] == '\n' ? ""
                                                                       : "\n");
        return;
    }
    struct json_object *row = json_object_new_object();
    json_object_object_add(
        row, "kind", json_object_new_string(manifest_get_kind(manifest)));
    json_object_object_add(row, "name",
                           json_object_new_string(manifest->name));
    json_object_object_add(row, "group", json_object_new_string(run->group));
    json_object_object_add(row, "state", json_object_new_string(state));
    json_object_object_add(row, "revision", json_object_new_uint64(revision));
    json_object_object_add(row, "text", json_object_new_string(text));
    json_object_array_add(run->report, row);
}

// Fetches the current revision of an object; 0 if the object does not exist.
// unchanged is set if the stored document equals the manifest's. Returns the
// exit code.
static int
apply_fetch_revision(struct apply_run *run, const struct manifest *manifest,
                     uint64_t *revision, bool *unchanged)
{
    struct json_object *rows = json_object_new_array();
    enum ck_query_kind kind =
        manifest->is_customer ? CK_QUERY_CUSTOMERS : CK_QUERY_TEMPLATES;
    int code = cli_client_query_all(run->client, kind, run->group,
                                    manifest->name, rows);

    *revision = 0;
    *unchanged = false;
    if (code == CLI_EXIT_OK && json_object_array_length(rows) > 0) {
        struct json_object *row = json_object_array_get_idx(rows, 0);
        struct json_object *number = NULL;
        json_object_object_get_ex(row, "revision", &number);
        *revision = json_object_get_uint64(number);
        *unchanged =
            strcmp(cli_get_text(row, "text"), manifest->document) == 0;
    }
    json_object_put(rows);
    return code;
}

// Sends a manifest as a change that expects the given revision of the object.
// Changes with the same content, expected revision and salt have the same
// change id. A dry run has no change id, so the group keeps no record of it.
static int
apply_send(struct apply_run *run, const struct manifest *manifest,
           uint64_t expected_revision, uint64_t salt,
           struct ck_apply_result *result)
{
    char id[CK_NAME_SIZE + 1];
    struct ck_apply_args args = {.group = (char *)(uintptr_t)run->group,
                                 .change_id = id,
                                 .expected_revision = expected_revision,
                                 .check_revision = true,
                                 .dry_run = run->dry_run};

    cli_build_change_id(manifest_get_kind(manifest), manifest->name,
                        manifest->document, expected_revision, salt, id);
    if (run->dry_run) {
        id[0] = '\0';
    }
    args.change.kind =
        manifest->is_customer ? CK_CHANGE_CUSTOMER : CK_CHANGE_TEMPLATE;
    args.change.ck_change_u.document.name = manifest->name;
    args.change.ck_change_u.document.document = manifest->document;
    return cli_client_apply(run->client, &args, result);
}

// Returns whether the control group refused a customer in a dry run, possibly
// because the customer's template is part of the same plan and not yet
// applied. Such a customer can only be checked once its template has been
// applied.
static bool
apply_needs_planned_template(const struct apply_run *run,
                             const struct manifest *manifest,
                             const struct ck_apply_result *result)
{
    if (!run->dry_run || !manifest->is_customer ||
        result->outcome == OUTCOME_OK) {
        return false;
    }
    struct json_object *root = json_tokener_parse(manifest->document);
    bool planned = false;
    for (size_t i = 0; i < run->list.count; i++) {
        const struct manifest *other = &run->list.items[i];
        planned = planned ||
                  (!other->is_customer &&
                   strcmp(other->name, cli_get_text(root, "template")) == 0);
    }
    json_object_put(root);
    return planned && run->changes > 0;
}

// Sends a change until it takes effect. A replayed result (recorded earlier
// for the same change id) does not prove that the object still exists: it may
// have been deleted since. In this case the change is sent under another
// change id, derived from the replayed revision so that a repeated command
// uses the same ids. Returns the outcome of the call, or OUTCOME_UNKNOWN after
// APPLY_MAX_REPLAYS attempts.
static int
apply_send_until_effective(struct apply_run *run,
                           const struct manifest *manifest,
                           uint64_t expected_revision,
                           struct ck_apply_result *result)
{
    uint64_t salt = 0;

    for (int i = 0; i < APPLY_MAX_REPLAYS; i++) {
        uint64_t revision = 0;
        bool unchanged = false;
        int outcome =
            apply_send(run, manifest, expected_revision, salt, result);
        if (outcome != OUTCOME_OK || run->dry_run || !result->replayed) {
            return outcome;
        }
        if (apply_fetch_revision(run, manifest, &revision, &unchanged) !=
                CLI_EXIT_OK ||
            unchanged || revision != expected_revision) {
            return outcome;
        }
        salt = result->revision;
        codec_free((xdrproc_t)xdr_ck_apply_result, result);
    }
    return OUTCOME_UNKNOWN;
}

// Returns the description of a dry run's effect in readable form.
static const char *
apply_get_dry_run_text(const struct ck_apply_result *result)
{
    return strncmp(result->message, "no change", 9) == 0
               ? "  no customer is changed by it\n"
               : result->message;
}

// Applies one manifest to the control group, or plans it. Returns the exit
// code.
static int
apply_manifest(struct apply_run *run, const struct manifest *manifest)
{
    struct ck_apply_result result = {0};
    uint64_t revision = 0;
    bool unchanged = false;
    int code = apply_fetch_revision(run, manifest, &revision, &unchanged);

    if (code != CLI_EXIT_OK) {
        return code;
    }
    if (unchanged) {
        apply_report(run, manifest, "unchanged", revision, "");
        return CLI_EXIT_OK;
    }
    int outcome = apply_send_until_effective(run, manifest, revision, &result);
    if (outcome == OUTCOME_OK &&
        apply_needs_planned_template(run, manifest, &result)) {
        apply_report(run, manifest,
                     revision == 0 ? "would be created" : "would change", 0,
                     "  its template changes in this plan; the customer is "
                     "checked when applied\n");
        codec_free((xdrproc_t)xdr_ck_apply_result, &result);
        run->changes++;
        return CLI_EXIT_OK;
    }
    code = cli_report_outcome(manifest->path, outcome, result.outcome,
                              result.message);
    if (code == CLI_EXIT_OK) {
        const char *state =
            run->dry_run ? revision == 0 ? "would be created" : "would change"
            : result.replayed ? "accepted before"
                              : "accepted";
        apply_report(run, manifest, state, run->dry_run ? 0 : result.revision,
                     run->dry_run ? apply_get_dry_run_text(&result) : "");
        run->changes++;
    }
    if (outcome == OUTCOME_OK) {
        codec_free((xdrproc_t)xdr_ck_apply_result, &result);
    }
    return code;
}

static error_t
apply_parse_option(int key, char *arg, struct argp_state *state)
{
    const char **dir = state->input;

    switch (key) {
    case 'f':
    case ARGP_KEY_ARG:
        *dir = arg;
        return 0;
    case ARGP_KEY_END:
        if (*dir == NULL) {
            argp_error(state, "-f DIR is missing: the folder of templates "
                              "and customers");
        }
        return 0;
    default:
        return ARGP_ERR_UNKNOWN;
    }
}

static const struct argp_option apply_option_rows[] = {
    {"filename", 'f', "DIR", 0, "Folder of templates and customers", 0},
    {0},
};

static const struct argp apply_argp = {
    .options = apply_option_rows,
    .parser = apply_parse_option,
    .args_doc = "-f DIR",
    .doc = "Applies the templates and customers declared in a folder.",
};

// Returns whether a JSON text contains the name of a control group as a
// string.
static bool
apply_text_names_group(const char *document, const char *group)
{
    char quoted[CK_NAME_SIZE + 3];

    (void)snprintf(quoted, sizeof(quoted), "\"%s\"", group);
    return strstr(document, quoted) != NULL;
}

// Returns whether the document of a customer, or that of its template, names
// the control group. The group then coordinates a database of the customer.
static bool
apply_customer_belongs_to_group(const struct apply_run *run,
                                const struct manifest *customer,
                                const char *group)
{
    struct json_object *root = json_tokener_parse(customer->document);
    bool belongs = apply_text_names_group(customer->document, group);

    for (size_t i = 0; i < run->list.count; i++) {
        const struct manifest *other = &run->list.items[i];
        belongs = belongs ||
                  (!other->is_customer &&
                   strcmp(other->name, cli_get_text(root, "template")) == 0 &&
                   apply_text_names_group(other->document, group));
    }
    json_object_put(root);
    return belongs;
}

// Returns whether a customer that belongs to the group uses the template.
static bool
apply_template_belongs_to_group(const struct apply_run *run,
                                const struct manifest *manifest,
                                const char *group)
{
    bool belongs = false;

    for (size_t i = 0; i < run->list.count; i++) {
        const struct manifest *customer = &run->list.items[i];
        if (!customer->is_customer ||
            !apply_customer_belongs_to_group(run, customer, group)) {
            continue;
        }
        struct json_object *root = json_tokener_parse(customer->document);
        belongs = belongs ||
                  strcmp(manifest->name, cli_get_text(root, "template")) == 0;
        json_object_put(root);
    }
    return belongs;
}

// Returns whether a control group stores the object. The fleet group stores
// all objects. The group of a failure domain stores the customers whose
// databases it coordinates, and their templates.
static bool
apply_manifest_belongs_to_group(const struct apply_run *run,
                                const struct manifest *manifest,
                                const char *group)
{
    if (strcmp(group, CLI_FLEET_GROUP) == 0) {
        return true;
    }
    return manifest->is_customer
               ? apply_customer_belongs_to_group(run, manifest, group)
               : apply_template_belongs_to_group(run, manifest, group);
}

// Applies the manifests of one control group. Stops at the first failure.
static int
apply_to_group(struct apply_run *run, const char *group)
{
    int code = CLI_EXIT_OK;

    run->group = group;
    for (size_t i = 0; i < run->list.count && code == CLI_EXIT_OK; i++) {
        if (apply_manifest_belongs_to_group(run, &run->list.items[i], group)) {
            code = apply_manifest(run, &run->list.items[i]);
        }
    }
    return code;
}

// Applies the manifests to all control groups, the fleet group first. A change
// that the fleet group refuses is sent to no other group.
static int
apply_to_all_groups(struct apply_run *run)
{
    struct json_object *groups = json_object_new_array();
    int code = CLI_EXIT_OK;

    cli_fetch_groups(run->client, groups);
    size_t count = json_object_array_length(groups);
    for (size_t i = 0; i < count && code == CLI_EXIT_OK; i++) {
        code = apply_to_group(
            run, json_object_get_string(json_object_array_get_idx(groups, i)));
    }
    json_object_put(groups);
    return code;
}

// Runs plan or apply. Templates come before the customers that need them; the
// first failed change ends the run. Returns the exit code.
static int
cli_run_plan_or_apply(const struct cli_options *options, int argc, char **argv,
                      bool dry_run)
{
    struct apply_run run = {.dry_run = dry_run};
    const char *dir = NULL;

    argp_parse(&apply_argp, argc, argv, 0, NULL, &dir);
    int code = manifest_list_read(dir, &run.list);
    if (code == CLI_EXIT_OK) {
        code = cli_client_open(options, &run.client);
    }
    if (options->json) {
        run.report = json_object_new_array();
    }
    if (code == CLI_EXIT_OK) {
        code = apply_to_all_groups(&run);
    }
    if (run.report != NULL) {
        cli_print_json(run.report);
        json_object_put(run.report);
    }
    cli_client_close(run.client);
    manifest_list_free(&run.list);
    if (code == CLI_EXIT_OK && dry_run && run.changes > 0) {
        return CLI_EXIT_WOULD_CHANGE;
    }
    return code;
}

static int
cli_run_apply(const struct cli_options *options, int argc, char **argv)
{
    return cli_run_plan_or_apply(options, argc, argv, false);
}

static int
cli_run_plan(const struct cli_options *options, int argc, char **argv)
{
    return cli_run_plan_or_apply(options, argc, argv, true);
}

const struct cli_verb cli_verb_apply = {
    .name = "apply",
    .args = "-f DIR",
    .help = "apply the templates and customers declared in a folder",
    .run = cli_run_apply,
};

const struct cli_verb cli_verb_plan = {
    .name = "plan",
    .args = "-f DIR",
    .help = "show what apply would change; exit code 2 if there are changes",
    .run = cli_run_plan,
};
