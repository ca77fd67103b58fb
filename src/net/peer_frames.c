/**
 * DOC: Handling of the frames that other nodes send: events for the core, and replies.
 */
#include "net/peers_private.h"

#include <stdlib.h>

#include "util/text.h"
#include "wire/codec.h"

#define FQ_PEER_RETRY_AFTER_MS 1000

/* Share of the memory for bodies that may be in use after a body was reserved. */
#define FQ_PEER_REQUEST_BODIES_PERCENT 75
#define FQ_PEER_ANSWER_BODIES_PERCENT 100

fq_answer_t
fq_peers_error_answer (fq_cause_t cause, fq_outcome_t outcome)
{
  return (fq_answer_t){
    .outcome = outcome,
    .cause = cause,
    .status = outcome == FQ_OUTCOME_NOT_RUN ? 503 : 502,
    .retry_after_ms = FQ_PEER_RETRY_AFTER_MS,
    .load = { .shed_class = FQ_CLASS_COUNT },
  };
}

void
fq_peers_feed_answer (fq_peers_t *peers,
                      const char *node,
                      fq_id_t attempt,
                      const fq_answer_t *answer)
{
  fq_event_t event = { .kind = FQ_EVENT_PEER_ANSWER };

  fq_text_copy (event.peer_answer.node, FQ_NAME_BYTES, node);
  event.peer_answer.attempt = attempt;
  event.peer_answer.answer = *answer;
  fq_shell_feed (peers->shell, &event);
}

void
fq_peers_free_pending_body (void *user)
{
  fq_pending_body_t *pending = user;

  fq_request_unref (pending->request);
  free (pending);
}

static void
feed_call (fq_peers_t *peers, const char *node, fq_id_t attempt, fq_request_t *request)
{
  fq_event_t event = { .kind = FQ_EVENT_PEER_CALL };

  fq_text_copy (event.peer_call.node, FQ_NAME_BYTES, node);
  event.peer_call.attempt = attempt;
  event.peer_call.request = request;
  fq_shell_feed (peers->shell, &event);
}

void
fq_peers_send_answer (fq_peers_t *peers,
                      fq_peer_connection_t *connection,
                      fq_id_t attempt,
                      const fq_answer_t *answer)
{
  fq_answer_t error_answer
      = fq_peers_error_answer (FQ_CAUSE_OVERLOAD, FQ_OUTCOME_UNKNOWN);
  fq_blob_t *following;
  uint8_t *data;
  size_t size;

  /* An entry node that reads too slowly gets an error answer instead, with an unknown
   * outcome. */
  if (fq_peer_connection_queued_bytes (connection) > FQ_PEER_QUEUED_BYTES_MAX)
    {
      peers->counts.answers_replaced++;
      answer = &error_answer;
    }
  if (fq_frame_pack_answer (&data, &size, attempt, answer) < 0)
    {
      answer = &error_answer;
      if (fq_frame_pack_answer (&data, &size, attempt, answer) < 0)
        goto fail;
    }
  following = answer->body != NULL && answer->body->size > FQ_FRAME_INLINE_BODY_MAX
                  ? answer->body
                  : NULL;
  if (fq_peer_connection_send_answer (connection, data, size, attempt, following) < 0)
    goto fail;
  return;

fail:
  /* Closing the connection signals to the entry node that no answer will follow. */
  lws_set_timeout (connection->wsi, PENDING_TIMEOUT_USER_REASON_BASE, LWS_TO_KILL_ASYNC);
}

static void
refuse_call (fq_peers_t *peers,
             fq_peer_connection_t *connection,
             fq_id_t attempt,
             const fq_request_t *request,
             fq_cause_t cause)
{
  fq_answer_t answer = fq_peers_error_answer (cause, FQ_OUTCOME_NOT_RUN);

  answer.retry_allowance = request->retry_allowance;
  peers->counts.calls_refused++;
  fq_peers_send_answer (peers, connection, attempt, &answer);
}

/* Expects the body of the call or answer @source. On success the references in @source
 * pass to the pending body; on failure they stay with the caller. */
static int
expect_body (fq_peer_connection_t *connection,
             const fq_pending_body_t *source,
             uint64_t size,
             unsigned int percent)
{
  fq_pending_body_t *pending = malloc (sizeof *pending);
  int rc;

  if (pending == NULL)
    return FQ_ERROR_NOMEM;
  *pending = *source;
  rc = fq_body_expect (&connection->bodies, source->attempt, size, percent, pending);
  if (rc < 0)
    free (pending);
  return rc;
}

