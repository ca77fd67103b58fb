/**
 * DOC: Requests and answers, complete with their bodies, as the core handles them.
 *
 * A chain is a request from outside together with all calls that upstreams make to serve
 * it. Its retries come from one allowance: an attempt takes a part of it along, and its
 * answer returns what is left.
 */
#ifndef FQ_MESSAGE_H
#define FQ_MESSAGE_H

#include "filbertquay/blob.h"
#include "filbertquay/types.h"

/** struct fq_request_t - one request; reference-counted. */
typedef struct
{
  uint32_t references;
  char member[FQ_NAME_BYTES];     /* client account on whose behalf it is made */
  char service[FQ_SERVICE_BYTES]; /* "member/service" that is called */
  char method[FQ_METHOD_BYTES];
  char path[FQ_PATH_BYTES];
  char content_type[FQ_HEADER_BYTES];
  char key[FQ_KEY_BYTES]; /* idempotency key; empty: none */
  char traceparent[FQ_HEADER_BYTES];
  char chain[FQ_HEADER_BYTES]; /* token that the upstream received; empty: new chain */
  uint64_t chain_id;           /* the same for all requests of a chain */
  uint32_t remaining_ms; /* to the deadline at receipt; 0 in a new request: none stated */
  uint32_t retry_allowance; /* of FQ_EVENT_PEER_CALL: retries for the calls of its run */
  fq_class_t request_class;
  bool once;              /* is executed at most once */
  bool internal;          /* an upstream's call in a chain already admitted */
  uint64_t crash_id;      /* id of the upstream crash that makes it suspect; 0: none */
  uint64_t ticket_number; /* highest ticket in force at the entry; 0: the entry has not
                             yet confirmed that its tickets are current */
  fq_blob_t *body;        /* NULL: none */
} fq_request_t;

/** struct fq_answer_t - how a request or attempt ended. */
typedef struct
{
  fq_outcome_t outcome;
  fq_cause_t cause;
  uint16_t status; /* HTTP status */
  char content_type[FQ_HEADER_BYTES];
  char location[FQ_LOCATION_BYTES]; /* empty: none */
  uint32_t retry_after_ms;          /* wait before another try; 0: not stated */
  uint32_t retry_allowance;         /* retries left of those that the attempt carried */
  bool replayed;                    /* this is the stored answer of an earlier attempt */
  bool refused_downstream; /* a call that its run made was refused for overload */
  uint64_t crash_id;       /* id of the upstream crash that makes it suspect; 0: none */
  fq_load_t load;
  fq_blob_t *body; /* NULL: none */
} fq_answer_t;

/**
 * fq_request_new() - allocate a zeroed request with one reference.
 *
 * Return: 0, or FQ_ERROR_NOMEM with @out unchanged.
 */
int fq_request_new (fq_request_t **out);

/** fq_request_ref() - add a reference; returns @request, which may be NULL. */
fq_request_t *fq_request_ref (fq_request_t *request);

/** fq_request_unref() - drop a reference; frees with the last one; NULL-safe. */
void fq_request_unref (fq_request_t *request);

/**
 * fq_request_fingerprint() - a hash that identifies the work of a request.
 *
 * It covers the service and the idempotency key or, without a key, the service, method,
 * path and body.
 */
uint64_t fq_request_fingerprint (const fq_request_t *request);

#endif
