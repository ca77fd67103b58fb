/**
 * DOC: Who starts next, and who gives way, by tables.
 *
 * An entry is written as its class (c, n or l), its member (A or B) and "+" when its
 * chain was admitted before.
 */
#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "core/admission/queue.h"

#define COUNT(array) (sizeof (array) / sizeof *(array))
#define ENTRIES_MAX 8
#define STANDING_US (150 * FQ_MICROSECONDS_PER_MS)

typedef struct
{
  fq_queue_t queue;
  fq_admission_entry_t entries[ENTRIES_MAX];
  char names[ENTRIES_MAX][4];
  size_t count;
} fixture_t;

static fixture_t f;

static void
parse (fq_admission_entry_t *entry, const char *name)
{
  static const char classes[] = "cnl";

  *entry = (fq_admission_entry_t){
    .request_class = (fq_class_t)(strchr (classes, name[0]) - classes),
    .member = (uint64_t)name[1],
    .inner = name[2] == '+',
  };
}

static void
fill (const char *waiting)
{
  char text[64];
  char *rest = text;
  char *name;

  strcpy (text, waiting);
  f.count = 0;
  fq_queue_init (&f.queue, true);
  while ((name = strtok_r (rest, " ", &rest)) != NULL)
    {
      strcpy (f.names[f.count], name);
      parse (&f.entries[f.count], name);
      ck_assert_int_eq (fq_queue_push (&f.queue, 0, &f.entries[f.count]), FQ_OK);
      f.count++;
    }
}

static size_t
index_of (const fq_admission_entry_t *entry)
{
  return (size_t)(entry - f.entries);
}

typedef struct
{
  const char *waiting; /* in order of arrival */
  fq_time_t now;       /* at STANDING_US the queue is a standing one */
  const char *order;   /* indexes as they start */
} order_case_t;

static const order_case_t order_cases[] = {
  { "lA nA cA", 0, "210" },           /* by class */
  { "lA lA lA cB", 0, "3012" },       /* critical ones first, of any member */
  { "nA nA nA lB", 0, "0312" },       /* members in turn, whatever the class */
  { "lA lA+ lA", 0, "102" },          /* admitted chains first */
  { "lA lA lA", STANDING_US, "210" }, /* newest first */
  { "lA lB lA lB", 0, "0123" },
};

START_TEST (test_order)
{
  const order_case_t *one = &order_cases[_i];

  fill (one->waiting);
  for (size_t i = 0; i < f.count; i++)
    {
      fq_admission_entry_t *next = fq_queue_next (&f.queue, one->now);

      ck_assert_ptr_nonnull (next);
      ck_assert_uint_eq (index_of (next), (size_t)(one->order[i] - '0'));
      fq_queue_take (&f.queue, one->now, next);
    }
  ck_assert_ptr_null (fq_queue_next (&f.queue, one->now));
  fq_queue_clear (&f.queue);
}
END_TEST

typedef struct
{
  const char *waiting;
  const char *arrival;
  int victim; /* index; -1: the arrival itself */
} victim_case_t;

static const victim_case_t victim_cases[] = {
  { "nA lA", "cA", 1 },     { "cA nA lB lB", "cB", 3 },
  { "cA cA", "cA", -1 },    { "cA", "nA", -1 }, /* lower ones never push out */
  { "lA lA lB", "lB", 1 }, /* the member with most waiting gives way */
  { "lA lA lB", "lA", -1 }, { "lA lA", "nA", 1 },
  { "lA lA", "lA+", 1 }, /* an admitted chain before a new one */
  { "lA+ lA+", "lA", -1 },  { "nA lB lB", "lA", 2 },
};

START_TEST (test_victim)
{
  const victim_case_t *one = &victim_cases[_i];
  fq_admission_entry_t arrival;
  fq_admission_entry_t *victim;

  fill (one->waiting);
  parse (&arrival, one->arrival);
  victim = fq_queue_victim (&f.queue, &arrival);
  ck_assert_int_eq (victim == NULL ? -1 : (int)index_of (victim), one->victim);
  fq_queue_clear (&f.queue);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("queue");
  TCase *tcase = tcase_create ("queue");
  SRunner *runner;
  int failed;

  tcase_add_loop_test (tcase, test_order, 0, COUNT (order_cases));
  tcase_add_loop_test (tcase, test_victim, 0, COUNT (victim_cases));
  suite_add_tcase (suite, tcase);
  runner = srunner_create (suite);
  srunner_run_all (runner, CK_NORMAL);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
