/**
 * DOC: Basic types that all parts share.
 *
 * Times are microseconds of the node's monotonic clock unless a name says otherwise.
 * Names of members (client accounts), services and nodes are NUL-terminated ASCII.
 *
 * The gate of a node admits requests to the upstream (the back end) beside it. The entry
 * is the node that a request reached first; it chooses the gate to send it to.
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
  FQ_CLASS_NORMAL,   /* uploads, intake records and calls between services */
  FQ_CLASS_LOOKUP,   /* shed first: reads that can be repeated */
  FQ_CLASS_COUNT,
} fq_class_t;

/** enum fq_outcome_t - whether a request was executed, as far as is known. */
typedef enum
{
  FQ_OUTCOME_ANSWERED, /* executed: the complete answer of the upstream is there */
  FQ_OUTCOME_NOT_RUN,  /* it was not executed and will not be */
  FQ_OUTCOME_UNKNOWN,  /* it may have been executed, in part or completely */
} fq_outcome_t;

/** enum fq_cause_t - why a request was refused or an attempt ended. */
typedef enum
{
  FQ_CAUSE_NONE,
  FQ_CAUSE_BAD_REQUEST,       /* malformed, or a required header is missing */
  FQ_CAUSE_DENIED,            /* wrong key, or another member's service */
  FQ_CAUSE_NO_SERVICE,        /* no known node serves this service */
  FQ_CAUSE_NO_UPSTREAM,       /* no upstream that serves it accepts requests at present */
  FQ_CAUSE_OVERLOAD,          /* refused for load by the gate, entry or upstream */
  FQ_CAUSE_DEADLINE,          /* it was not, or could not be, executed in time */
  FQ_CAUSE_DRAINING,          /* this upstream or node accepts no new requests */
  FQ_CAUSE_STORE_UNAVAILABLE, /* the platform's store is not available */
  FQ_CAUSE_IN_PROGRESS,       /* another attempt holds the idempotency key */
  FQ_CAUSE_KEY_REUSED,        /* the idempotency key was used for another request */
  FQ_CAUSE_POISON,            /* refused: blocked as suspected of crashing upstreams */
  FQ_CAUSE_CONNECT_FAILED,    /* no connection to the upstream; nothing was sent */
  FQ_CAUSE_CONNECTION_LOST,   /* the connection ended after the request was sent */
  FQ_CAUSE_CALLER_GONE,       /* the caller disconnected, or the calling run has ended */
  FQ_CAUSE_RETRIES_SPENT,     /* the retry allowance of the chain is used up */
  FQ_CAUSE_NOT_READY, /* the node has not yet confirmed that its tickets are current */
  FQ_CAUSE_COUNT,
} fq_cause_t;

/** struct fq_load_t - load of a gate, reported with every answer. */
typedef struct
{
  uint32_t limit;       /* requests that may run at once; 0: no load is reported */
  uint32_t in_flight;   /* requests that are running */
  uint32_t queued;      /* requests that wait for admission */
  uint32_t service_us;  /* smoothed time of a request in the upstream; 0: unknown */
  uint8_t shed_class;   /* most important class that is shed; FQ_CLASS_COUNT: none */
  uint8_t shed_percent; /* share of @shed_class shed; less important classes: all */
} fq_load_t;

/** fq_class_name() - name of a class in tickets, headers and metrics; static. */
const char *fq_class_name (fq_class_t request_class);

/**
 * fq_class_parse() - find the class of a name that fq_class_name() returns.
 *
 * Return: 0, or FQ_ERROR_INVALID with @out unchanged.
 */
int fq_class_parse (fq_class_t *out, const char *name);

/** fq_outcome_name() - name of an outcome in headers; static. */
const char *fq_outcome_name (fq_outcome_t outcome);

/** fq_cause_name() - name of a cause in problem documents, events and metrics; static. */
const char *fq_cause_name (fq_cause_t cause);

#endif
