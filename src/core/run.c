/**
 * DOC: Runs: the work of attempts at the gate of this node's upstream.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <xxhash.h>

#include "core/core_private.h"
#include "core/refusal.h"
#include "filbertquay/errors.h"

#define FQ_RUN_ONCE_GRACE_US                                                             \
  (60 * FQ_MICROSECONDS_PER_SECOND) /* after its deadline, for a run-once request */

#define FQ_LOST_WAIT_US (8 * FQ_MICROSECONDS_PER_MS)
#define FQ_STATUS_TOO_MANY 429
#define FQ_STATUS_UNAVAILABLE 503

static uint64_t
asker_key (const char *node, fq_id_t attempt)
{
  return XXH3_64bits_withSeed (&attempt, sizeof attempt, fq_map_hash (node)) | 1;
}

static void
tell_asker (fq_core_t *core,
            const char *node,
            fq_id_t attempt,
            const fq_request_t *request,
            fq_answer_t *answer)
{
  fq_effect_t *effect;

  fq_admission_load_for_member (core->admission, core->now, fq_map_hash (request->member),
                                &answer->load);
  if (strcmp (node, core->node) == 0)
    {
      fq_call_attempt_ended (core, attempt, answer);
      return;
    }
  effect = fq_effects_add (core->effects, FQ_EFFECT_PEER_ANSWER);
  memcpy (effect->peer_answer.node, node, strlen (node) + 1);
  effect->peer_answer.attempt = attempt;
  effect->peer_answer.answer = *answer;
  fq_blob_ref (answer->body);
}

/* Nothing was spent of @allowance. */
static void
refuse_asker (fq_core_t *core,
              const char *node,
              fq_id_t attempt,
              const fq_request_t *request,
              uint32_t allowance,
              fq_cause_t cause)
{
  fq_answer_t answer;

  fq_answer_refuse (
      &answer, cause, FQ_OUTCOME_NOT_RUN,
      fq_admission_retry_after_ms (core->admission, core->now, request->request_class));
  answer.allowance = allowance;
  tell_asker (core, node, attempt, request, &answer);
}

static void
cancel_children (fq_core_t *core, fq_run_t *run)
{
  fq_list_t *link;

  while ((link = fq_list_first (&run->children)) != NULL)
    fq_call_cancel (core, FQ_LIST_ENTRY (link, fq_call_t, parent_link),
                    FQ_CAUSE_CALLER_GONE);
}

static void
free_run (fq_core_t *core, fq_run_t *run)
{
  cancel_children (core, run);
  fq_map_remove (&core->runs, run->id);
  fq_map_remove (&core->runs_by_asker, run->asker_key);
  fq_admission_remove (core->admission, &run->admission);
  fq_list_remove (&run->lost_link);
  fq_list_remove (&run->suspect_link);
  fq_poison_leave (core->poison, run->id);
  fq_timer_cancel (&run->timer);
  fq_request_unref (run->request);
  free (run);
}

/* Answers the asker once; later answers of the same run only end its bookkeeping. */
static void
answer_run (fq_core_t *core, fq_run_t *run, fq_answer_t *answer)
{
  if (run->answered)
    return;
  run->answered = true;
  answer->allowance = run->allowance;
  answer->shed_below = run->shed_below;
  tell_asker (core, run->node, run->attempt, run->request, answer);
}

static void
refuse_run (fq_core_t *core, fq_run_t *run, fq_cause_t cause)
{
  fq_answer_t answer;

  fq_answer_refuse (&answer, cause, FQ_OUTCOME_NOT_RUN,
                    fq_admission_retry_after_ms (core->admission, core->now,
                                                 run->request->request_class));
  answer_run (core, run, &answer);
  free_run (core, run);
}

static void
start_run (fq_core_t *core, fq_run_t *run)
{
  fq_effect_t *effect = fq_effects_add (core->effects, FQ_EFFECT_UPSTREAM_START);
  fq_time_t left = run->deadline - core->now;

  run->state = FQ_RUN_RUNNING;
  effect->upstream_start.run = run->id;
  effect->upstream_start.remaining_ms
      = left > 0 ? (uint32_t)(left / FQ_MICROSECONDS_PER_MS) : 0;
  effect->upstream_start.request = fq_request_ref (run->request);
  memcpy (effect->upstream_start.address, core->upstream.address, FQ_ADDRESS_BYTES);
  snprintf (effect->upstream_start.chain, FQ_HEADER_BYTES, "%016llx-%016llx",
            (unsigned long long)run->id, (unsigned long long)run->request->chain_id);
}

