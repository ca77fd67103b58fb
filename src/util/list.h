/**
 * DOC: Intrusive circular doubly linked list.
 *
 * A list head and the links inside records have the same type. A link that is on no list
 * points to itself, so that removing it twice is harmless.
 */
#ifndef FQ_UTIL_LIST_H
#define FQ_UTIL_LIST_H

#include <stdbool.h>
#include <stddef.h>

/** struct fq_list - a list head, or a link inside a record. */
typedef struct fq_list
{
  struct fq_list *prev;
  struct fq_list *next;
} fq_list_t;

/** FQ_LIST_ENTRY - the record of @type that contains @link as its @field. */
#define FQ_LIST_ENTRY(link, type, field)                                                 \
  ((type *)(void *)((char *)(link)-offsetof (type, field)))

/** FQ_LIST_FOREACH - iterate over @head; the current link may not be removed. */
#define FQ_LIST_FOREACH(link, head)                                                      \
  for (fq_list_t *link = (head)->next; link != (head); link = link->next)

/** FQ_LIST_FOREACH_SAFE - iterate over @head; only the current link may be removed. */
#define FQ_LIST_FOREACH_SAFE(link, following, head)                                      \
  for (fq_list_t *link = (head)->next, *following = link->next; link != (head);          \
       link = following, following = link->next)

/** fq_list_init() - make @list an empty head, or a link on no list. */
static inline void
fq_list_init (fq_list_t *list)
{
  list->prev = list;
  list->next = list;
}

/** fq_list_is_empty() - whether @head has no entries, or a link is on no list. */
static inline bool
fq_list_is_empty (const fq_list_t *head)
{
  return head->next == head;
}

/** fq_list_append() - add @link, which is on no list, at the end of @head. */
static inline void
fq_list_append (fq_list_t *head, fq_list_t *link)
{
  link->prev = head->prev;
  link->next = head;
  head->prev->next = link;
  head->prev = link;
}

/** fq_list_prepend() - add @link, which is on no list, at the start of @head. */
static inline void
fq_list_prepend (fq_list_t *head, fq_list_t *link)
{
  fq_list_append (head->next, link);
}

/** fq_list_remove() - remove @link from its list; no effect when it is on none. */
static inline void
fq_list_remove (fq_list_t *link)
{
  link->prev->next = link->next;
  link->next->prev = link->prev;
  fq_list_init (link);
}

/** fq_list_first() - the first link of @head, or NULL. */
static inline fq_list_t *
fq_list_first (const fq_list_t *head)
{
  return fq_list_is_empty (head) ? NULL : head->next;
}

/** fq_list_last() - the last link of @head, or NULL. */
static inline fq_list_t *
fq_list_last (const fq_list_t *head)
{
  return fq_list_is_empty (head) ? NULL : head->prev;
}

#endif
