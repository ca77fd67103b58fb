/**
 * DOC: Between the core's structures and the bytes that nodes exchange.
 *
 * A frame on TCP is a 4-byte big-endian length and that many bytes of a protobuf Frame.
 * A datagram of gossip is one protobuf Gossip.
 */
#ifndef FQ_WIRE_CODEC_H
#define FQ_WIRE_CODEC_H

#include "filbertquay/effect.h"
#include "filbertquay/event.h"
#include "wire/peer.pb-c.h"

#define FQ_FRAME_LENGTH_BYTES 4
#define FQ_FRAME_BYTES_MAX (4u << 20)
#define FQ_FRAME_INLINE_BODY_MAX 16384 /* a longer body follows in Data frames */
#define FQ_GOSSIP_BYTES_MAX 1400

/** fq_frame_pack() - @frame with its length in front; @out is to be freed. */
int fq_frame_pack (uint8_t **out, size_t *size, const Fq__Wire__Frame *frame);

/** fq_frame_length() - the length in the first FQ_FRAME_LENGTH_BYTES of @data. */
uint32_t fq_frame_length (const uint8_t *data);

/** fq_frame_pack_call() - pack an attempt. */
int fq_frame_pack_call (uint8_t **out, size_t *size, const fq_peer_call_effect_t *call);

/** fq_frame_pack_answer() - pack the end of an attempt. */
int fq_frame_pack_answer (uint8_t **out,
                          size_t *size,
                          fq_id_t attempt,
                          const fq_answer_t *answer);

/** fq_frame_pack_data() - pack a part of a body. */
int fq_frame_pack_data (uint8_t **out,
                        size_t *size,
                        fq_id_t attempt,
                        bool of_answer,
                        const uint8_t *bytes,
                        size_t length);

/** fq_body_is_in_data_frames() - the body of @bytes inline is announced, but not here
 * yet. */
bool fq_body_is_in_data_frames (const ProtobufCBinaryData *bytes, uint64_t announced);

/** fq_call_from_wire() - the request of a Call; @out has one reference. */
int fq_call_from_wire (fq_request_t **out, const Fq__Wire__Call *call);

/** fq_answer_from_wire() - the answer of an Answer; the receiver owns the body. */
int fq_answer_from_wire (fq_answer_t *out, const Fq__Wire__Answer *answer);

/** fq_gossip_pack() - a datagram; FQ_ERROR_TOOBIG beyond @size. */
int fq_gossip_pack (uint8_t *out, size_t size, size_t *used, const fq_gossip_t *message);

/** fq_gossip_unpack() - FQ_ERROR_INVALID for anything but a well-formed datagram. */
int fq_gossip_unpack (fq_gossip_t *out, const uint8_t *data, size_t size);

#endif
