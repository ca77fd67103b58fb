/**
 * DOC: Tests of the node's reads of the configuration from a store that is silent, slow
 * or refuses calls, and of the number of calls that the store gets meanwhile.
 *
 * Several stores run at the same time, each with a node of its own, in real time. Times
 * are seconds since the start of a test.
 */
#include <arpa/inet.h>
#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "http/server.h"
#include "node/event_log.h"
#include "node/store_watch.h"
#include "util/base64.h"
#include "util/text.h"

#define RIGS_MAX 28
#define READERS_MAX 30
#define ANSWERS_MAX 64
#define CHANGES_MAX 3
#define FIRST_ADDRESS 0x7f000001
#define START_STRIDE 7
#define VALUE_BYTES 1024
#define ANSWER_BYTES 2048
/* Bounds of the platform: after CONTACT without a disturbance of the store, a change is
 * in force within APPLY. */
#define CONTACT 3.0
#define APPLY 2.0
#define TELLING 0.4 /* until all nodes have what one of them has found */
#define NEVER 1e9
#define MS_PER_SECOND 1000

/** span_t - from one time to another; empty if both are 0. */
typedef struct
{
  double from;
  double to;
} span_t;

/** answer_t - an answer that the store is going to send. */
typedef struct
{
  ev_timer timer; /* when it is sent; for a feed that waits, when it waits no longer */
  struct rig *rig;
  fq_id_t id; /* 0: unused */
  uint64_t after;
  bool waits; /* for a change */
} answer_t;

/** reader_t - a node that reads from the store. */
typedef struct
{
  struct rig *rig;
  size_t index; /* in the order of addresses */
  fq_store_watch_t *watch;
  ev_timer start_timer;
} reader_t;

/** rig_t - a store, what it does at which time, and the nodes that read from it. */
typedef struct rig
{
  /* What the store does. */
  span_t refuses;              /* answers 503, at first the reads that wait */
  span_t silent;               /* never answers, also what is due meanwhile */
  double delay;                /* of each answer */
  double changes[CHANGES_MAX]; /* when the operator writes a configuration; 0: not */
  double starts;               /* when the first node starts */
  double start_span;           /* within which the others start, in no order */
  size_t reader_count;         /* 0 counts as 1 */
  /* State of both. */
  fq_http_server_t *server;
  struct sockaddr_in address;
  reader_t readers[READERS_MAX];
  ev_timer change_timer;
  ev_timer refuse_timer;
  answer_t answers[ANSWERS_MAX];
  uint64_t version; /* of the store, and of the configuration in it */
  size_t change_count;
  size_t calls;
  uint64_t in_force; /* newest version of the configuration that a node has read */
  double in_force_at[CHANGES_MAX + 1];
} rig_t;

static struct ev_loop *loop;
static fq_io_t io;
static double started_at;
static rig_t rigs[RIGS_MAX];
static size_t rig_count;

static double
now (void)
{
  return ev_now (loop) - started_at;
}

static bool
is_within (const span_t *span)
{
  return now () >= span->from && now () < span->to;
}

static void
write_rows (const rig_t *rig, uint64_t after, char *out, size_t size)
{
  char document[VALUE_BYTES];
  char *value;

  if (rig->version <= after)
    {
      snprintf (out, size, "{\"rows\":[],\"ver\":%llu,\"now\":\"%.0fms\"}",
                (unsigned long long)rig->version, ev_now (loop) * MS_PER_SECOND);
      return;
    }
  snprintf (
      document, sizeof document,
      "{\"version\":%llu,\"services\":[{\"name\":\"a\",\"health_path\":\"/h\","
      "\"max_connections\":5}],\"limits\":{\"max_header_bytes\":4096,"
      "\"max_body_bytes\":1048576,\"header_timeout\":\"1s\",\"idle_timeout\":\"9s\"},"
      "\"virtual_hosts\":[]}",
      (unsigned long long)rig->version);
  value = fq_base64_encode (document, strlen (document));
  snprintf (out, size,
            "{\"rows\":[{\"table\":\"op\",\"part\":\"\",\"key\":\"config\",\"ver\":%llu,"
            "\"value\":\"%s\"}],\"ver\":%llu,\"now\":\"%.0fms\"}",
            (unsigned long long)rig->version, value, (unsigned long long)rig->version,
            ev_now (loop) * MS_PER_SECOND);
  free (value);
}

/* While the store is silent, the answer is lost. */
static void
send_answer (answer_t *answer)
{
  rig_t *rig = answer->rig;
  fq_http_message_t *message = fq_http_message_new ();
  char body[ANSWER_BYTES];

  write_rows (rig, answer->after, body, sizeof body);
  message->status = is_within (&rig->refuses) ? 503 : 200;
  if (fq_blob_new (&message->body, body, strlen (body)) < 0)
    abort ();
  if (!is_within (&rig->silent))
    fq_http_server_reply (rig->server, answer->id, message);
  fq_http_message_unref (message);
  answer->id = 0;
}

