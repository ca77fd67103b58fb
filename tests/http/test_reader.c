/**
 * DOC: Tests of the HTTP reader: message boundaries, and rejection of malformed input.
 */
#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "filbertquay/memory.h"
#include "http/reader.h"

#define HEAD_BYTES 512
#define BODY_BYTES 64

static const fq_http_limits_t limits
    = { .head_bytes = HEAD_BYTES, .body_bytes = BODY_BYTES };

/* A row: input, and either the status of its rejection or the parsed message. */
typedef struct
{
  const char *name;
  const char *input;
  uint16_t rejected_status; /* 0: accepted */
  const char *target;
  const char *fields;
  const char *body; /* NULL: none */
  const char *rest; /* input left for the next message */
} request_row_t;

#define HOST "Host: a\r\n"

static const request_row_t requests[] = {
  { "plain", "GET /x?y=1 HTTP/1.1\r\n" HOST "X-Own: v\r\n\r\n", 0, "/x?y=1",
    "Host: a\r\nX-Own: v\r\n", NULL, "" },
  { "content length", "POST / HTTP/1.1\r\n" HOST "Content-Length: 3\r\n\r\nabcGET", 0,
    "/", "Host: a\r\n", "abc", "GET" },
  { "chunked body",
    "POST / HTTP/1.1\r\n" HOST "Transfer-Encoding: chunked\r\n\r\n"
    "2\r\nab\r\n1\r\nc\r\n0\r\n\r\nGET",
    0, "/", "Host: a\r\n", "abc", "GET" },
  { "chunked body with trailer",
    "POST / HTTP/1.1\r\n" HOST "Transfer-Encoding: chunked\r\n\r\n"
    "1\r\na\r\n0\r\nX-Evil: 1\r\n\r\n",
    0, "/", "Host: a\r\n", "a", "" },
  { "empty lines before the request line", "\r\n\r\nGET / HTTP/1.1\r\n" HOST "\r\n", 0,
    "/", "Host: a\r\n", NULL, "" },
  { "hop-by-hop fields",
    "GET / HTTP/1.1\r\n" HOST "Connection: keep-alive, X-Hop\r\nX-Hop: 1\r\n"
    "Keep-Alive: timeout=5\r\nTE: trailers\r\nUpgrade: h2c\r\nX-End: 1\r\n\r\n",
    0, "/", "Host: a\r\nX-End: 1\r\n", NULL, "" },
  { "white space around a value", "GET / HTTP/1.1\r\n" HOST "X-A:  1 \t \r\n\r\n", 0, "/",
    "Host: a\r\nX-A: 1\r\n", NULL, "" },
  { "no Host field", "GET / HTTP/1.1\r\n\r\n", 400 },
  { "two Host fields", "GET / HTTP/1.1\r\n" HOST "Host: b\r\n\r\n", 400 },
  { "space before a colon", "GET / HTTP/1.1\r\n" HOST "Content-Length : 3\r\n\r\nabc",
    400 },
  { "folded field line", "GET / HTTP/1.1\r\n" HOST "X-A: 1\r\n 2\r\n\r\n", 400 },
  { "folded line after the request line", "GET / HTTP/1.1\r\n X: 1\r\n" HOST "\r\n",
    400 },
  { "content length and chunked coding",
    "POST / HTTP/1.1\r\n" HOST
    "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
    400 },
  { "two content lengths",
    "POST / HTTP/1.1\r\n" HOST "Content-Length: 3\r\nContent-Length: 4\r\n\r\nabc", 400 },
  { "content length with a sign",
    "POST / HTTP/1.1\r\n" HOST "Content-Length: +3\r\n\r\nabc", 400 },
  { "unsupported transfer coding",
    "POST / HTTP/1.1\r\n" HOST "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n", 501 },
  { "invalid chunk size",
    "POST / HTTP/1.1\r\n" HOST "Transfer-Encoding: chunked\r\n\r\n-1\r\nab\r\n", 400 },
  { "line feed without carriage return", "GET / HTTP/1.1\n" HOST "\n\n", 400 },
  { "carriage return within a line", "GET / HTTP/1.1\r\n" HOST "X-A: 1\r2\r\n\r\n", 400 },
  { "no field name", "GET / HTTP/1.1\r\n" HOST ": 1\r\n\r\n", 400 },
  { "space in a field name", "GET / HTTP/1.1\r\n" HOST "X A: 1\r\n\r\n", 400 },
  { "empty line within the request line", "POST / H\r\n\r\n1.1\r\n" HOST "\r\n", 400 },
  { "unknown method", "NONSENSE / HTTP/1.1\r\n" HOST "\r\n", 400 },
  { "CONNECT method", "CONNECT a:1 HTTP/1.1\r\n" HOST "\r\n", 501 },
  { "unsupported version", "GET / HTTP/2.0\r\n" HOST "\r\n", 505 },
  { "content length over the limit",
    "POST / HTTP/1.1\r\n" HOST "Content-Length: 65\r\n\r\n", 413 },
  { "chunked body over the limit",
    "POST / HTTP/1.1\r\n" HOST "Transfer-Encoding: chunked\r\n\r\n"
    "41\r\n12345678901234567890123456789012345678901234567890123456789012345\r\n",
    413 },
};

