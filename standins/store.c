/**
 * DOC: A stand-in for the users' store, by its published calls: rows of tables in memory,
 * transactions under conditions, a feed of changes that waits.
 *
 * usage: fq-standin-store IP:PORT. For tests, SIGUSR1 makes it refuse every call with 503
 * until the next one.
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
#define TARGET_BYTES 1024
#define WAITING_MAX 256
#define STATUS_OK 200
#define STATUS_BAD 400
#define STATUS_NOT_FOUND 404
#define STATUS_CONFLICT 412
#define STATUS_UNAVAILABLE 503

typedef struct
{
  fq_list_t link; /* in the order of the last change */
  char table[NAME_BYTES];
  char part[NAME_BYTES];
  char key[NAME_BYTES];
  char *value; /* base64; NULL: removed */
  uint64_t version;
} row_t;

/* A read that waits for a change. */
typedef struct
{
  fq_id_t id; /* 0: free */
  char table[NAME_BYTES];
  uint64_t after;
  double until;
} waiting_t;

static struct ev_loop *loop;
static fq_io_t io;
static fq_http_server_t *server;
static fq_list_t rows;
static uint64_t version;
static waiting_t waiting[WAITING_MAX];
static bool refuses;

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

static void
answer (fq_id_t id, uint16_t status, json_t *body)
{
  fq_http_message_t *message = fq_http_message_new ();
  char *text;

  message->status = status;
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
row_as_json (const row_t *row)
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

static bool
is_entry (const json_t *entry, const char *last)
{
  return json_is_string (json_object_get (entry, "table"))
         && json_is_string (json_object_get (entry, "part"))
         && json_is_string (json_object_get (entry, "key"))
         && (last == NULL || json_object_get (entry, last) != NULL);
}

static bool
are_entries (const json_t *list, const char *last)
{
  if (!json_is_array (list))
    return false;
  for (size_t i = 0; i < json_array_size (list); i++)
    {
      if (!is_entry (json_array_get (list, i), last))
        return false;
    }
  return true;
}

static bool
holds (const json_t *condition)
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
      json_array_append_new (list, row_as_json (row));
  }
  return list;
}

static void
answer_waiting (void)
{
  for (size_t i = 0; i < WAITING_MAX; i++)
    {
      waiting_t *one = &waiting[i];
      json_t *list;
      fq_id_t id = one->id;

      if (id == 0)
        continue;
      list = changes_after (one->table, one->after);
      if (json_array_size (list) == 0 && ev_now (loop) < one->until)
        {
          json_decref (list);
          continue;
        }
      one->id = 0;
      answer (id, STATUS_OK, json_pack ("{s:o}", "rows", list));
    }
}

static void
do_transaction (fq_id_t id, const fq_http_message_t *message)
{
  json_t *root = message->body == NULL ? NULL
                                       : json_loadb ((const char *)message->body->data,
                                                     message->body->size, 0, NULL);
  const json_t *conditions = json_object_get (root, "precondition");
  const json_t *puts = json_object_get (root, "put");
  const json_t *removes = json_object_get (root, "remove");
  bool met = true;

  if (!are_entries (conditions, "ver") || !are_entries (puts, "value")
      || !are_entries (removes, NULL))
    {
      json_decref (root);
      answer (id, STATUS_BAD, NULL);
      return;
    }
  for (size_t i = 0; i < json_array_size (conditions); i++)
    met = met && holds (json_array_get (conditions, i));
  if (met)
    {
      version++;
      for (size_t i = 0; i < json_array_size (puts); i++)
        change_row (json_array_get (puts, i), false);
      for (size_t i = 0; i < json_array_size (removes); i++)
        change_row (json_array_get (removes, i), true);
    }
  json_decref (root);
  answer (id, met ? STATUS_OK : STATUS_CONFLICT, json_object ());
  answer_waiting ();
}

/* The value of @name in the query of @target, or an empty text. */
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
          return;
        }
      at = strchr (at, '&');
    }
}