static void
on_answer_due (struct ev_loop *running, ev_timer *timer, int events)
{
  (void)running;
  (void)events;
  send_answer (timer->data);
}

static void
schedule_answer (answer_t *answer, double seconds)
{
  ev_timer_stop (loop, &answer->timer);
  ev_timer_init (&answer->timer, on_answer_due, seconds, 0.);
  answer->timer.data = answer;
  ev_timer_start (loop, &answer->timer);
}

static uint64_t
number_in_target (const char *target, const char *name)
{
  const char *at = strstr (target, name);

  return at == NULL ? 0 : strtoull (at + strlen (name), NULL, 10);
}

static answer_t *
unused_answer (rig_t *rig)
{
  for (size_t i = 0; i < ANSWERS_MAX; i++)
    {
      if (rig->answers[i].id == 0)
        return &rig->answers[i];
    }
  ck_abort_msg ("the store has too many calls");
}

static void
on_request (void *context, fq_id_t id, fq_http_message_t *message, uint32_t from)
{
  rig_t *rig = context;
  answer_t *answer;
  uint64_t wait_ms = number_in_target (message->target, "wait_ms=");

  (void)from;
  rig->calls++;
  if (is_within (&rig->silent))
    return;
  answer = unused_answer (rig);
  answer->rig = rig;
  answer->id = id;
  answer->after = number_in_target (message->target, "after=");
  answer->waits
      = wait_ms > 0 && rig->version <= answer->after && !is_within (&rig->refuses);
  schedule_answer (answer, answer->waits ? (double)wait_ms / MS_PER_SECOND : rig->delay);
}

static void
on_client_disconnected (void *context, fq_id_t id)
{
  rig_t *rig = context;

  for (size_t i = 0; i < ANSWERS_MAX; i++)
    {
      if (rig->answers[i].id != id)
        continue;
      ev_timer_stop (loop, &rig->answers[i].timer);
      rig->answers[i].id = 0;
    }
}

static const fq_http_server_handlers_t server_handlers
    = { .request = on_request, .client_disconnected = on_client_disconnected };

static void
schedule_change (rig_t *rig)
{
  if (rig->change_count >= CHANGES_MAX || rig->changes[rig->change_count] == 0)
    return;
  ev_timer_set (&rig->change_timer, rig->changes[rig->change_count] - now (), 0.);
  ev_timer_start (loop, &rig->change_timer);
}

static void
answer_waiting (rig_t *rig)
{
  for (size_t i = 0; i < ANSWERS_MAX; i++)
    {
      if (rig->answers[i].id != 0 && rig->answers[i].waits)
        schedule_answer (&rig->answers[i], rig->delay);
    }
}

static void
on_change (struct ev_loop *running, ev_timer *timer, int events)
{
  rig_t *rig = timer->data;

  (void)running;
  (void)events;
  rig->version++;
  rig->change_count++;
  answer_waiting (rig);
  schedule_change (rig);
}

static void
on_refuse (struct ev_loop *running, ev_timer *timer, int events)
{
  (void)running;
  (void)events;
  answer_waiting (timer->data);
}

static void
on_config (void *context, fq_config_t *config, bool found_late)
{
  rig_t *rig = ((reader_t *)context)->rig;

  (void)found_late;
  if (config->version <= rig->in_force)
    return;
  ck_assert_uint_le (config->version, CHANGES_MAX + 1);
  for (uint64_t i = rig->in_force; i < config->version; i++)
    rig->in_force_at[i] = now ();
  rig->in_force = config->version;
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
  const reader_t *reader = context;

  return (fq_fleet_position_t){ .index = reader->index,
                                .count = reader->rig->reader_count };
}

static const fq_store_watch_handlers_t watch_handlers
    = { .config = on_config, .nodes = on_nodes, .position = position };

static void
on_start (struct ev_loop *running, ev_timer *timer, int events)
{
  reader_t *reader = timer->data;
  char text[FQ_ADDRESS_BYTES];

  (void)running;
  (void)events;
  snprintf (text, sizeof text, "127.0.0.1:%d", ntohs (reader->rig->address.sin_port));
  ck_assert_int_eq (fq_store_watch_open (&reader->watch, &io, text,
                                         FIRST_ADDRESS + (uint32_t)reader->index,
                                         &watch_handlers, reader),
                    0);
}

static void
start_readers (rig_t *rig)
{
  if (rig->reader_count == 0)
    rig->reader_count = 1;
  for (size_t i = 0; i < rig->reader_count; i++)
    {
      reader_t *reader = &rig->readers[i];
      double share = (double)(i * START_STRIDE % rig->reader_count) / READERS_MAX;

      reader->rig = rig;
      reader->index = i;
      ev_timer_init (&reader->start_timer, on_start,
                     rig->starts + share * rig->start_span, 0.);
      reader->start_timer.data = reader;
      ev_timer_start (loop, &reader->start_timer);
    }
}