static fq_http_progress_t
feed_in_steps (fq_http_reader_t *reader, const char *input, size_t step, size_t *used)
{
  size_t size = strlen (input);
  fq_http_progress_t progress = FQ_HTTP_INCOMPLETE;

  *used = 0;
  while (*used < size && progress == FQ_HTTP_INCOMPLETE)
    {
      size_t left = size - *used;
      size_t taken;

      progress = fq_http_reader_feed (reader, (const uint8_t *)input + *used,
                                      left < step ? left : step, &taken);
      ck_assert (taken > 0 || progress == FQ_HTTP_REJECTED);
      *used += taken;
    }
  return progress;
}

static void
check_message (const request_row_t *row, fq_http_message_t *message)
{
  ck_assert_str_eq (message->target, row->target);
  ck_assert_str_eq (message->fields, row->fields);
  if (row->body == NULL)
    {
      ck_assert_uint_eq (fq_http_message_body_size (message), 0);
      return;
    }
  ck_assert_uint_eq (fq_http_message_body_size (message), strlen (row->body));
  ck_assert_mem_eq (message->body->data, row->body, strlen (row->body));
}

/* The result must not depend on the pieces in which the input arrives. */
START_TEST (test_requests_are_accepted_or_rejected)
{
  const request_row_t *row = &requests[_i];

  for (size_t step = 1; step <= strlen (row->input); step++)
    {
      fq_http_reader_t reader;
      fq_http_progress_t progress;
      size_t used;

      fq_http_reader_init (&reader, FQ_HTTP_REQUESTS, &limits);
      progress = feed_in_steps (&reader, row->input, step, &used);
      if (row->rejected_status != 0)
        {
          ck_assert_msg (progress == FQ_HTTP_REJECTED, "%s: not rejected", row->name);
          ck_assert_msg (reader.error_status == row->rejected_status, "%s: %u", row->name,
                         reader.error_status);
        }
      else
        {
          fq_http_message_t *message;

          ck_assert_msg (progress == FQ_HTTP_COMPLETE, "%s: %s", row->name,
                         reader.error_reason);
          ck_assert_str_eq (row->input + used, row->rest);
          message = fq_http_reader_take (&reader);
          check_message (row, message);
          fq_http_message_unref (message);
          ck_assert (fq_http_reader_is_idle (&reader));
        }
      fq_http_reader_clear (&reader);
    }
}
END_TEST

START_TEST (test_all_connection_fields_are_read)
{
  static const char input[]
      = "GET / HTTP/1.1\r\nHost: a\r\nConnection: X-One\r\nX-One: 1\r\n"
        "Connection: keep-alive, X-Two\r\nX-Two: 2\r\nX-Three: 3\r\n\r\n";
  fq_http_reader_t reader;
  fq_http_message_t *message;
  size_t used;

  fq_http_reader_init (&reader, FQ_HTTP_REQUESTS, &limits);
  ck_assert_int_eq (feed_in_steps (&reader, input, 7, &used), FQ_HTTP_COMPLETE);
  message = fq_http_reader_take (&reader);
  ck_assert_uint_eq (fq_http_message_count (message, "X-One"), 0);
  ck_assert_uint_eq (fq_http_message_count (message, "X-Two"), 0);
  ck_assert_uint_eq (fq_http_message_count (message, "X-Three"), 1);
  fq_http_message_unref (message);
  fq_http_reader_clear (&reader);
}
END_TEST

