#include <stdlib.h>
#include <string.h>

#include "catkingrade/decide/customer/key_digest.h"
#include "catkingrade/decide/group/declaration.h"
#include "catkingrade/decide/group/declaration_index.h"
#include "catkingrade/kernel/memory.h"
#include "catkingrade/kernel/outcome.h"
#include "catkingrade/rpc/codec.h"
#include "platform/announcement_decode.h"
#include "platform/config_decode.h"
#include "platform/wire_message.h"
#include "test/suite.h"

#define ROUTE                                                                 \
    "{\"name\":\"r-1\",\"host\":\"lepu270\",\"pathPrefix\":\"/\","            \
    "\"routeKind\":\"bounded_staleness\",\"timeoutMs\":1500,"                 \
    "\"targetLatencyMs\":600,\"priority\":2,\"service\":\"huvo11a\","         \
    "\"maxAttempts\":2,\"maxStalenessMs\":1500}"
#define SERVICE                                                               \
    "{\"name\":\"huvo11a\",\"healthPath\":\"/health\",\"maxConns\":30,"       \
    "\"protocol\":\"h1\",\"tls\":false,\"syncReplicas\":1}"
#define CONFIG                                                                \
    "{\"version\":7,\"routes\":[" ROUTE "],\"services\":[" SERVICE            \
    "],\"limits\":{\"txIdleMs\":3000},\"later\":{}}"
// A configuration with this list of customers.
#define CUSTOMERS(list)                                                       \
    "{\"version\":7,\"routes\":[],\"services\":[],\"tenants\":" list "}"
#define ANNOUNCEMENT                                                          \
    "{\"service\":\"huvo11a\",\"addr\":\"10.128.0.9:8080\","                  \
    "\"zone\":\"almaty-a\",\"version\":\"v1\",\"slots\":2,"                   \
    "\"state\":\"ready\",\"coldLeftMs\":0,\"dbRole\":\"replica\",\"seq\":4,"  \
    "\"born\":1785000000000}"

static int
decode(const char *text, size_t size, uint64_t *number,
       struct ck_declaration *declaration)
{
    struct buffer errors = {0};
    int outcome = config_decode(text, size, number, declaration, &errors);

    ck_assert((outcome == OUTCOME_OK) == (buffer_get_size(&errors) == 0));
    buffer_free(&errors);
    return outcome;
}

// Returns the route of a declaration with this name, or NULL.
static const struct ck_route *
find_route(const struct ck_declaration *declaration, const char *name)
{
    struct declaration_index *index = declaration_index_create(declaration);
    const struct ck_route *route = declaration_index_find_route(index, name);

    declaration_index_destroy(index);
    return route;
}

// Guards against members of a configuration that are decoded to a wrong value
// or field, and against unknown members that are refused.
START_TEST(test_config)
{
    struct ck_declaration declaration;
    uint64_t number = 0;

    ck_assert_int_eq(decode(CONFIG, strlen(CONFIG), &number, &declaration),
                     OUTCOME_OK);
    ck_assert_uint_eq(number, 7);
    const struct ck_route *route = find_route(&declaration, "lepu270");
    ck_assert_ptr_nonnull(route);
    ck_assert_int_eq(route->reads, CK_READS_BY_AGE);
    ck_assert_uint_eq(route->max_age_ms, 1500);
    ck_assert_uint_eq(route->deadline_ms, 1500);
    ck_assert_uint_eq(route->priority, 2);
    ck_assert_str_eq(route->database, "huvo11a");
    ck_assert_uint_eq(declaration.databases.databases_val[0].connections, 30);
    ck_assert_uint_eq(declaration.databases.databases_val[0].confirm, 1);
    ck_assert_uint_eq(declaration.idle_transaction_ms, 3000);
    ck_assert_uint_eq(declaration.original.original_len, strlen(CONFIG));
    ck_assert_int_eq(
        memcmp(declaration.original.original_val, CONFIG, strlen(CONFIG)), 0);
    declaration_free(&declaration);
}
END_TEST

