#include "net/announcement.h"

#include <errno.h>
#include <netinet/in.h>
#include <stdlib.h>
#include <string.h>

#include "net/address.h"
#include "util/text.h"

typedef enum
{
  FQ_ANNOUNCED_SERVICE,
  FQ_ANNOUNCED_ADDRESS,
  FQ_ANNOUNCED_NUMBER32,
  FQ_ANNOUNCED_NUMBER64,
} fq_announced_kind_t;

static const struct
{
  const char *name;
  fq_announced_kind_t kind;
  size_t offset;
  uint64_t max;
  const char *allowed;
} fields[] = {
  { "service", FQ_ANNOUNCED_SERVICE, offsetof (fq_announce_event_t, service), 0,
    "a member and a service, such as wrekin/tables" },
  { "address", FQ_ANNOUNCED_ADDRESS, offsetof (fq_announce_event_t, address), 0,
    "an IP address with a port" },
  { "incarnation", FQ_ANNOUNCED_NUMBER64, offsetof (fq_announce_event_t, incarnation),
    UINT64_MAX, "a number that grows with each start" },
  { "slots", FQ_ANNOUNCED_NUMBER32, offsetof (fq_announce_event_t, slots),
    FQ_ANNOUNCED_SLOTS_MAX, "1 to 65536" },
  { "connections", FQ_ANNOUNCED_NUMBER32, offsetof (fq_announce_event_t, connections),
    FQ_ANNOUNCED_CONNECTIONS_MAX, "1 to 1048576" },
};

/* Returns false when the field is missing, empty, duplicated or does not fit @size. */
static bool
find_field (const char *path, const char *name, char *to, size_t size)
{
  const char *at = strchr (path, '?');
  size_t name_length = strlen (name);
  bool found = false;

  while (at != NULL)
    {
      size_t length = strcspn (++at, "&");

      if (length > name_length && strncmp (at, name, name_length) == 0
          && at[name_length] == '=')
        {
          size_t value = length - name_length - 1;

          if (found || value == 0 || value >= size)
            return false;
          memcpy (to, at + name_length + 1, value);
          to[value] = '\0';
          found = true;
        }
      at = strchr (at, '&');
    }
  return found;
}

static bool
is_name (const char *text, size_t length)
{
  static const char allowed[]
      = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_.";

  return length > 0 && length < FQ_NAME_BYTES && strspn (text, allowed) >= length;
}

static bool
is_service (const char *text)
{
  const char *slash = strchr (text, '/');

  return slash != NULL && is_name (text, (size_t)(slash - text))
         && is_name (slash + 1, strlen (slash + 1));
}

static bool
parse_number (uint64_t *out, const char *text, uint64_t max)
{
  char *end = NULL;

  if (text[0] < '0' || text[0] > '9')
    return false;
  errno = 0;
  *out = strtoull (text, &end, 10);
  return errno == 0 && *end == '\0' && *out >= 1 && *out <= max;
}

static bool
parse_field (fq_announce_event_t *out, size_t field, const char *text)
{
  char *to = (char *)out + fields[field].offset;
  struct sockaddr_in address;
  uint64_t number;

  switch (fields[field].kind)
    {
    case FQ_ANNOUNCED_SERVICE:
      return is_service (text) && fq_text_copy (to, FQ_SERVICE_BYTES, text);
    case FQ_ANNOUNCED_ADDRESS:
      return fq_address_parse (&address, text) == FQ_OK
             && fq_text_copy (to, FQ_ADDRESS_BYTES, text);
    case FQ_ANNOUNCED_NUMBER32:
      if (!parse_number (&number, text, fields[field].max))
        return false;
      *(uint32_t *)(void *)to = (uint32_t)number;
      return true;
    case FQ_ANNOUNCED_NUMBER64:
      if (!parse_number (&number, text, fields[field].max))
        return false;
      *(uint64_t *)(void *)to = number;
      return true;
    }
  return false;
}

int
fq_announcement_parse (fq_announce_event_t *out, const char *path)
{
  char text[FQ_SERVICE_BYTES];

  *out = (fq_announce_event_t){ 0 };
  for (size_t i = 0; i < sizeof fields / sizeof fields[0]; i++)
    {
      if (!find_field (path, fields[i].name, text, sizeof text)
          || !parse_field (out, i, text))
        return fq_error_set (FQ_ERROR_CLASS_NET, FQ_ERROR_INVALID,
                             "%s: needed once; allowed: %s", fields[i].name,
                             fields[i].allowed);
    }
  if (out->connections < out->slots)
    return fq_error_set (FQ_ERROR_CLASS_NET, FQ_ERROR_INVALID,
                         "connections: fewer than slots; allowed: at least as many");
  return FQ_OK;
}
