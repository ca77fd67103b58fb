#include "core/membership/membership.h"

#include <stdlib.h>
#include <string.h>

#include "core/membership/membership_private.h"
#include "filbertquay/errors.h"
#include "util/text.h"

/* After such a gap between ticks other nodes may have declared this one dead. */
#define FQ_PAUSE_US (2 * FQ_MICROSECONDS_PER_SECOND)
#define FQ_LATE_TICK_US 200000 /* gap between ticks that raises the health score */
/* Between pings to nodes that acknowledge with an outdated entry of this node. */
#define FQ_CORRECTION_INTERVAL_US 100000
#define FQ_JOIN_INTERVAL_US 500000 /* between pings of seeds until one answers */
#define FQ_PUSH_ROUNDS 5           /* at most, for one change of this node's entry */
#define FQ_PUSH_INTERVAL_US 400000 /* between rounds */
#define FQ_INTRODUCED_NODES 6      /* random nodes whose entries a new node is sent */
/* Sequence numbers start at 1 with each start of a node. A sender with one this low has
 * just started, also when its entry of an earlier start is known. */
#define FQ_JUST_STARTED_SEQUENCE_MAX 4
#define FQ_LEAVE_RANDOM_NODES 8 /* notified of a leave, besides the requesters */

static void
init_self_entry (const fq_core_options_t *options, fq_node_entry_t *self)
{
  fq_text_copy (self->node, sizeof self->node, options->node);
  fq_text_copy (self->address, sizeof self->address, options->address);
  fq_text_copy (self->failure_domain, sizeof self->failure_domain,
                options->failure_domain);
  fq_text_copy (self->region, sizeof self->region, options->region);
  self->incarnation = options->incarnation;
}

int
fq_membership_new (fq_membership_t **out, const fq_core_options_t *options, fq_time_t now)
{
  fq_membership_t *membership = calloc (1, sizeof *membership);
  fq_node_entry_t self = { 0 };
  int rc;

  if (membership == NULL)
    return fq_error_set (FQ_ERROR_CLASS_CORE, FQ_ERROR_NOMEM, "no memory for membership");
  membership->random.state = options->seed;
  membership->last_received_at = now;
  fq_dissemination_init (&membership->dissemination, now);
  init_self_entry (options, &self);
  rc = fq_view_init (&membership->view, &self, now);
  if (rc < 0)
    {
      fq_membership_free (membership);
      return rc;
    }
  for (size_t i = 0; i < options->seed_count; i++)
    fq_membership_add_seed (membership, options->seeds[i]);
  membership->seed_offset = fq_random_below (&membership->random, FQ_SEEDS_MAX);
  membership->next_join
      = now + (fq_time_t)fq_random_below (&membership->random, FQ_JOIN_INTERVAL_US / 2);
  membership->probe.next_period
      = now + fq_membership_jitter (membership, FQ_PROBE_PERIOD_US);
  membership->probe.next_sweep = now;
  membership->sync.next_request = now + FQ_PROBE_PERIOD_US;
  *out = membership;
  return FQ_OK;
}

void
fq_membership_free (fq_membership_t *membership)
{
  if (membership == NULL)
    return;
  fq_view_clear (&membership->view);
  free (membership);
}

void
fq_membership_add_seed (fq_membership_t *membership, const char *address)
{
  if (membership->seed_count < FQ_SEEDS_MAX)
    fq_text_copy (membership->seeds[membership->seed_count++], FQ_ADDRESS_BYTES, address);
}

fq_time_t
fq_membership_jitter (fq_membership_t *membership, fq_time_t interval)
{
  return interval - interval / 10
         + (fq_time_t)fq_random_below (&membership->random, (uint64_t)interval / 5);
}

void
fq_membership_raise_incarnation (fq_membership_t *membership,
                                 uint64_t seen,
                                 fq_time_t now)
{
  fq_view_t *view = &membership->view;
  fq_node_entry_t self = view->self->entry;

  self.incarnation = (seen > self.incarnation ? seen : self.incarnation) + 1;
  fq_view_replace (view, view->self, &self, now);
  view->self->transmits = 0;
}

