/**
 * DOC: Example of a program that embeds the core: it links only libfilbertquay-core,
 * feeds it events with its own clock and seed, and applies the effects itself.
 *
 * It simulates one node with an upstream of eight slots and a service time of 10 ms.
 * Forty requests arrive within 20 ms. The output is the same on every run.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "filbertquay/core.h"

#define CALLS 40
#define SLOTS 8
#define STEP_US 1000
#define CALL_EVERY_US 500
#define SERVICE_US 10000
#define END_US (2 * FQ_MICROSECONDS_PER_SECOND)

/* A request that runs at the upstream. */
typedef struct
{
  fq_id_t run; /* 0: the entry is free */
  fq_time_t end;
} work_t;

typedef struct
{
  fq_core_t *core;
  fq_time_t now;
  work_t work[CALLS];
  unsigned int running;
  unsigned int running_max;
  unsigned int answered;
  unsigned int refused;
} program_t;

static void feed (program_t *program, fq_event_t *event);

static void
start_work (program_t *program, fq_id_t run)
{
  for (size_t i = 0; i < CALLS; i++)
    {
      if (program->work[i].run != 0)
        continue;
      program->work[i] = (work_t){ .run = run, .end = program->now + SERVICE_US };
      program->running++;
      if (program->running > program->running_max)
        program->running_max = program->running;
      return;
    }
}

static void
print_reply (program_t *program, const fq_reply_effect_t *reply)
{
  printf ("%3lld ms: call %llu ends %s, %s\n",
          (long long)((program->now - FQ_MICROSECONDS_PER_SECOND) / STEP_US),
          (unsigned long long)reply->call, fq_outcome_name (reply->answer.outcome),
          fq_cause_name (reply->answer.cause));
  if (reply->answer.outcome == FQ_OUTCOME_ANSWERED)
    program->answered++;
  else
    program->refused++;
}

/* There is no platform: every store operation is answered "not found". */
static void
answer_store (program_t *program, const fq_store_op_t *op)
{
  fq_event_t event = { .kind = FQ_EVENT_STORE };

  event.store.id = op->id;
  event.store.status = FQ_STORE_NOT_FOUND;
  feed (program, &event);
}

static void
apply_effect (program_t *program, const fq_effect_t *effect)
{
  switch (effect->kind)
    {
    case FQ_EFFECT_REPLY:
      print_reply (program, &effect->reply);
      break;
    case FQ_EFFECT_UPSTREAM_START:
      start_work (program, effect->upstream_start.run);
      break;
    case FQ_EFFECT_STORE:
      answer_store (program, effect->store);
      break;
    default:
      /* Effects for other nodes, logs and operators: there are none. */
      break;
    }
}

static void
feed (program_t *program, fq_event_t *event)
{
  fq_effects_t effects = { 0 };

  event->now = program->now;
  fq_core_reduce (program->core, event, &effects);
  for (size_t i = 0; i < effects.count; i++)
    apply_effect (program, &effects.items[i]);
  fq_effects_free (&effects);
}

static void
announce (program_t *program)
{
  fq_event_t event = { .kind = FQ_EVENT_ANNOUNCE };

  strcpy (event.announce.service, "wrekin/tables");
  strcpy (event.announce.address, "127.0.0.1:8080");
  event.announce.incarnation = 1;
  event.announce.slots = SLOTS;
  event.announce.connections = SLOTS;
  feed (program, &event);
}

static void
call (program_t *program, fq_id_t id)
{
  fq_event_t event = { .kind = FQ_EVENT_REQUEST };
  fq_request_t *request;

  if (fq_request_new (&request) < 0)
    abort ();
  strcpy (request->service, "wrekin/tables");
  strcpy (request->method, "GET");
  strcpy (request->path, "/weekly");
  request->remaining_ms = 1000;
  strcpy (event.request.member, "wrekin");
  event.request.call = id;
  event.request.request = request;
  feed (program, &event);
  fq_request_unref (request);
}

static void
end_work (program_t *program)
{
  for (size_t i = 0; i < CALLS; i++)
    {
      fq_event_t event = { .kind = FQ_EVENT_UPSTREAM_ANSWER };

      if (program->work[i].run == 0 || program->now < program->work[i].end)
        continue;
      event.upstream_answer.run = program->work[i].run;
      event.upstream_answer.answer.status = 200;
      program->work[i].run = 0;
      program->running--;
      feed (program, &event);
    }
}

/* Advances the clock to @until in steps of STEP_US, each with a tick. */
static void
advance_clock (program_t *program, fq_time_t until)
{
  for (; program->now < until; program->now += STEP_US)
    {
      fq_event_t tick = { .kind = FQ_EVENT_TICK };

      end_work (program);
      feed (program, &tick);
    }
}

int
main (void)
{
  program_t program = { 0 };
  fq_core_options_t options = FQ_CORE_OPTIONS_INIT;

  options.node = "embedded";
  options.address = "127.0.0.1:7401";
  options.incarnation = 1;
  options.seed = 42;
  if (fq_core_new (&program.core, &options, 0) < 0)
    {
      fprintf (stderr, "%s\n", fq_error_last ()->message);
      return EXIT_FAILURE;
    }
  advance_clock (&program, FQ_MICROSECONDS_PER_SECOND);
  announce (&program);
  for (fq_id_t id = 1; id <= CALLS; id++)
    {
      call (&program, id);
      if (id * CALL_EVERY_US % STEP_US == 0)
        advance_clock (&program, program.now + STEP_US);
    }
  advance_clock (&program, END_US);
  printf ("%u whole, %u refused, at most %u at the upstream at once\n", program.answered,
          program.refused, program.running_max);
  fq_core_free (program.core);
  if (program.answered + program.refused != CALLS || program.running_max > SLOTS)
    return EXIT_FAILURE;
  return EXIT_SUCCESS;
}
