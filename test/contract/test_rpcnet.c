#include <apr_general.h>
#include <check.h>
#include <netinet/in.h>
#include <pthread.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "catkingrade/kernel/counters.h"
#include "catkingrade/kernel/memory.h"
#include "catkingrade/kernel/outcome.h"
#include "catkingrade/rpc/codec.h"
#include "catkingrade/rpc/rpcnet.h"
#include "test/suite.h"

#define LONG_TIMEOUT_US  20000000
#define SHORT_TIMEOUT_US 60000
#define RETRY_US         10000

struct server {
    struct loop *loop;
    struct rpcnet *rpcnet;
    struct settings_address address;
    pthread_t thread;
    unsigned calls;
    unsigned drop_calls;
};

struct answer {
    struct loop *loop;
    int outcome;
    unsigned count;
    uint64_t revision;
};

static const struct datagram_key key = {"0123456789abcdef", 16};
static const struct datagram_key other_key = {"fedcba9876543210", 16};

static struct settings_address
find_free_address(void)
{
    struct settings_address address = {"127.0.0.1", 0};
    struct sockaddr_in bound = {.sin_family = AF_INET};
    socklen_t length = sizeof(bound);
    int fd = socket(AF_INET, SOCK_DGRAM, 0);

    bound.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    ck_assert_int_eq(bind(fd, (struct sockaddr *)&bound, length), 0);
    getsockname(fd, (struct sockaddr *)&bound, &length);
    address.port = ntohs(bound.sin_port);
    close(fd);
    return address;
}

static void
handle_query(void *data, struct rpcnet_request *request, const void *args)
{
    struct server *server = data;
    const struct ck_query_args *query = args;
    struct ck_query_result result = {0};

    server->calls++;
    if (server->calls <= server->drop_calls) {
        // Simulates a lost reply. A real handler must not free its request
        // but pass it to rpcnet_reply.
        free(request);
        return;
    }
    result.revision = query->cursor + 1;
    result.json = query->name;
    result.leader_host = "";
    result.message = "";
    rpcnet_reply(request, &result);
}

static void *
run_server(void *data)
{
    struct server *server = data;

    loop_run(server->loop);
    return NULL;
}

static void
start_server(struct server *server, unsigned drop_calls)
{
    memset(server, 0, sizeof(*server));
    apr_initialize();
    server->drop_calls = drop_calls;
    server->address = find_free_address();
    server->loop = loop_create();
    server->rpcnet = rpcnet_create(server->loop, &server->address, &key);
    ck_assert_ptr_nonnull(server->rpcnet);
    rpcnet_set_handler(server->rpcnet, &rpcnet_query, handle_query, server);
    pthread_create(&server->thread, NULL, run_server, server);
}

static void
stop_server(struct server *server)
{
    loop_stop(server->loop);
    pthread_join(server->thread, NULL);
    rpcnet_destroy(server->rpcnet);
    loop_destroy(server->loop);
}

static int
query_blocking(struct server *server, const struct datagram_key *with_key,
               int64_t timeout_us, uint64_t *revision)
{
    struct ck_query_args args = {.group = "g", .name = "n", .cursor = 41};
    struct ck_query_result result = {0};
    int outcome = rpcnet_call_blocking(
        &server->address, with_key, &rpcnet_query, &args, &result, timeout_us);

    args.kind = CK_QUERY_STATUS;
    if (outcome == OUTCOME_OK) {
        *revision = result.revision;
        ck_assert_str_eq(result.json, "n");
        codec_free((xdrproc_t)xdr_ck_query_result, &result);
    }
    return outcome;
}

// Guards against calls that fail when a reply is lost: the client must
// retransmit until the server has dropped _i replies and answers.
START_TEST(test_lost_replies_are_retried)
{
    struct server server;
    uint64_t revision = 0;

    start_server(&server, (unsigned)_i);
    ck_assert_int_eq(query_blocking(&server, &key, LONG_TIMEOUT_US, &revision),
                     OUTCOME_OK);
    stop_server(&server);
    ck_assert_uint_eq(revision, 42);
    ck_assert_uint_ge(server.calls, (unsigned)_i + 1);
}
END_TEST

