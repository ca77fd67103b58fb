/**
 * DOC: What one core costs by the size of its view: fq-bench-core NODES SERVICES KIND
 * COUNT.
 *
 * KIND is "fill" (nothing more), "tick", "gossip" (a datagram without news), "news" (one
 * with a changed entry), "request" (a call that is sent on and answered), "idle" (COUNT
 * seconds in which every ping is answered and another node pings each second) or
 * "settled" (the same, when the view has been told long ago). The events run inside
 * measured(), on which callgrind can be told to collect.
 */
#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "filbertquay/core.h"
#include "net/auth.h"
#include "wire/codec.h"

#define REGIONS 4
#define DOMAINS 10
#define HEADER_BYTES 28 /* IP and UDP */
#define ENTRIES_OF_FILL 7
#define LATER_SEQUENCE 1000 /* of a node that did not just start */
#define SETTLE_SECONDS 30000

typedef struct
{
  int nodes;
  int services;
  fq_core_t *core;
  fq_effects_t effects;
  fq_time_t now;
  uint64_t incarnation;
  uint64_t sent; /* encoded bytes */
  uint64_t received;
  uint64_t datagrams;
  uint64_t digest; /* of the core's view, as it last said */
  size_t connects;
} bench_t;

static void
fill_entry (const bench_t *bench, int index, fq_node_entry_t *out)
{
  int domain = index % DOMAINS;

  memset (out, 0, sizeof *out);
  snprintf (out->node, sizeof out->node, "domain-%d-vm-%d", domain, index);
  snprintf (out->address, sizeof out->address, "10.%d.%d.%d:7000", domain, index / 250,
            index % 250 + 1);
  snprintf (out->failure_domain, sizeof out->failure_domain, "domain-%d", domain);
  snprintf (out->region, sizeof out->region, "region-%d", domain * REGIONS / DOMAINS);
  snprintf (out->service, sizeof out->service, "wrekin/service-%d",
            index % bench->services);
  out->incarnation = bench->incarnation;
  out->slots = 35;
  out->ready = true;
}

static void
count_sent (bench_t *bench, const fq_gossip_t *message)
{
  uint8_t data[FQ_GOSSIP_BYTES_MAX];
  size_t size;

  if (fq_gossip_pack (data, sizeof data, &size, message) < 0)
    abort ();
  bench->sent += size + FQ_AUTH_DATAGRAM_HEADER_BYTES + HEADER_BYTES;
  bench->datagrams++;
}

static void
feed (bench_t *bench, fq_event_t *event)
{
  event->now = bench->now;
  fq_effects_clear (&bench->effects);
  fq_core_reduce (bench->core, event, &bench->effects);
}

static void
new_gossip (const bench_t *bench, int from, fq_gossip_kind_t kind, fq_event_t *out)
{
  memset (out, 0, sizeof *out);
  out->kind = FQ_EVENT_GOSSIP;
  out->gossip.kind = kind;
  fill_entry (bench, from, &out->gossip.entries[0]);
  strcpy (out->gossip.from, out->gossip.entries[0].node);
  strcpy (out->gossip.from_address, out->gossip.entries[0].address);
  out->gossip.entry_count = 1;
  out->gossip.sequence = LATER_SEQUENCE;
  out->gossip.digest = bench->digest;
}

static void
count_received (bench_t *bench, const fq_gossip_t *message)
{
  uint8_t data[FQ_GOSSIP_BYTES_MAX];
  size_t size;

  if (fq_gossip_pack (data, sizeof data, &size, message) < 0)
    abort ();
  bench->received += size + FQ_AUTH_DATAGRAM_HEADER_BYTES + HEADER_BYTES;
}

