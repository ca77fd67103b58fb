#include "net/address.h"

#include <arpa/inet.h>
#include <stdlib.h>
#include <string.h>

#include "filbertquay/types.h"

#define FQ_PORT_MAX 65535

int
fq_address_split (char *ip, const char *text)
{
  const char *colon = strrchr (text, ':');
  char *end;
  long port;

  if (colon == NULL || (size_t)(colon - text) >= FQ_ADDRESS_BYTES)
    goto invalid;
  port = strtol (colon + 1, &end, 10);
  if (colon[1] < '0' || colon[1] > '9' || *end != '\0' || port < 1 || port > FQ_PORT_MAX)
    goto invalid;
  memcpy (ip, text, (size_t)(colon - text));
  ip[colon - text] = '\0';
  return (int)port;

invalid:
  return fq_error_set (FQ_ERROR_CLASS_NET, FQ_ERROR_INVALID,
                       "'%s' is not an IP address with a port", text);
}

int
fq_address_parse (struct sockaddr_in *out, const char *text)
{
  char ip[FQ_ADDRESS_BYTES];
  int port = fq_address_split (ip, text);

  if (port < 0)
    return port;
  memset (out, 0, sizeof *out);
  out->sin_family = AF_INET;
  out->sin_port = htons ((uint16_t)port);
  if (inet_pton (AF_INET, ip, &out->sin_addr) != 1)
    return fq_error_set (FQ_ERROR_CLASS_NET, FQ_ERROR_INVALID,
                         "'%s' is not an IP address", ip);
  return FQ_OK;
}
