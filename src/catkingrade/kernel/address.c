#include "catkingrade/kernel/address.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <string.h>

// Fills a socket address from an IP number and port. Returns its length, 0
// when host is not an IP number.
socklen_t
address_to_sockaddr(const struct settings_address *address,
                    struct sockaddr_storage *out)
{
    struct sockaddr_in *v4 = (struct sockaddr_in *)out;
    struct sockaddr_in6 *v6 = (struct sockaddr_in6 *)out;

    memset(out, 0, sizeof(*out));
    if (inet_pton(AF_INET, address->host, &v4->sin_addr) == 1) {
        v4->sin_family = AF_INET;
        v4->sin_port = htons(address->port);
        return sizeof(*v4);
    }
    if (inet_pton(AF_INET6, address->host, &v6->sin6_addr) == 1) {
        v6->sin6_family = AF_INET6;
        v6->sin6_port = htons(address->port);
        return sizeof(*v6);
    }
    return 0;
}

// Reads IP number and port from a socket address.
void
address_from_sockaddr(const struct sockaddr_storage *from,
                      struct settings_address *address)
{
    const struct sockaddr_in *v4 = (const struct sockaddr_in *)from;
    const struct sockaddr_in6 *v6 = (const struct sockaddr_in6 *)from;

    memset(address, 0, sizeof(*address));
    if (from->ss_family == AF_INET) {
        inet_ntop(AF_INET, &v4->sin_addr, address->host,
                  sizeof(address->host));
        address->port = ntohs(v4->sin_port);
        return;
    }
    inet_ntop(AF_INET6, &v6->sin6_addr, address->host, sizeof(address->host));
    address->port = ntohs(v6->sin6_port);
}
