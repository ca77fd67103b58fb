/**
 * DOC: Authentication between nodes by HMAC-SHA-256 under a key that all nodes of a
 * cluster share.
 *
 * On TCP both sides send a nonce and then a proof, a MAC over the role, both node names
 * and both nonces: a proof is valid neither on another connection nor in the other role.
 * A datagram carries a strictly increasing timestamp and a MAC over timestamp and
 * payload; the receiver detects replays by the latest timestamps of each sender.
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
#define FQ_AUTH_TIMESTAMP_BYTES 8
#define FQ_AUTH_DATAGRAM_MAC_BYTES 16
#define FQ_AUTH_DATAGRAM_HEADER_BYTES                                                    \
  (FQ_AUTH_TIMESTAMP_BYTES + FQ_AUTH_DATAGRAM_MAC_BYTES)
#define FQ_AUTH_KEYS_MAX 2

/**
 * struct fq_auth_keys_t - cluster keys; a second one serves key rotation.
 *
 * MACs are computed with the first key and accepted under any of them.
 */
typedef struct
{
  const char *keys[FQ_AUTH_KEYS_MAX]; /* NULL or empty: unused */
} fq_auth_keys_t;

/** enum fq_auth_role_t - the side of a handshake that computes a proof. */
typedef enum
{
  FQ_AUTH_INITIATOR = 1, /* the side that opened the connection */
  FQ_AUTH_RESPONDER = 2,
} fq_auth_role_t;

/** struct fq_auth_handshake_t - what a proof covers, besides the role. */
typedef struct
{
  const char *initiator; /* node name */
  const char *responder; /* node name */
  uint8_t initiator_nonce[FQ_AUTH_NONCE_BYTES];
  uint8_t responder_nonce[FQ_AUTH_NONCE_BYTES];
} fq_auth_handshake_t;

/** fq_auth_generate_nonce() - random bytes; FQ_ERROR_IO when the generator fails. */
int fq_auth_generate_nonce (uint8_t nonce[FQ_AUTH_NONCE_BYTES]);

/** fq_auth_compute_proof() - the proof of @role; FQ_ERROR_DENIED without a first key, or
 * when the computation of the MAC fails. */
int fq_auth_compute_proof (uint8_t proof[FQ_AUTH_PROOF_BYTES],
                           const fq_auth_keys_t *keys,
                           fq_auth_role_t role,
                           const fq_auth_handshake_t *handshake);

/**
 * fq_auth_verify_proof() - check the proof that the side with @role sent.
 *
 * Takes the same time for any invalid proof of the right size.
 *
 * Return: 0 or FQ_ERROR_DENIED.
 */
int fq_auth_verify_proof (const uint8_t *proof,
                          size_t size,
                          const fq_auth_keys_t *keys,
                          fq_auth_role_t role,
                          const fq_auth_handshake_t *handshake);

/**
 * fq_auth_sign_datagram() - write the timestamp and the MAC in front of a payload.
 * @datagram: FQ_AUTH_DATAGRAM_HEADER_BYTES to be filled in, then @size bytes of payload
 * @timestamp: microseconds of the wall clock, greater than that of any earlier datagram
 *
 * Return: 0; FQ_ERROR_DENIED without a first key, or when the computation of the MAC
 * fails; FQ_ERROR_NOMEM.
 */
int fq_auth_sign_datagram (uint8_t *datagram,
                           size_t size,
                           const fq_auth_keys_t *keys,
                           uint64_t timestamp);

/**
 * fq_auth_verify_datagram() - check the MAC of a datagram.
 * @timestamp: that of the datagram; valid only when 0 is returned
 * @size: of the whole datagram
 *
 * Return: 0, FQ_ERROR_DENIED, or FQ_ERROR_NOMEM.
 */
int fq_auth_verify_datagram (uint64_t *timestamp,
                             const uint8_t *datagram,
                             size_t size,
                             const fq_auth_keys_t *keys);

#define FQ_AUTH_REPLAY_TIMESTAMPS 16                   /* recorded for each sender */
#define FQ_AUTH_CLOCK_SKEW_US (30 * INT64_C (1000000)) /* tolerated between nodes */

/** struct fq_auth_replay_window_t - latest timestamps of each sender; zero-initialise. */
typedef struct
{
  fq_map_t senders;
} fq_auth_replay_window_t;

/**
 * fq_auth_replay_window_accept() - check that a datagram is new, and record its
 * timestamp.
 * @wall_us: microseconds of this node's wall clock
 *
 * Return: 0; FQ_ERROR_DENIED for a replay, for a timestamp older than all that are
 * recorded of @sender and for one that differs from @wall_us by more than
 * FQ_AUTH_CLOCK_SKEW_US; FQ_ERROR_NOMEM.
 */
int fq_auth_replay_window_accept (fq_auth_replay_window_t *window,
                                  const char *sender,
                                  uint64_t timestamp,
                                  uint64_t wall_us);

/** fq_auth_replay_window_clear() - free all senders and their timestamps. */
void fq_auth_replay_window_clear (fq_auth_replay_window_t *window);

#endif
