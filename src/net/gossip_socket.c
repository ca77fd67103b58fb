/**
 * DOC: The datagram socket of membership.
 */
#include <arpa/inet.h>
#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>

#include "net/address.h"
#include "net/auth.h"
#include "net/log.h"
#include "net/shell.h"
#include "util/map.h"
#include "util/random.h"
#include "wire/codec.h"

#define FQ_GOSSIP_LOG_US 1000000 /* refusals are logged at most this often */

struct fq_gossip_socket
{
  fq_shell_t *shell;
  struct lws_protocols protocols[2];
  struct lws_vhost *vhost;
  struct lws *wsi;
  fq_auth_keys_t keys;
  fq_auth_window_t window;
  uint64_t stamp;   /* of the last datagram sent */
  uint64_t refused; /* datagrams that were malformed or not authentic */
  uint64_t sent;
  uint64_t sent_bytes; /* without the headers of IP and UDP */
  uint64_t received;
  uint64_t received_bytes;
  fq_random_t random; /* for the test fault */
  fq_time_t logged;
};

static uint64_t
wall_us (void)
{
  struct timespec now;

  clock_gettime (CLOCK_REALTIME, &now);
  return (uint64_t)now.tv_sec * FQ_MICROSECONDS_PER_SECOND + (uint64_t)now.tv_nsec / 1000;
}

static void
refuse (fq_gossip_socket_t *gossip)
{
  char text[FQ_LOG_TEXT_BYTES];
  fq_time_t now = lws_now_usecs ();

  gossip->refused++;
  if (gossip->logged != 0 && now - gossip->logged < FQ_GOSSIP_LOG_US)
    return;
  gossip->logged = now;
  snprintf (text, sizeof text, "A datagram is refused: %.96s (%llu so far).",
            fq_error_last ()->message, (unsigned long long)gossip->refused);
  fq_log_write (FQ_LOG_WARNING, "gossip", text);
}

static int
open_datagram (fq_gossip_socket_t *gossip,
               fq_gossip_t *out,
               const uint8_t *data,
               size_t size)
{
  uint64_t stamp;
  int rc = fq_auth_verify_datagram (&stamp, data, size, &gossip->keys);

  if (rc < 0)
    return rc;
  rc = fq_gossip_unpack (out, data + FQ_AUTH_DATAGRAM_HEADER_BYTES,
                         size - FQ_AUTH_DATAGRAM_HEADER_BYTES);
  if (rc < 0)
    return rc;
  return fq_auth_window_take (&gossip->window, out->from, stamp, wall_us ());
}

static void
receive (fq_gossip_socket_t *gossip, const uint8_t *data, size_t size)
{
  fq_event_t event = { .kind = FQ_EVENT_GOSSIP };

  if (open_datagram (gossip, &event.gossip, data, size) < 0)
    {
      refuse (gossip);
      return;
    }
  fq_shell_feed (gossip->shell, &event);
}

/* A test fault that the settings ask for: the network loses datagrams. */
static bool
is_dropped (fq_gossip_socket_t *gossip)
{
  uint32_t percent = gossip->shell->settings->test_drop_percent;

  return percent > 0 && fq_random_below (&gossip->random, 100) < percent;
}

static int
on_event (struct lws *wsi,
          enum lws_callback_reasons reason,
          void *user,
          void *in,
          size_t length)
{
  const struct lws_protocols *protocol = wsi == NULL ? NULL : lws_get_protocol (wsi);
  fq_gossip_socket_t *gossip = protocol == NULL ? NULL : protocol->user;

  (void)user;
  if (reason != LWS_CALLBACK_RAW_RX || gossip == NULL)
    return 0;
  gossip->received++;
  gossip->received_bytes += length;
  if (!is_dropped (gossip))
    receive (gossip, in, length);
  return 0;
}

int
fq_gossip_socket_new (fq_gossip_socket_t **out, fq_shell_t *shell)
{
  struct lws_context_creation_info info = { 0 };
  fq_gossip_socket_t *gossip = calloc (1, sizeof *gossip);

  if (gossip == NULL)
    return fq_error_set (FQ_ERROR_CLASS_NET, FQ_ERROR_NOMEM, "no memory for gossip");
  gossip->shell = shell;
  gossip->random.state = wall_us () ^ fq_map_hash (shell->settings->node);
  gossip->keys = (fq_auth_keys_t){ { shell->settings->cluster_key,
                                     shell->settings->cluster_key_accepted } };
  gossip->protocols[0] = (struct lws_protocols){
    .name = "gossip",
    .callback = on_event,
    .user = gossip,
  };
  info.port = CONTEXT_PORT_NO_LISTEN;
  info.protocols = gossip->protocols;
  info.vhost_name = "gossip";
  gossip->vhost = lws_create_vhost (shell->context, &info);
  if (gossip->vhost != NULL)
    gossip->wsi = lws_create_adopt_udp (gossip->vhost, shell->settings->address,
                                        shell->settings->peer_port, LWS_CAUDP_BIND,
                                        "gossip", NULL, NULL, NULL, NULL);
  if (gossip->wsi == NULL)
    {
      free (gossip);
      return fq_error_set (FQ_ERROR_CLASS_NET, FQ_ERROR_IO, "can't bind UDP port %d",
                           shell->settings->peer_port);
    }
  *out = gossip;
  return FQ_OK;
}

void
fq_gossip_socket_free (fq_gossip_socket_t *gossip)
{
  char text[FQ_LOG_TEXT_BYTES];

  if (gossip == NULL)
    return;
  snprintf (text, sizeof text,
            "Sent %llu datagrams with %llu bytes, received %llu with %llu bytes.",
            (unsigned long long)gossip->sent, (unsigned long long)gossip->sent_bytes,
            (unsigned long long)gossip->received,
            (unsigned long long)gossip->received_bytes);
  fq_log_write (FQ_LOG_INFO, "gossip", text);
  fq_auth_window_clear (&gossip->window);
  free (gossip);
}

/* Grows also when the wall clock stands still or is set back. */
static uint64_t
next_stamp (fq_gossip_socket_t *gossip)
{
  uint64_t now = wall_us ();

  gossip->stamp = now > gossip->stamp ? now : gossip->stamp + 1;
  return gossip->stamp;
}

void
fq_gossip_socket_send (fq_gossip_socket_t *gossip, const fq_gossip_effect_t *effect)
{
  uint8_t data[FQ_GOSSIP_BYTES_MAX];
  struct sockaddr_in to;
  size_t size = 0;

  if (fq_address_parse (&to, effect->address) < 0
      || fq_gossip_pack (data + FQ_AUTH_DATAGRAM_HEADER_BYTES,
                         sizeof data - FQ_AUTH_DATAGRAM_HEADER_BYTES, &size,
                         &effect->message)
             < 0
      || fq_auth_seal (data, size, &gossip->keys, next_stamp (gossip)) < 0)
    return;
  size += FQ_AUTH_DATAGRAM_HEADER_BYTES;
  gossip->sent++;
  gossip->sent_bytes += size;
  /* A datagram that can't be sent now counts as lost, as any may be. */
  (void)sendto (lws_get_socket_fd (gossip->wsi), data, size, MSG_DONTWAIT,
                (struct sockaddr *)&to, sizeof to);
}
