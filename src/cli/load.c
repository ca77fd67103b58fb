/**
 * DOC: `filbertquay load`: an open-loop load generator.
 *
 * Requests are sent at the times of the plan whether or not earlier ones have completed,
 * and latency is measured from these intended times. The seed fixes times, classes,
 * targets and keys.
 */
#include <stdlib.h>

#include "cli/cli.h"
#include "cli/load_run.h"

#define FQ_LOAD_CONNECTIONS_MAX 4096

enum
{
  OPTION_RATE = 'r',
  OPTION_CLASS = 'c',
  OPTION_TARGET = 't',
  OPTION_SEED = 's',
  OPTION_OUTPUT = 'o',
  OPTION_KEY_FILE = 'k',
  OPTION_JSON = 'j',
  OPTION_CONNECTIONS = 256,
  OPTION_MAX_REQUESTS,
  OPTION_VERIFY,
  OPTION_ANYWHERE,
};

typedef struct
{
  fq_load_plan_t plan;
  const char *targets; /* argument of --target; parsed last, when --anywhere is known */
  bool anywhere;
  bool json;
  char authorization[FQ_SERVICE_BYTES];
  fq_load_run_options_t run;
  const char *output;
  const char *key_file;
} options_t;

static int
write_json (const options_t *options, const fq_load_report_t *report)
{
  json_t *json = fq_load_report_json (report);
  int rc = json == NULL ? -1 : 0;

  if (rc == 0)
    json_object_set_new (json, "seed", json_integer ((json_int_t)options->run.seed));
  if (rc == 0 && options->output != NULL)
    rc = json_dump_file (json, options->output, JSON_INDENT (1));
  if (rc == 0 && options->json)
    {
      rc = json_dumpf (json, stdout, JSON_INDENT (1));
      putchar ('\n');
    }
  json_decref (json);
  return rc == 0 ? FQ_OK
                 : fq_error_set (FQ_ERROR_CLASS_CLI, FQ_ERROR_IO,
                                 "can't write the results as JSON");
}

/* Refusals and upstream errors alone are no failure: they are results of the test. */
static int
get_exit_status (const fq_load_report_t *report)
{
  fq_load_counts_t total;

  fq_load_report_total (report, &total);
  if (fq_load_counts_unaccounted (&total) > 0 || total.outcomes[FQ_LOAD_WRONG_ANSWER] > 0)
    return FQ_EXIT_FAILED;
  if (total.attempts > 0 && total.outcomes[FQ_LOAD_NOT_SENT] == total.attempts)
    return FQ_EXIT_UNREACHABLE;
  return FQ_EXIT_OK;
}

static int
parse_count (struct argp_state *state, const char *text, uint64_t limit, uint64_t *out)
{
  char *end;

  *out = strtoull (text, &end, 10);
  if (end == text || *end != '\0' || *out > limit)
    argp_error (state, "not a number from 0 to %llu: %s", (unsigned long long)limit,
                text);
  return 0;
}

static void
check_options (struct argp_state *state, options_t *options)
{
  if (options->targets == NULL || options->plan.phase_count == 0
      || options->plan.class_count == 0)
    argp_error (state, "--target, --rate and --class are required");
  if (fq_load_plan_add_targets (&options->plan, options->targets, options->anywhere) < 0)
    argp_error (state, "%s", fq_error_last ()->message);
}