// Guards against unauthenticated calls: a call under another key must not
// reach the handler.
START_TEST(test_wrong_key_is_denied)
{
    struct server server;
    uint64_t revision = 0;

    start_server(&server, 0);
    ck_assert_int_eq(
        query_blocking(&server, &other_key, SHORT_TIMEOUT_US, &revision),
        OUTCOME_TIMEOUT);
    stop_server(&server);
    ck_assert_uint_eq(server.calls, 0);
    ck_assert_uint_ge(counter_get(COUNTER_RPC_DENIED), 1);
}
END_TEST

static void
handle_answer(void *data, int outcome, const void *result)
{
    struct answer *answer = data;
    const struct ck_query_result *query = result;

    answer->count++;
    answer->outcome = outcome;
    answer->revision = query == NULL ? 0 : query->revision;
    loop_stop(answer->loop);
}

static struct answer
query_on_loop(const struct settings_address *peer, int64_t timeout_us)
{
    struct settings_address local = find_free_address();
    struct ck_query_args args = {
        .kind = CK_QUERY_STATUS, .group = "", .name = "n", .cursor = 6};
    struct answer answer = {.loop = loop_create()};
    struct rpcnet *rpcnet = rpcnet_create(answer.loop, &local, &key);

    rpcnet_call(rpcnet, peer, &rpcnet_query, &args, timeout_us, RETRY_US,
                handle_answer, &answer);
    loop_run(answer.loop);
    rpcnet_destroy(rpcnet);
    loop_destroy(answer.loop);
    return answer;
}

// Guards against repeated callbacks: a retransmitted asynchronous call must
// end with exactly one callback.
START_TEST(test_call_on_loop)
{
    struct server server;

    start_server(&server, 2);
    struct answer answer = query_on_loop(&server.address, LONG_TIMEOUT_US);
    stop_server(&server);
    ck_assert_int_eq(answer.outcome, OUTCOME_OK);
    ck_assert_uint_eq(answer.revision, 7);
    ck_assert_uint_eq(answer.count, 1);
}
END_TEST

// Guards against calls that never end when the peer does not reply.
START_TEST(test_silent_peer_times_out)
{
    apr_initialize();
    struct settings_address unused_address = find_free_address();
    struct answer answer = query_on_loop(&unused_address, SHORT_TIMEOUT_US);

    ck_assert_int_eq(answer.outcome, OUTCOME_TIMEOUT);
    ck_assert_uint_eq(answer.count, 1);
}
END_TEST

// Guards against forged calls: a signed call with any one byte changed or with
// its end cut off must not be decoded.
START_TEST(test_modified_call_is_rejected)
{
    struct ck_query_args args = {
        .kind = CK_QUERY_STATUS, .group = "g", .name = "n"};
    struct buffer call = {0};
    struct datagram datagram;

    ck_assert_int_eq(datagram_encode_call(&call, &key, 7, CK_QUERY, 9,
                                          (xdrproc_t)xdr_ck_query_args, &args),
                     OUTCOME_OK);
    size_t size = buffer_get_size(&call);
    for (size_t i = 0; i < size; i++) {
        uint8_t *copy = xmalloc(size);
        memcpy(copy, buffer_get_data(&call), size);
        copy[i] ^= 0x40;
        ck_assert_int_ne(datagram_decode(copy, size, &key, &datagram),
                         OUTCOME_OK);
        free(copy);
    }
    for (size_t cut = 0; cut < size; cut++) {
        uint8_t *copy = xmalloc(cut + 1);
        memcpy(copy, buffer_get_data(&call), cut);
        ck_assert_int_ne(datagram_decode(copy, cut, &key, &datagram),
                         OUTCOME_OK);
        free(copy);
    }
    ck_assert_int_eq(
        datagram_decode(call.data + call.start, size, &key, &datagram),
        OUTCOME_OK);
    ck_assert_uint_eq(datagram.hlc, 9);
    buffer_free(&call);
}
END_TEST

