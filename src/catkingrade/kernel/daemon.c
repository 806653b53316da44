#include "catkingrade/kernel/daemon.h"

#include <signal.h>
#include <stddef.h>
#include <string.h>
#include <sys/signalfd.h>
#include <unistd.h>

#include "catkingrade/kernel/buffer.h"
#include "catkingrade/kernel/log.h"
#include "catkingrade/kernel/loop.h"
#include "catkingrade/kernel/outcome.h"
#include "catkingrade/kernel/plugin.h"
#include "catkingrade/kernel/settings.h"
#include "catkingrade/kernel/timeline.h"

#define DAEMON_DRAIN_POLL_US   50000
#define DAEMON_RELEASE_POLL_US 5000
// Maximum time to write the last answers of a planned stop.
#define DAEMON_FINISH_LIMIT_US 500000

// State of a planned stop. Used only on the control loop's thread.
struct daemon_stop {
    struct daemon *daemon;
    struct loop_timer *timer;
    int signal_fd;
    int64_t started_us;
    bool listeners_closed;
    bool finishing; // drain_limit_us has passed
};

static struct daemon_stop daemon_stop_state;

// Stops the control loop once no request is in flight and nothing is held that
// other VMs wait for. When drain_limit_us has passed since the stop began, has
// the requests in flight answered, and allows DAEMON_FINISH_LIMIT_US for the
// answers to be written. Until then, checks again.
static void
daemon_poll_drain(void *data)
{
    struct daemon_stop *stop = data;
    struct daemon *daemon = stop->daemon;
    int64_t now_us = loop_get_now_us(daemon->control_loop);
    bool drained = plugin_all_drained(daemon);
    int64_t over_us =
        now_us - stop->started_us - daemon->settings->drain_limit_us;

    if (!drained && over_us >= 0 && !stop->finishing) {
        stop->finishing = true;
        plugin_finish_all(daemon);
    }
    bool released = drained && plugin_release_all(daemon);
    if (!released && over_us < DAEMON_FINISH_LIMIT_US) {
        loop_timer_set(stop->timer, now_us + (drained ? DAEMON_RELEASE_POLL_US
                                                      : DAEMON_DRAIN_POLL_US));
        return;
    }
    LOG_INFO("stopped", "drained=%d", drained);
    loop_stop(daemon->control_loop);
}

// Waits drain_notice_us, closes the listeners and then polls for the end of
// requests in flight.
static void
daemon_handle_stop_timer(void *data)
{
    struct daemon_stop *stop = data;
    int64_t now_us = loop_get_now_us(stop->daemon->control_loop);
    int64_t notice_us = stop->daemon->settings->drain_notice_us;

    if (now_us - stop->started_us < notice_us) {
        loop_timer_set(stop->timer, stop->started_us + notice_us);
        return;
    }
    if (!stop->listeners_closed) {
        plugin_drain_all(stop->daemon);
        stop->listeners_closed = true;
    }
    daemon_poll_drain(stop);
}

static void
daemon_begin_stop(void *data)
{
    struct daemon *daemon = data;
    struct daemon_stop *stop = &daemon_stop_state;

    if (atomic_exchange(&daemon->draining, true)) {
        return;
    }
    atomic_store(&daemon->ready, false);
    stop->started_us = loop_get_now_us(daemon->control_loop);
    LOG_INFO("stopping", "notice_ms=%lld",
             (long long)(daemon->settings->drain_notice_us / 1000));
    timeline_record("stopping", NULL, NULL, 0, "planned");
    loop_timer_set(stop->timer, stop->started_us);
}

// Begins a planned stop. The health check fails at once, and the listeners
// close drain_notice_us later, so that the load balancer can stop routing to
// this process. Requests that are in flight drain_limit_us after the stop
// began are answered as not run or unknown. The process exits once no request
// is in flight, at the latest DAEMON_FINISH_LIMIT_US later. Thread-safe;
// further calls have no effect.
void
daemon_request_stop(struct daemon *daemon)
{
    loop_post(daemon->control_loop, daemon_begin_stop, NULL, daemon);
}

// Reloads the settings file and applies its log settings; all other settings
// need a restart. An invalid file is rejected as a whole. The log file is
// reopened in either case, so that SIGHUP serves log rotation.
static void
daemon_reload(struct daemon *daemon)
{
    struct buffer errors = {0};
    struct settings *reloaded = settings_load(daemon->settings->file, &errors);

    if (reloaded == NULL) {
        (void)log_reopen();
        LOG_ERROR("settings_refused", "%.*s", (int)buffer_get_size(&errors),
                  (const char *)buffer_get_data(&errors));
        buffer_free(&errors);
        return;
    }
    int outcome = log_open(reloaded->log_path, reloaded->log_level,
                           reloaded->log_format, daemon->settings->vm);
    LOG_INFO("settings_reloaded", "log=%s", outcome_get_name(outcome));
    settings_destroy(reloaded);
}

static void
daemon_handle_signal(void *data, unsigned events)
{
    struct daemon_stop *stop = data;
    struct signalfd_siginfo info;

    (void)events;
    if (read(stop->signal_fd, &info, sizeof(info)) != sizeof(info)) {
        return;
    }
    if (info.ssi_signo == SIGHUP) {
        daemon_reload(stop->daemon);
        return;
    }
    daemon_begin_stop(stop->daemon);
}

// Starts the plug-ins and runs the control loop until a planned stop is
// complete. SIGTERM and SIGINT begin a planned stop, SIGHUP reloads the
// settings; the caller must have blocked these signals. Returns OUTCOME_OK, or
// the error that prevented the start.
int
daemon_run(struct daemon *daemon)
{
    struct daemon_stop *stop = &daemon_stop_state;
    sigset_t signals;

    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    sigaddset(&signals, SIGHUP);
    stop->daemon = daemon;
    stop->signal_fd = signalfd(-1, &signals, SFD_CLOEXEC | SFD_NONBLOCK);
    if (stop->signal_fd < 0) {
        return OUTCOME_IO;
    }
    stop->timer = loop_timer_create(daemon->control_loop,
                                    daemon_handle_stop_timer, stop);
    struct loop_watch *watch =
        loop_watch_create(daemon->control_loop, stop->signal_fd, LOOP_READ,
                          daemon_handle_signal, stop);
    int outcome = plugin_start_all(daemon, daemon->settings);
    if (outcome == OUTCOME_OK) {
        // With ready_with_lease, an entry becomes ready later: the lease agent
        // sets the flag when the entry holds a lease and a declaration.
        atomic_store(&daemon->ready, !daemon->settings->ready_with_lease ||
                                         daemon->entry == NULL);
        LOG_INFO("started", "vm=%s", daemon->settings->vm);
        timeline_record("started", NULL, NULL, 0, "vm=%s",
                        daemon->settings->vm);
        loop_run(daemon->control_loop);
    }
    plugin_stop_all(daemon);
    if (atomic_load(&daemon->draining)) {
        LOG_INFO("ended", "since_stopping_ms=%lld",
                 (long long)((monotonic_get_us() - stop->started_us) / 1000));
    }
    loop_watch_destroy(watch);
    loop_timer_destroy(stop->timer);
    close(stop->signal_fd);
    return outcome;
}
