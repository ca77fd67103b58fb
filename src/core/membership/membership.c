#include "core/membership/membership.h"

#include <stdlib.h>
#include <string.h>

#include "core/membership/membership_private.h"
#include "filbertquay/errors.h"
#include "util/text.h"

#define FQ_PAUSE_US (2 * FQ_MICROSECONDS_PER_SECOND) /* others may have given us up */
#define FQ_LATE_US 200000                            /* a tick that is this late */
#define FQ_CORRECTION_US 100000 /* between pings that correct what is said of us */
#define FQ_JOIN_US 500000       /* between pings of first contacts until one answers */
#define FQ_PUSH_ROUNDS 5        /* a change of ourselves is sent so often at most */
#define FQ_PUSH_US 400000       /* between the rounds */
#define FQ_WELCOME_NODES 6      /* that a node which we did not know is told of */
#define FQ_WELCOME_SEQUENCE                                                              \
  4                       /* its first datagrams, also when we knew an earlier start */
#define FQ_LEAVE_RANDOM 8 /* nodes besides our askers that hear that we leave */

static void
fill_self (const fq_core_options_t *options, fq_node_entry_t *self)
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
  membership->heard = now;
  fq_dissemination_init (&membership->spread, now);
  fill_self (options, &self);
  rc = fq_view_init (&membership->view, &self, now);
  if (rc < 0)
    {
      fq_membership_free (membership);
      return rc;
    }
  for (size_t i = 0; i < options->seed_count; i++)
    fq_membership_add_seed (membership, options->seeds[i]);
  membership->first_seed = fq_random_below (&membership->random, FQ_SEEDS_MAX);
  membership->next_join
      = now + (fq_time_t)fq_random_below (&membership->random, FQ_JOIN_US / 2);
  membership->probe.next = now + fq_membership_jitter (membership, FQ_PROBE_PERIOD_US);
  membership->probe.next_sweep = now;
  membership->sync.next = now + FQ_PROBE_PERIOD_US;
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
fq_membership_raise (fq_membership_t *membership, uint64_t seen, fq_time_t now)
{
  fq_view_t *view = &membership->view;
  fq_node_entry_t self = view->self->entry;

  self.incarnation = (seen > self.incarnation ? seen : self.incarnation) + 1;
  fq_view_replace (view, view->self, &self, now);
  view->self->tells = 0;
}

static void
start_push (fq_membership_t *membership, fq_time_t now)
{
  fq_push_t *push = &membership->push;

  for (size_t i = 0; i < push->count; i++)
    push->pending[i] = true;
  push->rounds = FQ_PUSH_ROUNDS;
  push->next = now;
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
  fq_membership_raise (membership, 0, now);
  start_push (membership, now);
  if (membership->joined)
    membership->probe.next = now;
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
  push->pending[slot] = push->rounds > 0;
  if (push->count < FQ_PUSH_NODES_MAX)
    push->count++;
}