static void
choose_port (struct sockaddr_in *address)
{
  int fd = socket (AF_INET, SOCK_STREAM, 0);
  socklen_t size = sizeof *address;

  *address = (struct sockaddr_in){ .sin_family = AF_INET };
  address->sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  ck_assert_int_eq (bind (fd, (struct sockaddr *)address, size), 0);
  ck_assert_int_eq (getsockname (fd, (struct sockaddr *)address, &size), 0);
  close (fd);
}

static void
start_rig (rig_t *rig)
{
  fq_http_server_options_t options = FQ_HTTP_SERVER_OPTIONS_INIT;

  options.idle_timeout_ms = 60000;
  rig->version = 1;
  choose_port (&rig->address);
  ck_assert_int_eq (fq_http_server_open (&rig->server, &io, &rig->address, &options,
                                         &server_handlers, rig),
                    0);
  ev_timer_init (&rig->change_timer, on_change, 0., 0.);
  rig->change_timer.data = rig;
  schedule_change (rig);
  ev_timer_init (&rig->refuse_timer, on_refuse, rig->refuses.from, 0.);
  rig->refuse_timer.data = rig;
  if (rig->refuses.to > 0)
    ev_timer_start (loop, &rig->refuse_timer);
  start_readers (rig);
}

static void
on_end (struct ev_loop *running, ev_timer *timer, int events)
{
  (void)timer;
  (void)events;
  ev_break (running, EVBREAK_ALL);
}

/* Plays @count rigs at the same time until @seconds; they have to be freed afterwards. */
static void
play (const rig_t *plan, size_t count, double seconds)
{
  ev_timer end;

  ck_assert_uint_le (count, RIGS_MAX);
  rig_count = count;
  started_at = ev_now (loop);
  for (size_t i = 0; i < count; i++)
    {
      rigs[i] = plan[i];
      start_rig (&rigs[i]);
    }
  ev_timer_init (&end, on_end, seconds, 0.);
  ev_timer_start (loop, &end);
  ev_run (loop, 0);
}

static void
setup (void)
{
  loop = ev_loop_new (EVFLAG_AUTO);
  ck_assert_int_eq (fq_io_open (&io, loop), 0);
}

static void
teardown (void)
{
  for (size_t i = 0; i < rig_count; i++)
    {
      for (size_t j = 0; j < rigs[i].reader_count; j++)
        fq_store_watch_close (rigs[i].readers[j].watch);
      fq_http_server_close (rigs[i].server);
    }
  fq_io_flush (&io);
  ev_run (loop, EVRUN_NOWAIT);
  fq_io_close (&io);
  ev_loop_destroy (loop);
}

/* Each change has to be in force within APPLY of its write, or of CONTACT after the last
 * disturbance of the store, if that is later. */
static void
check_changes (const rig_t *rig)
{
  for (size_t i = 0; i < CHANGES_MAX && rig->changes[i] != 0; i++)
    {
      double stable
          = (rig->silent.to > rig->refuses.to ? rig->silent.to : rig->refuses.to)
            + CONTACT;
      double due = (rig->changes[i] > stable ? rig->changes[i] : stable) + APPLY;

      ck_assert_msg (rig->in_force >= i + 2, "rig %d: change %zu is never in force",
                     (int)(rig - rigs), i);
      ck_assert_msg (rig->in_force_at[i + 1] <= due,
                     "rig %d: change %zu is in force at %.2f s, due at %.2f s",
                     (int)(rig - rigs), i, rig->in_force_at[i + 1], due);
    }
}

/* Guards against review case 1: a read that a silent store swallowed kept all later reads
 * from being made for 28 s. */
START_TEST (test_read_swallowed_by_a_silent_store_is_repeated)
{
  static const rig_t plan[] = {
    { .refuses = { 0.5, 1.0 }, .silent = { 1.0, 1.5 }, .changes = { 1.6, 5 } },
    { .refuses = { 0.5, 1.0 }, .silent = { 1.0, 3.1 }, .changes = { 3.2, 6.6 } },
    { .refuses = { 0.2, 0.6 }, .silent = { 0.6, 6.0 }, .changes = { 3.0, 9.2 } },
    /* The node starts while the store is silent, or is started again then. */
    { .silent = { 0.1, 4.0 }, .starts = 1, .changes = { 2, 4.5, 7.2 } },
    { .silent = { 0.01, 2.0 }, .starts = 0.02, .changes = { 5.2 } },
  };

  play (plan, sizeof plan / sizeof plan[0], 11.5);
  for (size_t i = 0; i < rig_count; i++)
    check_changes (&rigs[i]);
}
END_TEST

