/**
 * DOC: Settings of a filbertquayd node, read from a JSON file.
 */
#ifndef FQ_SETTINGS_H
#define FQ_SETTINGS_H

#include "filbertquay/core.h"

#define FQ_SETTINGS_MEMBERS_MAX 64
#define FQ_SETTINGS_SEEDS_MAX 32

/** struct fq_settings_member_t - a client account that may call and operate. */
typedef struct
{
  char name[FQ_NAME_BYTES];
  char key[FQ_KEY_BYTES]; /* secret that its callers and operators present */
} fq_settings_member_t;

/** struct fq_settings_t - validated settings. */
typedef struct
{
  char node[FQ_NAME_BYTES];
  char failure_domain[FQ_NAME_BYTES];
  char region[FQ_NAME_BYTES];
  char address[FQ_NAME_BYTES]; /* IP to which all listeners but the upstream's bind */
  int peer_port;               /* TCP and UDP, for other nodes */
  int caller_port;
  int upstream_port; /* on the loopback interface */
  int operator_port;
  char cluster_key[FQ_KEY_BYTES];          /* shared secret by which nodes authenticate */
  char cluster_key_accepted[FQ_KEY_BYTES]; /* accepted too, for key rotation; or empty */
  char platform[FQ_ADDRESS_BYTES];         /* "ip:port" of the platform's store */
  char seeds[FQ_SETTINGS_SEEDS_MAX][FQ_ADDRESS_BYTES];
  size_t seed_count;
  fq_settings_member_t members[FQ_SETTINGS_MEMBERS_MAX];
  size_t member_count;
  uint32_t default_deadline_ms; /* for a request that states none */
  uint32_t default_retries;     /* of a whole chain for which no ticket sets them */
  uint32_t body_bytes;          /* maximum size of a request body */
  uint32_t buffer_bytes;        /* maximum size of all bodies in the node together */
  uint32_t stop_seconds;        /* maximum duration of a graceful shutdown */
  int limit_policy;             /* an fq_limit_policy_t */
  uint32_t rollup_ms;         /* between two roll-ups of a service's error-budget burn */
  int log_level;              /* an fq_log_level_t: less severe lines are not logged */
  uint32_t test_drop_percent; /* for tests: share of received datagrams to drop */
} fq_settings_t;

/**
 * fq_settings_parse() - like fq_settings_load(), from @size bytes of JSON at @text.
 *
 * Files that the settings name are looked up in the current directory.
 *
 * Return: 0 or FQ_ERROR_INVALID.
 */
int fq_settings_parse (fq_settings_t *out, const char *text, size_t size);

/**
 * fq_settings_load() - read and validate the settings in the file @path.
 * @out: what is not set gets its default; incomplete on failure
 * @path: files that the settings name are relative to its directory
 *
 * Return: 0; FQ_ERROR_IO when the file can't be read; FQ_ERROR_INVALID when it is not
 * valid JSON or settings are invalid. The last error message then lists all invalid
 * settings, one a line.
 */
int fq_settings_load (fq_settings_t *out, const char *path);

#endif
