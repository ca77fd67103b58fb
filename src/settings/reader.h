/**
 * DOC: Reads a JSON object into a struct by a table of its fields.
 *
 * All faults are collected, each on a line: its path inside the file, the value and
 * what is allowed. A field that is not in the table is a fault.
 */
#ifndef FQ_SETTINGS_READER_H
#define FQ_SETTINGS_READER_H

#include <jansson.h>

#include "filbertquay/types.h"

#define FQ_READER_PATH_BYTES 256
#define FQ_READER_ERRORS_BYTES 8000
#define FQ_READER_SECRET_MIN 16 /* characters */

/** enum fq_field_kind_t - what a field holds, and the type that it is stored as. */
typedef enum
{
  FQ_FIELD_NAME,      /* letters, digits, '.', '_' and '-'; char[] */
  FQ_FIELD_IP,        /* IPv4; char[] */
  FQ_FIELD_ADDRESS,   /* "ip:port"; char[] */
  FQ_FIELD_PORT,      /* 1 to 65535; int */
  FQ_FIELD_NUMBER,    /* @min to @max; uint32_t */
  FQ_FIELD_DURATION,  /* "1500ms" or "2.5s", @min to @max ms; uint32_t, in ms */
  FQ_FIELD_DECIMAL,   /* a number, whole or not, @min to @max; double */
  FQ_FIELD_CHOICE,    /* one of @choices; int, its index */
  FQ_FIELD_SECRET,    /* in place, or in the file that NAME_file names; char[] */
  FQ_FIELD_OBJECT,    /* @fields, stored from the same base */
  FQ_FIELD_OBJECTS,   /* a list of objects of @fields; an array of structs */
  FQ_FIELD_ADDRESSES, /* a list of "ip:port"; an array of char[] */
} fq_field_kind_t;

/** struct fq_field_t - one field; a table ends with a NULL name. */
typedef struct fq_field
{
  const char *name;
  fq_field_kind_t kind;
  bool required;
  size_t offset; /* from the base of the struct */
  size_t size;   /* bytes of the value, or of one element of a list */
  uint32_t min;  /* of a number, or of a list's length */
  uint32_t max;
  const char *const *choices; /* ends with NULL */
  const struct fq_field *fields;
  size_t count_offset; /* of the size_t that counts a list */
} fq_field_t;

/** struct fq_reader_t - zero-initialise; @directory is where files are looked for. */
typedef struct
{
  const char *directory;
  char path[FQ_READER_PATH_BYTES];
  char faults[FQ_READER_ERRORS_BYTES];
  size_t error_count;
} fq_reader_t;

/** fq_reader_read() - fill the struct at @base; see @reader->fault_count afterwards. */
void fq_reader_read (fq_reader_t *reader,
                     void *base,
                     const fq_field_t *fields,
                     const json_t *object);

/** fq_reader_add_error() - add a fault at @name below the present path. */
void fq_reader_add_error (fq_reader_t *reader, const char *name, const char *format, ...)
    __attribute__ ((format (printf, 3, 4)));

#endif
