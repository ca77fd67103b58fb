/**
 * DOC: Non-blocking TCP connections on one libev loop.
 *
 * Output is gathered and sent once per turn of the loop. How a connection ended is told
 * exactly, since an answer that ends with its connection is whole only after a clean end.
 * A silent peer is found by TCP keep-alive probes and by a limit on unacknowledged data.
 *
 * Any function may be called from within a handler. A stream is freed after the turn of
 * the loop in which it was closed, so that handlers may finish.
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
  FQ_STREAM_END_RESET,          /* it broke */
  FQ_STREAM_END_CONNECT_FAILED, /* it was never established */
} fq_stream_end_t;

/** struct fq_stream_handlers_t - what the user of a stream is told; any may be NULL. */
typedef struct
{
  void (*connected) (void *context);
  void (*received) (void *context, const uint8_t *data, size_t size);
  void (*ended) (void *context, fq_stream_end_t end); /* then the stream is gone */
  void (*drained) (void *context);                    /* all output went out */
} fq_stream_handlers_t;

/** struct fq_io_t - the loop and what streams share; one for each thread. */
typedef struct
{
  struct ev_loop *loop;
  ev_prepare prepare; /* before the loop waits: sends output, frees closed streams */
  fq_list_t dirty;    /* streams with new output */
  fq_list_t closed;   /* streams to be freed */
  uint8_t *scratch;   /* received bytes, FQ_IO_SCRATCH_BYTES of them */
  uint64_t opened;    /* connections that were opened from here */
} fq_io_t;

/** FQ_IO_SCRATCH_BYTES - the most that one read takes. */
#define FQ_IO_SCRATCH_BYTES 65536

/** fq_io_open() - begin on @loop; 0 or FQ_ERROR_NOMEM. */
int fq_io_open (fq_io_t *io, struct ev_loop *loop);

/** fq_io_close() - end; all streams have to be closed before. */
void fq_io_close (fq_io_t *io);

/** fq_io_flush() - send what is waiting to be sent now, and not before the next wait. */
void fq_io_flush (fq_io_t *io);

/** fq_io_now() - the loop's monotonic time. */
fq_time_t fq_io_now (const fq_io_t *io);

/** fq_address_parse() - "ip:port" by numbers; 0 or FQ_ERROR_INVALID. */
int fq_address_parse (struct sockaddr_in *out, const char *text);

/**
 * fq_stream_connect() - begin to connect to @address.
 * @from: local address to connect from; its port is ignored; NULL: any
 *
 * Return: 0, or FQ_ERROR_IO when not even an attempt could be made; no handler is then
 * called.
 */
int fq_stream_connect (fq_stream_t **out,
                       fq_io_t *io,
                       const struct sockaddr_in *address,
                       const struct sockaddr_in *from,
                       const fq_stream_handlers_t *handlers,
                       void *context);

/** fq_stream_accept() - take over a connected socket. */
int fq_stream_accept (fq_stream_t **out,
                      fq_io_t *io,
                      int fd,
                      const fq_stream_handlers_t *handlers,
                      void *context);

/** fq_stream_output() - the buffer to append output to; goes out this turn. */
fq_buffer_t *fq_stream_output (fq_stream_t *stream);

/** fq_stream_pause() - stop or resume reading. */
void fq_stream_pause (fq_stream_t *stream, bool paused);

/** fq_stream_close() - end it at once; its handlers are not called any more. */
void fq_stream_close (fq_stream_t *stream);

/**
 * fq_stream_finish() - end it once its output has gone out.
 *
 * Further input is dropped, so that the last bytes sent aren't lost to a reset. Its
 * handlers are not called any more.
 */
void fq_stream_finish (fq_stream_t *stream);

typedef struct fq_listener fq_listener_t;

/** fq_listener_accept_t - told of each connection; takes over @fd. */
typedef void (*fq_listener_accept_t) (void *context,
                                      int fd,
                                      const struct sockaddr_in *from);

/** fq_listener_open() - listen on @address; 0 or FQ_ERROR_IO. */
int fq_listener_open (fq_listener_t **out,
                      fq_io_t *io,
                      const struct sockaddr_in *address,
                      fq_listener_accept_t accept,
                      void *context);

/** fq_listener_close() - NULL-safe. */
void fq_listener_close (fq_listener_t *listener);

#endif
