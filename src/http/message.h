/**
 * DOC: A complete HTTP/1.1 message, as it is forwarded from hop to hop.
 *
 * It holds end-to-end fields only. Hop-by-hop fields and framing are removed by the
 * reader and added by the functions that write a message.
 */
#ifndef FQ_HTTP_MESSAGE_H
#define FQ_HTTP_MESSAGE_H

#include "filbertquay/blob.h"
#include "filbertquay/types.h"
#include "io/output.h"
#include "util/text.h"

/** struct fq_http_message_t - a request (method and target) or an answer (status). */
typedef struct
{
  uint32_t references;
  char method[FQ_METHOD_BYTES]; /* empty: an answer */
  char *target;                 /* request target as received; NULL: an answer */
  uint16_t status;              /* 0: a request */
  char *fields; /* lines "Name: value\r\n" in the order received; "": none; never NULL */
  fq_blob_t *body;     /* NULL: none */
  size_t head_counted; /* bytes of @target and @fields in the account of memory */
} fq_http_message_t;

/**
 * fq_http_message_new() - allocate an empty message with one reference.
 *
 * Like all functions here that allocate, it aborts when out of memory.
 */
fq_http_message_t *fq_http_message_new (void);

/** fq_http_message_count_head() - count the present size of the target and the fields in
 * the account of filbertquay/memory.h, until the message is freed. */
void fq_http_message_count_head (fq_http_message_t *message);

/** fq_http_message_copy() - a new message with copied fields and a shared body. */
fq_http_message_t *fq_http_message_copy (const fq_http_message_t *message);

/** fq_http_message_ref() - add a reference; NULL-safe. */
fq_http_message_t *fq_http_message_ref (fq_http_message_t *message);

/** fq_http_message_unref() - drop a reference and free at zero; NULL-safe. */
void fq_http_message_unref (fq_http_message_t *message);

/** fq_http_message_body_size() - size of the body in bytes; 0 without a body. */
size_t fq_http_message_body_size (const fq_http_message_t *message);

/**
 * fq_http_message_get() - get the value of the first field named @name, ignoring case.
 * @out: receives the value with a NUL; empty when false is returned
 * @size: bytes at @out, at least 1
 *
 * Return: whether the field exists and its value fits.
 */
bool fq_http_message_get (const fq_http_message_t *message,
                          const char *name,
                          char *out,
                          size_t size);

/**
 * fq_http_message_get_text() - get the value of the first field named @name, ignoring
 * case.
 *
 * Return: a new reference; NULL if there is no such field or it is empty.
 */
fq_text_t *fq_http_message_get_text (const fq_http_message_t *message, const char *name);

/** fq_http_message_has() - whether there is a field named @name, ignoring case. */
bool fq_http_message_has (const fq_http_message_t *message, const char *name);

/** fq_http_message_count() - number of fields named @name, ignoring case. */
size_t fq_http_message_count (const fq_http_message_t *message, const char *name);

/** fq_http_message_drop() - remove every field named @name, ignoring case. */
void fq_http_message_drop (fq_http_message_t *message, const char *name);

/** fq_http_message_add() - append a field; existing ones of that name stay. */
void
fq_http_message_add (fq_http_message_t *message, const char *name, const char *value);

/** fq_http_write_request() - append the request with its framing to @out. */
void fq_http_write_request (fq_output_t *out, const fq_http_message_t *message);

/**
 * fq_http_write_answer() - append the answer with its framing to @out.
 * @close: announce with "Connection: close" that the connection ends after it
 * @head_only: leave out Content-Length and the body, for the answer to a HEAD request
 */
void fq_http_write_answer (fq_output_t *out,
                           const fq_http_message_t *message,
                           bool close,
                           bool head_only);

#endif
