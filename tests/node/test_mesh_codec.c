/**
 * DOC: Tests of the codec for frames between nodes: round trips, and rejection of frames
 * with a zero where the receiver needs a map key, which can't be 0.
 */
#include <check.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "filbertquay/errors.h"
#include "filbertquay/memory.h"
#include "wire/mesh_codec.h"

static fq_output_t output;
static fq_frame_t frame;

static void
setup (void)
{
  fq_output_init (&output);
}

static void
teardown (void)
{
  fq_frame_clear (&frame);
  fq_output_clear (&output);
}

static int
round_trip (const fq_frame_t *sent)
{
  fq_mesh_frame_write (&output, sent);
  return fq_mesh_frame_read (&frame, &output.bytes);
}

static fq_frame_t
valid_offer (void)
{
  fq_frame_t offer = { .kind = FQ_FRAME_OFFER, .attempt = 7 };

  offer.offer.service = fq_text_new ("back");
  offer.offer.request_id = fq_text_new ("r1");
  offer.offer.route = 1;
  offer.offer.fingerprint = 2;
  offer.offer.remaining_ms = 500;
  return offer;
}

START_TEST (test_offer_survives_round_trip)
{
  fq_frame_t offer = valid_offer ();

  ck_assert_int_eq (round_trip (&offer), 0);
  ck_assert_int_eq (frame.kind, FQ_FRAME_OFFER);
  ck_assert_uint_eq (frame.attempt, 7);
  ck_assert_str_eq (fq_text_chars (frame.offer.service), "back");
  ck_assert_str_eq (fq_text_chars (frame.offer.request_id), "r1");
  ck_assert_uint_eq (frame.offer.remaining_ms, 500);
  fq_frame_clear (&offer);
}
END_TEST

START_TEST (test_what_is_told_of_a_server_survives_round_trip)
{
  fq_frame_t hello = { .kind = FQ_FRAME_HELLO };

  hello.recall.instance = fq_text_new ("i-1");
  hello.recall.started_ms = 1700000000000;
  hello.recall.leaving = true;
  hello.recall.leaving_ms = 700;
  hello.recall.rate_limit = 2.5;
  hello.recall.rate_age_ms = 40;
  hello.gate_load.rate_limit = 26.3;
  ck_assert_int_eq (round_trip (&hello), 0);
  ck_assert_str_eq (fq_text_chars (frame.recall.instance), "i-1");
  ck_assert_uint_eq (frame.recall.started_ms, 1700000000000);
  ck_assert (frame.recall.leaving);
  ck_assert_uint_eq (frame.recall.leaving_ms, 700);
  ck_assert_double_eq (frame.recall.rate_limit, 2.5);
  ck_assert_uint_eq (frame.recall.rate_age_ms, 40);
  ck_assert_double_eq (frame.gate_load.rate_limit, 26.3);
  fq_frame_clear (&hello);
}
END_TEST

START_TEST (test_start_of_server_survives_round_trip)
{
  fq_frame_t told = { .kind = FQ_FRAME_SERVER };

  told.server.instance = fq_text_new ("i-1");
  told.server.started_ms = 1700000000000;
  ck_assert_int_eq (round_trip (&told), 0);
  ck_assert_uint_eq (frame.server.started_ms, 1700000000000);
  fq_frame_clear (&told);
}
END_TEST

START_TEST (test_answer_keeps_lost_otherwise)
{
  fq_frame_t answer
      = { .kind = FQ_FRAME_ANSWER, .attempt = 7, .failed_not_for_capacity = true };

  ck_assert_int_eq (round_trip (&answer), 0);
  ck_assert (frame.failed_not_for_capacity);
}
END_TEST

static const struct
{
  uint64_t route;
  uint64_t fingerprint;
} offers_with_zero_key[] = { { 0, 2 }, { 1, 0 } };

START_TEST (test_offer_with_zero_key_is_rejected)
{
  fq_frame_t offer = valid_offer ();

  offer.offer.route = offers_with_zero_key[_i].route;
  offer.offer.fingerprint = offers_with_zero_key[_i].fingerprint;
  ck_assert_int_eq (round_trip (&offer), FQ_ERROR_INVALID);
  ck_assert_uint_eq (fq_buffer_size (&output.bytes), 0);
  fq_frame_clear (&offer);
}
END_TEST

