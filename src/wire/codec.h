/**
 * DOC: Encodes and decodes what filbertquayd nodes exchange.
 *
 * A frame on TCP is a 4-byte big-endian length and that many bytes of a protobuf Frame.
 * A membership datagram is one protobuf Gossip. See peer.proto.
 *
 * Functions return 0 or a negative fq_error_code_t. Those that pack a frame set @out to
 * @size bytes, which include the length and are to be freed by the caller. They fail with
 * FQ_ERROR_TOOBIG beyond FQ_FRAME_BYTES_MAX, or FQ_ERROR_NOMEM; @out is then unchanged.
 */
#ifndef FQ_WIRE_CODEC_H
#define FQ_WIRE_CODEC_H

#include "filbertquay/effect.h"
#include "filbertquay/event.h"
#include "wire/peer.pb-c.h"

#define FQ_FRAME_LENGTH_BYTES 4        /* length field before a frame */
#define FQ_FRAME_BYTES_MAX (4u << 20)  /* of a frame, without its length field */
#define FQ_FRAME_INLINE_BODY_MAX 16384 /* bytes; a longer body follows in Data frames */
#define FQ_GOSSIP_BYTES_MAX 1400       /* of a datagram */

/** fq_frame_pack() - pack @frame. */
int fq_frame_pack (uint8_t **out, size_t *size, const Fq__Wire__Frame *frame);

/** fq_frame_length() - decode the length field at @data: bytes of the frame after it. */
uint32_t fq_frame_length (const uint8_t *data);

/** fq_frame_pack_call() - pack a Call; a long body is left for Data frames. */
int fq_frame_pack_call (uint8_t **out, size_t *size, const fq_peer_call_effect_t *call);

/** fq_frame_pack_answer() - pack an Answer; a long body is left for Data frames. */
int fq_frame_pack_answer (uint8_t **out,
                          size_t *size,
                          fq_id_t attempt,
                          const fq_answer_t *answer);

/**
 * fq_frame_pack_data() - pack a Data frame with a part of a body.
 * @of_answer: the body belongs to the Answer of @attempt, not to its Call
 */
int fq_frame_pack_data (uint8_t **out,
                        size_t *size,
                        fq_id_t attempt,
                        bool of_answer,
                        const uint8_t *bytes,
                        size_t length);

/**
 * fq_body_is_in_data_frames() - whether the body of a Call or Answer follows in Data
 * frames.
 * @bytes: the body inside the frame
 * @announced: the body size in bytes that the frame states
 */
bool fq_body_is_in_data_frames (const ProtobufCBinaryData *bytes, uint64_t announced);

/**
 * fq_call_from_wire() - decode a Call.
 * @out: set to the request, with one reference that the caller owns; unchanged on failure
 *
 * The body of the request is NULL when it is empty or follows in Data frames.
 *
 * Return: 0; FQ_ERROR_INVALID for a malformed Call; FQ_ERROR_NOMEM.
 */
int fq_call_from_wire (fq_request_t **out, const Fq__Wire__Call *call);

/**
 * fq_answer_from_wire() - decode an Answer.
 * @out: the caller owns the reference to its body
 *
 * The body is NULL when it is empty or follows in Data frames, and on failure.
 *
 * Return: 0; FQ_ERROR_INVALID for a malformed Answer; FQ_ERROR_NOMEM.
 */
int fq_answer_from_wire (fq_answer_t *out, const Fq__Wire__Answer *answer);

/**
 * fq_gossip_pack() - pack a membership datagram.
 * @out: buffer of @size bytes
 * @used: set to the bytes written
 *
 * Leaves out the last entries, but not the first one, when they do not fit.
 *
 * Return: 0, or FQ_ERROR_TOOBIG when it does not fit even so.
 */
int fq_gossip_pack (uint8_t *out, size_t size, size_t *used, const fq_gossip_t *message);

/** fq_gossip_unpack() - decode a datagram; FQ_ERROR_INVALID if it is malformed. */
int fq_gossip_unpack (fq_gossip_t *out, const uint8_t *data, size_t size);

#endif
