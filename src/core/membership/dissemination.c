#include "core/membership/dissemination.h"

#include <string.h>

#define FQ_TRANSMITS_BASE 3 /* of an entry, plus one per doubling of the view */
#define FQ_CREDIT_BYTES_PER_SECOND 850 /* refill rate, IP and UDP headers included */
#define FQ_CREDIT_MAX_BYTES 6000       /* the largest burst */
#define FQ_OVERDRAFT_MAX_BYTES 2000    /* that pings and acknowledgements may overdraw */
#define FQ_DATAGRAM_OVERHEAD_BYTES 82  /* IP, UDP, authentication, fixed fields */
#define FQ_ENTRY_OVERHEAD_BYTES 22     /* tags, lengths and numbers of an entry */
#define FQ_ENTRIES_MIN 2     /* this node's entry, and one more even without credit */
#define FQ_FRESH_TRANSMITS 4 /* the first transmits of an entry may use all credit */
#define FQ_SYNC_RESERVE_BYTES 2500         /* that later transmits leave for sync.c */
#define FQ_POISON_BYTES 24                 /* of one poison entry */
#define FQ_DATAGRAM_ENTRIES_MAX_BYTES 1000 /* so that the whole datagram fits */

void
fq_dissemination_init (fq_dissemination_t *dissemination, fq_time_t now)
{
  for (size_t i = 0; i < FQ_TRANSMITS_MAX; i++)
    fq_list_init (&dissemination->queues[i]);
  dissemination->first_used = FQ_TRANSMITS_MAX;
  dissemination->credit = FQ_CREDIT_MAX_BYTES;
  dissemination->credit_updated = now;
}

uint32_t
fq_dissemination_log2 (size_t live)
{
  uint32_t doublings = 1;

  while (((size_t)1 << doublings) < live)
    doublings++;
  return doublings;
}

uint32_t
fq_dissemination_transmit_limit (size_t live)
{
  uint32_t transmits = FQ_TRANSMITS_BASE + fq_dissemination_log2 (live);

  return transmits < FQ_TRANSMITS_MAX ? transmits : FQ_TRANSMITS_MAX;
}

static void
enqueue (fq_dissemination_t *dissemination, fq_view_node_t *node, uint32_t transmits)
{
  node->transmits = transmits;
  fq_list_remove (&node->queue_link);
  fq_list_append (&dissemination->queues[transmits], &node->queue_link);
  if (transmits < dissemination->first_used)
    dissemination->first_used = transmits;
}

void
fq_dissemination_enqueue (fq_dissemination_t *dissemination, fq_view_node_t *node)
{
  enqueue (dissemination, node, 0);
}

void
fq_dissemination_refill (fq_dissemination_t *dissemination, fq_time_t now)
{
  int64_t bytes = (now - dissemination->credit_updated) * FQ_CREDIT_BYTES_PER_SECOND
                  / FQ_MICROSECONDS_PER_SECOND;

  if (bytes <= 0)
    return;
  dissemination->credit_updated
      += bytes * FQ_MICROSECONDS_PER_SECOND / FQ_CREDIT_BYTES_PER_SECOND;
  dissemination->credit += bytes;
  if (dissemination->credit > FQ_CREDIT_MAX_BYTES)
    dissemination->credit = FQ_CREDIT_MAX_BYTES;
}

static size_t
entry_bytes (const fq_node_entry_t *entry)
{
  return FQ_ENTRY_OVERHEAD_BYTES + strlen (entry->node) + strlen (entry->address)
         + strlen (entry->failure_domain) + strlen (entry->region)
         + strlen (entry->service);
}

static size_t
entries_bytes (const fq_gossip_t *message)
{
  size_t bytes = 0;

  for (size_t i = 0; i < message->entry_count; i++)
    bytes += entry_bytes (&message->entries[i]);
  return bytes;
}

static size_t
message_bytes (const fq_gossip_t *message)
{
  return FQ_DATAGRAM_OVERHEAD_BYTES + strlen (message->from)
         + strlen (message->from_address) + strlen (message->target)
         + strlen (message->target_address) + message->poison_count * FQ_POISON_BYTES
         + entries_bytes (message);
}

