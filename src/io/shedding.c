/**
 * DOC: What all peers together may hold, and which connections end when it is more.
 *
 * Peers that stall can't keep others from being served: the connection whose peer moved
 * least of late ends first, if it has had some time. Only when memory runs short although
 * new bodies get none, those end that hold most. See waiting.c for what waits meanwhile.
 */
#include <math.h>

#include "io/clock.h"
#include "io/stream_private.h"

/* Shares of the memory limit that may be held: above them stalled peers are shed, and any
 * peers that hold much. */
#define FQ_STALLED_PERCENT 60
#define FQ_LARGEST_PERCENT 70

#define FQ_MUCH_HELD_BYTES 16384 /* no peer that holds less is shed for memory */
/* Time that a peer has to move what it holds. */
#define FQ_STALLED_AFTER_US (1 * FQ_MICROSECONDS_PER_SECOND)
/* For the request to come on a new connection. Clients that connect again at once would
 * keep all connections younger than a long time. */
#define FQ_IDLE_MIN_US (20 * FQ_MICROSECONDS_PER_MS)
/* For a peer to read the last answer before its ended connection makes room. */
#define FQ_LINGER_MIN_US (200 * FQ_MICROSECONDS_PER_MS)
#define FQ_MOVED_HALF_LIFE_US (500 * FQ_MICROSECONDS_PER_MS)
#define FQ_STALLED_BYTES 1024 /* peers that moved less of late are equal */
/* A peer that read as much of late does not stall; see FQ_MOVED_HALF_LIFE_US. */
#define FQ_STEADY_BYTES 65536
/* After a search in vain. */
#define FQ_SEARCH_INTERVAL_US (50 * FQ_MICROSECONDS_PER_MS)

fq_time_t
fq_shedding_now (fq_io_t *io)
{
  if (io->now == 0)
    io->now = fq_clock_now ();
  return io->now;
}

size_t
fq_stream_held (const fq_stream_t *stream)
{
  return stream->owner_bytes + fq_output_held (&stream->output) + stream->kernel_bytes;
}

/* Bytes that the peer moved of late: they count half after FQ_MOVED_HALF_LIFE_US. */
static double
recent_bytes (const fq_stream_t *stream, fq_time_t now)
{
  double half_lives = (double)(now - stream->moved_at) / FQ_MOVED_HALF_LIFE_US;

  return stream->recent_bytes * exp2 (-half_lives);
}

void
fq_shedding_count_moved (fq_stream_t *stream, size_t bytes)
{
  fq_time_t now;

  if (stream->group == NULL)
    return;
  now = fq_shedding_now (stream->io);
  stream->recent_bytes = recent_bytes (stream, now) + (double)bytes;
  stream->moved_at = now;
}

void
fq_shedding_update (fq_stream_t *stream)
{
  if (stream->group == NULL)
    return;
  if (fq_stream_held (stream) < FQ_MUCH_HELD_BYTES)
    stream->holding_since = 0;
  else if (stream->holding_since == 0)
    stream->holding_since = fq_shedding_now (stream->io);
}

void
fq_stream_set_held (fq_stream_t *stream, size_t bytes)
{
  stream->owner_bytes = bytes;
  fq_shedding_update (stream);
}

void
fq_stream_set_pending (fq_stream_t *stream, bool pending)
{
  stream->pending = pending;
  if (pending)
    fq_shedding_reserve (stream, 0); /* its request is whole */
}

void
fq_stream_allow_shedding (fq_stream_t *stream, fq_stream_group_t *group)
{
  stream->group = group;
  stream->moved_at = fq_shedding_now (stream->io);
  group->count++;
  fq_list_append (&stream->io->sheddable, &stream->sheddable_link);
}

static void
report (fq_io_t *io, const fq_limit_report_t *done)
{
  io->limits.actions[done->action]++;
  if (io->limits.report != NULL)
    io->limits.report (io->limits.context, done);
}

void
fq_shedding_report (const fq_stream_t *stream, fq_limit_action_t action)
{
  const fq_limit_report_t done = {
    .action = action,
    .held = fq_stream_held (stream),
    .moved_ms_ago
    = (fq_shedding_now (stream->io) - stream->moved_at) / FQ_MICROSECONDS_PER_MS,
    .pending = stream->pending,
  };

  report (stream->io, &done);
}

void
fq_io_report_refused (fq_io_t *io)
{
  const fq_limit_report_t done = { .action = FQ_LIMIT_REFUSED };

  report (io, &done);
}

static void
shed (fq_stream_t *stream, fq_limit_action_t action)
{
  fq_shedding_report (stream, action);
  if (stream->handlers->shed != NULL)
    stream->handlers->shed (stream->context);
  if (!stream->closed && !stream->shutting_down)
    fq_stream_end (stream, FQ_STREAM_END_RESET);
  fq_shedding_update (stream);
  if (stream->holding_since != 0)
    fq_stream_close (stream);
}

/* Whether the peer of @a moved less of late than that of @b, or equally little while it
 * holds more. What is held for a peer with a pending request is input that it sent ahead,
 * and goes first. */
static bool
stalls_more (const fq_stream_t *a, const fq_stream_t *b, fq_time_t now)
{
  double moved_a = recent_bytes (a, now);
  double moved_b = recent_bytes (b, now);

  if (a->pending != b->pending)
    return a->pending;
  if (moved_a < FQ_STALLED_BYTES && moved_b < FQ_STALLED_BYTES)
    return fq_stream_held (a) > fq_stream_held (b);
  return moved_a < moved_b;
}

