/**
 * DOC: Between frames of nodes and the bytes on a connection.
 *
 * A frame is a 4-byte big-endian length and that many bytes of a protobuf Frame.
 */
#ifndef FQ_WIRE_MESH_CODEC_H
#define FQ_WIRE_MESH_CODEC_H

#include "mesh/frame.h"

#define FQ_MESH_FRAME_BYTES_MAX (96u << 20)

/** fq_mesh_frame_write() - append @frame. */
void fq_mesh_frame_write (fq_buffer_t *out, const fq_frame_t *frame);

/**
 * fq_mesh_frame_read() - take one frame from the front of @in.
 *
 * Return: 0; FQ_ERROR_AGAIN: it is not whole yet; FQ_ERROR_INVALID: it is none.
 */
int fq_mesh_frame_read (fq_frame_t *out, fq_buffer_t *in);

#endif
