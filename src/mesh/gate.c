/**
 * DOC: Runs at the server beside this node: what starts, waits or is refused.
 *
 * Only this gate reaches its server, so what it says of a request is first-hand. It
 * refuses at once what it can't start in time, and what it refused never runs.
 */
#include <stdlib.h>
#include <string.h>

#include "mesh/mesh_private.h"

#define FQ_GRANT_US (1 * FQ_MICROSECONDS_PER_SECOND) /* for the request to follow */
#define FQ_OVERDUE_US                                                                    \
  (5 * FQ_MICROSECONDS_PER_SECOND) /* after its time, a run holds no room any more */
#define FQ_RETRY_AFTER_BASE_MS 150
#define FQ_RETRY_AFTER_RANK_MS 120 /* those of a lower rank come back first */
#define FQ_KEY_MIX 0x9E3779B97F4A7C15ULL

static uint64_t
attempt_key (fq_id_t asker, fq_id_t attempt)
{
  return (asker * FQ_KEY_MIX ^ attempt) | (1ULL << 63);
}

static fq_gate_run_t *
run_of (const fq_mesh_t *mesh, fq_id_t asker, fq_id_t attempt)
{
  fq_gate_run_t *run
      = fq_map_get (&mesh->gate.runs_by_attempt, attempt_key (asker, attempt));

  return run != NULL && run->asker == asker && run->attempt == attempt ? run : NULL;
}

bool
fq_gate_takes_work (const fq_mesh_t *mesh)
{
  const fq_gate_t *gate = &mesh->gate;

  if (mesh->closing)
    return false;
  switch (gate->server.phase)
    {
    case FQ_PHASE_ABSENT:
      return false;
    case FQ_PHASE_READY:
      return true;
    case FQ_PHASE_DRAINING:
      return mesh->now < gate->drain_until;
    }
  return false;
}

static uint32_t
retry_after_ms (const fq_mesh_t *mesh, uint32_t rank)
{
  return FQ_RETRY_AFTER_BASE_MS + rank * FQ_RETRY_AFTER_RANK_MS
         + (uint32_t)(fq_waiting_time (&mesh->gate.waiting, rank)
                      / FQ_MICROSECONDS_PER_MS);
}

static void
tell_end (fq_mesh_t *mesh,
          fq_id_t asker,
          fq_id_t attempt,
          fq_frame_kind_t kind,
          fq_refusal_t cause,
          bool reached_server,
          uint32_t rank)
{
  fq_frame_t frame = {
    .kind = kind,
    .attempt = attempt,
    .cause = cause,
    .reached_server = reached_server,
    .retry_after_ms = retry_after_ms (mesh, rank),
  };

  mesh->metrics.refusals[cause]++;
  if (asker != 0)
    fq_mesh_send_to_entry (mesh, asker, &frame);
}

static void
log_refusal (fq_mesh_t *mesh, const fq_offer_t *offer, fq_refusal_t cause)
{
  const fq_waiting_t *waiting = &mesh->gate.waiting;

  fq_mesh_log (
      mesh, false,
      "event=gate-refused id=%s cause=%s rank=%u remaining_ms=%u phase=%s "
      "limit=%u in_flight=%u queued=%u wait_ms=%lld",
      offer->request_id, fq_refusal_name (cause), offer->rank, offer->remaining_ms,
      fq_phase_name (mesh->gate.server.phase), waiting->limit, waiting->in_flight,
      waiting->queued,
      (long long)(fq_waiting_time (waiting, offer->rank) / FQ_MICROSECONDS_PER_MS));
}

static void
free_run (fq_mesh_t *mesh, fq_gate_run_t *run)
{
  uint64_t request_key = fq_map_hash (run->offer.request_id);

  if (fq_map_get (&mesh->gate.runs_by_request, request_key) == run)
    fq_map_remove (&mesh->gate.runs_by_request, request_key);
  fq_map_remove (&mesh->gate.runs_by_id, run->id);
  fq_map_remove (&mesh->gate.runs_by_attempt, attempt_key (run->asker, run->attempt));
  fq_timers_cancel (&mesh->timers, &run->timer);
  fq_list_remove (&run->link);
  fq_http_message_unref (run->message);
  free (run);
}

