/**
 * DOC: Reads a JSON object into a struct, as described by a table of fields.
 *
 * All errors are collected, one a line: the path of the field in the file, its value and
 * what is allowed. A field that is not in the table is an error.
 */
#ifndef FQ_SETTINGS_READER_H
#define FQ_SETTINGS_READER_H

#include <jansson.h>

#include "filbertquay/types.h"
#include "util/text.h"

#define FQ_READER_PATH_BYTES 256
#define FQ_READER_ERRORS_BYTES 8000
#define FQ_READER_SECRET_MIN 16 /* characters */

/** enum fq_field_kind_t - what a field allows, and the C type of the value. */
typedef enum
{
  FQ_FIELD_NAME,      /* letters, digits, '.', '_' and '-'; char[] */
  FQ_FIELD_TEXT,      /* any characters but control characters; fq_text_t * */
  FQ_FIELD_IP,        /* IPv4; char[] */
  FQ_FIELD_ADDRESS,   /* "ip:port"; char[] */
  FQ_FIELD_PORT,      /* 1 to 65535; int */
  FQ_FIELD_NUMBER,    /* @min to @max; uint32_t */
  FQ_FIELD_DURATION,  /* "1500ms" or "2.5s", @min to @max ms; uint32_t, in ms */
  FQ_FIELD_DECIMAL,   /* any number from @min to @max; double */
  FQ_FIELD_CHOICE,    /* one of @choices; int, its index */
  FQ_FIELD_SECRET,    /* the value, or in NAME_file the name of a file with it; char[] */
  FQ_FIELD_OBJECT,    /* object of @fields, whose offsets have the same base */
  FQ_FIELD_OBJECTS,   /* list of objects of @fields; array of structs */
  FQ_FIELD_ADDRESSES, /* list of "ip:port"; array of char[] */
} fq_field_kind_t;

/** struct fq_field_t - describes a field; a table ends with an entry without a name. */
typedef struct fq_field
{
  const char *name;
  fq_field_kind_t kind;
  bool required;
  size_t offset; /* from the base of the struct */
  size_t size;   /* of the value, or of an element of a list, in bytes */
  uint32_t min;  /* of a number or duration, or of the length of a list */
  uint32_t max;
  bool unbounded;                /* a larger number or duration than @max counts as it */
  const char *const *choices;    /* of FQ_FIELD_CHOICE; ends with NULL */
  const struct fq_field *fields; /* of FQ_FIELD_OBJECT and FQ_FIELD_OBJECTS */
  size_t count_offset; /* of a list: from the base to the size_t that gets its length */
} fq_field_t;

/** struct fq_reader_t - state of a read; zero-initialise, then set @directory. */
typedef struct
{
  const char *directory; /* base of relative file names; NULL: the current directory */
  char path[FQ_READER_PATH_BYTES];     /* of the present object; empty: the root */
  char errors[FQ_READER_ERRORS_BYTES]; /* errors found, one a line; cut when full */
  size_t error_count;                  /* errors found, also those that were cut */
} fq_reader_t;

/**
 * fq_reader_read() - read @object into the struct at @base.
 *
 * Fields that are absent keep their values. Adds each error to @reader, whose error_count
 * stays 0 if there is none.
 */
void fq_reader_read (fq_reader_t *reader,
                     void *base,
                     const fq_field_t *fields,
                     const json_t *object);

/**
 * fq_reader_add_error() - add an error.
 * @name: of the field in the object at the present path; empty: the object itself
 */
void fq_reader_add_error (fq_reader_t *reader, const char *name, const char *format, ...)
    __attribute__ ((format (printf, 3, 4)));

#endif
