/**
 * DOC: Prints the answers of a node's operator listener as text.
 */
#ifndef FQ_CLI_OPERATOR_PRINT_H
#define FQ_CLI_OPERATOR_PRINT_H

#include <jansson.h>
#include <stdio.h>

/**
 * typedef fq_cli_print_t - writes one kind of answer to @to.
 *
 * Text that @answer lacks is written as empty, a missing number as 0.
 */
typedef void (*fq_cli_print_t) (const json_t *answer, FILE *to);

void fq_cli_print_ticket (const json_t *answer, FILE *to);
void fq_cli_print_tickets (const json_t *answer, FILE *to);
void fq_cli_print_status (const json_t *answer, FILE *to);
void fq_cli_print_events (const json_t *answer, FILE *to);
void fq_cli_print_burn (const json_t *answer, FILE *to);

#endif
