#include "filbertquay/settings.h"

#include <stdio.h>
#include <string.h>

#include "settings/reader.h"
#include "util/text.h"

#define FQ_SETTINGS_DIRECTORY_BYTES 1024
#define FQ_DEFAULT_DEADLINE_MS 5000
#define FQ_DEADLINE_MS_MAX 600000
#define FQ_DEFAULT_RETRIES 2
#define FQ_RETRIES_MAX 10
#define FQ_DEFAULT_BODY_BYTES (16u << 20)
#define FQ_BODY_BYTES_MAX (256u << 20)
#define FQ_DEFAULT_BUFFER_BYTES (128u << 20)
#define FQ_BUFFER_BYTES_MIN                                                              \
  (32u << 20) /* a request and an answer of the default maximum size                     \
               */
#define FQ_BUFFER_BYTES_MAX (2047u << 20)
#define FQ_DEFAULT_ROLLUP_MS 30000
#define FQ_ROLLUP_MS_MIN 100
#define FQ_ROLLUP_MS_MAX 3600000
#define FQ_DEFAULT_STOP_SECONDS 30
#define FQ_STOP_SECONDS_MAX 3600

#define FIELD(field)                                                                     \
  .offset = offsetof (fq_settings_t, field),                                             \
  .size = sizeof (((fq_settings_t *)NULL)->field)

static const char *const policy_names[] = { "adaptive", "fixed", "none", NULL };
static const char *const level_names[] = { "debug", "info", "warning", "error", NULL };

static const fq_field_t listen_fields[] = {
  { "address", FQ_FIELD_IP, .required = true, FIELD (address) },
  { "peer", FQ_FIELD_PORT, .required = true, FIELD (peer_port) },
  { "caller", FQ_FIELD_PORT, .required = true, FIELD (caller_port) },
  { "upstream", FQ_FIELD_PORT, .required = true, FIELD (upstream_port) },
  { "operator", FQ_FIELD_PORT, .required = true, FIELD (operator_port) },
  { NULL },
};

static const fq_field_t limit_fields[] = {
  { "deadline_ms", FQ_FIELD_NUMBER, FIELD (default_deadline_ms), .min = 1,
    .max = FQ_DEADLINE_MS_MAX },
  { "retries", FQ_FIELD_NUMBER, FIELD (default_retries), .max = FQ_RETRIES_MAX },
  { "body_bytes", FQ_FIELD_NUMBER, FIELD (body_bytes), .min = 1,
    .max = FQ_BODY_BYTES_MAX },
  { "buffer_bytes", FQ_FIELD_NUMBER, FIELD (buffer_bytes), .min = FQ_BUFFER_BYTES_MIN,
    .max = FQ_BUFFER_BYTES_MAX },
  { "stop_seconds", FQ_FIELD_NUMBER, FIELD (stop_seconds), .min = 1,
    .max = FQ_STOP_SECONDS_MAX },
  { "policy", FQ_FIELD_CHOICE, FIELD (limit_policy), .choices = policy_names },
  { NULL },
};

static const fq_field_t report_fields[] = {
  { "rollup_ms", FQ_FIELD_NUMBER, FIELD (rollup_ms), .min = FQ_ROLLUP_MS_MIN,
    .max = FQ_ROLLUP_MS_MAX },
  { NULL },
};

static const fq_field_t log_fields[] = {
  { "level", FQ_FIELD_CHOICE, FIELD (log_level), .choices = level_names },
  { NULL },
};

/* Fault injection, for tests only. */
static const fq_field_t test_fault_fields[] = {
  { "drop_received_percent", FQ_FIELD_NUMBER, FIELD (test_drop_percent), .max = 100 },
  { NULL },
};

static const fq_field_t member_fields[] = {
  { "name", FQ_FIELD_NAME, .required = true,
    .offset = offsetof (fq_settings_member_t, name), .size = FQ_NAME_BYTES },
  { "key", FQ_FIELD_SECRET, .required = true,
    .offset = offsetof (fq_settings_member_t, key), .size = FQ_KEY_BYTES },
  { NULL },
};

static const fq_field_t node_fields[] = {
  { "node", FQ_FIELD_NAME, .required = true, FIELD (node) },
  { "failure_domain", FQ_FIELD_NAME, .required = true, FIELD (failure_domain) },
  { "region", FQ_FIELD_NAME, .required = true, FIELD (region) },
  { "cluster_key", FQ_FIELD_SECRET, .required = true, FIELD (cluster_key) },
  { "cluster_key_accepted", FQ_FIELD_SECRET, FIELD (cluster_key_accepted) },
  { "platform", FQ_FIELD_ADDRESS, .required = true, FIELD (platform) },
  { "listen", FQ_FIELD_OBJECT, .required = true, .fields = listen_fields },
  { "limits", FQ_FIELD_OBJECT, .fields = limit_fields },
  { "report", FQ_FIELD_OBJECT, .fields = report_fields },
  { "log", FQ_FIELD_OBJECT, .fields = log_fields },
  { "test_faults", FQ_FIELD_OBJECT, .fields = test_fault_fields },
  { "seeds", FQ_FIELD_ADDRESSES, .offset = offsetof (fq_settings_t, seeds),
    .size = FQ_ADDRESS_BYTES, .max = FQ_SETTINGS_SEEDS_MAX,
    .count_offset = offsetof (fq_settings_t, seed_count) },
  { "members", FQ_FIELD_OBJECTS, .required = true,
    .offset = offsetof (fq_settings_t, members), .size = sizeof (fq_settings_member_t),
    .min = 1, .max = FQ_SETTINGS_MEMBERS_MAX, .fields = member_fields,
    .count_offset = offsetof (fq_settings_t, member_count) },
  { NULL },
};

