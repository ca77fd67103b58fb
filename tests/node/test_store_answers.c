/**
 * DOC: Tests of what a node makes of answers of the store that break off, or that it
 * writes once more.
 *
 * Several stores run at the same time, each with a node of its own.
 */
#define _GNU_SOURCE
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "loop_rig.h"
#include "node/event_log.h"
#include "node/store_watch.h"
#include "util/base64.h"

#define WAIT_SECONDS 3.0
#define STEP_SECONDS 0.005
#define TEXT_BYTES 4096
#define CONNECTIONS_MAX 16
#define NODE_ADDRESS 0x0a000001

/* What the store sends before the answer that breaks off. */
typedef enum
{
  NOTHING,
  INTERIM, /* an interim answer */
  KEPT,    /* an earlier request and its answer, on the same connection */
  PRECEDINGS,
} preceding_t;

/** store_t - a store and the node that reads from it. */
typedef struct
{
  preceding_t preceding;
  int listener;
  int connections[CONNECTIONS_MAX];
  size_t connection_count;
  unsigned int requests; /* that the store got */
  fq_store_watch_t *watch;
  uint64_t in_force; /* version that the node read last */
  unsigned int reads;
} store_t;

static store_t stores[PRECEDINGS];

static void
on_config (void *context, fq_config_t *config, bool found_late)
{
  store_t *store = context;

  (void)found_late;
  store->in_force = config->version;
  store->reads++;
}

static void
on_nodes (void *context, const fq_node_address_t *addresses, size_t count)
{
  (void)context;
  (void)addresses;
  (void)count;
}

static fq_fleet_position_t
position (void *context)
{
  (void)context;
  return (fq_fleet_position_t){ .index = 5, .count = 12 };
}

static const fq_store_watch_handlers_t handlers
    = { .config = on_config, .nodes = on_nodes, .position = position };

static void
open_store (store_t *store, preceding_t preceding)
{
  char text[FQ_ADDRESS_BYTES];

  *store = (store_t){ .preceding = preceding };
  store->listener = rig_listen (text);
  ck_assert_int_eq (
      fq_store_watch_open (&store->watch, &io, text, NODE_ADDRESS, &handlers, store), 0);
}

static void
setup (void)
{
  rig_open ();
  for (int i = 0; i < PRECEDINGS; i++)
    open_store (&stores[i], (preceding_t)i);
}

static void
teardown (void)
{
  for (int i = 0; i < PRECEDINGS; i++)
    {
      fq_store_watch_close (stores[i].watch);
      for (size_t j = 0; j < stores[i].connection_count; j++)
        close (stores[i].connections[j]);
      close (stores[i].listener);
    }
  rig_close ();
}

/* An answer with the configuration of that version. */
static size_t
format_rows (char *out, uint64_t version)
{
  char document[TEXT_BYTES / 4];
  char body[TEXT_BYTES / 2];
  char *value;

  snprintf (document, sizeof document,
            "{\"version\":%llu,\"services\":[],\"limits\":{\"max_header_bytes\":4096,"
            "\"max_body_bytes\":1024,\"header_timeout\":\"1s\",\"idle_timeout\":\"9s\"},"
            "\"virtual_hosts\":[]}",
            (unsigned long long)version);
  value = fq_base64_encode (document, strlen (document));
  snprintf (body, sizeof body,
            "{\"rows\":[{\"table\":\"op\",\"part\":\"\",\"key\":\"config\",\"ver\":%llu,"
            "\"value\":\"%s\"}],\"ver\":%llu,\"now\":\"1ms\"}",
            (unsigned long long)version, value, (unsigned long long)version);
  free (value);
  return (size_t)snprintf (out, TEXT_BYTES,
                           "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
                           "Content-Length: %zu\r\n\r\n%s",
                           strlen (body), body);
}

static void
write_text (int fd, const char *text, size_t size)
{
  (void)!send (fd, text, size, MSG_NOSIGNAL);
}

/* Returns a connection on which a request has come, or -1. */
static int
next_request (store_t *store)
{
  char request[TEXT_BYTES];
  int fd = accept (store->listener, NULL, NULL);

  if (fd >= 0)
    {
      ck_assert_uint_lt (store->connection_count, CONNECTIONS_MAX);
      store->connections[store->connection_count++] = fd;
    }
  for (size_t i = 0; i < store->connection_count; i++)
    {
      if (recv (store->connections[i], request, sizeof request, MSG_DONTWAIT) > 0)
        return store->connections[i];
    }
  return -1;
}

