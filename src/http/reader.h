/**
 * DOC: Reads whole HTTP/1.1 messages from a stream of bytes, by http-parser.
 *
 * What the library lets through and other implementations read differently is refused
 * here: folded lines, bare line feeds, NUL, blanks before a colon, more than one Host,
 * a length together with chunks, transfer codings other than chunked.
 */
#ifndef FQ_HTTP_READER_H
#define FQ_HTTP_READER_H

#include <http_parser.h>

#include "http/message.h"

/** enum fq_http_kind_t - which side of an exchange is read. */
typedef enum
{
  FQ_HTTP_REQUESTS,
  FQ_HTTP_ANSWERS,
} fq_http_kind_t;

/** enum fq_http_progress_t - what feeding came to. */
typedef enum
{
  FQ_HTTP_INCOMPLETE, /* the message goes on */
  FQ_HTTP_COMPLETE,   /* fq_http_reader_take() has it */
  FQ_HTTP_REJECTED,   /* no message; fq_http_reader_error() tells why */
} fq_http_progress_t;

/** struct fq_http_limits_t - the most that is read of one message. */
typedef struct
{
  size_t head_bytes;
  size_t body_bytes;
} fq_http_limits_t;

/** struct fq_http_reader_t - set up with fq_http_reader_init(). */
typedef struct
{
  http_parser parser;
  fq_http_kind_t kind;
  fq_http_limits_t limits;
  fq_buffer_t head;           /* bytes of the head so far */
  fq_buffer_t chunks;         /* the body so far, when its length is not known */
  fq_http_message_t *message; /* under way */
  fq_buffer_t fields;         /* end-to-end lines of the message */
  size_t received;            /* bytes of a body of known length */
  char *nominated;            /* value of the Connection field */
  unsigned int hosts;         /* Host fields */
  const char *field_name;     /* of the line that is being read, in the head */
  size_t field_name_size;
  bool head_is_whole;
  bool trailers; /* fields after the body, which are dropped */
  bool is_whole;
  bool to_head_request; /* the next answer has no body whatever its fields say */
  bool keep_alive;      /* valid once whole */
  bool expects_continue;
  uint32_t keep_alive_seconds; /* that an answer states; 0: not stated */
  uint16_t status;             /* to answer a bad request with; 0: none yet */
  const char *reason;          /* static */
} fq_http_reader_t;

/** fq_http_reader_init() - ready for a first message. */
void fq_http_reader_init (fq_http_reader_t *reader,
                          fq_http_kind_t kind,
                          const fq_http_limits_t *limits);

/** fq_http_reader_clear() - free what it holds. */
void fq_http_reader_clear (fq_http_reader_t *reader);

/**
 * fq_http_reader_feed() - read on.
 * @used: how many bytes belong to the message; the rest belongs to the next
 */
fq_http_progress_t fq_http_reader_feed (fq_http_reader_t *reader,
                                        const uint8_t *data,
                                        size_t size,
                                        size_t *used);

/** fq_http_reader_end() - the connection ended cleanly: is the message whole by that? */
fq_http_progress_t fq_http_reader_end (fq_http_reader_t *reader);

/** fq_http_reader_take() - the whole message; the reader is ready for the next. */
fq_http_message_t *fq_http_reader_take (fq_http_reader_t *reader);

/** fq_http_reader_is_idle() - whether no byte of a message has come. */
bool fq_http_reader_is_idle (const fq_http_reader_t *reader);

#endif