// Guards against the acceptance of a truncated configuration, at any length.
START_TEST(test_truncated_config)
{
    struct ck_declaration declaration;
    uint64_t number = 0;

    for (size_t size = 0; size < strlen(CONFIG); size++) {
        ck_assert_int_eq(decode(CONFIG, size, &number, &declaration),
                         OUTCOME_INVALID);
    }
}
END_TEST

// Guards against the acceptance of a configuration with a missing member, a
// wrong type or value, a duplicate name or an undeclared service.
START_TEST(test_invalid_configs)
{
    static const char *const rows[] = {
        "[]",
        "7",
        "{}",
        "{\"version\":\"7\",\"routes\":[],\"services\":[]}",
        "{\"version\":0,\"routes\":[],\"services\":[]}",
        "{\"version\":9007199254740992,\"routes\":[],\"services\":[]}",
        "{\"version\":99999999999999999999,\"routes\":[],\"services\":[]}",
        "{\"version\":1,\"routes\":{},\"services\":[]}",
        "{\"version\":1,\"routes\":[7],\"services\":[]}",
        "{\"version\":1,\"routes\":[" ROUTE "],\"services\":[]}",
        "{\"version\":1,\"routes\":[" ROUTE "," ROUTE
        "],\"services\":[" SERVICE "]}",
        "{\"version\":1,\"routes\":[],\"services\":[" SERVICE "," SERVICE "]}",
        "{\"version\":1,\"routes\":[{\"host\":\"a\",\"routeKind\":\"other\","
        "\"timeoutMs\":1,\"service\":\"huvo11a\"}],\"services\":[" SERVICE
        "]}",
        "{\"version\":1,\"routes\":[{\"host\":\"a\",\"routeKind\":\"primary\","
        "\"timeoutMs\":0,\"service\":\"huvo11a\"}],\"services\":[" SERVICE
        "]}",
        "{\"version\":1,\"routes\":[{\"host\":\"a\",\"routeKind\":\"primary\","
        "\"timeoutMs\":-5,\"service\":\"huvo11a\"}],\"services\":[" SERVICE
        "]}",
        "{\"version\":1,\"routes\":[],\"services\":[]} {}",
        "{\"version\":1,\"routes\":[],\"services\":[],}"};

    for (size_t i = 0; i < sizeof(rows) / sizeof(rows[0]); i++) {
        struct ck_declaration declaration;
        uint64_t number = 0;
        ck_assert_msg(decode(rows[i], strlen(rows[i]), &number,
                             &declaration) == OUTCOME_INVALID,
                      "%s", rows[i]);
    }
}
END_TEST

#define HOST(host, prefix)                                                    \
    "{\"host\":\"" host "\",\"pathPrefix\":\"" prefix                         \
    "\",\"routeKind\":\"primary\",\"timeoutMs\":5,\"service\":\"huvo11a\"}"
#define HOSTS(list)                                                           \
    "{\"version\":7,\"routes\":[" list "],\"services\":[" SERVICE "]}"
#define FORTY "0123456789012345678901234567890123456789"

// Guards against a route that answers to the host of another one, and against
// a refused configuration, because host and prefix together read alike.
START_TEST(test_hosts_and_prefixes)
{
    static const char alike[] =
        HOSTS(HOST("a", "/b") "," HOST("a/b", "/") "," HOST("a", "") "," HOST(
            "a/",
            "b") "," HOST("a",
                          "/" FORTY) "," HOST(FORTY,
                                              "/" FORTY) "," HOST(FORTY,
                                                                  "/1" FORTY));
    static const char single[] = HOSTS(HOST("a", "/b"));
    struct ck_declaration declaration;
    uint64_t number = 0;

    ck_assert_int_eq(decode(alike, strlen(alike), &number, &declaration),
                     OUTCOME_OK);
    const struct ck_route *routes = declaration.routes.routes_val;
    ck_assert_ptr_eq(find_route(&declaration, "a/b"), &routes[1]);
    ck_assert_ptr_eq(find_route(&declaration, "a"), &routes[2]);
    declaration_free(&declaration);
    ck_assert_int_eq(decode(single, strlen(single), &number, &declaration),
                     OUTCOME_OK);
    ck_assert_ptr_null(find_route(&declaration, "a/b"));
    declaration_free(&declaration);
}
END_TEST

