#include <argp.h>
#include <stdio.h>
#include <stdlib.h>

const char *argp_program_version = "catkingrade " CATKINGRADE_VERSION;

static const struct argp main_argp = {
    .args_doc = "VERB [ARGUMENT...]",
    .doc = "The operators' command of catkingrade.",
};

int
main(int argc, char **argv)
{
    argp_parse(&main_argp, argc, argv, ARGP_IN_ORDER, NULL, NULL);
    return EXIT_SUCCESS;
}
