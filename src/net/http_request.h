/**
 * DOC: Reads the request line and header fields of an HTTP request from libwebsockets.
 */
#ifndef FQ_NET_HTTP_REQUEST_H
#define FQ_NET_HTTP_REQUEST_H

#include "net/http_server.h"

/**
 * fq_http_request_read() - copy method, path and header fields of the current request.
 * @length: set to the length of the body; 0: no body; valid only when 0 is returned
 * @reason: set to a static string, which is meaningful only when a status is returned
 *
 * Return: 0, or the HTTP status to refuse the request with, for the reason in @reason.
 */
uint16_t fq_http_request_read (struct lws *wsi,
                               fq_http_inbound_request_t *out,
                               size_t *length,
                               const char **reason);

#endif
