#include "net/auth.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>
#include <stdlib.h>
#include <string.h>

#define FQ_AUTH_TEXT_BYTES 512

/* What a code is for, so that none fits another use. */
static const char connection_domain[] = "filbertquay connection 1";
static const char datagram_domain[] = "filbertquay datagram 1";

typedef struct
{
  uint64_t stamps[FQ_AUTH_STAMPS];
} fq_sender_t;

static int
denied (const char *why)
{
  return fq_error_set (FQ_ERROR_CLASS_NET, FQ_ERROR_DENIED, "%s", why);
}

int
fq_auth_nonce (uint8_t nonce[FQ_AUTH_NONCE_BYTES])
{
  if (RAND_bytes (nonce, FQ_AUTH_NONCE_BYTES) != 1)
    return fq_error_set (FQ_ERROR_CLASS_NET, FQ_ERROR_IO, "no random bytes can be had");
  return FQ_OK;
}

/* Each field has its length in front, so that no two exchanges give the same text. */
static size_t
add_field (uint8_t *text, size_t used, const void *field, size_t size)
{
  text[used] = (uint8_t)size;
  memcpy (text + used + 1, field, size);
  return used + 1 + size;
}

static size_t
write_exchange (uint8_t *text, fq_auth_role_t role, const fq_auth_exchange_t *exchange)
{
  uint8_t role_byte = (uint8_t)role;
  size_t used = 0;

  used = add_field (text, used, connection_domain, sizeof connection_domain);
  used = add_field (text, used, &role_byte, 1);
  used = add_field (text, used, exchange->opener,
                    strnlen (exchange->opener, FQ_NAME_BYTES));
  used = add_field (text, used, exchange->accepter,
                    strnlen (exchange->accepter, FQ_NAME_BYTES));
  used = add_field (text, used, exchange->opener_nonce, FQ_AUTH_NONCE_BYTES);
  return add_field (text, used, exchange->accepter_nonce, FQ_AUTH_NONCE_BYTES);
}

static bool
is_key (const char *key)
{
  return key != NULL && key[0] != '\0';
}

static bool
sign (uint8_t out[FQ_AUTH_PROOF_BYTES], const char *key, const uint8_t *text, size_t size)
{
  unsigned int length = 0;

  return HMAC (EVP_sha256 (), key, (int)strlen (key), text, size, out, &length) != NULL
         && length == FQ_AUTH_PROOF_BYTES;
}

/* All keys are tried, so that the time tells nothing of which one fits. */
static int
check_signature (const uint8_t *proof,
                 size_t proof_size,
                 const fq_auth_keys_t *keys,
                 const uint8_t *text,
                 size_t size)
{
  uint8_t wanted[FQ_AUTH_PROOF_BYTES];
  bool fits = false;

  for (size_t i = 0; i < FQ_AUTH_KEYS_MAX; i++)
    {
      if (!is_key (keys->keys[i]) || !sign (wanted, keys->keys[i], text, size))
        continue;
      if (CRYPTO_memcmp (wanted, proof, proof_size) == 0)
        fits = true;
    }
  OPENSSL_cleanse (wanted, sizeof wanted);
  return fits ? FQ_OK : denied ("the proof does not fit");
}

int
fq_auth_prove (uint8_t proof[FQ_AUTH_PROOF_BYTES],
               const fq_auth_keys_t *keys,
               fq_auth_role_t role,
               const fq_auth_exchange_t *exchange)
{
  uint8_t text[FQ_AUTH_TEXT_BYTES];
  size_t size = write_exchange (text, role, exchange);

  if (!is_key (keys->keys[0]) || !sign (proof, keys->keys[0], text, size))
    return denied ("no key to prove with");
  return FQ_OK;
}

int
fq_auth_check (const uint8_t *proof,
               size_t size,
               const fq_auth_keys_t *keys,
               fq_auth_role_t role,
               const fq_auth_exchange_t *exchange)
{
  uint8_t text[FQ_AUTH_TEXT_BYTES];
  size_t used = write_exchange (text, role, exchange);

  if (size != FQ_AUTH_PROOF_BYTES)
    return denied ("the proof has a wrong size");
  return check_signature (proof, size, keys, text, used);
}

static void
write_stamp (uint8_t *to, uint64_t stamp)
{
  for (int i = 0; i < FQ_AUTH_STAMP_BYTES; i++)
    to[i] = (uint8_t)(stamp >> (8 * (FQ_AUTH_STAMP_BYTES - 1 - i)));
}