START_TEST(test_reply_round_trip)
{
    struct ck_command_result result = {
        .outcome = -3, .leader_host = "127.0.0.1", .message = "m"};
    struct ck_command_result decoded = {0};
    struct buffer reply = {0};
    struct datagram datagram;

    ck_assert_int_eq(datagram_encode_reply(&reply, &key, 7, SUCCESS, 11,
                                           (xdrproc_t)xdr_ck_command_result,
                                           &result),
                     OUTCOME_OK);
    ck_assert_int_eq(datagram_decode(reply.data + reply.start,
                                     buffer_get_size(&reply), &key, &datagram),
                     OUTCOME_OK);
    ck_assert_uint_eq(datagram.xid, 7);
    ck_assert_uint_eq(datagram.hlc, 11);
    ck_assert_int_eq(codec_decode((xdrproc_t)xdr_ck_command_result,
                                  datagram.body, datagram.body_size_bytes,
                                  &decoded),
                     OUTCOME_OK);
    ck_assert_int_eq(decoded.outcome, -3);
    codec_free((xdrproc_t)xdr_ck_command_result, &decoded);
    buffer_free(&reply);
}
END_TEST

// ---- messages larger than a datagram ----

#define LARGE_BYTES 200000

// A daemon that keeps the size of the declaration it is sent, and sends one.
struct large_server {
    struct loop *loop;
    struct rpcnet *rpcnet;
    struct settings_address address;
    pthread_t thread;
    size_t received_bytes;
};

static void
fill_large(struct ck_packed_declaration *packed)
{
    packed->number = 9;
    packed->data.data_len = LARGE_BYTES;
    packed->data.data_val = xmalloc(LARGE_BYTES);
    for (u_int i = 0; i < LARGE_BYTES; i++) {
        packed->data.data_val[i] = (char)(i * 31 + i / 251);
    }
}

static void
handle_large_apply(void *data, struct rpcnet_request *request,
                   const void *args)
{
    struct large_server *server = data;
    const struct ck_apply_args *apply = args;
    struct ck_apply_result result = {.leader_host = (char *)"",
                                     .message = (char *)""};
    struct ck_packed_declaration expected;

    fill_large(&expected);
    if (apply->change.ck_change_u.declaration.data.data_len == LARGE_BYTES &&
        memcmp(apply->change.ck_change_u.declaration.data.data_val,
               expected.data.data_val, LARGE_BYTES) == 0) {
        server->received_bytes = LARGE_BYTES;
    }
    free(expected.data.data_val);
    rpcnet_reply(request, &result);
}

static void
handle_large_read(void *data, struct rpcnet_request *request, const void *args)
{
    struct ck_read_declaration_result result = {.leader_host = (char *)""};

    (void)data;
    (void)args;
    fill_large(&result.declaration);
    rpcnet_reply(request, &result);
    free(result.declaration.data.data_val);
}

static void *
run_large_server(void *data)
{
    struct large_server *server = data;

    loop_run(server->loop);
    return NULL;
}

static void
start_large_server(struct large_server *server)
{
    memset(server, 0, sizeof(*server));
    apr_initialize();
    server->address = find_free_address();
    server->loop = loop_create();
    server->rpcnet = rpcnet_create(server->loop, &server->address, &key);
    ck_assert_ptr_nonnull(server->rpcnet);
    rpcnet_set_handler(server->rpcnet, &rpcnet_apply, handle_large_apply,
                       server);
    rpcnet_set_handler(server->rpcnet, &rpcnet_read_declaration,
                       handle_large_read, server);
    pthread_create(&server->thread, NULL, run_large_server, server);
}

static void
stop_large_server(struct large_server *server)
{
    loop_stop(server->loop);
    pthread_join(server->thread, NULL);
    rpcnet_destroy(server->rpcnet);
    loop_destroy(server->loop);
}

