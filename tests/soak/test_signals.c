/**
 * DOC: Tests of the signals that the soak sends to its processes.
 */
#include <check.h>
#include <signal.h>
#include <stdlib.h>
#include <sys/wait.h>
#include <unistd.h>

#include "soak.h"

static volatile sig_atomic_t received;

static void
on_signal (int signal_number)
{
  (void)signal_number;
  received = 1;
}

/* Guards against a signal to process 0, which is the whole group: it stopped all
 * processes of a run when a fault met a node that had ended. Check runs each test in a
 * process group of its own. */
START_TEST (test_ended_process_gets_no_signal)
{
  static const pid_t ended[] = { 0, -1 };

  ck_assert_int_eq (getpgrp (), getpid ());
  signal (SIGUSR1, on_signal);
  for (size_t i = 0; i < sizeof ended / sizeof ended[0]; i++)
    {
      process_t process = { .pid = ended[i], .input = -1 };

      soak_signal (&process, SIGUSR1);
      ck_assert_int_eq (received, 0);
    }
}
END_TEST

START_TEST (test_running_process_gets_the_signal)
{
  process_t process = { .pid = fork (), .input = -1 };
  int status;

  if (process.pid == 0)
    {
      pause ();
      _exit (EXIT_FAILURE);
    }
  soak_signal (&process, SIGKILL);
  ck_assert_int_eq (waitpid (process.pid, &status, 0), process.pid);
  ck_assert (WIFSIGNALED (status));
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("soak-signals");
  TCase *tcase = tcase_create ("signals");
  SRunner *runner = srunner_create (suite);
  int failed;

  suite_add_tcase (suite, tcase);
  tcase_add_test (tcase, test_ended_process_gets_no_signal);
  tcase_add_test (tcase, test_running_process_gets_the_signal);
  srunner_run_all (runner, CK_NORMAL);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
