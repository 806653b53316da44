#ifndef TEST_FAKE_PLATFORM_H
#define TEST_FAKE_PLATFORM_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

// Fake of an external platform, on loopback: one database with
// PLATFORM_UPSTREAMS upstreams that speak the platform's line protocol, and
// the HTTP call POST /failover that promotes one of the upstreams. Upstream 0
// is the first primary. One thread serves all connections.

#define PLATFORM_UPSTREAMS 3
#define PLATFORM_ID_SIZE   64
#define PLATFORM_MAX_LATE  256
// Size of the text about a statement under a wrong name.
#define PLATFORM_MISNAMED_SIZE (2 * PLATFORM_ID_SIZE + 8)

struct platform;

// Number of statement ids whose last arrival is kept.
#define PLATFORM_MAX_ARRIVALS 256

// A client's statement that reached an upstream after its deadline.
struct platform_late {
    int upstream;
    int64_t arrived_us;
    int64_t deadline_us;
    char id[PLATFORM_ID_SIZE];     // id of the statement
    char sender[PLATFORM_ID_SIZE]; // user name of the connection
};

// Starts a database. service: its name, a string literal. The ids of its
// upstreams are i-<first_id> and the following numbers.
struct platform *platform_start(const char *service, int first_id);
// Lets POST /failover at the port of the first database promote upstreams of
// another one as well. That one stops after the first.
void platform_add_database(struct platform *first, struct platform *platform);
void platform_stop(struct platform *platform);
// Returns the port of the HTTP call that promotes an upstream.
int platform_get_promote_port(const struct platform *platform);
// Closes an upstream's listener and connections.
void platform_stop_upstream(struct platform *platform, int upstream);
// Opens the listener of a stopped upstream again, on the same port.
void platform_restart_upstream(struct platform *platform, int upstream);
// Marks the next start of an upstream as a new process in its announcements.
void platform_begin_incarnation(struct platform *platform, int upstream);
// Sets the time after which no client's statement may reach an upstream. 0:
// none.
void platform_set_deadline(struct platform *platform, int upstream,
                           int64_t deadline_us);
// Copies the statements that came after a deadline into an array of
// PLATFORM_MAX_LATE elements, the oldest first. Returns their number.
int platform_get_late(struct platform *platform, struct platform_late *late);
// Returns when a statement with this id last reached an upstream, in monotonic
// microseconds; 0: none has, or the id is beyond PLATFORM_MAX_ARRIVALS.
int64_t platform_get_arrival_us(struct platform *platform, const char *id);
// Returns the text of the statement with this id that last reached an
// upstream, with the prefix AFTER, if any; the caller frees it. NULL: none
// has, or the id is beyond PLATFORM_MAX_ARRIVALS. The first gives the size of
// a text that may contain NUL bytes; the texts are NUL-terminated.
char *platform_get_arrival_bytes(struct platform *platform, const char *id,
                                 size_t *size_bytes);
char *platform_get_arrival_text(struct platform *platform, const char *id);
// Copies the user name of the connection on which a statement with this id
// last reached an upstream. Returns false if none has.
bool platform_get_arrival_sender(struct platform *platform, const char *id,
                                 char sender[PLATFORM_ID_SIZE]);
// Returns how many statements, whose id contains a dot, came on a connection
// whose user name does not begin with what follows the dot. Copies the id and
// the user name of the first.
int platform_get_misnamed(struct platform *platform,
                          char text[PLATFORM_MISNAMED_SIZE]);
// Sets a text, a string literal, that no line to an upstream may contain, and
// returns how many lines contained it.
void platform_forbid_text(struct platform *platform, const char *text);
int platform_count_forbidden(struct platform *platform);
// Pauses or resumes the replication to a replica.
void platform_pause_replication(struct platform *platform, int upstream,
                                bool paused);
// Makes an upstream run its statements without sending replies.
void platform_suppress_replies(struct platform *platform, int upstream);
// Makes an upstream run its statements and hold the replies to those of
// clients until this is called again with held false.
void platform_hold_replies(struct platform *platform, int upstream, bool held);
// Returns the number of connections with held replies.
size_t platform_count_held_replies(struct platform *platform);
int platform_get_primary(struct platform *platform);
// Returns the fencing token of the last POST /failover.
uint64_t platform_get_last_fencing_token(struct platform *platform);
// Returns how many writes of a value the current primary has applied.
int platform_count_writes(struct platform *platform, const char *value);
// Returns how many statements broke the protocol: a message of more than 1
// MiB, a COMMIT outside a transaction, or an EXECUTE of a statement that was
// not prepared on the connection, for example because the connection was set
// up for another session.
int platform_get_protocol_errors(struct platform *platform);
// Returns the port that an upstream listens to.
int platform_get_port(const struct platform *platform, int upstream);
// Sets the port that an upstream's announcements contain, such as the port of
// a proxy. Default: the port that the upstream listens to.
void platform_set_announced_port(struct platform *platform, int upstream,
                                 int port);
// Writes the JSON body of an upstream's announcement. Each call increments the
// sequence number.
void platform_format_announcement(struct platform *platform, int upstream,
                                  bool leaving, char *body, size_t size);

// Makes an HTTP call. Returns the body of the response, which the caller
// frees. *status is the HTTP status, or 0 without a response.
char *platform_call_http(const char *method, const char *url, const char *body,
                         long timeout_ms, long *status);

// Opens a blocking client connection. Returns its file descriptor, or -1.
int platform_connect(int port);
// Sends one request on a connection.
void platform_send_line(int fd, const char *line);
// Waits for the READY line, 20 s for each read. Returns the reply, which the
// caller frees. The reply is incomplete if the connection ends before READY,
// and NULL if nothing was received.
char *platform_receive_reply(int fd);
// Waits for the end of the connection, 20 s for each read. Returns all that
// was received, which the caller frees.
char *platform_receive_rest(int fd);
// Sends one request and returns the reply, see platform_receive_reply.
char *platform_send_request(int fd, const char *line);

#endif
