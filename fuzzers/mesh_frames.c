/**
 * DOC: Fuzz target: frames between nodes. What is read can be written and read again.
 */
#include <stdlib.h>
#include <string.h>

#include "wire/mesh_codec.h"

int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  fq_buffer_t in = { 0 };
  fq_buffer_t out = { 0 };
  fq_frame_t frame = { 0 };
  fq_frame_t again = { 0 };

  fq_buffer_add (&in, data, size);
  if (fq_mesh_frame_read (&frame, &in) == 0)
    {
      fq_mesh_frame_write (&out, &frame);
      if (fq_mesh_frame_read (&again, &out) != 0 || again.kind != frame.kind
          || again.attempt != frame.attempt || again.node_count != frame.node_count)
        abort ();
    }
  fq_frame_clear (&frame);
  fq_frame_clear (&again);
  fq_buffer_clear (&in);
  fq_buffer_clear (&out);
  return 0;
}