/* A part of the view, from @position on, in place of what is to be told. */
static void
fill_state (const fq_view_t *view, fq_gossip_t *message)
{
  size_t index = fq_view_after (view, message->sequence);

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

/* The receiver may not know our entry, or not the one of this incarnation. */
static bool
has_to_be_whole (const fq_membership_t *membership, const fq_known_t *about)
{
  return about == NULL || about->entry.state != FQ_NODE_ALIVE
         || membership->push.rounds > 0;
}

static void
complete (fq_membership_t *membership, fq_gossip_t *message)
{
  if (message->kind == FQ_GOSSIP_STATE)
    fill_state (&membership->view, message);
  else
    fq_dissemination_fill (&membership->spread, &membership->view, message);
  fq_dissemination_account (&membership->spread, message);
}

fq_gossip_t *
fq_membership_send (fq_membership_t *membership,
                    fq_gossip_kind_t kind,
                    uint64_t sequence,
                    const char *address,
                    const fq_known_t *about,
                    fq_effects_t *effects)
{
  fq_gossip_t *message = new_message (membership, kind, sequence, address, effects);

  fq_dissemination_add_self (&membership->view, has_to_be_whole (membership, about),
                             message);
  if (kind == FQ_GOSSIP_PING_REQUEST && about != NULL)
    {
      memcpy (message->target, about->entry.node, sizeof message->target);
      memcpy (message->target_address, about->entry.address,
              sizeof message->target_address);
    }
  if (about != NULL && about->entry.state != FQ_NODE_ALIVE)
    fq_dissemination_add (message, &about->entry);
  complete (membership, message);
  return message;
}

/* Each first contact is tried once, also after one has answered, lest groups form that
   know different ones; from then on, until one answers. */
static void
join (fq_membership_t *membership, fq_time_t now, fq_effects_t *effects)
{
  const char *seed;

  if (membership->seed_count == 0 || now < membership->next_join
      || (membership->joined && membership->seeds_tried >= membership->seed_count))
    return;
  membership->next_join = now + fq_membership_jitter (membership, FQ_JOIN_US);
  seed = membership->seeds[(membership->first_seed + membership->seeds_tried++)
                           % membership->seed_count];
  if (strcmp (seed, membership->view.self->entry.address) != 0)
    fq_membership_send (membership, FQ_GOSSIP_PING, ++membership->sequence, seed, NULL,
                        effects);
}

static fq_known_t *
by_hash (const fq_membership_t *membership, uint64_t hash)
{
  return fq_map_get (&membership->view.by_name, hash);
}

static void
send_push (fq_membership_t *membership, fq_time_t now, fq_effects_t *effects)
{
  fq_push_t *push = &membership->push;

  if (push->rounds == 0 || now < push->next)
    return;
  push->rounds--;
  push->next = now + FQ_PUSH_US;
  for (size_t i = 0; i < push->count; i++)
    {
      fq_known_t *known = by_hash (membership, push->nodes[i]);

      if (push->pending[i] && known != NULL && !fq_known_is_gone (known))
        fq_membership_send (membership, FQ_GOSSIP_PING, ++membership->sequence,
                            known->entry.address, known, effects);
    }
}

static void
push_acknowledged (fq_membership_t *membership, uint64_t hash)
{
  fq_push_t *push = &membership->push;

  for (size_t i = 0; i < push->count; i++)
    {
      if (push->nodes[i] == hash)
        push->pending[i] = false;
    }
}

/* After a pause others may hold us for dead, and our own timers mean nothing. */
static void
check_pause (fq_membership_t *membership, fq_time_t now, fq_effects_t *effects)
{
  fq_time_t gap = membership->ticked == 0 ? 0 : now - membership->ticked;

  membership->ticked = now;
  if (gap < FQ_LATE_US)
    return;
  fq_probe_health (membership, false);
  if (gap < FQ_PAUSE_US)
    return;
  fq_effects_log (effects, FQ_LOG_WARNING, "membership",
                  "This node was paused for %lld ms.",
                  (long long)(gap / FQ_MICROSECONDS_PER_MS));
  fq_probe_paused (membership, now, gap);
  fq_membership_raise (membership, 0, now);
  fq_sync_start (membership, now);
}

void
fq_membership_tick (fq_membership_t *membership, fq_time_t now, fq_effects_t *effects)
{
  check_pause (membership, now, effects);
  fq_dissemination_top_up (&membership->spread, now);
  join (membership, now, effects);
  if (!membership->joined)
    return;
  fq_probe_tick (membership, now, effects);
  fq_suspicion_tick (membership, now, effects);
  fq_sync_tick (membership, now, effects);
  send_push (membership, now, effects);
}

static bool
is_alive (const fq_known_t *known, const void *user)
{
  (void)user;
  return known->entry.state == FQ_NODE_ALIVE;
}

/* A node that we did not know learns of some others to ask, lest all that join at once
   hang on the first contacts. */
static void
welcome (fq_membership_t *membership, fq_gossip_t *message)
{
  for (int i = 0; i < FQ_WELCOME_NODES; i++)
    {
      fq_known_t *known
          = fq_view_pick (&membership->view, &membership->random, is_alive, NULL);

      if (known != NULL && !fq_dissemination_add (message, &known->entry))
        return;
    }
}

/* The sender has to see what we hold of it when we doubt it, when it is behind our
   knowledge, or when we are behind and it left out what we lack. */
static bool
has_to_be_shown (const fq_known_t *before, const fq_gossip_t *message)
{
  const fq_node_entry_t *entry = &message->entries[0];

  if (message->entry_count == 0)
    return true;
  if (before->entry.incarnation < entry->incarnation)
    return entry->address[0] == '\0';
  return before->entry.incarnation > entry->incarnation
         || before->entry.state != FQ_NODE_ALIVE;
}

/* Tells the sender of nodes that it holds an older entry of. */
static void
correct (const fq_membership_t *membership,
         const fq_gossip_t *message,
         fq_gossip_t *reply)
{
  for (size_t i = 1; i < message->entry_count; i++)
    {
      const fq_known_t *known
          = fq_view_find (&membership->view, message->entries[i].node);

      if (known != NULL && known != membership->view.self
          && known->entry.incarnation > message->entries[i].incarnation)
        fq_dissemination_add (reply, &known->entry);
    }
}

/* @before: what we held of the sender until now; its name is empty: nothing */
static void
acknowledge (fq_membership_t *membership,
             const fq_gossip_t *message,
             const fq_known_t *before,
             bool is_outdated,
             fq_effects_t *effects)
{
  fq_gossip_t *reply = new_message (membership, FQ_GOSSIP_ACK, message->sequence,
                                    message->from_address, effects);
  bool is_known = before->entry.node[0] != '\0';

  fq_dissemination_add_self (
      &membership->view,
      is_outdated || has_to_be_whole (membership, is_known ? before : NULL), reply);
  if (is_known && has_to_be_shown (before, message))
    fq_dissemination_add (reply, &before->entry);
  correct (membership, message, reply);
  if (!is_known || message->sequence <= FQ_WELCOME_SEQUENCE)
    welcome (membership, reply);
  complete (membership, reply);
}

static void
answer (fq_membership_t *membership,
        const fq_gossip_t *message,
        const fq_known_t *before,
        bool is_outdated,
        fq_time_t now,
        fq_effects_t *effects)
{
  switch (message->kind)
    {
    case FQ_GOSSIP_PING:
      acknowledge (membership, message, before, is_outdated, effects);
      break;
    case FQ_GOSSIP_ACK:
      push_acknowledged (membership, fq_map_hash (message->from));
      fq_probe_acknowledged (membership, message->sequence, effects);
      if (is_outdated && now >= membership->next_correction)
        {
          membership->next_correction = now + FQ_CORRECTION_US;
          fq_membership_send (membership, FQ_GOSSIP_PING, ++membership->sequence,
                              message->from_address, NULL, effects);
        }
      break;
    case FQ_GOSSIP_PING_REQUEST:
      fq_probe_relay (membership, message, effects);
      break;
    case FQ_GOSSIP_SYNC:
      fq_sync_wanted (membership, message, effects);
      break;
    case FQ_GOSSIP_STATE:
      fq_sync_taken (membership, message, now);
      break;
    }
}

static void
arrive (fq_membership_t *membership, fq_time_t now)
{
  if (membership->joined)
    return;
  membership->joined = true;
  membership->probe.next = now;
  fq_sync_start (membership, now);
}

/* A sender that we hold for dead, and that has not refuted that, hears nobody: what it
   says of others than us is not believed. */
static void
take_entries (fq_membership_t *membership,
              const fq_gossip_t *message,
              fq_time_t now,
              fq_effects_t *effects)
{
  fq_known_t *from;

  if (message->entry_count == 0)
    return;
  fq_merge_entry (membership, &message->entries[0], now);
  from = fq_view_find (&membership->view, message->from);
  fq_merge_heard (membership, from, message->entries[0].incarnation, now, effects);
  for (size_t i = 1; i < message->entry_count; i++)
    {
      const fq_node_entry_t *entry = &message->entries[i];
      bool is_self = strcmp (entry->node, membership->view.self->entry.node) == 0;

      if (is_self || from == NULL || !fq_known_is_gone (from))
        fq_merge_entry (membership, entry, now);
    }
}

/* The time for which we heard nobody does not count against the suspects. */
static void
hear (fq_membership_t *membership, fq_time_t now)
{
  if (fq_suspicion_is_isolated (membership, now))
    fq_probe_paused (membership, now, now - membership->heard);
  membership->heard = now;
}

/* A node that pinged another for us had an answer. */
static void
hear_of_target (fq_membership_t *membership,
                const char *name,
                fq_time_t now,
                fq_effects_t *effects)
{
  fq_known_t *target = fq_view_find (&membership->view, name);

  if (target != NULL)
    fq_merge_heard (membership, target, target->entry.incarnation, now, effects);
}

/* Whether the sender holds an older entry of ours, or doubts us. */
static bool
is_behind (const fq_membership_t *membership, const fq_gossip_t *message)
{
  const fq_node_entry_t *self = &membership->view.self->entry;

  /* That we left is what all shall hold; there is nothing to refute. */
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
  fq_known_t *from = fq_view_find (&membership->view, message->from);
  fq_known_t before = { 0 };
  bool is_outdated = is_behind (membership, message);

  if (from == membership->view.self)
    return;
  /* The sender has to see what was said of it, also when its own word ends that. */
  if (from != NULL)
    before.entry = from->entry;
  take_entries (membership, message, now, effects);
  hear (membership, now);
  if (message->kind == FQ_GOSSIP_ACK && message->target[0] != '\0')
    hear_of_target (membership, message->target, now, effects);
  fq_sync_compare (membership, message, now);
  arrive (membership, now);
  answer (membership, message, &before, is_outdated, now, effects);
}

bool
fq_membership_take_change (fq_membership_t *membership, fq_node_entry_t *out)
{
  fq_list_t *link = fq_list_first (&membership->view.changes);

  if (link == NULL)
    return false;
  fq_list_remove (link);
  *out = FQ_LIST_ENTRY (link, fq_known_t, changed)->entry;
  return true;
}

const fq_node_entry_t *
fq_membership_find (const fq_membership_t *membership, const char *node)
{
  const fq_known_t *known = fq_view_find (&membership->view, node);

  return known == NULL ? NULL : &known->entry;
}

size_t
fq_membership_live_count (const fq_membership_t *membership)
{
  return membership->view.live;
}

uint64_t
fq_membership_bytes (const fq_membership_t *membership)
{
  return membership->spread.bytes;
}

void
fq_membership_leave (fq_membership_t *membership, fq_time_t now, fq_effects_t *effects)
{
  fq_view_t *view = &membership->view;

  fq_view_set_state (view, view->self, FQ_NODE_LEFT, now);
  view->self->tells = 0;
  start_push (membership, now);
  send_push (membership, now, effects);
  for (int i = 0; i < FQ_LEAVE_RANDOM; i++)
    {
      fq_known_t *known = fq_view_pick (view, &membership->random, is_alive, NULL);

      if (known != NULL)
        fq_membership_send (membership, FQ_GOSSIP_PING, ++membership->sequence,
                            known->entry.address, NULL, effects);
    }
}