START_TEST (test_list_with_zero_address_or_fingerprint_is_rejected)
{
  fq_node_address_t nodes[] = { 0x0a000001, 0 };
  uint64_t fingerprints[] = { 5, 0 };
  fq_frame_t hello = { .kind = FQ_FRAME_HELLO, .nodes = nodes, .node_count = 2 };
  fq_frame_t crash_suspects = { .kind = FQ_FRAME_CRASH_SUSPECTS };

  crash_suspects.fingerprints = fingerprints;
  crash_suspects.fingerprint_count = 2;
  ck_assert_int_eq (round_trip (&hello), FQ_ERROR_INVALID);
  ck_assert_int_eq (round_trip (&crash_suspects), FQ_ERROR_INVALID);
}
END_TEST

/* Moves the whole output to @in, as a connection does. */
static void
transfer (fq_buffer_t *in)
{
  int pair[2];
  uint8_t data[65536];

  ck_assert_int_eq (socketpair (AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, pair), 0);
  while (fq_output_size (&output) > 0)
    {
      ssize_t count;

      fq_output_send (&output, pair[0]);
      count = recv (pair[1], data, sizeof data, MSG_DONTWAIT);
      if (count > 0)
        fq_buffer_add (in, data, (size_t)count);
    }
  for (ssize_t count; (count = recv (pair[1], data, sizeof data, MSG_DONTWAIT)) > 0;)
    fq_buffer_add (in, data, (size_t)count);
  close (pair[0]);
  close (pair[1]);
}

/* A large body is sent from where it is, and decoded into the blob that is kept. */
START_TEST (test_large_body_is_held_once_at_each_end)
{
  const size_t size = 3 << 20;
  fq_frame_t sent = { .kind = FQ_FRAME_MESSAGE, .attempt = 7 };
  fq_buffer_t in = { 0 };
  size_t held;

  sent.message = fq_http_message_new ();
  sent.message->target = strdup ("/once/1");
  strcpy (sent.message->method, "POST");
  ck_assert_int_eq (fq_blob_new (&sent.message->body, NULL, size), 0);
  for (size_t i = 0; i < size; i++)
    sent.message->body->data[i] = (uint8_t)(i * 7);
  fq_mesh_frame_write (&output, &sent);
  ck_assert_uint_lt (fq_memory_held (), size + size / 4);
  fq_mesh_frame_write (&output, &(fq_frame_t){ .kind = FQ_FRAME_PING });
  transfer (&in);
  ck_assert_int_eq (fq_mesh_frame_read (&frame, &in), 0);
  ck_assert_str_eq (frame.message->target, "/once/1");
  ck_assert_uint_eq (frame.message->body->size, size);
  ck_assert_mem_eq (frame.message->body->data, sent.message->body->data, size);
  fq_frame_clear (&sent);
  fq_frame_clear (&frame);
  ck_assert_int_eq (fq_mesh_frame_read (&frame, &in), 0);
  ck_assert_int_eq (frame.kind, FQ_FRAME_PING);
  held = fq_memory_held ();
  fq_buffer_clear (&in);
  ck_assert_uint_lt (held, size / 4);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("mesh codec");
  TCase *tcase = tcase_create ("mesh codec");
  SRunner *runner = srunner_create (suite);
  int failed;

  tcase_add_checked_fixture (tcase, setup, teardown);
  tcase_add_test (tcase, test_offer_survives_round_trip);
  tcase_add_test (tcase, test_what_is_told_of_a_server_survives_round_trip);
  tcase_add_test (tcase, test_start_of_server_survives_round_trip);
  tcase_add_test (tcase, test_answer_keeps_lost_otherwise);
  tcase_add_loop_test (tcase, test_offer_with_zero_key_is_rejected, 0,
                       sizeof offers_with_zero_key / sizeof offers_with_zero_key[0]);
  tcase_add_test (tcase, test_list_with_zero_address_or_fingerprint_is_rejected);
  tcase_add_test (tcase, test_large_body_is_held_once_at_each_end);
  suite_add_tcase (suite, tcase);
  srunner_run_all (runner, CK_NORMAL);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