// A call or a reply that does not fit into one datagram was never sent: its
// caller waited for its whole timeout.
START_TEST(test_large_call_arrives)
{
    struct large_server server;
    struct ck_apply_args args = {.group = (char *)"g",
                                 .change_id = (char *)"",
                                 .change = {.kind = CK_CHANGE_DECLARATION}};
    struct ck_apply_result result = {0};

    start_large_server(&server);
    fill_large(&args.change.ck_change_u.declaration);
    ck_assert_int_eq(rpcnet_call_blocking(&server.address, &key, &rpcnet_apply,
                                          &args, &result, LONG_TIMEOUT_US),
                     OUTCOME_OK);
    stop_large_server(&server);
    ck_assert_uint_eq(server.received_bytes, LARGE_BYTES);
    codec_free((xdrproc_t)xdr_ck_apply_result, &result);
    free(args.change.ck_change_u.declaration.data.data_val);
}
END_TEST

struct large_answer {
    struct loop *loop;
    int outcome;
    bool is_equal;
};

static void
handle_large_answer(void *data, int outcome, const void *result)
{
    struct large_answer *answer = data;
    const struct ck_read_declaration_result *read = result;
    struct ck_packed_declaration expected;

    answer->outcome = outcome;
    fill_large(&expected);
    answer->is_equal = read != NULL &&
                       read->declaration.data.data_len == LARGE_BYTES &&
                       memcmp(read->declaration.data.data_val,
                              expected.data.data_val, LARGE_BYTES) == 0;
    free(expected.data.data_val);
    loop_stop(answer->loop);
}

START_TEST(test_large_reply_arrives)
{
    struct large_server server;
    struct settings_address local = find_free_address();
    struct ck_read_declaration_args args = {.group = (char *)"g"};
    struct large_answer answer = {0};

    start_large_server(&server);
    answer.loop = loop_create();
    struct rpcnet *rpcnet = rpcnet_create(answer.loop, &local, &key);
    rpcnet_call(rpcnet, &server.address, &rpcnet_read_declaration, &args,
                LONG_TIMEOUT_US, LONG_TIMEOUT_US, handle_large_answer,
                &answer);
    loop_run(answer.loop);
    stop_large_server(&server);
    rpcnet_destroy(rpcnet);
    loop_destroy(answer.loop);
    ck_assert_int_eq(answer.outcome, OUTCOME_OK);
    ck_assert(answer.is_equal);
}
END_TEST

// ---- a flood of calls ----

#define FLOOD_CALLS      60
#define FLOOD_WORK_US    1000
#define FLOOD_HEARTBEATS 3
#define FLOOD_MAX_LAG    20 // calls that may be handled before a heartbeat
#define FLOOD_LIMIT_US   10000000 // ends a test that does not end by itself

// A daemon that gets a flood of slow calls and, behind them, messages of the
// replicated log.
struct flood {
    struct loop *loop;
    struct rpcnet *rpcnet;
    struct loop_timer *timer;
    struct loop_timer *limit_timer;
    unsigned calls;      // handled
    unsigned heartbeats; // handled
    unsigned calls_before_heartbeat;
    unsigned calls_before_timer;
};

static void
handle_slow_query(void *data, struct rpcnet_request *request, const void *args)
{
    struct flood *flood = data;
    const struct ck_query_args *query = args;
    struct ck_query_result result = {
        .json = query->name, .leader_host = "", .message = ""};
    int64_t until_us = monotonic_get_us() + FLOOD_WORK_US;

    while (monotonic_get_us() < until_us) {
    }
    flood->calls++;
    if (flood->calls == 1) {
        loop_timer_set(flood->timer, monotonic_get_us());
    }
    rpcnet_reply(request, &result);
    if (flood->calls == FLOOD_CALLS) {
        loop_stop(flood->loop);
    }
}

static void
handle_heartbeat(void *data, struct rpcnet_request *request, const void *args)
{
    struct flood *flood = data;

    (void)request;
    (void)args;
    flood->heartbeats++;
    flood->calls_before_heartbeat = flood->calls;
}

static void
handle_flood_timer(void *data)
{
    struct flood *flood = data;

    flood->calls_before_timer = flood->calls;
}

