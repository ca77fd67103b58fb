#include "node/settings.h"

#include <string.h>

#include "settings/reader.h"

#define FQ_MEMORY_MB_MIN 1
#define FQ_DESCRIPTORS_MIN 64
#define FQ_PORT_MAX 65535

/* What the platform sets no bound for. */
#define UNBOUNDED .max = UINT32_MAX, .unbounded = true

#define FIELD(field)                                                                     \
  .offset = offsetof (fq_node_settings_t, field),                                        \
  .size = sizeof (((fq_node_settings_t *)NULL)->field)

static const char *const log_levels[] = { "info", "warning", NULL };

static const fq_field_t listen_fields[] = {
  { "requests", FQ_FIELD_ADDRESS, .required = true, FIELD (requests_address) },
  { "readiness", FQ_FIELD_ADDRESS, .required = true, FIELD (readiness_address) },
  { "reports", FQ_FIELD_ADDRESS, .required = true, FIELD (reports_address) },
  { "nodes", FQ_FIELD_ADDRESS, .required = true, FIELD (nodes_address) },
  { "metrics_port", FQ_FIELD_NUMBER, FIELD (metrics_port), .max = FQ_PORT_MAX },
  { NULL },
};

static const fq_field_t server_fields[] = {
  { "service", FQ_FIELD_TEXT, FIELD (service) },
  { "address", FQ_FIELD_ADDRESS, .required = true, FIELD (server_address) },
  { "report_interval", FQ_FIELD_DURATION, .required = true, FIELD (report_interval_ms),
    .min = 1, UNBOUNDED },
  { "drain", FQ_FIELD_DURATION, .required = true, FIELD (drain_ms), UNBOUNDED },
  { NULL },
};

static const fq_field_t retry_fields[] = {
  { "ratio", FQ_FIELD_DECIMAL, .required = true, FIELD (retry_ratio), UNBOUNDED },
  { "window", FQ_FIELD_DURATION, .required = true, FIELD (retry_window_ms), .min = 1,
    UNBOUNDED },
  { "slack", FQ_FIELD_DECIMAL, .required = true, FIELD (retry_slack), UNBOUNDED },
  { NULL },
};

static const fq_field_t limit_fields[] = {
  { "memory_mb", FQ_FIELD_DECIMAL, .required = true, FIELD (memory_mb),
    .min = FQ_MEMORY_MB_MIN, UNBOUNDED },
  { "descriptors", FQ_FIELD_NUMBER, .required = true, FIELD (descriptors),
    .min = FQ_DESCRIPTORS_MIN, UNBOUNDED },
  { "grace", FQ_FIELD_DURATION, .required = true, FIELD (grace_ms), UNBOUNDED },
  { NULL },
};

static const fq_field_t log_fields[] = {
  { "level", FQ_FIELD_CHOICE, FIELD (log_level), .choices = log_levels },
  { NULL },
};

static const fq_field_t fields[] = {
  { "node", FQ_FIELD_TEXT, .required = true, FIELD (node) },
  { "zone", FQ_FIELD_TEXT, .required = true, FIELD (zone) },
  { "ip", FQ_FIELD_IP, .required = true, FIELD (ip) },
  { "store", FQ_FIELD_ADDRESS, .required = true, FIELD (store_address) },
  { "listen", FQ_FIELD_OBJECT, .required = true, .fields = listen_fields },
  { "server", FQ_FIELD_OBJECT, .required = true, .fields = server_fields },
  { "retries", FQ_FIELD_OBJECT, .required = true, .fields = retry_fields },
  { "limits", FQ_FIELD_OBJECT, .required = true, .fields = limit_fields },
  { "log", FQ_FIELD_OBJECT, .fields = log_fields },
  { "seeds", FQ_FIELD_ADDRESSES, .offset = offsetof (fq_node_settings_t, seeds),
    .size = FQ_ADDRESS_BYTES, .max = FQ_NODE_SEEDS_MAX,
    .count_offset = offsetof (fq_node_settings_t, seed_count) },
  { NULL },
};

int
fq_node_settings_load (fq_node_settings_t *out, const char *path)
{
  fq_reader_t reader = { .directory = "." };
  json_error_t parse_error;
  json_t *root = json_load_file (path, JSON_REJECT_DUPLICATES, &parse_error);

  if (root == NULL && json_error_code (&parse_error) == json_error_numeric_overflow)
    root = json_load_file (path, JSON_REJECT_DUPLICATES | JSON_DECODE_INT_AS_REAL,
                           &parse_error);
  *out = (fq_node_settings_t){ 0 };
  if (root == NULL)
    return fq_error_set (FQ_ERROR_CLASS_SETTINGS,
                         parse_error.line < 0 ? FQ_ERROR_IO : FQ_ERROR_INVALID,
                         "%s:%d: %s", path, parse_error.line, parse_error.text);
  if (json_is_object (root))
    fq_reader_read (&reader, out, fields, root);
  else
    fq_reader_add_error (&reader, "", "is not a JSON object");
  json_decref (root);
  if (reader.error_count == 0)
    return FQ_OK;
  return fq_error_set (FQ_ERROR_CLASS_SETTINGS, FQ_ERROR_INVALID, "%s: %zu fault%s\n%s",
                       path, reader.error_count, reader.error_count == 1 ? "" : "s",
                       reader.errors);
}

void
fq_node_settings_clear (fq_node_settings_t *settings)
{
  fq_text_unref (settings->node);
  fq_text_unref (settings->zone);
  fq_text_unref (settings->service);
  *settings = (fq_node_settings_t){ 0 };
}
