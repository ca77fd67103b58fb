/**
 * DOC: The state of streams, shared by stream.c and shedding.c.
 */
#ifndef FQ_IO_STREAM_PRIVATE_H
#define FQ_IO_STREAM_PRIVATE_H

#include "io/output.h"
#include "io/stream.h"

struct fq_stream
{
  fq_io_t *io;
  int fd;
  ev_io readable;
  ev_io writable;
  ev_timer timer; /* timeout of connect, shutdown or linger */
  const fq_stream_handlers_t *handlers;
  void *context;
  fq_output_t output;
  fq_list_t link;           /* in the unsent or the closed list of io */
  fq_list_t waiting_link;   /* in the waiting list of io */
  fq_list_t sheddable_link; /* in the sheddable list of io */
  fq_stream_group_t *group; /* NULL: it is not shed */
  size_t owner_bytes;       /* what its owner holds for the peer */
  size_t reserved_bytes;    /* that its body will need, besides what is held */
  size_t kernel_bytes;      /* counted for data that the kernel holds */
  double recent_bytes;      /* moved, with decay; see fq_shedding_count_moved() */
  fq_time_t moved_at;       /* when @recent_bytes was updated */
  fq_time_t holding_since;  /* when it began to hold much memory; 0: it does not */
  fq_room_t room;           /* that it lacked or waits for; size 0: none */
  bool accepted;            /* by a listener */
  bool blocked;             /* accepted, and the socket takes no more output at present */
  bool connecting;
  bool paused;
  bool makes_room;    /* others are being shed for it */
  bool has_turn;      /* has waited: it may take the room that others wait for */
  bool pending;       /* its owner has a request of the peer to answer */
  bool shutting_down; /* no handlers are called; closes after its output */
  bool closed;
};

/* stream.c */

/** fq_stream_end() - close the stream and tell its owner; ignored if it is closed. */
void fq_stream_end (fq_stream_t *stream, fq_stream_end_t end);

/* shedding.c */

/** fq_shedding_count_moved() - record that the peer sent or took @bytes. */
void fq_shedding_count_moved (fq_stream_t *stream, size_t bytes);

/** fq_shedding_update() - what is held for the peer has changed. */
void fq_shedding_update (fq_stream_t *stream);

/** fq_shedding_limit_memory() - end the connections whose peers hold up most while more
 * memory is held than may be. */
void fq_shedding_limit_memory (fq_io_t *io);

/** fq_shedding_make_room() - shed peers other than that of @stream until @room fits.
 * Return: whether it fits. */
bool fq_shedding_make_room (fq_stream_t *stream, const fq_room_t *room);

/** fq_shedding_reserve() - set what the body of @stream will need. */
void fq_shedding_reserve (fq_stream_t *stream, size_t bytes);

/** fq_shedding_report() - count and report what is done to @stream. */
void fq_shedding_report (const fq_stream_t *stream, fq_limit_action_t action);

/** fq_shedding_now() - the time of the current iteration of the loop. */
fq_time_t fq_shedding_now (fq_io_t *io);

/** fq_stream_held() - memory held for the peer, in bytes. */
size_t fq_stream_held (const fq_stream_t *stream);

/* waiting.c */

/** fq_waiting_open() - set up the waiting list of @io. */
void fq_waiting_open (fq_io_t *io);

/** fq_waiting_close() - stop the timer of the waiting list. */
void fq_waiting_close (fq_io_t *io);

/** fq_waiting_throttle() - stop reading for a while if @stream holds much and little
 * memory is left. Return: whether it stopped. */
bool fq_waiting_throttle (fq_stream_t *stream);

/** fq_waiting_to_begin() - whether @stream waits for room for a body that is not
 * large yet. */
bool fq_waiting_to_begin (const fq_stream_t *stream);

/** fq_waiting_leave() - read on without room, because the input is to be dropped. */
void fq_waiting_leave (fq_stream_t *stream);

/** fq_waiting_resume() - read on, in the order of the list, where there is room now. */
void fq_waiting_resume (fq_io_t *io);

#endif