static void
read_rows (fq_id_t id, const char *target)
{
  char table[NAME_BYTES];
  char from[NAME_BYTES];
  json_t *list = json_array ();

  query_value (target, "table", table, sizeof table);
  query_value (target, "from", from, sizeof from);
  FQ_LIST_FOREACH (link, &rows)
  {
    const row_t *row = FQ_LIST_ENTRY (link, row_t, link);

    if (strcmp (row->table, table) == 0 && row->value != NULL
        && strcmp (row->key, from) >= 0)
      json_array_append_new (list, row_as_json (row));
  }
  answer (id, STATUS_OK, json_pack ("{s:o,s:b}", "rows", list, "has_more", 0));
}

static void
read_feed (fq_id_t id, const char *target)
{
  char table[NAME_BYTES];
  char after[NAME_BYTES];
  char wait[NAME_BYTES];

  query_value (target, "table", table, sizeof table);
  query_value (target, "after", after, sizeof after);
  query_value (target, "wait_ms", wait, sizeof wait);
  for (size_t i = 0; i < WAITING_MAX; i++)
    {
      if (waiting[i].id != 0)
        continue;
      waiting[i].id = id;
      waiting[i].after = strtoull (after, NULL, 10);
      waiting[i].until = ev_now (loop) + strtod (wait, NULL) / 1000;
      memcpy (waiting[i].table, table, sizeof table);
      answer_waiting ();
      return;
    }
  answer (id, STATUS_UNAVAILABLE, NULL);
}

static bool
is_call (const fq_http_message_t *message, const char *method, const char *path)
{
  return strcmp (message->method, method) == 0
         && strncmp (message->target, path, strlen (path)) == 0;
}

static void
on_request (void *context, fq_id_t id, fq_http_message_t *message, uint32_t from)
{
  (void)context;
  (void)from;
  if (refuses)
    answer (id, STATUS_UNAVAILABLE, NULL);
  else if (is_call (message, "POST", "/v1/rows-tx"))
    do_transaction (id, message);
  else if (is_call (message, "GET", "/v1/rows-get?"))
    read_rows (id, message->target);
  else if (is_call (message, "GET", "/v1/rows-feed?"))
    read_feed (id, message->target);
  else
    answer (id, STATUS_NOT_FOUND, NULL);
}

static void
on_gone (void *context, fq_id_t id)
{
  (void)context;
  for (size_t i = 0; i < WAITING_MAX; i++)
    {
      if (waiting[i].id == id)
        waiting[i].id = 0;
    }
}

static const fq_http_server_handlers_t handlers
    = { .request = on_request, .gone = on_gone };

static void
on_tick (struct ev_loop *running, ev_timer *timer, int events)
{
  (void)running;
  (void)timer;
  (void)events;
  answer_waiting ();
}

static void
on_refuse (struct ev_loop *running, ev_signal *signal_watcher, int events)
{
  (void)running;
  (void)signal_watcher;
  (void)events;
  refuses = !refuses;
}

int
main (int argc, char **argv)
{
  fq_http_server_options_t options = FQ_HTTP_SERVER_OPTIONS_INIT;
  struct sockaddr_in address;
  ev_timer tick;
  ev_signal refuse;

  loop = ev_default_loop (0);
  fq_list_init (&rows);
  options.idle_timeout_ms = 60000;
  if (argc != 2 || fq_address_parse (&address, argv[1]) < 0 || fq_io_open (&io, loop) < 0
      || fq_http_server_open (&server, &io, &address, &options, &handlers, NULL) < 0)
    {
      fprintf (stderr, "usage: fq-standin-store IP:PORT (%s)\n",
               fq_error_last ()->message);
      return EXIT_FAILURE;
    }
  ev_timer_init (&tick, on_tick, 0.2, 0.2);
  ev_timer_start (loop, &tick);
  ev_signal_init (&refuse, on_refuse, SIGUSR1);
  ev_signal_start (loop, &refuse);
  ev_run (loop, 0);
  return EXIT_SUCCESS;
}
