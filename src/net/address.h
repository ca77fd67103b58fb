/**
 * DOC: Parsing of IPv4 addresses written as "ip:port".
 */
#ifndef FQ_NET_ADDRESS_H
#define FQ_NET_ADDRESS_H

#include <netinet/in.h>

/** fq_address_parse() - parse "ip:port"; FQ_ERROR_INVALID unless both are valid. */
int fq_address_parse (struct sockaddr_in *out, const char *text);

/**
 * fq_address_split() - split "ip:port" without checking the form of the IP address.
 * @ip: a buffer of FQ_ADDRESS_BYTES
 *
 * Return: the port, 1 to 65535, or FQ_ERROR_INVALID.
 */
int fq_address_split (char *ip, const char *text);

#endif
