#include "node/links.h"

#include <stdlib.h>
#include <unistd.h>

#include "filbertquay/errors.h"
#include "node/event_log.h"
#include "util/map.h"
#include "wire/mesh_codec.h"

#define FQ_FIRST_ASKER 1000 /* smaller numbers have a meaning in the reducer */
#define FQ_ASKERS_MAX 16384

/* A connection in one of the two directions. */
typedef struct
{
  fq_links_t *links;
  fq_stream_t *stream;
  fq_buffer_t input;
  fq_node_address_t node; /* at the other end */
  fq_id_t asker;          /* 0: it is ours to a gate */
  bool connected;
} link_t;

struct fq_links
{
  fq_io_t *io;
  fq_listener_t *listener;
  struct sockaddr_in address;
  const fq_links_handlers_t *handlers;
  void *context;
  fq_map_t gates;  /* by node */
  fq_map_t askers; /* by number */
  fq_id_t next_asker;
};

static void
free_link (link_t *link)
{
  if (link->asker != 0)
    fq_map_remove (&link->links->askers, link->asker);
  else
    fq_map_remove (&link->links->gates, link->node);
  fq_buffer_clear (&link->input);
  free (link);
}

static void
on_ended (void *context, fq_stream_end_t end)
{
  link_t *link = context;
  fq_links_t *links = link->links;
  fq_node_address_t node = link->node;
  fq_id_t asker = link->asker;

  (void)end;
  free_link (link);
  if (asker != 0)
    links->handlers->asker_down (links->context, asker);
  else
    links->handlers->down (links->context, node);
}

static void
end_link (link_t *link)
{
  fq_stream_close (link->stream);
  on_ended (link, FQ_STREAM_END_RESET);
}

static bool
still_there (fq_links_t *links, const link_t *link, fq_node_address_t node, fq_id_t asker)
{
  if (asker != 0)
    return fq_map_get (&links->askers, asker) == link;
  return fq_map_get (&links->gates, node) == link;
}

static void
on_received (void *context, const uint8_t *data, size_t size)
{
  link_t *link = context;
  fq_links_t *links = link->links;
  fq_node_address_t node = link->node;
  fq_id_t asker = link->asker;

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
              (unsigned long long)asker, fq_error_last ()->message);
          fq_frame_clear (&frame);
          end_link (link);
          return;
        }
      if (asker != 0)
        links->handlers->from_asker (links->context, asker, node, &frame);
      else
        links->handlers->from_gate (links->context, node, &frame);
      fq_frame_clear (&frame);
      if (!still_there (links, link, node, asker))
        return;
    }
}

static void
on_connected (void *context)
{
  link_t *link = context;

  link->connected = true;
  link->links->handlers->up (link->links->context, link->node);
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

  if (link == NULL || links->askers.count >= FQ_ASKERS_MAX)
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
  link->asker = links->next_asker++;
  if (fq_map_set (&links->askers, link->asker, link) < 0)
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
    return fq_error_set (FQ_ERROR_CLASS_NET, FQ_ERROR_NOMEM, "no memory for links");
  links->io = io;
  links->address = *address;
  links->handlers = handlers;
  links->context = context;
  links->next_asker = FQ_FIRST_ASKER;
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

  if (link == NULL || fq_map_set (&links->gates, node, link) < 0)
    abort ();
  address.sin_addr.s_addr = htonl (node);
  link->links = links;
  link->node = node;
  if (fq_stream_connect (&link->stream, links->io, &address, &links->address,
                         &stream_handlers, link)
      < 0)
    on_ended (link, FQ_STREAM_END_CONNECT_FAILED);
}

void
fq_links_disconnect (fq_links_t *links, fq_node_address_t node)
{
  link_t *link = fq_map_get (&links->gates, node);

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
fq_links_to_gate (fq_links_t *links, fq_node_address_t node, const fq_frame_t *frame)
{
  send_frame (fq_map_get (&links->gates, node), frame);
}

void
fq_links_to_asker (fq_links_t *links, fq_id_t asker, const fq_frame_t *frame)
{
  send_frame (fq_map_get (&links->askers, asker), frame);
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
  close_all (&links->gates);
  close_all (&links->askers);
  free (links);
}