/* A suspect goes to the upstream only when no other is there. */
static bool
waits_for_suspect (fq_core_t *core, fq_run_t *run)
{
  if (fq_poison_is_empty (core->poison))
    return false;
  if (fq_poison_enter (core->poison, core->now, fq_request_fingerprint (run->request),
                       run->id))
    return false;
  run->state = FQ_RUN_QUEUED;
  fq_list_append (&core->suspects, &run->suspect_link);
  return true;
}

static void
offer_run (fq_core_t *core, fq_run_t *run)
{
  fq_cause_t cause = FQ_CAUSE_NONE;

  if (waits_for_suspect (core, run))
    return;
  switch (fq_admission_offer (core->admission, core->now, &run->admission, &cause))
    {
    case FQ_ADMISSION_RUN:
      start_run (core, run);
      break;
    case FQ_ADMISSION_QUEUED:
      run->state = FQ_RUN_QUEUED;
      break;
    case FQ_ADMISSION_REFUSED:
      if (run->request->once)
        fq_once_release (core->once, core->now, run->id, core->effects);
      refuse_run (core, run, cause);
      break;
    }
}

static fq_run_t *
new_run (fq_core_t *core, const char *node, fq_id_t attempt, fq_request_t *request)
{
  fq_run_t *run = calloc (1, sizeof *run);

  if (run == NULL)
    return NULL;
  run->id = fq_core_next_id (core);
  run->attempt = attempt;
  run->asker_key = asker_key (node, attempt);
  run->request = fq_request_ref (request);
  memcpy (run->node, node, strlen (node) + 1);
  fq_list_init (&run->children);
  fq_list_init (&run->lost_link);
  fq_list_init (&run->suspect_link);
  fq_list_init (&run->admission.link);
  fq_timer_init (&run->timer, FQ_TIMER_RUN);
  run->admission.request_class = request->request_class;
  run->admission.member = fq_map_hash (request->member);
  run->admission.chain_id = request->chain_id;
  run->admission.inner = request->inner;
  if (fq_map_set (&core->runs, run->id, run) < 0
      || fq_map_set (&core->runs_by_asker, run->asker_key, run) < 0)
    {
      free_run (core, run);
      return NULL;
    }
  return run;
}

static fq_cause_t
check_gate (fq_core_t *core, const fq_request_t *request)
{
  if (core->stopping || !core->upstream_ready)
    return core->upstream.service[0] == '\0' ? FQ_CAUSE_NO_UPSTREAM : FQ_CAUSE_DRAINING;
  if (strcmp (core->upstream.service, request->service) != 0)
    return FQ_CAUSE_NO_UPSTREAM;
  if (!fq_tickets_confirmed (core->tickets))
    return FQ_CAUSE_NOT_READY;
  if (fq_poison_is_blocked (core->poison, core->now, fq_request_fingerprint (request)))
    return FQ_CAUSE_POISON;
  return FQ_CAUSE_NONE;
}

static void
admit_run (fq_core_t *core, fq_run_t *run)
{
  fq_cause_t cause = FQ_CAUSE_NONE;

  if (!run->request->once)
    {
      offer_run (core, run);
      return;
    }
  if (fq_admission_would_refuse (core->admission, core->now, &run->admission, &cause))
    {
      refuse_run (core, run, cause);
      return;
    }
  run->state = FQ_RUN_CLAIMING;
  if (fq_once_claim (core->once, core->now, run->id, run->request, run->deadline,
                     core->effects)
      < 0)
    refuse_run (core, run, FQ_CAUSE_STORE_UNAVAILABLE);
}

/* The gate reads its own rules: the asker's word could only make a request less safe. */
static void
apply_rules (fq_core_t *core, fq_request_t *request)
{
  fq_request_policy_t rule;

  fq_tickets_classify (core->tickets, request->member, request->service, request->method,
                       request->path, &rule);
  request->once = request->once || rule.once;
}

void
fq_run_receive (fq_core_t *core,
                const char *node,
                fq_id_t attempt,
                fq_request_t *request,
                uint32_t remaining,
                uint32_t allowance)
{
  fq_cause_t cause;
  fq_run_t *run;

  apply_rules (core, request);
  if (request->crash != 0)
    fq_poison_add (core->poison, core->now, fq_request_fingerprint (request),
                   request->crash, FQ_POISON_TTL_SECONDS);
  cause = check_gate (core, request);
  if (request->once && request->key[0] == '\0')
    cause = FQ_CAUSE_BAD_REQUEST;
  if (cause != FQ_CAUSE_NONE)
    {
      refuse_asker (core, node, attempt, request, allowance, cause);
      return;
    }
  run = new_run (core, node, attempt, request);
  if (run == NULL)
    {
      refuse_asker (core, node, attempt, request, allowance, FQ_CAUSE_OVERLOAD);
      return;
    }
  run->allowance = allowance;
  run->deadline = core->now + (fq_time_t)remaining * FQ_MICROSECONDS_PER_MS;
  run->admission.deadline = run->deadline;
  fq_wheel_arm (&core->wheel, &run->timer, run->deadline);
  admit_run (core, run);
}

