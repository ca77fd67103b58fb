/**
 * DOC: Announcements of upstreams: the error names a field that is missing, duplicated or
 * invalid.
 */
#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "net/announcement.h"

static const struct
{
  const char *service;
  const char *address;
  const char *incarnation;
  const char *slots;
  const char *connections;
  const char *extra;
  const char *error_prefix; /* how the error message begins; NULL: valid */
} rows[] = {
  { "m/s", "127.0.0.1:80", "1", "3", "9", "", NULL },
  { "m/s", "127.0.0.1:80", "18446744073709551615", "65536", "1048576", "", NULL },
  { "m/s", "127.0.0.1:80", "1", "3", "9", "&colour=red", NULL },
  { "", "127.0.0.1:80", "1", "3", "9", "", "service:" },
  { "s", "127.0.0.1:80", "1", "3", "9", "", "service:" },
  { "m/s/t", "127.0.0.1:80", "1", "3", "9", "", "service:" },
  { "/s", "127.0.0.1:80", "1", "3", "9", "", "service:" },
  { "m/..%2f", "127.0.0.1:80", "1", "3", "9", "", "service:" },
  { "m/s", "127.0.0.1", "1", "3", "9", "", "address:" },
  { "m/s", "127.0.0.1:0", "1", "3", "9", "", "address:" },
  { "m/s", "127.0.0.1:70000", "1", "3", "9", "", "address:" },
  { "m/s", "127.0.0.1:80x", "1", "3", "9", "", "address:" },
  { "m/s", "localhost:80", "1", "3", "9", "", "address:" },
  { "m/s", "127.0.0.1:80", "0", "3", "9", "", "incarnation:" },
  { "m/s", "127.0.0.1:80", "18446744073709551616", "3", "9", "", "incarnation:" },
  { "m/s", "127.0.0.1:80", "1", "0", "9", "", "slots:" },
  { "m/s", "127.0.0.1:80", "1", "-3", "9", "", "slots:" },
  { "m/s", "127.0.0.1:80", "1", "3x", "9", "", "slots:" },
  { "m/s", "127.0.0.1:80", "1", "65537", "99999", "", "slots:" },
  { "m/s", "127.0.0.1:80", "1", "3", "9", "&slots=4", "slots:" },
  { "m/s", "127.0.0.1:80", "1", "3", "", "", "connections:" },
  { "m/s", "127.0.0.1:80", "1", "3", "2", "", "connections:" },
  { "m/s", "127.0.0.1:80", "1", "3", "9999999", "", "connections:" },
};

START_TEST (test_error_names_the_invalid_field)
{
  fq_announce_event_t event;
  char path[FQ_PATH_BYTES];
  int rc;

  snprintf (path, sizeof path,
            "/fq/announce?service=%s&address=%s&incarnation=%s&slots=%s&connections=%s%s",
            rows[_i].service, rows[_i].address, rows[_i].incarnation, rows[_i].slots,
            rows[_i].connections, rows[_i].extra);
  rc = fq_announcement_parse (&event, path);
  if (rows[_i].error_prefix == NULL)
    {
      ck_assert_int_eq (rc, FQ_OK);
      ck_assert_str_eq (event.service, rows[_i].service);
      ck_assert_str_eq (event.address, rows[_i].address);
      return;
    }
  ck_assert_msg (rc == FQ_ERROR_INVALID, "%s", path);
  ck_assert_msg (strncmp (fq_error_last ()->message, rows[_i].error_prefix,
                          strlen (rows[_i].error_prefix))
                     == 0,
                 "%s: %s", path, fq_error_last ()->message);
}
END_TEST

START_TEST (test_missing_query_is_invalid)
{
  fq_announce_event_t event;

  ck_assert_int_eq (fq_announcement_parse (&event, "/fq/announce"), FQ_ERROR_INVALID);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("announcement");
  TCase *tcase = tcase_create ("announcement");
  SRunner *runner = srunner_create (suite);
  int failed;

  tcase_add_loop_test (tcase, test_error_names_the_invalid_field, 0,
                       sizeof rows / sizeof rows[0]);
  tcase_add_test (tcase, test_missing_query_is_invalid);
  suite_add_tcase (suite, tcase);
  srunner_run_all (runner, CK_NORMAL);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
