/**
 * DOC: Test double of the users' store with its published HTTP calls: tables of rows in
 * memory, conditional transactions, and a change feed read by long polling.
 *
 * usage: fq-standin-store IP:PORT [ROWS]. An answer to a read of rows has at most ROWS of
 * them, 500 by default. SIGUSR1 makes it answer every call with 503; a further SIGUSR1
 * ends that.
 *
 * POST /standin/copy copies all rows. POST /standin/restore ends all connections with a
 * call, is away for AWAY_SECONDS, and comes back with that copy: versions go back and are
 * given out again, the era rises by one, and the rows of the operators are written again
 * a little later. Reads from a version that it does not have are answered 410.
 *
 * Standard output has a line "call METHOD PATH" for each call of the published interface.
 */
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "filbertquay/errors.h"
#include "http/server.h"
#include "util/text.h"

#define NAME_BYTES 201
#define QUERY_VALUE_BYTES 1024
#define LONG_POLLS_MAX 256
#define ROWS_MAX 500 /* in an answer to a read of rows */
#define AWAY_SECONDS 0.5
#define REWRITE_SECONDS 0.2 /* after the return, until operators have written again */
#define OPERATORS_TABLE "op"
#define STATUS_OK 200
#define STATUS_BAD_REQUEST 400
#define STATUS_NOT_FOUND 404
#define STATUS_GONE 410
#define STATUS_PRECONDITION_FAILED 412
#define STATUS_UNAVAILABLE 503

typedef struct
{
  fq_list_t link; /* in the order of versions */
  char table[NAME_BYTES];
  char part[NAME_BYTES];
  char key[NAME_BYTES];
  char *value;      /* base64; NULL: deleted; the row stays so that the feed reports it */
  uint64_t version; /* of the transaction that last changed the row */
} row_t;

/* A read of the feed that waits for a change of @table. */
typedef struct
{
  fq_id_t id; /* 0: free */
  char table[NAME_BYTES];
  uint64_t after;  /* reports rows with a higher version */
  double deadline; /* when it is answered without a change, in seconds of ev_now() */
} long_poll_t;

static struct ev_loop *loop;
static fq_io_t io;
static fq_http_server_t *server;
static fq_list_t rows;
static uint64_t version; /* of the last applied transaction */
static long_poll_t long_polls[LONG_POLLS_MAX];
static size_t rows_max = ROWS_MAX;
static bool unavailable; /* calls are answered 503 */
static bool away;        /* calls are not answered */
static uint64_t era = 1; /* rises with each restore */
static fq_list_t copied_rows;
static fq_list_t rows_to_rewrite;
static uint64_t copied_version;
static ev_timer return_timer;
static ev_timer rewrite_timer;

/* Returns a deleted row too; NULL: no such row was ever put. */
static row_t *
find_row (const char *table, const char *part, const char *key)
{
  FQ_LIST_FOREACH (link, &rows)
  {
    row_t *row = FQ_LIST_ENTRY (link, row_t, link);

    if (strcmp (row->table, table) == 0 && strcmp (row->part, part) == 0
        && strcmp (row->key, key) == 0)
      return row;
  }
  return NULL;
}

/* Takes ownership of @body; NULL: an answer without a body. */
static void
answer (fq_id_t id, uint16_t status, json_t *body)
{
  fq_http_message_t *message = fq_http_message_new ();
  char number[NAME_BYTES];
  char *text;

  message->status = status;
  snprintf (number, sizeof number, "%llu", (unsigned long long)era);
  fq_http_message_add (message, "Store-Era", number);
  if (body != NULL)
    {
      json_object_set_new (body, "ver", json_integer ((json_int_t)version));
      json_object_set_new (body, "now", json_sprintf ("%.0fms", ev_now (loop) * 1000));
      text = json_dumps (body, JSON_COMPACT);
      if (text == NULL || fq_blob_new (&message->body, text, strlen (text)) < 0)
        abort ();
      free (text);
      json_decref (body);
    }
  fq_http_server_reply (server, id, message);
  fq_http_message_unref (message);
}

static json_t *
row_to_json (const row_t *row)
{
  json_t *json = json_pack ("{s:s,s:s,s:s,s:I}", "table", row->table, "part", row->part,
                            "key", row->key, "ver", (json_int_t)row->version);

  if (row->value == NULL)
    json_object_set_new (json, "deleted", json_true ());
  else
    json_object_set_new (json, "value", json_string (row->value));
  return json;
}