static void
abort_upstream (fq_core_t *core, fq_run_t *run)
{
  fq_effect_t *effect = fq_effects_add (core->effects, FQ_EFFECT_UPSTREAM_ABORT);

  effect->upstream_abort.run = run->id;
  run->state = FQ_RUN_ABORTING;
}

/* The asker no longer waits. What must run at most once is let finish and recorded. */
static void
give_up_run (fq_core_t *core, fq_run_t *run)
{
  run->answered = true;
  switch (run->state)
    {
    case FQ_RUN_CLAIMING:
      fq_once_cancel (core->once, core->now, run->id, core->effects);
      free_run (core, run);
      break;
    case FQ_RUN_QUEUED:
      if (run->request->once)
        fq_once_release (core->once, core->now, run->id, core->effects);
      free_run (core, run);
      break;
    case FQ_RUN_RUNNING:
      if (run->request->once)
        break;
      cancel_children (core, run);
      abort_upstream (core, run);
      break;
    case FQ_RUN_LOST:
    case FQ_RUN_ABORTING:
      break;
    }
}

void
fq_run_cancel (fq_core_t *core, const char *node, fq_id_t attempt)
{
  fq_run_t *run = fq_map_get (&core->runs_by_asker, asker_key (node, attempt));

  if (run != NULL)
    give_up_run (core, run);
}

void
fq_run_node_lost (fq_core_t *core, const char *node)
{
  fq_run_t **lost = calloc (core->runs.count + 1, sizeof (void *));
  size_t count = 0;
  size_t cursor = 0;
  fq_run_t *run;

  if (lost == NULL)
    abort ();
  while ((run = fq_map_next (&core->runs, &cursor)) != NULL)
    {
      if (strcmp (run->node, node) == 0)
        lost[count++] = run;
    }
  for (size_t i = 0; i < count; i++)
    give_up_run (core, lost[i]);
  free (lost);
}

/* Another attempt may have run the same work, so that "not run" would not be true. */
static bool
is_run_elsewhere (const fq_core_t *core, const fq_run_t *run)
{
  return run->state == FQ_RUN_CLAIMING && fq_once_is_held_by_other (core->once, run->id);
}

/* A silent upstream may not hold a run, and with it a graceful shutdown, for ever. */
static void
bound_overdue_run (fq_core_t *core, fq_run_t *run)
{
  if (core->now >= run->deadline + FQ_RUN_ONCE_GRACE_US)
    abort_upstream (core, run);
  else
    fq_wheel_arm (&core->wheel, &run->timer, run->deadline + FQ_RUN_ONCE_GRACE_US);
}

void
fq_run_expire (fq_core_t *core, fq_run_t *run)
{
  fq_answer_t answer;
  bool elsewhere = is_run_elsewhere (core, run);
  bool sent = run->state == FQ_RUN_RUNNING || run->state == FQ_RUN_LOST;

  fq_answer_refuse (&answer, elsewhere ? FQ_CAUSE_IN_PROGRESS : FQ_CAUSE_DEADLINE,
                    sent || elsewhere ? FQ_OUTCOME_UNKNOWN : FQ_OUTCOME_NOT_RUN,
                    fq_admission_retry_after_ms (core->admission, core->now,
                                                 run->request->request_class));
  answer_run (core, run, &answer);
  if (sent && run->request->once)
    bound_overdue_run (core, run);
  else
    give_up_run (core, run);
}

/* An upstream's own 503 or 429 says that it has no room, not how fast it is. */
static fq_admission_result_t
admission_result (const fq_answer_t *answer)
{
  if (answer->cause == FQ_CAUSE_OVERLOAD)
    return FQ_ADMISSION_UPSTREAM_REFUSED;
  if (answer->outcome != FQ_OUTCOME_ANSWERED)
    return FQ_ADMISSION_FAILED;
  if (answer->status == FQ_STATUS_UNAVAILABLE || answer->status == FQ_STATUS_TOO_MANY)
    return FQ_ADMISSION_UPSTREAM_REFUSED;
  return FQ_ADMISSION_ANSWERED;
}

