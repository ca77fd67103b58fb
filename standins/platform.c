/**
 * DOC: Test double of the platform: a transactional table and an object store, held in
 * memory and served over HTTP and JSON.
 *
 * Arguments are name=value: port, writes_per_second, reads_per_second (0: no limit).
 * docs/design/store.md specifies the protocol.
 *
 * POST /fault takes a JSON object; a field that is left out changes nothing:
 *   down_ms             for this time, requests get no answer and have no effect
 *   refuse_ms           for this time, requests are answered 503
 *   delay_ms            time before each request is carried out
 *   drop_answers        number of next writes that are applied but not answered
 *   drop_share          probability, 0 to 1, of the same for each further write
 *   writes_per_second, reads_per_second
 *                       rate limits; requests beyond them are answered 429
 * GET /counters returns the counters and the number of rows and objects. Neither call is
 * subject to the faults.
 */
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "net/http_server.h"
#include "util/random.h"
#include "util/text.h"

#define ROWS_PER_SCAN 256
#define BUCKET_FILLS_PER_SECOND 10 /* a token bucket holds 1/10 s of its rate */
#define OBJECT_PREFIX "/v1/object/"

typedef struct
{
  char *key;
  fq_blob_t *value;
} row_t;

/* Rows, sorted by key. */
typedef struct
{
  row_t *rows;
  size_t count;
  size_t capacity;
} table_t;

typedef struct
{
  double per_second; /* 0: no limit */
  double tokens;
  lws_usec_t refilled_at; /* when tokens were last added */
} token_bucket_t;

/* A request, carried out when the timer expires, or at once without a delay. */
typedef struct
{
  lws_sorted_usec_list_t timer;
  fq_id_t id;
  char method[FQ_METHOD_BYTES];
  char path[FQ_PATH_BYTES];
  fq_blob_t *body; /* NULL: the request has none */
} job_t;

typedef struct
{
  uint64_t reads;
  uint64_t writes;       /* commits, also rejected ones, and objects put */
  uint64_t rows_written; /* puts and deletions in applied commits */
  uint64_t refused;      /* answered 429 by the rate limits */
  uint64_t conflicts;    /* commits answered 409 */
  uint64_t dropped; /* not answered, because of drop_answers, drop_share or down_ms */
} counters_t;

static struct lws_context *context;
static fq_http_server_t *server;
static table_t table;
static table_t objects;
static token_bucket_t write_bucket;
static token_bucket_t read_bucket;
static counters_t counters;
static fq_random_t random_state = { .state = 1 };
static lws_usec_t down_until;        /* requests before this time get no answer */
static lws_usec_t unavailable_until; /* requests before this time are answered 503 */
static lws_usec_t request_delay;     /* before a request is carried out; 0: none */
static uint64_t drop_answers;        /* next writes whose answer is dropped */
static double drop_share;            /* probability of a dropped answer, 0 to 1 */
static volatile sig_atomic_t stopping;

static void
on_signal (int number)
{
  (void)number;
  stopping = 1;
}

/* Returns the index of the first row whose key is not less than @key. */
static size_t
lower_bound (const table_t *in, const char *key)
{
  size_t low = 0;
  size_t high = in->count;

  while (low < high)
    {
      size_t middle = low + (high - low) / 2;

      if (strcmp (in->rows[middle].key, key) < 0)
        low = middle + 1;
      else
        high = middle;
    }
  return low;
}

/* Returns NULL if there is no such row. */
static row_t *
find_row (const table_t *in, const char *key)
{
  size_t at = lower_bound (in, key);

  return at < in->count && strcmp (in->rows[at].key, key) == 0 ? &in->rows[at] : NULL;
}

static void
delete_row (table_t *from, const char *key)
{
  row_t *row = find_row (from, key);

  if (row == NULL)
    return;
  free (row->key);
  fq_blob_unref (row->value);
  from->count--;
  memmove (row, row + 1, (size_t)(from->rows + from->count - row) * sizeof *row);
}

