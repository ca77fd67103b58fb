/**
 * DOC: Tests of configurations with one unusual item that the platform allows: each is
 * put in force whole, with the other routes in it.
 */
#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "config_document.h"
#include "filbertquay/errors.h"

#define DOCUMENT_BYTES (1 << 20)
#define REPEATED_BYTES 60000 /* near the size of the largest row */

static const char usual[]
    = "{\"version\":7,\"services\":["
      "{\"name\":\"a\",\"health_path\":\"/h\",\"max_connections\":5},"
      "{\"name\":\"b\",\"health_path\":\"/h\",\"max_connections\":6}],"
      "\"limits\":{\"max_header_bytes\":100,\"max_body_bytes\":200,"
      "\"header_timeout\":\"3000ms\",\"idle_timeout\":\"15s\"},"
      "\"virtual_hosts\":[{\"host\":\"one\",\"paths\":["
      "{\"name\":\"moved\",\"prefix\":\"/moved/\",\"route_type\":\"safe\","
      "\"timeout\":\"1s\",\"target_latency\":\"500ms\",\"max_attempts\":2,"
      "\"priority\":2,\"service\":\"b\"}]},{\"host\":\"two\",\"paths\":["
      "{\"name\":\"odd\",\"prefix\":\"/odd/\",\"route_type\":\"safe\","
      "\"timeout\":\"4s\",\"target_latency\":\"600ms\",\"max_attempts\":3,"
      "\"priority\":1,\"service\":\"a\"}]}]}";

/* @old_text occurs once in the usual document. Each '*' in @new_text stands for
 * REPEATED_BYTES characters. */
typedef struct
{
  const char *old_text;
  const char *new_text;
} change_t;

static char document[DOCUMENT_BYTES];

static void
append (const char *text, size_t size)
{
  size_t used = strlen (document);

  ck_assert_uint_lt (used + size, sizeof document);
  memcpy (document + used, text, size);
  document[used + size] = '\0';
}

static void
append_expanded (const char *text)
{
  for (; *text != '\0'; text++)
    {
      if (*text != '*')
        append (text, 1);
      else
        {
          for (size_t i = 0; i < REPEATED_BYTES; i++)
            append ("x", 1);
        }
    }
}

static fq_config_t *
read_changed (const change_t *change)
{
  const char *at = strstr (usual, change->old_text);
  fq_config_t *config = NULL;
  const fq_route_t *moved;

  ck_assert_ptr_nonnull (at);
  document[0] = '\0';
  append (usual, (size_t)(at - usual));
  append_expanded (change->new_text);
  append (at + strlen (change->old_text), strlen (at + strlen (change->old_text)));
  ck_assert_msg (fq_platform_read_config (&config, document, strlen (document)) == FQ_OK,
                 "%s -> %s: %s", change->old_text, change->new_text,
                 fq_error_last ()->message);
  moved = fq_config_find_route (config, "one", "/moved/x");
  ck_assert_ptr_nonnull (moved);
  ck_assert_uint_eq (moved->timeout_ms, 1000);
  return config;
}

static const change_t long_names[] = {
  { "\"name\":\"odd\"", "\"name\":\"*\"" },
  { "\"name\":\"odd\"", "\"name\":\"the odd route, since \\\"May\\\" \\u00e9\"" },
  { "\"name\":\"odd\"", "\"name\":\"two\\nlines\"" },
  { "\"name\":\"odd\",", "" },
  { "\"name\":\"a\"", "\"name\":\"*\",\"health_path\":\"/h\","
                      "\"max_connections\":5},{\"name\":\"a\"" },
  { "\"name\":\"a\"",
    "\"name\":\"a service, of arrivals \\u00e9\",\"health_path\":\"/h\","
    "\"max_connections\":5},{\"name\":\"a\"" },
  { "\"/h\",\"max_connections\":5", "\"/*\",\"max_connections\":5" },
  { "\"host\":\"two\"", "\"host\":\"*\"" },
  { "\"host\":\"two\"", "\"host\":\"Two.Example:8080\"" },
  { "\"prefix\":\"/odd/\"", "\"prefix\":\"/*/\"" },
  { "\"prefix\":\"/odd/\"", "\"prefix\":\"/\"" },
  { "\"prefix\":\"/odd/\"", "\"prefix\":\"/a b/\\u00e9/\"" },
};

/* Guards against review/13: a configuration was refused whole, and never in force, for
 * the length or the characters of one name in it. */
START_TEST (test_names_of_any_length_are_read)
{
  fq_config_unref (read_changed (&long_names[_i]));
}
END_TEST

