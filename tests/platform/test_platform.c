/**
 * DOC: Tests of the platform adapter: documents, calls and fields, valid and invalid.
 */
#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "config_document.h"
#include "exchange.h"
#include "filbertquay/errors.h"
#include "server_report.h"
#include "store_calls.h"

#define SERVICES                                                                         \
  "\"services\":[{\"name\":\"a\",\"health_path\":\"/h\",\"max_connections\":5},"         \
  "{\"name\":\"b\",\"health_path\":\"/h\",\"max_connections\":5}]"
#define LIMITS                                                                           \
  "\"limits\":{\"max_header_bytes\":100,\"max_body_bytes\":200,"                         \
  "\"header_timeout\":\"3000ms\",\"idle_timeout\":\"15s\"}"
#define ROUTE(rest)                                                                      \
  "\"virtual_hosts\":[{\"host\":\"h\",\"paths\":[{\"name\":\"r\",\"prefix\":\"/p/\","    \
  "\"target_latency\":\"1500ms\",\"priority\":2," rest "}]}]"
#define GOOD_ROUTE                                                                       \
  ROUTE (                                                                                \
      "\"route_type\":\"safe\",\"timeout\":\"1s\",\"max_attempts\":2,\"service\":\"a\"")

static const char valid_config[]
    = "{\"version\":7,\"new_field\":1," SERVICES "," LIMITS "," GOOD_ROUTE "}";

START_TEST (test_config_document_is_parsed)
{
  fq_config_t *config;
  const fq_route_t *route;

  ck_assert_int_eq (
      fq_platform_read_config (&config, valid_config, strlen (valid_config)), 0);
  ck_assert_uint_eq (config->version, 7);
  ck_assert_uint_eq (config->limits.head_bytes, 100);
  ck_assert_uint_eq (config->limits.idle_timeout_ms, 15000);
  route = fq_config_find_route (config, "h", "/p/x");
  ck_assert_ptr_nonnull (route);
  ck_assert (route->idempotent);
  ck_assert_uint_eq (route->timeout_ms, 1000);
  ck_assert_uint_eq (route->latency_objective_ms, 1500);
  ck_assert_uint_eq (route->priority, 2);
  ck_assert_uint_eq (config->document_size, strlen (valid_config));
  fq_config_unref (config);
}
END_TEST

static const char *const bad_configs[] = {
  "",
  "{\"version\":7," SERVICES "," LIMITS ",\"virtual_hosts\":[{\"host\":\"h\"",
  "[]",
  "{" SERVICES "," LIMITS "," GOOD_ROUTE "}",
  "{\"version\":\"7\"," SERVICES "," LIMITS "," GOOD_ROUTE "}",
  "{\"version\":7," LIMITS "," GOOD_ROUTE "}",
  "{\"version\":7," SERVICES "," GOOD_ROUTE "}",
  "{\"version\":7," SERVICES "," LIMITS "}",
  "{\"version\":7," SERVICES "," LIMITS
  "," ROUTE ("\"route_type\":\"safe\",\"timeout\":\"1s\",\"max_attempts\":2,"
             "\"service\":\"unknown\"") "}",
  "{\"version\":7," SERVICES "," LIMITS
  "," ROUTE ("\"route_type\":\"odd\",\"timeout\":\"1s\",\"max_attempts\":2,\"service\":"
             "\"a\"") "}",
  "{\"version\":7," SERVICES "," LIMITS
  "," ROUTE ("\"route_type\":\"safe\",\"timeout\":\"1s\",\"max_attempts\":0,\"service\":"
             "\"a\"") "}",
  "{\"version\":7," SERVICES "," LIMITS
  "," ROUTE ("\"route_type\":\"safe\",\"timeout\":\"1s\",\"service\":\"a\"") "}",
  "{\"version\":7," SERVICES "," LIMITS
  "," ROUTE ("\"route_type\":\"safe\",\"timeout\":1000,\"max_attempts\":2,\"service\":"
             "\"a\"") "}",
  "{\"version\":7," SERVICES "," LIMITS "," ROUTE (
      "\"route_type\":\"safe\",\"timeout\":\"1s\",\"max_attempts\":2,"
      "\"traffic_split\":[{\"service\":\"a\"},{\"service\":\"b\",\"weight\":1}]") "}",
  "{\"version\":7," SERVICES "," LIMITS
  "," ROUTE ("\"route_type\":\"safe\",\"timeout\":\"1s\",\"max_attempts\":2,"
             "\"traffic_split\":[{\"service\":\"a\",\"weight\":0}]") "}",
  "{\"version\":7," SERVICES "," LIMITS
  "," ROUTE ("\"route_type\":\"safe\",\"timeout\":\"1s\",\"max_attempts\":2,"
             "\"traffic_split\":[]") "}",
  "{\"version\":7," SERVICES "," LIMITS ",\"virtual_hosts\":[{\"host\":\"h\",\"paths\":["
  "{\"name\":\"r\",\"prefix\":\"/p/\",\"route_type\":\"safe\",\"timeout\":\"1s\","
  "\"max_attempts\":2,\"service\":\"a\"},"
  "{\"name\":\"s\",\"prefix\":\"/p/\",\"route_type\":\"safe\",\"timeout\":\"1s\","
  "\"max_attempts\":2,\"service\":\"a\"}]}]}",
};