static void
put_row (table_t *into, const char *key, fq_blob_t *value)
{
  size_t at = lower_bound (into, key);
  row_t *row = find_row (into, key);

  if (row != NULL)
    {
      fq_blob_unref (row->value);
      row->value = fq_blob_ref (value);
      return;
    }
  if (into->count == into->capacity)
    {
      into->capacity = into->capacity == 0 ? 64 : into->capacity * 2;
      into->rows = realloc (into->rows, into->capacity * sizeof *into->rows);
      if (into->rows == NULL)
        abort ();
    }
  memmove (into->rows + at + 1, into->rows + at, (into->count - at) * sizeof (row_t));
  into->rows[at] = (row_t){ .key = strdup (key), .value = fq_blob_ref (value) };
  into->count++;
}

static void
free_table (table_t *old)
{
  while (old->count > 0)
    delete_row (old, old->rows[old->count - 1].key);
  free (old->rows);
}

static void
reply_blob (fq_id_t id, uint16_t status, const char *type, fq_blob_t *body)
{
  fq_http_reply_t reply = { .status = status, .content_type = type, .body = body };

  fq_http_server_reply (server, id, &reply);
}

static void
reply_json (fq_id_t id, uint16_t status, json_t *json)
{
  char *text = json_dumps (json, JSON_COMPACT);
  fq_blob_t *body = NULL;

  if (text == NULL || fq_blob_new (&body, text, strlen (text)) < 0)
    abort ();
  reply_blob (id, status, "application/json", body);
  fq_blob_unref (body);
  free (text);
  json_decref (json);
}

static void
reply_status (fq_id_t id, uint16_t status)
{
  reply_json (id, status, json_object ());
}

static json_t *
row_to_json (const row_t *row)
{
  return json_pack ("{s:s, s:s%}", "key", row->key, "value",
                    (const char *)row->value->data, row->value->size);
}

static bool
condition_holds (json_t *write)
{
  const char *condition = json_string_value (json_object_get (write, "condition"));
  const char *expected = json_string_value (json_object_get (write, "expected"));
  const row_t *row
      = find_row (&table, json_string_value (json_object_get (write, "key")));

  if (strcmp (condition, "absent") == 0)
    return row == NULL;
  if (strcmp (condition, "equals") != 0)
    return true;
  return row != NULL && row->value->size == strlen (expected)
         && memcmp (row->value->data, expected, row->value->size) == 0;
}

static bool
is_valid_write (json_t *write)
{
  const char *condition = json_string_value (json_object_get (write, "condition"));
  json_t *value = json_object_get (write, "value");

  if (!json_is_string (json_object_get (write, "key")) || condition == NULL)
    return false;
  if (!json_is_string (value) && !json_is_null (value))
    return false;
  if (strcmp (condition, "equals") == 0)
    return json_is_string (json_object_get (write, "expected"));
  return strcmp (condition, "any") == 0 || strcmp (condition, "absent") == 0;
}

static void
apply_write (json_t *write)
{
  const char *key = json_string_value (json_object_get (write, "key"));
  json_t *value = json_object_get (write, "value");
  fq_blob_t *blob = NULL;

  counters.rows_written++;
  if (json_is_null (value))
    {
      delete_row (&table, key);
      return;
    }
  if (fq_blob_new (&blob, json_string_value (value), json_string_length (value)) < 0)
    abort ();
  put_row (&table, key, blob);
  fq_blob_unref (blob);
}

/* Returns the rows with the keys of @writes; keys without a row are left out. */
static json_t *
current_rows_of (json_t *writes)
{
  json_t *rows = json_array ();
  size_t index;
  json_t *write;

  json_array_foreach (writes, index, write)
  {
    const row_t *row
        = find_row (&table, json_string_value (json_object_get (write, "key")));

    if (row != NULL)
      json_array_append_new (rows, row_to_json (row));
  }
  return rows;
}

/* Applies all of @writes or none and returns the HTTP status. After a conflict, *@rows is
 * the current rows, owned by the caller; else it is unchanged. */
