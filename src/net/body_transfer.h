/**
 * DOC: Transfer of bodies over one connection between nodes, with flow control.
 *
 * The sender splits bodies into chunks and sends one chunk of each queued body in turn,
 * so that a large body does not delay a small one. It stops while FQ_BODY_WINDOW_BYTES
 * are sent and not yet credited by the receiver. The receiver allocates the whole body
 * when it is announced, or refuses it at once.
 */
#ifndef FQ_NET_BODY_TRANSFER_H
#define FQ_NET_BODY_TRANSFER_H

#include "filbertquay/blob.h"
#include "filbertquay/types.h"
#include "util/list.h"
#include "util/map.h"

#define FQ_BODY_CHUNK_BYTES 16384      /* largest chunk, the payload of one Data frame */
#define FQ_BODY_WINDOW_BYTES 524288    /* most bytes sent and not yet credited */
#define FQ_BODY_CREDIT_BYTES 131072    /* least bytes credited by one Credit frame */
#define FQ_BODY_BYTES_MAX (256u << 20) /* largest body that can be announced */

/** struct fq_body_transfer_t - bodies in both directions of one connection. */
typedef struct
{
  fq_list_t outgoing;  /* outgoing bodies; the next chunk is taken from the first */
  size_t window;       /* bytes that may be sent before the next credit */
  size_t unsent_bytes; /* bytes of outgoing bodies that were not sent yet */
  fq_map_t incoming;   /* incoming bodies by attempt */
  size_t uncredited;   /* bytes received since the last credit */
} fq_body_transfer_t;

/** struct fq_body_chunk_t - a chunk to send; @bytes points into the body. */
typedef struct
{
  fq_id_t attempt;
  const uint8_t *bytes;
  size_t size;
  bool last; /* it completes the body */
} fq_body_chunk_t;

/** fq_body_transfer_init() - no bodies, and a full send window. */
void fq_body_transfer_init (fq_body_transfer_t *transfer);

/**
 * fq_body_transfer_clear() - drop all bodies of both directions.
 * @drop: called with the @user pointer of each body that was still expected
 */
void fq_body_transfer_clear (fq_body_transfer_t *transfer, void (*drop) (void *user));

/**
 * fq_body_send() - queue @body of @attempt for sending; takes a reference to it.
 *
 * Return: 0 or FQ_ERROR_NOMEM.
 */
int fq_body_send (fq_body_transfer_t *transfer, fq_id_t attempt, fq_blob_t *body);

/** fq_body_cancel_send() - stop sending bodies of @attempt; no effect if there are none.
 */
void fq_body_cancel_send (fq_body_transfer_t *transfer, fq_id_t attempt);

/**
 * fq_body_next_chunk() - take the next chunk to send, and charge it to the window.
 *
 * @out stays valid until fq_body_cancel_send(), which the caller has to call once the
 * chunk that is @last has been put into a frame.
 *
 * Return: false when no body is queued or the window is used up.
 */
bool fq_body_next_chunk (fq_body_transfer_t *transfer, fq_body_chunk_t *out);

/**
 * fq_body_add_credit() - handle a credit of @bytes from the receiver.
 *
 * Return: 0, or FQ_ERROR_INVALID for more bytes than are sent and not yet credited.
 */
int fq_body_add_credit (fq_body_transfer_t *transfer, uint64_t bytes);

/**
 * fq_body_expect() - allocate a body of @size bytes that was announced for @attempt.
 * @percent: share of the process's limit for bodies that may be in use afterwards
 * @user: returned by fq_body_receive() with the complete body, or by
 * fq_body_cancel_receive()
 *
 * Return: 0; FQ_ERROR_TOOBIG when @size is 0 or above FQ_BODY_BYTES_MAX; FQ_ERROR_AGAIN
 * when the body does not fit into @percent now; FQ_ERROR_CONFLICT when @attempt is 0 or
 * its body is already expected; FQ_ERROR_NOMEM.
 */
int fq_body_expect (fq_body_transfer_t *transfer,
                    fq_id_t attempt,
                    uint64_t size,
                    unsigned int percent,
                    void *user);

/**
 * fq_body_receive() - append a received chunk to the body of @attempt.
 * @body: set to the body once it is complete, with a reference that the caller owns; else
 * set to NULL
 * @user: set to the pointer given to fq_body_expect() when @body is complete; else
 * unchanged
 *
 * Chunks of attempts that are not expected are dropped, since the attempt was cancelled;
 * they are credited like others.
 *
 * Return: 0, or FQ_ERROR_INVALID for a chunk beyond the announced size.
 */
int fq_body_receive (fq_body_transfer_t *transfer,
                     fq_id_t attempt,
                     const uint8_t *bytes,
                     size_t size,
                     fq_blob_t **body,
                     void **user);

/**
 * fq_body_cancel_receive() - stop receiving the body of @attempt and free what was
 * received.
 *
 * Return: the @user pointer given to fq_body_expect(); NULL when no body was expected.
 */
void *fq_body_cancel_receive (fq_body_transfer_t *transfer, fq_id_t attempt);

/**
 * fq_body_take_credit() - take the number of bytes to credit to the sender.
 *
 * Return: bytes received since the last credit, whose count is reset; 0 while these are
 * fewer than FQ_BODY_CREDIT_BYTES.
 */
size_t fq_body_take_credit (fq_body_transfer_t *transfer);

#endif