static void
change_row (const json_t *entry, bool remove)
{
  const char *table = json_string_value (json_object_get (entry, "table"));
  const char *part = json_string_value (json_object_get (entry, "part"));
  const char *key = json_string_value (json_object_get (entry, "key"));
  const char *value = json_string_value (json_object_get (entry, "value"));
  row_t *row = find_row (table, part, key);

  if (row == NULL)
    {
      row = calloc (1, sizeof *row);
      if (row == NULL)
        abort ();
      fq_text_copy (row->table, sizeof row->table, table);
      fq_text_copy (row->part, sizeof row->part, part);
      fq_text_copy (row->key, sizeof row->key, key);
      fq_list_init (&row->link);
    }
  free (row->value);
  row->value = remove ? NULL : strdup (value);
  row->version = version;
  fq_list_remove (&row->link);
  fq_list_append (&rows, &row->link);
}

/* @required: a field that must be present besides table, part and key; NULL: none */
static bool
is_valid_entry (const json_t *entry, const char *required)
{
  return json_is_string (json_object_get (entry, "table"))
         && json_is_string (json_object_get (entry, "part"))
         && json_is_string (json_object_get (entry, "key"))
         && (required == NULL || json_object_get (entry, required) != NULL);
}

static bool
are_valid_entries (const json_t *list, const char *required)
{
  if (!json_is_array (list))
    return false;
  for (size_t i = 0; i < json_array_size (list); i++)
    {
      if (!is_valid_entry (json_array_get (list, i), required))
        return false;
    }
  return true;
}

/* A row that does not exist or was deleted has version 0. */
static bool
condition_holds (const json_t *condition)
{
  const row_t *row = find_row (json_string_value (json_object_get (condition, "table")),
                               json_string_value (json_object_get (condition, "part")),
                               json_string_value (json_object_get (condition, "key")));
  uint64_t wanted = (uint64_t)json_integer_value (json_object_get (condition, "ver"));

  return wanted == (row == NULL || row->value == NULL ? 0 : row->version);
}

static json_t *
changes_after (const char *table, uint64_t after)
{
  json_t *list = json_array ();

  FQ_LIST_FOREACH (link, &rows)
  {
    const row_t *row = FQ_LIST_ENTRY (link, row_t, link);

    if (strcmp (row->table, table) == 0 && row->version > after)
      json_array_append_new (list, row_to_json (row));
  }
  return list;
}

/* Answers the long polls for which there is a change or whose deadline has passed. */
static void
answer_long_polls (void)
{
  for (size_t i = 0; i < LONG_POLLS_MAX; i++)
    {
      long_poll_t *poll = &long_polls[i];
      json_t *list;
      fq_id_t id = poll->id;

      if (id == 0)
        continue;
      list = changes_after (poll->table, poll->after);
      if (json_array_size (list) == 0 && ev_now (loop) < poll->deadline)
        {
          json_decref (list);
          continue;
        }
      poll->id = 0;
      answer (id, STATUS_OK, json_pack ("{s:o}", "rows", list));
    }
}

static void
handle_transaction (fq_id_t id, const fq_http_message_t *message)
{
  json_t *root = message->body == NULL ? NULL
                                       : json_loadb ((const char *)message->body->data,
                                                     message->body->size, 0, NULL);
  const json_t *conditions = json_object_get (root, "precondition");
  const json_t *puts = json_object_get (root, "put");
  const json_t *removes = json_object_get (root, "remove");
  bool preconditions_met = true;

  if (!are_valid_entries (conditions, "ver") || !are_valid_entries (puts, "value")
      || !are_valid_entries (removes, NULL))
    {
      json_decref (root);
      answer (id, STATUS_BAD_REQUEST, NULL);
      return;
    }
  for (size_t i = 0; i < json_array_size (conditions); i++)
    preconditions_met
        = preconditions_met && condition_holds (json_array_get (conditions, i));
  if (preconditions_met)
    {
      version++;
      for (size_t i = 0; i < json_array_size (puts); i++)
        change_row (json_array_get (puts, i), false);
      for (size_t i = 0; i < json_array_size (removes); i++)
        change_row (json_array_get (removes, i), true);
    }
  json_decref (root);
  answer (id, preconditions_met ? STATUS_OK : STATUS_PRECONDITION_FAILED, json_object ());
  answer_long_polls ();
}

/* Decodes a query value in place. */
static void
decode_query_value (char *value)
{
  char *to = value;
  unsigned int byte;

  for (const char *at = value; *at != '\0'; to++)
    {
      if (*at == '%' && sscanf (at + 1, "%2x", &byte) == 1)
        {
          *to = (char)byte;
          at += 3;
        }
      else
        *to = *at++;
    }
  *to = '\0';
}

