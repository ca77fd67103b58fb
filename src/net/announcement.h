/**
 * DOC: Parser of the query by which an upstream announces itself to its node, such as
 * "service=wrekin/tables&address=127.0.0.1:8080&incarnation=7&slots=35&connections=300".
 */
#ifndef FQ_NET_ANNOUNCEMENT_H
#define FQ_NET_ANNOUNCEMENT_H

#include "filbertquay/event.h"

#define FQ_ANNOUNCED_SLOTS_MAX 65536
#define FQ_ANNOUNCED_CONNECTIONS_MAX 1048576

/**
 * fq_announcement_parse() - parse and validate the query of @path.
 *
 * Each field is required exactly once; unknown fields are ignored.
 *
 * Return: 0, or FQ_ERROR_INVALID; the last error then names the field and its valid
 * values.
 */
int fq_announcement_parse (fq_announce_event_t *out, const char *path);

#endif
