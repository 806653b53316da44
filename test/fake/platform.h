#ifndef TEST_FAKE_PLATFORM_H
#define TEST_FAKE_PLATFORM_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

// A stand-in of the users' platform on loopback: one database with upstreams
// that speak its protocol, and the call that promotes one of them. It runs on
// a thread of its own.

#define PLATFORM_UPSTREAMS 3

struct platform;

struct platform *platform_start(void);
void platform_stop(struct platform *platform);
int platform_get_promote_port(const struct platform *platform);
// An upstream refuses connections and ends those it has, or is back.
void platform_stop_upstream(struct platform *platform, int upstream);
void platform_restart_upstream(struct platform *platform, int upstream);
// A replica applies nothing more until it is let go.
void platform_pause_replication(struct platform *platform, int upstream,
                                bool held);
// An upstream runs what it gets and answers nothing more.
void platform_suppress_replies(struct platform *platform, int upstream);
int platform_get_primary(struct platform *platform);
uint64_t platform_get_last_fencing_token(struct platform *platform);
// How often a value was written, over the log of the present primary.
int platform_count_writes(struct platform *platform, const char *value);
// How many statements were refused because they ran outside their
// transaction, with values of another session or under an unknown name.
int platform_get_protocol_errors(struct platform *platform);
// The port that an upstream listens to, and another one that it announces.
int platform_get_port(const struct platform *platform, int upstream);
void platform_set_announced_port(struct platform *platform, int upstream,
                                 int port);
// Fills the body of an announcement.
void platform_format_announcement(struct platform *platform, int upstream,
                                  bool leaving, char *body, size_t size);

// One HTTP call; the caller frees the answer's body. status 0: no answer.
char *platform_call_http(const char *method, const char *url, const char *body,
                         long *status);

// A client session, blocking. ask sends one request and returns the answer up
// to its READY, which the caller frees; NULL at the end of the connection.
int platform_connect(int port);
char *platform_send_request(int fd, const char *line);

#endif
