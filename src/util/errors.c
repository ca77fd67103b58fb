#include "filbertquay/errors.h"

#include <stdarg.h>
#include <stdio.h>

#define FQ_ERROR_MESSAGE_BYTES 8192 /* holds all errors of a settings file */

static _Thread_local char last_message[FQ_ERROR_MESSAGE_BYTES];
static _Thread_local fq_error_t last_error;

const fq_error_t *
fq_error_last (void)
{
  last_error.message = last_message;
  return &last_error;
}

void
fq_error_clear (void)
{
  last_error.error_class = FQ_ERROR_CLASS_NONE;
  last_message[0] = '\0';
}

int
fq_error_set (fq_error_class_t error_class, int code, const char *format, ...)
{
  va_list arguments;

  va_start (arguments, format);
  vsnprintf (last_message, sizeof last_message, format, arguments);
  va_end (arguments);
  last_error.error_class = error_class;
  return code;
}