struct body {
    const char *text;
    size_t size_bytes;
};

#define BODY(text)                                                            \
    {                                                                         \
        (text), sizeof(text) - 1                                              \
    }

static const struct body unreadable_configs[] = {
    BODY(CONFIG "\0"),
    BODY(CONFIG "\0{}"),
    BODY("\0" CONFIG),
    BODY(CONFIG "x"),
    BODY(CONFIG "\r\n{}"),
    BODY(HOSTS(HOST("a\0b", "/"))),
    BODY(HOSTS(HOST("a\\u0000b", "/"))),
    BODY(HOSTS(HOST("a", "/\\u0000b"))),
    BODY(HOSTS(HOST("a\xff", "/"))),
    BODY(HOSTS(HOST("a\xc0\xaf", "/"))),
    BODY("{\"version\":7,\"routes\":[],\"services\":[{\"name\":\"a\\u0000\"}]"
         "}"),
    BODY("{\"version\":7,\"routes\":[],\"services\":[{\"name\":\"" FORTY FORTY
         "\"}]}"),
    BODY(CUSTOMERS("[{\"name\":\"a\\u0000b\",\"apiKeys\":[]}]")),
};

// Guards against a configuration that is read up to a zero byte only.
START_TEST(test_unreadable_configs)
{
    const struct body *body = &unreadable_configs[_i];
    struct ck_declaration declaration;
    uint64_t number = 0;

    ck_assert_int_eq(
        decode(body->text, body->size_bytes, &number, &declaration),
        OUTCOME_INVALID);
}
END_TEST

// Guards against a configuration of which another part counts than the one
// that most readers of JSON take, and against names that are refused though
// they are merely of no use.
START_TEST(test_odd_configs)
{
    static const char config[] =
        "{\"version\":6,\"version\":7,\"routes\":[" HOST("a b", "/") "," HOST(
            "a\\r\\nb",
            "/") "," HOST("\\u00e9",
                          "/") "],\"services\":[],\"services\":[" SERVICE
                               ",{\"name\":\"x y\"},{\"name\":\"x\\r\\ny\"}]} "
                               "\r\n";
    struct ck_declaration declaration;
    uint64_t number = 0;

    ck_assert_int_eq(decode(config, strlen(config), &number, &declaration),
                     OUTCOME_OK);
    ck_assert_uint_eq(number, 7);
    ck_assert_ptr_nonnull(find_route(&declaration, "a b"));
    ck_assert_ptr_nonnull(find_route(&declaration, "a\r\nb"));
    ck_assert_ptr_nonnull(find_route(&declaration, "\xc3\xa9"));
    ck_assert_uint_eq(declaration.databases.databases_len, 3);
    ck_assert_uint_eq(declaration.original.original_len, strlen(config));
    ck_assert_mem_eq(declaration.original.original_val, config,
                     strlen(config));
    declaration_free(&declaration);
}
END_TEST

