/**
 * DOC: Streams whose input waits in the kernel until there is memory for it.
 *
 * Some hold much already and are throttled, as the last resort. Others wait for room for
 * a body, and get it in the order in which they came: if they were refused, clients that
 * come again at once would get more than those that take their time.
 */
#include "io/stream_private.h"

/* Shares of the memory limit: above the first, streams that hold much are throttled. The
 * second may be held for streams whose bodies wait to begin. */
#define FQ_READ_PERCENT 80
#define FQ_WAITING_PERCENT 10
#define FQ_PERCENT 100

#define FQ_MUCH_READ_BYTES 65536 /* a stream that holds less is not throttled */
#define FQ_RETRY_SECONDS 0.05

static fq_stream_t *
waiting_stream (fq_list_t *link)
{
  return FQ_LIST_ENTRY (link, fq_stream_t, waiting_link);
}

static bool
is_waiting (const fq_stream_t *stream)
{
  return !fq_list_is_empty (&stream->waiting_link);
}

static bool
waits_for_room (const fq_stream_t *stream)
{
  return is_waiting (stream) && stream->room.size > 0;
}

bool
fq_waiting_to_begin (const fq_stream_t *stream)
{
  return waits_for_room (stream) && stream->room.stage != FQ_ROOM_GROWS;
}

/* The loop retries before each wait; the timer lets there be one. */
static void
on_retry (struct ev_loop *loop, ev_timer *timer, int events)
{
  (void)loop;
  (void)timer;
  (void)events;
}

void
fq_waiting_open (fq_io_t *io)
{
  fq_list_init (&io->waiting);
  ev_timer_init (&io->retry, on_retry, 0., FQ_RETRY_SECONDS);
}

void
fq_waiting_close (fq_io_t *io)
{
  ev_timer_stop (io->loop, &io->retry);
}

static void
update_timer (fq_io_t *io)
{
  if (fq_list_is_empty (&io->waiting))
    ev_timer_stop (io->loop, &io->retry);
  else if (!ev_is_active (&io->retry))
    ev_timer_again (io->loop, &io->retry);
}

static void
begin_to_wait (fq_stream_t *stream)
{
  fq_io_t *io = stream->io;

  ev_io_stop (io->loop, &stream->readable);
  fq_list_append (&io->waiting, &stream->waiting_link);
  update_timer (io);
  fq_shedding_report (stream, FQ_LIMIT_THROTTLED);
}

static bool
must_be_throttled (const fq_stream_t *stream)
{
  return stream->owner_bytes >= FQ_MUCH_READ_BYTES
         && !fq_memory_fits (FQ_IO_READ_BUFFER_BYTES, FQ_READ_PERCENT);
}

bool
fq_waiting_throttle (fq_stream_t *stream)
{
  if (!must_be_throttled (stream))
    return false;
  stream->room = (fq_room_t){ 0 };
  begin_to_wait (stream);
  return true;
}

/* Bytes held for streams whose bodies wait to begin. */
static size_t
held_to_begin (fq_io_t *io)
{
  size_t held = 0;

  FQ_LIST_FOREACH (link, &io->waiting)
  {
    const fq_stream_t *stream = waiting_stream (link);

    held += fq_waiting_to_begin (stream) ? fq_stream_held (stream) : 0;
  }
  return held;
}

/* Large bodies queue behind all that wait to begin, small ones behind small ones. */
static bool
must_queue (fq_stream_t *stream, const fq_room_t *room)
{
  if (room->stage == FQ_ROOM_GROWS || stream->has_turn)
    return false;
  FQ_LIST_FOREACH (link, &stream->io->waiting)
  {
    const fq_stream_t *other = waiting_stream (link);

    if (other != stream && fq_waiting_to_begin (other)
        && other->room.stage <= room->stage)
      return true;
  }
  return false;
}

bool
fq_stream_make_room (fq_stream_t *stream, const fq_room_t *room)
{
  bool made;

  fq_shedding_reserve (stream, 0);
  made = !must_queue (stream, room) && fq_shedding_make_room (stream, room);
  if (made && room->stage != FQ_ROOM_SMALL)
    fq_shedding_reserve (stream, room->later);
  else if (!made && room->stage == FQ_ROOM_GROWS)
    fq_shedding_reserve (stream, room->size + room->later);
  if (!made)
    stream->room = *room;
  return made;
}

bool
fq_stream_wait_for_room (fq_stream_t *stream)
{
  size_t share = fq_memory_limit () / FQ_PERCENT * FQ_WAITING_PERCENT;

  if (is_waiting (stream))
    return true;
  if (stream->room.stage != FQ_ROOM_GROWS && held_to_begin (stream->io) > share)
    return false;
  begin_to_wait (stream);
  return true;
}

static bool
may_resume (fq_stream_t *stream)
{
  if (stream->room.size == 0)
    return !must_be_throttled (stream);
  return fq_shedding_make_room (stream, &stream->room);
}

static void
read_on (fq_stream_t *stream)
{
  stream->room = (fq_room_t){ 0 };
  if (!stream->paused)
    ev_io_start (stream->io->loop, &stream->readable);
}

void
fq_waiting_leave (fq_stream_t *stream)
{
  if (!is_waiting (stream))
    return;
  fq_list_remove (&stream->waiting_link);
  read_on (stream);
}

static void
resume (fq_stream_t *stream)
{
  bool waited_for_room = stream->room.size > 0;

  /* Its peer could not move anything meanwhile. */
  if (stream->holding_since != 0)
    stream->holding_since = fq_shedding_now (stream->io);
  read_on (stream);
  if (!waited_for_room || stream->handlers->room == NULL)
    return;
  stream->has_turn = true;
  stream->handlers->room (stream->context);
  stream->has_turn = false;
}

void
fq_waiting_resume (fq_io_t *io)
{
  fq_list_t untried;
  fq_list_t *link;

  fq_list_init (&untried);
  while ((link = fq_list_first (&io->waiting)) != NULL)
    {
      fq_list_remove (link);
      fq_list_append (&untried, link);
    }
  /* Making room for one may end any of the others. */
  while ((link = fq_list_first (&untried)) != NULL)
    {
      fq_stream_t *stream = waiting_stream (link);

      fq_list_remove (link);
      if (may_resume (stream))
        resume (stream);
      else
        fq_list_append (&io->waiting, link);
    }
  update_timer (io);
}
