/**
 * DOC: Fuzz target: datagrams of membership, as payload and as a whole.
 *
 * What is taken in must come out the same after it was packed again.
 */
#include <stdlib.h>
#include <string.h>

#include "net/auth.h"
#include "wire/codec.h"

int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

static void
check_again (const fq_gossip_t *message)
{
  static fq_gossip_t again;
  uint8_t packed[FQ_GOSSIP_BYTES_MAX * 8];
  size_t used;

  if (fq_gossip_pack (packed, sizeof packed, &used, message) < 0
      || fq_gossip_unpack (&again, packed, used) < 0
      || again.entry_count != message->entry_count
      || again.poison_count != message->poison_count
      || again.sequence != message->sequence || strcmp (again.from, message->from) != 0)
    abort ();
}

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  const fq_auth_keys_t keys = { { "a key that the input does not know" } };
  static fq_gossip_t message;
  uint64_t stamp;

  if (fq_gossip_unpack (&message, data, size) == FQ_OK)
    check_again (&message);
  if (fq_auth_verify_datagram (&stamp, data, size, &keys) == FQ_OK)
    abort ();
  return 0;
}
