/**
 * DOC: Plain types that every part shares.
 *
 * Times are microseconds on one monotonic clock of the node unless a name says
 * otherwise. Names of members, services and nodes are NUL-terminated ASCII.
 */
#ifndef FQ_TYPES_H
#define FQ_TYPES_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "filbertquay/errors.h"

#define FQ_NAME_BYTES 64     /* a member, service, node or failure domain, with its NUL */
#define FQ_SERVICE_BYTES 128 /* "member/service", with its NUL */
#define FQ_ADDRESS_BYTES 64  /* "ip:port", with its NUL */
#define FQ_PATH_BYTES 1024   /* the path and query of a request, with its NUL */
#define FQ_KEY_BYTES 128     /* an idempotency key, with its NUL */
#define FQ_METHOD_BYTES 16   /* an HTTP method, with its NUL */
#define FQ_HEADER_BYTES 128  /* a short header value such as a content type */
#define FQ_LOCATION_BYTES 512 /* the location of a redirect or of a created resource */

#define FQ_MICROSECONDS_PER_MS 1000
#define FQ_MICROSECONDS_PER_SECOND 1000000

/** typedef fq_time_t - microseconds of the node's monotonic clock. */
typedef int64_t fq_time_t;

/** typedef fq_id_t - an identifier that is unique within its node; 0 is none. */
typedef uint64_t fq_id_t;

/** enum fq_class_t - priority classes, most important first. */
typedef enum
{
  FQ_CLASS_CRITICAL, /* shed last: a release, a sale confirmation */
  FQ_CLASS_NORMAL,   /* uploads, intake records and internal calls */
  FQ_CLASS_LOOKUP,   /* shed first: reads that can be asked again */
  FQ_CLASS_COUNT,
} fq_class_t;

/** enum fq_outcome_t - what is known of the work behind an answer. */
typedef enum
{
  FQ_OUTCOME_ANSWERED, /* a whole answer of the upstream is at hand */
  FQ_OUTCOME_NOT_RUN,  /* the work was not and will not be run */
  FQ_OUTCOME_UNKNOWN,  /* the work may have run, in part or whole */
} fq_outcome_t;

/** enum fq_cause_t - why a request was refused or an attempt ended. */
typedef enum
{
  FQ_CAUSE_NONE,
  FQ_CAUSE_BAD_REQUEST,       /* malformed, or a needed header is missing */
  FQ_CAUSE_DENIED,            /* wrong key, or another member's service */
  FQ_CAUSE_NO_SERVICE,        /* no such service is known to this member */
  FQ_CAUSE_NO_UPSTREAM,       /* no ready upstream serves it now */
  FQ_CAUSE_OVERLOAD,          /* the gate or entry sheds this class */
  FQ_CAUSE_DEADLINE,          /* it can't be, or was not, done in time */
  FQ_CAUSE_DRAINING,          /* this upstream or node takes no new work */
  FQ_CAUSE_STORE_UNAVAILABLE, /* the platform's store can't be asked */
  FQ_CAUSE_IN_PROGRESS,       /* another attempt holds the idempotency key */
  FQ_CAUSE_KEY_REUSED,        /* the idempotency key was used for another request */
  FQ_CAUSE_POISON,            /* it crashed upstreams before */
  FQ_CAUSE_CONNECT_FAILED,    /* no connection; nothing was sent */
  FQ_CAUSE_CONNECTION_LOST,   /* the connection ended after the work was sent */
  FQ_CAUSE_CALLER_GONE,       /* the caller went away */
  FQ_CAUSE_RETRIES_SPENT,     /* the chain's retry allowance is used up */
  FQ_CAUSE_NOT_READY,         /* the node has not confirmed its tickets yet */
  FQ_CAUSE_COUNT,
} fq_cause_t;

/** struct fq_load_t - what a gate says of itself with every answer. */
typedef struct
{
  uint32_t limit;      /* requests that may run at once */
  uint32_t in_flight;  /* requests that run now */
  uint32_t queued;     /* requests that wait */
  uint32_t service_us; /* smoothed time of one request in the upstream */
  uint8_t
      shed_class; /* the most important class that is being shed; FQ_CLASS_COUNT: none */
  uint8_t shed_percent; /* share of @shed_class that is refused; classes below it: all */
} fq_load_t;

/** fq_class_name() - a class as tickets, headers and counters write it. */
const char *fq_class_name (fq_class_t request_class);

/** fq_class_parse() - the class called @name; FQ_ERROR_INVALID when there is none. */
int fq_class_parse (fq_class_t *out, const char *name);

/** fq_outcome_name() - an outcome as headers write it. */
const char *fq_outcome_name (fq_outcome_t outcome);

/** fq_cause_name() - a cause as problem documents, events and counters write it. */
const char *fq_cause_name (fq_cause_t cause);

#endif