static uint64_t
read_stamp (const uint8_t *from)
{
  uint64_t stamp = 0;

  for (int i = 0; i < FQ_AUTH_STAMP_BYTES; i++)
    stamp = stamp << 8 | from[i];
  return stamp;
}

/* The text under a datagram's code: domain, stamp, payload. Freed by the caller. */
static uint8_t *
datagram_text (size_t *size, const uint8_t *datagram, size_t payload_size)
{
  size_t domain = sizeof datagram_domain;
  uint8_t *text = malloc (domain + FQ_AUTH_STAMP_BYTES + payload_size);

  if (text == NULL)
    return NULL;
  memcpy (text, datagram_domain, domain);
  memcpy (text + domain, datagram, FQ_AUTH_STAMP_BYTES);
  memcpy (text + domain + FQ_AUTH_STAMP_BYTES, datagram + FQ_AUTH_DATAGRAM_HEADER_BYTES,
          payload_size);
  *size = domain + FQ_AUTH_STAMP_BYTES + payload_size;
  return text;
}

int
fq_auth_seal (uint8_t *datagram, size_t size, const fq_auth_keys_t *keys, uint64_t stamp)
{
  uint8_t code[FQ_AUTH_PROOF_BYTES];
  uint8_t *text;
  size_t text_size;
  bool signed_now;

  write_stamp (datagram, stamp);
  text = datagram_text (&text_size, datagram, size);
  if (text == NULL)
    return fq_error_set (FQ_ERROR_CLASS_NET, FQ_ERROR_NOMEM, "no memory for a datagram");
  signed_now = is_key (keys->keys[0]) && sign (code, keys->keys[0], text, text_size);
  free (text);
  if (!signed_now)
    return denied ("no key to prove with");
  memcpy (datagram + FQ_AUTH_STAMP_BYTES, code, FQ_AUTH_CODE_BYTES);
  return FQ_OK;
}

int
fq_auth_verify_datagram (uint64_t *stamp,
                         const uint8_t *datagram,
                         size_t size,
                         const fq_auth_keys_t *keys)
{
  uint8_t *text;
  size_t text_size;
  int rc;

  if (size < FQ_AUTH_DATAGRAM_HEADER_BYTES)
    return denied ("the datagram is too short");
  text = datagram_text (&text_size, datagram, size - FQ_AUTH_DATAGRAM_HEADER_BYTES);
  if (text == NULL)
    return fq_error_set (FQ_ERROR_CLASS_NET, FQ_ERROR_NOMEM, "no memory for a datagram");
  rc = check_signature (datagram + FQ_AUTH_STAMP_BYTES, FQ_AUTH_CODE_BYTES, keys, text,
                        text_size);
  free (text);
  *stamp = read_stamp (datagram);
  return rc;
}

static fq_sender_t *
sender_of (fq_auth_window_t *window, const char *name)
{
  uint64_t key = fq_map_hash (name);
  fq_sender_t *sender = fq_map_get (&window->senders, key);

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
fq_auth_window_take (fq_auth_window_t *window,
                     const char *sender,
                     uint64_t stamp,
                     uint64_t wall_us)
{
  uint64_t distance = stamp > wall_us ? stamp - wall_us : wall_us - stamp;
  fq_sender_t *known;
  size_t oldest = 0;

  if (distance > FQ_AUTH_SKEW_US)
    return denied ("the datagram is from another time");
  known = sender_of (window, sender);
  if (known == NULL)
    return fq_error_set (FQ_ERROR_CLASS_NET, FQ_ERROR_NOMEM, "no memory for a sender");
  for (size_t i = 0; i < FQ_AUTH_STAMPS; i++)
    {
      if (known->stamps[i] == stamp)
        return denied ("the datagram came before");
      if (known->stamps[i] < known->stamps[oldest])
        oldest = i;
    }
  if (stamp < known->stamps[oldest])
    return denied ("the datagram is too old");
  known->stamps[oldest] = stamp;
  return FQ_OK;
}

void
fq_auth_window_clear (fq_auth_window_t *window)
{
  size_t cursor = 0;
  fq_sender_t *sender;

  while ((sender = fq_map_next (&window->senders, &cursor)) != NULL)
    free (sender);
  fq_map_clear (&window->senders);
}
