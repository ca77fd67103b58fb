/**
 * DOC: Non-blocking TCP connections on one libev loop.
 *
 * Output is buffered and sent once per iteration of the loop. A clean end of a connection
 * is distinguished from a reset, since an answer that extends to the end of its
 * connection is complete only after a clean end. Peers that no longer respond are
 * detected by TCP keep-alive probes and by TCP_USER_TIMEOUT, which bounds the time that
 * data may stay unacknowledged.
 *
 * Any function may be called from within a handler. A closed stream is freed before the
 * loop waits the next time, so that handlers that are still running may use it.
 */
#ifndef FQ_IO_STREAM_H
#define FQ_IO_STREAM_H

#include <netinet/in.h>
#include <stdbool.h>

#include <ev.h>

#include "filbertquay/memory.h"
#include "filbertquay/types.h"
#include "io/output.h"
#include "util/list.h"

typedef struct fq_stream fq_stream_t;

/** enum fq_stream_end_t - how a connection ended. */
typedef enum
{
  FQ_STREAM_END_CLEAN,          /* the peer closed it */
  FQ_STREAM_END_RESET,          /* reset, timeout or other error */
  FQ_STREAM_END_CONNECT_FAILED, /* it was not established: refused, unreachable or timeout
                                 */
} fq_stream_end_t;

/** struct fq_stream_handlers_t - callbacks of a stream; any may be NULL. */
typedef struct
{
  void (*connected) (void *context);
  /* @data is valid during the callback only. */
  void (*received) (void *context, const uint8_t *data, size_t size);
  /* The stream is closed and must not be used any more. */
  void (*ended) (void *context, fq_stream_end_t end);
  void (*drained) (void *context); /* all output was sent */
  /* The peer holds up more than it may. To be closed, or shut down after little output;
   * NULL: it is closed, and ended is called. */
  void (*shed) (void *context);
  void (*room) (void *context); /* what it waited for may fit now */
} fq_stream_handlers_t;

/** struct fq_stream_group_t - the streams of one listener that may be shed;
 * zero-initialise before use. */
typedef struct
{
  size_t count; /* also of those that are being shut down */
} fq_stream_group_t;

/** enum fq_limit_action_t - what is done to a connection when a limit is reached. */
typedef enum
{
  FQ_LIMIT_SHED_STALLED, /* memory is needed; its peer moved least of what it holds up */
  FQ_LIMIT_SHED_LARGEST, /* memory is needed at once; its peer holds up most */
  FQ_LIMIT_SHED_IDLE,    /* its group is full; it has been of no use for longest */
  FQ_LIMIT_REFUSED,      /* its group is full, or there is no descriptor: not accepted */
  FQ_LIMIT_THROTTLED,    /* memory is short; its input waits in the kernel */
  FQ_LIMIT_ACTIONS,
} fq_limit_action_t;

/** struct fq_limit_report_t - an action, and the connection as it was before. */
typedef struct
{
  fq_limit_action_t action;
  size_t held;            /* bytes of memory for its peer */
  long long moved_ms_ago; /* since its peer sent or took a byte */
  bool pending;           /* a request of its peer was not answered yet */
} fq_limit_report_t;

/** struct fq_limits_t - state of the limits on what all peers hold together. */
typedef struct
{
  /* Called for each action; may be NULL. */
  void (*report) (void *context, const fq_limit_report_t *report);
  void *context;
  uint64_t actions[FQ_LIMIT_ACTIONS]; /* how many there were */
  fq_time_t search_at;                /* no search for stalled peers before it */
} fq_limits_t;

/** struct fq_io_t - a loop and the state shared by its streams; one for each thread. */
typedef struct
{
  struct ev_loop *loop;
  ev_prepare prepare;  /* before each wait: sends output, frees closed streams */
  fq_list_t unsent;    /* streams with output to send before the next wait */
  fq_list_t closed;    /* streams to be freed before the next wait */
  fq_list_t waiting;   /* streams whose input waits for memory */
  ev_timer retry;      /* while streams wait */
  size_t reserved;     /* bytes that bodies will need which have begun */
  fq_list_t sheddable; /* streams that may be shed */
  fq_limits_t limits;
  fq_time_t now;               /* since the last wait; 0: not read yet */
  uint8_t *read_buffer;        /* FQ_IO_READ_BUFFER_BYTES, shared by all streams */
  uint64_t connections_opened; /* number of calls that started to connect */
  int blocked;                 /* accepted streams whose output waits for the peer */
} fq_io_t;

/** FQ_IO_READ_BUFFER_BYTES - maximum number of bytes per read. */
#define FQ_IO_READ_BUFFER_BYTES 65536

/** fq_io_open() - initialise for @loop, which has to outlive it; 0 or FQ_ERROR_NOMEM. */
int fq_io_open (fq_io_t *io, struct ev_loop *loop);

/** fq_io_close() - free all resources; all streams have to be closed before. */
void fq_io_close (fq_io_t *io);

/** fq_io_flush() - send buffered output now rather than before the next wait. */
void fq_io_flush (fq_io_t *io);

/** fq_io_has_unsent() - send buffered output now. Return: whether accepted streams have
 * output that the socket does not take yet. */
