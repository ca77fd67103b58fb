/**
 * DOC: Error codes and the last error message.
 *
 * Functions return 0 on success or one of the negative codes below. The message of the
 * last failure in the current thread, with the layer that raised it, is kept until the
 * next failure or fq_error_clear().
 */
#ifndef FQ_ERRORS_H
#define FQ_ERRORS_H

/** enum fq_error_code_t - result codes; all but FQ_OK are negative. */
typedef enum
{
  FQ_OK = 0,
  FQ_ERROR = -1,          /* an error without a more specific code */
  FQ_ERROR_NOMEM = -2,    /* out of memory */
  FQ_ERROR_INVALID = -3,  /* an argument, setting or message is malformed */
  FQ_ERROR_NOTFOUND = -4, /* the requested item does not exist */
  FQ_ERROR_CONFLICT = -5, /* another writer was first, or the state is out of date */
  FQ_ERROR_TOOBIG = -6,   /* a size exceeds its limit */
  FQ_ERROR_DENIED = -7,   /* the key is wrong or does not permit the operation */
  FQ_ERROR_AGAIN = -8,    /* more input is needed, or resources are short at present */
  FQ_ERROR_CLOSED = -9,   /* the connection has ended */
  FQ_ERROR_IO = -10,      /* an operation on a file or socket failed */
} fq_error_code_t;

/** enum fq_error_class_t - the layer that raised an error; NONE: no error. */
typedef enum
{
  FQ_ERROR_CLASS_NONE,
  FQ_ERROR_CLASS_CORE,
  FQ_ERROR_CLASS_WIRE,
  FQ_ERROR_CLASS_NET,
  FQ_ERROR_CLASS_STORE,
  FQ_ERROR_CLASS_SETTINGS,
  FQ_ERROR_CLASS_TICKET,
  FQ_ERROR_CLASS_CLI,
} fq_error_class_t;

/** struct fq_error_t - the last error of a thread. */
typedef struct
{
  fq_error_class_t error_class;
  const char *message; /* never NULL; valid until the next change; "": none */
} fq_error_t;

/** fq_error_last() - the last error of this thread; never NULL, not to be freed. */
const fq_error_t *fq_error_last (void);

/** fq_error_clear() - reset the last error of this thread. */
void fq_error_clear (void);

/**
 * fq_error_set() - set the last error of this thread.
 * @error_class: the layer that raises it
 * @code: returned as it is; not stored
 * @format: a printf format of one short sentence without a final newline
 *
 * Return: @code, so that a caller can write `return fq_error_set (...)`.
 */
int fq_error_set (fq_error_class_t error_class, int code, const char *format, ...)
    __attribute__ ((format (printf, 3, 4)));

#endif