// Guards against customers that are decoded to wrong limits or other digests
// than those of their keys, and against a limit where none is given.
START_TEST(test_customers)
{
    static const char config[] =
        CUSTOMERS("[{\"name\":\"t-1\",\"apiKeys\":[\"k-1\",\"k-2\",\"k-1\"],"
                  "\"priority\":2,\"ratePerS\":12.5,\"burst\":30},"
                  "{\"name\":\"t-2\",\"apiKeys\":[]},"
                  "{\"name\":\"t-3\",\"apiKeys\":[\"k-3\"],\"ratePerS\":0}]");
    struct ck_declaration declaration;
    ck_key_digest digest;
    uint64_t number = 0;

    ck_assert_int_eq(decode(config, strlen(config), &number, &declaration),
                     OUTCOME_OK);
    ck_assert_uint_eq(declaration.customers.customers_len, 3);
    const struct ck_declared_customer *customers =
        declaration.customers.customers_val;
    ck_assert_str_eq(customers[0].name, "t-1");
    ck_assert_uint_eq(customers[0].keys.keys_len, 3);
    key_digest_compute("k-2", 3, digest);
    ck_assert_int_eq(
        memcmp(customers[0].keys.keys_val[1], digest, sizeof(digest)), 0);
    ck_assert_uint_eq(customers[0].priority, 2);
    ck_assert(customers[0].is_limited);
    ck_assert_uint_eq(customers[0].rate_per_1000_s, 12500);
    ck_assert_uint_eq(customers[0].burst, 30);
    ck_assert_uint_eq(customers[1].keys.keys_len, 0);
    ck_assert(!customers[1].is_limited);
    ck_assert(customers[2].is_limited);
    ck_assert_uint_eq(customers[2].rate_per_1000_s, 0);
    declaration_free(&declaration);
}
END_TEST

// Guards against an empty list of customers that is taken for a missing one:
// without a list no key is checked, with an empty one none is valid.
START_TEST(test_empty_list_of_customers)
{
    static const char empty[] = CUSTOMERS("[]");
    static const char full[] = CUSTOMERS("[{\"name\":\"a\",\"apiKeys\":[]}]");
    struct ck_declaration declaration;
    uint64_t number = 0;

    ck_assert_int_eq(decode(empty, strlen(empty), &number, &declaration),
                     OUTCOME_OK);
    ck_assert_uint_eq(declaration.customers.customers_len, 0);
    ck_assert(declaration.refuses_keys);
    declaration_free(&declaration);
    ck_assert_int_eq(decode(full, strlen(full), &number, &declaration),
                     OUTCOME_OK);
    ck_assert(!declaration.refuses_keys);
    declaration_free(&declaration);
    ck_assert_int_eq(decode(CONFIG, strlen(CONFIG), &number, &declaration),
                     OUTCOME_OK);
    ck_assert(!declaration.refuses_keys);
    declaration_free(&declaration);
}
END_TEST

// Guards against a public route that needs a key, and the reverse.
START_TEST(test_public_route)
{
    static const char public_config[] =
        "{\"version\":7,\"routes\":[{\"host\":\"a\",\"routeKind\":\"primary\","
        "\"timeoutMs\":5,\"service\":\"huvo11a\",\"public\":true}],"
        "\"services\":[" SERVICE "]}";
    struct ck_declaration declaration;
    uint64_t number = 0;

    ck_assert_int_eq(
        decode(public_config, strlen(public_config), &number, &declaration),
        OUTCOME_OK);
    ck_assert(find_route(&declaration, "a")->is_public);
    declaration_free(&declaration);
    ck_assert_int_eq(decode(CONFIG, strlen(CONFIG), &number, &declaration),
                     OUTCOME_OK);
    ck_assert(!find_route(&declaration, "lepu270")->is_public);
    ck_assert_uint_eq(declaration.customers.customers_len, 0);
    declaration_free(&declaration);
}
END_TEST

