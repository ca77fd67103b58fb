/**
 * DOC: The processes of the soak: nodes, servers, proxies and the store.
 */
#define _GNU_SOURCE
#include "soak.h"

#include <errno.h>
#include <fcntl.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>
#include <unistd.h>

#include "util/text.h"

void
soak_address (char *out, size_t machine, port_t port)
{
  snprintf (out, FQ_ADDRESS_BYTES, "127.0.2.%zu:%d", machine + 1,
            soak.base_port + (int)port);
}

/*
 * Starts a program with its output in the file @log of the run's directory. With
 * @takes_commands, its standard input is a pipe for soak_send_command().
 */
static process_t
start_process (const char *log, bool takes_commands, char *const *argv)
{
  process_t process = { .input = -1 };
  int commands[2] = { -1, -1 };
  char path[TEXT_BYTES * 2];

  snprintf (path, sizeof path, "%s/%s.log", soak.directory, log);
  if (takes_commands && pipe2 (commands, O_CLOEXEC) < 0)
    abort ();
  fflush (stdout);
  process.pid = fork ();
  if (process.pid < 0)
    abort ();
  if (process.pid == 0)
    {
      int fd = open (path, O_WRONLY | O_CREAT | O_APPEND, 0600);

      if (fd < 0 || dup2 (fd, STDOUT_FILENO) < 0 || dup2 (fd, STDERR_FILENO) < 0
          || (takes_commands && dup2 (commands[0], STDIN_FILENO) < 0))
        _exit (127);
      signal (SIGPIPE, SIG_DFL);
      execv (argv[0], argv);
      _exit (127);
    }
  if (takes_commands)
    {
      close (commands[0]);
      process.input = commands[1];
    }
  return process;
}

void
soak_end_process (process_t *process, int signal_number)
{
  if (process->pid == 0)
    return;
  soak_signal (process, SIGCONT);
  soak_signal (process, signal_number);
  waitpid (process->pid, NULL, 0);
  if (process->input >= 0)
    close (process->input);
  *process = (process_t){ .input = -1 };
}

void
soak_send_command (process_t *process, const char *text)
{
  if (process->input >= 0 && write (process->input, text, strlen (text)) < 0)
    printf ("can't write a command to a proxy: %s\n", strerror (errno));
}

static char *
program_path (char *out, const char *name)
{
  snprintf (out, TEXT_BYTES, "%s/%s", soak.build_directory, name);
  return out;
}

const char *
soak_service_of (size_t machine)
{
  return machine < FRONT_MACHINES ? "front" : "back";
}

void
soak_start_node (size_t machine)
{
  char path[TEXT_BYTES];
  char settings[TEXT_BYTES * 2];
  char log[ID_BYTES];
  char *argv[] = { program_path (path, "filbertquay-node"), settings, NULL };

  snprintf (settings, sizeof settings, "%s/node%zu.json", soak.directory, machine);
  snprintf (log, sizeof log, "node%zu", machine);
  soak.machines[machine].node = start_process (log, false, argv);
  soak_disturb (machine);
}

void
soak_start_server (size_t machine)
{
  char path[TEXT_BYTES];
  char direct_address[FQ_ADDRESS_BYTES];
  char reports_address[FQ_ADDRESS_BYTES];
  char reported_address[FQ_ADDRESS_BYTES];
  char id[ID_BYTES];
  char log[ID_BYTES * 2];
  char *argv[] = { program_path (path, "fq-standin-server"),
                   direct_address,
                   reports_address,
                   (char *)soak_service_of (machine),
                   id,
                   "20",
                   reported_address,
                   NULL };

  soak_address (direct_address, machine, PORT_SERVER_DIRECT);
  soak_address (reports_address, machine, PORT_REPORTS);
  soak_address (reported_address, machine, PORT_SERVER_PROXY);
  snprintf (id, sizeof id, "i-%zu-%u", machine, ++soak.machines[machine].server_starts);
  snprintf (log, sizeof log, "server-%s", id);
  soak.machines[machine].server = start_process (log, false, argv);
}

static process_t
start_proxy (const char *log, const char *listen, const char *target)
{
  char path[TEXT_BYTES];
  char *argv[]
      = { program_path (path, "fq-standin-proxy"), (char *)listen, (char *)target, NULL };

  return start_process (log, true, argv);
}