/* Copies the query parameter @name of @target, or an empty text if it is absent. */
static void
query_value (const char *target, const char *name, char *out, size_t size)
{
  const char *at = strchr (target, '?');
  size_t length = strlen (name);

  out[0] = '\0';
  while (at != NULL)
    {
      at++;
      if (strncmp (at, name, length) == 0 && at[length] == '=')
        {
          snprintf (out, size, "%.*s", (int)strcspn (at + length + 1, "&"),
                    at + length + 1);
          decode_query_value (out);
          return;
        }
      at = strchr (at, '&');
    }
}

/* The row of @table with the lowest key above @key, or at least @key if @inclusive. */
static const row_t *
next_row (const char *table, const char *key, bool inclusive)
{
  const row_t *next = NULL;

  FQ_LIST_FOREACH (link, &rows)
  {
    const row_t *row = FQ_LIST_ENTRY (link, row_t, link);
    int order = strcmp (row->key, key);

    if (strcmp (row->table, table) == 0 && row->value != NULL
        && (order > 0 || (inclusive && order == 0))
        && (next == NULL || strcmp (row->key, next->key) < 0))
      next = row;
  }
  return next;
}

static void
handle_rows_get (fq_id_t id, const char *target)
{
  char table[NAME_BYTES];
  char from[QUERY_VALUE_BYTES];
  json_t *list = json_array ();
  const row_t *row;

  query_value (target, "table", table, sizeof table);
  query_value (target, "from", from, sizeof from);
  if (strlen (from) >= NAME_BYTES)
    {
      json_decref (list);
      answer (id, STATUS_BAD_REQUEST, NULL);
      return;
    }
  row = next_row (table, from, true);
  while (row != NULL && json_array_size (list) < rows_max)
    {
      json_array_append_new (list, row_to_json (row));
      row = next_row (table, row->key, false);
    }
  answer (id, STATUS_OK, json_pack ("{s:o,s:b}", "rows", list, "has_more", row != NULL));
}

static void
handle_rows_feed (fq_id_t id, const char *target)
{
  char table[NAME_BYTES];
  char after[NAME_BYTES];
  char wait[NAME_BYTES];

  query_value (target, "table", table, sizeof table);
  query_value (target, "after", after, sizeof after);
  query_value (target, "wait_ms", wait, sizeof wait);
  if (strtoull (after, NULL, 10) > version)
    {
      answer (id, STATUS_GONE, NULL);
      return;
    }
  for (size_t i = 0; i < LONG_POLLS_MAX; i++)
    {
      if (long_polls[i].id != 0)
        continue;
      long_polls[i].id = id;
      long_polls[i].after = strtoull (after, NULL, 10);
      long_polls[i].deadline = ev_now (loop) + strtod (wait, NULL) / 1000;
      memcpy (long_polls[i].table, table, sizeof table);
      answer_long_polls ();
      return;
    }
  answer (id, STATUS_UNAVAILABLE, NULL);
}

static bool
is_request_to (const fq_http_message_t *message, const char *method, const char *path)
{
  return strcmp (message->method, method) == 0
         && strncmp (message->target, path, strlen (path)) == 0;
}

static void
clear_rows (fq_list_t *list)
{
  FQ_LIST_FOREACH_SAFE (link, following, list)
  {
    row_t *row = FQ_LIST_ENTRY (link, row_t, link);

    fq_list_remove (link);
    free (row->value);
    free (row);
  }
}

/* Appends copies of the rows of @table, or of all tables if it is NULL. */
static void
copy_rows (fq_list_t *to, const fq_list_t *from, const char *table)
{
  FQ_LIST_FOREACH (link, from)
  {
    const row_t *row = FQ_LIST_ENTRY (link, row_t, link);
    row_t *copy;

    if (table != NULL && strcmp (row->table, table) != 0)
      continue;
    copy = malloc (sizeof *copy);
    if (copy == NULL)
      abort ();
    *copy = *row;
    copy->value = row->value == NULL ? NULL : strdup (row->value);
    fq_list_init (&copy->link);
    fq_list_append (to, &copy->link);
  }
}

static void
take_copy (void)
{
  clear_rows (&copied_rows);
  copy_rows (&copied_rows, &rows, NULL);
  copied_version = version;
}

static void
begin_restore (void)
{
  for (size_t i = 0; i < LONG_POLLS_MAX; i++)
    {
      if (long_polls[i].id != 0)
        fq_http_server_abort_request (server, long_polls[i].id);
      long_polls[i].id = 0;
    }
  clear_rows (&rows_to_rewrite);
  copy_rows (&rows_to_rewrite, &rows, OPERATORS_TABLE);
  away = true;
  ev_timer_set (&return_timer, AWAY_SECONDS, 0.);
  ev_timer_start (loop, &return_timer);
}

