/**
 * DOC: The core (fq_core_reduce()) end to end, with requests through the gate of the
 * same node.
 */
#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "filbertquay/core.h"

static fq_core_t *core;
static fq_effects_t effects;
static fq_time_t now = FQ_MICROSECONDS_PER_SECOND;

static void
set_up (void)
{
  fq_core_options_t options = FQ_CORE_OPTIONS_INIT;

  options.node = "n1";
  options.address = "127.0.0.1:1";
  options.incarnation = 1;
  options.seed = 7;
  ck_assert_int_eq (fq_core_new (&core, &options, now), FQ_OK);
}

static void feed (fq_event_t *event);
static const fq_effect_t *find_effect (fq_effect_kind_t kind);

/* Answers the first store read with "not found": without tickets to apply, the node is
 * confirmed and admits requests. */
static void
confirm_tickets (void)
{
  fq_event_t event = { .kind = FQ_EVENT_TICK };

  while (find_effect (FQ_EFFECT_STORE) == NULL)
    {
      now += FQ_CORE_TICK_US;
      feed (&event);
    }
  event.kind = FQ_EVENT_STORE;
  event.store.id = find_effect (FQ_EFFECT_STORE)->store->id;
  event.store.status = FQ_STORE_NOT_FOUND;
  feed (&event);
}

static void
tear_down (void)
{
  fq_effects_free (&effects);
  fq_core_free (core);
}

static void
feed (fq_event_t *event)
{
  event->now = now;
  fq_effects_clear (&effects);
  fq_core_reduce (core, event, &effects);
}

static const fq_effect_t *
find_effect (fq_effect_kind_t kind)
{
  for (size_t i = 0; i < effects.count; i++)
    {
      if (effects.items[i].kind == kind)
        return &effects.items[i];
    }
  return NULL;
}

static void
announce (void)
{
  fq_event_t event = { .kind = FQ_EVENT_ANNOUNCE };

  strcpy (event.announce.service, "wrekin/tables");
  strcpy (event.announce.address, "127.0.0.1:2");
  event.announce.incarnation = 1;
  event.announce.slots = 8;
  event.announce.connections = 10;
  feed (&event);
}

static void
send_request (fq_id_t call, const char *member)
{
  fq_event_t event = { .kind = FQ_EVENT_REQUEST };
  fq_request_t *request;

  ck_assert_int_eq (fq_request_new (&request), FQ_OK);
  strcpy (request->service, "wrekin/tables");
  strcpy (request->method, "GET");
  strcpy (request->path, "/weekly");
  strcpy (event.request.member, member);
  event.request.call = call;
  event.request.request = request;
  feed (&event);
  fq_request_unref (request);
}

START_TEST (test_upstream_answer_reaches_the_caller)
{
  fq_event_t event = { .kind = FQ_EVENT_UPSTREAM_ANSWER };
  const fq_effect_t *effect;
  fq_blob_t *body;

  confirm_tickets ();
  announce ();
  send_request (11, "wrekin");
  effect = find_effect (FQ_EFFECT_UPSTREAM_START);
  ck_assert_ptr_nonnull (effect);
  ck_assert_int_eq (fq_blob_new (&body, "rows", 4), FQ_OK);
  event.upstream_answer.run = effect->upstream_start.run;
  event.upstream_answer.answer.status = 200;
  event.upstream_answer.answer.body = body;
  feed (&event);
  fq_blob_unref (body);
  effect = find_effect (FQ_EFFECT_REPLY);
  ck_assert_ptr_nonnull (effect);
  ck_assert_uint_eq (effect->reply.call, 11);
  ck_assert_int_eq (effect->reply.answer.outcome, FQ_OUTCOME_ANSWERED);
  ck_assert_mem_eq (effect->reply.answer.body->data, "rows", 4);
}
END_TEST

START_TEST (test_service_of_another_member_is_refused)
{
  const fq_effect_t *effect;

  confirm_tickets ();
  announce ();
  send_request (12, "abyssinia");
  effect = find_effect (FQ_EFFECT_REPLY);
  ck_assert_ptr_nonnull (effect);
  ck_assert_int_eq (effect->reply.answer.status, 404);
  ck_assert_int_eq (effect->reply.answer.outcome, FQ_OUTCOME_NOT_RUN);
}
END_TEST

START_TEST (test_internal_call_may_omit_the_member)
{
  fq_event_t event = { .kind = FQ_EVENT_REQUEST };

  confirm_tickets ();
  announce ();
  ck_assert_int_eq (fq_request_new (&event.request.request), FQ_OK);
  strcpy (event.request.request->service, "/tables");
  strcpy (event.request.request->method, "GET");
  strcpy (event.request.request->path, "/weekly");
  event.request.call = 15;
  event.request.source = FQ_SOURCE_UPSTREAM;
  feed (&event);
  fq_request_unref (event.request.request);
  ck_assert_ptr_nonnull (find_effect (FQ_EFFECT_UPSTREAM_START));
}
END_TEST

START_TEST (test_ticket_limit_caps_the_gate)
{
  char *documents[] = { "{\"key\":\"limit/wrekin/tables\",\"number\":1,"
                        "\"value\":{\"running\":1}}" };
  fq_event_t event = { .kind = FQ_EVENT_TICKETS };

  confirm_tickets ();
  announce ();
  event.tickets.kind = FQ_TICKETS_ANSWER;
  event.tickets.number = 1;
  event.tickets.documents = documents;
  event.tickets.document_count = 1;
  feed (&event);
  send_request (13, "wrekin");
  ck_assert_ptr_nonnull (find_effect (FQ_EFFECT_UPSTREAM_START));
  send_request (14, "wrekin");
  ck_assert_ptr_null (find_effect (FQ_EFFECT_UPSTREAM_START));
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("core");
  TCase *tcase = tcase_create ("core");
  SRunner *runner = srunner_create (suite);
  int failed;

  tcase_add_checked_fixture (tcase, set_up, tear_down);
  tcase_add_test (tcase, test_upstream_answer_reaches_the_caller);
  tcase_add_test (tcase, test_service_of_another_member_is_refused);
  tcase_add_test (tcase, test_internal_call_may_omit_the_member);
  tcase_add_test (tcase, test_ticket_limit_caps_the_gate);
  suite_add_tcase (suite, tcase);
  srunner_run_all (runner, CK_NORMAL);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
