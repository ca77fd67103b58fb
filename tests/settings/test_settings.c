/**
 * DOC: Settings: a valid document, and a table of changes that make it invalid.
 */
#include <check.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "filbertquay/settings.h"

#define SECRET "a-secret-that-is-long-enough"

static const char valid_settings[]
    = "{'node':'n1','failure_domain':'mid-a','region':'midlands',"
      "'cluster_key':'a-cluster-key-for-all','platform':'127.0.0.1:7500',"
      "'listen':{'address':'127.0.0.1','peer':1,'caller':2,'upstream':3,'operator':4},"
      "'limits':{'deadline_ms':1000,'retries':1,'policy':'fixed'},"
      "'log':{'level':'warning'},'seeds':['127.0.0.1:1','10.0.0.1:65535'],"
      "'members':[{'name':'wrekin','key':'" SECRET "'}]}";

/* Each row replaces one value of the valid document. */
static const struct
{
  const char *path;    /* names joined by '/' */
  const char *value;   /* NULL: the field is removed */
  const char *message; /* part of the expected error message */
} invalid_changes[] = {
  { "node", NULL, "node: is missing" },
  { "node", "7", "node: is 7; allowed: 1 to 63 letters" },
  { "node", "''", "node: is \"\"; allowed" },
  { "node", "'a/b'", "node: is \"a/b\"; allowed" },
  { "region", "'a b'", "region: is \"a b\"" },
  { "colour", "'red'", "colour: is unknown; allowed: node, failure_domain" },
  { "cluster_key", NULL, "cluster_key: is missing; it or cluster_key_file is required" },
  { "cluster_key", "'short'", "cluster_key: is a secret of 5 characters; allowed: 16" },
  { "cluster_key", "9", "cluster_key: is a secret of 0 characters" },
  { "cluster_key", "'" SECRET "'", "cluster_key: is also the key of wrekin" },
  { "cluster_key_file", "'x'", "cluster_key: is set, and so is cluster_key_file" },
  { "platform", "'localhost:1'", "platform: is \"localhost:1\"; allowed: an IPv4" },
  { "platform", "'127.0.0.1'", "platform: is \"127.0.0.1\"" },
  { "platform", "'127.0.0.1:0'", "platform: is \"127.0.0.1:0\"" },
  { "platform", "'127.0.0.1:70000'", "platform: is" },
  { "listen", "[]", "listen: is []; allowed: an object" },
  { "listen/address", "'::1'", "listen.address: is \"::1\"; allowed: an IPv4 address" },
  { "listen/peer", "0", "listen.peer: is 0; allowed: a port from 1 to 65535" },
  { "listen/peer", "'1'", "listen.peer: is \"1\"" },
  { "listen/peer", "2", "listen: has port 2 twice" },
  { "listen/caller", "2.5", "listen.caller: is 2.5" },
  { "listen/prot", "2", "listen.prot: is unknown; allowed: address, peer" },
  { "limits/deadline_ms", "0", "limits.deadline_ms: is 0; allowed: a whole number from" },
  { "limits/retries", "11", "limits.retries: is 11; allowed: a whole number from 0 to" },
  { "limits/retries", "-1", "limits.retries: is -1" },
  { "limits/policy", "'best'", "limits.policy: is \"best\"; allowed: adaptive, fixed" },
  { "log/level", "3", "log.level: is 3; allowed: debug, info, warning, error" },
  { "seeds", "{}", "seeds: has 0 entries; allowed: a list of 0 to 32" },
  { "seeds", "['1.2.3.4:5','x']", "seeds[1]: is \"x\"; allowed: an IPv4" },
  { "members", "[]", "members: has 0 entries; allowed: a list of 1 to 64" },
  { "members", "[7]", "members[0]: is 7; allowed: an object" },
  { "members", "[{'name':'a'}]", "members[0].key: is missing; it or key_file" },
  { "members", "[{'name':'a','key_file':'/none'}]", "members[0].key_file: is \"/none\"" },
  { "members", "[{'name':'a','key':'" SECRET "'},{'name':'a','key':'x" SECRET "'}]",
    "members: has the name a twice" },
  { "members", "[{'name':'a','key':'" SECRET "'},{'name':'b','key':'" SECRET "'}]",
    "members: has the same key for a and b" },
};

/* Parses JSON in which apostrophes stand for quotes. */
static json_t *
parse_json (const char *text)
{
  char quoted[4096];
  json_t *json;

  ck_assert_uint_lt (strlen (text), sizeof quoted);
  strcpy (quoted, text);
  for (char *at = quoted; *at != '\0'; at++)
    {
      if (*at == '\'')
        *at = '"';
    }
  json = json_loads (quoted, JSON_DECODE_ANY, NULL);
  ck_assert_ptr_nonnull (json);
  return json;
}

