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

#define APPLY_MAX_REPLAYS 8

// One run of plan or apply.
struct apply_run {
    struct cli_client *client;
    const char *group; // that the declarations are applied to now
    bool dry_run;
    struct json_object *report; // of --json, or NULL
    struct manifest_list list;
    size_t changes;
};

static const char *
manifest_get_kind(const struct declaration *declaration)
{
    return declaration->is_customer ? "customer" : "template";
}

static void
apply_report(struct apply_run *run, const struct declaration *declaration,
             const char *state, uint64_t revision, const char *text)
{
    if (run->report == NULL) {
        (void)printf("%s %s: %s", manifest_get_kind(declaration),
                     declaration->name, state);
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
        row, "kind", json_object_new_string(manifest_get_kind(declaration)));
    json_object_object_add(row, "name",
                           json_object_new_string(declaration->name));
    json_object_object_add(row, "group", json_object_new_string(run->group));
    json_object_object_add(row, "state", json_object_new_string(state));
    json_object_object_add(row, "revision", json_object_new_uint64(revision));
    json_object_object_add(row, "text", json_object_new_string(text));
    json_object_array_add(run->report, row);
}

// Fetches the object as it stands. Its revision is 0 when there is none.
static int
apply_fetch_revision(struct apply_run *run,
                     const struct declaration *declaration, uint64_t *revision,
                     bool *same)
{
    struct json_object *rows = json_object_new_array();
    enum ck_query_kind kind =
        declaration->is_customer ? CK_QUERY_CUSTOMERS : CK_QUERY_TEMPLATES;
    int code = cli_client_query_all(run->client, kind, run->group,
                                    declaration->name, rows);

    *revision = 0;
    *same = false;
    if (code == CLI_EXIT_OK && json_object_array_length(rows) > 0) {
        struct json_object *row = json_object_array_get_idx(rows, 0);
        struct json_object *number = NULL;
        json_object_object_get_ex(row, "revision", &number);
        *revision = json_object_get_uint64(number);
        *same = strcmp(cli_get_text(row, "text"), declaration->document) == 0;
    }
    json_object_put(rows);
    return code;
}

static int
apply_send(struct apply_run *run, const struct declaration *declaration,
           uint64_t expected_revision, uint64_t salt,
           struct ck_apply_result *result)
{
    char id[CK_NAME_SIZE + 1];
    struct ck_apply_args args = {.group = (char *)(uintptr_t)run->group,
                                 .change_id = id,
                                 .expected_revision = expected_revision,
                                 .check_revision = true,
                                 .dry_run = run->dry_run};

    cli_build_change_id(manifest_get_kind(declaration), declaration->name,
                        declaration->document, expected_revision, salt, id);
    if (run->dry_run) {
        id[0] = '\0';
    }
    args.change.kind =
        declaration->is_customer ? CK_CHANGE_CUSTOMER : CK_CHANGE_TEMPLATE;
    args.change.ck_change_u.document.name = declaration->name;
    args.change.ck_change_u.document.document = declaration->document;
    return cli_client_apply(run->client, &args, result);
}

// Returns whether the plan creates the template that a customer names; such
// a customer can't be judged before.
static bool
apply_needs_planned_template(const struct apply_run *run,
                             const struct declaration *declaration,
                             const struct ck_apply_result *result)
{
    if (!run->dry_run || !declaration->is_customer ||
        result->outcome == OUTCOME_OK) {
        return false;
    }
    struct json_object *root = json_tokener_parse(declaration->document);
    bool planned = false;
    for (size_t i = 0; i < run->list.count; i++) {
        const struct declaration *other = &run->list.items[i];
        planned = planned ||
                  (!other->is_customer &&
                   strcmp(other->name, cli_get_text(root, "template")) == 0);
    }
    json_object_put(root);
    return planned && run->changes > 0;
}

// An answer that was given before does not mean that the object stands so
// now: it may have been removed since. Then the change is made again under
// another id, which is the same at each repeat.
static int
apply_send_until_effective(struct apply_run *run,
                           const struct declaration *declaration,
                           uint64_t expected_revision,
                           struct ck_apply_result *result)
{
    uint64_t salt = 0;

    for (int i = 0; i < APPLY_MAX_REPLAYS; i++) {
        uint64_t revision = 0;
        bool same = false;
        int outcome =
            apply_send(run, declaration, expected_revision, salt, result);
        if (outcome != OUTCOME_OK || run->dry_run || !result->replayed) {
            return outcome;
        }
        if (apply_fetch_revision(run, declaration, &revision, &same) !=
                CLI_EXIT_OK ||
            same || revision != expected_revision) {
            return outcome;
        }
        salt = result->revision;
        codec_free((xdrproc_t)xdr_ck_apply_result, result);
    }
    return OUTCOME_UNKNOWN;
}