/* An entry that only updates the state of a node which the receiver has in its view needs
 * no address, failure domain, region and service. */
static void
make_compact (fq_node_entry_t *entry)
{
  entry->address[0] = '\0';
  entry->failure_domain[0] = '\0';
  entry->region[0] = '\0';
  entry->service[0] = '\0';
}

void
fq_dissemination_add_self (const fq_view_t *view, bool full, fq_gossip_t *message)
{
  fq_view_node_t *self = view->self;
  fq_node_entry_t *added = &message->entries[message->entry_count++];

  *added = self->entry;
  if (!full && self->transmits >= fq_dissemination_transmit_limit (view->live))
    make_compact (added);
  self->transmits++;
}

bool
fq_dissemination_add (fq_gossip_t *message, const fq_node_entry_t *entry)
{
  fq_node_entry_t *added;

  if (message->entry_count == FQ_GOSSIP_ENTRIES_MAX
      || entries_bytes (message) + entry_bytes (entry) > FQ_DATAGRAM_ENTRIES_MAX_BYTES)
    return false;
  added = &message->entries[message->entry_count++];
  *added = *entry;
  /* Unreachable is a local finding: other nodes may still reach the node. */
  if (added->state == FQ_NODE_UNREACHABLE)
    added->state = FQ_NODE_ALIVE;
  if (added->state != FQ_NODE_ALIVE)
    make_compact (added);
  return true;
}

static fq_view_node_t *
least_sent (fq_dissemination_t *dissemination)
{
  while (dissemination->first_used < FQ_TRANSMITS_MAX)
    {
      fq_list_t *link = fq_list_first (&dissemination->queues[dissemination->first_used]);

      if (link != NULL)
        return FQ_LIST_ENTRY (link, fq_view_node_t, queue_link);
      dissemination->first_used++;
    }
  return NULL;
}

static bool
contains (const fq_gossip_t *message, const fq_view_node_t *node)
{
  for (size_t i = 0; i < message->entry_count; i++)
    {
      if (strcmp (message->entries[i].node, node->entry.node) == 0)
        return true;
    }
  return false;
}

static bool
has_credit (const fq_dissemination_t *dissemination, const fq_gossip_t *message)
{
  int64_t reserved
      = dissemination->first_used < FQ_FRESH_TRANSMITS ? 0 : FQ_SYNC_RESERVE_BYTES;

  return message->entry_count < FQ_ENTRIES_MIN
         || dissemination->credit > reserved + (int64_t)message_bytes (message);
}

void
fq_dissemination_fill (fq_dissemination_t *dissemination,
                       const fq_view_t *view,
                       fq_gossip_t *message)
{
  uint32_t limit = fq_dissemination_transmit_limit (view->live);
  fq_list_t sent;
  fq_list_t *link;
  fq_view_node_t *node;

  fq_list_init (&sent);
  while ((node = least_sent (dissemination)) != NULL
         && has_credit (dissemination, message))
    {
      if (!contains (message, node) && !fq_dissemination_add (message, &node->entry))
        break;
      fq_list_remove (&node->queue_link);
      fq_list_append (&sent, &node->queue_link);
    }
  while ((link = fq_list_first (&sent)) != NULL)
    {
      node = FQ_LIST_ENTRY (link, fq_view_node_t, queue_link);
      fq_list_remove (link);
      if (node->transmits + 1 < limit)
        enqueue (dissemination, node, node->transmits + 1);
    }
}

void
fq_dissemination_charge (fq_dissemination_t *dissemination, const fq_gossip_t *message)
{
  size_t bytes = message_bytes (message);

  dissemination->credit -= (int64_t)bytes;
  if (dissemination->credit < -FQ_OVERDRAFT_MAX_BYTES)
    dissemination->credit = -FQ_OVERDRAFT_MAX_BYTES;
  dissemination->bytes_sent += bytes;
}