static void
set_defaults (fq_settings_t *out)
{
  *out = (fq_settings_t){
    .default_deadline_ms = FQ_DEFAULT_DEADLINE_MS,
    .default_retries = FQ_DEFAULT_RETRIES,
    .body_bytes = FQ_DEFAULT_BODY_BYTES,
    .buffer_bytes = FQ_DEFAULT_BUFFER_BYTES,
    .stop_seconds = FQ_DEFAULT_STOP_SECONDS,
    .limit_policy = FQ_LIMIT_ADAPTIVE,
    .log_level = FQ_LOG_INFO,
    .rollup_ms = FQ_DEFAULT_ROLLUP_MS,
  };
}

static void
check_ports (fq_reader_t *reader, const fq_settings_t *settings)
{
  const int ports[] = { settings->peer_port, settings->caller_port,
                        settings->upstream_port, settings->operator_port };

  for (size_t i = 0; i < sizeof ports / sizeof ports[0]; i++)
    {
      for (size_t j = 0; j < i; j++)
        {
          if (ports[i] != 0 && ports[i] == ports[j])
            fq_reader_add_error (reader, "listen",
                                 "has port %d twice; allowed: one port for each listener",
                                 ports[i]);
        }
    }
}

/* A key identifies a member, so no two members may have the same one. */
static void
check_members (fq_reader_t *reader, const fq_settings_t *settings)
{
  const fq_settings_member_t *members = settings->members;

  for (size_t i = 0; i < settings->member_count; i++)
    {
      for (size_t j = 0; j < i; j++)
        {
          if (strcmp (members[i].name, members[j].name) == 0)
            fq_reader_add_error (reader, "members",
                                 "has the name %s twice; allowed: each name once",
                                 members[i].name);
          if (members[i].key[0] != '\0' && strcmp (members[i].key, members[j].key) == 0)
            fq_reader_add_error (
                reader, "members",
                "has the same key for %s and %s; allowed: a different key each",
                members[j].name, members[i].name);
        }
      if (members[i].key[0] != '\0'
          && strcmp (members[i].key, settings->cluster_key) == 0)
        fq_reader_add_error (reader, "cluster_key",
                             "is also the key of %s; allowed: a key that no member has",
                             members[i].name);
    }
}

static int
read_settings (fq_settings_t *out,
               const json_t *root,
               const char *name,
               const char *directory)
{
  fq_reader_t reader = { .directory = directory };

  set_defaults (out);
  if (!json_is_object (root))
    return fq_error_set (FQ_ERROR_CLASS_SETTINGS, FQ_ERROR_INVALID,
                         "%s: not a JSON object", name);
  fq_reader_read (&reader, out, node_fields, root);
  check_ports (&reader, out);
  check_members (&reader, out);
  if (reader.error_count == 0)
    return FQ_OK;
  return fq_error_set (FQ_ERROR_CLASS_SETTINGS, FQ_ERROR_INVALID, "%s: %zu fault%s\n%s",
                       name, reader.error_count, reader.error_count == 1 ? "" : "s",
                       reader.errors);
}

int
fq_settings_parse (fq_settings_t *out, const char *text, size_t size)
{
  json_error_t json_error;
  json_t *root = json_loadb (text, size, JSON_REJECT_DUPLICATES, &json_error);
  int rc;

  if (root == NULL)
    return fq_error_set (FQ_ERROR_CLASS_SETTINGS, FQ_ERROR_INVALID, "line %d: %s",
                         json_error.line, json_error.text);
  rc = read_settings (out, root, "settings", NULL);
  json_decref (root);
  return rc;
}

static void
parent_directory (char *to, const char *path)
{
  char *slash;

  fq_text_copy (to, FQ_SETTINGS_DIRECTORY_BYTES, path);
  slash = strrchr (to, '/');
  if (slash == NULL)
    fq_text_copy (to, FQ_SETTINGS_DIRECTORY_BYTES, ".");
  else
    slash[slash == to ? 1 : 0] = '\0';
}

int
fq_settings_load (fq_settings_t *out, const char *path)
{
  char directory[FQ_SETTINGS_DIRECTORY_BYTES];
  json_error_t json_error;
  json_t *root = json_load_file (path, JSON_REJECT_DUPLICATES, &json_error);
  int rc;

  if (root == NULL && json_error.line < 0)
    return fq_error_set (FQ_ERROR_CLASS_SETTINGS, FQ_ERROR_IO, "%s: %s", path,
                         json_error.text);
  if (root == NULL)
    return fq_error_set (FQ_ERROR_CLASS_SETTINGS, FQ_ERROR_INVALID, "%s:%d: %s", path,
                         json_error.line, json_error.text);
  parent_directory (directory, path);
  rc = read_settings (out, root, path, directory);
  json_decref (root);
  return rc;
}