/* A run that waited long may have lacked time, and not room further down. */
static bool
had_time (const fq_gate_run_t *run)
{
  return run->started - run->arrived < (run->deadline - run->arrived) / 4;
}

/* Whether the calls of work of a rank find room decides how much of it runs at once. */
static void
learn_of_calls (fq_mesh_t *mesh, const fq_gate_run_t *run)
{
  fq_waiting_t *waiting = &mesh->gate.waiting;
  uint32_t rank = run->waiting.rank;
  uint32_t before = fq_waiting_rank_limit (waiting, rank);
  uint32_t limit;

  fq_waiting_learn (waiting, mesh->now, run->started, rank, run->starved);
  limit = fq_waiting_rank_limit (waiting, rank);
  if (limit == before)
    return;
  fq_mesh_log (mesh, false, "event=rank-limit rank=%u limit=%u previous=%u in_flight=%u",
               rank, limit, before, waiting->rank_in_flight[rank]);
}

/* @took: how long the server worked, 0 when that tells nothing of its speed. */
static void
release_room (fq_mesh_t *mesh, fq_gate_run_t *run, fq_time_t took)
{
  fq_waiting_t *waiting = &mesh->gate.waiting;

  if (run->stage == FQ_STAGE_WAITING)
    {
      fq_waiting_remove (waiting, &run->waiting);
      return;
    }
  fq_waiting_end (waiting, &run->waiting, took);
  if ((took > 0 || run->starved) && had_time (run))
    learn_of_calls (mesh, run);
}

static void
refuse_run (fq_mesh_t *mesh, fq_gate_run_t *run, fq_refusal_t cause, bool reached_server)
{
  log_refusal (mesh, &run->offer, cause);
  release_room (mesh, run, 0);
  tell_end (mesh, run->asker, run->attempt, FQ_FRAME_REFUSE, cause, reached_server,
            run->offer.rank);
  free_run (mesh, run);
}

static void
start (fq_mesh_t *mesh, fq_gate_run_t *run)
{
  fq_mesh_effect_t *effect = fq_mesh_add_effect (mesh, FQ_MESH_EFFECT_SERVER_CALL);
  fq_time_t left = run->deadline - mesh->now;

  run->stage = FQ_STAGE_RUNNING;
  run->started = mesh->now;
  if (fq_map_set (&mesh->gate.runs_by_request, fq_map_hash (run->offer.request_id), run)
      < 0)
    abort ();
  effect->server_call.run = run->id;
  effect->server_call.remaining_ms
      = left > 0 ? (uint32_t)(left / FQ_MICROSECONDS_PER_MS) : 1;
  effect->server_call.idempotent = run->offer.idempotent;
  effect->server_call.message = fq_http_message_ref (run->message);
  memcpy (effect->server_call.instance, mesh->gate.server.instance, FQ_INSTANCE_BYTES);
  memcpy (effect->server_call.caller, run->offer.caller, FQ_NAME_BYTES);
  memcpy (effect->server_call.request_id, run->offer.request_id, FQ_REQUEST_ID_BYTES);
  mesh->metrics.counters[FQ_METRIC_RUNS]++;
  fq_histogram_add (&mesh->metrics.wait_us, mesh->now - run->arrived);
  fq_timers_arm (&mesh->timers, &run->timer, run->deadline + FQ_OVERDUE_US);
}

static void
grant (fq_mesh_t *mesh, fq_gate_run_t *run)
{
  fq_frame_t frame = { .kind = FQ_FRAME_GRANT, .attempt = run->attempt };

  run->stage = FQ_STAGE_GRANTED;
  fq_mesh_send_to_entry (mesh, run->asker, &frame);
  fq_timers_arm (&mesh->timers, &run->timer, mesh->now + FQ_GRANT_US);
}

static void
take_room (fq_mesh_t *mesh, fq_gate_run_t *run)
{
  fq_waiting_start (&mesh->gate.waiting, &run->waiting);
  if (run->message != NULL)
    start (mesh, run);
  else
    grant (mesh, run);
}

