#include "net/ticker.h"

#include <stdlib.h>
#include <sys/timerfd.h>
#include <unistd.h>

struct fq_ticker
{
  struct lws_protocols protocols[2];
  void (*on_tick) (void *user);
  void *user;
  int fd; /* timerfd; owned by libwebsockets once adopted */
};

static int
on_event (struct lws *wsi,
          enum lws_callback_reasons reason,
          void *user,
          void *in,
          size_t length)
{
  fq_ticker_t *ticker;
  uint64_t times;

  (void)user;
  (void)in;
  (void)length;
  if (reason != LWS_CALLBACK_RAW_RX_FILE)
    return 0;
  ticker = lws_get_protocol (wsi)->user;
  if (read (ticker->fd, &times, sizeof times) == (ssize_t)sizeof times)
    ticker->on_tick (ticker->user);
  return 0;
}

int
fq_ticker_new (fq_ticker_t **out,
               struct lws_context *context,
               void (*on_tick) (void *user),
               void *user)
{
  struct lws_context_creation_info info = { 0 };
  fq_ticker_t *ticker = calloc (1, sizeof *ticker);
  struct lws_vhost *vhost;
  lws_sock_file_fd_type descriptor;

  if (ticker == NULL)
    return fq_error_set (FQ_ERROR_CLASS_NET, FQ_ERROR_NOMEM, "no memory for a timer");
  ticker->on_tick = on_tick;
  ticker->user = user;
  ticker->protocols[0] = (struct lws_protocols){
    .name = "ticker",
    .callback = on_event,
    .user = ticker,
  };
  info.port = CONTEXT_PORT_NO_LISTEN;
  info.protocols = ticker->protocols;
  info.vhost_name = "ticker";
  ticker->fd = timerfd_create (CLOCK_MONOTONIC, TFD_NONBLOCK | TFD_CLOEXEC);
  vhost = lws_create_vhost (context, &info);
  if (ticker->fd < 0 || vhost == NULL)
    goto failed;
  descriptor.filefd = ticker->fd;
  if (lws_adopt_descriptor_vhost (vhost, LWS_ADOPT_RAW_FILE_DESC, descriptor, "ticker",
                                  NULL)
      == NULL)
    goto failed;
  *out = ticker;
  return FQ_OK;

failed:
  free (ticker);
  return fq_error_set (FQ_ERROR_CLASS_NET, FQ_ERROR_IO, "can't create a timer");
}

void
fq_ticker_set (fq_ticker_t *ticker, fq_time_t delay)
{
  struct itimerspec when = {
    .it_value = { .tv_sec = delay / FQ_MICROSECONDS_PER_SECOND,
                  .tv_nsec = delay % FQ_MICROSECONDS_PER_SECOND * 1000 },
  };

  (void)timerfd_settime (ticker->fd, 0, &when, NULL);
}

void
fq_ticker_free (fq_ticker_t *ticker)
{
  free (ticker);
}