START_TEST (test_invalid_config_yields_no_config)
{
  fq_config_t *config = NULL;

  ck_assert_int_lt (
      fq_platform_read_config (&config, bad_configs[_i], strlen (bad_configs[_i])), 0);
  ck_assert_ptr_null (config);
}
END_TEST

static fq_http_message_t *
new_request (const char *target, const char *body)
{
  fq_http_message_t *message = fq_http_message_new ();

  strcpy (message->method, "POST");
  message->target = strdup (target);
  if (body != NULL)
    ck_assert_int_eq (fq_blob_new (&message->body, body, strlen (body)), 0);
  return message;
}

#define INFO "\"info\":{\"service\":\"a\",\"version\":\"v1\",\"zone\":\"z\",\"slots\":4}"
#define STATUS "\"status\":{\"state\":\"ready\",\"sequence\":4,\"warmup_left\":\"10ms\"}"
#define ADDRESS "\"address\":\"10.0.0.1:80\""
#define HEARTBEAT "/v1/Instances.Heartbeat/i-1"
#define DEREGISTER "/v1/Instances.Deregister/i-1"

/* A row: a call of a server, the result, and what was parsed. */
static const struct
{
  const char *target;
  const char *body;
  int result;
  fq_platform_server_call_t call;
  uint64_t started_ms;
  bool draining;
} reports[] = {
  { HEARTBEAT, "{\"born\":99," ADDRESS "," INFO "," STATUS "}", 0, FQ_PLATFORM_REPORT,
    99 },
  { HEARTBEAT,
    "{" ADDRESS ",\"info\":{\"service\":\"a\",\"slots\":4294967297},"
    "\"status\":{\"state\":\"ready\",\"sequence\":4,\"warmup_left\":\"4294968s\"}}",
    0, FQ_PLATFORM_REPORT, 0 },
  { HEARTBEAT, "{\"more\":[]," ADDRESS "," INFO "," STATUS "}", 0, FQ_PLATFORM_REPORT,
    0 },
  { HEARTBEAT,
    "{" ADDRESS "," INFO ",\"status\":{\"state\":\"draining\",\"sequence\":4}}", 0,
    FQ_PLATFORM_REPORT, 0, true },
  { HEARTBEAT,
    "{\"born\":null," ADDRESS "," INFO
    ",\"status\":{\"state\":\"ready\",\"sequence\":4,\"warmup_left\":null}}",
    0, FQ_PLATFORM_REPORT, 0 },
  { DEREGISTER, "{\"born\":null}", 0, FQ_PLATFORM_DEREGISTER, 0 },
  { DEREGISTER, NULL, 0, FQ_PLATFORM_DEREGISTER, 0 },
  { DEREGISTER, "{\"born\":99}", 0, FQ_PLATFORM_DEREGISTER, 99 },
  { DEREGISTER, "{}", 0, FQ_PLATFORM_DEREGISTER, 0 },
  { DEREGISTER, "{", FQ_ERROR_INVALID },
  { DEREGISTER, "[]", FQ_ERROR_INVALID },
  { DEREGISTER, "{\"born\":\"99\"}", FQ_ERROR_INVALID },
  { DEREGISTER, "{\"born\":99999999999999999999}", FQ_ERROR_INVALID },
  { "/v1/Instances.Other/i-1", "{}", FQ_ERROR_NOTFOUND },
  { "/v1/Instances.Heartbeat/", "{" ADDRESS "," INFO "," STATUS "}", FQ_ERROR_INVALID },
  { HEARTBEAT, NULL, FQ_ERROR_INVALID },
  { HEARTBEAT, "\x01\x02", FQ_ERROR_INVALID },
  { HEARTBEAT, "{" INFO "," STATUS "}", FQ_ERROR_INVALID },
  { HEARTBEAT, "{" ADDRESS "," STATUS "}", FQ_ERROR_INVALID },
  { HEARTBEAT, "{" ADDRESS "," INFO "}", FQ_ERROR_INVALID },
  { HEARTBEAT, "{\"born\":9.5," ADDRESS "," INFO "," STATUS "}", FQ_ERROR_INVALID },
  { HEARTBEAT, "{" ADDRESS "," INFO ",\"status\":{\"state\":\"odd\",\"sequence\":4}}",
    FQ_ERROR_INVALID },
  { HEARTBEAT,
    "{" ADDRESS "," INFO ",\"status\":{\"state\":\"ready\",\"sequence\":\"4\"}}",
    FQ_ERROR_INVALID },
  { HEARTBEAT, "{" ADDRESS ",\"info\":{\"service\":\"a\",\"slots\":0}," STATUS "}",
    FQ_ERROR_INVALID },
  { HEARTBEAT, "{" ADDRESS ",\"info\":{\"service\":7,\"slots\":4}," STATUS "}",
    FQ_ERROR_INVALID },
};