static void
start_push (fq_membership_t *membership, fq_time_t now)
{
  fq_push_t *push = &membership->push;

  for (size_t i = 0; i < push->count; i++)
    push->pending[i] = true;
  push->rounds_left = FQ_PUSH_ROUNDS;
  push->next_round = now;
}

void
fq_membership_set_self (fq_membership_t *membership,
                        fq_time_t now,
                        const char *service,
                        uint32_t slots,
                        bool ready)
{
  fq_node_entry_t *self = &membership->view.self->entry;

  fq_text_copy (self->service, sizeof self->service, service);
  self->slots = slots;
  self->ready = ready;
  fq_membership_raise_incarnation (membership, 0, now);
  start_push (membership, now);
  if (membership->joined)
    membership->probe.next_period = now;
}

void
fq_membership_set_piggyback (fq_membership_t *membership,
                             uint64_t ticket_number,
                             const fq_poison_entry_t *poison,
                             size_t poison_count)
{
  membership->ticket_number = ticket_number;
  membership->poison_count = poison_count;
  memcpy (membership->poison, poison, poison_count * sizeof *poison);
}

void
fq_membership_add_requester (fq_membership_t *membership, const char *node)
{
  fq_push_t *push = &membership->push;
  uint64_t hash = fq_map_hash (node);
  size_t slot;

  for (size_t i = 0; i < push->count; i++)
    {
      if (push->nodes[i] == hash)
        return;
    }
  slot = push->next_slot++ % FQ_PUSH_NODES_MAX;
  push->nodes[slot] = hash;
  push->pending[slot] = push->rounds_left > 0;
  if (push->count < FQ_PUSH_NODES_MAX)
    push->count++;
}

/* Fills @message with the entries whose hash is above @message->sequence, instead of
 * queued ones. Sets @message->sequence to the hash of the last entry added, or to 0 when
 * no more follow. */
static void
fill_sync_part (const fq_view_t *view, fq_gossip_t *message)
{
  size_t index = fq_view_upper_bound (view, message->sequence);

  while (index < view->count
         && fq_dissemination_add (message, &view->nodes[index]->entry))
    index++;
  message->sequence = index == view->count ? 0 : view->nodes[index - 1]->hash;
}

static fq_gossip_t *
new_message (fq_membership_t *membership,
             fq_gossip_kind_t kind,
             uint64_t sequence,
             const char *address,
             fq_effects_t *effects)
{
  fq_effect_t *effect = fq_effects_add (effects, FQ_EFFECT_GOSSIP);
  const fq_node_entry_t *self = &membership->view.self->entry;
  fq_gossip_t *message;

  effect->gossip = calloc (1, sizeof *effect->gossip);
  if (effect->gossip == NULL)
    abort ();
  fq_text_copy (effect->gossip->address, FQ_ADDRESS_BYTES, address);
  message = &effect->gossip->message;
  message->kind = kind;
  message->sequence = sequence;
  message->ticket_number = membership->ticket_number;
  message->digest = membership->view.digest;
  memcpy (message->from, self->node, sizeof message->from);
  memcpy (message->from_address, self->address, sizeof message->from_address);
  message->poison_count = membership->poison_count;
  memcpy (message->poison, membership->poison, sizeof message->poison);
  return message;
}

/* Whether the entry of this node has to be sent in full, as the receiver may lack it or
 * have one of an older incarnation. @subject: as for fq_membership_send(). */
static bool
needs_full_self (const fq_membership_t *membership, const fq_view_node_t *subject)
{
  return subject == NULL || subject->entry.state != FQ_NODE_ALIVE
         || membership->push.rounds_left > 0;
}

static void
fill_and_charge (fq_membership_t *membership, fq_gossip_t *message)
{
  if (message->kind == FQ_GOSSIP_STATE)
    fill_sync_part (&membership->view, message);
  else
    fq_dissemination_fill (&membership->dissemination, &membership->view, message);
  fq_dissemination_charge (&membership->dissemination, message);
}