static const char *const invalid_customers[] = {
    CUSTOMERS("{}"),
    CUSTOMERS("null"),
    CUSTOMERS("[7]"),
    CUSTOMERS("[{\"name\":\"a\"}]"),
    CUSTOMERS("[{\"apiKeys\":[\"SECRET\"]}]"),
    CUSTOMERS("[{\"name\":7,\"apiKeys\":[\"SECRET\"]}]"),
    CUSTOMERS("[{\"name\":\"\",\"apiKeys\":[\"SECRET\"]}]"),
    CUSTOMERS("[{\"name\":\"a b\",\"apiKeys\":[\"SECRET\"]}]"),
    CUSTOMERS("[{\"name\":\"a\\n\",\"apiKeys\":[\"SECRET\"]}]"),
    CUSTOMERS("[{\"name\":\"a\",\"apiKeys\":\"SECRET\"}]"),
    CUSTOMERS("[{\"name\":\"a\",\"apiKeys\":[7]}]"),
    CUSTOMERS("[{\"name\":\"a\",\"apiKeys\":[\"\"]}]"),
    CUSTOMERS("[{\"name\":\"a\",\"apiKeys\":[\"SECRET two\"]}]"),
    CUSTOMERS("[{\"name\":\"a\",\"apiKeys\":[\"SECRET\\u0000\"]}]"),
    CUSTOMERS("[{\"name\":\"a\",\"apiKeys\":[\"SECRET\"],"
              "\"priority\":\"high\"}]"),
    CUSTOMERS("[{\"name\":\"a\",\"apiKeys\":[],\"ratePerS\":\"1\"}]"),
    CUSTOMERS("[{\"name\":\"a\",\"apiKeys\":[],\"ratePerS\":-1}]"),
    CUSTOMERS("[{\"name\":\"a\",\"apiKeys\":[],\"ratePerS\":1e12}]"),
    CUSTOMERS("[{\"name\":\"a\",\"apiKeys\":[],\"burst\":true}]"),
    CUSTOMERS("[{\"name\":\"a\",\"apiKeys\":[\"SECRET\"]},"
              "{\"name\":\"a\",\"apiKeys\":[\"k\"]}]"),
    CUSTOMERS("[{\"name\":\"a\",\"apiKeys\":[\"k\",\"SECRET\"]},"
              "{\"name\":\"b\",\"apiKeys\":[\"SECRET\"]}]"),
    "{\"version\":7,\"routes\":[{\"host\":\"a\",\"routeKind\":\"primary\","
    "\"timeoutMs\":5,\"service\":\"huvo11a\",\"public\":1}],"
    "\"services\":[" SERVICE "]}"};

// Guards against the acceptance of customers with a wrong type, a duplicate
// name or a key of another customer, and against a key in the error text,
// which is sent and logged.
START_TEST(test_invalid_customers)
{
    const char *config = invalid_customers[_i];
    struct ck_declaration declaration;
    struct buffer errors = {0};
    uint64_t number = 0;

    ck_assert_msg(config_decode(config, strlen(config), &number, &declaration,
                                &errors) == OUTCOME_INVALID,
                  "%s", config);
    ck_assert_uint_gt(buffer_get_size(&errors), 0);
    buffer_append_u8(&errors, 0);
    ck_assert_ptr_null(
        strstr((const char *)buffer_get_data(&errors), "SECRET"));
    buffer_free(&errors);
}
END_TEST

static int
decode_announcement(const char *id, const char *body,
                    struct ck_upstream *upstream)
{
    return announcement_decode(id, body, strlen(body), upstream);
}

// Guards against members of an announcement that are decoded to a wrong value
// or field.
START_TEST(test_announcement)
{
    struct ck_upstream upstream;

    ck_assert_int_eq(decode_announcement("i-7f3a", ANNOUNCEMENT, &upstream),
                     OUTCOME_OK);
    ck_assert_str_eq(upstream.name, "i-7f3a");
    ck_assert_str_eq(upstream.database, "huvo11a");
    ck_assert_str_eq(upstream.failure_domain, "almaty-a");
    ck_assert_str_eq(upstream.host, "10.128.0.9");
    ck_assert_uint_eq(upstream.port, 8080);
    ck_assert_int_eq(upstream.state, CK_UPSTREAM_READY);
    ck_assert_uint_eq(upstream.incarnation, UINT64_C(1785000000000));
    ck_assert_uint_eq(upstream.sequence, 4);
    codec_free((xdrproc_t)xdr_ck_upstream, &upstream);
    ck_assert_int_eq(
        decode_announcement("i-7f3a", ANNOUNCEMENT "\r\n ", &upstream),
        OUTCOME_OK);
    codec_free((xdrproc_t)xdr_ck_upstream, &upstream);
}
END_TEST