// Returns the lines of a dry run, for people.
static const char *
apply_get_dry_run_text(const struct ck_apply_result *result)
{
    return strncmp(result->message, "no change", 9) == 0
               ? "  no customer is changed by it\n"
               : result->message;
}

static int
apply_manifest(struct apply_run *run, const struct declaration *declaration)
{
    struct ck_apply_result result = {0};
    uint64_t revision = 0;
    bool same = false;
    int code = apply_fetch_revision(run, declaration, &revision, &same);

    if (code != CLI_EXIT_OK) {
        return code;
    }
    if (same) {
        apply_report(run, declaration, "unchanged", revision, "");
        return CLI_EXIT_OK;
    }
    int outcome =
        apply_send_until_effective(run, declaration, revision, &result);
    if (outcome == OUTCOME_OK &&
        apply_needs_planned_template(run, declaration, &result)) {
        apply_report(run, declaration,
                     revision == 0 ? "would be created" : "would change", 0,
                     "  its template changes in this plan; it is checked "
                     "when applied\n");
        codec_free((xdrproc_t)xdr_ck_apply_result, &result);
        run->changes++;
        return CLI_EXIT_OK;
    }
    code = cli_report_outcome(declaration->path, outcome, result.outcome,
                              result.message);
    if (code == CLI_EXIT_OK) {
        const char *state =
            run->dry_run ? revision == 0 ? "would be created" : "would change"
            : result.replayed ? "accepted before"
                              : "accepted";
        apply_report(run, declaration, state,
                     run->dry_run ? 0 : result.revision,
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
    .doc = "Brings templates and customers to what a folder declares.",
};

// Returns whether a text names a control group as a JSON string.
static bool
apply_text_names_group(const char *document, const char *group)
{
    char quoted[CK_NAME_SIZE + 3];

    (void)snprintf(quoted, sizeof(quoted), "\"%s\"", group);
    return strstr(document, quoted) != NULL;
}

// Returns whether the group decides a database of the customer, as far as the
// customer's document or that of its template says.
static bool
apply_customer_belongs_to_group(const struct apply_run *run,
                                const struct declaration *customer,
                                const char *group)
{
    struct json_object *root = json_tokener_parse(customer->document);
    bool concerns = apply_text_names_group(customer->document, group);

    for (size_t i = 0; i < run->list.count; i++) {
        const struct declaration *other = &run->list.items[i];
        concerns = concerns ||
                   (!other->is_customer &&
                    strcmp(other->name, cli_get_text(root, "template")) == 0 &&
                    apply_text_names_group(other->document, group));
    }
    json_object_put(root);
    return concerns;
}

// Returns whether a template is that of a customer which concerns the group.
static bool
apply_template_belongs_to_group(const struct apply_run *run,
                                const struct declaration *declaration,
                                const char *group)
{
    bool concerns = false;

    for (size_t i = 0; i < run->list.count; i++) {
        const struct declaration *customer = &run->list.items[i];
        if (!customer->is_customer ||
            !apply_customer_belongs_to_group(run, customer, group)) {
            continue;
        }
        struct json_object *root = json_tokener_parse(customer->document);
        concerns = concerns || strcmp(declaration->name,
                                      cli_get_text(root, "template")) == 0;
        json_object_put(root);
    }
    return concerns;
}

// The fleet group holds everything; the group of a failure domain holds the
// customers whose databases it decides, and their templates.
static bool
apply_manifest_belongs_to_group(const struct apply_run *run,
                                const struct declaration *declaration,
                                const char *group)
{
    if (strcmp(group, CLI_FLEET_GROUP) == 0) {
        return true;
    }
    return declaration->is_customer
               ? apply_customer_belongs_to_group(run, declaration, group)
               : apply_template_belongs_to_group(run, declaration, group);
}

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

// Applies to the fleet group first: what it refuses goes nowhere.
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

// Runs plan or apply: templates before the customers that need them. The
// first change that fails ends the run.
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
    .help = "bring templates and customers to what a folder declares",
    .run = cli_run_apply,
};

const struct cli_verb cli_verb_plan = {
    .name = "plan",
    .args = "-f DIR",
    .help = "show what apply would change; exit code 2 when it would",
    .run = cli_run_plan,
};