static error_t
parse_option (int key, char *argument, struct argp_state *state)
{
  options_t *options = state->input;
  uint64_t number;
  int rc = FQ_OK;

  switch (key)
    {
    case OPTION_TARGET:
      options->targets = argument;
      break;
    case OPTION_RATE:
      rc = fq_load_plan_add_phases (&options->plan, argument);
      break;
    case OPTION_CLASS:
      rc = fq_load_plan_add_class (&options->plan, argument);
      break;
    case OPTION_SEED:
      parse_count (state, argument, UINT64_MAX, &options->run.seed);
      break;
    case OPTION_OUTPUT:
      options->output = argument;
      break;
    case OPTION_KEY_FILE:
      options->key_file = argument;
      break;
    case OPTION_JSON:
      options->json = true;
      break;
    case OPTION_CONNECTIONS:
      parse_count (state, argument, FQ_LOAD_CONNECTIONS_MAX, &number);
      options->run.connections = number;
      break;
    case OPTION_MAX_REQUESTS:
      parse_count (state, argument, FQ_LOAD_REQUESTS_MAX, &options->run.max_requests);
      break;
    case OPTION_VERIFY:
      options->run.verify = true;
      break;
    case OPTION_ANYWHERE:
      options->anywhere = true;
      break;
    case ARGP_KEY_END:
      check_options (state, options);
      break;
    default:
      return ARGP_ERR_UNKNOWN;
    }
  if (rc < 0)
    argp_error (state, "%s", fq_error_last ()->message);
  return 0;
}

static const struct argp_option option_table[] = {
  { "target", OPTION_TARGET, "IP:PORT,..", 0,
    "Caller listeners to send to, each request to a random one", 0 },
  { "rate", OPTION_RATE, "RATE:SECONDS,..", 0,
    "Requests per second in each phase; FROM-TO:SECONDS is a ramp", 0 },
  { "class", OPTION_CLASS, "FIELD=VALUE,..", 0,
    "One class of requests, may be repeated: name, share, method, service, path, key, "
    "deadline_ms, timeout_ms, body_bytes, retry (none, now, after), retries; {n} in a "
    "path or key becomes the request's number",
    0 },
  { "seed", OPTION_SEED, "NUMBER", 0, "Fixes times, classes and targets", 0 },
  { "key-file", OPTION_KEY_FILE, "FILE", 0,
    "File with the member's key (default: environment variable FILBERTQUAY_KEY)", 0 },
  { "connections", OPTION_CONNECTIONS, "NUMBER", 0, "Maximum to each target (256)", 0 },
  { "max-requests", OPTION_MAX_REQUESTS, "NUMBER", 0, "Maximum number of requests", 0 },
  { "verify", OPTION_VERIFY, NULL, 0, "Check that each body contains the requested path",
    0 },
  { "anywhere", OPTION_ANYWHERE, NULL, 0, "Allow targets that are not loopback", 0 },
  { "output", OPTION_OUTPUT, "FILE", 0, "Write the results as JSON", 0 },
  { "json", OPTION_JSON, NULL, 0, "Print the results as JSON instead of a table", 0 },
  { 0 },
};

int
fq_cli_load (int argc, char **argv)
{
  static const struct argp argp = {
    .options = option_table,
    .parser = parse_option,
    .doc
    = "Send requests at a planned rate and report their outcomes."
      "\v" FQ_CLI_EXIT_DOC
      " A wrong body or an attempt without an outcome counts as failed; a refusal does "
      "not.",
  };
  static options_t options = { .run = FQ_LOAD_RUN_OPTIONS_INIT };
  fq_load_report_t *report = NULL;
  int rc = FQ_EXIT_FAILED;

  argp_parse (&argp, argc, argv, 0, NULL, &options);
  options.run.plan = &options.plan;
  options.run.authorization = options.authorization;
  if (fq_cli_read_key (options.authorization, sizeof options.authorization,
                       options.key_file)
          < 0
      || fq_load_report_new (&report, &options.plan) < 0
      || fq_load_run (report, &options.run) < 0)
    goto fail;
  if (!options.json)
    fq_load_report_print (report, stdout);
  if (write_json (&options, report) < 0)
    goto fail;
  rc = get_exit_status (report);
  goto done;

fail:
  fprintf (stderr, "filbertquay load: %s\n", fq_error_last ()->message);
done:
  fq_load_report_free (report);
  return rc;
}
