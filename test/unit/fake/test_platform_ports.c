#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "test/fake/platform.h"
#include "test/suite.h"

// Ports of the fake platform.

// Listens on a port as a program of the machine does that shares ports with
// connections that have ended. Returns 0 or errno.
static int
take_port(int port)
{
    struct sockaddr_in address = {.sin_family = AF_INET,
                                  .sin_port = htons((uint16_t)port)};
    int on = 1;
    int error = 0;
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    ck_assert_int_ge(fd, 0);
    (void)setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    if (bind(fd, (struct sockaddr *)&address, sizeof(address)) != 0 ||
        listen(fd, 1) != 0) {
        error = errno;
    }
    close(fd);
    return error;
}

static void
expect_ready(int port)
{
    int fd = platform_connect(port);

    ck_assert_int_ge(fd, 0);
    char *text = platform_send_request(fd, "STARTUP core u1 i-1");
    ck_assert_ptr_nonnull(text);
    ck_assert_msg(strncmp(text, "READY I", 7) == 0, "%s", text);
    free(text);
    close(fd);
}

// Guards against a port that another process takes while its upstream is
// stopped.
START_TEST(test_stopped_upstream_keeps_its_port)
{
    struct platform *platform = platform_start("core", 0);
    int port = platform_get_port(platform, 1);
    int open_fd = platform_connect(port);

    ck_assert_int_ge(open_fd, 0);
    for (int i = 0; i < 3; i++) {
        expect_ready(port);
        platform_stop_upstream(platform, 1);
        ck_assert_int_lt(platform_connect(port), 0);
        ck_assert_int_eq(take_port(port), EADDRINUSE);
        platform_restart_upstream(platform, 1);
    }
    expect_ready(port);
    close(open_fd);
    platform_stop(platform);
}
END_TEST

static void
add_tests(TCase *tests)
{
    tcase_add_test(tests, test_stopped_upstream_keeps_its_port);
}

TEST_MAIN("platform_ports", add_tests)