bool fq_io_has_unsent (fq_io_t *io);

/** fq_address_parse() - parse an IPv4 address "ip:port"; 0 or FQ_ERROR_INVALID. */
int fq_address_parse (struct sockaddr_in *out, const char *text);

/**
 * fq_stream_connect() - start to connect to @address.
 * @out: receives the stream; output may be appended before it is connected
 * @from: local address to connect from; its port is ignored; NULL: any
 * @handlers: have to stay valid as long as the stream
 *
 * Return: 0; FQ_ERROR_IO when the connection attempt failed at once, or FQ_ERROR_NOMEM:
 * no handler is called.
 */
int fq_stream_connect (fq_stream_t **out,
                       fq_io_t *io,
                       const struct sockaddr_in *address,
                       const struct sockaddr_in *from,
                       const fq_stream_handlers_t *handlers,
                       void *context);

/** fq_stream_allow_unread_output() - keep the connection while the peer, which is there,
 * takes no output, however long that is. */
void fq_stream_allow_unread_output (fq_stream_t *stream);

/**
 * fq_stream_accept() - create a stream for the accepted socket @fd.
 * @fd: owned by the stream; closed also when an error is returned
 * @handlers: have to stay valid as long as the stream
 *
 * Return: 0 or FQ_ERROR_NOMEM.
 */
int fq_stream_accept (fq_stream_t **out,
                      fq_io_t *io,
                      int fd,
                      const fq_stream_handlers_t *handlers,
                      void *context);

/** fq_stream_output() - to append output to; sent before the next wait. */
fq_output_t *fq_stream_output (fq_stream_t *stream);

/** fq_stream_has_output() - whether output was not sent yet. */
bool fq_stream_has_output (const fq_stream_t *stream);

/** fq_stream_set_held() - tell how many bytes of memory the owner holds for the peer,
 * such as input that is no message yet. */
void fq_stream_set_held (fq_stream_t *stream, size_t bytes);

/** fq_stream_set_pending() - tell whether the owner has a request of the peer to answer;
 * such a stream does not make room for another connection. */
void fq_stream_set_pending (fq_stream_t *stream, bool pending);

/**
 * fq_stream_allow_shedding() - let an accepted stream be shed when memory or connections
 * run short.
 * @group: counts the stream until it is closed, and has to outlive it
 */
void fq_stream_allow_shedding (fq_stream_t *stream, fq_stream_group_t *group);

/**
 * fq_stream_make_room() - shed other peers that stall until @room fits.
 *
 * Return: whether it fits; false also if others wait for such room.
 */
bool fq_stream_make_room (fq_stream_t *stream, const fq_room_t *room);

/**
 * fq_stream_wait_for_room() - don't read until the room fits that fq_stream_make_room()
 * did not find last; then the room handler is called.
 *
 * Return: false if too much is held already for streams that wait.
 */
bool fq_stream_wait_for_room (fq_stream_t *stream);

/**
 * fq_io_shed_connection() - close the connection of @group that has been of no use for
 * longest.
 * @group: NULL: of any group
 *
 * Return: false if each has a request pending or was used shortly before.
 */
bool fq_io_shed_connection (fq_io_t *io, const fq_stream_group_t *group);

/** fq_io_report_refused() - count and report a connection that was closed on accept, or
 * not accepted. */
void fq_io_report_refused (fq_io_t *io);

/** fq_io_close_group() - close all streams of @group; no handler is called. */
void fq_io_close_group (fq_io_t *io, const fq_stream_group_t *group);

/** fq_stream_pause() - stop (true) or resume (false) reading. */
void fq_stream_pause (fq_stream_t *stream, bool paused);

/** fq_stream_close() - close at once and drop unsent output; no handler is called. */
void fq_stream_close (fq_stream_t *stream);

/**
 * fq_stream_shutdown() - close after the buffered output was sent.
 *
 * Closes when no output was sent for 5 s, and 1 s after all of it was sent. A stream that
 * is still connecting is closed at once.
 *
 * Input is read and dropped meanwhile, as a close with unread input would cause a reset
 * by which the peer may lose the last bytes sent. No handler is called any more, and the
 * stream must not be used.
 */
void fq_stream_shutdown (fq_stream_t *stream);

typedef struct fq_listener fq_listener_t;

/** fq_listener_accept_t - called for each accepted connection; owns @fd. */
typedef void (*fq_listener_accept_t) (void *context,
                                      int fd,
                                      const struct sockaddr_in *from);

/** fq_listener_open() - listen on @address; 0, FQ_ERROR_IO or FQ_ERROR_NOMEM. */
int fq_listener_open (fq_listener_t **out,
                      fq_io_t *io,
                      const struct sockaddr_in *address,
                      fq_listener_accept_t accept,
                      void *context);

/** fq_listener_refuse() - take no more connections, except for those that clients have
 * made already. Others get no answer until fq_listener_close(), and are refused then.
 * Return: 0 or FQ_ERROR_IO. */
int fq_listener_refuse (fq_listener_t *listener);

/** fq_listener_close() - stop listening and free; NULL-safe. */
void fq_listener_close (fq_listener_t *listener);

#endif
