/**
 * DOC: Tests of how a version of the configuration reaches nodes to which the store did
 * not deliver it, without any requests, while other nodes fail.
 *
 * Times are milliseconds after the change. A node in touch has to be up to date CONTACT
 * after the end of what disturbed it and the store.
 */
#define FLEET_NODES 12
#include "mesh_fleet.h"

#define OLD_VERSION 1
#define NEW_VERSION 7
#define CONTACT_MS 3000

static fleet_t fleet;
static fq_config_t *newer;

static void
setup (void)
{
  fleet_setup (&fleet);
  newer = fleet_config (NEW_VERSION, 1000);
  fleet.newer_config = newer;
  fleet_advance (&fleet, 5000);
}

static void
teardown (void)
{
  fq_config_unref (newer);
  fleet_teardown (&fleet);
}

static void
deliver_to (size_t node)
{
  fq_mesh_event_t event
      = { .kind = FQ_MESH_EVENT_CONFIG, .config = { .received = newer } };

  fleet_feed (&fleet, node, &event);
}

static uint64_t
version_of (size_t node)
{
  return fq_mesh_config_version (fleet.nodes[node].mesh);
}

static void
check_all_but (const bool *excluded)
{
  for (size_t node = 0; node < FLEET_NODES; node++)
    {
      if (!excluded[node])
        ck_assert_msg (version_of (node) == NEW_VERSION, "node %zu has version %llu",
                       node, (unsigned long long)version_of (node));
    }
}

/* The @distance-th node before @node by address. */
static size_t
before (size_t node, size_t distance)
{
  return (node + FLEET_NODES - distance) % FLEET_NODES;
}

/* How the nodes fail that would tell a node of the change. */
typedef enum
{
  KILLED,      /* their processes end */
  FROZEN,      /* their processes stand still */
  UNREACHABLE, /* the network loses all that they send */
  FAILURES,
} failure_t;

static void
fail_node (size_t node, failure_t failure)
{
  switch (failure)
    {
    case KILLED:
      fleet_kill (&fleet, node);
      break;
    case FROZEN:
      fleet.nodes[node].frozen = true;
      break;
    case UNREACHABLE:
      fleet.nodes[node].silent = true;
      break;
    case FAILURES:
      break;
    }
}

/* Guards against review/8 (CONFIG): one node misses a change, and those that would tell
 * it fail as it comes, any number of them. Each node is the one once. */
START_TEST (test_node_learns_of_a_change_whoever_fails)
{
  size_t missed = (size_t)_i % FLEET_NODES;
  failure_t failure = (failure_t)(_i / FLEET_NODES);

  for (size_t failing = 2; failing <= FLEET_NODES - 2; failing += 2)
    {
      bool excluded[FLEET_NODES] = { false };

      for (size_t node = 0; node < FLEET_NODES; node++)
        {
          if (node != missed)
            deliver_to (node);
        }
      for (size_t distance = 1; distance <= failing; distance++)
        {
          fail_node (before (missed, distance), failure);
          excluded[before (missed, distance)] = true;
        }
      ck_assert_uint_eq (version_of (missed), OLD_VERSION);
      fleet_advance (&fleet, CONTACT_MS);
      check_all_but (excluded);
      teardown ();
      setup ();
    }
}
END_TEST

/* Guards against review/8 where several nodes miss the change: the store serves one node
 * alone, and the two that this one tells are killed. */
START_TEST (test_change_that_one_node_knows_reaches_all)
{
  size_t served = (size_t)_i;
  bool excluded[FLEET_NODES] = { false };

  deliver_to (served);
  for (size_t distance = 1; distance <= 2; distance++)
    {
      size_t told = (served + distance) % FLEET_NODES;

      fleet_kill (&fleet, told);
      excluded[told] = true;
    }
  fleet_advance (&fleet, 2 * CONTACT_MS);
  check_all_but (excluded);
}
END_TEST

/* Guards against a node that is told while it stands still, as on a busy machine, or
 * while it is cut off, so that all frames of that time are lost. */
START_TEST (test_node_learns_of_a_change_after_it_was_away)
{
  size_t missed = (size_t)_i % FLEET_NODES;
  bool frozen = _i < FLEET_NODES;
  bool none[FLEET_NODES] = { false };

  fleet.nodes[missed].frozen = frozen;
  fleet.nodes[missed].silent = !frozen;
  for (size_t node = 0; node < FLEET_NODES; node++)
    {
      if (node != missed)
        deliver_to (node);
    }
  fleet_advance (&fleet, 4000);
  ck_assert_uint_eq (version_of (missed), OLD_VERSION);
  fleet.nodes[missed].frozen = false;
  fleet.nodes[missed].silent = false;
  fleet_advance (&fleet, CONTACT_MS);
  check_all_but (none);
}
END_TEST

/* Guards against a frame that is lost: the node that stated the version ends before it
 * has sent the configuration that it was asked for. */
START_TEST (test_lost_configuration_is_asked_for_elsewhere)
{
  size_t missed = (size_t)_i;
  bool excluded[FLEET_NODES] = { false };

  for (size_t node = 0; node < FLEET_NODES; node++)
    {
      if (node != missed)
        deliver_to (node);
    }
  fleet.newer_config = NULL; /* it is lost on the way */
  fleet_advance (&fleet, 500);
  ck_assert_uint_eq (version_of (missed), OLD_VERSION);
  for (size_t distance = 1; distance <= 2; distance++)
    {
      fleet_kill (&fleet, before (missed, distance));
      excluded[before (missed, distance)] = true;
    }
  fleet.newer_config = newer;
  fleet_advance (&fleet, CONTACT_MS);
  check_all_but (excluded);
}
END_TEST

/* Guards against a cost that grows with the fleet: in a quiet time each node sends few
 * frames, to any number of others. */
START_TEST (test_questions_for_the_version_are_few)
{
  const uint32_t seconds = 20;
  size_t before_count = fleet.sent_count;

  fleet_advance (&fleet, seconds * 1000);
  /* A question and an answer each; two questions a second and node at most. */
  ck_assert_uint_le (fleet.sent_count - before_count, 2 * 2 * seconds * FLEET_NODES);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("config spread");
  TCase *tcase = tcase_create ("config spread");
  SRunner *runner = srunner_create (suite);
  int failures;

  suite_add_tcase (suite, tcase);
  tcase_add_checked_fixture (tcase, setup, teardown);
  tcase_add_loop_test (tcase, test_node_learns_of_a_change_whoever_fails, 0,
                       FAILURES * FLEET_NODES);
  tcase_add_loop_test (tcase, test_change_that_one_node_knows_reaches_all, 0,
                       FLEET_NODES);
  tcase_add_loop_test (tcase, test_node_learns_of_a_change_after_it_was_away, 0,
                       2 * FLEET_NODES);
  tcase_add_loop_test (tcase, test_lost_configuration_is_asked_for_elsewhere, 0,
                       FLEET_NODES);
  tcase_add_test (tcase, test_questions_for_the_version_are_few);
  srunner_run_all (runner, CK_NORMAL);
  failures = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failures == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