/* Guards against review/13: what is long was found, but not as a whole. */
START_TEST (test_long_names_are_kept_whole)
{
  const change_t host = { "\"host\":\"two\"", "\"host\":\"*\"" };
  const change_t prefix = { "\"prefix\":\"/odd/\"", "\"prefix\":\"/*/\"" };
  fq_config_t *config = read_changed (&host);
  char *text = malloc (REPEATED_BYTES + 4);

  memset (text, 'x', REPEATED_BYTES);
  text[REPEATED_BYTES] = '\0';
  ck_assert_ptr_nonnull (fq_config_find_route (config, text, "/odd/y"));
  text[REPEATED_BYTES - 1] = '\0';
  ck_assert_ptr_null (fq_config_find_route (config, text, "/odd/y"));
  fq_config_unref (config);
  config = read_changed (&prefix);
  text[0] = '/';
  memset (text + 1, 'x', REPEATED_BYTES);
  strcpy (text + 1 + REPEATED_BYTES, "/");
  ck_assert_ptr_nonnull (fq_config_find_route (config, "two", text));
  strcpy (text + REPEATED_BYTES, "/");
  ck_assert_ptr_null (fq_config_find_route (config, "two", text));
  fq_config_unref (config);
  free (text);
}
END_TEST

/* Guards against a route that is not found because its host stands in two places. */
START_TEST (test_routes_of_a_host_are_found_in_all_places)
{
  const change_t change = { "\"host\":\"two\"", "\"host\":\"one\"" };
  fq_config_t *config = read_changed (&change);

  ck_assert_ptr_nonnull (fq_config_find_route (config, "one", "/odd/x"));
  ck_assert_ptr_null (fq_config_find_route (config, "two", "/odd/x"));
  fq_config_unref (config);
}
END_TEST

/* A row: a change, and what is read of the route with that item. */
static const struct
{
  change_t change;
  uint32_t timeout_ms;
  uint32_t latency_objective_ms;
  uint32_t servers_max;
  uint32_t priority;
} numbers[] = {
  { { "\"4s\"", "\"4294968s\"" }, UINT32_MAX, 600, 3, 1 },
  { { "\"4s\"", "\"1e12s\"" }, UINT32_MAX, 600, 3, 1 },
  { { "\"4s\"", "\"99999999999999999999ms\"" }, UINT32_MAX, 600, 3, 1 },
  { { "\"4s\"", "\"2.7182818ms\"" }, 2, 600, 3, 1 },
  { { "\"4s\"", "\"0.25ms\"" }, 1, 600, 3, 1 },
  { { "\"600ms\"", "\"31536000s\"" }, 4000, UINT32_MAX, 3, 1 },
  { { "\"target_latency\":\"600ms\",", "" }, 4000, 0, 3, 1 },
  { { "\"600ms\"", "null" }, 4000, 0, 3, 1 },
  { { "\"max_attempts\":3", "\"max_attempts\":4294967296" }, 4000, 600, UINT32_MAX, 1 },
  { { "\"max_attempts\":3", "\"max_attempts\":1e30" }, 4000, 600, UINT32_MAX, 1 },
  { { "\"max_attempts\":3", "\"max_attempts\":3.0" }, 4000, 600, 3, 1 },
  { { "\"priority\":1", "\"priority\":4294967297" }, 4000, 600, 3, UINT32_MAX },
  { { "\"priority\":1", "\"priority\":99999999999999999999" }, 4000, 600, 3, UINT32_MAX },
  { { "\"priority\":1,", "" }, 4000, 600, 3, 0 },
  { { "\"max_connections\":5", "\"max_connections\":99999999999999999999" },
    4000,
    600,
    3,
    1 },
  { { "\"max_connections\":5", "\"max_connections\":0" }, 4000, 600, 3, 1 },
  { { "\"max_body_bytes\":200", "\"max_body_bytes\":18446744073709551615" },
    4000,
    600,
    3,
    1 },
  { { "\"max_header_bytes\":100", "\"max_header_bytes\":9223372036854775807" },
    4000,
    600,
    3,
    1 },
  { { "\"3000ms\"", "\"86400000s\"" }, 4000, 600, 3, 1 },
  { { "\"15s\"", "\"5000000s\"" }, 4000, 600, 3, 1 },
  { { "\"name\":\"odd\"", "\"name\":\"odd\",\"new\":123456789012345678901234567890" },
    4000,
    600,
    3,
    1 },
};

/* Guards against review/13: a configuration was refused whole for a number beyond a range
 * that no page sets, or a number was read as another one. */
