#include "node/store_watch.h"

#include <arpa/inet.h>
#include <stdlib.h>
#include <string.h>

#include "filbertquay/errors.h"
#include "node/event_log.h"
#include "node/store_watch_private.h"
#include "store_calls.h"
#include "util/text.h"

void
fq_node_address_format (char *out, fq_node_address_t address)
{
  struct in_addr in = { .s_addr = htonl (address) };

  if (inet_ntop (AF_INET, &in, out, FQ_ADDRESS_BYTES) == NULL)
    out[0] = '\0';
}

void
fq_store_restart_timer (fq_store_watch_t *watch, ev_timer *timer, double seconds)
{
  ev_timer_stop (watch->io->loop, timer);
  ev_timer_set (timer, seconds, 0.);
  ev_timer_start (watch->io->loop, timer);
}

void
fq_store_abort_call (fq_http_call_t **call)
{
  if (*call != NULL)
    fq_http_call_abort (*call);
  *call = NULL;
}

/* The store has come back from an older copy. What was read up to the version says
 * nothing about the present rows, so all of them are read again. */
static void
enter_era (fq_store_watch_t *watch, uint64_t era)
{
  fq_event_log_printf (true,
                       "event=store-restored era=%llu previous=%llu read_up_to=%llu",
                       (unsigned long long)era, (unsigned long long)watch->era,
                       (unsigned long long)watch->version);
  watch->era = era;
  watch->version = 0;
  fq_node_directory_recheck (watch);
  if (fq_config_reads_abort (watch))
    fq_config_reads_begin (watch);
}

bool
fq_store_is_of_present_era (fq_store_watch_t *watch, const fq_http_message_t *answer)
{
  uint64_t era;

  if (!fq_platform_store_era (answer, &era))
    return true;
  if (!watch->era_known)
    {
      watch->era_known = true;
      watch->era = era;
    }
  if (era == watch->era)
    return true;
  if (era > watch->era)
    enter_era (watch, era);
  else
    fq_event_log_printf (true, "event=store-answer-stale era=%llu known=%llu",
                         (unsigned long long)era, (unsigned long long)watch->era);
  return false;
}

int
fq_store_watch_open (fq_store_watch_t **out,
                     fq_io_t *io,
                     const char *store_address,
                     fq_node_address_t self,
                     const fq_store_watch_handlers_t *handlers,
                     void *context)
{
  fq_http_client_options_t options = FQ_HTTP_CLIENT_OPTIONS_INIT;
  fq_store_watch_t *watch = calloc (1, sizeof *watch);
  struct sockaddr_in address;
  int error;

  if (watch == NULL)
    return fq_error_set (FQ_ERROR_CLASS_STORE, FQ_ERROR_NOMEM,
                         "no memory for the store client");
  error = fq_address_parse (&address, store_address);
  if (error == FQ_OK)
    error = fq_http_client_new (&watch->client, io, &address, &options);
  if (error < 0)
    {
      free (watch);
      return error;
    }
  watch->io = io;
  watch->handlers = handlers;
  watch->context = context;
  watch->random.state = ((uint64_t)self << 32) ^ (uint64_t)(ev_time () * 1e6);
  fq_text_copy (watch->store, sizeof watch->store, store_address);
  fq_node_address_format (watch->self, self);
  fq_config_reads_init (watch);
  fq_node_directory_init (watch);
  fq_config_reads_begin (watch);
  *out = watch;
  return FQ_OK;
}

void
fq_store_watch_close (fq_store_watch_t *watch)
{
  if (watch == NULL)
    return;
  fq_config_reads_stop_timers (watch);
  fq_node_directory_close (watch);
  fq_http_client_free (watch->client);
  free (watch);
}
