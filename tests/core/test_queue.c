/**
 * DOC: Start order and eviction of the gate's queue.
 *
 * An entry is written as its class (c: critical, n: normal, l: lookup), its member (A or
 * B) and "+" if its chain was admitted before.
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

static fixture_t fixture;

static void
parse_entry (fq_admission_entry_t *entry, const char *name)
{
  static const char classes[] = "cnl";

  *entry = (fq_admission_entry_t){
    .request_class = (fq_class_t)(strchr (classes, name[0]) - classes),
    .member = (uint64_t)name[1],
    .internal = name[2] == '+',
  };
}

static void
set_up_queue (const char *waiting)
{
  char text[64];
  char *rest = text;
  char *name;

  strcpy (text, waiting);
  fixture.count = 0;
  fq_queue_init (&fixture.queue, true);
  while ((name = strtok_r (rest, " ", &rest)) != NULL)
    {
      strcpy (fixture.names[fixture.count], name);
      parse_entry (&fixture.entries[fixture.count], name);
      ck_assert_int_eq (
          fq_queue_push (&fixture.queue, 0, &fixture.entries[fixture.count]), FQ_OK);
      fixture.count++;
    }
}

static size_t
index_of (const fq_admission_entry_t *entry)
{
  return (size_t)(entry - fixture.entries);
}

typedef struct
{
  const char *waiting; /* in order of arrival */
  fq_time_t now;       /* STANDING_US makes it a standing queue */
  const char *order;   /* of starts, by index in @waiting */
} order_case_t;

static const order_case_t order_cases[] = {
  { "lA nA cA", 0, "210" },           /* by class */
  { "lA lA lA cB", 0, "3012" },       /* critical first, of any member */
  { "nA nA nA lB", 0, "0312" },       /* members in turn, whatever the class */
  { "lA lA+ lA", 0, "102" },          /* admitted chains first */
  { "lA lA lA", STANDING_US, "210" }, /* newest first */
  { "lA lB lA lB", 0, "0123" },
};

START_TEST (test_start_order)
{
  const order_case_t *test_case = &order_cases[_i];

  set_up_queue (test_case->waiting);
  for (size_t i = 0; i < fixture.count; i++)
    {
      fq_admission_entry_t *next = fq_queue_peek (&fixture.queue, test_case->now);

      ck_assert_ptr_nonnull (next);
      ck_assert_uint_eq (index_of (next), (size_t)(test_case->order[i] - '0'));
      fq_queue_take (&fixture.queue, test_case->now, next);
    }
  ck_assert_ptr_null (fq_queue_peek (&fixture.queue, test_case->now));
  fq_queue_clear (&fixture.queue);
}
END_TEST

typedef struct
{
  const char *waiting;
  const char *arrival;
  int victim; /* index in @waiting; -1: the arrival itself */
} victim_case_t;

static const victim_case_t victim_cases[] = {
  { "nA lA", "cA", 1 },     { "cA nA lB lB", "cB", 3 },
  { "cA cA", "cA", -1 },    { "cA", "nA", -1 }, /* a lower class evicts none */
  { "lA lA lB", "lB", 1 },                      /* of the member with the most queued */
  { "lA lA lB", "lA", -1 }, { "lA lA", "nA", 1 },
  { "lA lA", "lA+", 1 }, /* an admitted chain evicts a new one */
  { "lA+ lA+", "lA", -1 },  { "nA lB lB", "lA", 2 },
};

START_TEST (test_eviction_victim)
{
  const victim_case_t *test_case = &victim_cases[_i];
  fq_admission_entry_t arrival;
  fq_admission_entry_t *victim;

  set_up_queue (test_case->waiting);
  parse_entry (&arrival, test_case->arrival);
  victim = fq_queue_victim (&fixture.queue, &arrival);
  ck_assert_int_eq (victim == NULL ? -1 : (int)index_of (victim), test_case->victim);
  fq_queue_clear (&fixture.queue);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("queue");
  TCase *tcase = tcase_create ("queue");
  SRunner *runner;
  int failed;

  tcase_add_loop_test (tcase, test_start_order, 0, COUNT (order_cases));
  tcase_add_loop_test (tcase, test_eviction_victim, 0, COUNT (victim_cases));
  suite_add_tcase (suite, tcase);
  runner = srunner_create (suite);
  srunner_run_all (runner, CK_NORMAL);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
