#include "net/auth.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>
#include <stdlib.h>
#include <string.h>

/* Above the largest handshake message: domain, role, two names and two nonces, each after
 * a byte with its length. */
#define FQ_AUTH_MESSAGE_BYTES 512

/* Domain separation: a MAC made for one purpose is not valid for the other. */
static const char connection_domain[] = "filbertquay connection 1";
static const char datagram_domain[] = "filbertquay datagram 1";

typedef struct
{
  uint64_t timestamps[FQ_AUTH_REPLAY_TIMESTAMPS];
} fq_sender_timestamps_t;

static int
denied (const char *reason)
{
  return fq_error_set (FQ_ERROR_CLASS_NET, FQ_ERROR_DENIED, "%s", reason);
}

int
fq_auth_generate_nonce (uint8_t nonce[FQ_AUTH_NONCE_BYTES])
{
  if (RAND_bytes (nonce, FQ_AUTH_NONCE_BYTES) != 1)
    return fq_error_set (FQ_ERROR_CLASS_NET, FQ_ERROR_IO, "the random generator failed");
  return FQ_OK;
}

/* Each field has its length in front, so that no two handshakes give the same message. */
static size_t
append_field (uint8_t *message, size_t used, const void *field, size_t size)
{
  message[used] = (uint8_t)size;
  memcpy (message + used + 1, field, size);
  return used + 1 + size;
}

static size_t
write_handshake (uint8_t *message,
                 fq_auth_role_t role,
                 const fq_auth_handshake_t *handshake)
{
  uint8_t role_byte = (uint8_t)role;
  size_t used = 0;

  used = append_field (message, used, connection_domain, sizeof connection_domain);
  used = append_field (message, used, &role_byte, 1);
  used = append_field (message, used, handshake->initiator,
                       strnlen (handshake->initiator, FQ_NAME_BYTES));
  used = append_field (message, used, handshake->responder,
                       strnlen (handshake->responder, FQ_NAME_BYTES));
  used = append_field (message, used, handshake->initiator_nonce, FQ_AUTH_NONCE_BYTES);
  return append_field (message, used, handshake->responder_nonce, FQ_AUTH_NONCE_BYTES);
}

static bool
is_key_set (const char *key)
{
  return key != NULL && key[0] != '\0';
}

static bool
compute_mac (uint8_t out[FQ_AUTH_PROOF_BYTES],
             const char *key,
             const uint8_t *message,
             size_t size)
{
  unsigned int length = 0;

  return HMAC (EVP_sha256 (), key, (int)strlen (key), message, size, out, &length) != NULL
         && length == FQ_AUTH_PROOF_BYTES;
}

/* Always tries all keys, so that the time taken does not reveal which one matches. */
static int
verify_mac (const uint8_t *proof,
            size_t proof_size,
            const fq_auth_keys_t *keys,
            const uint8_t *message,
            size_t size)
{
  uint8_t expected[FQ_AUTH_PROOF_BYTES];
  bool matches = false;

  for (size_t i = 0; i < FQ_AUTH_KEYS_MAX; i++)
    {
      if (!is_key_set (keys->keys[i])
          || !compute_mac (expected, keys->keys[i], message, size))
        continue;
      if (CRYPTO_memcmp (expected, proof, proof_size) == 0)
        matches = true;
    }
  OPENSSL_cleanse (expected, sizeof expected);
  return matches ? FQ_OK : denied ("the MAC matches no accepted key");
}

int
fq_auth_compute_proof (uint8_t proof[FQ_AUTH_PROOF_BYTES],
                       const fq_auth_keys_t *keys,
                       fq_auth_role_t role,
                       const fq_auth_handshake_t *handshake)
{
  uint8_t message[FQ_AUTH_MESSAGE_BYTES];
  size_t size = write_handshake (message, role, handshake);

  if (!is_key_set (keys->keys[0]) || !compute_mac (proof, keys->keys[0], message, size))
    return denied ("no cluster key is configured, or the MAC computation failed");
  return FQ_OK;
}

int
fq_auth_verify_proof (const uint8_t *proof,
                      size_t size,
                      const fq_auth_keys_t *keys,
                      fq_auth_role_t role,
                      const fq_auth_handshake_t *handshake)
{
  uint8_t message[FQ_AUTH_MESSAGE_BYTES];
  size_t used = write_handshake (message, role, handshake);

  if (size != FQ_AUTH_PROOF_BYTES)
    return denied ("the proof has the wrong size");
  return verify_mac (proof, size, keys, message, used);
}

static void
write_timestamp (uint8_t *to, uint64_t timestamp)
{
  for (int i = 0; i < FQ_AUTH_TIMESTAMP_BYTES; i++)
    to[i] = (uint8_t)(timestamp >> (8 * (FQ_AUTH_TIMESTAMP_BYTES - 1 - i)));
}