static void
connect_new (bench_t *bench)
{
  fq_effects_t effects = bench->effects;

  bench->effects = (fq_effects_t){ 0 };
  for (size_t i = 0; i < effects.count; i++)
    {
      fq_event_t event = { .kind = FQ_EVENT_PEER_UP };

      if (effects.items[i].kind != FQ_EFFECT_PEER_CONNECT)
        continue;
      bench->connects++;
      strcpy (event.peer.node, effects.items[i].peer_connect.node);
      feed (bench, &event);
    }
  fq_effects_free (&effects);
}

static void
fill (bench_t *bench)
{
  fq_event_t event;
  int next = 1;

  while (next < bench->nodes)
    {
      new_gossip (bench, next, FQ_GOSSIP_STATE, &event);
      while (next < bench->nodes && event.gossip.entry_count < ENTRIES_OF_FILL)
        fill_entry (bench, next++, &event.gossip.entries[event.gossip.entry_count++]);
      bench->now += FQ_CORE_TICK_US;
      feed (bench, &event);
      connect_new (bench);
    }
}

static void
tick (bench_t *bench)
{
  fq_event_t event = { .kind = FQ_EVENT_TICK };

  bench->now += FQ_CORE_TICK_US;
  feed (bench, &event);
}

static void
gossip (bench_t *bench, int index, bool news)
{
  fq_event_t event;

  new_gossip (bench, 1 + index % (bench->nodes - 1), FQ_GOSSIP_PING, &event);
  if (news)
    {
      bench->incarnation++;
      fill_entry (bench, 1 + (index * 7) % (bench->nodes - 1), &event.gossip.entries[1]);
      event.gossip.entry_count = 2;
    }
  bench->now += FQ_CORE_TICK_US;
  count_received (bench, &event.gossip);
  feed (bench, &event);
}

static void
answer_calls (bench_t *bench, fq_id_t *attempt, char *node)
{
  *attempt = 0;
  for (size_t i = 0; i < bench->effects.count; i++)
    {
      if (bench->effects.items[i].kind != FQ_EFFECT_PEER_CALL)
        continue;
      *attempt = bench->effects.items[i].peer_call.attempt;
      strcpy (node, bench->effects.items[i].peer_call.node);
    }
}

static void
request (bench_t *bench, int index)
{
  fq_event_t event = { .kind = FQ_EVENT_REQUEST };
  fq_request_t *asked;
  fq_id_t attempt;
  char node[FQ_NAME_BYTES];

  if (fq_request_new (&asked) < 0)
    abort ();
  snprintf (asked->service, sizeof asked->service, "wrekin/service-%d",
            index % bench->services);
  strcpy (asked->method, "GET");
  strcpy (asked->path, "/weekly");
  strcpy (event.request.member, "wrekin");
  event.request.call = (fq_id_t)index + 1;
  event.request.request = asked;
  bench->now += FQ_MICROSECONDS_PER_MS;
  feed (bench, &event);
  fq_request_unref (asked);
  answer_calls (bench, &attempt, node);
  connect_new (bench);
  if (attempt == 0)
    return;
  event = (fq_event_t){ .kind = FQ_EVENT_PEER_ANSWER };
  strcpy (event.peer_answer.node, node);
  event.peer_answer.attempt = attempt;
  event.peer_answer.answer.status = 200;
  event.peer_answer.answer.load
      = (fq_load_t){ .limit = 35, .service_us = 1000, .shed_class = FQ_CLASS_COUNT };
  bench->now += FQ_MICROSECONDS_PER_MS;
  feed (bench, &event);
}