static void
wait_for_room (fq_mesh_t *mesh, fq_gate_run_t *run)
{
  run->stage = FQ_STAGE_WAITING;
  fq_waiting_push (&mesh->gate.waiting, &run->waiting);
  fq_timers_arm (&mesh->timers, &run->timer,
                 run->arrived + fq_gate_wait_max (mesh, &run->offer));
}

void
fq_gate_start_queued (fq_mesh_t *mesh)
{
  fq_waiting_t *waiting = &mesh->gate.waiting;
  fq_waiting_entry_t *entry;

  while (fq_gate_takes_work (mesh) && (entry = fq_waiting_next (waiting)) != NULL)
    {
      fq_gate_run_t *run = FQ_LIST_ENTRY (entry, fq_gate_run_t, waiting);

      fq_waiting_remove (waiting, entry);
      take_room (mesh, run);
    }
}

static fq_gate_run_t *
new_run (fq_mesh_t *mesh, fq_id_t asker, const fq_frame_t *frame)
{
  fq_gate_run_t *run = calloc (1, sizeof *run);
  uint32_t rank = frame->offer.rank < FQ_RANKS ? frame->offer.rank : FQ_RANKS - 1;

  if (run == NULL)
    abort ();
  run->id = fq_mesh_next_id (mesh);
  run->asker = asker;
  run->attempt = frame->attempt;
  run->offer = frame->offer;
  run->offer.rank = rank;
  run->message = fq_http_message_ref (frame->message);
  run->arrived = mesh->now;
  run->deadline
      = mesh->now + (fq_time_t)frame->offer.remaining_ms * FQ_MICROSECONDS_PER_MS;
  run->waiting.rank = rank;
  run->waiting.route = frame->offer.route;
  run->timer.kind = FQ_MESH_TIMER_RUN;
  fq_list_init (&run->waiting.link);
  fq_list_append (&mesh->gate.runs, &run->link);
  if (fq_map_set (&mesh->gate.runs_by_id, run->id, run) < 0
      || fq_map_set (&mesh->gate.runs_by_attempt, attempt_key (asker, run->attempt), run)
             < 0)
    abort ();
  return run;
}

static void
take_offer (fq_mesh_t *mesh, fq_id_t asker, const fq_frame_t *frame)
{
  fq_refusal_t cause = fq_gate_check_offer (mesh, &frame->offer);
  fq_gate_run_t *run;

  if (cause != FQ_REFUSAL_NONE)
    {
      log_refusal (mesh, &frame->offer, cause);
      tell_end (mesh, asker, frame->attempt, FQ_FRAME_REFUSE, cause, false,
                frame->offer.rank);
      return;
    }
  run = new_run (mesh, asker, frame);
  if (fq_waiting_may_start (&mesh->gate.waiting, run->waiting.rank))
    take_room (mesh, run);
  else
    wait_for_room (mesh, run);
}

static void
take_message (fq_mesh_t *mesh, fq_id_t asker, const fq_frame_t *frame)
{
  fq_gate_run_t *run = run_of (mesh, asker, frame->attempt);

  if (run == NULL || run->stage != FQ_STAGE_GRANTED || frame->message == NULL)
    {
      /* The grant was withdrawn meanwhile: the request did not run and will not. */
      if (run == NULL)
        tell_end (mesh, asker, frame->attempt, FQ_FRAME_REFUSE, FQ_REFUSAL_EXPIRED, false,
                  0);
      return;
    }
  if (!fq_gate_takes_work (mesh))
    {
      refuse_run (mesh, run, FQ_REFUSAL_NO_SERVER, false);
      return;
    }
  run->message = fq_http_message_ref (frame->message);
  start (mesh, run);
}

static void
abort_run (fq_mesh_t *mesh, fq_gate_run_t *run)
{
  fq_mesh_log (mesh, false, "event=run-aborted id=%s instance=%s ran_ms=%lld",
               run->offer.request_id, mesh->gate.server.instance,
               (long long)((mesh->now - run->started) / FQ_MICROSECONDS_PER_MS));
  fq_mesh_add_effect (mesh, FQ_MESH_EFFECT_SERVER_ABORT)->run = run->id;
  release_room (mesh, run, 0);
  free_run (mesh, run);
}

