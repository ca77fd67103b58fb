/**
 * DOC: The end of an exchange: the final answer, its log line, and the report of a failed
 * call to the run that made it.
 */
#include <stdlib.h>

#include "mesh/mesh_private.h"

#define FQ_STATUS_BAD_GATEWAY 502
#define FQ_STATUS_UNAVAILABLE 503
#define FQ_RETRY_AFTER_DEFAULT_MS 400
#define FQ_RETRY_AFTER_MIN_MS 100

void
fq_exchange_detach_gate (fq_mesh_t *mesh, fq_exchange_t *exchange)
{
  if (exchange->peer == NULL)
    return;
  fq_list_remove (&exchange->link);
  if (!exchange->retired)
    exchange->peer->outstanding--;
  else if (fq_list_is_empty (&exchange->peer->retired_exchanges))
    fq_mesh_add_effect (mesh, FQ_MESH_EFFECT_RETIRED_LINKS_CLOSE)->node
        = exchange->peer->address;
  exchange->retired = false;
  exchange->peer = NULL;
  fq_map_remove (&mesh->attempts, exchange->attempt);
  exchange->attempt = 0;
}

void
fq_exchange_release (fq_exchange_t *exchange)
{
  fq_text_unref (exchange->request_id);
  fq_text_unref (exchange->service);
  fq_text_unref (exchange->route);
  fq_text_unref (exchange->parent_id);
  fq_http_message_unref (exchange->message);
  free (exchange);
}

void
fq_exchange_free (fq_mesh_t *mesh, fq_exchange_t *exchange)
{
  fq_exchange_detach_gate (mesh, exchange);
  fq_map_remove (&mesh->exchanges, exchange->id);
  fq_timers_cancel (&mesh->timers, &exchange->timer);
  fq_exchange_release (exchange);
}

void
fq_exchange_notify_parent (fq_mesh_t *mesh, const fq_exchange_t *exchange)
{
  fq_gate_run_t *parent;

  if (exchange->parent_id == NULL)
    return;
  parent = fq_gate_find_running (mesh, exchange->parent_id);
  if (parent == NULL)
    return;
  if (exchange->failed_not_for_capacity)
    parent->failed_not_for_capacity = true;
  else
    parent->starved = true;
}

void
fq_exchange_log_end (fq_mesh_t *mesh,
                     const fq_exchange_t *exchange,
                     uint16_t status,
                     const char *outcome,
                     const char *cause)
{
  fq_mesh_log (mesh, status >= FQ_STATUS_BAD_GATEWAY,
               "event=request-end id=%s route=%s service=%s outcome=%s status=%u "
               "cause=%s offers=%u reached=%u took_ms=%lld config=%llu",
               fq_text_label (exchange->request_id), fq_text_label (exchange->route),
               fq_text_label (exchange->service), outcome, status, cause,
               exchange->offers, exchange->servers_reached,
               (long long)((mesh->now - exchange->received) / FQ_MICROSECONDS_PER_MS),
               (unsigned long long)exchange->config_version);
}

void
fq_exchange_reply_local (fq_mesh_t *mesh,
                         fq_id_t request,
                         uint16_t status,
                         uint32_t retry_after_ms,
                         const char *text)
{
  fq_mesh_effect_t *effect = fq_mesh_add_effect (mesh, FQ_MESH_EFFECT_REPLY);

  effect->reply.request = request;
  effect->reply.status = status;
  effect->reply.retry_after_ms = retry_after_ms;
  effect->reply.text = text;
}

/* Jitter of -25 % to +25 %, so that clients refused at the same time don't all retry at
 * the same time. */
uint32_t
fq_exchange_jitter_retry_after (fq_mesh_t *mesh, uint32_t ms)
{
  if (ms < FQ_RETRY_AFTER_MIN_MS)
    ms = FQ_RETRY_AFTER_MIN_MS;
  return ms * 3 / 4 + (uint32_t)fq_random_below (&mesh->random, ms / 2);
}

void
fq_exchange_finish_not_run (fq_mesh_t *mesh, fq_exchange_t *exchange, const char *cause)
{
  uint32_t retry_after_ms = exchange->retry_after_ms != 0 ? exchange->retry_after_ms
                                                          : FQ_RETRY_AFTER_DEFAULT_MS;

  fq_exchange_notify_parent (mesh, exchange);
  mesh->metrics.counters[FQ_METRIC_REFUSED]++;
  fq_exchange_log_end (mesh, exchange, FQ_STATUS_UNAVAILABLE, "not-run", cause);
  fq_exchange_reply_local (mesh, exchange->id, FQ_STATUS_UNAVAILABLE,
                           fq_exchange_jitter_retry_after (mesh, retry_after_ms), cause);
  fq_exchange_free (mesh, exchange);
}

void
fq_exchange_finish_may_have_run (fq_mesh_t *mesh,
                                 fq_exchange_t *exchange,
                                 uint16_t status,
                                 const char *cause)
{
  fq_exchange_notify_parent (mesh, exchange);
  mesh->metrics.counters[FQ_METRIC_FAILED]++;
  fq_exchange_log_end (mesh, exchange, status, "may-have-run", cause);
  fq_exchange_reply_local (mesh, exchange->id, status, 0, cause);
  fq_exchange_free (mesh, exchange);
}

void
fq_exchange_finish_unanswered (fq_mesh_t *mesh,
                               fq_exchange_t *exchange,
                               const char *cause)
{
  if (exchange->may_have_run)
    fq_exchange_finish_may_have_run (mesh, exchange, FQ_STATUS_BAD_GATEWAY, cause);
  else
    fq_exchange_finish_not_run (mesh, exchange, cause);
}