static void
set_value (json_t *root, const char *path, const char *value)
{
  const char *slash = strchr (path, '/');
  json_t *object = root;

  if (slash != NULL)
    {
      char name[64] = "";

      memcpy (name, path, (size_t)(slash - path));
      object = json_object_get (root, name);
      path = slash + 1;
    }
  if (value == NULL)
    json_object_del (object, path);
  else
    json_object_set_new (object, path, parse_json (value));
}

static int
parse_settings (fq_settings_t *out, const json_t *root)
{
  char *text = json_dumps (root, 0);
  int rc = fq_settings_parse (out, text, strlen (text));

  free (text);
  return rc;
}

START_TEST (test_valid_settings_are_read)
{
  fq_settings_t settings;
  json_t *root = parse_json (valid_settings);

  ck_assert_int_eq (parse_settings (&settings, root), FQ_OK);
  ck_assert_str_eq (settings.node, "n1");
  ck_assert_int_eq (settings.operator_port, 4);
  ck_assert_uint_eq (settings.default_deadline_ms, 1000);
  ck_assert_uint_eq (settings.default_retries, 1);
  ck_assert_int_eq (settings.limit_policy, FQ_LIMIT_FIXED);
  ck_assert_int_eq (settings.log_level, FQ_LOG_WARNING);
  ck_assert_uint_eq (settings.seed_count, 2);
  ck_assert_str_eq (settings.seeds[1], "10.0.0.1:65535");
  ck_assert_uint_eq (settings.member_count, 1);
  ck_assert_str_eq (settings.members[0].key, SECRET);
  json_decref (root);
}
END_TEST

START_TEST (test_invalid_setting_is_reported)
{
  fq_settings_t settings;
  json_t *root = parse_json (valid_settings);
  const char *message;

  set_value (root, invalid_changes[_i].path, invalid_changes[_i].value);
  ck_assert_int_eq (parse_settings (&settings, root), FQ_ERROR_INVALID);
  message = fq_error_last ()->message;
  ck_assert_msg (strstr (message, invalid_changes[_i].message) != NULL, "no '%s' in: %s",
                 invalid_changes[_i].message, message);
  ck_assert_msg (strstr (message, SECRET) == NULL, "a secret in: %s", message);
  json_decref (root);
}
END_TEST

START_TEST (test_all_invalid_settings_are_reported)
{
  fq_settings_t settings;
  json_t *root = parse_json ("{'node':1,'listen':{'peer':0},'members':[{}],'x':{}}");
  const char *const messages[]
      = { "node: is 1",         "listen.peer",   "members[0].name",     "members[0].key",
          "region: is missing", "x: is unknown", "platform: is missing" };

  ck_assert_int_eq (parse_settings (&settings, root), FQ_ERROR_INVALID);
  for (size_t i = 0; i < sizeof messages / sizeof messages[0]; i++)
    ck_assert_msg (strstr (fq_error_last ()->message, messages[i]) != NULL, "%s in %s",
                   messages[i], fq_error_last ()->message);
  json_decref (root);
}
END_TEST

static const char *const examples[] = { "wrekin-midlands.json", "abyssinia-addis.json" };

START_TEST (test_example_settings_are_valid)
{
  fq_settings_t settings;
  char path[1024];

  snprintf (path, sizeof path, "%s/examples/%s", FQ_SOURCE_DIRECTORY, examples[_i]);
  ck_assert_msg (fq_settings_load (&settings, path) == FQ_OK, "%s",
                 fq_error_last ()->message);
  ck_assert_uint_ge (strlen (settings.members[0].key), 16);
}
END_TEST

START_TEST (test_missing_and_malformed_files_are_refused)
{
  fq_settings_t settings;

  ck_assert_int_eq (fq_settings_load (&settings, "/none"), FQ_ERROR_IO);
  ck_assert_int_eq (fq_settings_parse (&settings, "{", 1), FQ_ERROR_INVALID);
  ck_assert_int_eq (fq_settings_parse (&settings, "[]", 2), FQ_ERROR_INVALID);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("settings");
  TCase *tcase = tcase_create ("settings");
  SRunner *runner = srunner_create (suite);
  int failed;

  tcase_add_test (tcase, test_valid_settings_are_read);
  tcase_add_loop_test (tcase, test_invalid_setting_is_reported, 0,
                       sizeof invalid_changes / sizeof invalid_changes[0]);
  tcase_add_test (tcase, test_all_invalid_settings_are_reported);
  tcase_add_loop_test (tcase, test_example_settings_are_valid, 0,
                       sizeof examples / sizeof examples[0]);
  tcase_add_test (tcase, test_missing_and_malformed_files_are_refused);
  suite_add_tcase (suite, tcase);
  srunner_run_all (runner, CK_NORMAL);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