fq_gossip_t *
fq_membership_send (fq_membership_t *membership,
                    fq_gossip_kind_t kind,
                    uint64_t sequence,
                    const char *address,
                    const fq_view_node_t *subject,
                    fq_effects_t *effects)
{
  fq_gossip_t *message = new_message (membership, kind, sequence, address, effects);

  fq_dissemination_add_self (&membership->view, needs_full_self (membership, subject),
                             message);
  if (kind == FQ_GOSSIP_PING_REQUEST && subject != NULL)
    {
      memcpy (message->target, subject->entry.node, sizeof message->target);
      memcpy (message->target_address, subject->entry.address,
              sizeof message->target_address);
    }
  if (subject != NULL && subject->entry.state != FQ_NODE_ALIVE)
    fq_dissemination_add (message, &subject->entry);
  fill_and_charge (membership, message);
  return message;
}

/* Pings one seed at a time until a node answers. Each seed is pinged at least once even
 * if another has answered: nodes that joined through different seeds could otherwise form
 * separate groups. */
static void
ping_next_seed (fq_membership_t *membership, fq_time_t now, fq_effects_t *effects)
{
  const char *seed;

  if (membership->seed_count == 0 || now < membership->next_join
      || (membership->joined && membership->seeds_tried >= membership->seed_count))
    return;
  membership->next_join = now + fq_membership_jitter (membership, FQ_JOIN_INTERVAL_US);
  seed = membership->seeds[(membership->seed_offset + membership->seeds_tried++)
                           % membership->seed_count];
  if (strcmp (seed, membership->view.self->entry.address) != 0)
    fq_membership_send (membership, FQ_GOSSIP_PING, ++membership->sequence, seed, NULL,
                        effects);
}

static fq_view_node_t *
find_by_hash (const fq_membership_t *membership, uint64_t hash)
{
  return fq_map_get (&membership->view.by_name, hash);
}

static void
send_push (fq_membership_t *membership, fq_time_t now, fq_effects_t *effects)
{
  fq_push_t *push = &membership->push;

  if (push->rounds_left == 0 || now < push->next_round)
    return;
  push->rounds_left--;
  push->next_round = now + FQ_PUSH_INTERVAL_US;
  for (size_t i = 0; i < push->count; i++)
    {
      fq_view_node_t *node = find_by_hash (membership, push->nodes[i]);

      if (push->pending[i] && node != NULL && !fq_view_node_is_dead_or_left (node))
        fq_membership_send (membership, FQ_GOSSIP_PING, ++membership->sequence,
                            node->entry.address, node, effects);
    }
}

static void
acknowledge_push (fq_membership_t *membership, uint64_t hash)
{
  fq_push_t *push = &membership->push;

  for (size_t i = 0; i < push->count; i++)
    {
      if (push->nodes[i] == hash)
        push->pending[i] = false;
    }
}

/* A late tick means that this process did not run. After a long pause other nodes may
 * have declared this one dead, and expired timeouts here say nothing of other nodes. */
static void
detect_pause (fq_membership_t *membership, fq_time_t now, fq_effects_t *effects)
{
  fq_time_t gap = membership->last_tick == 0 ? 0 : now - membership->last_tick;

  membership->last_tick = now;
  if (gap < FQ_LATE_TICK_US)
    return;
  fq_probe_adjust_health (membership, false);
  if (gap < FQ_PAUSE_US)
    return;
  fq_effects_log (effects, FQ_LOG_WARNING, "membership",
                  "This node was paused for %lld ms.",
                  (long long)(gap / FQ_MICROSECONDS_PER_MS));
  fq_probe_handle_pause (membership, now, gap);
  fq_membership_raise_incarnation (membership, 0, now);
  fq_sync_start (membership, now);
}

void
fq_membership_tick (fq_membership_t *membership, fq_time_t now, fq_effects_t *effects)
{
  detect_pause (membership, now, effects);
  fq_dissemination_refill (&membership->dissemination, now);
  ping_next_seed (membership, now, effects);
  if (!membership->joined)
    return;
  fq_probe_tick (membership, now, effects);
  fq_suspicion_tick (membership, now, effects);
  fq_sync_tick (membership, now, effects);
  send_push (membership, now, effects);
}

static bool
is_alive (const fq_view_node_t *node, const void *user)
{
  (void)user;
  return node->entry.state == FQ_NODE_ALIVE;
}

/* Adds the entries of some random nodes, for a receiver that has just started, so that
 * many nodes that join at once do not all depend on the seeds. */
