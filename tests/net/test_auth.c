/**
 * DOC: Sealed datagrams: keys, changed bytes, replays and clocks.
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
seal (const char *key, uint64_t stamp)
{
  const fq_auth_keys_t keys = { { key } };

  memcpy (datagram + FQ_AUTH_DATAGRAM_HEADER_BYTES, payload, sizeof payload);
  ck_assert_int_eq (fq_auth_seal (datagram, sizeof payload, &keys, stamp), FQ_OK);
}

static int
open_with (const char *first, const char *second, size_t size)
{
  const fq_auth_keys_t keys = { { first, second } };
  uint64_t stamp;

  return fq_auth_verify_datagram (&stamp, datagram, size, &keys);
}

static const struct
{
  const char *sealed;
  const char *first;
  const char *second;
  int result;
} key_rows[] = {
  { "k1", "k1", "", FQ_OK },           { "k1", "k2", "k1", FQ_OK },
  { "k1", "k2", "", FQ_ERROR_DENIED }, { "k1", "k2", "k3", FQ_ERROR_DENIED },
  { "k1", "", "", FQ_ERROR_DENIED },   { "k1", "k1 ", NULL, FQ_ERROR_DENIED },
};

START_TEST (test_keys)
{
  seal (key_rows[_i].sealed, NOW);
  ck_assert_int_eq (open_with (key_rows[_i].first, key_rows[_i].second, sizeof datagram),
                    key_rows[_i].result);
}
END_TEST

START_TEST (test_every_changed_byte_is_seen)
{
  seal ("k1", NOW);
  for (size_t i = 0; i < sizeof datagram; i++)
    {
      datagram[i] ^= 1;
      ck_assert_msg (open_with ("k1", NULL, sizeof datagram) == FQ_ERROR_DENIED,
                     "byte %zu", i);
      datagram[i] ^= 1;
    }
  for (size_t size = 0; size < sizeof datagram; size++)
    ck_assert_msg (open_with ("k1", NULL, size) == FQ_ERROR_DENIED, "%zu bytes", size);
  ck_assert_int_eq (open_with ("k1", NULL, sizeof datagram), FQ_OK);
}
END_TEST

START_TEST (test_no_seal_without_a_key)
{
  const fq_auth_keys_t keys = { { "" } };

  ck_assert_int_eq (fq_auth_seal (datagram, sizeof payload, &keys, NOW), FQ_ERROR_DENIED);
}
END_TEST

static const struct
{
  const char *name;
  const char *sender;
  uint64_t stamp;
  uint64_t wall;
  int result;
} window_rows[] = {
  { "first", "a", NOW, NOW, FQ_OK },
  { "again", "a", NOW, NOW, FQ_ERROR_DENIED },
  { "again, later", "a", NOW, NOW + SECOND, FQ_ERROR_DENIED },
  { "another sender", "b", NOW, NOW, FQ_OK },
  { "overtaken on the way", "a", NOW - 5, NOW, FQ_OK },
  { "overtaken, again", "a", NOW - 5, NOW, FQ_ERROR_DENIED },
  { "a clock a little ahead", "a", NOW + 29 * SECOND, NOW, FQ_OK },
  { "a clock far ahead", "a", NOW + 31 * SECOND, NOW, FQ_ERROR_DENIED },
  { "an old one", "a", NOW - 31 * SECOND, NOW, FQ_ERROR_DENIED },
  { "no time at all", "a", 0, NOW, FQ_ERROR_DENIED },
};

START_TEST (test_window)
{
  fq_auth_window_t window = { 0 };

  for (size_t i = 0; i < sizeof window_rows / sizeof window_rows[0]; i++)
    ck_assert_msg (fq_auth_window_take (&window, window_rows[i].sender,
                                        window_rows[i].stamp, window_rows[i].wall)
                       == window_rows[i].result,
                   "%s", window_rows[i].name);
  /* Once the window is full, what is older than all of it is refused. */
  for (uint64_t i = 1; i <= FQ_AUTH_STAMPS; i++)
    ck_assert_int_eq (fq_auth_window_take (&window, "c", NOW + i, NOW), FQ_OK);
  ck_assert_int_eq (fq_auth_window_take (&window, "c", NOW, NOW), FQ_ERROR_DENIED);
  fq_auth_window_clear (&window);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("auth");
  TCase *tcase = tcase_create ("auth");
  SRunner *runner = srunner_create (suite);
  int failed;

  tcase_add_loop_test (tcase, test_keys, 0, sizeof key_rows / sizeof key_rows[0]);
  tcase_add_test (tcase, test_every_changed_byte_is_seen);
  tcase_add_test (tcase, test_no_seal_without_a_key);
  tcase_add_test (tcase, test_window);
  suite_add_tcase (suite, tcase);
  srunner_run_all (runner, CK_NORMAL);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