/* Nobody waits for the answer. What may not be repeated is left to end by itself, since
 * breaking it off could leave its work half done. */
static void
abandon_run (fq_mesh_t *mesh, fq_gate_run_t *run)
{
  switch (run->stage)
    {
    case FQ_STAGE_WAITING:
    case FQ_STAGE_GRANTED:
      release_room (mesh, run, 0);
      free_run (mesh, run);
      break;
    case FQ_STAGE_RUNNING:
      if (run->offer.idempotent)
        {
          abort_run (mesh, run);
          break;
        }
      fq_map_remove (&mesh->gate.runs_by_attempt, attempt_key (run->asker, run->attempt));
      run->asker = 0;
      break;
    }
}

static void
take_cancel (fq_mesh_t *mesh, fq_id_t asker, fq_id_t attempt)
{
  fq_gate_run_t *run = run_of (mesh, asker, attempt);

  if (run == NULL)
    return;
  abandon_run (mesh, run);
  fq_gate_start_queued (mesh);
}

void
fq_gate_frame (fq_mesh_t *mesh, fq_id_t asker, const fq_frame_t *frame)
{
  fq_frame_t pong = { .kind = FQ_FRAME_PONG };

  switch (frame->kind)
    {
    case FQ_FRAME_OFFER:
      take_offer (mesh, asker, frame);
      break;
    case FQ_FRAME_MESSAGE:
      take_message (mesh, asker, frame);
      break;
    case FQ_FRAME_CANCEL:
      take_cancel (mesh, asker, frame->attempt);
      break;
    case FQ_FRAME_PING:
      fq_mesh_send_to_entry (mesh, asker, &pong);
      break;
    default:
      break;
    }
}

void
fq_gate_entry_lost (fq_mesh_t *mesh, fq_id_t asker)
{
  FQ_LIST_FOREACH_SAFE (link, following, &mesh->gate.runs)
  {
    fq_gate_run_t *run = FQ_LIST_ENTRY (link, fq_gate_run_t, link);

    if (run->asker == asker)
      abandon_run (mesh, run);
  }
  fq_gate_start_queued (mesh);
}

void
fq_gate_refuse_queued (fq_mesh_t *mesh, fq_refusal_t cause)
{
  FQ_LIST_FOREACH_SAFE (link, following, &mesh->gate.runs)
  {
    fq_gate_run_t *run = FQ_LIST_ENTRY (link, fq_gate_run_t, link);

    if (run->stage == FQ_STAGE_WAITING)
      refuse_run (mesh, run, cause, false);
  }
}

static void
finish_answered (fq_mesh_t *mesh, fq_gate_run_t *run, fq_http_message_t *answer)
{
  fq_time_t took = mesh->now - run->started;
  fq_frame_t frame = {
    .kind = FQ_FRAME_ANSWER,
    .attempt = run->attempt,
    .lost_otherwise = run->lost_otherwise && !run->starved,
  };

  mesh->gate.answered_at = mesh->now;
  fq_mesh_log (mesh, false,
               "event=run-end id=%s instance=%s status=%u waited_ms=%lld ran_ms=%lld "
               "rank=%u starved=%d lost_otherwise=%d",
               run->offer.request_id, mesh->gate.server.instance, answer->status,
               (long long)((run->started - run->arrived) / FQ_MICROSECONDS_PER_MS),
               (long long)(took / FQ_MICROSECONDS_PER_MS), run->offer.rank, run->starved,
               run->lost_otherwise);
  fq_blame_clear (&mesh->crash_suspects, run->offer.fingerprint);
  fq_histogram_add (&mesh->metrics.run_us, took);
  release_room (mesh, run, took);
  if (run->asker != 0)
    {
      frame.message = fq_http_message_ref (answer);
      fq_mesh_send_to_entry (mesh, run->asker, &frame);
    }
  free_run (mesh, run);
}