#define ODD(addr, slots, seq, born)                                           \
    "{\"service\":\"h\",\"addr\":\"" addr                                     \
    "\",\"zone\":\"a\",\"slots\":" slots ",\"state\":\"ready\",\"seq\":" seq  \
    ",\"born\":" born "}"

// Guards against an upstream that is made from an announcement with a missing
// field or a wrong type or value. A number that is too large must not be taken
// for the largest one: the upstream's own announcements would be older
// forever.
START_TEST(test_invalid_announcements)
{
    static const char *const rows[] = {
        "",
        "\xff\xfe",
        "[]",
        "{\"addr\":\"10.128.0.9:8080\",\"zone\":\"a\",\"slots\":2,"
        "\"state\":\"ready\",\"seq\":4}",
        "{\"service\":7,\"addr\":\"10.128.0.9:8080\",\"zone\":\"a\","
        "\"slots\":2,\"state\":\"ready\",\"seq\":4}",
        "{\"service\":\"h\",\"addr\":\"somewhere\",\"zone\":\"a\","
        "\"slots\":2,\"state\":\"ready\",\"seq\":4}",
        "{\"service\":\"h\",\"addr\":\"10.128.0.9:8080\",\"zone\":\"a\","
        "\"slots\":2,\"state\":\"asleep\",\"seq\":4}",
        "{\"service\":\"h\",\"addr\":\"10.128.0.9:8080\",\"zone\":\"a\","
        "\"slots\":\"2\",\"state\":\"ready\",\"seq\":4}",
        "{\"service\":\"h\",\"addr\":\"10.128.0.9:8080\",\"zone\":\"a\","
        "\"slots\":2,\"state\":\"ready\"}",
        ODD("10.128.0.9:0", "2", "4", "5"),
        ODD("10.128.0.9:65536", "2", "4", "5"),
        ODD("10.128.0.9:99999999999999999999", "2", "4", "5"),
        ODD("10.128.0.9:-1", "2", "4", "5"),
        ODD("10.128.0.9:8080", "99999999999999999999", "4", "5"),
        ODD("10.128.0.9:8080", "2147483648", "4", "5"),
        ODD("10.128.0.9:8080", "2", "99999999999999999999", "5"),
        ODD("10.128.0.9:8080", "2", "9007199254740992", "5"),
        ODD("10.128.0.9:8080", "2", "1e400", "5"),
        ODD("10.128.0.9:8080", "2", "4", "99999999999999999999"),
        ODD("10.128.0.9:8080", "2", "4", "9007199254740992"),
        ODD("10.128.0.9:8080", "2", "4", "1785000000000.5"),
        ODD("10.128.0.9:8080", "2", "4", "\"1785000000000\""),
        ODD("10.128.0.9:8080", "2", "4", "5") "]",
    };

    for (size_t i = 0; i < sizeof(rows) / sizeof(rows[0]); i++) {
        struct ck_upstream upstream;
        ck_assert_msg(decode_announcement("i-1", rows[i], &upstream) ==
                          OUTCOME_INVALID,
                      "%s", rows[i]);
    }
}
END_TEST

#define DEPTH 100000

// Guards against a process that ends because of deeply nested input.
START_TEST(test_deeply_nested_inputs)
{
    char *text = xcalloc(2 * DEPTH + 64, 1);
    struct ck_declaration declaration;
    struct ck_upstream upstream;
    uint64_t number = 0;

    for (int i = 0; i < 2; i++) {
        char *at = text + sprintf(text, "{\"seq\":");
        memset(at, i == 0 ? '[' : '{', DEPTH);
        ck_assert_int_eq(decode_announcement("i-1", text, &upstream),
                         OUTCOME_INVALID);
        ck_assert_int_eq(decode(text, strlen(text), &number, &declaration),
                         OUTCOME_INVALID);
    }
    free(text);
}
END_TEST

