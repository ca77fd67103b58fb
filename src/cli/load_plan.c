#include "cli/load_plan.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "net/address.h"
#include "util/text.h"

#define FQ_LOAD_TEXT_BYTES 4096
#define FQ_LOAD_NUMBER_PLACEHOLDER "{n}"
#define FQ_LOAD_RATE_STEP_US 10000 /* step within which the rate is taken as constant */

static int
invalid (const char *what, const char *text)
{
  return fq_error_set (FQ_ERROR_CLASS_CLI, FQ_ERROR_INVALID, "%s: %s", what, text);
}

static int
parse_phase (fq_load_phase_t *out, const char *text)
{
  char end = '\0';

  if (sscanf (text, "%lf-%lf:%lf%c", &out->from, &out->to, &out->seconds, &end) != 3)
    {
      if (sscanf (text, "%lf:%lf%c", &out->from, &out->seconds, &end) != 2)
        return invalid ("a phase must be RATE:SECONDS or FROM-TO:SECONDS", text);
      out->to = out->from;
    }
  if (!(out->from >= 0 && out->from <= FQ_LOAD_RATE_MAX)
      || !(out->to >= 0 && out->to <= FQ_LOAD_RATE_MAX))
    return invalid ("a rate must be 0 to 100000 requests per second", text);
  if (!(out->seconds > 0 && out->seconds <= FQ_LOAD_SECONDS_MAX))
    return invalid ("a phase must last more than 0 and at most 3600 seconds", text);
  return FQ_OK;
}

/* Calls @callback with each item of a comma-separated list, until it fails. */
static int
for_each_item (const char *text, int (*callback) (void *user, char *item), void *user)
{
  char copy[FQ_LOAD_TEXT_BYTES];
  char *rest = copy;
  char *item;

  if (!fq_text_copy (copy, sizeof copy, text))
    return invalid ("too long", "list of more than 4095 characters");
  while ((item = strsep (&rest, ",")) != NULL)
    {
      int rc = callback (user, item);

      if (rc < 0)
        return rc;
    }
  return FQ_OK;
}

static int
add_phase (void *user, char *item)
{
  fq_load_plan_t *plan = user;

  if (plan->phase_count == FQ_LOAD_PHASES_MAX)
    return invalid ("too many phases", item);
  return parse_phase (&plan->phases[plan->phase_count++], item);
}

int
fq_load_plan_add_phases (fq_load_plan_t *plan, const char *text)
{
  int rc = for_each_item (text, add_phase, plan);

  if (rc < 0)
    return rc;
  if (fq_load_plan_seconds (plan) > FQ_LOAD_SECONDS_MAX)
    return invalid ("all phases together must last at most 3600 seconds", text);
  return FQ_OK;
}

static int
parse_retry (fq_load_retry_t *out, const char *value)
{
  static const char *const names[] = { "none", "now", "after" };

  for (size_t i = 0; i < sizeof names / sizeof names[0]; i++)
    {
      if (strcmp (names[i], value) == 0)
        {
          *out = (fq_load_retry_t)i;
          return FQ_OK;
        }
    }
  return invalid ("retry must be none, now or after", value);
}

static int
parse_number (uint32_t *out, const char *value, unsigned long limit)
{
  char *end;
  unsigned long number = strtoul (value, &end, 10);

  if (end == value || *end != '\0' || number > limit)
    return invalid (
        "not a number from 0 to 1000 (retries), 3600000 (deadline_ms, timeout_ms) or "
        "16777216 (body_bytes)",
        value);
  *out = (uint32_t)number;
  return FQ_OK;
}

static int
parse_share (double *out, const char *value)
{
  char *end;

  *out = strtod (value, &end);
  if (end == value || *end != '\0' || !(*out > 0 && *out <= 1e6))
    return invalid ("a share must be above 0 and at most 1000000", value);
  return FQ_OK;
}

static int
copy_value (char *to, size_t size, const char *value)
{
  return fq_text_copy (to, size, value) ? FQ_OK
                                        : invalid ("the value is too long", value);
}

static int
set_class_field (void *user, char *item)
{
  fq_load_class_t *class = user;
  char *value = strchr (item, '=');

  if (value == NULL)
    return invalid ("a class must be FIELD=VALUE,..", item);
  *value++ = '\0';
  if (strcmp (item, "name") == 0)
    return copy_value (class->name, sizeof class->name, value);
  if (strcmp (item, "method") == 0)
    return copy_value (class->method, sizeof class->method, value);
  if (strcmp (item, "service") == 0)
    return copy_value (class->service, sizeof class->service, value);
  if (strcmp (item, "path") == 0)
    return copy_value (class->path, sizeof class->path, value);
  if (strcmp (item, "key") == 0)
    return copy_value (class->key, sizeof class->key, value);
  if (strcmp (item, "share") == 0)
    return parse_share (&class->share, value);
  if (strcmp (item, "retry") == 0)
    return parse_retry (&class->retry, value);
  if (strcmp (item, "retries") == 0)
    return parse_number (&class->retries, value, 1000);
  if (strcmp (item, "deadline_ms") == 0)
    return parse_number (&class->deadline_ms, value, 3600000);
  if (strcmp (item, "timeout_ms") == 0)
    return parse_number (&class->timeout_ms, value, 3600000);
  if (strcmp (item, "body_bytes") == 0)
    return parse_number (&class->body_bytes, value, 16u << 20);
  return invalid ("unknown field of a class", item);
}

