#include "core/membership/dissemination.h"

#include <string.h>

#define FQ_TELLS_BASE 3 /* sends of an entry, besides one per doubling of the view */
#define FQ_BYTES_PER_SECOND 850 /* sent on average, headers of IP and UDP included */
#define FQ_CREDIT_MAX 6000      /* bytes saved up at most */
#define FQ_DEBT_MAX 2000        /* bytes that probes may overdraw */
#define FQ_DATAGRAM_OVERHEAD_BYTES 82 /* IP, UDP, authentication and fixed fields */
#define FQ_ENTRY_OVERHEAD_BYTES 22    /* tags, lengths and numbers of an entry */
#define FQ_ENTRIES_MIN 2              /* our own, and one more also without credit */
#define FQ_FRESH_TELLS 4              /* the first sends of an entry may use all credit */
#define FQ_REPEAT_CREDIT 2500 /* bytes that later ones leave for comparing views */
#define FQ_POISON_BYTES 24    /* a suspicion against a request */
#define FQ_DATAGRAM_ENTRIES_BYTES 1000 /* entries of one datagram, so that it fits */

void
fq_dissemination_init (fq_dissemination_t *spread, fq_time_t now)
{
  for (size_t i = 0; i < FQ_TELLS_MAX; i++)
    fq_list_init (&spread->queues[i]);
  spread->first = FQ_TELLS_MAX;
  spread->credit = FQ_CREDIT_MAX;
  spread->credited = now;
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
fq_dissemination_tells (size_t live)
{
  uint32_t tells = FQ_TELLS_BASE + fq_dissemination_log2 (live);

  return tells < FQ_TELLS_MAX ? tells : FQ_TELLS_MAX;
}

static void
queue (fq_dissemination_t *spread, fq_known_t *known, uint32_t tells)
{
  known->tells = tells;
  fq_list_remove (&known->told);
  fq_list_append (&spread->queues[tells], &known->told);
  if (tells < spread->first)
    spread->first = tells;
}

void
fq_dissemination_tell (fq_dissemination_t *spread, fq_known_t *known)
{
  queue (spread, known, 0);
}

void
fq_dissemination_top_up (fq_dissemination_t *spread, fq_time_t now)
{
  int64_t bytes
      = (now - spread->credited) * FQ_BYTES_PER_SECOND / FQ_MICROSECONDS_PER_SECOND;

  if (bytes <= 0)
    return;
  spread->credited += bytes * FQ_MICROSECONDS_PER_SECOND / FQ_BYTES_PER_SECOND;
  spread->credit += bytes;
  if (spread->credit > FQ_CREDIT_MAX)
    spread->credit = FQ_CREDIT_MAX;
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

/* What only says how a known node is needs no more than its name and numbers. */
static void
cut_texts (fq_node_entry_t *entry)
{
  entry->address[0] = '\0';
  entry->failure_domain[0] = '\0';
  entry->region[0] = '\0';
  entry->service[0] = '\0';
}

void
fq_dissemination_add_self (const fq_view_t *view, bool whole, fq_gossip_t *message)
{
  fq_known_t *self = view->self;
  fq_node_entry_t *added = &message->entries[message->entry_count++];

  *added = self->entry;
  if (!whole && self->tells >= fq_dissemination_tells (view->live))
    cut_texts (added);
  self->tells++;
}

bool
fq_dissemination_add (fq_gossip_t *message, const fq_node_entry_t *entry)
{
  fq_node_entry_t *added;

  if (message->entry_count == FQ_GOSSIP_ENTRIES_MAX
      || entries_bytes (message) + entry_bytes (entry) > FQ_DATAGRAM_ENTRIES_BYTES)
    return false;
  added = &message->entries[message->entry_count++];
  *added = *entry;
  /* Unreachable is what we see from here; others see for themselves. */
  if (added->state == FQ_NODE_UNREACHABLE)
    added->state = FQ_NODE_ALIVE;
  if (added->state != FQ_NODE_ALIVE)
    cut_texts (added);
  return true;
}

static fq_known_t *
least_told (fq_dissemination_t *spread)
{
  while (spread->first < FQ_TELLS_MAX)
    {
      fq_list_t *link = fq_list_first (&spread->queues[spread->first]);

      if (link != NULL)
        return FQ_LIST_ENTRY (link, fq_known_t, told);
      spread->first++;
    }
  return NULL;
}

static bool
holds (const fq_gossip_t *message, const fq_known_t *known)
{
  for (size_t i = 0; i < message->entry_count; i++)
    {
      if (strcmp (message->entries[i].node, known->entry.node) == 0)
        return true;
    }
  return false;
}

static bool
has_credit (const fq_dissemination_t *spread, const fq_gossip_t *message)
{
  int64_t kept = spread->first < FQ_FRESH_TELLS ? 0 : FQ_REPEAT_CREDIT;

  return message->entry_count < FQ_ENTRIES_MIN
         || spread->credit > kept + (int64_t)message_bytes (message);
}

void
fq_dissemination_fill (fq_dissemination_t *spread,
                       const fq_view_t *view,
                       fq_gossip_t *message)
{
  uint32_t bound = fq_dissemination_tells (view->live);
  fq_list_t sent;
  fq_list_t *link;
  fq_known_t *known;

  fq_list_init (&sent);
  while ((known = least_told (spread)) != NULL && has_credit (spread, message))
    {
      if (!holds (message, known) && !fq_dissemination_add (message, &known->entry))
        break;
      fq_list_remove (&known->told);
      fq_list_append (&sent, &known->told);
    }
  while ((link = fq_list_first (&sent)) != NULL)
    {
      known = FQ_LIST_ENTRY (link, fq_known_t, told);
      fq_list_remove (link);
      if (known->tells + 1 < bound)
        queue (spread, known, known->tells + 1);
    }
}

void
fq_dissemination_account (fq_dissemination_t *spread, const fq_gossip_t *message)
{
  size_t bytes = message_bytes (message);

  spread->credit -= (int64_t)bytes;
  if (spread->credit < -FQ_DEBT_MAX)
    spread->credit = -FQ_DEBT_MAX;
  spread->bytes += bytes;
}