START_TEST (test_server_calls_are_parsed_or_rejected)
{
  fq_http_message_t *message = new_request (reports[_i].target, reports[_i].body);
  fq_platform_server_call_t call;
  fq_server_report_t report;
  char address[FQ_ADDRESS_BYTES];

  ck_assert_int_eq (fq_platform_read_report (&call, &report, address, message),
                    reports[_i].result);
  if (reports[_i].result == 0)
    {
      ck_assert_int_eq (call, reports[_i].call);
      ck_assert_str_eq (fq_text_chars (report.instance), "i-1");
      ck_assert_uint_eq (report.started_ms, reports[_i].started_ms);
      ck_assert_int_eq (report.draining, reports[_i].draining);
    }
  fq_server_report_clear (&report);
  fq_http_message_unref (message);
}
END_TEST

START_TEST (test_internal_fields_of_requests_are_replaced)
{
  fq_text_t *instance = fq_text_new ("i-1");
  fq_text_t *caller = fq_text_new ("mine");
  fq_http_message_t *message = new_request ("/p/x", "b");
  fq_mesh_request_t request = { 0 };
  fq_http_message_t *sent;

  fq_http_message_add (message, "Host", "h");
  fq_http_message_add (message, "X-Attempt-Id", "one.two");
  fq_http_message_add (message, "X-Timeout-Ms", "1200");
  fq_http_message_add (message, "X-Caller-Service", "forged");
  fq_http_message_add (message, "X-Target-Instance", "forged");
  fq_http_message_add (message, "X-Own", "kept");
  fq_platform_read_request (message, &request);
  ck_assert_str_eq (fq_text_chars (request.request_id), "one.two");
  ck_assert_str_eq (fq_text_chars (request.parent_id), "one");
  ck_assert_str_eq (fq_text_chars (request.host), "h");
  ck_assert_uint_eq (request.remaining_ms, 1200);
  sent = fq_platform_server_request (message, 900, instance, caller);
  ck_assert_str_eq (sent->fields, "Host: h\r\nX-Attempt-Id: one.two\r\nX-Own: kept\r\n"
                                  "X-Timeout-Ms: 900\r\nX-Target-Instance: i-1\r\n"
                                  "X-Caller-Service: mine\r\n");
  ck_assert_ptr_eq (sent->body, message->body);
  fq_http_message_unref (sent);
  fq_http_message_unref (message);
  fq_mesh_request_clear (&request);
  fq_text_unref (instance);
  fq_text_unref (caller);
}
END_TEST

#define TWENTY_DIGITS "01234567890123456789"
#define HUNDRED_DIGITS                                                                   \
  TWENTY_DIGITS TWENTY_DIGITS TWENTY_DIGITS TWENTY_DIGITS TWENTY_DIGITS
