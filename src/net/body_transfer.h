/**
 * DOC: Bodies on one connection, in parts of bounded size, under credits.
 *
 * The sender gives each body that waits a part in turn, so that a large one does not hold
 * up a small one, and stops when FQ_BODY_WINDOW_BYTES are not yet credited. The receiver
 * sets aside the whole body when it is announced, or refuses it at once.
 */
#ifndef FQ_NET_BODY_TRANSFER_H
#define FQ_NET_BODY_TRANSFER_H

#include "filbertquay/blob.h"
#include "filbertquay/types.h"
#include "util/list.h"
#include "util/map.h"

#define FQ_BODY_CHUNK_BYTES 16384   /* one Data frame carries at most */
#define FQ_BODY_WINDOW_BYTES 524288 /* sent and not credited, at most */
#define FQ_BODY_CREDIT_BYTES 131072 /* credited at once */
#define FQ_BODY_BYTES_MAX (256u << 20)

/** struct fq_body_transfer_t - both directions of one connection. */
typedef struct
{
  fq_list_t sending; /* the next part is of the first */
  size_t window;     /* bytes that may still be sent */
  size_t waiting;    /* bytes of bodies that wait to be sent */
  fq_map_t receiving;
  size_t uncredited; /* bytes received since the last credit */
} fq_body_transfer_t;

/** struct fq_body_chunk_t - the next part to send; @bytes belongs to the body. */
typedef struct
{
  fq_id_t attempt;
  const uint8_t *bytes;
  size_t size;
  bool last;
} fq_body_chunk_t;

/** fq_body_transfer_init() - nothing in either direction. */
void fq_body_transfer_init (fq_body_transfer_t *transfer);

/** fq_body_transfer_clear() - drop all; @drop frees what fq_body_expect() was given. */
void fq_body_transfer_clear (fq_body_transfer_t *transfer, void (*drop) (void *user));

/** fq_body_send() - queue @body of @attempt. */
int fq_body_send (fq_body_transfer_t *transfer, fq_id_t attempt, fq_blob_t *body);

/** fq_body_cancel_send() - send no more of @attempt. */
void fq_body_cancel_send (fq_body_transfer_t *transfer, fq_id_t attempt);

/** fq_body_next_chunk() - take the next part; false: nothing waits, or no credit is left.
 */
bool fq_body_next_chunk (fq_body_transfer_t *transfer, fq_body_chunk_t *out);

/** fq_body_add_credit() - the receiver took in @bytes; FQ_ERROR_INVALID beyond the
 * window. */
int fq_body_add_credit (fq_body_transfer_t *transfer, uint64_t bytes);

/**
 * fq_body_expect() - set aside a body of @size for @attempt.
 * @percent: of the limit of all bodies that may be in use afterwards
 * @user: given back by fq_body_receive() with the last part
 *
 * Return: 0; FQ_ERROR_TOOBIG, FQ_ERROR_AGAIN (it does not fit now), FQ_ERROR_NOMEM,
 * FQ_ERROR_CONFLICT.
 */
int fq_body_expect (fq_body_transfer_t *transfer,
                    fq_id_t attempt,
                    uint64_t size,
                    unsigned int percent,
                    void *user);

/**
 * fq_body_receive() - take in a part.
 * @body: the whole body with one reference, once it is complete; NULL before
 * @user: what fq_body_expect() was given, once it is complete
 *
 * Parts of unknown attempts are ignored: they were given up. Return: 0, or
 * FQ_ERROR_INVALID for a part beyond the announced size.
 */
int fq_body_receive (fq_body_transfer_t *transfer,
                     fq_id_t attempt,
                     const uint8_t *bytes,
                     size_t size,
                     fq_blob_t **body,
                     void **user);

/** fq_body_cancel_receive() - expect no more of @attempt; what fq_body_expect() was
 * given. */
void *fq_body_cancel_receive (fq_body_transfer_t *transfer, fq_id_t attempt);

/** fq_body_take_credit() - bytes to credit now; 0 until it is worth a frame. */
size_t fq_body_take_credit (fq_body_transfer_t *transfer);

#endif
