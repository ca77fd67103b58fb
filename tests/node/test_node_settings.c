/**
 * DOC: Tests of the settings of filbertquay-node: a valid file is loaded, and each fault
 * is reported with the path of its field.
 */
#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "filbertquay/errors.h"
#include "node/settings.h"

static const char valid_settings[]
    = "{\"node\":\"n1\",\"zone\":\"z-1\",\"ip\":\"10.0.0.1\",\"store\":\"10.0.0.9:1\","
      "\"seeds\":[],\"listen\":{\"requests\":\"10.0.0.1:1\",\"readiness\":\"10.0.0.1:2\","
      "\"reports\":\"10.0.0.1:3\",\"nodes\":\"10.0.0.1:4\",\"metrics_port\":5},"
      "\"server\":{\"address\":\"10.0.0.1:6\",\"report_interval\":\"1500ms\","
      "\"drain\":\"2.5s\"},\"retries\":{\"ratio\":0.2,\"window\":\"10s\",\"slack\":48.5},"
      "\"limits\":{\"memory_mb\":260,\"descriptors\":4100,\"grace\":\"6s\"}}";

static int
load (fq_node_settings_t *out, const char *text)
{
  char path[] = "/tmp/fq-settings-XXXXXX";
  int fd = mkstemp (path);
  int error;

  ck_assert_int_ge (fd, 0);
  ck_assert_int_eq (write (fd, text, strlen (text)), (ssize_t)strlen (text));
  close (fd);
  error = fq_node_settings_load (out, path);
  unlink (path);
  return error;
}

START_TEST (test_valid_settings_are_loaded)
{
  fq_node_settings_t settings;

  ck_assert_int_eq (load (&settings, valid_settings), 0);
  ck_assert_str_eq (fq_text_chars (settings.service), "");
  ck_assert_uint_eq (settings.drain_ms, 2500);
  ck_assert_double_eq (settings.retry_slack, 48.5);
  ck_assert_uint_eq (settings.seed_count, 0);
  fq_node_settings_clear (&settings);
}
END_TEST

/* Replacements in the valid settings that make them invalid, and the path of the faulty
 * field in the message. */
static const struct
{
  const char *old_text;
  const char *new_text;
  const char *path;
} invalid_changes[] = {
  { "\"10.0.0.1:2\"", "\"10.0.0.1\"", "listen.readiness" },
  { "\"2.5s\"", "2500", "server.drain" },
  { "\"2.5s\"", "\"2.5\"", "server.drain" },
  { "\"1500ms\"", "\"0ms\"", "server.report_interval" },
  { "0.2", "-0.1", "retries.ratio" },
  { "0.2", "\"1\"", "retries.ratio" },
  { "48.5", "\"48\"", "retries.slack" },
  { "4100", "8", "limits.descriptors" },
  { "\"seeds\":[]", "\"seeds\":[\"x\"]", "seeds" },
  { "\"seeds\":[]", "\"seedz\":[]", "seedz" },
  { "\"zone\":\"z-1\",", "", "zone" },
};

static void
replace_text (char *out, size_t size, const char *old_text, const char *new_text)
{
  const char *at = strstr (valid_settings, old_text);

  ck_assert_ptr_nonnull (at);
  snprintf (out, size, "%.*s%s%s", (int)(at - valid_settings), valid_settings, new_text,
            at + strlen (old_text));
}

START_TEST (test_fault_is_reported_with_its_path)
{
  fq_node_settings_t settings;
  char text[sizeof valid_settings + 64];

  replace_text (text, sizeof text, invalid_changes[_i].old_text,
                invalid_changes[_i].new_text);
  ck_assert_int_lt (load (&settings, text), 0);
  ck_assert_msg (strstr (fq_error_last ()->message, invalid_changes[_i].path) != NULL,
                 "%s", fq_error_last ()->message);
  fq_node_settings_clear (&settings);
}
END_TEST

/* Replacements in the valid settings that the platform allows. */
static const struct
{
  const char *old_text;
  const char *new_text;
} allowed_changes[] = {
  { "\"n1\"", "\"sidecar: the first of gate yard, \u00e9\"" },
  { "\"z-1\"", "\"zone/with a name of more than sixty-three characters, as operators may "
               "choose\"" },
  { "\"2.5s\"", "\"3600s\"" },
  { "\"2.5s\"", "\"0ms\"" },
  { "\"1500ms\"", "\"1e9s\"" },
  { "\"6s\"", "\"86400s\"" },
  { "\"6s\"", "\"0s\"" },
  { "\"10s\"", "\"50ms\"" },
  { "\"10s\"", "\"3600s\"" },
  { "0.2", "1.5" },
  { "0.2", "2" },
  { "48.5", "99999999999999999999" },
  { "260", "8" },
  { "260", "4194304.5" },
  { "4100", "1073741816" },
  { "4100", "9223372036854775807" },
  { "4100", "18446744073709551615" },
};

/* Guards against a node that does not start for a value in its settings that no page
 * bounds (review/13). */
START_TEST (test_values_without_a_bound_are_loaded)
{
  fq_node_settings_t settings;
  char text[sizeof valid_settings + 128];

  replace_text (text, sizeof text, allowed_changes[_i].old_text,
                allowed_changes[_i].new_text);
  ck_assert_msg (load (&settings, text) == 0, "%s", fq_error_last ()->message);
  ck_assert_uint_gt (settings.descriptors, 0);
  ck_assert_double_gt (settings.memory_mb, 0);
  fq_node_settings_clear (&settings);
}
END_TEST

START_TEST (test_unreadable_or_malformed_file_is_an_error)
{
  fq_node_settings_t settings;

  ck_assert_int_eq (fq_node_settings_load (&settings, "/nowhere/at/all"), FQ_ERROR_IO);
  ck_assert_int_lt (load (&settings, "{"), 0);
  ck_assert_int_lt (load (&settings, "[]"), 0);
  fq_node_settings_clear (&settings);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("node settings");
  TCase *tcase = tcase_create ("node settings");
  SRunner *runner = srunner_create (suite);
  int failed;

  tcase_add_test (tcase, test_valid_settings_are_loaded);
  tcase_add_loop_test (tcase, test_fault_is_reported_with_its_path, 0,
                       sizeof invalid_changes / sizeof invalid_changes[0]);
  tcase_add_loop_test (tcase, test_values_without_a_bound_are_loaded, 0,
                       sizeof allowed_changes / sizeof allowed_changes[0]);
  tcase_add_test (tcase, test_unreadable_or_malformed_file_is_an_error);
  suite_add_tcase (suite, tcase);
  srunner_run_all (runner, CK_NORMAL);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
