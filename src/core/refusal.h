/**
 * DOC: Error answers that a node generates itself, as problem documents (RFC 9457).
 */
#ifndef FQ_CORE_REFUSAL_H
#define FQ_CORE_REFUSAL_H

#include "filbertquay/message.h"

/**
 * fq_answer_init_error() - initialise @out as an error answer without a body.
 * @outcome: what is known of the work; with @cause it selects the HTTP status
 * @retry_after_ms: delay before a retry; 0: a retry would not help
 */
void fq_answer_init_error (fq_answer_t *out,
                           fq_cause_t cause,
                           fq_outcome_t outcome,
                           uint32_t retry_after_ms);

/**
 * fq_answer_write_problem() - set a problem document as the body of @answer.
 *
 * @answer owns the reference of the new body. Without memory the body stays as it was.
 */
void fq_answer_write_problem (fq_answer_t *answer);

/** fq_cause_is_gate_closed() - whether the gate accepts no requests at all at present. */
bool fq_cause_is_gate_closed (fq_cause_t cause);

/** fq_cause_is_retryable() - whether an attempt at another node may succeed. */
bool fq_cause_is_retryable (fq_cause_t cause);

#endif