#define SIX_HUNDRED_DIGITS                                                               \
  HUNDRED_DIGITS HUNDRED_DIGITS HUNDRED_DIGITS HUNDRED_DIGITS HUNDRED_DIGITS             \
      HUNDRED_DIGITS

/* Answers to request "r1", for test_server_answers_are_classified. */
static const struct
{
  uint16_t status;
  const char *fields;
  fq_http_match_t match;
  fq_server_outcome_t outcome;
} answers[] = {
  { 200, "X-Attempt-Id: r1\r\nX-Response-Signature: s\r\n", FQ_HTTP_MATCH_CALL,
    FQ_SERVER_ANSWERED },
  { 500, "X-Attempt-Id: r1\r\n", FQ_HTTP_MATCH_CALL, FQ_SERVER_ANSWERED },
  { 200, "X-Attempt-Id: r0\r\nX-Response-Signature: s\r\n", FQ_HTTP_MATCH_OTHER,
    FQ_SERVER_ANSWERED },
  { 200, "X-Attempt-Id: r1\r\n", FQ_HTTP_MATCH_CALL, FQ_SERVER_ANSWER_INVALID },
  { 200, "X-Response-Signature: s\r\n", FQ_HTTP_MATCH_LAST, FQ_SERVER_ANSWER_INVALID },
  { 200, "X-Attempt-Id: r1\r\nX-Response-Signature: s\r\nContent-Encoding: gzip\r\n",
    FQ_HTTP_MATCH_CALL, FQ_SERVER_ANSWER_INVALID },
  { 503, "X-Not-Executed: 1\r\n", FQ_HTTP_MATCH_LAST, FQ_SERVER_NOT_EXECUTED },
  { 400, "X-Not-Executed: 1\r\n", FQ_HTTP_MATCH_LAST, FQ_SERVER_ANSWERED },
  { 429, "X-Attempt-Id: r1\r\nX-Not-Executed: 1\r\n", FQ_HTTP_MATCH_LAST,
    FQ_SERVER_NOT_EXECUTED },
  { 421, "X-Attempt-Id: r1\r\nX-Instance-Id: i-2\r\n", FQ_HTTP_MATCH_LAST,
    FQ_SERVER_INSTANCE_MISMATCH },
  { 503, "X-Attempt-Id: r1\r\n", FQ_HTTP_MATCH_CALL, FQ_SERVER_ANSWERED },
  { 421, "X-Instance-Id: i-2\r\n", FQ_HTTP_MATCH_LAST, FQ_SERVER_INSTANCE_MISMATCH },
  { 200, "X-Attempt-Id: r1\r\nX-Response-Signature: " SIX_HUNDRED_DIGITS "\r\n",
    FQ_HTTP_MATCH_CALL, FQ_SERVER_ANSWERED },
  { 503, "X-Attempt-Id: r1\r\nX-Not-Executed: " SIX_HUNDRED_DIGITS "\r\n",
    FQ_HTTP_MATCH_LAST, FQ_SERVER_NOT_EXECUTED },
  { 200, "X-Attempt-Id: " SIX_HUNDRED_DIGITS "\r\nX-Response-Signature: s\r\n",
    FQ_HTTP_MATCH_OTHER, FQ_SERVER_ANSWERED },
};

/* A row: a time limit that a client states, and what is read. */
static const struct
{
  const char *text;
  uint32_t ms;
} timeouts[] = {
  { "1", 1 },
  { "4294967296", UINT32_MAX },
  { "000000000000000000000000000000000000001500", 1500 },
  { "999999999999999999999999999999999999999999", UINT32_MAX },
  { "", 0 },
  { "-5", 0 },
  { "12x", 0 },
};

/* Guards against a large time limit that was taken for none. */
START_TEST (test_time_limit_of_any_size_is_read)
{
  fq_http_message_t *message = new_request ("/p/x", NULL);
  fq_mesh_request_t request = { 0 };

  fq_http_message_add (message, "X-Timeout-Ms", timeouts[_i].text);
  fq_platform_read_request (message, &request);
  ck_assert_uint_eq (request.remaining_ms, timeouts[_i].ms);
  fq_http_message_unref (message);
  fq_mesh_request_clear (&request);
}
END_TEST

/* An id of nine internal calls, each of which appends its own id to that of its parent.
 */
