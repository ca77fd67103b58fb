/**
 * DOC: Fuzz target: the settings of a node. Accepted settings must have a node name, a
 * cluster key, a client account and a valid peer port.
 */
#include <stdlib.h>

#include "filbertquay/settings.h"

int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  static fq_settings_t settings;

  if (fq_settings_parse (&settings, (const char *)data, size) < 0)
    return 0;
  if (settings.node[0] == '\0' || settings.cluster_key[0] == '\0'
      || settings.member_count == 0 || settings.peer_port < 1)
    abort ();
  return 0;
}
