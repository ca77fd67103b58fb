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

#include "filbertquay/types.h"
#include "io/buffer.h"
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
} fq_stream_handlers_t;

/** struct fq_io_t - a loop and the state shared by its streams; one for each thread. */
typedef struct
{
  struct ev_loop *loop;
  ev_prepare prepare;          /* before each wait: sends output, frees closed streams */
  fq_list_t unsent;            /* streams with output to send before the next wait */
  fq_list_t closed;            /* streams to be freed before the next wait */
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

/** fq_stream_output() - the buffer to append output to; sent before the next wait. */
fq_buffer_t *fq_stream_output (fq_stream_t *stream);

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

/** fq_listener_close() - stop listening and free; NULL-safe. */
void fq_listener_close (fq_listener_t *listener);

#endif