static void
handle_flood_limit(void *data)
{
    struct flood *flood = data;

    loop_stop(flood->loop);
}

static void
ignore_answer(void *data, int outcome, const void *result)
{
    (void)data;
    (void)outcome;
    (void)result;
}

static void
send_flood(struct rpcnet *sender, const struct settings_address *to)
{
    struct ck_query_args query = {
        .kind = CK_QUERY_STATUS, .group = "g", .name = "n"};
    struct ck_raft_message heartbeat = {.group = "g", .from = 1, .to = 2};

    heartbeat.body.kind = CK_RAFT_APPEND;
    for (int i = 0; i < FLOOD_CALLS; i++) {
        rpcnet_call(sender, to, &rpcnet_query, &query, LONG_TIMEOUT_US,
                    LONG_TIMEOUT_US, ignore_answer, NULL);
    }
    for (int i = 0; i < FLOOD_HEARTBEATS; i++) {
        ck_assert_int_eq(rpcnet_send(sender, to, &rpcnet_raft, &heartbeat),
                         OUTCOME_OK);
    }
}

static void
run_flood(struct flood *flood)
{
    struct settings_address address = find_free_address();
    struct settings_address sender_address = find_free_address();

    apr_initialize();
    flood->loop = loop_create();
    flood->rpcnet = rpcnet_create(flood->loop, &address, &key);
    flood->timer = loop_timer_create(flood->loop, handle_flood_timer, flood);
    flood->limit_timer =
        loop_timer_create(flood->loop, handle_flood_limit, flood);
    loop_timer_set(flood->limit_timer, monotonic_get_us() + FLOOD_LIMIT_US);
    rpcnet_set_handler(flood->rpcnet, &rpcnet_query, handle_slow_query, flood);
    rpcnet_set_handler(flood->rpcnet, &rpcnet_raft, handle_heartbeat, flood);
    // The sender's loop does not run, so it reads no replies.
    struct loop *sender_loop = loop_create();
    struct rpcnet *sender = rpcnet_create(sender_loop, &sender_address, &key);
    send_flood(sender, &address);
    loop_run(flood->loop);
    rpcnet_destroy(sender);
    loop_destroy(sender_loop);
    loop_timer_destroy(flood->timer);
    loop_timer_destroy(flood->limit_timer);
    rpcnet_destroy(flood->rpcnet);
    loop_destroy(flood->loop);
}

// A leader that handles all calls of a flood before a heartbeat, or before it
// sends its own, loses its leadership although it is alive.
START_TEST(test_heartbeats_pass_a_flood_of_calls)
{
    struct flood flood = {0};

    run_flood(&flood);
    ck_assert_uint_eq(flood.heartbeats, FLOOD_HEARTBEATS);
    ck_assert_uint_le(flood.calls_before_heartbeat, FLOOD_MAX_LAG);
}
END_TEST

START_TEST(test_timers_pass_a_flood_of_calls)
{
    struct flood flood = {0};

    run_flood(&flood);
    ck_assert_uint_gt(flood.calls_before_timer, 0);
    ck_assert_uint_le(flood.calls_before_timer, FLOOD_MAX_LAG);
    ck_assert_uint_eq(flood.calls, FLOOD_CALLS);
}
END_TEST

static void
add_tests(TCase *tests)
{
    tcase_add_loop_test(tests, test_lost_replies_are_retried, 0, 3);
    tcase_add_test(tests, test_wrong_key_is_denied);
    tcase_add_test(tests, test_call_on_loop);
    tcase_add_test(tests, test_silent_peer_times_out);
    tcase_add_test(tests, test_modified_call_is_rejected);
    tcase_add_test(tests, test_reply_round_trip);
    tcase_add_test(tests, test_large_call_arrives);
    tcase_add_test(tests, test_large_reply_arrives);
    tcase_add_test(tests, test_heartbeats_pass_a_flood_of_calls);
    tcase_add_test(tests, test_timers_pass_a_flood_of_calls);
}

TEST_MAIN("rpcnet", add_tests)