static uint16_t
commit (json_t *writes, json_t **rows)
{
  size_t index;
  json_t *write;

  if (!json_is_array (writes))
    return 400;
  json_array_foreach (writes, index, write)
  {
    if (!is_valid_write (write))
      return 400;
  }
  json_array_foreach (writes, index, write)
  {
    if (condition_holds (write))
      continue;
    counters.conflicts++;
    *rows = current_rows_of (writes);
    return 409;
  }
  json_array_foreach (writes, index, write)
  {
    apply_write (write);
  }
  return 200;
}

/* Returns whether the answer to a write is dropped, and counts drop_answers down. */
static bool
take_answer_drop (void)
{
  if (drop_answers > 0)
    {
      drop_answers--;
      return true;
    }
  return fq_random_unit (&random_state) < drop_share;
}

static void
handle_commit (const job_t *job)
{
  json_t *document = job->body == NULL ? NULL
                                       : json_loadb ((const char *)job->body->data,
                                                     job->body->size, 0, NULL);
  json_t *rows = NULL;
  uint16_t status = commit (json_object_get (document, "writes"), &rows);

  json_decref (document);
  counters.writes++;
  if (take_answer_drop ())
    {
      counters.dropped++;
      json_decref (rows);
      return;
    }
  if (rows == NULL)
    reply_status (job->id, status);
  else
    reply_json (job->id, status, json_pack ("{s:o}", "rows", rows));
}

static int
hex_digit (char c)
{
  if (c >= '0' && c <= '9')
    return c - '0';
  if (c >= 'A' && c <= 'F')
    return c - 'A' + 10;
  return c >= 'a' && c <= 'f' ? c - 'a' + 10 : -1;
}

static void
percent_decode (char *to, size_t size, const char *from, size_t length)
{
  size_t used = 0;

  for (size_t i = 0; i < length && used + 1 < size; i++)
    {
      if (from[i] == '%' && i + 2 < length && hex_digit (from[i + 1]) >= 0
          && hex_digit (from[i + 2]) >= 0)
        {
          to[used++] = (char)(hex_digit (from[i + 1]) * 16 + hex_digit (from[i + 2]));
          i += 2;
        }
      else
        to[used++] = from[i];
    }
  to[used] = '\0';
}

/* Copies the decoded value of a query parameter, or an empty text if it is absent. */
static bool
get_query_parameter (const char *path, const char *name, char *to, size_t size)
{
  size_t length = strlen (name);

  to[0] = '\0';
  for (const char *at = strchr (path, '?'); at != NULL; at = strchr (at, '&'))
    {
      at++;
      if (strncmp (at, name, length) != 0 || at[length] != '=')
        continue;
      percent_decode (to, size, at + length + 1, strcspn (at + length + 1, "&"));
      return true;
    }
  return false;
}

static void
handle_row_get (const job_t *job)
{
  char key[FQ_PATH_BYTES];
  const row_t *row;

  counters.reads++;
  get_query_parameter (job->path, "key", key, sizeof key);
  row = find_row (&table, key);
  if (row == NULL)
    reply_status (job->id, 404);
  else
    reply_json (job->id, 200, row_to_json (row));
}

/* Answers the rows with keys between the parameters "from" and "to", both exclusive; at
 * most "limit" of them, or ROWS_PER_SCAN if it is 0, absent or above that. */
static void
handle_scan (const job_t *job)
{
  char from[FQ_PATH_BYTES];
  char to[FQ_PATH_BYTES];
  char limit_text[FQ_NAME_BYTES];
  json_t *rows = json_array ();
  size_t limit;

  counters.reads++;
  get_query_parameter (job->path, "from", from, sizeof from);
  get_query_parameter (job->path, "to", to, sizeof to);
  get_query_parameter (job->path, "limit", limit_text, sizeof limit_text);
  limit = strtoul (limit_text, NULL, 10);
  if (limit == 0 || limit > ROWS_PER_SCAN)
    limit = ROWS_PER_SCAN;
  for (size_t at = lower_bound (&table, from); at < table.count; at++)
    {
      if (json_array_size (rows) == limit || strcmp (table.rows[at].key, to) >= 0)
        break;
      if (strcmp (table.rows[at].key, from) != 0)
        json_array_append_new (rows, row_to_json (&table.rows[at]));
    }
  reply_json (job->id, 200, json_pack ("{s:o}", "rows", rows));
}