static void
add_introductions (fq_membership_t *membership, fq_gossip_t *message)
{
  for (int i = 0; i < FQ_INTRODUCED_NODES; i++)
    {
      fq_view_node_t *node
          = fq_view_pick (&membership->view, &membership->random, is_alive, NULL);

      if (node != NULL && !fq_dissemination_add (message, &node->entry))
        return;
    }
}

/* Whether the reply has to carry the stored entry of the sender, @before: when it is not
 * alive, so that the sender refutes it; when its incarnation is higher than the sender's;
 * or when it is lower and the sender sent only a compact entry, so that it sends a full
 * one. */
static bool
needs_sender_entry (const fq_view_node_t *before, const fq_gossip_t *message)
{
  const fq_node_entry_t *entry = &message->entries[0];

  if (message->entry_count == 0)
    return true;
  if (before->entry.incarnation < entry->incarnation)
    return entry->address[0] == '\0';
  return before->entry.incarnation > entry->incarnation
         || before->entry.state != FQ_NODE_ALIVE;
}

/* Adds a newer entry for each node of which @message carries an outdated one. */
static void
add_corrections (const fq_membership_t *membership,
                 const fq_gossip_t *message,
                 fq_gossip_t *reply)
{
  for (size_t i = 1; i < message->entry_count; i++)
    {
      const fq_view_node_t *node
          = fq_view_find (&membership->view, message->entries[i].node);

      if (node != NULL && node != membership->view.self
          && node->entry.incarnation > message->entries[i].incarnation)
        fq_dissemination_add (reply, &node->entry);
    }
}

/* @before: the sender as stored before @message; with an empty name if unknown. */
static void
acknowledge (fq_membership_t *membership,
             const fq_gossip_t *message,
             const fq_view_node_t *before,
             bool is_sender_outdated,
             fq_effects_t *effects)
{
  fq_gossip_t *reply = new_message (membership, FQ_GOSSIP_ACK, message->sequence,
                                    message->from_address, effects);
  bool is_known = before->entry.node[0] != '\0';

  fq_dissemination_add_self (
      &membership->view,
      is_sender_outdated || needs_full_self (membership, is_known ? before : NULL),
      reply);
  if (is_known && needs_sender_entry (before, message))
    fq_dissemination_add (reply, &before->entry);
  add_corrections (membership, message, reply);
  if (!is_known || message->sequence <= FQ_JUST_STARTED_SEQUENCE_MAX)
    add_introductions (membership, reply);
  fill_and_charge (membership, reply);
}

static void
handle_kind (fq_membership_t *membership,
             const fq_gossip_t *message,
             const fq_view_node_t *before,
             bool is_sender_outdated,
             fq_time_t now,
             fq_effects_t *effects)
{
  switch (message->kind)
    {
    case FQ_GOSSIP_PING:
      acknowledge (membership, message, before, is_sender_outdated, effects);
      break;
    case FQ_GOSSIP_ACK:
      acknowledge_push (membership, fq_map_hash (message->from));
      fq_probe_handle_ack (membership, message->sequence, effects);
      if (is_sender_outdated && now >= membership->next_correction)
        {
          membership->next_correction = now + FQ_CORRECTION_INTERVAL_US;
          fq_membership_send (membership, FQ_GOSSIP_PING, ++membership->sequence,
                              message->from_address, NULL, effects);
        }
      break;
    case FQ_GOSSIP_PING_REQUEST:
      fq_probe_handle_request (membership, message, effects);
      break;
    case FQ_GOSSIP_SYNC:
      fq_sync_handle_request (membership, message, effects);
      break;
    case FQ_GOSSIP_STATE:
      fq_sync_handle_part (membership, message, now);
      break;
    }
}

static void
mark_joined (fq_membership_t *membership, fq_time_t now)
{
  if (membership->joined)
    return;
  membership->joined = true;
  membership->probe.next_period = now;
  fq_sync_start (membership, now);
}

/* A sender that is dead here and has not refuted it probably receives nothing and
 * suspects everybody. Its entries of other nodes are ignored, but not its entry of this
 * node. */
