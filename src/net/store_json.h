/**
 * DOC: HTTP and JSON encoding of store operations and decoding of the platform's answers.
 */
#ifndef FQ_NET_STORE_JSON_H
#define FQ_NET_STORE_JSON_H

#include "filbertquay/blob.h"
#include "filbertquay/store.h"

/**
 * fq_store_json_path() - write the URL path and query of @op into @to.
 *
 * Return: 0; FQ_ERROR_TOOBIG when it does not fit into @size bytes; FQ_ERROR_INVALID for
 * an unknown kind of operation.
 */
int fq_store_json_path (char *to, size_t size, const fq_store_op_t *op);

/**
 * fq_store_json_body() - the request body of @op.
 * @out: set to a new body that the caller owns, or to NULL when the request has none
 *
 * Return: 0; FQ_ERROR_INVALID when a key or value is not UTF-8, or memory for the JSON
 * text is short; FQ_ERROR_NOMEM when memory for the body is short.
 */
int fq_store_json_body (fq_blob_t **out, const fq_store_op_t *op);

/**
 * fq_store_json_parse_answer() - decode the platform's answer to @op.
 * @out: its status and rows are set, its id is left unchanged
 * @status: HTTP status code
 * @body: body of the HTTP answer; NULL: empty
 *
 * An answer whose rows can't be decoded gives FQ_STORE_UNAVAILABLE without rows.
 */
void fq_store_json_parse_answer (fq_store_answer_t *out,
                                 const fq_store_op_t *op,
                                 uint16_t status,
                                 const fq_blob_t *body);

#endif