static void
on_return (struct ev_loop *running, ev_timer *timer, int events)
{
  (void)running;
  (void)timer;
  (void)events;
  clear_rows (&rows);
  copy_rows (&rows, &copied_rows, NULL);
  version = copied_version;
  era++;
  away = false;
  ev_timer_set (&rewrite_timer, REWRITE_SECONDS, 0.);
  ev_timer_start (loop, &rewrite_timer);
}

static void
on_rewrite (struct ev_loop *running, ev_timer *timer, int events)
{
  (void)running;
  (void)timer;
  (void)events;
  FQ_LIST_FOREACH (link, &rows_to_rewrite)
  {
    const row_t *row = FQ_LIST_ENTRY (link, row_t, link);
    json_t *entry = row_to_json (row);

    version++;
    change_row (entry, row->value == NULL);
    json_decref (entry);
  }
  answer_long_polls ();
}

/* Carries out a call that only tests make; returns whether it was one. */
static bool
handle_control (fq_id_t id, const fq_http_message_t *message)
{
  if (is_request_to (message, "POST", "/standin/copy"))
    take_copy ();
  else if (is_request_to (message, "POST", "/standin/restore"))
    begin_restore ();
  else
    return false;
  answer (id, STATUS_OK, NULL);
  return true;
}

static void
on_request (void *context, fq_id_t id, fq_http_message_t *message, uint32_t from)
{
  (void)context;
  (void)from;
  if (handle_control (id, message))
    return;
  if (away)
    {
      fq_http_server_abort_request (server, id);
      return;
    }
  printf ("call %s %.*s\n", message->method, (int)strcspn (message->target, "?"),
          message->target);
  fflush (stdout);
  if (unavailable)
    answer (id, STATUS_UNAVAILABLE, NULL);
  else if (is_request_to (message, "POST", "/v1/rows-tx"))
    handle_transaction (id, message);
  else if (is_request_to (message, "GET", "/v1/rows-get?"))
    handle_rows_get (id, message->target);
  else if (is_request_to (message, "GET", "/v1/rows-feed?"))
    handle_rows_feed (id, message->target);
  else
    answer (id, STATUS_NOT_FOUND, NULL);
}

static void
on_client_disconnected (void *context, fq_id_t id)
{
  (void)context;
  for (size_t i = 0; i < LONG_POLLS_MAX; i++)
    {
      if (long_polls[i].id == id)
        long_polls[i].id = 0;
    }
}

static const fq_http_server_handlers_t handlers
    = { .request = on_request, .client_disconnected = on_client_disconnected };

static void
on_poll_timer (struct ev_loop *running, ev_timer *timer, int events)
{
  (void)running;
  (void)timer;
  (void)events;
  answer_long_polls ();
}

static void
on_sigusr1 (struct ev_loop *running, ev_signal *signal_watcher, int events)
{
  (void)running;
  (void)signal_watcher;
  (void)events;
  unavailable = !unavailable;
}

int
main (int argc, char **argv)
{
  fq_http_server_options_t options = FQ_HTTP_SERVER_OPTIONS_INIT;
  struct sockaddr_in address;
  ev_timer poll_timer;
  ev_signal sigusr1;

  loop = ev_default_loop (0);
  fq_list_init (&rows);
  fq_list_init (&copied_rows);
  fq_list_init (&rows_to_rewrite);
  ev_timer_init (&return_timer, on_return, 0., 0.);
  ev_timer_init (&rewrite_timer, on_rewrite, 0., 0.);
  options.idle_timeout_ms = 60000;
  if (argc == 3)
    rows_max = strtoul (argv[2], NULL, 10);
  if (argc < 2 || argc > 3 || rows_max < 2 || fq_address_parse (&address, argv[1]) < 0
      || fq_io_open (&io, loop) < 0
      || fq_http_server_open (&server, &io, &address, &options, &handlers, NULL) < 0)
    {
      fprintf (stderr, "usage: fq-standin-store IP:PORT [ROWS] (%s)\n",
               fq_error_last ()->message);
      return EXIT_FAILURE;
    }
  ev_timer_init (&poll_timer, on_poll_timer, 0.2, 0.2);
  ev_timer_start (loop, &poll_timer);
  ev_signal_init (&sigusr1, on_sigusr1, SIGUSR1);
  ev_signal_start (loop, &sigusr1);
  ev_run (loop, 0);
  return EXIT_SUCCESS;
}
