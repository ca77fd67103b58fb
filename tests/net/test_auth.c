/**
 * DOC: Authentication of datagrams: keys, changed bytes, replays and clock skew.
 */
#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "net/auth.h"

#define NOW UINT64_C (1700000000000000)
#define SECOND UINT64_C (1000000)

static const char payload[] = "a few words of gossip";
static uint8_t datagram[FQ_AUTH_DATAGRAM_HEADER_BYTES + sizeof payload];

static void
sign_datagram (const char *key, uint64_t timestamp)
{
  const fq_auth_keys_t keys = { { key } };

  memcpy (datagram + FQ_AUTH_DATAGRAM_HEADER_BYTES, payload, sizeof payload);
  ck_assert_int_eq (fq_auth_sign_datagram (datagram, sizeof payload, &keys, timestamp),
                    FQ_OK);
}

static int
verify_with (const char *accepted_key, const char *accepted_key_2, size_t size)
{
  const fq_auth_keys_t keys = { { accepted_key, accepted_key_2 } };
  uint64_t timestamp;

  return fq_auth_verify_datagram (&timestamp, datagram, size, &keys);
}

static const struct
{
  const char *signing_key;
  const char *accepted_key;
  const char *accepted_key_2;
  int result;
} key_rows[] = {
  { "k1", "k1", "", FQ_OK },           { "k1", "k2", "k1", FQ_OK },
  { "k1", "k2", "", FQ_ERROR_DENIED }, { "k1", "k2", "k3", FQ_ERROR_DENIED },
  { "k1", "", "", FQ_ERROR_DENIED },   { "k1", "k1 ", NULL, FQ_ERROR_DENIED },
};

START_TEST (test_datagram_verifies_with_either_key)
{
  sign_datagram (key_rows[_i].signing_key, NOW);
  ck_assert_int_eq (verify_with (key_rows[_i].accepted_key, key_rows[_i].accepted_key_2,
                                 sizeof datagram),
                    key_rows[_i].result);
}
END_TEST

START_TEST (test_changed_or_truncated_datagram_is_rejected)
{
  sign_datagram ("k1", NOW);
  for (size_t i = 0; i < sizeof datagram; i++)
    {
      datagram[i] ^= 1;
      ck_assert_msg (verify_with ("k1", NULL, sizeof datagram) == FQ_ERROR_DENIED,
                     "byte %zu", i);
      datagram[i] ^= 1;
    }
  for (size_t size = 0; size < sizeof datagram; size++)
    ck_assert_msg (verify_with ("k1", NULL, size) == FQ_ERROR_DENIED, "%zu bytes", size);
  ck_assert_int_eq (verify_with ("k1", NULL, sizeof datagram), FQ_OK);
}
END_TEST

START_TEST (test_signing_without_key_fails)
{
  const fq_auth_keys_t keys = { { "" } };

  ck_assert_int_eq (fq_auth_sign_datagram (datagram, sizeof payload, &keys, NOW),
                    FQ_ERROR_DENIED);
}
END_TEST

static const struct
{
  const char *name;
  const char *sender;
  uint64_t timestamp;
  uint64_t wall_us;
  int result;
} window_rows[] = {
  { "first", "a", NOW, NOW, FQ_OK },
  { "replay", "a", NOW, NOW, FQ_ERROR_DENIED },
  { "replay one second later", "a", NOW, NOW + SECOND, FQ_ERROR_DENIED },
  { "another sender", "b", NOW, NOW, FQ_OK },
  { "reordered", "a", NOW - 5, NOW, FQ_OK },
  { "replay of the reordered one", "a", NOW - 5, NOW, FQ_ERROR_DENIED },
  { "clock ahead within the tolerated skew", "a", NOW + 29 * SECOND, NOW, FQ_OK },
  { "clock ahead beyond the tolerated skew", "a", NOW + 31 * SECOND, NOW,
    FQ_ERROR_DENIED },
  { "timestamp behind beyond the tolerated skew", "a", NOW - 31 * SECOND, NOW,
    FQ_ERROR_DENIED },
  { "timestamp 0", "a", 0, NOW, FQ_ERROR_DENIED },
};

START_TEST (test_replay_window_rejects_repeated_and_skewed_timestamps)
{
  fq_auth_replay_window_t window = { 0 };

  for (size_t i = 0; i < sizeof window_rows / sizeof window_rows[0]; i++)
    ck_assert_msg (fq_auth_replay_window_accept (&window, window_rows[i].sender,
                                                 window_rows[i].timestamp,
                                                 window_rows[i].wall_us)
                       == window_rows[i].result,
                   "%s", window_rows[i].name);
  /* Once the window is full, a timestamp older than all in it is rejected. */
  for (uint64_t i = 1; i <= FQ_AUTH_REPLAY_TIMESTAMPS; i++)
    ck_assert_int_eq (fq_auth_replay_window_accept (&window, "c", NOW + i, NOW), FQ_OK);
  ck_assert_int_eq (fq_auth_replay_window_accept (&window, "c", NOW, NOW),
                    FQ_ERROR_DENIED);
  fq_auth_replay_window_clear (&window);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("auth");
  TCase *tcase = tcase_create ("auth");
  SRunner *runner = srunner_create (suite);
  int failed;

  tcase_add_loop_test (tcase, test_datagram_verifies_with_either_key, 0,
                       sizeof key_rows / sizeof key_rows[0]);
  tcase_add_test (tcase, test_changed_or_truncated_datagram_is_rejected);
  tcase_add_test (tcase, test_signing_without_key_fails);
  tcase_add_test (tcase, test_replay_window_rejects_repeated_and_skewed_timestamps);
  suite_add_tcase (suite, tcase);
  srunner_run_all (runner, CK_NORMAL);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