/* Answers a request: the first one after what precedes with @cut bytes only, and then
 * closes the connection. */
static void
answer_request (store_t *store, int fd, size_t cut)
{
  static const char interim[] = "HTTP/1.1 100 Continue\r\n\r\n";
  char text[TEXT_BYTES];
  unsigned int breaking = store->preceding == KEPT ? 2 : 1;
  size_t size = format_rows (text, store->requests < breaking ? 1 : 2);

  store->requests++;
  if (store->preceding == INTERIM)
    write_text (fd, interim, strlen (interim));
  write_text (fd, text, store->requests == breaking ? cut : size);
  if (store->requests == breaking)
    shutdown (fd, SHUT_RDWR);
}

static bool
all_have_read (uint64_t version)
{
  for (int i = 0; i < PRECEDINGS; i++)
    {
      if (stores[i].in_force != version)
        return false;
    }
  return true;
}

static size_t
head_bytes (void)
{
  char text[TEXT_BYTES];

  format_rows (text, 2);
  return (size_t)(strstr (text, "\r\n\r\n") - text) + 4;
}

/* Guards against an answer of the store that breaks off, in its head or its body, and is
 * taken for a whole one, or keeps the node from reading on. */
START_TEST (test_answer_of_store_that_breaks_off_is_read_again)
{
  double waited = 0;

  for (; waited < WAIT_SECONDS && !all_have_read (2); waited += STEP_SECONDS)
    {
      rig_run_for (STEP_SECONDS);
      for (int i = 0; i < PRECEDINGS; i++)
        {
          int fd = next_request (&stores[i]);

          if (fd >= 0 && stores[i].in_force != 2)
            answer_request (&stores[i], fd, (size_t)_i);
        }
    }
  ck_assert (all_have_read (2));
  for (int i = 0; i < PRECEDINGS; i++)
    {
      ck_assert_uint_eq (stores[i].reads, i == KEPT ? 2 : 1);
      ck_assert_uint_ge (stores[i].requests, i == KEPT ? 3 : 2);
    }
}
END_TEST

/* How the store writes a refusal once more: at once, with the next answer, or between. */
typedef enum
{
  AT_ONCE,
  GLUED,
  LATE,
  REPEATS,
} repeat_t;

static void
answer_with_repeat (store_t *store, int fd, repeat_t repeat)
{
  static const char refusal[]
      = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n";
  char text[TEXT_BYTES];
  size_t size = format_rows (text, 2);

  store->requests++;
  if (store->requests == 1 || (store->requests == 2 && repeat != AT_ONCE))
    write_text (fd, refusal, strlen (refusal));
  if (store->requests == 1 && repeat == AT_ONCE)
    write_text (fd, refusal, strlen (refusal));
  if (store->requests == 2 && repeat == LATE)
    rig_run_for (STEP_SECONDS);
  if (store->requests >= 2)
    write_text (fd, text, size);
}

/* Guards against a refusal that the store writes once more and that stands for the answer
 * to a later read: the node reads on, on another connection. */
START_TEST (test_repeated_refusal_of_store_does_not_hide_a_change)
{
  for (double waited = 0; waited < WAIT_SECONDS && !all_have_read (2);
       waited += STEP_SECONDS)
    {
      rig_run_for (STEP_SECONDS);
      for (int i = 0; i < PRECEDINGS; i++)
        {
          int fd = next_request (&stores[i]);

          if (fd >= 0 && stores[i].in_force != 2)
            answer_with_repeat (&stores[i], fd, (repeat_t)_i);
        }
    }
  ck_assert (all_have_read (2));
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("store-answers");
  TCase *tcase = tcase_create ("store-answers");
  SRunner *runner = srunner_create (suite);
  int failures;

  suite_add_tcase (suite, tcase);
  tcase_add_checked_fixture (tcase, setup, teardown);
  tcase_add_loop_test (tcase, test_answer_of_store_that_breaks_off_is_read_again, 0,
                       (int)head_bytes () + 1);
  tcase_add_loop_test (tcase, test_repeated_refusal_of_store_does_not_hide_a_change, 0,
                       REPEATS);
  srunner_run_all (runner, CK_NORMAL);
  failures = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failures == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