/* Answers the pings among the effects and counts the datagrams. */
static void
answer_pings (bench_t *bench)
{
  fq_effects_t effects = bench->effects;

  bench->effects = (fq_effects_t){ 0 };
  for (size_t i = 0; i < effects.count; i++)
    {
      const fq_gossip_effect_t *sent = effects.items[i].gossip;
      fq_event_t event;
      int first;
      int second;
      int third;

      if (effects.items[i].kind != FQ_EFFECT_GOSSIP)
        continue;
      count_sent (bench, &sent->message);
      bench->digest = sent->message.digest;
      if (sent->message.kind != FQ_GOSSIP_PING
          || sscanf (sent->address, "10.%d.%d.%d", &first, &second, &third) != 3)
        continue;
      new_gossip (bench, second * 250 + third - 1, FQ_GOSSIP_ACK, &event);
      event.gossip.sequence = sent->message.sequence;
      event.gossip.digest = sent->message.digest;
      count_received (bench, &event.gossip);
      feed (bench, &event);
    }
  fq_effects_free (&effects);
}

static void
idle (bench_t *bench, int seconds)
{
  fq_time_t until = bench->now + seconds * (fq_time_t)FQ_MICROSECONDS_PER_SECOND;
  fq_time_t next_ping = bench->now;

  while (bench->now < until)
    {
      tick (bench);
      answer_pings (bench);
      if (bench->now < next_ping)
        continue;
      next_ping += FQ_MICROSECONDS_PER_SECOND;
      gossip (bench, (int)(bench->now / FQ_MICROSECONDS_PER_SECOND), false);
      answer_pings (bench);
    }
}

static void
settle (bench_t *bench)
{
  idle (bench, SETTLE_SECONDS);
  bench->sent = 0;
  bench->received = 0;
  bench->datagrams = 0;
}

static __attribute__ ((noinline)) void
measured (bench_t *bench, const char *kind, int count)
{
  if (strcmp (kind, "idle") == 0 || strcmp (kind, "settled") == 0)
    idle (bench, count);
  for (int i = 0; i < count; i++)
    {
      if (strcmp (kind, "tick") == 0)
        tick (bench);
      if (strcmp (kind, "gossip") == 0)
        gossip (bench, i, false);
      if (strcmp (kind, "news") == 0)
        gossip (bench, i, true);
      if (strcmp (kind, "request") == 0)
        request (bench, i);
    }
}

static int
open_core (bench_t *bench)
{
  fq_core_options_t options = FQ_CORE_OPTIONS_INIT;
  fq_node_entry_t self;

  bench->incarnation = 1000;
  bench->now = FQ_MICROSECONDS_PER_SECOND;
  fill_entry (bench, 0, &self);
  options.node = self.node;
  options.address = self.address;
  options.failure_domain = self.failure_domain;
  options.region = self.region;
  options.incarnation = 1000;
  options.seed = 7;
  return fq_core_new (&bench->core, &options, bench->now);
}

int
main (int argc, char **argv)
{
  bench_t bench = { 0 };
  size_t before;
  size_t after;
  int count;

  if (argc != 5)
    {
      fprintf (stderr, "usage: fq-bench-core NODES SERVICES KIND COUNT\n");
      return EXIT_FAILURE;
    }
  bench.nodes = atoi (argv[1]);
  bench.services = atoi (argv[2]);
  count = atoi (argv[4]);
  if (bench.nodes < 2 || bench.services < 1 || open_core (&bench) < 0)
    return EXIT_FAILURE;
  before = mallinfo2 ().uordblks;
  fill (&bench);
  fq_effects_free (&bench.effects);
  after = mallinfo2 ().uordblks;
  if (strcmp (argv[3], "settled") == 0)
    settle (&bench);
  measured (&bench, argv[3], count);
  printf ("{ \"nodes\": %d, \"services\": %d, \"kind\": \"%s\", \"count\": %d, "
          "\"view_bytes\": %zu, \"connections\": %zu, \"sent_bytes\": %llu, "
          "\"received_bytes\": %llu, \"datagrams_sent\": %llu }\n",
          bench.nodes, bench.services, argv[3], count, after - before, bench.connects,
          (unsigned long long)bench.sent, (unsigned long long)bench.received,
          (unsigned long long)bench.datagrams);
  fq_effects_free (&bench.effects);
  fq_core_free (bench.core);
  return EXIT_SUCCESS;
}