static uint64_t
read_timestamp (const uint8_t *from)
{
  uint64_t timestamp = 0;

  for (int i = 0; i < FQ_AUTH_TIMESTAMP_BYTES; i++)
    timestamp = timestamp << 8 | from[i];
  return timestamp;
}

/* What the MAC of a datagram covers: domain, timestamp and payload. The caller frees it;
 * NULL: out of memory. */
static uint8_t *
datagram_message (size_t *size, const uint8_t *datagram, size_t payload_size)
{
  size_t domain = sizeof datagram_domain;
  uint8_t *message = malloc (domain + FQ_AUTH_TIMESTAMP_BYTES + payload_size);

  if (message == NULL)
    return NULL;
  memcpy (message, datagram_domain, domain);
  memcpy (message + domain, datagram, FQ_AUTH_TIMESTAMP_BYTES);
  memcpy (message + domain + FQ_AUTH_TIMESTAMP_BYTES,
          datagram + FQ_AUTH_DATAGRAM_HEADER_BYTES, payload_size);
  *size = domain + FQ_AUTH_TIMESTAMP_BYTES + payload_size;
  return message;
}

int
fq_auth_sign_datagram (uint8_t *datagram,
                       size_t size,
                       const fq_auth_keys_t *keys,
                       uint64_t timestamp)
{
  uint8_t mac[FQ_AUTH_PROOF_BYTES];
  uint8_t *message;
  size_t message_size;
  bool is_signed;

  write_timestamp (datagram, timestamp);
  message = datagram_message (&message_size, datagram, size);
  if (message == NULL)
    return fq_error_set (FQ_ERROR_CLASS_NET, FQ_ERROR_NOMEM, "no memory for a datagram");
  is_signed = is_key_set (keys->keys[0])
              && compute_mac (mac, keys->keys[0], message, message_size);
  free (message);
  if (!is_signed)
    return denied ("no cluster key is configured, or the MAC computation failed");
  memcpy (datagram + FQ_AUTH_TIMESTAMP_BYTES, mac, FQ_AUTH_DATAGRAM_MAC_BYTES);
  return FQ_OK;
}

int
fq_auth_verify_datagram (uint64_t *timestamp,
                         const uint8_t *datagram,
                         size_t size,
                         const fq_auth_keys_t *keys)
{
  uint8_t *message;
  size_t message_size;
  int rc;

  if (size < FQ_AUTH_DATAGRAM_HEADER_BYTES)
    return denied ("the datagram is too short");
  message
      = datagram_message (&message_size, datagram, size - FQ_AUTH_DATAGRAM_HEADER_BYTES);
  if (message == NULL)
    return fq_error_set (FQ_ERROR_CLASS_NET, FQ_ERROR_NOMEM, "no memory for a datagram");
  rc = verify_mac (datagram + FQ_AUTH_TIMESTAMP_BYTES, FQ_AUTH_DATAGRAM_MAC_BYTES, keys,
                   message, message_size);
  free (message);
  *timestamp = read_timestamp (datagram);
  return rc;
}

static fq_sender_timestamps_t *
get_or_add_sender (fq_auth_replay_window_t *window, const char *name)
{
  uint64_t key = fq_map_hash (name);
  fq_sender_timestamps_t *sender = fq_map_get (&window->senders, key);

  if (sender != NULL)
    return sender;
  sender = calloc (1, sizeof *sender);
  if (sender == NULL || fq_map_set (&window->senders, key, sender) < 0)
    {
      free (sender);
      return NULL;
    }
  return sender;
}

int
fq_auth_replay_window_accept (fq_auth_replay_window_t *window,
                              const char *sender,
                              uint64_t timestamp,
                              uint64_t wall_us)
{
  uint64_t distance = timestamp > wall_us ? timestamp - wall_us : wall_us - timestamp;
  fq_sender_timestamps_t *known;
  size_t oldest = 0;

  if (distance > FQ_AUTH_CLOCK_SKEW_US)
    return denied ("the timestamp of the datagram is too far from the local clock");
  known = get_or_add_sender (window, sender);
  if (known == NULL)
    return fq_error_set (FQ_ERROR_CLASS_NET, FQ_ERROR_NOMEM, "no memory for a sender");
  for (size_t i = 0; i < FQ_AUTH_REPLAY_TIMESTAMPS; i++)
    {
      if (known->timestamps[i] == timestamp)
        return denied ("the datagram is a replay");
      if (known->timestamps[i] < known->timestamps[oldest])
        oldest = i;
    }
  if (timestamp < known->timestamps[oldest])
    return denied ("the datagram is older than the replay window");
  known->timestamps[oldest] = timestamp;
  return FQ_OK;
}

void
fq_auth_replay_window_clear (fq_auth_replay_window_t *window)
{
  size_t cursor = 0;
  fq_sender_timestamps_t *sender;

  while ((sender = fq_map_next (&window->senders, &cursor)) != NULL)
    free (sender);
  fq_map_clear (&window->senders);
}