static void
fail_run (fq_mesh_t *mesh, fq_gate_run_t *run, fq_refusal_t cause)
{
  fq_mesh_log (mesh, true, "event=run-failed id=%s instance=%s cause=%s ran_ms=%lld",
               run->offer.request_id, mesh->gate.server.instance, fq_refusal_name (cause),
               (long long)((mesh->now - run->started) / FQ_MICROSECONDS_PER_MS));
  release_room (mesh, run, 0);
  tell_end (mesh, run->asker, run->attempt, FQ_FRAME_FAILED, cause, true,
            run->offer.rank);
  free_run (mesh, run);
}

void
fq_gate_run_answered (fq_mesh_t *mesh,
                      fq_id_t id,
                      fq_server_outcome_t verdict,
                      fq_http_message_t *answer)
{
  fq_gate_run_t *run = fq_map_get (&mesh->gate.runs_by_id, id);

  if (run == NULL)
    return;
  switch (verdict)
    {
    case FQ_SERVER_ANSWERED:
      finish_answered (mesh, run, answer);
      break;
    case FQ_SERVER_NOT_EXECUTED:
      refuse_run (mesh, run, FQ_REFUSAL_BY_SERVER, true);
      break;
    case FQ_SERVER_INSTANCE_MISMATCH:
      refuse_run (mesh, run, FQ_REFUSAL_NO_SERVER, true);
      fq_server_state_mark_absent (mesh, "another-server");
      break;
    case FQ_SERVER_ANSWER_INVALID:
      fail_run (mesh, run, FQ_REFUSAL_INVALID_ANSWER);
      break;
    }
  fq_gate_start_queued (mesh);
}

void
fq_gate_run_failed (fq_mesh_t *mesh, fq_id_t id, fq_server_failure_t failure)
{
  fq_gate_run_t *run = fq_map_get (&mesh->gate.runs_by_id, id);

  if (run == NULL)
    return;
  switch (failure)
    {
    case FQ_SERVER_CONNECT_FAILED:
      refuse_run (mesh, run, FQ_REFUSAL_CONNECT_FAILED, false);
      fq_server_crash_detected (mesh);
      break;
    case FQ_SERVER_CONNECTION_LOST:
      fq_crash_watch_lost (&mesh->gate.crash, mesh->now, run->offer.fingerprint);
      fail_run (mesh, run, FQ_REFUSAL_CONNECTION_LOST);
      break;
    case FQ_SERVER_MALFORMED_ANSWER:
      fail_run (mesh, run, FQ_REFUSAL_INVALID_ANSWER);
      break;
    }
  fq_gate_start_queued (mesh);
}

void
fq_gate_run_timer (fq_mesh_t *mesh, fq_gate_run_t *run)
{
  switch (run->stage)
    {
    case FQ_STAGE_WAITING:
      refuse_run (mesh, run, FQ_REFUSAL_OVERLOADED, false);
      break;
    case FQ_STAGE_GRANTED:
      refuse_run (mesh, run, FQ_REFUSAL_EXPIRED, false);
      break;
    case FQ_STAGE_RUNNING:
      abort_run (mesh, run);
      break;
    }
  fq_gate_start_queued (mesh);
}

fq_gate_run_t *
fq_gate_run_of_request (const fq_mesh_t *mesh, const char *request_id)
{
  fq_gate_run_t *run = fq_map_get (&mesh->gate.runs_by_request, fq_map_hash (request_id));

  return run != NULL && strcmp (run->offer.request_id, request_id) == 0 ? run : NULL;
}

void
fq_gate_free_all (fq_mesh_t *mesh)
{
  FQ_LIST_FOREACH_SAFE (link, following, &mesh->gate.runs)
  {
    fq_gate_run_t *run = FQ_LIST_ENTRY (link, fq_gate_run_t, link);

    fq_http_message_unref (run->message);
    free (run);
  }
  fq_map_clear (&mesh->gate.runs_by_id);
  fq_map_clear (&mesh->gate.runs_by_attempt);
  fq_map_clear (&mesh->gate.runs_by_request);
  fq_waiting_clear (&mesh->gate.waiting);
}
