#include "node/links.h"

#include <stdlib.h>
#include <unistd.h>

#include "filbertquay/errors.h"
#include "node/event_log.h"
#include "util/map.h"
#include "wire/mesh_codec.h"

#define FQ_INBOUND_ID_FIRST 1000 /* smaller ids are reserved by the reducer */
#define FQ_INBOUND_MAX 16384

/* A connection to or from another node. */
typedef struct
{
  fq_links_t *links;
  fq_stream_t *stream;
  fq_buffer_t input;
  fq_node_address_t node; /* the other end */
  fq_id_t inbound_id;     /* 0: outbound, to the gate of @node */
  bool connected;
} link_t;

struct fq_links
{
  fq_io_t *io;
  fq_listener_t *listener;
  struct sockaddr_in address;
  const fq_links_handlers_t *handlers;
  void *context;
  fq_map_t outbound; /* connections to gates, by node */
  fq_map_t inbound;  /* connections from entries, by id */
  fq_id_t next_inbound_id;
};

static void
free_link (link_t *link)
{
  if (link->inbound_id != 0)
    fq_map_remove (&link->links->inbound, link->inbound_id);
  else
    fq_map_remove (&link->links->outbound, link->node);
  fq_buffer_clear (&link->input);
  free (link);
}

static void
on_ended (void *context, fq_stream_end_t end)
{
  link_t *link = context;
  fq_links_t *links = link->links;
  fq_node_address_t node = link->node;
  fq_id_t inbound_id = link->inbound_id;

  (void)end;
  free_link (link);
  if (inbound_id != 0)
    links->handlers->inbound_down (links->context, inbound_id);
  else
    links->handlers->gate_down (links->context, node);
}

static void
fail_link (link_t *link)
{
  fq_stream_close (link->stream);
  on_ended (link, FQ_STREAM_END_RESET);
}

static bool
is_open (fq_links_t *links,
         const link_t *link,
         fq_node_address_t node,
         fq_id_t inbound_id)
{
  if (inbound_id != 0)
    return fq_map_get (&links->inbound, inbound_id) == link;
  return fq_map_get (&links->outbound, node) == link;
}

static void
on_received (void *context, const uint8_t *data, size_t size)
{
  link_t *link = context;
  fq_links_t *links = link->links;
  fq_node_address_t node = link->node;
  fq_id_t inbound_id = link->inbound_id;

  fq_buffer_add (&link->input, data, size);
  for (;;)
    {
      fq_frame_t frame = { 0 };
      int error = fq_mesh_frame_read (&frame, &link->input);

      if (error == FQ_ERROR_AGAIN)
        return;
      if (error < 0)
        {
          fq_event_log_printf (
              true, "event=frame-refused node=%08x asker=%llu fault=\"%s\"", node,
              (unsigned long long)inbound_id, fq_error_last ()->message);
          fq_frame_clear (&frame);
          fail_link (link);
          return;
        }
      if (inbound_id != 0)
        links->handlers->inbound_frame (links->context, inbound_id, node, &frame);
      else
        links->handlers->gate_frame (links->context, node, &frame);
      fq_frame_clear (&frame);
      if (!is_open (links, link, node, inbound_id))
        return;
    }
}

static void
on_connected (void *context)
{
  link_t *link = context;

  link->connected = true;
  link->links->handlers->gate_up (link->links->context, link->node);
}

static const fq_stream_handlers_t stream_handlers = {
  .connected = on_connected,
  .received = on_received,
  .ended = on_ended,
};

static void
on_accept (void *context, int fd, const struct sockaddr_in *from)
{
  fq_links_t *links = context;
  link_t *link = calloc (1, sizeof *link);

  if (link == NULL || links->inbound.count >= FQ_INBOUND_MAX)
    {
      free (link);
      close (fd);
      return;
    }
  if (fq_stream_accept (&link->stream, links->io, fd, &stream_handlers, link) < 0)
    {
      free (link);
      return;
    }
  link->links = links;
  link->connected = true;
  link->node = ntohl (from->sin_addr.s_addr);
  link->inbound_id = links->next_inbound_id++;
  if (fq_map_set (&links->inbound, link->inbound_id, link) < 0)
    abort ();
}

int
fq_links_open (fq_links_t **out,
               fq_io_t *io,
               const struct sockaddr_in *address,
               const fq_links_handlers_t *handlers,
               void *context)
{
  fq_links_t *links = calloc (1, sizeof *links);
  int error;

  if (links == NULL)
    return fq_error_set (FQ_ERROR_CLASS_NET, FQ_ERROR_NOMEM,
                         "no memory for node connections");
  links->io = io;
  links->address = *address;
  links->handlers = handlers;
  links->context = context;
  links->next_inbound_id = FQ_INBOUND_ID_FIRST;
  error = fq_listener_open (&links->listener, io, address, on_accept, links);
  if (error < 0)
    {
      free (links);
      return error;
    }
  *out = links;
  return FQ_OK;
}

void
fq_links_connect (fq_links_t *links, fq_node_address_t node)
{
  struct sockaddr_in address = links->address;
  link_t *link = calloc (1, sizeof *link);

  if (link == NULL || fq_map_set (&links->outbound, node, link) < 0)
    abort ();
  address.sin_addr.s_addr = htonl (node);
  link->links = links;
  link->node = node;
  if (fq_stream_connect (&link->stream, links->io, &address, &links->address,
                         &stream_handlers, link)
      < 0)
    on_ended (link, FQ_STREAM_END_REFUSED);
}

void
fq_links_disconnect (fq_links_t *links, fq_node_address_t node)
{
  link_t *link = fq_map_get (&links->outbound, node);

  if (link == NULL)
    return;
  fq_stream_close (link->stream);
  free_link (link);
}

static void
send_frame (link_t *link, const fq_frame_t *frame)
{
  if (link != NULL && link->connected)
    fq_mesh_frame_write (fq_stream_output (link->stream), frame);
}

void
fq_links_send_to_gate (fq_links_t *links, fq_node_address_t node, const fq_frame_t *frame)
{
  send_frame (fq_map_get (&links->outbound, node), frame);
}

void
fq_links_send_to_inbound (fq_links_t *links, fq_id_t inbound_id, const fq_frame_t *frame)
{
  send_frame (fq_map_get (&links->inbound, inbound_id), frame);
}

static void
close_all (fq_map_t *map)
{
  size_t cursor = 0;
  link_t *link;

  while ((link = fq_map_next (map, &cursor)) != NULL)
    {
      fq_stream_close (link->stream);
      fq_buffer_clear (&link->input);
      free (link);
    }
  fq_map_clear (map);
}

void
fq_links_close (fq_links_t *links)
{
  if (links == NULL)
    return;
  fq_listener_close (links->listener);
  close_all (&links->outbound);
  close_all (&links->inbound);
  free (links);
}