static bool
holds_much (const fq_stream_t *stream)
{
  return stream->holding_since != 0 && !stream->makes_room;
}

/* Whether the peer reads its output slowly, but does. */
static bool
reads_steadily (const fq_stream_t *stream, fq_time_t now)
{
  return fq_stream_has_output (stream) && recent_bytes (stream, now) >= FQ_STEADY_BYTES;
}

static bool
stalls (const fq_stream_t *stream, fq_time_t now)
{
  return holds_much (stream) && !fq_waiting_to_begin (stream)
         && !reads_steadily (stream, now)
         && (stream->pending || now - stream->holding_since >= FQ_STALLED_AFTER_US);
}

static fq_stream_t *
find_most_stalled (fq_io_t *io)
{
  fq_time_t now = fq_shedding_now (io);
  fq_stream_t *found = NULL;

  FQ_LIST_FOREACH (link, &io->sheddable)
  {
    fq_stream_t *stream = FQ_LIST_ENTRY (link, fq_stream_t, sheddable_link);

    if (stalls (stream, now) && (found == NULL || stalls_more (stream, found, now)))
      found = stream;
  }
  return found;
}

static fq_stream_t *
find_largest (fq_io_t *io)
{
  fq_stream_t *found = NULL;

  FQ_LIST_FOREACH (link, &io->sheddable)
  {
    fq_stream_t *stream = FQ_LIST_ENTRY (link, fq_stream_t, sheddable_link);

    if (holds_much (stream)
        && (found == NULL || fq_stream_held (stream) > fq_stream_held (found)))
      found = stream;
  }
  return found;
}

void
fq_shedding_reserve (fq_stream_t *stream, size_t bytes)
{
  stream->io->reserved -= stream->reserved_bytes;
  stream->io->reserved += bytes;
  stream->reserved_bytes = bytes;
}

/* The memory that has to be free for @room. A body that becomes large must not take what
 * others need for their end. */
static size_t
needed_bytes (const fq_io_t *io, const fq_room_t *room)
{
  switch (room->stage)
    {
    case FQ_ROOM_SMALL:
    case FQ_ROOM_GROWS:
      return room->size;
    case FQ_ROOM_BECOMES:
      return room->size + room->later + io->reserved;
    }
  return 0;
}

static bool
fits (const fq_io_t *io, const fq_room_t *room)
{
  return fq_memory_fits (needed_bytes (io, room), room->percent);
}

/* Sheds stalled peers until @room fits. */
static bool
shed_stalled (fq_io_t *io, const fq_room_t *room)
{
  while (!fits (io, room))
    {
      fq_stream_t *stream;

      if (fq_shedding_now (io) < io->limits.search_at)
        return false;
      stream = find_most_stalled (io);
      if (stream == NULL)
        {
          io->limits.search_at = fq_shedding_now (io) + FQ_SEARCH_INTERVAL_US;
          return false;
        }
      shed (stream, FQ_LIMIT_SHED_STALLED);
    }
  return true;
}

bool
fq_shedding_make_room (fq_stream_t *stream, const fq_room_t *room)
{
  bool made;

  stream->makes_room = true;
  made = shed_stalled (stream->io, room);
  stream->makes_room = false;
  return made;
}

void
fq_shedding_limit_memory (fq_io_t *io)
{
  const fq_room_t nothing_more = { .percent = FQ_STALLED_PERCENT };
  fq_stream_t *stream;

  if (shed_stalled (io, &nothing_more))
    return;
  while (!fq_memory_fits (0, FQ_LARGEST_PERCENT) && (stream = find_largest (io)) != NULL)
    shed (stream, FQ_LIMIT_SHED_LARGEST);
}

/* A connection that was ended and waits for its peer. */
static bool
is_lingering (const fq_stream_t *stream)
{
  return stream->shutting_down && !fq_stream_has_output (stream);
}

/* How long the peer of @stream has to move something before its connection makes room. */
static fq_time_t
time_to_move (const fq_stream_t *stream)
{
  if (is_lingering (stream))
    return FQ_LINGER_MIN_US;
  return stream->holding_since != 0 ? FQ_STALLED_AFTER_US : FQ_IDLE_MIN_US;
}

static bool
may_make_room (const fq_stream_t *stream, fq_time_t now)
{
  return !stream->pending && now - stream->moved_at >= time_to_move (stream);
}

/* Whether @a ends before @b to make room for another connection. */
static bool
ends_before (const fq_stream_t *a, const fq_stream_t *b)
{
  if (is_lingering (a) != is_lingering (b))
    return is_lingering (a);
  return a->moved_at < b->moved_at;
}

bool
fq_io_shed_connection (fq_io_t *io, const fq_stream_group_t *group)
{
  fq_time_t now = fq_shedding_now (io);
  fq_stream_t *found = NULL;

  FQ_LIST_FOREACH (link, &io->sheddable)
  {
    fq_stream_t *stream = FQ_LIST_ENTRY (link, fq_stream_t, sheddable_link);

    if ((group == NULL || stream->group == group) && may_make_room (stream, now)
        && (found == NULL || ends_before (stream, found)))
      found = stream;
  }
  if (found == NULL)
    return false;
  shed (found, FQ_LIMIT_SHED_IDLE);
  fq_stream_close (found);
  return true;
}

void
fq_io_close_group (fq_io_t *io, const fq_stream_group_t *group)
{
  FQ_LIST_FOREACH_SAFE (link, following, &io->sheddable)
  {
    fq_stream_t *stream = FQ_LIST_ENTRY (link, fq_stream_t, sheddable_link);

    if (stream->group == group)
      fq_stream_close (stream);
  }
}
