#include "node/links.h"

#include <stdlib.h>
#include <unistd.h>

#include "filbertquay/errors.h"
#include "node/event_log.h"
#include "util/map.h"
#include "wire/mesh_codec.h"

#define FQ_ENTRY_CONNECTION_FIRST 1000 /* smaller ids are reserved by the reducer */
#define FQ_ENTRY_CONNECTIONS_MAX 16384

/* A connection to or from another node. */
typedef struct
{
  fq_list_t retired_link; /* in the list of retired connections, if @retired */
  bool retired;
  fq_links_t *links;
  fq_stream_t *stream;
  fq_buffer_t input;
  fq_node_address_t node;   /* the other end */
  fq_id_t entry_connection; /* its id; 0: a link to the gate of @node */
  bool connected;
} link_t;

struct fq_links
{
  fq_io_t *io;
  fq_listener_t *listener;
  struct sockaddr_in address;
  const fq_links_handlers_t *handlers;
  void *context;
  fq_map_t gate_links;  /* to gates, by node */
  fq_list_t retired;    /* earlier connections to gates, kept for answers */
  fq_map_t entry_links; /* from entries, by id of the connection */
  fq_id_t next_entry_connection;
};

static void
free_link (link_t *link)
{
  if (link->retired)
    fq_list_remove (&link->retired_link);
  else if (link->entry_connection != 0)
    fq_map_remove (&link->links->entry_links, link->entry_connection);
  else
    fq_map_remove (&link->links->gate_links, link->node);
  fq_buffer_clear (&link->input);
  free (link);
}

static bool
has_retired (const fq_links_t *links, fq_node_address_t node)
{
  FQ_LIST_FOREACH (at, &links->retired)
  {
    if (FQ_LIST_ENTRY (at, link_t, retired_link)->node == node)
      return true;
  }
  return false;
}

static void
on_ended (void *context, fq_stream_end_t end)
{
  link_t *link = context;
  fq_links_t *links = link->links;
  fq_node_address_t node = link->node;
  fq_id_t entry_connection = link->entry_connection;
  bool retired = link->retired;

  (void)end;
  free_link (link);
  if (retired)
    {
      if (!has_retired (links, node))
        links->handlers->retired_down (links->context, node);
      return;
    }
  if (entry_connection != 0)
    links->handlers->entry_down (links->context, entry_connection);
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
         fq_id_t entry_connection)
{
  if (entry_connection != 0)
    return fq_map_get (&links->entry_links, entry_connection) == link;
  FQ_LIST_FOREACH (at, &links->retired)
  {
    if (FQ_LIST_ENTRY (at, link_t, retired_link) == link)
      return true;
  }
  return fq_map_get (&links->gate_links, node) == link;
}

/* On a retired connection only what ends an attempt counts; the present state of the gate
 * comes on the newer one. */
static bool
is_wanted (const link_t *link, const fq_frame_t *frame)
{
  return !link->retired || frame->kind == FQ_FRAME_ANSWER
         || frame->kind == FQ_FRAME_REFUSE || frame->kind == FQ_FRAME_FAILED;
}

static void
on_received (void *context, const uint8_t *data, size_t size)
{
  link_t *link = context;
  fq_links_t *links = link->links;
  fq_node_address_t node = link->node;
  fq_id_t entry_connection = link->entry_connection;

  fq_buffer_add (&link->input, data, size);
  for (;;)
    {
      fq_frame_t frame = { 0 };
      int error = fq_mesh_frame_read (&frame, &link->input);

      if (error == FQ_ERROR_AGAIN)
        {
          fq_stream_set_held (link->stream, link->input.capacity);
          return;
        }
      if (error < 0)
        {
          fq_event_log_printf (
              true, "event=frame-refused node=%08x asker=%llu fault=\"%s\"", node,
              (unsigned long long)entry_connection, fq_error_last ()->message);
          fq_frame_clear (&frame);
          fail_link (link);
          return;
        }
      if (entry_connection != 0)
        links->handlers->entry_frame (links->context, entry_connection, node, &frame);
      else if (is_wanted (link, &frame))
        links->handlers->gate_frame (links->context, node, &frame);
      fq_frame_clear (&frame);
      if (!is_open (links, link, node, entry_connection))
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

  if (link == NULL || links->entry_links.count >= FQ_ENTRY_CONNECTIONS_MAX)
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
  link->entry_connection = links->next_entry_connection++;
  if (fq_map_set (&links->entry_links, link->entry_connection, link) < 0)
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
  links->next_entry_connection = FQ_ENTRY_CONNECTION_FIRST;
  fq_list_init (&links->retired);
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

  if (link == NULL || fq_map_set (&links->gate_links, node, link) < 0)
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
  link_t *link = fq_map_get (&links->gate_links, node);

  if (link == NULL)
    return;
  fq_stream_close (link->stream);
  free_link (link);
}

void
fq_links_retire (fq_links_t *links, fq_node_address_t node)
{
  link_t *link = fq_map_remove (&links->gate_links, node);

  if (link == NULL)
    return;
  link->retired = true;
  fq_list_init (&link->retired_link);
  fq_list_append (&links->retired, &link->retired_link);
}

void
fq_links_close_retired (fq_links_t *links, fq_node_address_t node)
{
  FQ_LIST_FOREACH_SAFE (at, following, &links->retired)
  {
    link_t *link = FQ_LIST_ENTRY (at, link_t, retired_link);

    if (link->node != node)
      continue;
    fq_stream_close (link->stream);
    free_link (link);
  }
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
  send_frame (fq_map_get (&links->gate_links, node), frame);
}

void
fq_links_send_to_entry (fq_links_t *links,
                        fq_id_t entry_connection,
                        const fq_frame_t *frame)
{
  send_frame (fq_map_get (&links->entry_links, entry_connection), frame);
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
  FQ_LIST_FOREACH_SAFE (at, following, &links->retired)
  {
    link_t *link = FQ_LIST_ENTRY (at, link_t, retired_link);

    fq_stream_close (link->stream);
    free_link (link);
  }
  close_all (&links->gate_links);
  close_all (&links->entry_links);
  free (links);
}