static void
end_run (fq_core_t *core, fq_run_t *run, fq_answer_t *answer)
{
  if (run->shed_below)
    fq_admission_record_downstream_refusal (core->admission, core->now, &run->admission);
  fq_admission_finish (core->admission, core->now, &run->admission,
                       admission_result (answer));
  if (run->request->once && answer->outcome == FQ_OUTCOME_NOT_RUN)
    fq_once_release (core->once, core->now, run->id, core->effects);
  else if (run->request->once)
    fq_once_finish (core->once, core->now, run->id, answer, core->effects);
  answer_run (core, run, answer);
  free_run (core, run);
}

static void
answer_lost (fq_core_t *core)
{
  fq_list_t *link;

  while ((link = fq_list_first (&core->lost)) != NULL)
    {
      fq_run_t *run = FQ_LIST_ENTRY (link, fq_run_t, lost_link);
      fq_answer_t answer;

      fq_answer_refuse (&answer, FQ_CAUSE_CONNECTION_LOST, FQ_OUTCOME_UNKNOWN,
                        fq_admission_retry_after_ms (core->admission, core->now,
                                                     run->request->request_class));
      answer.crash = fq_poison_crash_of (core->poison, core->now,
                                         fq_request_fingerprint (run->request));
      end_run (core, run, &answer);
    }
}

void
fq_run_upstream_answer (fq_core_t *core, const fq_upstream_answer_event_t *event)
{
  fq_run_t *run = fq_map_get (&core->runs, event->run);
  fq_answer_t answer = event->answer;

  if (run == NULL)
    return;
  if (answer.outcome == FQ_OUTCOME_NOT_RUN)
    fq_answer_refuse (&answer, FQ_CAUSE_OVERLOAD, FQ_OUTCOME_NOT_RUN,
                      fq_admission_retry_after_ms (core->admission, core->now,
                                                   run->request->request_class));
  else
    answer.outcome = FQ_OUTCOME_ANSWERED;
  fq_crash_clear (core, run->request);
  answer_lost (core);
  end_run (core, run, &answer);
  fq_run_progress (core);
}

/* The answer waits for some milliseconds, so that it can tell of a crash: a retry must
 * not be at the next gate before the suspicion. */
static void
lose_run (fq_core_t *core, fq_run_t *run)
{
  if (fq_list_is_empty (&core->lost))
    core->lost_since = core->now;
  fq_poison_lost (core->poison, core->now, fq_request_fingerprint (run->request),
                  run->id);
  fq_admission_finish (core->admission, core->now, &run->admission, FQ_ADMISSION_FAILED);
  run->state = FQ_RUN_LOST;
  fq_list_append (&core->lost, &run->lost_link);
}

void
fq_run_tick (fq_core_t *core)
{
  if (core->now - core->lost_since >= FQ_LOST_WAIT_US)
    answer_lost (core);
}

static void
fail_run (fq_core_t *core, fq_run_t *run, const fq_upstream_failed_event_t *event)
{
  fq_answer_t answer;

  fq_answer_refuse (&answer,
                    event->sent ? FQ_CAUSE_CONNECTION_LOST : FQ_CAUSE_CONNECT_FAILED,
                    event->sent ? FQ_OUTCOME_UNKNOWN : FQ_OUTCOME_NOT_RUN,
                    fq_admission_retry_after_ms (core->admission, core->now,
                                                 run->request->request_class));
  end_run (core, run, &answer);
}

void
fq_run_upstream_failed (fq_core_t *core, const fq_upstream_failed_event_t *event)
{
  fq_run_t *run = fq_map_get (&core->runs, event->run);
  fq_load_t load;

  if (run == NULL || run->state == FQ_RUN_LOST)
    return;
  /* What we aborted ourselves says nothing of the upstream. */
  if (event->sent && run->state == FQ_RUN_RUNNING)
    lose_run (core, run);
  else
    fail_run (core, run, event);
  fq_admission_load (core->admission, &load);
  if (event->refused || load.in_flight == 0)
    {
      fq_crash_blame (core);
      answer_lost (core);
    }
  fq_run_progress (core);
}

/* Its new start was announced before its lost connections were noticed. */
void
fq_run_upstream_crashed (fq_core_t *core)
{
  size_t cursor = 0;
  fq_run_t *run;

  while ((run = fq_map_next (&core->runs, &cursor)) != NULL)
    {
      if (run->state == FQ_RUN_RUNNING)
        fq_poison_lost (core->poison, core->now, fq_request_fingerprint (run->request),
                        run->id);
    }
  fq_crash_blame (core);
  answer_lost (core);
}