START_TEST (test_id_of_nested_call_is_not_truncated)
{
  fq_http_message_t *message = new_request ("/p/x", NULL);
  fq_mesh_request_t request = { 0 };
  char id[256] = "0123456789abcdef";

  for (int depth = 1; depth < 9; depth++)
    strcat (id, ".0123456789abcdef");
  fq_http_message_add (message, "X-Attempt-Id", id);
  fq_platform_read_request (message, &request);
  ck_assert_str_eq (fq_text_chars (request.request_id), id);
  ck_assert_uint_eq (fq_text_size (request.parent_id), strlen (id) - 17);
  fq_http_message_unref (message);
  fq_mesh_request_clear (&request);
}
END_TEST

START_TEST (test_server_answers_are_classified)
{
  fq_http_message_t *answer = fq_http_message_new ();
  fq_text_t *request_id = fq_text_new ("r1");

  answer->status = answers[_i].status;
  free (answer->fields);
  answer->fields = strdup (answers[_i].fields);
  ck_assert_int_eq (fq_platform_match_answer (answer, request_id), answers[_i].match);
  ck_assert_int_eq (fq_platform_classify_answer (answer), answers[_i].outcome);
  fq_http_message_unref (answer);
  fq_text_unref (request_id);
}
END_TEST

/* Fields of answers, for test_notices_of_servers_are_parsed_or_ignored. */
static const struct
{
  const char *fields;
  fq_rate_statement_t statement;
  double rate_limit;
  bool leaving;
} notices[] = {
  { "", FQ_RATE_UNSTATED, 0, false },
  { "Server-Limit: 26.3\r\n", FQ_RATE_STATED, 26.3, false },
  { "server-limit: 400\r\nServer-Leaving: 1\r\n", FQ_RATE_STATED, 400, true },
  { "Server-Limit: 0.5\r\n", FQ_RATE_STATED, 0.5, false },
  { "Server-Limit: 0.50000000000000000000000000000000\r\n", FQ_RATE_STATED, 0.5, false },
  { "Server-Limit: 00000000000000000000000000000000400\r\n", FQ_RATE_STATED, 400, false },
  { "Server-Limit: 0\r\n", FQ_RATE_STATED, 0, false },
  { "Server-Leaving: 1\r\n", FQ_RATE_UNSTATED, 0, true },
  { "Server-Leaving: 0\r\n", FQ_RATE_UNSTATED, 0, false },
  { "Server-Leaving: yes\r\n", FQ_RATE_UNSTATED, 0, false },
  { "Server-Limit: \r\n", FQ_RATE_MALFORMED, 0, false },
  { "Server-Limit: -1\r\n", FQ_RATE_MALFORMED, 0, false },
  { "Server-Limit: +1\r\n", FQ_RATE_MALFORMED, 0, false },
  { "Server-Limit: 1e3\r\n", FQ_RATE_MALFORMED, 0, false },
  { "Server-Limit: 5.\r\n", FQ_RATE_MALFORMED, 0, false },
  { "Server-Limit: .5\r\n", FQ_RATE_MALFORMED, 0, false },
  { "Server-Limit: nan\r\n", FQ_RATE_MALFORMED, 0, false },
  { "Server-Limit: 0x10\r\n", FQ_RATE_MALFORMED, 0, false },
  { "Server-Limit: 5 5\r\n", FQ_RATE_MALFORMED, 0, false },
  { "Server-Limit: 1000001\r\n", FQ_RATE_MALFORMED, 0, false },
  { "Server-Limit: 99999999999999999999999999999999999\r\n", FQ_RATE_MALFORMED, 0,
    false },
  { "Server-Limit: 5\r\nServer-Limit: 5\r\n", FQ_RATE_MALFORMED, 0, false },
  { "Server-Limit: x\r\nServer-Leaving: 1\r\n", FQ_RATE_MALFORMED, 0, true },
};

START_TEST (test_notices_of_servers_are_parsed_or_ignored)
{
  fq_http_message_t *answer = fq_http_message_new ();
  fq_server_notice_t notice;

  free (answer->fields);
  answer->fields = strdup (notices[_i].fields);
  fq_platform_read_notice (answer, &notice);
  ck_assert_int_eq (notice.rate_statement, notices[_i].statement);
  ck_assert_double_eq (notice.rate_limit, notices[_i].rate_limit);
  ck_assert (notice.leaving == notices[_i].leaving);
  fq_http_message_unref (answer);
}
END_TEST

