/**
 * DOC: The gate: requests to the local server are started, queued or refused here.
 *
 * All requests to the server pass through this gate, so it knows for certain whether a
 * request was sent to the server. It refuses at once a request that it can't start in
 * time, and a refused request never runs.
 */
#include <stdlib.h>

#include "mesh/mesh_private.h"

#define FQ_GRANT_TIMEOUT_US                                                              \
  (1 * FQ_MICROSECONDS_PER_SECOND) /* for the request to arrive */
#define FQ_OVERRUN_US                                                                    \
  (5 * FQ_MICROSECONDS_PER_SECOND) /* past its deadline, until a run is aborted */
#define FQ_RETRY_AFTER_BASE_MS 150
#define FQ_RETRY_AFTER_RANK_MS 120 /* a lower rank retries earlier */
#define FQ_KEY_MULTIPLIER 0x9E3779B97F4A7C15ULL

static uint64_t
attempt_key (fq_id_t entry_connection, fq_id_t attempt)
{
  /* A map key can't be 0. */
  return (entry_connection * FQ_KEY_MULTIPLIER ^ attempt) | (1ULL << 63);
}

static fq_gate_run_t *
find_run (const fq_mesh_t *mesh, fq_id_t entry_connection, fq_id_t attempt)
{
  fq_gate_run_t *run
      = fq_map_get (&mesh->gate.runs_by_attempt, attempt_key (entry_connection, attempt));

  return run != NULL && run->entry_connection == entry_connection
                 && run->attempt == attempt
             ? run
             : NULL;
}

