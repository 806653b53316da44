#include <check.h>
#include <string.h>

#include "catkingrade/decide/group/document.h"
#include "catkingrade/kernel/memory.h"
#include "catkingrade/kernel/outcome.h"
#include "test/fake/changes.h"
#include "test/suite.h"

static const char valid_customer[] =
    "{\"customer\": \"pootafdruk\", // with a comment\n"
    " \"template\": \"roster\",\n"
    " \"parameters\": {\"max_age_ms\": 1500,\n"
    "  \"databases\": [{\"name\": \"roster1\", \"group\": \"noord\"},\n"
    "                {\"name\": \"roster2\"}]}}";

static const char *
text_of(struct buffer *buffer)
{
    buffer_append_u8(buffer, 0);
    return (const char *)buffer_get_data(buffer);
}

START_TEST(test_expand)
{
    struct document_customer customer;
    struct buffer errors = {0};

    ck_assert_int_eq(
        document_check_template("roster", CHANGES_TEMPLATE_ROSTER, &errors),
        OUTCOME_OK);
    ck_assert_int_eq(document_expand("pootafdruk", valid_customer,
                                     CHANGES_TEMPLATE_ROSTER, &customer,
                                     &errors),
                     OUTCOME_OK);
    ck_assert_uint_eq(customer.customer.max_age_ms, 1500);
    ck_assert_uint_eq(customer.customer.confirm, 1);
    ck_assert_uint_eq(customer.customer.databases.databases_len, 2);
    ck_assert_str_eq(customer.groups[0], "noord");
    ck_assert_str_eq(customer.groups[1], "fleet");
    ck_assert_str_eq(customer.customer.types.types_val[0].name, "booking");
    ck_assert_uint_eq(customer.customer.types.types_val[0].weight, 3);
    ck_assert_uint_eq(customer.customer.types.types_val[0].deadline_ms, 5000);
    document_customer_clear(&customer);
    buffer_free(&errors);
}
END_TEST

struct fault {
    const char *document;
    const char *error;
};

static const struct fault customer_faults[] = {
    {"{\"customer\": \"pootafdruk\", \"template\": \"roster\",\n"
     "\"parameters\": {\"max_age_ms\": 70000, \"databases\": []}}",
     "customer pootafdruk:2: parameters.max_age_ms: 70000 is out of range; "
     "allowed are 0 to 60000"},
    {"{\"customer\": \"pootafdruk\", \"template\": \"roster\",\n"
     "\"parameters\": {\"max_age\": 7, \"databases\": []}}",
     "customer pootafdruk:2: parameters.max_age: the template has no such "
     "parameter"},
    {"{\"customer\": \"pootafdruk\", \"template\": \"roster\"}",
     "parameters.databases: missing; the template needs a list here"},
    {"{\"customer\": \"other\", \"template\": \"roster\",\n"
     "\"parameters\": {\"databases\": []}}",
     "customer pootafdruk:1: customer: is \"other\", must be \"pootafdruk\""},
    {"{\"customer\": \"pootafdruk\", \"template\": \"roster\",\n"
     "\"parameters\": {\"databases\": []}}",
     "customer.databases: must list at least one database"},
    {"{\"customer\": \"pootafdruk\", \"template\": \"roster\",\n"
     "\"parameters\": {\"databases\": [{\"name\": \"a b\"}]}}",
     "customer.databases[0].name: \"a b\" is no name"},
    {"{\"customer\": \"pootafdruk\", \"template\": \"roster\",\n"
     "\"parameters\": {\"databases\": [{\"name\": \"a\"}, "
     "{\"name\": \"a\"}]}}",
     "customer.databases: \"a\" is listed twice"},
    {"{\"customer\": \"pootafdruk\", \"template\": \"roster\",\n"
     "\"parameters\": {\"databases\": [{\"name\": \"a\"}], "
     "\"promotion\": \"now\"}}",
     "parameters.promotion: \"now\" is not one of wait, operator"},
    {"{\"customer\": \"pootafdruk\", \"template\": \"roster\",\n"
     "\"confirm\": 1, \"parameters\": {\"databases\": [{\"name\": \"a\"}]}}",
     "confirm: unknown key"},
};

START_TEST(test_customer_fault)
{
    const struct fault *fault = &customer_faults[_i];
    struct document_customer customer;
    struct buffer errors = {0};

    ck_assert_int_eq(document_expand("pootafdruk", fault->document,
                                     CHANGES_TEMPLATE_ROSTER, &customer,
                                     &errors),
                     OUTCOME_INVALID);
    const char *text = text_of(&errors);
    ck_assert_msg(strstr(text, fault->error) != NULL, "wanted %s, got %s",
                  fault->error, text);
    buffer_free(&errors);
}
END_TEST

static const struct fault template_faults[] = {
    {"{\"template\": \"t\", \"customer\": {\"max_age_ms\": \"${age}\"}}",
     "customer.max_age_ms: \"${age}\" names no parameter"},
    {"{\"template\": \"t\", \"customer\": {\"max_age\": 1}}",
     "customer.max_age: unknown key"},
    {"{\"template\": \"t\", \"customer\": {\"confirm\": 99}}",
     "customer.confirm: 99 is out of range; allowed are 0 to 15"},
    {"{\"template\": \"t\", \"parameters\": {\"a\": {\"type\": \"date\"}},\n"
     "\"customer\": {}}",
     "parameters.a.type: \"date\" is not one of text, number"},
    {"{\"template\": \"t\", \"parameters\": {\"a\": {\"type\": \"number\",\n"
     "\"max\": 5, \"default\": 9}}, \"customer\": {}}",
     "parameters.a.default: 9 is out of range; allowed are 0 to 5"},
    {"{\"template\": \"t\"}", "customer: missing; must be an object"},
    {"{\"template\": \"u\", \"customer\": {}}",
     "template: is \"u\", must be \"t\""},
    {"{\"template\": ", "template t:1: "},
};

START_TEST(test_template_fault)
{
    const struct fault *fault = &template_faults[_i];
    struct buffer errors = {0};

    ck_assert_int_eq(document_check_template("t", fault->document, &errors),
                     OUTCOME_INVALID);
    const char *text = text_of(&errors);
    ck_assert_msg(strstr(text, fault->error) != NULL, "wanted %s, got %s",
                  fault->error, text);
    buffer_free(&errors);
}
END_TEST

static void
add_tests(TCase *tests)
{
    tcase_add_test(tests, test_expand);
    tcase_add_loop_test(tests, test_customer_fault, 0,
                        ARRAY_SIZE(customer_faults));
    tcase_add_loop_test(tests, test_template_fault, 0,
                        ARRAY_SIZE(template_faults));
}

TEST_MAIN("document", add_tests)
