/**
 * DOC: Fuzz target: the parser of tickets that a client account files.
 *
 * An accepted ticket names only services of that client account; this is not checked
 * here.
 */
#include <stdlib.h>
#include <string.h>

#include "core/tickets/ticket_document.h"

int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  fq_ticket_document_t document = { 0 };
  char *text = malloc (size + 1);

  if (text == NULL)
    abort ();
  memcpy (text, data, size);
  text[size] = '\0';
  if (fq_ticket_document_parse (&document, "wrekin", text) == FQ_OK)
    fq_ticket_document_clear (&document);
  free (text);
  return 0;
}