#define MUTATIONS 100000

static uint64_t
next_random(uint64_t *state)
{
    *state ^= *state << 13;
    *state ^= *state >> 7;
    *state ^= *state << 17;
    return *state;
}

// Applies one to four random changes to a text: a random byte, a byte that is
// special to a parser, a truncation or a removed byte.
static void
mutate(char *text, size_t *size, uint64_t *random)
{
    for (uint64_t i = next_random(random) % 4 + 1; i > 0 && *size > 0; i--) {
        size_t index = next_random(random) % *size;
        switch (next_random(random) % 4) {
        case 0:
            text[index] = (char)next_random(random);
            break;
        case 1:
            *size = index;
            break;
        case 2:
            text[index] = "{}[]\",:0-9\r\n "[next_random(random) % 13];
            break;
        default:
            memmove(text + index, text + index + 1, *size - index - 1);
            (*size)--;
            break;
        }
    }
}

// Guards against memory errors in the decoders for arbitrary input. They are
// detected by the sanitizers, in builds that have them.
START_TEST(test_mutated_inputs)
{
    static const char *const seeds[] = {
        CONFIG, ANNOUNCEMENT, "QUERY 5c0e AFTER 3.1207 READ 1a4\r\n",
        "STARTUP lepu270 u3f1\r\nREADY T 3.1209\r\nERROR BUSY\r\n"};
    uint64_t random = 20261203;

    for (int i = 0; i < MUTATIONS; i++) {
        char *text = xstrdup(seeds[i % 4]);
        size_t size = strlen(text);
        mutate(text, &size, &random);
        char *copy = xmemdupz(text, size);
        struct ck_declaration declaration;
        struct ck_upstream upstream;
        uint64_t number = 0;
        if (i % 4 == 0 &&
            decode(copy, size, &number, &declaration) == OUTCOME_OK) {
            declaration_free(&declaration);
        }
        else if (i % 4 == 1 && announcement_decode("i-1", copy, size,
                                                   &upstream) == OUTCOME_OK) {
            codec_free((xdrproc_t)xdr_ck_upstream, &upstream);
        }
        else if (i % 4 > 1) {
            struct buffer in = {0};
            struct buffer scratch = {0};
            struct wire_message message;
            struct wire_text arguments;
            buffer_append(&in, copy, size);
            while (wire_message_read(&in, &scratch, &message) ==
                   WIRE_READ_MESSAGE) {
                uint64_t lsn = 0;
                struct wire_text statement = {message.rest,
                                              message.rest_size_bytes};
                (void)wire_statement_parse(statement, &arguments);
                (void)wire_position_parse(message.rest, &lsn);
            }
            buffer_free(&in);
            buffer_free(&scratch);
        }
        free(copy);
        free(text);
    }
}
END_TEST

static void
add_tests(TCase *tests)
{
    tcase_add_test(tests, test_config);
    tcase_add_test(tests, test_truncated_config);
    tcase_add_test(tests, test_invalid_configs);
    tcase_add_test(tests, test_hosts_and_prefixes);
    tcase_add_loop_test(tests, test_unreadable_configs, 0,
                        ARRAY_SIZE(unreadable_configs));
    tcase_add_test(tests, test_odd_configs);
    tcase_add_test(tests, test_customers);
    tcase_add_test(tests, test_empty_list_of_customers);
    tcase_add_test(tests, test_public_route);
    tcase_add_loop_test(tests, test_invalid_customers, 0,
                        ARRAY_SIZE(invalid_customers));
    tcase_add_test(tests, test_announcement);
    tcase_add_test(tests, test_invalid_announcements);
    tcase_add_test(tests, test_deeply_nested_inputs);
    tcase_add_test(tests, test_mutated_inputs);
}

TEST_MAIN("platform_decode", add_tests)
