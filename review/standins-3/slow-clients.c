/**
 * DOC: Clients of one machine that read large answers slowly.
 *
 * usage: slow-clients RECORD TROUBLE [CLIENTS [ANSWER_BYTES [BYTES_PER_SECOND]]]. Machine
 * 1 runs service "front", machines 2 to 5 run "back". Each client of machine 1 sends a
 * request, and on the same connection one more, and reads its answer at a steady pace.
 * With TROUBLE 0 it reads at once.
 */
#define _GNU_SOURCE
#include "lab.h"

#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define CLIENTS_MAX 256
#define START_GAP_MS 100
#define TIME_LIMIT_MS 8000 /* of `region-query` */
#define READ_MS 20

static size_t answer_bytes = 10000000;
static size_t pace = 1800000; /* bytes a second */
static bool trouble;

typedef struct
{
  int number;
  int first;      /* status of the first answer */
  int status;     /* of the second one; 0: none */
  size_t read;    /* of its body */
  long long took; /* until it was whole or its connection ended */
  bool whole;
} reader_t;

static void
put_config (void)
{
  lab_store_put (
      "op", "config",
      "{\"version\":3,\"services\":[{\"name\":\"front\",\"health_path\":\"/"
      "healthz\",\"max_connections\":724},"
      "{\"name\":\"back\",\"health_path\":\"/healthz\",\"max_connections\":724}],"
      "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":67108864,\"header_"
      "timeout\":\"3000ms\","
      "\"idle_timeout\":\"15000ms\"},\"virtual_hosts\":[{\"host\":\"hulo84.example\","
      "\"paths\":["
      "{\"name\":\"r-region\",\"prefix\":\"/region/"
      "\",\"route_type\":\"safe\",\"timeout\":\"4000ms\","
      "\"target_latency\":\"2000ms\",\"priority\":2,\"service\":\"back\",\"max_"
      "attempts\":2}]}]}");
}

static bool
send_request (int fd, int number, int part)
{
  char text[512];

  snprintf (text, sizeof text,
            "GET /region/1 HTTP/1.1\r\nHost: hulo84.example\r\nX-Attempt-Id: "
            "9c41d07b%04x%04x\r\n"
            "X-Timeout-Ms: %d\r\n\r\n",
            (unsigned int)number, (unsigned int)part, TIME_LIMIT_MS);
  return lab_write (fd, text, strlen (text)) == 0;
}

/* Reads the head byte by byte; returns the length of the body, 0 if there is none. */
static size_t
read_answer_head (int fd, int *status)
{
  char head[4096];
  size_t used = 0;
  const char *length;

  while (used < sizeof head - 1 && recv (fd, head + used, 1, 0) == 1)
    {
      head[++used] = '\0';
      if (used >= 4 && strcmp (head + used - 4, "\r\n\r\n") == 0)
        {
          if (sscanf (head, "HTTP/1.%*d %d", status) != 1)
            return 0;
          length = strcasestr (head, "Content-Length: ");
          return length == NULL ? 0 : strtoul (length + 16, NULL, 10);
        }
    }
  return 0;
}

static size_t
read_answer_body (int fd, size_t size, long long sent, bool slowly)
{
  static __thread char part[65536];
  size_t used = 0;
  long long begun = lab_ms ();

  while (used < size && lab_ms () - sent < TIME_LIMIT_MS)
    {
      size_t due = slowly ? (size_t)(lab_ms () - begun) * pace / 1000 : size;
      size_t wanted = due > used ? due - used : 0;
      ssize_t count;

      if (wanted == 0)
        {
          lab_sleep (READ_MS);
          continue;
        }
      count = recv (fd, part, wanted < sizeof part ? wanted : sizeof part, 0);
      if (count <= 0)
        break;
      used += (size_t)count;
    }
  return used;
}

static void *
run_client (void *context)
{
  reader_t *reader = context;
  int fd = lab_connect (lab_machines[0].ip, lab_ports.requests, 1000);
  size_t size;
  long long sent;

  if (fd < 0 || !send_request (fd, reader->number, 1))
    return NULL;
  size = read_answer_head (fd, &reader->first);
  if (read_answer_body (fd, size, lab_ms (), false) != size)
    return NULL;
  sent = lab_ms ();
  if (!send_request (fd, reader->number, 2))
    return NULL;
  size = read_answer_head (fd, &reader->status);
  reader->read = read_answer_body (fd, size, sent, trouble);
  reader->took = lab_ms () - sent;
  reader->whole = size > 0 && reader->read == size;
  close (fd);
  return NULL;
}

int
main (int argc, char **argv)
{
  static reader_t readers[CLIENTS_MAX];
  pthread_t threads[CLIENTS_MAX];
  int clients = 26;
  int lost = 0, whole = 0;

  if (argc < 3)
    return 2;
  trouble = atoi (argv[2]) != 0;
  clients = argc > 3 ? atoi (argv[3]) : clients;
  answer_bytes = argc > 4 ? strtoul (argv[4], NULL, 10) : answer_bytes;
  pace = argc > 5 ? strtoul (argv[5], NULL, 10) : pace;
  lab_open (argv[1]);
  lab_store_start ("127.0.0.29", lab_ports.store);
  put_config ();
  for (int i = 0; i < 5; i++)
    {
      lab_machine_t *machine
          = lab_add_machine (i == 0 ? "front" : "back", i % 2 == 0 ? "mid-a" : "mid-b");
      char id[32];

      snprintf (id, sizeof id, "i-7f3a91c%d", i);
      lab_write_settings (machine);
      lab_node_start (machine);
      lab_app_start (machine, machine->service, id, 20)->answer_bytes = answer_bytes;
    }
  for (int i = 0; i < 100 && !lab_node_ready (&lab_machines[0]); i++)
    lab_sleep (100);
  lab_sleep (2 * lab_heartbeat_ms + 1000);
  for (int i = 0; i < clients; i++)
    {
      readers[i].number = i;
      pthread_create (&threads[i], NULL, run_client, &readers[i]);
      lab_sleep (START_GAP_MS);
    }
  for (int i = 0; i < clients; i++)
    {
      const reader_t *reader = &readers[i];
      bool cut;

      pthread_join (threads[i], NULL);
      cut = reader->first == 200 && reader->status == 200 && !reader->whole
            && reader->took < TIME_LIMIT_MS;
      lab_record ("client %d: first %d, then %d with %zu bytes in %lld ms%s", i,
                  reader->first, reader->status, reader->read, reader->took,
                  cut ? ": the connection was closed before" : "");
      lost += cut || (reader->first == 200 && reader->status == 0);
      whole += reader->whole;
    }
  lab_record ("whole answers: %d, kept connections closed without a whole answer: %d",
              whole, lost);
  printf ("whole %d lost %d\n", whole, lost);
  lab_end_all ();
  if (lost > 3)
    return 1;
  return whole > 0 ? 0 : 2;
}