static int
handle_call (fq_peers_t *peers,
             fq_peer_connection_t *connection,
             const Fq__Wire__Call *call)
{
  fq_pending_body_t pending
      = { .attempt = call->attempt, .announced_at = lws_now_usecs () };
  int rc;

  if (!connection->incoming)
    return FQ_ERROR_INVALID;
  rc = fq_call_from_wire (&pending.request, call);
  if (rc < 0)
    return rc;
  if (peers->draining)
    {
      refuse_call (peers, connection, call->attempt, pending.request, FQ_CAUSE_DRAINING);
      fq_request_unref (pending.request);
      return FQ_OK;
    }
  if (!fq_body_is_in_data_frames (&call->body, call->body_size))
    {
      feed_call (peers, connection->node, call->attempt, pending.request);
      fq_request_unref (pending.request);
      return FQ_OK;
    }
  rc = expect_body (connection, &pending, call->body_size,
                    FQ_PEER_REQUEST_BODIES_PERCENT);
  if (rc == FQ_OK)
    return FQ_OK;
  if (rc != FQ_ERROR_CONFLICT)
    {
      refuse_call (peers, connection, call->attempt, pending.request, FQ_CAUSE_OVERLOAD);
      rc = FQ_OK;
    }
  fq_request_unref (pending.request);
  return rc;
}

static int
handle_answer (fq_peers_t *peers,
               fq_peer_connection_t *connection,
               const Fq__Wire__Answer *wire)
{
  fq_pending_body_t pending = { .of_answer = true, .attempt = wire->attempt };
  fq_answer_t error_answer
      = fq_peers_error_answer (FQ_CAUSE_OVERLOAD, FQ_OUTCOME_UNKNOWN);
  int rc;

  if (connection->incoming)
    return FQ_ERROR_INVALID;
  rc = fq_answer_from_wire (&pending.answer, wire);
  if (rc < 0)
    return rc;
  /* The attempt was cancelled, or was never sent on this connection. */
  if (fq_map_get (&connection->attempts, wire->attempt) == NULL)
    goto done;
  if (!fq_body_is_in_data_frames (&wire->body, wire->body_size))
    {
      fq_peer_connection_remove_attempt (connection, wire->attempt);
      fq_peers_feed_answer (peers, connection->node, wire->attempt, &pending.answer);
      goto done;
    }
  rc = expect_body (connection, &pending, wire->body_size, FQ_PEER_ANSWER_BODIES_PERCENT);
  if (rc == FQ_OK || rc == FQ_ERROR_CONFLICT)
    return rc;
  rc = FQ_OK;
  peers->counts.answers_replaced++;
  fq_peer_connection_remove_attempt (connection, wire->attempt);
  fq_peers_feed_answer (peers, connection->node, wire->attempt, &error_answer);

done:
  fq_blob_unref (pending.answer.body);
  return rc;
}

/* Deducts the time that the body took to arrive from the time left for the request.
 * Refuses the call when no time is left or this node is draining. */
static void
feed_completed_call (fq_peers_t *peers,
                     fq_peer_connection_t *connection,
                     fq_pending_body_t *pending)
{
  fq_request_t *request = pending->request;
  fq_time_t took_ms = (lws_now_usecs () - pending->announced_at) / FQ_MICROSECONDS_PER_MS;

  if (took_ms >= request->remaining_ms || peers->draining)
    {
      refuse_call (peers, connection, pending->attempt, request,
                   peers->draining ? FQ_CAUSE_DRAINING : FQ_CAUSE_DEADLINE);
      return;
    }
  request->remaining_ms -= (uint32_t)took_ms;
  feed_call (peers, connection->node, pending->attempt, request);
}

static int
handle_data (fq_peers_t *peers,
             fq_peer_connection_t *connection,
             const Fq__Wire__Data *data)
{
  fq_pending_body_t *pending = NULL;
  fq_blob_t *body;
  int rc = fq_body_receive (&connection->bodies, data->attempt, data->bytes.data,
                            data->bytes.len, &body, (void **)&pending);

  if (rc < 0)
    return rc;
  fq_peer_connection_send_credit (connection);
  if (body == NULL)
    return FQ_OK;
  if (pending->of_answer)
    {
      pending->answer.body = body;
      if (fq_peer_connection_remove_attempt (connection, pending->attempt))
        fq_peers_feed_answer (peers, connection->node, pending->attempt,
                              &pending->answer);
      fq_blob_unref (body);
    }
  else
    {
      pending->request->body = body;
      feed_completed_call (peers, connection, pending);
    }
  fq_peers_free_pending_body (pending);
  return FQ_OK;
}

