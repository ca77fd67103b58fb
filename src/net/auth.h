/**
 * DOC: Proofs between nodes, from a key that all nodes of a cluster share.
 *
 * On TCP both sides send a nonce and then a proof over role, both names and both nonces:
 * a proof fits neither another connection nor the other role. A datagram carries a stamp
 * that only grows and a code over stamp and payload; the receiver remembers the last
 * stamps of each sender.
 */
#ifndef FQ_NET_AUTH_H
#define FQ_NET_AUTH_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "filbertquay/types.h"
#include "util/map.h"

#define FQ_AUTH_NONCE_BYTES 32
#define FQ_AUTH_PROOF_BYTES 32
#define FQ_AUTH_STAMP_BYTES 8
#define FQ_AUTH_CODE_BYTES 16
#define FQ_AUTH_DATAGRAM_HEADER_BYTES (FQ_AUTH_STAMP_BYTES + FQ_AUTH_CODE_BYTES)
#define FQ_AUTH_KEYS_MAX 2

/** struct fq_auth_keys_t - the first key proves; any of them is accepted. */
typedef struct
{
  const char *keys[FQ_AUTH_KEYS_MAX]; /* NULL or empty: none */
} fq_auth_keys_t;

/** enum fq_auth_role_t - who proves. */
typedef enum
{
  FQ_AUTH_OPENER = 1, /* the side that opened the connection */
  FQ_AUTH_ACCEPTER = 2,
} fq_auth_role_t;

/** struct fq_auth_exchange_t - what a proof is over. */
typedef struct
{
  const char *opener; /* names of the nodes */
  const char *accepter;
  uint8_t opener_nonce[FQ_AUTH_NONCE_BYTES];
  uint8_t accepter_nonce[FQ_AUTH_NONCE_BYTES];
} fq_auth_exchange_t;

/** fq_auth_nonce() - fresh random bytes; FQ_ERROR_IO when none can be had. */
int fq_auth_nonce (uint8_t nonce[FQ_AUTH_NONCE_BYTES]);

/** fq_auth_prove() - the proof of @role; FQ_ERROR_DENIED without a key. */
int fq_auth_prove (uint8_t proof[FQ_AUTH_PROOF_BYTES],
                   const fq_auth_keys_t *keys,
                   fq_auth_role_t role,
                   const fq_auth_exchange_t *exchange);

/** fq_auth_check() - 0 or FQ_ERROR_DENIED; takes the same time for any wrong proof. */
int fq_auth_check (const uint8_t *proof,
                   size_t size,
                   const fq_auth_keys_t *keys,
                   fq_auth_role_t role,
                   const fq_auth_exchange_t *exchange);

/**
 * fq_auth_seal() - write stamp and code in front of a payload.
 * @datagram: FQ_AUTH_DATAGRAM_HEADER_BYTES of room, then @size bytes of payload
 * @stamp: microseconds of the wall clock, larger than any before
 */
int
fq_auth_seal (uint8_t *datagram, size_t size, const fq_auth_keys_t *keys, uint64_t stamp);

/** fq_auth_verify_datagram() - check the code of a datagram and give its stamp. */
int fq_auth_verify_datagram (uint64_t *stamp,
                             const uint8_t *datagram,
                             size_t size,
                             const fq_auth_keys_t *keys);

#define FQ_AUTH_STAMPS 16                        /* remembered for each sender */
#define FQ_AUTH_SKEW_US (30 * INT64_C (1000000)) /* between wall clocks of two nodes */

/** struct fq_auth_window_t - stamps seen from each sender; zero-initialise. */
typedef struct
{
  fq_map_t senders;
} fq_auth_window_t;

/**
 * fq_auth_window_take() - whether @stamp of @sender is new and near the time of the wall
 * clock: FQ_ERROR_DENIED for a replay, a stamp older than all remembered ones, or one
 * more than FQ_AUTH_SKEW_US away.
 */
int fq_auth_window_take (fq_auth_window_t *window,
                         const char *sender,
                         uint64_t stamp,
                         uint64_t wall_us);

/** fq_auth_window_clear() - forget all. */
void fq_auth_window_clear (fq_auth_window_t *window);

#endif