static void
merge_entries (fq_membership_t *membership,
               const fq_gossip_t *message,
               fq_time_t now,
               fq_effects_t *effects)
{
  fq_view_node_t *from;

  if (message->entry_count == 0)
    return;
  fq_merge_entry (membership, &message->entries[0], now);
  from = fq_view_find (&membership->view, message->from);
  fq_merge_contact (membership, from, message->entries[0].incarnation, now, effects);
  for (size_t i = 1; i < message->entry_count; i++)
    {
      const fq_node_entry_t *entry = &message->entries[i];
      bool is_self = strcmp (entry->node, membership->view.self->entry.node) == 0;

      if (is_self || from == NULL || !fq_view_node_is_dead_or_left (from))
        fq_merge_entry (membership, entry, now);
    }
}

/* The time in which this node was isolated does not count toward suspicion timeouts. */
static void
record_contact (fq_membership_t *membership, fq_time_t now)
{
  if (fq_suspicion_is_isolated (membership, now))
    fq_probe_handle_pause (membership, now, now - membership->last_received_at);
  membership->last_received_at = now;
}

/* Handles the acknowledgement of a ping that another node relayed to @name. */
static void
merge_relayed_ack (fq_membership_t *membership,
                   const char *name,
                   fq_time_t now,
                   fq_effects_t *effects)
{
  fq_view_node_t *target = fq_view_find (&membership->view, name);

  if (target != NULL)
    fq_merge_contact (membership, target, target->entry.incarnation, now, effects);
}

/* Whether @message carries an outdated entry of this node, or one in another state. */
static bool
has_outdated_self (const fq_membership_t *membership, const fq_gossip_t *message)
{
  const fq_node_entry_t *self = &membership->view.self->entry;

  /* After a leave there is nothing to refute: all nodes are to keep the state left. */
  if (self->state == FQ_NODE_LEFT)
    return false;
  for (size_t i = 1; i < message->entry_count; i++)
    {
      const fq_node_entry_t *entry = &message->entries[i];

      if (strcmp (entry->node, self->node) == 0)
        return entry->incarnation < self->incarnation || entry->state != self->state;
    }
  return false;
}

void
fq_membership_handle_datagram (fq_membership_t *membership,
                               fq_time_t now,
                               const fq_gossip_t *message,
                               fq_effects_t *effects)
{
  fq_view_node_t *from = fq_view_find (&membership->view, message->from);
  fq_view_node_t before = { 0 };
  bool is_sender_outdated = has_outdated_self (membership, message);

  if (from == membership->view.self)
    return;
  /* The answer shows the sender its state here before @message, also if that clears
   * it. */
  if (from != NULL)
    before.entry = from->entry;
  merge_entries (membership, message, now, effects);
  record_contact (membership, now);
  if (message->kind == FQ_GOSSIP_ACK && message->target[0] != '\0')
    merge_relayed_ack (membership, message->target, now, effects);
  fq_sync_compare_digest (membership, message, now);
  mark_joined (membership, now);
  handle_kind (membership, message, &before, is_sender_outdated, now, effects);
}

bool
fq_membership_take_change (fq_membership_t *membership, fq_node_entry_t *out)
{
  fq_list_t *link = fq_list_first (&membership->view.changes);

  if (link == NULL)
    return false;
  fq_list_remove (link);
  *out = FQ_LIST_ENTRY (link, fq_view_node_t, change_link)->entry;
  return true;
}

const fq_node_entry_t *
fq_membership_find (const fq_membership_t *membership, const char *name)
{
  const fq_view_node_t *node = fq_view_find (&membership->view, name);

  return node == NULL ? NULL : &node->entry;
}

size_t
fq_membership_live_count (const fq_membership_t *membership)
{
  return membership->view.live;
}

uint64_t
fq_membership_bytes_sent (const fq_membership_t *membership)
{
  return membership->dissemination.bytes_sent;
}

void
fq_membership_leave (fq_membership_t *membership, fq_time_t now, fq_effects_t *effects)
{
  fq_view_t *view = &membership->view;

  fq_view_set_state (view, view->self, FQ_NODE_LEFT, now);
  view->self->transmits = 0;
  start_push (membership, now);
  send_push (membership, now, effects);
  for (int i = 0; i < FQ_LEAVE_RANDOM_NODES; i++)
    {
      fq_view_node_t *node = fq_view_pick (view, &membership->random, is_alive, NULL);

      if (node != NULL)
        fq_membership_send (membership, FQ_GOSSIP_PING, ++membership->sequence,
                            node->entry.address, NULL, effects);
    }
}
