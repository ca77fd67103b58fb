/**
 * DOC: Fuzz target: gossip datagrams, with the input as the payload and as the datagram
 * with its authentication header.
 *
 * An accepted payload must be the same after packing and unpacking. The input is made
 * without the key, so it must never pass the authentication.
 */
#include <stdlib.h>
#include <string.h>

#include "net/auth.h"
#include "wire/codec.h"

int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

static void
check_round_trip (const fq_gossip_t *message)
{
  static fq_gossip_t decoded;
  uint8_t packed[FQ_GOSSIP_BYTES_MAX * 8];
  size_t used;

  if (fq_gossip_pack (packed, sizeof packed, &used, message) < 0
      || fq_gossip_unpack (&decoded, packed, used) < 0
      || decoded.entry_count != message->entry_count
      || decoded.poison_count != message->poison_count
      || decoded.sequence != message->sequence
      || strcmp (decoded.from, message->from) != 0)
    abort ();
}

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  const fq_auth_keys_t keys = { { "a key that the input does not know" } };
  static fq_gossip_t message;
  uint64_t stamp;

  if (fq_gossip_unpack (&message, data, size) == FQ_OK)
    check_round_trip (&message);
  if (fq_auth_verify_datagram (&stamp, data, size, &keys) == FQ_OK)
    abort ();
  return 0;
}