/* The grant may come late, after a pause of this process or of the store. */
static void
accept_grant (fq_core_t *core, fq_run_t *run)
{
  if (core->now < run->deadline)
    {
      offer_run (core, run);
      return;
    }
  fq_once_release (core->once, core->now, run->id, core->effects);
  refuse_run (core, run, FQ_CAUSE_DEADLINE);
}

static void
take_verdict (fq_core_t *core, fq_once_verdict_t *verdict)
{
  fq_run_t *run = fq_map_get (&core->runs, verdict->run);

  if (run == NULL)
    {
      fq_blob_unref (verdict->answer.body);
      return;
    }
  switch (verdict->kind)
    {
    case FQ_ONCE_GRANTED:
      accept_grant (core, run);
      break;
    case FQ_ONCE_REPLAY:
      verdict->answer.replayed = true;
      answer_run (core, run, &verdict->answer);
      fq_blob_unref (verdict->answer.body);
      free_run (core, run);
      break;
    case FQ_ONCE_IN_PROGRESS:
      fq_answer_refuse (&verdict->answer, FQ_CAUSE_IN_PROGRESS, FQ_OUTCOME_UNKNOWN,
                        fq_admission_retry_after_ms (core->admission, core->now,
                                                     run->request->request_class));
      answer_run (core, run, &verdict->answer);
      free_run (core, run);
      break;
    case FQ_ONCE_UNKNOWN:
      fq_answer_refuse (&verdict->answer, FQ_CAUSE_CONNECTION_LOST, FQ_OUTCOME_UNKNOWN,
                        0);
      answer_run (core, run, &verdict->answer);
      free_run (core, run);
      break;
    case FQ_ONCE_KEY_REUSED:
      fq_answer_refuse (&verdict->answer, FQ_CAUSE_KEY_REUSED, FQ_OUTCOME_NOT_RUN, 0);
      answer_run (core, run, &verdict->answer);
      free_run (core, run);
      break;
    case FQ_ONCE_UNAVAILABLE:
      refuse_run (core, run, FQ_CAUSE_STORE_UNAVAILABLE);
      break;
    }
}

static fq_run_t *
run_of_entry (fq_admission_entry_t *entry)
{
  return FQ_LIST_ENTRY (entry, fq_run_t, admission);
}

static void
offer_suspects (fq_core_t *core)
{
  fq_list_t *link;

  while (fq_poison_is_free (core->poison)
         && (link = fq_list_first (&core->suspects)) != NULL)
    {
      fq_run_t *run = FQ_LIST_ENTRY (link, fq_run_t, suspect_link);

      fq_list_remove (link);
      if (!fq_poison_is_blocked (core->poison, core->now,
                                 fq_request_fingerprint (run->request)))
        {
          offer_run (core, run);
          continue;
        }
      if (run->request->once)
        fq_once_release (core->once, core->now, run->id, core->effects);
      refuse_run (core, run, FQ_CAUSE_POISON);
    }
}

void
fq_run_progress (fq_core_t *core)
{
  fq_once_verdict_t verdict;
  fq_admission_entry_t *entry;
  fq_cause_t cause;

  while (fq_once_take_verdict (core->once, &verdict))
    take_verdict (core, &verdict);
  offer_suspects (core);
  while ((entry = fq_admission_refuse_next (core->admission, core->now, &cause)) != NULL)
    {
      fq_run_t *run = run_of_entry (entry);

      if (run->request->once)
        fq_once_release (core->once, core->now, run->id, core->effects);
      refuse_run (core, run, cause);
    }
  while ((entry = fq_admission_start_next (core->admission, core->now)) != NULL)
    start_run (core, run_of_entry (entry));
}

fq_run_t *
fq_run_of_chain (fq_core_t *core, const char *chain)
{
  unsigned long long id = 0;
  unsigned long long chain_id = 0;
  fq_run_t *run;

  if (sscanf (chain, "%16llx-%16llx", &id, &chain_id) != 2)
    return NULL;
  run = fq_map_get (&core->runs, id);
  if (run == NULL || run->request->chain_id != chain_id || run->state != FQ_RUN_RUNNING)
    return NULL;
  return run;
}

void
fq_run_free_all (fq_core_t *core)
{
  size_t cursor = 0;
  fq_run_t *run;

  while ((run = fq_map_next (&core->runs, &cursor)) != NULL)
    {
      fq_request_unref (run->request);
      free (run);
    }
  fq_map_clear (&core->runs);
  fq_map_clear (&core->runs_by_asker);
}