static void
handle_object_get (const job_t *job, const char *key)
{
  const row_t *row = find_row (&objects, key);

  counters.reads++;
  if (row == NULL)
    reply_status (job->id, 404);
  else
    reply_blob (job->id, 200, "application/octet-stream", row->value);
}

static void
handle_object_put (const job_t *job, const char *key)
{
  fq_blob_t *empty = NULL;

  counters.writes++;
  if (job->body == NULL && fq_blob_new (&empty, NULL, 0) < 0)
    abort ();
  put_row (&objects, key, job->body == NULL ? empty : job->body);
  fq_blob_unref (empty);
  if (take_answer_drop ())
    counters.dropped++;
  else
    reply_status (job->id, 200);
}

/* Returns false when the rate limit is exceeded. */
static bool
take_token (token_bucket_t *bucket)
{
  lws_usec_t now = lws_now_usecs ();
  double capacity_tokens = bucket->per_second / BUCKET_FILLS_PER_SECOND;

  if (bucket->per_second <= 0)
    return true;
  bucket->tokens
      += bucket->per_second * (double)(now - bucket->refilled_at) / LWS_US_PER_SEC;
  bucket->refilled_at = now;
  if (bucket->tokens > (capacity_tokens < 1 ? 1 : capacity_tokens))
    bucket->tokens = capacity_tokens < 1 ? 1 : capacity_tokens;
  if (bucket->tokens < 1)
    {
      counters.refused++;
      return false;
    }
  bucket->tokens -= 1;
  return true;
}

static bool
is_path (const char *path, const char *wanted)
{
  size_t length = strlen (wanted);

  return strncmp (path, wanted, length) == 0
         && (path[length] == '\0' || path[length] == '?');
}

static void
dispatch (const job_t *job)
{
  bool writes = strcmp (job->method, "GET") != 0;
  char key[FQ_PATH_BYTES];

  if (lws_now_usecs () < unavailable_until)
    reply_status (job->id, 503);
  else if (!take_token (writes ? &write_bucket : &read_bucket))
    reply_status (job->id, 429);
  else if (is_path (job->path, "/v1/table/commit"))
    handle_commit (job);
  else if (is_path (job->path, "/v1/table/row"))
    handle_row_get (job);
  else if (is_path (job->path, "/v1/table/scan"))
    handle_scan (job);
  else if (strncmp (job->path, OBJECT_PREFIX, strlen (OBJECT_PREFIX)) == 0)
    {
      percent_decode (key, sizeof key, job->path + strlen (OBJECT_PREFIX),
                      strlen (job->path + strlen (OBJECT_PREFIX)));
      if (writes)
        handle_object_put (job, key);
      else
        handle_object_get (job, key);
    }
  else
    reply_status (job->id, 404);
}

static void
process_job (lws_sorted_usec_list_t *timer)
{
  job_t *job = lws_container_of (timer, job_t, timer);

  dispatch (job);
  fq_blob_unref (job->body);
  free (job);
}

static void
read_number_field (json_t *document, const char *name, double *to)
{
  json_t *number = json_object_get (document, name);

  if (number != NULL)
    *to = json_number_value (number);
}

static void
read_rate_field (json_t *document, const char *name, token_bucket_t *bucket)
{
  if (json_object_get (document, name) == NULL)
    return;
  read_number_field (document, name, &bucket->per_second);
  bucket->tokens = 0;
  bucket->refilled_at = lws_now_usecs ();
}

