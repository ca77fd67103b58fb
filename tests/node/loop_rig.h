/**
 * DOC: For tests of what a node makes of the answers of a peer: an event loop that runs
 * for some time, and a listener whose connections the test handles itself.
 */
#ifndef FQ_TESTS_LOOP_RIG_H
#define FQ_TESTS_LOOP_RIG_H

#include <arpa/inet.h>
#include <check.h>
#include <stdio.h>
#include <sys/socket.h>

#include "filbertquay/types.h"
#include "io/stream.h"

#define RIG_BACKLOG 64

static struct ev_loop *loop;
static fq_io_t io;

static inline void
rig_open (void)
{
  loop = ev_loop_new (EVFLAG_AUTO);
  ck_assert_int_eq (fq_io_open (&io, loop), 0);
}

static inline void
rig_close (void)
{
  ev_run (loop, EVRUN_NOWAIT);
  fq_io_close (&io);
  ev_loop_destroy (loop);
}

/* Writes the address "ip:port" to @out, of FQ_ADDRESS_BYTES. Return: a listener that does
 * not block. */
static inline int
rig_listen (char *out)
{
  struct sockaddr_in address = { .sin_family = AF_INET };
  socklen_t size = sizeof address;
  int listener = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);

  address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  ck_assert_int_eq (bind (listener, (struct sockaddr *)&address, size), 0);
  ck_assert_int_eq (listen (listener, RIG_BACKLOG), 0);
  ck_assert_int_eq (getsockname (listener, (struct sockaddr *)&address, &size), 0);
  snprintf (out, FQ_ADDRESS_BYTES, "127.0.0.1:%d", ntohs (address.sin_port));
  return listener;
}

static inline void
rig_on_step (struct ev_loop *running, ev_timer *timer, int events)
{
  (void)timer;
  (void)events;
  ev_break (running, EVBREAK_ALL);
}

static inline void
rig_run_for (double seconds)
{
  ev_timer timer;

  ev_now_update (loop);
  ev_timer_init (&timer, rig_on_step, seconds, 0.);
  ev_timer_start (loop, &timer);
  ev_run (loop, 0);
  ev_timer_stop (loop, &timer);
}

#endif
