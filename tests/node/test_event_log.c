/**
 * DOC: Tests of the event log of a node: format of the lines, limits, and that a slow or
 * absent reader never blocks the process.
 */
#include <check.h>
#include <fcntl.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "node/event_log.h"

#define LINES_PER_SECOND 2000

static struct ev_loop *loop;
static int pipe_ends[2];
static int saved_stdout;

static void
setup (void)
{
  loop = ev_loop_new (EVFLAG_AUTO);
  ck_assert_int_eq (pipe (pipe_ends), 0);
  fcntl (pipe_ends[0], F_SETFL, O_NONBLOCK);
  saved_stdout = dup (STDOUT_FILENO);
  dup2 (pipe_ends[1], STDOUT_FILENO);
  ck_assert_int_eq (fq_event_log_open (loop, "n1", false), 0);
}

static void
teardown (void)
{
  fq_event_log_close ();
  dup2 (saved_stdout, STDOUT_FILENO);
  close (saved_stdout);
  close (pipe_ends[0]);
  close (pipe_ends[1]);
  ev_loop_destroy (loop);
}

static size_t
read_all (char *out, size_t size)
{
  size_t used = 0;
  ssize_t count;

  while (used < size - 1
         && (count = read (pipe_ends[0], out + used, size - 1 - used)) > 0)
    used += (size_t)count;
  out[used] = '\0';
  return used;
}

START_TEST (test_line_has_time_level_node_and_fields)
{
  char text[512];

  fq_event_log_printf (true, "event=test id=%s", "a\nb");
  ev_run (loop, EVRUN_NOWAIT);
  read_all (text, sizeof text);
  ck_assert_ptr_nonnull (strstr (text, "Z warning n1 event=test id=a?b\n"));
}
END_TEST

/* The pipe is not read and holds 64 KiB. Lines are dropped and counted once 128 KiB more
 * are pending, or after 2000 lines in one second. */
START_TEST (test_full_pipe_does_not_block)
{
  static char text[1 << 20];
  uint64_t dropped;

  for (int i = 0; i < 20000; i++)
    {
      fq_event_log_printf (false, "event=test number=%d padding=%064d", i, i);
      if (i % 100 == 0)
        ev_run (loop, EVRUN_NOWAIT);
    }
  dropped = fq_event_log_dropped ();
  ck_assert_uint_gt (dropped, 0);
  /* The limits are higher for warnings, so that this one is not dropped. */
  fq_event_log_write (true, "event=important");
  ck_assert_uint_eq (fq_event_log_dropped (), dropped);
  read_all (text, sizeof text);
  ck_assert_ptr_nonnull (strstr (text, "number=0 "));
}
END_TEST

START_TEST (test_lines_per_second_are_limited_and_drops_counted)
{
  static char text[4 << 20];

  for (int i = 0; i < 2 * LINES_PER_SECOND; i++)
    {
      fq_event_log_write (false, "event=test");
      if (i % 100 == 0)
        {
          ev_run (loop, EVRUN_NOWAIT);
          read_all (text, sizeof text);
        }
    }
  ck_assert_uint_gt (fq_event_log_dropped (), 0);
  sleep (1);
  ev_run (loop, EVRUN_NOWAIT);
  fq_event_log_write (false, "event=test");
  ev_run (loop, EVRUN_NOWAIT);
  read_all (text, sizeof text);
  ck_assert_ptr_nonnull (strstr (text, "event=log-dropped lines="));
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("event log");
  TCase *tcase = tcase_create ("event log");
  SRunner *runner = srunner_create (suite);
  int failed;

  tcase_add_checked_fixture (tcase, setup, teardown);
  tcase_add_test (tcase, test_line_has_time_level_node_and_fields);
  tcase_add_test (tcase, test_full_pipe_does_not_block);
  tcase_add_test (tcase, test_lines_per_second_are_limited_and_drops_counted);
  suite_add_tcase (suite, tcase);
  srunner_run_all (runner, CK_NORMAL);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
