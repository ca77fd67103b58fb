/**
 * DOC: Incremental parser of HTTP/1.1 messages, based on http-parser.
 *
 * It rejects input that http-parser accepts but other implementations interpret
 * differently: folded field lines, bare line feeds, NUL, white space before a colon, more
 * than one Host field, Content-Length together with chunked coding, transfer codings
 * other than chunked, and status codes that are none.
 */
#ifndef FQ_HTTP_READER_H
#define FQ_HTTP_READER_H

#include <http_parser.h>

#include "filbertquay/memory.h"
#include "http/message.h"

/** enum fq_http_kind_t - the kind of message that a reader parses. */
typedef enum
{
  FQ_HTTP_REQUESTS,
  FQ_HTTP_ANSWERS,
} fq_http_kind_t;

/** enum fq_http_progress_t - state of the current message after more input. */
typedef enum
{
  FQ_HTTP_INCOMPLETE, /* the message is incomplete: more input is needed */
  FQ_HTTP_COMPLETE,   /* complete: fq_http_reader_take() returns the message */
  FQ_HTTP_REJECTED,   /* rejected: see @error_status and @error_reason of the reader */
  FQ_HTTP_NO_ROOM,    /* no memory for the body now: the rest is to be fed again later */
} fq_http_progress_t;

/** struct fq_http_limits_t - maximum size of a message; a larger one is rejected. */
typedef struct
{
  size_t head_bytes; /* start line and fields, with the empty line after them */
  size_t body_bytes; /* after removal of the chunked coding */
} fq_http_limits_t;

/** struct fq_http_reader_t - set up with fq_http_reader_init(). */
typedef struct
{
  http_parser parser;
  fq_http_kind_t kind;
  fq_http_limits_t limits;
  fq_buffer_t head;           /* the head as far as it was received */
  fq_http_message_t *message; /* being read; NULL: none. Its body grows as it arrives */
  fq_buffer_t fields;         /* end-to-end field lines of @message */
  size_t body_length;         /* stated size of the body; 0: none is stated */
  size_t body_received;       /* bytes of the body so far */
  /* Asks the owner to make room for the body; returns whether it fits now. It must not
   * free the reader. NULL: nothing can be done, and without memory the message is
   * rejected */
  bool (*make_room) (void *context, const fq_room_t *room);
  void *context;
  size_t framing_received;    /* bytes after the head that are not body: chunk sizes and
                               * extensions, trailers */
  unsigned int interim_count; /* interim answers before @message */
  char *connection_options;   /* values of all Connection fields; NULL: none */
  unsigned int host_count;    /* number of Host fields */
  const char *field_name;     /* of the current field line; points into @head */
  size_t field_name_size;
  bool head_is_complete;
  bool in_trailers; /* the head is parsed; trailer fields are dropped */
  bool is_complete;
  bool answers_head_request; /* answer to HEAD: no body, whatever its fields say */
  bool keep_alive;           /* may the connection be reused; valid when complete */
  bool expects_continue;
  uint32_t keep_alive_seconds; /* timeout of the Keep-Alive field; 0: none was sent */
  uint16_t error_status;       /* HTTP status for a rejected request; 0: not set */
  const char *error_reason;    /* static text; NULL: not set */
} fq_http_reader_t;

/** fq_http_reader_init() - prepare for the first message of a connection. */
void fq_http_reader_init (fq_http_reader_t *reader,
                          fq_http_kind_t kind,
                          const fq_http_limits_t *limits);

/** fq_http_reader_clear() - free the current message and all buffers. */
void fq_http_reader_clear (fq_http_reader_t *reader);

/**
 * fq_http_reader_feed() - parse more input.
 * @used: receives the number of bytes consumed; the remaining ones are to be fed again
 * after fq_http_reader_take()
 *
 * Stops at the end of a message. Interim answers (1xx) are skipped, up to a number that
 * no server needs; framing that is out of proportion to the body is rejected. After
 * FQ_HTTP_REJECTED the reader cannot be used any further.
 */
fq_http_progress_t fq_http_reader_feed (fq_http_reader_t *reader,
                                        const uint8_t *data,
                                        size_t size,
                                        size_t *used);

/**
 * fq_http_reader_end() - handle a clean end of the connection.
 *
 * Return: FQ_HTTP_COMPLETE when the end completes the message, as with an answer that has
 * neither Content-Length nor chunked coding; otherwise FQ_HTTP_REJECTED, where
 * @error_status may be 0.
 */
fq_http_progress_t fq_http_reader_end (fq_http_reader_t *reader);

/**
 * fq_http_reader_take() - get the complete message and prepare for the next one.
 *
 * Return: a reference that the caller has to release.
 */
fq_http_message_t *fq_http_reader_take (fq_http_reader_t *reader);

/** fq_http_reader_body_bytes() - bytes of the body of the current message so far. */
size_t fq_http_reader_body_bytes (const fq_http_reader_t *reader);

/** fq_http_reader_held() - memory that the current message takes so far, in bytes. */
size_t fq_http_reader_held (const fq_http_reader_t *reader);

/** fq_http_reader_is_idle() - whether no byte of the next message was received. */
bool fq_http_reader_is_idle (const fq_http_reader_t *reader);

#endif