START_TEST (test_local_answer_has_retry_after)
{
  fq_http_message_t *answer = fq_platform_local_answer (503, 1250, "no-room");
  char value[16];

  ck_assert (fq_http_message_get (answer, "Retry-After", value, sizeof value));
  ck_assert_str_eq (value, "1.250");
  fq_http_message_unref (answer);
}
END_TEST

START_TEST (test_valid_rows_are_parsed)
{
  static const char body[]
      = "{\"rows\":[{\"table\":\"op\",\"part\":\"\",\"key\":\"config\",\"value\":\"YWI="
        "\","
        "\"ver\":3},{\"key\":5},{\"key\":\"gone\",\"ver\":4,\"deleted\":true}],"
        "\"has_more\":false,\"ver\":9,\"now\":\"5ms\"}";
  fq_http_message_t *answer = fq_http_message_new ();
  fq_platform_rows_t rows;

  answer->status = 200;
  ck_assert_int_eq (fq_blob_new (&answer->body, body, strlen (body)), 0);
  ck_assert_int_eq (fq_platform_parse_rows (&rows, answer), 0);
  ck_assert_uint_eq (rows.count, 2);
  ck_assert_uint_eq (rows.version, 9);
  ck_assert_uint_eq (rows.rows[0].value->size, 2);
  ck_assert (rows.rows[1].removed);
  fq_platform_rows_clear (&rows);
  answer->status = 503;
  ck_assert_int_lt (fq_platform_parse_rows (&rows, answer), 0);
  fq_http_message_unref (answer);
}
END_TEST

#define LONGEST_KEY HUNDRED_DIGITS HUNDRED_DIGITS /* that the store takes */

/* Guards against one odd row of another writer that keeps nodes from reading the others.
 */
static const char *const odd_rows[] = {
  "{}",
  "7",
  "null",
  "[[[[[[[[[[[[[[[[[[[[]]]]]]]]]]]]]]]]]]]]",
  "{\"key\":\"a\\u0000b\",\"value\":\"YWI=\",\"ver\":1}",
  "{\"key\":\"\",\"value\":\"YWI=\",\"ver\":1}",
  "{\"key\":7,\"value\":\"YWI=\",\"ver\":1}",
  "{\"key\":\"a\",\"value\":\"YWI=\",\"ver\":-1}",
  "{\"key\":\"a\",\"value\":\"YWI=\",\"ver\":1.5}",
  "{\"key\":\"a\",\"value\":\"=\",\"ver\":1}",
  "{\"key\":\"a\",\"value\":[[[]]],\"ver\":1}",
  "{\"key\":\"" LONGEST_KEY "0\",\"value\":\"YWI=\",\"ver\":1}",
};

/* Guards against a row that is left out for the length of its key, which the store takes,
 * and against pages that can't be continued after a row that is left out. */
START_TEST (test_longest_key_is_read)
{
  static const char body[] = "{\"rows\":[{\"key\":\"" LONGEST_KEY "\",\"value\":\"YWI=\","
                             "\"ver\":1},{\"key\":\"last\",\"value\":\"=\",\"ver\":1}],"
                             "\"has_more\":true,\"ver\":9}";
  fq_http_message_t *answer = fq_http_message_new ();
  fq_http_message_t *request;
  fq_platform_rows_t rows;

  answer->status = 200;
  ck_assert_int_eq (fq_blob_new (&answer->body, body, strlen (body)), 0);
  ck_assert_int_eq (fq_platform_parse_rows (&rows, answer), 0);
  ck_assert_uint_eq (rows.count, 1);
  ck_assert_str_eq (rows.rows[0].key, LONGEST_KEY);
  ck_assert (rows.more_available);
  ck_assert_str_eq (rows.last_key, "last");
  fq_platform_rows_clear (&rows);
  fq_http_message_unref (answer);
  request = fq_platform_rows_request (FQ_PLATFORM_TABLE_NODES, "s", "a &%\xc3\xa9");
  ck_assert_ptr_nonnull (strstr (request->target, "&from=a%20%26%25%C3%A9&"));
  fq_http_message_unref (request);
}
END_TEST

