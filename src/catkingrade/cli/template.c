#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "catkingrade/cli/cli.h"
#include "catkingrade/cli/client.h"
#include "catkingrade/cli/objects.h"
#include "catkingrade/kernel/memory.h"
#include "catkingrade/rpc/codec.h"

static const struct cli_column template_columns[] = {
    {"TEMPLATE", "template"},
    {"REVISION", "revision"},
};

// Deletes a template that no customer uses.
static int
template_delete(struct cli_client *client, const char *name)
{
    char id[CK_NAME_SIZE + 1];
    struct ck_apply_result result;
    uint64_t revision = 0;
    int code = cli_fetch_revision(client, CK_QUERY_TEMPLATES, name, &revision);

    if (code != CLI_EXIT_OK) {
        return code;
    }
    cli_build_change_id("template-delete", name, "", revision, 0, id);
    struct ck_apply_args args = {.group = CLI_FLEET_GROUP,
                                 .change_id = id,
                                 .expected_revision = revision,
                                 .check_revision = true};
    args.change.kind = CK_CHANGE_TEMPLATE_DELETE;
    args.change.ck_change_u.template_name = (char *)(uintptr_t)name;
    int outcome = cli_client_apply(client, &args, &result);
    code = cli_report_outcome(name, outcome, result.outcome, result.message);
    if (code == CLI_EXIT_OK) {
        (void)printf("template %s: deleted (revision %" PRIu64 ")\n", name,
                     (uint64_t)result.revision);
    }
    if (outcome == 0) {
        codec_free((xdrproc_t)xdr_ck_apply_result, &result);
    }
    return code;
}

static int
cli_run_template(const struct cli_options *options, int argc, char **argv)
{
    struct cli_client *client = NULL;
    const char *action = argc < 2 ? "list" : argv[1];
    int code = CLI_EXIT_USAGE;

    if (argc <= 2 && strcmp(action, "list") == 0) {
        return cli_list_objects(options, CK_QUERY_TEMPLATES, template_columns,
                                ARRAY_SIZE(template_columns));
    }
    if (argc != 3 ||
        (strcmp(action, "show") != 0 && strcmp(action, "delete") != 0)) {
        return cli_fail_usage(argv[0], "expected list, show NAME or "
                                       "delete NAME");
    }
    code = cli_client_open(options, &client);
    if (code == CLI_EXIT_OK) {
        code = strcmp(action, "show") == 0
                   ? cli_show_document(client, CK_QUERY_TEMPLATES, argv[2])
                   : template_delete(client, argv[2]);
    }
    cli_client_close(client);
    return code;
}

const struct cli_verb cli_verb_template = {
    .name = "template",
    .args = "[list | show NAME | delete NAME]",
    .help = "list, show or delete templates",
    .run = cli_run_template,
};