static void
write_settings (size_t machine)
{
  char path[TEXT_BYTES * 2];
  char texts[PORT_STORE_DIRECT + 1][FQ_ADDRESS_BYTES];
  char seed[FQ_ADDRESS_BYTES];
  char store_address[FQ_ADDRESS_BYTES];
  FILE *file;

  for (int port = PORT_REQUESTS; port <= PORT_STORE_DIRECT; port++)
    soak_address (texts[port], machine, (port_t)port);
  soak_address (seed, machine == 0 ? 1 : 0, PORT_REPORTS);
  soak_address (store_address, 0, PORT_STORE_PROXY);
  snprintf (path, sizeof path, "%s/node%zu.json", soak.directory, machine);
  file = fopen (path, "w");
  if (file == NULL)
    abort ();
  fprintf (file,
           "{\"node\":\"n%zu\",\"zone\":\"z%zu\",\"ip\":\"127.0.2.%zu\",\"store\":\"%s\","
           "\"seeds\":[\"%s\"],\"listen\":{\"requests\":\"%s\",\"readiness\":\"%s\","
           "\"reports\":\"%s\",\"nodes\":\"%s\"},\"server\":{\"service\":\"%s\","
           "\"address\":\"%s\",\"report_interval\":\"500ms\",\"drain\":\"%dms\"},"
           "\"retries\":{\"ratio\":0.2,\"window\":\"10s\",\"slack\":40},"
           "\"limits\":{\"memory_mb\":256,\"descriptors\":1024,\"grace\":\"6s\"}}\n",
           machine, machine % 2, machine + 1, store_address, seed, texts[PORT_REQUESTS],
           texts[PORT_READINESS], texts[PORT_REPORTS], texts[PORT_NODES],
           soak_service_of (machine), texts[PORT_SERVER_PROXY], DRAIN_MS);
  fclose (file);
}

static void
open_client (fq_http_client_t **out, size_t machine, port_t port)
{
  fq_http_client_options_t options = FQ_HTTP_CLIENT_OPTIONS_INIT;
  struct sockaddr_in address;
  char text[FQ_ADDRESS_BYTES];

  soak_address (text, machine, port);
  if (fq_address_parse (&address, text) < 0
      || fq_http_client_new (out, &soak.io, &address, &options) < 0)
    abort ();
}

void
soak_start_all (void)
{
  char path[TEXT_BYTES];
  char direct_address[FQ_ADDRESS_BYTES];
  char proxy_address[FQ_ADDRESS_BYTES];
  char *argv[] = { program_path (path, "fq-standin-store"), direct_address, NULL };

  soak_address (direct_address, 0, PORT_STORE_DIRECT);
  soak_address (proxy_address, 0, PORT_STORE_PROXY);
  soak.store = start_process ("store", false, argv);
  soak.store_proxy = start_proxy ("store-proxy", proxy_address, direct_address);
  for (size_t i = 0; i < soak.machine_count; i++)
    {
      char log[ID_BYTES];

      snprintf (log, sizeof log, "proxy%zu", i);
      soak_address (direct_address, i, PORT_SERVER_DIRECT);
      soak_address (proxy_address, i, PORT_SERVER_PROXY);
      soak.machines[i].proxy = start_proxy (log, proxy_address, direct_address);
      write_settings (i);
      soak_start_node (i);
      soak_start_server (i);
      open_client (&soak.machines[i].client, i, PORT_REQUESTS);
      open_client (&soak.machines[i].server_client, i, PORT_SERVER_DIRECT);
      open_client (&soak.machines[i].reports_client, i, PORT_REPORTS);
    }
  open_client (&soak.store_client, 0, PORT_STORE_DIRECT);
}

void
soak_end_all (void)
{
  for (size_t i = 0; i < soak.machine_count; i++)
    {
      soak_end_process (&soak.machines[i].node, SIGKILL);
      soak_end_process (&soak.machines[i].server, SIGKILL);
      soak_end_process (&soak.machines[i].proxy, SIGKILL);
    }
  soak_end_process (&soak.store, SIGKILL);
  soak_end_process (&soak.store_proxy, SIGKILL);
}