int
fq_load_plan_add_class (fq_load_plan_t *plan, const char *text)
{
  fq_load_class_t *class;
  int rc;

  if (plan->class_count == FQ_LOAD_CLASSES_MAX)
    return invalid ("too many classes", text);
  class = &plan->classes[plan->class_count];
  *class = (fq_load_class_t){ .share = 1, .method = "GET", .path = "/" };
  rc = for_each_item (text, set_class_field, class);
  if (rc < 0)
    return rc;
  if (class->name[0] == '\0' || class->path[0] != '/')
    return invalid ("a class needs a name, and a path that begins with /", text);
  plan->class_count++;
  return FQ_OK;
}

typedef struct
{
  fq_load_plan_t *plan;
  bool anywhere;
} add_target_context_t;

static int
add_target (void *user, char *item)
{
  add_target_context_t *context = user;
  fq_load_plan_t *plan = context->plan;
  struct sockaddr_in address;

  if (plan->target_count == FQ_LOAD_TARGETS_MAX)
    return invalid ("too many targets", item);
  if (fq_address_parse (&address, item) < 0)
    return invalid ("a target must be IP:PORT", item);
  if (!context->anywhere && ntohl (address.sin_addr.s_addr) >> 24 != IN_LOOPBACKNET)
    return invalid ("not a loopback address; needs --anywhere", item);
  return copy_value (plan->targets[plan->target_count++], FQ_ADDRESS_BYTES, item);
}

int
fq_load_plan_add_targets (fq_load_plan_t *plan, const char *text, bool anywhere)
{
  add_target_context_t context = { .plan = plan, .anywhere = anywhere };

  return for_each_item (text, add_target, &context);
}

double
fq_load_plan_seconds (const fq_load_plan_t *plan)
{
  double seconds = 0;

  for (size_t i = 0; i < plan->phase_count; i++)
    seconds += plan->phases[i].seconds;
  return seconds;
}

/* The rate at @seconds from the start; -1 after the last phase. */
static double
rate_at (const fq_load_plan_t *plan, double seconds)
{
  for (size_t i = 0; i < plan->phase_count; i++)
    {
      const fq_load_phase_t *phase = &plan->phases[i];

      if (seconds < phase->seconds)
        return phase->from + (phase->to - phase->from) * seconds / phase->seconds;
      seconds -= phase->seconds;
    }
  return -1;
}

int64_t
fq_load_plan_next_arrival (const fq_load_plan_t *plan, int64_t at, fq_random_t *random)
{
  /*
   * The time to the next arrival of a Poisson process with a varying rate: the integral
   * of the rate over it is exponentially distributed with mean 1.
   */
  double remaining = -log (1 - fq_random_unit (random));

  for (;;)
    {
      double rate = rate_at (plan, (double)at / FQ_MICROSECONDS_PER_SECOND);
      double step = rate * FQ_LOAD_RATE_STEP_US / FQ_MICROSECONDS_PER_SECOND;

      if (rate < 0)
        return -1;
      if (remaining <= step)
        return at + (int64_t)(remaining / rate * FQ_MICROSECONDS_PER_SECOND);
      remaining -= step;
      at += FQ_LOAD_RATE_STEP_US;
    }
}

size_t
fq_load_plan_pick_class (const fq_load_plan_t *plan, fq_random_t *random)
{
  double total = 0;
  double at;

  for (size_t i = 0; i < plan->class_count; i++)
    total += plan->classes[i].share;
  at = fq_random_unit (random) * total;
  for (size_t i = 0; i + 1 < plan->class_count; i++)
    {
      if (at < plan->classes[i].share)
        return i;
      at -= plan->classes[i].share;
    }
  return plan->class_count - 1;
}

void
fq_load_expand_number (char *out, size_t size, const char *text, uint64_t number)
{
  size_t used = 0;

  while (*text != '\0' && used + 1 < size)
    {
      if (strncmp (text, FQ_LOAD_NUMBER_PLACEHOLDER, strlen (FQ_LOAD_NUMBER_PLACEHOLDER))
          == 0)
        {
          int length
              = snprintf (out + used, size - used, "%llu", (unsigned long long)number);

          used += (size_t)length < size - used ? (size_t)length : size - used - 1;
          text += strlen (FQ_LOAD_NUMBER_PLACEHOLDER);
          continue;
        }
      out[used++] = *text++;
    }
  out[used] = '\0';
}