/* Guards against review case 1, on a related path: a change is made while the store is
 * silent, and the answer of the long read that waits for it is lost. */
START_TEST (test_change_whose_answer_is_lost_is_read_again)
{
  static const rig_t plan[] = {
    { .silent = { 2.0, 3.0 }, .changes = { 2.5, 9 } },
    { .silent = { 1.0, 5.0 }, .changes = { 1.2 } },
    { .silent = { 3.0, 6.0 }, .changes = { 4.0, 5.0, 9.5 } },
    { .refuses = { 1.0, 1.5 }, .silent = { 2.0, 4.5 }, .changes = { 3.0 } },
  };

  play (plan, sizeof plan / sizeof plan[0], 12);
  for (size_t i = 0; i < rig_count; i++)
    check_changes (&rigs[i]);
}
END_TEST

/* Guards against review case 8, on a related path: all nodes miss a change that is made
 * in a short silence of the store. One of them has to find it in time to tell the others,
 * whatever the moment of the silence. */
START_TEST (test_change_that_all_nodes_miss_is_found_by_one)
{
  static const size_t reader_counts[] = { 1, 2, 3, 5, 12, 16, 30 };
  static const double silences[] = { 4.0, 7.3, 11.1, 15.6 };
  const size_t moments = sizeof silences / sizeof silences[0];
  rig_t plan[RIGS_MAX] = { 0 };
  size_t late = 0;

  for (size_t i = 0; i < RIGS_MAX; i++)
    {
      double from = silences[i % moments];

      plan[i].reader_count = reader_counts[i / moments];
      plan[i].start_span = i % 2 == 0 ? 0 : 2;
      plan[i].silent = (span_t){ from, from + 0.6 };
      plan[i].changes[0] = from + 0.3;
    }
  play (plan, RIGS_MAX, 21);
  for (size_t i = 0; i < rig_count; i++)
    {
      double due = rigs[i].silent.to + CONTACT - TELLING;

      ck_assert_uint_eq (rigs[i].in_force, 2);
      if (rigs[i].in_force_at[1] <= due)
        continue;
      fprintf (stderr, "%zu nodes, silent at %.1f s: found at %.2f s, due at %.2f s\n",
               rigs[i].reader_count, rigs[i].silent.from, rigs[i].in_force_at[1], due);
      late++;
    }
  ck_assert_uint_eq (late, 0);
}
END_TEST

/* A store whose answers take long gets no storm of calls, and is heard: each change is in
 * force soon after its answer can have come. */
START_TEST (test_slow_store_is_heard_and_gets_few_calls)
{
  static const rig_t plan[] = {
    { .delay = 0.2, .changes = { 4, 6, 8 } },
    { .delay = 1.5, .changes = { 5, 9 } },
    { .delay = 3, .changes = { 8 } },
    { .delay = 5, .changes = { 11 } },
  };
  const double seconds = 20;

  play (plan, sizeof plan / sizeof plan[0], seconds);
  for (size_t i = 0; i < rig_count; i++)
    {
      const rig_t *rig = &rigs[i];
      size_t changes = rig->change_count;

      ck_assert_uint_eq (rig->in_force, changes + 1);
      for (size_t j = 0; j < changes; j++)
        ck_assert_double_le (rig->in_force_at[j + 1],
                             rig->changes[j] + 2 * rig->delay + APPLY);
      ck_assert_uint_le (rig->calls, (size_t)seconds);
    }
}
END_TEST

/* A store that never answers gets at most a call a second from a node, besides the first
 * ones. */
START_TEST (test_silent_store_gets_few_calls)
{
  static const rig_t plan[] = {
    { .silent = { 0.0, NEVER } },
    { .silent = { 0.5, NEVER } },
    { .refuses = { 0.5, 1.0 }, .silent = { 1.0, NEVER } },
  };

  play (plan, sizeof plan / sizeof plan[0], 12);
  for (size_t i = 0; i < rig_count; i++)
    ck_assert_uint_le (rigs[i].calls, 12);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("store-watch");
  TCase *tcase = tcase_create ("store-watch");
  SRunner *runner = srunner_create (suite);
  int failed;

  suite_add_tcase (suite, tcase);
  tcase_add_checked_fixture (tcase, setup, teardown);
  tcase_set_timeout (tcase, 60);
  tcase_add_test (tcase, test_read_swallowed_by_a_silent_store_is_repeated);
  tcase_add_test (tcase, test_change_whose_answer_is_lost_is_read_again);
  tcase_add_test (tcase, test_change_that_all_nodes_miss_is_found_by_one);
  tcase_add_test (tcase, test_slow_store_is_heard_and_gets_few_calls);
  tcase_add_test (tcase, test_silent_store_gets_few_calls);
  srunner_run_all (runner, CK_NORMAL);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
