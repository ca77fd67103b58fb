/**
 * DOC: Runs: execution of attempts at the admission gate of this node's upstream.
 *
 * A run is freed when it ends. offer_run(), admit_run(), handle_grant() and abandon_run()
 * may free @run, and refuse_run() and end_run() always do; answer_run() does not.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <xxhash.h>

#include "core/core_private.h"
#include "core/refusal.h"
#include "filbertquay/errors.h"

/* How long an at-most-once run may go on after its deadline, so that its outcome can
 * still be recorded. */
#define FQ_RUN_ONCE_GRACE_US (60 * FQ_MICROSECONDS_PER_SECOND)

/* How long a run whose connection was lost waits for signs of an upstream crash. */
#define FQ_RUN_CRASH_WAIT_US (8 * FQ_MICROSECONDS_PER_MS)
#define FQ_STATUS_TOO_MANY_REQUESTS 429
#define FQ_STATUS_UNAVAILABLE 503

static uint64_t
attempt_key (const char *node, fq_id_t attempt)
{
  return XXH3_64bits_withSeed (&attempt, sizeof attempt, fq_map_hash (node)) | 1;
}

static void
deliver_answer (fq_core_t *core,
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

/* Refuses an attempt that has no run yet. Its whole @retry_allowance is returned. */
static void
refuse_attempt (fq_core_t *core,
                const char *node,
                fq_id_t attempt,
                const fq_request_t *request,
                uint32_t retry_allowance,
                fq_cause_t cause)
{
  fq_answer_t answer;

  fq_answer_init_error (
      &answer, cause, FQ_OUTCOME_NOT_RUN,
      fq_admission_retry_after_ms (core->admission, core->now, request->request_class));
  answer.retry_allowance = retry_allowance;
  deliver_answer (core, node, attempt, request, &answer);
}

static void
cancel_internal_calls (fq_core_t *core, fq_run_t *run)
{
  fq_list_t *link;

  while ((link = fq_list_first (&run->internal_calls)) != NULL)
    fq_call_cancel (core, FQ_LIST_ENTRY (link, fq_call_t, parent_link),
                    FQ_CAUSE_CALLER_GONE);
}

static void
free_run (fq_core_t *core, fq_run_t *run)
{
  cancel_internal_calls (core, run);
  fq_map_remove (&core->runs, run->id);
  fq_map_remove (&core->runs_by_attempt, run->attempt_key);
  fq_admission_remove (core->admission, &run->admission);
  fq_list_remove (&run->lost_link);
  fq_list_remove (&run->suspect_link);
  fq_poison_release_slot (core->poison, run->id);
  fq_timer_cancel (&run->timer);
  fq_request_unref (run->request);
  free (run);
}

/* Delivers the first answer of a run. A later one is not delivered; it still serves the
 * callers to return the slot and to record the outcome of an at-most-once run. */
static void
answer_run (fq_core_t *core, fq_run_t *run, fq_answer_t *answer)
{
  if (run->answered)
    return;
  run->answered = true;
  answer->retry_allowance = run->retry_allowance;
  answer->refused_downstream = run->refused_downstream;
  deliver_answer (core, run->node, run->attempt, run->request, answer);
}

static void
refuse_run (fq_core_t *core, fq_run_t *run, fq_cause_t cause)
{
  fq_answer_t answer;

  fq_answer_init_error (&answer, cause, FQ_OUTCOME_NOT_RUN,
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

/* Takes the suspect slot if the request of @run is suspected. At most one suspected
 * request is queued at the gate or runs in the upstream; further ones wait in
 * waiting_suspects.
 *
 * Return: whether @run has to wait for the slot. */
static bool
wait_for_suspect_slot (fq_core_t *core, fq_run_t *run)
{
  if (fq_poison_is_empty (core->poison))
    return false;
  if (fq_poison_acquire_slot (core->poison, core->now,
                              fq_request_fingerprint (run->request), run->id))
    return false;
  run->state = FQ_RUN_QUEUED;
  fq_list_append (&core->waiting_suspects, &run->suspect_link);
  return true;
}

static void
offer_run (fq_core_t *core, fq_run_t *run)
{
  fq_cause_t cause = FQ_CAUSE_NONE;

  if (wait_for_suspect_slot (core, run))
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
  run->attempt_key = attempt_key (node, attempt);
  run->request = fq_request_ref (request);
  memcpy (run->node, node, strlen (node) + 1);
  fq_list_init (&run->internal_calls);
  fq_list_init (&run->lost_link);
  fq_list_init (&run->suspect_link);
  fq_list_init (&run->admission.link);
  fq_timer_init (&run->timer, FQ_TIMER_RUN);
  run->admission.request_class = request->request_class;
  run->admission.member = fq_map_hash (request->member);
  run->admission.chain_id = request->chain_id;
  run->admission.internal = request->internal;
  if (fq_map_set (&core->runs, run->id, run) < 0
      || fq_map_set (&core->runs_by_attempt, run->attempt_key, run) < 0)
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

/* Applies this node's own rules as well: a sender with older tickets may not know that a
 * request has to run at most once. */
static void
apply_rules (fq_core_t *core, fq_request_t *request)
{
  fq_request_policy_t policy;

  fq_tickets_classify (core->tickets, request->member, request->service, request->method,
                       request->path, &policy);
  request->once = request->once || policy.at_most_once;
}

void
fq_run_receive (fq_core_t *core,
                const char *node,
                fq_id_t attempt,
                fq_request_t *request,
                uint32_t remaining_ms,
                uint32_t retry_allowance)
{
  fq_cause_t cause;
  fq_run_t *run;

  apply_rules (core, request);
  if (request->crash_id != 0)
    fq_poison_add (core->poison, core->now, fq_request_fingerprint (request),
                   request->crash_id, FQ_POISON_TTL_SECONDS);
  cause = check_gate (core, request);
  if (request->once && request->key[0] == '\0')
    cause = FQ_CAUSE_BAD_REQUEST;
  if (cause != FQ_CAUSE_NONE)
    {
      refuse_attempt (core, node, attempt, request, retry_allowance, cause);
      return;
    }
  run = new_run (core, node, attempt, request);
  if (run == NULL)
    {
      refuse_attempt (core, node, attempt, request, retry_allowance, FQ_CAUSE_OVERLOAD);
      return;
    }
  run->retry_allowance = retry_allowance;
  run->deadline = core->now + (fq_time_t)remaining_ms * FQ_MICROSECONDS_PER_MS;
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

/* The sender no longer waits for the answer. An at-most-once run that was sent to the
 * upstream continues, so that its outcome can be recorded. */
static void
abandon_run (fq_core_t *core, fq_run_t *run)
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
      cancel_internal_calls (core, run);
      abort_upstream (core, run);
      break;
    case FQ_RUN_CONNECTION_LOST:
    case FQ_RUN_ABORTING:
      break;
    }
}

void
fq_run_cancel (fq_core_t *core, const char *node, fq_id_t attempt)
{
  fq_run_t *run = fq_map_get (&core->runs_by_attempt, attempt_key (node, attempt));

  if (run != NULL)
    abandon_run (core, run);
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
    abandon_run (core, lost[i]);
  free (lost);
}

/* Whether another attempt holds the idempotency key of @run. That attempt may have run
 * the request, so that the outcome can't be reported as not run. */
static bool
is_key_held_elsewhere (const fq_core_t *core, const fq_run_t *run)
{
  return run->state == FQ_RUN_CLAIMING && fq_once_is_held_by_other (core->once, run->id);
}

/* Bounds an at-most-once run after its deadline. Otherwise an upstream that never answers
 * would keep the run, and with it a graceful shutdown, waiting forever. */
static void
limit_overdue_run (fq_core_t *core, fq_run_t *run)
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
  bool held_elsewhere = is_key_held_elsewhere (core, run);
  bool sent = run->state == FQ_RUN_RUNNING || run->state == FQ_RUN_CONNECTION_LOST;

  fq_answer_init_error (&answer,
                        held_elsewhere ? FQ_CAUSE_IN_PROGRESS : FQ_CAUSE_DEADLINE,
                        sent || held_elsewhere ? FQ_OUTCOME_UNKNOWN : FQ_OUTCOME_NOT_RUN,
                        fq_admission_retry_after_ms (core->admission, core->now,
                                                     run->request->request_class));
  answer_run (core, run, &answer);
  if (sent && run->request->once)
    limit_overdue_run (core, run);
  else
    abandon_run (core, run);
}

/* A 503 or 429 of the upstream itself counts as a refusal: it shows overload, and its
 * latency is no sample of the service time. */
static fq_admission_result_t
admission_result (const fq_answer_t *answer)
{
  if (answer->cause == FQ_CAUSE_OVERLOAD)
    return FQ_ADMISSION_UPSTREAM_REFUSED;
  if (answer->outcome != FQ_OUTCOME_ANSWERED)
    return FQ_ADMISSION_FAILED;
  if (answer->status == FQ_STATUS_UNAVAILABLE
      || answer->status == FQ_STATUS_TOO_MANY_REQUESTS)
    return FQ_ADMISSION_UPSTREAM_REFUSED;
  return FQ_ADMISSION_ANSWERED;
}

static void
end_run (fq_core_t *core, fq_run_t *run, fq_answer_t *answer)
{
  if (run->refused_downstream)
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
finish_lost_runs (fq_core_t *core)
{
  fq_list_t *link;

  while ((link = fq_list_first (&core->lost_runs)) != NULL)
    {
      fq_run_t *run = FQ_LIST_ENTRY (link, fq_run_t, lost_link);
      fq_answer_t answer;

      fq_answer_init_error (&answer, FQ_CAUSE_CONNECTION_LOST, FQ_OUTCOME_UNKNOWN,
                            fq_admission_retry_after_ms (core->admission, core->now,
                                                         run->request->request_class));
      answer.crash_id = fq_poison_last_crash (core->poison, core->now,
                                              fq_request_fingerprint (run->request));
      end_run (core, run, &answer);
    }
}

void
fq_run_upstream_answered (fq_core_t *core, const fq_upstream_answer_event_t *event)
{
  fq_run_t *run = fq_map_get (&core->runs, event->run);
  fq_answer_t answer = event->answer;

  if (run == NULL)
    return;
  if (answer.outcome == FQ_OUTCOME_NOT_RUN)
    fq_answer_init_error (&answer, FQ_CAUSE_OVERLOAD, FQ_OUTCOME_NOT_RUN,
                          fq_admission_retry_after_ms (core->admission, core->now,
                                                       run->request->request_class));
  else
    answer.outcome = FQ_OUTCOME_ANSWERED;
  fq_crash_clear_suspect (core, run->request);
  finish_lost_runs (core);
  end_run (core, run, &answer);
  fq_run_process_queues (core);
}

/* Delays the answer so that it can carry a suspicion if the upstream turns out to have
 * crashed. The delay ends FQ_RUN_CRASH_WAIT_US after the first lost run, or earlier with
 * an answer of the upstream or a detected crash. Without the delay a retry could reach
 * the next gate before the suspicion does. */
static void
mark_run_lost (fq_core_t *core, fq_run_t *run)
{
  if (fq_list_is_empty (&core->lost_runs))
    core->lost_since = core->now;
  fq_poison_record_loss (core->poison, core->now, fq_request_fingerprint (run->request),
                         run->id);
  fq_admission_finish (core->admission, core->now, &run->admission, FQ_ADMISSION_FAILED);
  run->state = FQ_RUN_CONNECTION_LOST;
  fq_list_append (&core->lost_runs, &run->lost_link);
}

void
fq_run_tick (fq_core_t *core)
{
  if (core->now - core->lost_since >= FQ_RUN_CRASH_WAIT_US)
    finish_lost_runs (core);
}

static void
fail_run (fq_core_t *core, fq_run_t *run, const fq_upstream_failed_event_t *event)
{
  fq_answer_t answer;

  fq_answer_init_error (&answer,
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

  if (run == NULL || run->state == FQ_RUN_CONNECTION_LOST)
    return;
  /* A run that this node aborted is no sign of a crash. */
  if (event->sent && run->state == FQ_RUN_RUNNING)
    mark_run_lost (core, run);
  else
    fail_run (core, run, event);
  /* The upstream crashed if it refuses connections or every connection to it was lost. */
  fq_admission_load (core->admission, &load);
  if (event->connect_failed || load.in_flight == 0)
    {
      fq_crash_mark_suspects (core);
      finish_lost_runs (core);
    }
  fq_run_process_queues (core);
}

/* The restart was announced before the loss of the connections was noticed, so that runs
 * may still be in state FQ_RUN_RUNNING. */
void
fq_run_upstream_restarted (fq_core_t *core)
{
  size_t cursor = 0;
  fq_run_t *run;

  while ((run = fq_map_next (&core->runs, &cursor)) != NULL)
    {
      if (run->state == FQ_RUN_RUNNING)
        fq_poison_record_loss (core->poison, core->now,
                               fq_request_fingerprint (run->request), run->id);
    }
  fq_crash_mark_suspects (core);
  finish_lost_runs (core);
}

/* A pause of this process or of the store can delay the grant past the deadline. The
 * request is then not run, and its claim is released. */
static void
handle_grant (fq_core_t *core, fq_run_t *run)
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
apply_verdict (fq_core_t *core, fq_once_verdict_t *verdict)
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
      handle_grant (core, run);
      break;
    case FQ_ONCE_REPLAY:
      verdict->answer.replayed = true;
      answer_run (core, run, &verdict->answer);
      fq_blob_unref (verdict->answer.body);
      free_run (core, run);
      break;
    case FQ_ONCE_IN_PROGRESS:
      fq_answer_init_error (&verdict->answer, FQ_CAUSE_IN_PROGRESS, FQ_OUTCOME_UNKNOWN,
                            fq_admission_retry_after_ms (core->admission, core->now,
                                                         run->request->request_class));
      answer_run (core, run, &verdict->answer);
      free_run (core, run);
      break;
    case FQ_ONCE_UNKNOWN:
      fq_answer_init_error (&verdict->answer, FQ_CAUSE_CONNECTION_LOST,
                            FQ_OUTCOME_UNKNOWN, 0);
      answer_run (core, run, &verdict->answer);
      free_run (core, run);
      break;
    case FQ_ONCE_KEY_REUSED:
      fq_answer_init_error (&verdict->answer, FQ_CAUSE_KEY_REUSED, FQ_OUTCOME_NOT_RUN, 0);
      answer_run (core, run, &verdict->answer);
      free_run (core, run);
      break;
    case FQ_ONCE_UNAVAILABLE:
      refuse_run (core, run, FQ_CAUSE_STORE_UNAVAILABLE);
      break;
    }
}

static fq_run_t *
run_from_entry (fq_admission_entry_t *entry)
{
  return FQ_LIST_ENTRY (entry, fq_run_t, admission);
}

static void
offer_suspects (fq_core_t *core)
{
  fq_list_t *link;

  while (fq_poison_slot_is_free (core->poison)
         && (link = fq_list_first (&core->waiting_suspects)) != NULL)
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
fq_run_process_queues (fq_core_t *core)
{
  fq_once_verdict_t verdict;
  fq_admission_entry_t *entry;
  fq_cause_t cause;

  while (fq_once_take_verdict (core->once, &verdict))
    apply_verdict (core, &verdict);
  offer_suspects (core);
  while ((entry = fq_admission_refuse_next (core->admission, core->now, &cause)) != NULL)
    {
      fq_run_t *run = run_from_entry (entry);

      if (run->request->once)
        fq_once_release (core->once, core->now, run->id, core->effects);
      refuse_run (core, run, cause);
    }
  while ((entry = fq_admission_start_next (core->admission, core->now)) != NULL)
    start_run (core, run_from_entry (entry));
}

fq_run_t *
fq_run_find_by_chain (fq_core_t *core, const char *chain)
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
  fq_map_clear (&core->runs_by_attempt);
}
