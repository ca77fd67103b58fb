/**
 * DOC: Fuzz target: frames between nodes of filbertquay-node. An accepted frame must have
 * the same kind, attempt and number of nodes after writing and reading it. Inputs are too
 * small for bodies that are sent without a copy.
 */
#include <stdlib.h>
#include <string.h>

#include "wire/mesh_codec.h"

int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  fq_buffer_t in = { 0 };
  fq_output_t out;
  fq_frame_t frame = { 0 };
  fq_frame_t reread = { 0 };

  fq_output_init (&out);
  fq_buffer_add (&in, data, size);
  if (fq_mesh_frame_read (&frame, &in) == 0)
    {
      fq_mesh_frame_write (&out, &frame);
      if (fq_mesh_frame_read (&reread, &out.bytes) != 0 || reread.kind != frame.kind
          || reread.attempt != frame.attempt || reread.node_count != frame.node_count)
        abort ();
    }
  fq_frame_clear (&frame);
  fq_frame_clear (&reread);
  fq_buffer_clear (&in);
  fq_output_clear (&out);
  return 0;
}