static void
set_faults (const fq_http_inbound_request_t *http)
{
  json_t *document = http->body == NULL ? NULL
                                        : json_loadb ((const char *)http->body->data,
                                                      http->body->size, 0, NULL);
  double down_ms = -1;
  double refuse_ms = -1;
  double delay_ms = (double)request_delay / LWS_US_PER_MS;
  double dropped = (double)drop_answers;

  read_number_field (document, "down_ms", &down_ms);
  read_number_field (document, "refuse_ms", &refuse_ms);
  read_number_field (document, "delay_ms", &delay_ms);
  read_number_field (document, "drop_answers", &dropped);
  read_number_field (document, "drop_share", &drop_share);
  read_rate_field (document, "writes_per_second", &write_bucket);
  read_rate_field (document, "reads_per_second", &read_bucket);
  if (down_ms >= 0)
    down_until = lws_now_usecs () + (lws_usec_t)(down_ms * LWS_US_PER_MS);
  if (refuse_ms >= 0)
    unavailable_until = lws_now_usecs () + (lws_usec_t)(refuse_ms * LWS_US_PER_MS);
  request_delay = (lws_usec_t)(delay_ms * LWS_US_PER_MS);
  drop_answers = (uint64_t)dropped;
  reply_status (http->id, document == NULL ? 400 : 200);
  json_decref (document);
}

static void
reply_counters (fq_id_t id)
{
  reply_json (
      id, 200,
      json_pack ("{s:I, s:I, s:I, s:I, s:I, s:I, s:I, s:I}", "reads",
                 (json_int_t)counters.reads, "writes", (json_int_t)counters.writes,
                 "rows_written", (json_int_t)counters.rows_written, "refused",
                 (json_int_t)counters.refused, "conflicts",
                 (json_int_t)counters.conflicts, "dropped", (json_int_t)counters.dropped,
                 "rows", (json_int_t)table.count, "objects", (json_int_t)objects.count));
}

static void
on_request (void *user, const fq_http_inbound_request_t *http)
{
  job_t *job;

  (void)user;
  if (is_path (http->path, "/fault"))
    {
      set_faults (http);
      return;
    }
  if (is_path (http->path, "/counters"))
    {
      reply_counters (http->id);
      return;
    }
  if (lws_now_usecs () < down_until)
    {
      counters.dropped++;
      return;
    }
  job = calloc (1, sizeof *job);
  if (job == NULL)
    abort ();
  job->id = http->id;
  fq_text_copy (job->method, sizeof job->method, http->method);
  fq_text_copy (job->path, sizeof job->path, http->path);
  job->body = fq_blob_ref (http->body);
  if (request_delay > 0)
    lws_sul_schedule (context, 0, &job->timer, process_job, request_delay);
  else
    process_job (&job->timer);
}

/* A request takes effect even if its client disconnects before the answer. */
static void
on_client_disconnected (void *user, fq_id_t id)
{
  (void)user;
  (void)id;
}

static void
set_option (int *port, const char *text)
{
  const char *value = strchr (text, '=');

  if (value == NULL)
    return;
  value++;
  if (strncmp (text, "port=", 5) == 0)
    *port = atoi (value);
  else if (strncmp (text, "writes_per_second=", 18) == 0)
    write_bucket.per_second = atof (value);
  else if (strncmp (text, "reads_per_second=", 17) == 0)
    read_bucket.per_second = atof (value);
}

int
main (int argc, char **argv)
{
  struct lws_context_creation_info info = { 0 };
  fq_http_server_options_t options = FQ_HTTP_SERVER_OPTIONS_INIT;

  for (int i = 1; i < argc; i++)
    set_option (&options.port, argv[i]);
  signal (SIGTERM, on_signal);
  signal (SIGPIPE, SIG_IGN);
  lws_set_log_level (LLL_ERR, NULL);
  info.port = CONTEXT_PORT_NO_LISTEN;
  info.options = LWS_SERVER_OPTION_EXPLICIT_VHOSTS;
  context = lws_create_context (&info);
  options.name = "platform";
  options.address = "127.0.0.1";
  options.on_request = on_request;
  options.on_client_disconnected = on_client_disconnected;
  if (context == NULL || fq_http_server_new (&server, context, &options) < 0)
    {
      fprintf (stderr, "fq-standin-platform: %s\n", fq_error_last ()->message);
      return EXIT_FAILURE;
    }
  while (!stopping)
    lws_service (context, 0);
  lws_context_destroy (context);
  fq_http_server_free (server);
  free_table (&table);
  free_table (&objects);
  return EXIT_SUCCESS;
}
