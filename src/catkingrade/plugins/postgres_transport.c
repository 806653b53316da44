#include "catkingrade/plugins/postgres_transport.h"

#include <errno.h>
#include <openssl/err.h>
#include <sys/socket.h>
#include <unistd.h>

#include "catkingrade/kernel/log.h"
#include "catkingrade/kernel/outcome.h"
#include "catkingrade/kernel/tcp.h"

#define POSTGRES_READ_BYTES 8192

// Creates a TLS server context with the certificate and the key of the
// settings. Returns NULL, with the error logged, if they cannot be used, and
// NULL if OpenSSL cannot create a context.
SSL_CTX *
postgres_transport_create_context(const struct settings *settings)
{
    SSL_CTX *context = SSL_CTX_new(TLS_server_method());

    if (context == NULL) {
        return NULL;
    }
    SSL_CTX_set_min_proto_version(context, TLS1_2_VERSION);
    // Releases read and write buffers of idle connections.
    SSL_CTX_set_mode(context, SSL_MODE_RELEASE_BUFFERS |
                                  SSL_MODE_ENABLE_PARTIAL_WRITE |
                                  SSL_MODE_ACCEPT_MOVING_WRITE_BUFFER);
    SSL_CTX_set_session_cache_mode(context, SSL_SESS_CACHE_OFF);
    if (SSL_CTX_use_certificate_chain_file(context, settings->tls_cert_file) !=
            1 ||
        SSL_CTX_use_PrivateKey_file(context, settings->tls_key_file,
                                    SSL_FILETYPE_PEM) != 1 ||
        SSL_CTX_check_private_key(context) != 1) {
        LOG_ERROR("tls_unusable", "certificate=%s key=%s",
                  settings->tls_cert_file, settings->tls_key_file);
        ERR_clear_error();
        SSL_CTX_free(context);
        return NULL;
    }
    return context;
}

// Prepares a TLS handshake as the server. Returns OUTCOME_OK or OUTCOME_IO.
int
postgres_transport_begin_tls(struct postgres_transport *transport,
                             SSL_CTX *context)
{
    transport->ssl = SSL_new(context);
    if (transport->ssl == NULL ||
        SSL_set_fd(transport->ssl, transport->fd) != 1) {
        ERR_clear_error();
        return OUTCOME_IO;
    }
    SSL_set_accept_state(transport->ssl);
    transport->handshaking = true;
    return OUTCOME_OK;
}

// Converts the result of a failed TLS operation to OUTCOME_AGAIN or
// OUTCOME_CLOSED and updates wants_write.
static int
postgres_transport_handle_tls_error(struct postgres_transport *transport,
                                    int result)
{
    int error = SSL_get_error(transport->ssl, result);

    ERR_clear_error();
    transport->wants_write = error == SSL_ERROR_WANT_WRITE;
    if (error == SSL_ERROR_WANT_READ || error == SSL_ERROR_WANT_WRITE) {
        return OUTCOME_AGAIN;
    }
    return OUTCOME_CLOSED;
}

// Continues the TLS handshake. Returns OUTCOME_OK if it is complete,
// OUTCOME_AGAIN if it would block, or OUTCOME_CLOSED if it has failed.
int
postgres_transport_handshake(struct postgres_transport *transport)
{
    int result = SSL_do_handshake(transport->ssl);

    if (result == 1) {
        transport->handshaking = false;
        transport->wants_write = false;
        return OUTCOME_OK;
    }
    return postgres_transport_handle_tls_error(transport, result);
}

static int
postgres_transport_read_once(struct postgres_transport *transport,
                             struct buffer *in, size_t *size_bytes)
{
    uint8_t *space = buffer_reserve(in, POSTGRES_READ_BYTES);

    if (transport->ssl != NULL) {
        int result = SSL_read(transport->ssl, space, POSTGRES_READ_BYTES);
        if (result <= 0) {
            return postgres_transport_handle_tls_error(transport, result);
        }
        *size_bytes = (size_t)result;
        return OUTCOME_OK;
    }
    ssize_t size = recv(transport->fd, space, POSTGRES_READ_BYTES, 0);
    if (size < 0) {
        return errno == EAGAIN || errno == EINTR ? OUTCOME_AGAIN
                                                 : OUTCOME_CLOSED;
    }
    *size_bytes = (size_t)size;
    return size == 0 ? OUTCOME_CLOSED : OUTCOME_OK;
}

// Appends available input to in until in contains at least max_bytes. Returns
// OUTCOME_OK if that limit is reached and more input may be available,
// OUTCOME_AGAIN if reading would block, or OUTCOME_CLOSED if the connection is
// closed or has failed.
int
postgres_transport_read(struct postgres_transport *transport,
                        struct buffer *in, size_t max_bytes)
{
    while (buffer_get_size(in) < max_bytes) {
        size_t size = 0;
        int outcome = postgres_transport_read_once(transport, in, &size);
        if (outcome != OUTCOME_OK) {
            return outcome;
        }
        in->end += size;
        if (transport->ssl == NULL && size < POSTGRES_READ_BYTES) {
            return OUTCOME_AGAIN;
        }
    }
    return OUTCOME_OK;
}

// Writes output until writing would block, and removes written bytes from out.
// Returns OUTCOME_OK if all is written, OUTCOME_AGAIN if writing would block,
// or OUTCOME_CLOSED if the connection has failed.
int
postgres_transport_write(struct postgres_transport *transport,
                         struct buffer *out)
{
    while (buffer_get_size(out) > 0) {
        size_t size = buffer_get_size(out);
        if (transport->ssl != NULL) {
            int chunk = size > INT32_MAX ? INT32_MAX : (int)size;
            int result =
                SSL_write(transport->ssl, buffer_get_data(out), chunk);
            if (result <= 0) {
                return postgres_transport_handle_tls_error(transport, result);
            }
            buffer_consume(out, (size_t)result);
            continue;
        }
        ssize_t sent =
            send(transport->fd, buffer_get_data(out), size, MSG_NOSIGNAL);
        if (sent < 0) {
            return errno == EAGAIN || errno == EINTR ? OUTCOME_AGAIN
                                                     : OUTCOME_CLOSED;
        }
        buffer_consume(out, (size_t)sent);
    }
    return OUTCOME_OK;
}

// Returns whether the connection can be closed without a loss of output.
// Otherwise ends the stream to the client, see tcp_finish.
bool
postgres_transport_finish(struct postgres_transport *transport)
{
    if (transport->ssl != NULL && !tcp_is_acknowledged(transport->fd)) {
        (void)SSL_shutdown(transport->ssl);
        ERR_clear_error();
    }
    return tcp_finish(transport->fd);
}

// Closes the connection. Sends the TLS close notification without waiting for
// the client's.
void
postgres_transport_close(struct postgres_transport *transport)
{
    if (transport->ssl != NULL) {
        (void)SSL_shutdown(transport->ssl);
        ERR_clear_error();
        SSL_free(transport->ssl);
        transport->ssl = NULL;
    }
    if (transport->fd >= 0) {
        close(transport->fd);
        transport->fd = -1;
    }
}