START_TEST (test_head_over_limit_is_rejected)
{
  char input[HEAD_BYTES + 64] = "GET / HTTP/1.1\r\nHost: a\r\nX-Long: ";
  fq_http_reader_t reader;
  size_t used;

  memset (input + strlen (input), 'x', sizeof input - 1 - strlen (input));
  input[sizeof input - 1] = '\0';
  fq_http_reader_init (&reader, FQ_HTTP_REQUESTS, &limits);
  ck_assert_int_eq (feed_in_steps (&reader, input, 7, &used), FQ_HTTP_REJECTED);
  ck_assert_uint_eq (reader.error_status, 431);
  fq_http_reader_clear (&reader);
}
END_TEST

START_TEST (test_nul_in_the_target_is_rejected)
{
  static const uint8_t input[] = "GET /a\0b HTTP/1.1\r\nHost: a\r\n\r\n";
  fq_http_reader_t reader;
  size_t used;

  fq_http_reader_init (&reader, FQ_HTTP_REQUESTS, &limits);
  ck_assert_int_eq (fq_http_reader_feed (&reader, input, sizeof input - 1, &used),
                    FQ_HTTP_REJECTED);
  ck_assert_uint_eq (reader.error_status, 400);
  fq_http_reader_clear (&reader);
}
END_TEST

/* A row: input of an answer, the state after it, and the state after a clean end of the
 * connection. */
static const struct
{
  const char *name;
  const char *input;
  fq_http_progress_t progress;
  fq_http_progress_t progress_at_end;
  const char *body;
} answers[] = {
  { "content length", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab", FQ_HTTP_COMPLETE,
    FQ_HTTP_COMPLETE, "ab" },
  { "body shorter than content length", "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nab",
    FQ_HTTP_INCOMPLETE, FQ_HTTP_REJECTED, NULL },
  { "body up to the end of the connection", "HTTP/1.1 200 OK\r\n\r\nab",
    FQ_HTTP_INCOMPLETE, FQ_HTTP_COMPLETE, "ab" },
  { "truncated head", "HTTP/1.1 200 OK\r\nContent", FQ_HTTP_INCOMPLETE, FQ_HTTP_REJECTED,
    NULL },
  { "interim answer first",
    "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\na",
    FQ_HTTP_COMPLETE, FQ_HTTP_COMPLETE, "a" },
  { "status 204", "HTTP/1.1 204 No Content\r\n\r\n", FQ_HTTP_COMPLETE, FQ_HTTP_COMPLETE,
    NULL },
  { "truncated chunked body",
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n",
    FQ_HTTP_INCOMPLETE, FQ_HTTP_REJECTED, NULL },
  { "not HTTP", "garbage that is none\r\n\r\n", FQ_HTTP_REJECTED, FQ_HTTP_REJECTED,
    NULL },
};

START_TEST (test_answers_are_complete_or_not)
{
  fq_http_reader_t reader;
  fq_http_progress_t progress;
  size_t used;

  fq_http_reader_init (&reader, FQ_HTTP_ANSWERS, &limits);
  progress = feed_in_steps (&reader, answers[_i].input, 5, &used);
  ck_assert_msg (progress == answers[_i].progress, "%s", answers[_i].name);
  if (progress == FQ_HTTP_INCOMPLETE)
    progress = fq_http_reader_end (&reader);
  ck_assert_msg (progress == answers[_i].progress_at_end, "%s", answers[_i].name);
  if (progress == FQ_HTTP_COMPLETE)
    {
      fq_http_message_t *message = fq_http_reader_take (&reader);
      size_t size = answers[_i].body == NULL ? 0 : strlen (answers[_i].body);

      ck_assert_uint_eq (fq_http_message_body_size (message), size);
      if (size > 0)
        ck_assert_mem_eq (message->body->data, answers[_i].body, size);
      fq_http_message_unref (message);
    }
  fq_http_reader_clear (&reader);
}
END_TEST

#define UPLOADS 16
#define CHUNK_BYTES 50
#define MEMORY_BYTES 4096

/* Feeds one more chunk of a body to @reader. */
static fq_http_progress_t
feed_chunk (fq_http_reader_t *reader)
{
  char chunk[CHUNK_BYTES + 16];
  size_t used;

  snprintf (chunk, sizeof chunk, "%x\r\n%0*d\r\n", CHUNK_BYTES, CHUNK_BYTES, 0);
  return fq_http_reader_feed (reader, (const uint8_t *)chunk, strlen (chunk), &used);
}

/* Guards against review/4 (LOST): of bodies in chunks, each counted by itself until it
 * was complete, so that many at once took the process past its memory. */