bool
fq_gate_accepts_requests (const fq_mesh_t *mesh)
{
  const fq_gate_t *gate = &mesh->gate;

  if (mesh->gate_closed)
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
retry_after_ms (fq_mesh_t *mesh, fq_gate_cause_t cause, uint32_t rank)
{
  fq_gate_queue_t *queue = &mesh->gate.queue;
  fq_time_t wait = fq_gate_queue_expected_wait (queue, rank);

  if (cause == FQ_GATE_CAUSE_RATE_LIMITED)
    wait = fq_rate_limit_assign_return (&queue->rate, mesh->now, queue->queued);
  return FQ_RETRY_AFTER_BASE_MS + rank * FQ_RETRY_AFTER_RANK_MS
         + (uint32_t)(wait / FQ_MICROSECONDS_PER_MS);
}

static void
send_end (fq_mesh_t *mesh,
          fq_id_t entry_connection,
          fq_id_t attempt,
          fq_frame_kind_t kind,
          fq_gate_cause_t cause,
          bool reached_server,
          uint32_t rank)
{
  fq_frame_t frame = {
    .kind = kind,
    .attempt = attempt,
    .cause = cause,
    .reached_server = reached_server,
    .retry_after_ms = retry_after_ms (mesh, cause, rank),
  };

  mesh->metrics.ends_by_cause[cause]++;
  if (entry_connection != 0)
    fq_mesh_send_to_entry (mesh, entry_connection, &frame);
}

static void
log_refusal (fq_mesh_t *mesh, const fq_offer_t *offer, fq_gate_cause_t cause)
{
  const fq_gate_queue_t *queue = &mesh->gate.queue;

  fq_mesh_log (mesh, false,
               "event=gate-refused id=%s cause=%s rank=%u remaining_ms=%u phase=%s "
               "limit=%u rate_limit=%g in_flight=%u queued=%u wait_ms=%lld",
               fq_text_label (offer->request_id), fq_gate_cause_name (cause), offer->rank,
               offer->remaining_ms, fq_phase_name (mesh->gate.server.phase), queue->limit,
               queue->rate.per_second, queue->in_flight, queue->queued,
               (long long)(fq_gate_queue_expected_wait (queue, offer->rank)
                           / FQ_MICROSECONDS_PER_MS));
}

static uint64_t
request_map_key (const fq_text_t *request_id)
{
  return fq_map_hash (fq_text_chars (request_id));
}

static void
release_run (fq_gate_run_t *run)
{
  fq_offer_clear (&run->offer);
  fq_http_message_unref (run->message);
  free (run);
}

static void
free_run (fq_mesh_t *mesh, fq_gate_run_t *run)
{
  uint64_t request_key = request_map_key (run->offer.request_id);

  if (fq_map_get (&mesh->gate.runs_by_request, request_key) == run)
    fq_map_remove (&mesh->gate.runs_by_request, request_key);
  fq_map_remove (&mesh->gate.runs_by_id, run->id);
  fq_map_remove (&mesh->gate.runs_by_attempt,
                 attempt_key (run->entry_connection, run->attempt));
  fq_timers_cancel (&mesh->timers, &run->timer);
  mesh->gate.body_bytes -= run->offer.body_bytes;
  if (run->message == NULL)
    mesh->gate.expected_body_bytes -= run->offer.body_bytes;
  fq_list_remove (&run->link);
  release_run (run);
}

/* A run that waited long may have starved for lack of time, and not for lack of capacity
 * downstream. */
static bool
started_early (const fq_gate_run_t *run)
{
  return run->started - run->arrived < (run->deadline - run->arrived) / 4;
}

/* Adjusts the backpressure limit of the run's rank, and logs a change. */
static void
update_rank_limit (fq_mesh_t *mesh, const fq_gate_run_t *run)
{
  fq_gate_queue_t *queue = &mesh->gate.queue;
  uint32_t rank = run->queue_entry.rank;
  uint32_t previous = fq_gate_queue_rank_limit (queue, rank);
  uint32_t limit;

  fq_gate_queue_record_starvation (queue, mesh->now, run->started, rank, run->starved);
  limit = fq_gate_queue_rank_limit (queue, rank);
  if (limit == previous)
    return;
  fq_mesh_log (mesh, false, "event=rank-limit rank=%u limit=%u previous=%u in_flight=%u",
               rank, limit, previous, queue->rank_in_flight[rank]);
}

/* @elapsed: run time; 0: unknown, or not representative of the server's speed. */
static void
release_slot (fq_mesh_t *mesh, fq_gate_run_t *run, fq_time_t elapsed)
{
  fq_gate_queue_t *queue = &mesh->gate.queue;

  if (run->stage == FQ_STAGE_HELD)
    {
      mesh->gate.held--;
      return;
    }
  if (run->stage == FQ_STAGE_WAITING)
    {
      fq_gate_queue_remove (queue, &run->queue_entry);
      return;
    }
  if (run->stage == FQ_STAGE_GRANTED)
    fq_rate_limit_put_back (&queue->rate);
  fq_gate_queue_run_ended (queue, &run->queue_entry, elapsed);
  if ((elapsed > 0 || run->starved) && started_early (run))
    update_rank_limit (mesh, run);
}

static void
refuse_run (fq_mesh_t *mesh,
            fq_gate_run_t *run,
            fq_gate_cause_t cause,
            bool reached_server)
{
  log_refusal (mesh, &run->offer, cause);
  release_slot (mesh, run, 0);
  send_end (mesh, run->entry_connection, run->attempt, FQ_FRAME_REFUSE, cause,
            reached_server, run->offer.rank);
  free_run (mesh, run);
}

static void
send_to_server (fq_mesh_t *mesh, fq_gate_run_t *run)
{
  fq_mesh_effect_t *effect = fq_mesh_add_effect (mesh, FQ_MESH_EFFECT_SERVER_CALL);
  fq_time_t left = run->deadline - mesh->now;

  run->stage = FQ_STAGE_RUNNING;
  run->isolated
      = fq_crash_suspects_is_isolated (&mesh->crash_suspects, run->offer.fingerprint);
  run->started = mesh->now;
  run->server_generation = mesh->gate.server_generation;
  if (fq_map_set (&mesh->gate.runs_by_request, request_map_key (run->offer.request_id),
                  run)
      < 0)
    abort ();
  effect->server_call.run = run->id;
  effect->server_call.remaining_ms
      = left > 0 ? (uint32_t)(left / FQ_MICROSECONDS_PER_MS) : 1;
  effect->server_call.idempotent = run->offer.idempotent;
  effect->server_call.message = fq_http_message_ref (run->message);
  effect->server_call.instance = fq_text_ref (mesh->gate.server.instance);
  effect->server_call.caller = fq_text_ref (run->offer.caller);
  effect->server_call.request_id = fq_text_ref (run->offer.request_id);
  mesh->metrics.counters[FQ_METRIC_RUNS]++;
  fq_histogram_add (&mesh->metrics.wait_us, mesh->now - run->arrived);
  fq_timers_arm (&mesh->timers, &run->timer, run->deadline + FQ_OVERRUN_US);
}

static void
send_grant (fq_mesh_t *mesh, fq_gate_run_t *run)
{
  fq_frame_t frame = { .kind = FQ_FRAME_GRANT, .attempt = run->attempt };

  run->stage = FQ_STAGE_GRANTED;
  fq_mesh_send_to_entry (mesh, run->entry_connection, &frame);
  fq_timers_arm (&mesh->timers, &run->timer, mesh->now + FQ_GRANT_TIMEOUT_US);
}

static void
take_slot (fq_mesh_t *mesh, fq_gate_run_t *run)
{
  fq_gate_queue_run_started (&mesh->gate.queue, &run->queue_entry);
  if (run->message != NULL)
    send_to_server (mesh, run);
  else
    send_grant (mesh, run);
}

/* Wakes the gate when the rate limit lets the next queued request pass. */
static void
arm_rate_timer (fq_mesh_t *mesh)
{
  const fq_gate_queue_t *queue = &mesh->gate.queue;

  if (queue->queued == 0 || fq_rate_limit_is_open (&queue->rate))
    fq_timers_cancel (&mesh->timers, &mesh->gate.rate_timer);
  else
    fq_timers_arm (&mesh->timers, &mesh->gate.rate_timer,
                   mesh->now + fq_rate_limit_wait (&queue->rate, 0));
}

static void
enqueue_run (fq_mesh_t *mesh, fq_gate_run_t *run)
{
  run->stage = FQ_STAGE_WAITING;
  if (run->start_by == 0)
    run->start_by = run->arrived + fq_gate_max_wait (mesh, &run->offer);
  fq_gate_queue_push (&mesh->gate.queue, &run->queue_entry);
  fq_timers_arm (&mesh->timers, &run->timer, run->start_by);
  arm_rate_timer (mesh);
}

/* Starts @run, which waits for nothing yet, or queues it. */
static void
place_run (fq_mesh_t *mesh, fq_gate_run_t *run)
{
  if (fq_gate_queue_may_start (&mesh->gate.queue, run->queue_entry.rank))
    take_slot (mesh, run);
  else
    enqueue_run (mesh, run);
}

/* Whether the wait or the grant of @run is over although its timer was not handled yet:
 * events that waited while the process stood still come before overdue timers. */
static bool
is_overdue (const fq_mesh_t *mesh, const fq_gate_run_t *run)
{
  return run->timer.when <= mesh->now;
}

/* Why @run, which waits, has to be refused; FQ_GATE_CAUSE_NONE: it need not be. */
static fq_gate_cause_t
check_waiting (const fq_mesh_t *mesh, const fq_gate_run_t *run)
{
  if (is_overdue (mesh, run))
    return FQ_GATE_CAUSE_EXPIRED;
  if (fq_crash_suspects_is_refused (&mesh->crash_suspects, run->offer.fingerprint))
    return FQ_GATE_CAUSE_CRASHES_SERVERS;
  return FQ_GATE_CAUSE_NONE;
}

static void
release_held (fq_mesh_t *mesh)
{
  fq_gate_run_t *run;

  while (fq_gate_accepts_requests (mesh) && (run = fq_gate_next_released (mesh)) != NULL)
    {
      fq_gate_cause_t cause = check_waiting (mesh, run);

      if (cause != FQ_GATE_CAUSE_NONE)
        {
          refuse_run (mesh, run, cause, false);
          continue;
        }
      mesh->gate.held--;
      place_run (mesh, run);
    }
}

void
fq_gate_start_queued (fq_mesh_t *mesh)
{
  fq_gate_queue_t *queue = &mesh->gate.queue;
  fq_gate_queue_entry_t *entry;

  release_held (mesh);
  while (fq_gate_accepts_requests (mesh) && (entry = fq_gate_queue_next (queue)) != NULL)
    {
      fq_gate_run_t *run = FQ_LIST_ENTRY (entry, fq_gate_run_t, queue_entry);
      fq_gate_cause_t cause = check_waiting (mesh, run);

      if (cause != FQ_GATE_CAUSE_NONE)
        {
          refuse_run (mesh, run, cause, false);
          continue;
        }
      fq_gate_queue_remove (queue, entry);
      take_slot (mesh, run);
    }
  arm_rate_timer (mesh);
}

static fq_gate_run_t *
new_run (fq_mesh_t *mesh, fq_id_t entry_connection, const fq_frame_t *frame)
{
  fq_gate_run_t *run = calloc (1, sizeof *run);
  uint32_t rank = frame->offer.rank < FQ_RANKS ? frame->offer.rank : FQ_RANKS - 1;

  if (run == NULL)
    abort ();
  run->id = fq_mesh_next_id (mesh);
  run->entry_connection = entry_connection;
  run->attempt = frame->attempt;
  run->offer = frame->offer;
  fq_offer_ref (&run->offer);
  run->offer.rank = rank;
  run->message = fq_http_message_ref (frame->message);
  run->arrived = mesh->now;
  run->deadline
      = mesh->now + (fq_time_t)frame->offer.remaining_ms * FQ_MICROSECONDS_PER_MS;
  mesh->gate.body_bytes += run->offer.body_bytes;
  if (run->message == NULL)
    mesh->gate.expected_body_bytes += run->offer.body_bytes;
  run->queue_entry.rank = rank;
  run->queue_entry.route = frame->offer.route;
  run->timer.kind = FQ_MESH_TIMER_RUN;
  fq_list_init (&run->queue_entry.link);
  fq_list_append (&mesh->gate.runs, &run->link);
  if (fq_map_set (&mesh->gate.runs_by_id, run->id, run) < 0
      || fq_map_set (&mesh->gate.runs_by_attempt,
                     attempt_key (entry_connection, run->attempt), run)
             < 0)
    abort ();
  return run;
}

static void
handle_offer (fq_mesh_t *mesh, fq_id_t entry_connection, const fq_frame_t *frame)
{
  fq_gate_cause_t cause = fq_gate_check_offer (mesh, &frame->offer);
  fq_gate_run_t *run;

  if (cause != FQ_GATE_CAUSE_NONE)
    {
      log_refusal (mesh, &frame->offer, cause);
      send_end (mesh, entry_connection, frame->attempt, FQ_FRAME_REFUSE, cause, false,
                frame->offer.rank);
      return;
    }
  run = new_run (mesh, entry_connection, frame);
  if (fq_gate_must_hold (mesh, run))
    fq_gate_hold (mesh, run);
  else
    place_run (mesh, run);
}

static void
handle_message (fq_mesh_t *mesh, fq_id_t entry_connection, const fq_frame_t *frame)
{
  fq_gate_run_t *run = find_run (mesh, entry_connection, frame->attempt);
  fq_gate_cause_t cause;

  if (run == NULL || run->stage != FQ_STAGE_GRANTED || frame->message == NULL)
    {
      /* Without a run, the grant has expired: the request did not run and will not. A
       * message for a run that is not granted is ignored. */
      if (run == NULL)
        send_end (mesh, entry_connection, frame->attempt, FQ_FRAME_REFUSE,
                  FQ_GATE_CAUSE_EXPIRED, false, 0);
      return;
    }
  cause = check_waiting (mesh, run);
  if (cause != FQ_GATE_CAUSE_NONE)
    {
      refuse_run (mesh, run, cause, false);
      return;
    }
  if (!fq_gate_accepts_requests (mesh))
    {
      refuse_run (mesh, run, FQ_GATE_CAUSE_NO_SERVER, false);
      return;
    }
  run->message = fq_http_message_ref (frame->message);
  mesh->gate.expected_body_bytes -= run->offer.body_bytes;
  send_to_server (mesh, run);
}

static void
abort_run (fq_mesh_t *mesh, fq_gate_run_t *run)
{
  fq_mesh_log (mesh, false, "event=run-aborted id=%s instance=%s ran_ms=%lld",
               fq_text_label (run->offer.request_id),
               fq_text_label (mesh->gate.server.instance),
               (long long)((mesh->now - run->started) / FQ_MICROSECONDS_PER_MS));
  fq_mesh_add_effect (mesh, FQ_MESH_EFFECT_SERVER_ABORT)->run = run->id;
  release_slot (mesh, run, 0);
  free_run (mesh, run);
}

/* The entry no longer waits for the answer. A request that is not idempotent is left to
 * complete at the server, since aborting it could leave its work half done. */
static void
abandon_run (fq_mesh_t *mesh, fq_gate_run_t *run)
{
  switch (run->stage)
    {
    case FQ_STAGE_HELD:
    case FQ_STAGE_WAITING:
    case FQ_STAGE_GRANTED:
      release_slot (mesh, run, 0);
      free_run (mesh, run);
      break;
    case FQ_STAGE_RUNNING:
      if (run->offer.idempotent)
        {
          abort_run (mesh, run);
          break;
        }
      fq_map_remove (&mesh->gate.runs_by_attempt,
                     attempt_key (run->entry_connection, run->attempt));
      run->entry_connection = 0;
      break;
    }
}

static void
handle_cancel (fq_mesh_t *mesh, fq_id_t entry_connection, fq_id_t attempt)
{
  fq_gate_run_t *run = find_run (mesh, entry_connection, attempt);

  if (run == NULL)
    return;
  abandon_run (mesh, run);
  fq_gate_start_queued (mesh);
}

void
fq_gate_handle_frame (fq_mesh_t *mesh, fq_id_t entry_connection, const fq_frame_t *frame)
{
  fq_frame_t pong = { .kind = FQ_FRAME_PONG };

  switch (frame->kind)
    {
    case FQ_FRAME_OFFER:
      handle_offer (mesh, entry_connection, frame);
      break;
    case FQ_FRAME_MESSAGE:
      handle_message (mesh, entry_connection, frame);
      break;
    case FQ_FRAME_CANCEL:
      handle_cancel (mesh, entry_connection, frame->attempt);
      break;
    case FQ_FRAME_PING:
      fq_mesh_send_to_entry (mesh, entry_connection, &pong);
      break;
    default:
      break;
    }
}

void
fq_gate_entry_lost (fq_mesh_t *mesh, fq_id_t entry_connection)
{
  FQ_LIST_FOREACH_SAFE (link, following, &mesh->gate.runs)
  {
    fq_gate_run_t *run = FQ_LIST_ENTRY (link, fq_gate_run_t, link);

    if (run->entry_connection == entry_connection)
      abandon_run (mesh, run);
  }
  fq_gate_start_queued (mesh);
}

/* Refuses all runs that have not got further than @last. */
static void
refuse_up_to (fq_mesh_t *mesh, fq_run_stage_t last, fq_gate_cause_t cause)
{
  FQ_LIST_FOREACH_SAFE (link, following, &mesh->gate.runs)
  {
    fq_gate_run_t *run = FQ_LIST_ENTRY (link, fq_gate_run_t, link);

    if (run->stage <= last)
      refuse_run (mesh, run, cause, false);
  }
}

void
fq_gate_refuse_queued (fq_mesh_t *mesh, fq_gate_cause_t cause)
{
  refuse_up_to (mesh, FQ_STAGE_WAITING, cause);
}

void
fq_gate_refuse_unstarted (fq_mesh_t *mesh, fq_gate_cause_t cause)
{
  refuse_up_to (mesh, FQ_STAGE_GRANTED, cause);
}

static void
finish_answered (fq_mesh_t *mesh, fq_gate_run_t *run, fq_http_message_t *answer)
{
  fq_time_t elapsed = mesh->now - run->started;
  fq_frame_t frame = {
    .kind = FQ_FRAME_ANSWER,
    .attempt = run->attempt,
    .failed_not_for_capacity = run->failed_not_for_capacity && !run->starved,
  };

  mesh->gate.answered_at = mesh->now;
  fq_mesh_log (mesh, false,
               "event=run-end id=%s instance=%s status=%u waited_ms=%lld ran_ms=%lld "
               "rank=%u starved=%d lost_otherwise=%d",
               fq_text_label (run->offer.request_id),
               fq_text_label (mesh->gate.server.instance), answer->status,
               (long long)((run->started - run->arrived) / FQ_MICROSECONDS_PER_MS),
               (long long)(elapsed / FQ_MICROSECONDS_PER_MS), run->offer.rank,
               run->starved, run->failed_not_for_capacity);
  fq_server_crash_run_answered (mesh, run);
  fq_histogram_add (&mesh->metrics.run_us, elapsed);
  release_slot (mesh, run, elapsed);
  if (run->entry_connection != 0)
    {
      frame.message = fq_http_message_ref (answer);
      fq_mesh_send_to_entry (mesh, run->entry_connection, &frame);
    }
  free_run (mesh, run);
}

static void
fail_run (fq_mesh_t *mesh, fq_gate_run_t *run, fq_gate_cause_t cause)
{
  fq_mesh_log (mesh, true,
               "event=run-failed id=%s instance=%s cause=%s fingerprint=%016llx "
               "ran_ms=%lld",
               fq_text_label (run->offer.request_id),
               fq_text_label (mesh->gate.server.instance), fq_gate_cause_name (cause),
               (unsigned long long)run->offer.fingerprint,
               (long long)((mesh->now - run->started) / FQ_MICROSECONDS_PER_MS));
  release_slot (mesh, run, 0);
  send_end (mesh, run->entry_connection, run->attempt, FQ_FRAME_FAILED, cause, true,
            run->offer.rank);
  free_run (mesh, run);
}

void
fq_gate_run_answered (fq_mesh_t *mesh,
                      fq_id_t id,
                      fq_server_outcome_t outcome,
                      const fq_server_notice_t *notice,
                      fq_http_message_t *answer)
{
  fq_gate_run_t *run = fq_map_get (&mesh->gate.runs_by_id, id);

  if (run == NULL)
    return;
  if (run->server_generation == mesh->gate.server_generation
      && (outcome == FQ_SERVER_ANSWERED || outcome == FQ_SERVER_NOT_EXECUTED))
    fq_server_notice_record (mesh, notice);
  switch (outcome)
    {
    case FQ_SERVER_ANSWERED:
      finish_answered (mesh, run, answer);
      break;
    case FQ_SERVER_NOT_EXECUTED:
      refuse_run (mesh, run, FQ_GATE_CAUSE_REFUSED_BY_SERVER, true);
      break;
    case FQ_SERVER_INSTANCE_MISMATCH:
      refuse_run (mesh, run, FQ_GATE_CAUSE_NO_SERVER, true);
      fq_server_state_mark_absent (mesh, "another-server");
      break;
    case FQ_SERVER_ANSWER_INVALID:
      fail_run (mesh, run, FQ_GATE_CAUSE_INVALID_ANSWER);
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
      refuse_run (mesh, run, FQ_GATE_CAUSE_CONNECT_FAILED, false);
      fq_server_crash_detected (mesh, "connection-refused");
      break;
    case FQ_SERVER_CONNECTION_LOST:
      fq_server_crash_run_lost (mesh, run);
      fail_run (mesh, run, FQ_GATE_CAUSE_CONNECTION_LOST);
      break;
    case FQ_SERVER_MALFORMED_ANSWER:
      fq_server_crash_run_lost (mesh, run);
      fail_run (mesh, run, FQ_GATE_CAUSE_INVALID_ANSWER);
      break;
    }
  fq_gate_start_queued (mesh);
}

void
fq_gate_handle_run_timer (fq_mesh_t *mesh, fq_gate_run_t *run)
{
  switch (run->stage)
    {
    case FQ_STAGE_HELD:
      refuse_run (mesh, run, FQ_GATE_CAUSE_ISOLATED, false);
      break;
    case FQ_STAGE_WAITING:
      refuse_run (mesh, run,
                  fq_rate_limit_is_open (&mesh->gate.queue.rate)
                      ? FQ_GATE_CAUSE_OVERLOADED
                      : FQ_GATE_CAUSE_RATE_LIMITED,
                  false);
      break;
    case FQ_STAGE_GRANTED:
      refuse_run (mesh, run, FQ_GATE_CAUSE_EXPIRED, false);
      break;
    case FQ_STAGE_RUNNING:
      abort_run (mesh, run);
      break;
    }
  fq_gate_start_queued (mesh);
}

fq_gate_run_t *
fq_gate_find_running (const fq_mesh_t *mesh, const fq_text_t *request_id)
{
  fq_gate_run_t *run
      = fq_map_get (&mesh->gate.runs_by_request, request_map_key (request_id));

  return run != NULL && fq_text_equal (run->offer.request_id, request_id) ? run : NULL;
}

void
fq_gate_free_all (fq_mesh_t *mesh)
{
  FQ_LIST_FOREACH_SAFE (link, following, &mesh->gate.runs)
  {
    release_run (FQ_LIST_ENTRY (link, fq_gate_run_t, link));
  }
  fq_map_clear (&mesh->gate.runs_by_id);
  fq_map_clear (&mesh->gate.runs_by_attempt);
  fq_map_clear (&mesh->gate.runs_by_request);
  fq_gate_queue_clear (&mesh->gate.queue);
  fq_server_clear (&mesh->gate.server);
  fq_server_clear_candidate (mesh);
  fq_server_memories_clear (&mesh->gate.recalled);
}