START_TEST (test_odd_row_does_not_hide_the_others)
{
  static const char good[] = "{\"key\":\"10.0.0.%d\",\"value\":\"YWI=\",\"ver\":3}";
  fq_http_message_t *answer = fq_http_message_new ();
  fq_platform_rows_t rows;
  char body[1024];
  char row[2][64];

  for (int i = 0; i < 2; i++)
    snprintf (row[i], sizeof row[i], good, i);
  snprintf (body, sizeof body, "{\"rows\":[%s,%s,%s],\"ver\":9}", row[0], odd_rows[_i],
            row[1]);
  answer->status = 200;
  ck_assert_int_eq (fq_blob_new (&answer->body, body, strlen (body)), 0);
  ck_assert_int_eq (fq_platform_parse_rows (&rows, answer), 0);
  ck_assert_uint_eq (rows.count, 2);
  ck_assert_str_eq (rows.rows[0].key, "10.0.0.0");
  ck_assert_str_eq (rows.rows[1].key, "10.0.0.1");
  fq_platform_rows_clear (&rows);
  fq_http_message_unref (answer);
}
END_TEST

START_TEST (test_malformed_rows_are_an_error_and_not_an_empty_list)
{
  static const char *const bodies[] = { "", "{", "{}", "{\"rows\":{}}", "{\"rows\":[]}" };
  fq_http_message_t *answer = fq_http_message_new ();
  fq_platform_rows_t rows;

  answer->status = 200;
  ck_assert_int_eq (fq_blob_new (&answer->body, bodies[_i], strlen (bodies[_i])), 0);
  ck_assert_int_lt (fq_platform_parse_rows (&rows, answer), 0);
  fq_http_message_unref (answer);
}
END_TEST

static const struct
{
  const char *fields;
  bool stated;
  uint64_t era;
} eras[] = {
  { "", false, 0 },
  { "Store-Era: 0\r\n", true, 0 },
  { "Store-Era: 1\r\n", true, 1 },
  { "store-era: 18446744073709551615\r\n", true, UINT64_MAX },
  { "Store-Era: 18446744073709551616\r\n", false, 0 },
  { "Store-Era: -1\r\n", false, 0 },
  { "Store-Era: 2x\r\n", false, 0 },
  { "Store-Era: \r\n", false, 0 },
};

START_TEST (test_era_of_store_is_parsed)
{
  fq_http_message_t *answer = fq_http_message_new ();
  uint64_t era;

  free (answer->fields);
  answer->fields = strdup (eras[_i].fields);
  ck_assert (fq_platform_store_era (answer, &era) == eras[_i].stated);
  ck_assert_uint_eq (era, eras[_i].era);
  fq_http_message_unref (answer);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("platform");
  TCase *tcase = tcase_create ("platform");
  SRunner *runner = srunner_create (suite);
  int failed;

  tcase_add_test (tcase, test_config_document_is_parsed);
  tcase_add_loop_test (tcase, test_invalid_config_yields_no_config, 0,
                       sizeof bad_configs / sizeof bad_configs[0]);
  tcase_add_loop_test (tcase, test_server_calls_are_parsed_or_rejected, 0,
                       sizeof reports / sizeof reports[0]);
  tcase_add_test (tcase, test_internal_fields_of_requests_are_replaced);
  tcase_add_loop_test (tcase, test_time_limit_of_any_size_is_read, 0,
                       sizeof timeouts / sizeof timeouts[0]);
  tcase_add_test (tcase, test_id_of_nested_call_is_not_truncated);
  tcase_add_loop_test (tcase, test_server_answers_are_classified, 0,
                       sizeof answers / sizeof answers[0]);
  tcase_add_loop_test (tcase, test_notices_of_servers_are_parsed_or_ignored, 0,
                       sizeof notices / sizeof notices[0]);
  tcase_add_test (tcase, test_local_answer_has_retry_after);
  tcase_add_test (tcase, test_valid_rows_are_parsed);
  tcase_add_test (tcase, test_longest_key_is_read);
  tcase_add_loop_test (tcase, test_odd_row_does_not_hide_the_others, 0,
                       sizeof odd_rows / sizeof odd_rows[0]);
  tcase_add_loop_test (tcase, test_malformed_rows_are_an_error_and_not_an_empty_list, 0,
                       5);
  tcase_add_loop_test (tcase, test_era_of_store_is_parsed, 0,
                       sizeof eras / sizeof eras[0]);
  suite_add_tcase (suite, tcase);
  srunner_run_all (runner, CK_NORMAL);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