START_TEST (test_bodies_in_chunks_count_together)
{
  static const char head[]
      = "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n";
  static const fq_http_limits_t one_mb = { .head_bytes = 512, .body_bytes = 1 << 20 };
  fq_http_reader_t readers[UPLOADS];
  size_t held = 0;
  size_t rejected = 0;
  size_t used;

  fq_memory_set_limit (MEMORY_BYTES);
  for (size_t i = 0; i < UPLOADS; i++)
    {
      fq_http_reader_init (&readers[i], FQ_HTTP_REQUESTS, &one_mb);
      fq_http_reader_feed (&readers[i], (const uint8_t *)head, strlen (head), &used);
    }
  for (int round = 0; round < 20; round++)
    {
      for (size_t i = 0; i < UPLOADS; i++)
        {
          if (readers[i].error_status != 0)
            continue;
          if (feed_chunk (&readers[i]) != FQ_HTTP_REJECTED)
            continue;
          ck_assert_uint_eq (readers[i].error_status, 503);
          fq_http_reader_clear (&readers[i]);
          rejected++;
        }
    }
  for (size_t i = 0; i < UPLOADS; i++)
    held += fq_http_reader_body_bytes (&readers[i]);
  ck_assert_uint_le (held, MEMORY_BYTES);
  ck_assert_uint_gt (held, 0);
  ck_assert_uint_gt (rejected, 0);
  for (size_t i = 0; i < UPLOADS; i++)
    fq_http_reader_clear (&readers[i]);
  ck_assert_uint_eq (fq_memory_held (), 0);
  fq_memory_set_limit (0);
}
END_TEST

START_TEST (test_fields_are_found_dropped_and_added)
{
  fq_http_message_t *message = fq_http_message_new ();
  char value[8];

  fq_http_message_add (message, "A", "1");
  fq_http_message_add (message, "B", "2");
  fq_http_message_add (message, "a", "3");
  ck_assert (fq_http_message_get (message, "b", value, sizeof value));
  ck_assert_str_eq (value, "2");
  fq_http_message_drop (message, "A");
  ck_assert_str_eq (message->fields, "B: 2\r\n");
  ck_assert (!fq_http_message_get (message, "A", value, sizeof value));
  ck_assert (!fq_http_message_get (message, "B", value, 1));
  fq_http_message_unref (message);
}
END_TEST

/* Values of Keep-Alive, and the seconds that are read. */
static const struct
{
  const char *value;
  uint32_t seconds;
} keep_alives[] = {
  { "timeout=5", 5 },
  { "max=100, timeout=7", 7 },
  { "note=0123456789012345678901234567890123456789012345678901234567890123456789012345678"
    "9012345678901234567890123456789012345678901234567890123456789, timeout=8",
    8 },
  { "timeout=4294969", 4000000 },
  { "timeout=99999999999999999999999", 4000000 },
  { "max=100", 0 },
};

/* Guards against a time limit of the server that is not seen, or read as a short one. */
START_TEST (test_keep_alive_of_any_size_is_read)
{
  fq_http_reader_t reader;
  char text[512];
  size_t used;

  snprintf (text, sizeof text,
            "HTTP/1.1 200 OK\r\nKeep-Alive: %s\r\nContent-Length: 0\r\n\r\n",
            keep_alives[_i].value);
  fq_http_reader_init (&reader, FQ_HTTP_ANSWERS, &limits);
  ck_assert_int_eq (
      fq_http_reader_feed (&reader, (const uint8_t *)text, strlen (text), &used),
      FQ_HTTP_COMPLETE);
  ck_assert_uint_eq (reader.keep_alive_seconds, keep_alives[_i].seconds);
  fq_http_reader_clear (&reader);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("reader");
  TCase *tcase = tcase_create ("reader");
  SRunner *runner = srunner_create (suite);
  int failed;

  tcase_add_loop_test (tcase, test_keep_alive_of_any_size_is_read, 0,
                       sizeof keep_alives / sizeof keep_alives[0]);
  tcase_add_loop_test (tcase, test_requests_are_accepted_or_rejected, 0,
                       sizeof requests / sizeof requests[0]);
  tcase_add_test (tcase, test_all_connection_fields_are_read);
  tcase_add_test (tcase, test_head_over_limit_is_rejected);
  tcase_add_test (tcase, test_nul_in_the_target_is_rejected);
  tcase_add_loop_test (tcase, test_answers_are_complete_or_not, 0,
                       sizeof answers / sizeof answers[0]);
  tcase_add_test (tcase, test_bodies_in_chunks_count_together);
  tcase_add_test (tcase, test_fields_are_found_dropped_and_added);
  suite_add_tcase (suite, tcase);
  srunner_run_all (runner, CK_NORMAL);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
