/**
 * DOC: One whole HTTP/1.1 message, as it is passed from hop to hop.
 *
 * Only end-to-end fields are kept. Framing and fields that concern one connection are
 * read by the reader and written by the writer of each hop.
 */
#ifndef FQ_HTTP_MESSAGE_H
#define FQ_HTTP_MESSAGE_H

#include "filbertquay/blob.h"
#include "filbertquay/types.h"
#include "io/buffer.h"

/** struct fq_http_message_t - a request has a method and a target, an answer a status. */
typedef struct
{
  uint32_t references;
  char method[FQ_METHOD_BYTES]; /* empty: an answer */
  char *target;                 /* as received; NULL: an answer */
  uint16_t status;
  char *fields;    /* lines "Name: value\r\n" in the order of arrival; never NULL */
  fq_blob_t *body; /* NULL: none */
} fq_http_message_t;

/** fq_http_message_new() - an empty message; ends the process without memory. */
fq_http_message_t *fq_http_message_new (void);

/** fq_http_message_copy() - the same message with fields of its own; the body is shared.
 */
fq_http_message_t *fq_http_message_copy (const fq_http_message_t *message);

/** fq_http_message_ref() - one more reference; NULL stays NULL. */
fq_http_message_t *fq_http_message_ref (fq_http_message_t *message);

/** fq_http_message_unref() - one reference less; frees at zero; NULL-safe. */
void fq_http_message_unref (fq_http_message_t *message);

/** fq_http_message_body_size() - bytes of the body. */
size_t fq_http_message_body_size (const fq_http_message_t *message);

/**
 * fq_http_message_get() - the value of the first field called @name, any case.
 *
 * Return: whether there is one that fits; otherwise @out is empty.
 */
bool fq_http_message_get (const fq_http_message_t *message,
                          const char *name,
                          char *out,
                          size_t size);

/** fq_http_message_drop() - remove every field called @name, any case. */
void fq_http_message_drop (fq_http_message_t *message, const char *name);

/** fq_http_message_add() - append a field. */
void
fq_http_message_add (fq_http_message_t *message, const char *name, const char *value);

/** fq_http_write_request() - append the whole request. */
void fq_http_write_request (fq_buffer_t *out, const fq_http_message_t *message);

/**
 * fq_http_write_answer() - append the whole answer.
 * @close: tell that the connection ends after it
 * @head_only: it answers a HEAD request
 */
void fq_http_write_answer (fq_buffer_t *out,
                           const fq_http_message_t *message,
                           bool close,
                           bool head_only);

#endif
