/**
 * DOC: The head of a request as libwebsockets holds it: read whole, or refused.
 */
#ifndef FQ_NET_HTTP_REQUEST_H
#define FQ_NET_HTTP_REQUEST_H

#include "net/http_server.h"

/**
 * fq_http_request_read() - method, path and fields into @out; @length: of the body.
 *
 * Return: 0, or the status to refuse it with; @why then says what is wrong.
 */
uint16_t fq_http_request_read (struct lws *wsi,
                               fq_http_inbound_request_t *out,
                               size_t *length,
                               const char **why);

#endif