START_TEST (test_numbers_of_any_size_are_read)
{
  fq_config_t *config = read_changed (&numbers[_i].change);
  const fq_route_t *odd = fq_config_find_route (config, "two", "/odd/x");

  ck_assert_ptr_nonnull (odd);
  ck_assert_uint_eq (odd->timeout_ms, numbers[_i].timeout_ms);
  ck_assert_uint_eq (odd->latency_objective_ms, numbers[_i].latency_objective_ms);
  ck_assert_uint_eq (odd->servers_max, numbers[_i].servers_max);
  ck_assert_uint_eq (odd->priority, numbers[_i].priority);
  ck_assert_uint_ge (config->limits.body_bytes, 200);
  ck_assert_uint_ge (config->limits.head_bytes, 100);
  ck_assert_uint_eq (config->version, 7);
  fq_config_unref (config);
}
END_TEST

#define SPLIT(weights) "\"traffic_split\":[" weights "]"

/* Guards against weights whose sum is no number, so that one service got all requests. */
START_TEST (test_weights_of_any_size_share_requests)
{
  static const change_t splits[]
      = { { "\"service\":\"a\"", SPLIT ("{\"service\":\"a\",\"weight\":1e308},"
                                        "{\"service\":\"b\",\"weight\":1e308}") },
          { "\"service\":\"a\"", SPLIT ("{\"service\":\"a\",\"weight\":1e-300},"
                                        "{\"service\":\"b\",\"weight\":1e-300}") },
          { "\"service\":\"a\"",
            SPLIT ("{\"service\":\"a\",\"weight\":99999999999999999999},"
                   "{\"service\":\"b\",\"weight\":99999999999999999999}") } };

  for (size_t i = 0; i < sizeof splits / sizeof splits[0]; i++)
    {
      fq_config_t *config = read_changed (&splits[i]);
      fq_route_t *odd = fq_config_find_route (config, "two", "/odd/x");
      const void *first = fq_route_next_target (odd);
      const void *second = fq_route_next_target (odd);

      for (int j = 0; j < 20; j++)
        {
          ck_assert_ptr_eq (fq_route_next_target (odd), first);
          ck_assert_ptr_eq (fq_route_next_target (odd), second);
        }
      ck_assert_ptr_ne (first, second);
      fq_config_unref (config);
    }
}
END_TEST

/* Priorities of two routes, and their levels. */
static const struct
{
  const char *moved;
  const char *odd;
  uint32_t moved_level;
  uint32_t odd_level;
} levels[] = {
  { "2", "1", 2, 1 },          { "7", "0", 7, 0 },     { "10", "20", 0, 1 },
  { "4294967295", "8", 1, 0 }, { "300", "300", 0, 0 },
};

/* Guards against routes of different priorities that are treated as equal, since both
 * numbers are large. */
START_TEST (test_priorities_of_any_size_are_told_apart)
{
  char route[256];
  change_t change = { "\"priority\":1,\"service\":\"a\"}]}]", route };
  fq_config_t *config;
  const fq_route_t *odd;
  const fq_route_t *moved;

  snprintf (route, sizeof route,
            "\"priority\":%s,\"service\":\"a\"}]},{\"host\":\"three\",\"paths\":["
            "{\"prefix\":\"/\",\"route_type\":\"safe\",\"timeout\":\"1s\","
            "\"max_attempts\":2,\"priority\":%s,\"service\":\"a\"}]}]",
            levels[_i].odd, levels[_i].moved);
  config = read_changed (&change);
  odd = fq_config_find_route (config, "two", "/odd/x");
  moved = fq_config_find_route (config, "three", "/");
  ck_assert_uint_eq (odd->level < moved->level,
                     levels[_i].odd_level < levels[_i].moved_level);
  ck_assert_uint_eq (odd->level > moved->level,
                     levels[_i].odd_level > levels[_i].moved_level);
  fq_config_unref (config);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("config bounds");
  TCase *tcase = tcase_create ("config bounds");
  SRunner *runner = srunner_create (suite);
  int failures;

  suite_add_tcase (suite, tcase);
  tcase_add_loop_test (tcase, test_names_of_any_length_are_read, 0,
                       sizeof long_names / sizeof long_names[0]);
  tcase_add_test (tcase, test_long_names_are_kept_whole);
  tcase_add_loop_test (tcase, test_numbers_of_any_size_are_read, 0,
                       sizeof numbers / sizeof numbers[0]);
  tcase_add_loop_test (tcase, test_priorities_of_any_size_are_told_apart, 0,
                       sizeof levels / sizeof levels[0]);
  tcase_add_test (tcase, test_weights_of_any_size_share_requests);
  tcase_add_test (tcase, test_routes_of_a_host_are_found_in_all_places);
  srunner_run_all (runner, CK_NORMAL);
  failures = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failures == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
