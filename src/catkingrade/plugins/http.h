#ifndef CATKINGRADE_PLUGINS_HTTP_H
#define CATKINGRADE_PLUGINS_HTTP_H

// The HTTP side of a daemon: health for the balancer, counters for scrapers,
// announcements of upstreams.
struct http;

// One POST to /announce; reply to it exactly once, on the control loop.
struct http_announcement;

typedef void (*http_announce_fn)(void *data,
                                 struct http_announcement *announcement,
                                 const char *body);

void http_set_announce(struct http *http, http_announce_fn announce,
                       void *data);
void http_announcement_reply(struct http_announcement *announcement,
                             int outcome, const char *text);

#endif