static int
handle_cancel (fq_peers_t *peers,
               fq_peer_connection_t *connection,
               const Fq__Wire__Cancel *cancel)
{
  fq_event_t event = { .kind = FQ_EVENT_PEER_CANCEL };
  fq_pending_body_t *pending
      = fq_body_cancel_receive (&connection->bodies, cancel->attempt);

  if (!connection->incoming)
    return FQ_ERROR_INVALID;
  fq_body_cancel_send (&connection->bodies, cancel->attempt);
  if (pending != NULL)
    {
      fq_peers_free_pending_body (pending);
      return FQ_OK;
    }
  fq_text_copy (event.peer_cancel.node, FQ_NAME_BYTES, connection->node);
  event.peer_cancel.attempt = cancel->attempt;
  fq_shell_feed (peers->shell, &event);
  return FQ_OK;
}

static int
handle_tickets (fq_peers_t *peers,
                const fq_peer_connection_t *connection,
                fq_tickets_kind_t kind,
                uint64_t number,
                char **documents,
                size_t document_count)
{
  fq_event_t event = { .kind = FQ_EVENT_TICKETS };

  fq_text_copy (event.tickets.node, FQ_NAME_BYTES, connection->node);
  event.tickets.kind = kind;
  event.tickets.number = number;
  event.tickets.documents = documents;
  event.tickets.document_count = document_count;
  fq_shell_feed (peers->shell, &event);
  return FQ_OK;
}

int
fq_peers_send_goodbye (fq_peer_connection_t *connection)
{
  Fq__Wire__Frame frame = FQ__WIRE__FRAME__INIT;
  Fq__Wire__Goodbye goodbye = FQ__WIRE__GOODBYE__INIT;

  frame.kind_case = FQ__WIRE__FRAME__KIND_GOODBYE;
  frame.goodbye = &goodbye;
  return fq_peer_connection_send (connection, &frame);
}

int
fq_peers_on_frame (void *user,
                   fq_peer_connection_t *connection,
                   const Fq__Wire__Frame *frame)
{
  fq_peers_t *peers = user;

  switch (frame->kind_case)
    {
    case FQ__WIRE__FRAME__KIND_CALL:
      return handle_call (peers, connection, frame->call);
    case FQ__WIRE__FRAME__KIND_ANSWER:
      return handle_answer (peers, connection, frame->answer);
    case FQ__WIRE__FRAME__KIND_DATA:
      return handle_data (peers, connection, frame->data);
    case FQ__WIRE__FRAME__KIND_CANCEL:
      return handle_cancel (peers, connection, frame->cancel);
    case FQ__WIRE__FRAME__KIND_TICKETS_WANTED:
      return handle_tickets (peers, connection, FQ_TICKETS_REQUEST,
                             frame->tickets_wanted->number, NULL, 0);
    case FQ__WIRE__FRAME__KIND_TICKETS_SENT:
      return handle_tickets (peers, connection, FQ_TICKETS_ANSWER,
                             frame->tickets_sent->number, frame->tickets_sent->documents,
                             frame->tickets_sent->n_documents);
    case FQ__WIRE__FRAME__KIND_GOODBYE:
      connection->goodbye_received = true;
      return connection->incoming ? FQ_OK : fq_peers_send_goodbye (connection);
    default:
      /* Frames of unknown kind, from a later version, are ignored. */
      return FQ_OK;
    }
}

int
fq_peers_send_tickets (fq_peer_connection_t *connection,
                       const fq_tickets_effect_t *effect)
{
  Fq__Wire__Frame frame = FQ__WIRE__FRAME__INIT;
  Fq__Wire__TicketsWanted wanted = FQ__WIRE__TICKETS_WANTED__INIT;
  Fq__Wire__TicketsSent sent = FQ__WIRE__TICKETS_SENT__INIT;

  switch (effect->kind)
    {
    case FQ_TICKETS_REQUEST:
      wanted.number = effect->number;
      frame.kind_case = FQ__WIRE__FRAME__KIND_TICKETS_WANTED;
      frame.tickets_wanted = &wanted;
      break;
    case FQ_TICKETS_ANSWER:
      sent.number = effect->number;
      sent.documents = effect->documents;
      sent.n_documents = effect->document_count;
      frame.kind_case = FQ__WIRE__FRAME__KIND_TICKETS_SENT;
      frame.tickets_sent = &sent;
      break;
    }
  return fq_peer_connection_send (connection, &frame);
}
