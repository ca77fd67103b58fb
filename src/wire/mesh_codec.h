/**
 * DOC: Encodes and decodes the frames that filbertquay-node nodes exchange.
 *
 * A frame is a 4-byte big-endian length and that many bytes of a protobuf Frame. See
 * mesh.proto.
 */
#ifndef FQ_WIRE_MESH_CODEC_H
#define FQ_WIRE_MESH_CODEC_H

#include "mesh/frame.h"

#define FQ_MESH_FRAME_BYTES_MAX (96u << 20) /* received, without the length field */

/** fq_mesh_frame_write() - append the encoded @frame to @out; a large body is not copied.
 */
void fq_mesh_frame_write (fq_output_t *out, const fq_frame_t *frame);

/**
 * fq_mesh_frame_read() - decode one frame and remove it from the front of @in.
 * @out: zeroed by the caller; to be released with fq_frame_clear(), also on failure
 *
 * A large body is decoded into its blob at once, so that it is held twice only until its
 * encoded bytes are removed from @in. May abort the process when out of memory.
 *
 * Return: 0; FQ_ERROR_AGAIN when @in does not yet hold a complete frame; FQ_ERROR_INVALID
 * when the frame is malformed or too large; FQ_ERROR_NOMEM.
 */
int fq_mesh_frame_read (fq_frame_t *out, fq_buffer_t *in);

#endif
