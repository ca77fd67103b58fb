/**
 * DOC: Connections between nodes: handshake, timeouts, large bodies beside small calls,
 * and invalid input of an attacker or a faulty node.
 */
#include <check.h>
#include <stdio.h>

#include "net/peer_connection.h"
#include "relay.h"
#include "wire/codec.h"

#define TICK_US 4096
#define MEGABYTES(n) ((size_t)(n) << 20)

/* One side of a connection: its owner, and what the callbacks recorded. */
typedef struct
{
  fq_peer_owner_t owner;
  fq_peer_connection_t *connection; /* the last one that became ready */
  size_t ready;
  size_t ended;
  fq_peer_end_t why;
  fq_time_t ended_at;
  size_t not_written;
  fq_id_t last_not_written;
  size_t calls;
  size_t bodies;
  uint64_t body_sum;
  fq_time_t body_at;
  fq_time_t call_at;
} side_t;

static struct lws_context *context;
static struct lws_protocols protocols[2];
static side_t initiator;
static side_t responder;
static relay_t *relay;
static int responder_port;
static fq_list_t connections;

static void
on_ready (void *user, fq_peer_connection_t *connection)
{
  side_t *side = user;

  side->ready++;
  side->connection = connection;
}

static void
on_not_written (void *user,
                fq_peer_connection_t *connection,
                fq_id_t attempt,
                uint32_t allowance)
{
  side_t *side = user;

  (void)connection;
  ck_assert_uint_eq (allowance, 2);
  side->not_written++;
  side->last_not_written = attempt;
}

static void
on_body_dropped (void *user)
{
  (void)user;
}

static void
on_end (void *user, fq_peer_connection_t *connection, fq_peer_end_t why)
{
  side_t *side = user;

  if (side->connection == connection)
    side->connection = NULL;
  side->ended++;
  side->why = why;
  side->ended_at = lws_now_usecs ();
}

static void
record_body (side_t *side, const uint8_t *bytes, size_t size)
{
  side->bodies++;
  side->body_at = lws_now_usecs ();
  side->body_sum = 0;
  for (size_t i = 0; i < size; i++)
    side->body_sum = side->body_sum * 31 + bytes[i];
}

static int
handle_call (side_t *side, fq_peer_connection_t *connection, const Fq__Wire__Call *call)
{
  if (!fq_body_is_in_data_frames (&call->body, call->body_size))
    {
      side->calls++;
      side->call_at = lws_now_usecs ();
      return FQ_OK;
    }
  return fq_body_expect (&connection->bodies, call->attempt, call->body_size, 100, side);
}

static int
on_frame (void *user, fq_peer_connection_t *connection, const Fq__Wire__Frame *frame)
{
  side_t *side = user;
  fq_blob_t *body;
  void *ignored;
  int rc;

  if (frame->kind_case == FQ__WIRE__FRAME__KIND_CALL)
    return handle_call (side, connection, frame->call);
  if (frame->kind_case != FQ__WIRE__FRAME__KIND_DATA)
    return FQ_OK;
  rc = fq_body_receive (&connection->bodies, frame->data->attempt,
                        frame->data->bytes.data, frame->data->bytes.len, &body, &ignored);
  if (rc < 0)
    return rc;
  fq_peer_connection_send_credit (connection);
  if (body != NULL)
    record_body (side, body->data, body->size);
  fq_blob_unref (body);
  return FQ_OK;
}

static void
init_owner (side_t *side, const char *node, const char *key)
{
  *side = (side_t){ 0 };
  side->owner = (fq_peer_owner_t){
    .node = node,
    .context = context,
    .keys = { { key } },
    .on_ready = on_ready,
    .on_frame = on_frame,
    .on_not_written = on_not_written,
    .on_body_dropped = on_body_dropped,
    .on_end = on_end,
    .user = side,
  };
}

static int
on_event (struct lws *wsi,
          enum lws_callback_reasons reason,
          void *user,
          void *in,
          size_t length)
{
  fq_peer_connection_t *connection = wsi == NULL ? NULL : lws_get_opaque_user_data (wsi);

  (void)user;
  if (connection == NULL)
    {
      if (reason != LWS_CALLBACK_RAW_ADOPT)
        return 0;
      if (fq_peer_connection_adopt (&connection, &responder.owner, wsi, lws_now_usecs ())
          < 0)
        return -1;
      fq_list_append (&connections, &connection->link);
      return 0;
    }
  return fq_peer_connection_handle_event (connection, wsi, reason, in, length,
                                          lws_now_usecs ());
}

static struct lws_vhost *
new_vhost (int port)
{
  struct lws_context_creation_info info = { 0 };

  info.port = port;
  info.iface = "127.0.0.1";
  info.protocols = protocols;
  info.vhost_name = port == CONTEXT_PORT_NO_LISTEN ? "client" : "server";
  info.listen_accept_role = "raw-skt";
  info.listen_accept_protocol = "peers";
  info.options = LWS_SERVER_OPTION_ADOPT_APPLY_LISTEN_ACCEPT_CONFIG;
  return lws_create_vhost (context, &info);
}

static void
set_up (void)
{
  struct lws_context_creation_info info = { 0 };
  struct lws_vhost *server;

  lws_set_log_level (0, NULL);
  fq_list_init (&connections);
  info.port = CONTEXT_PORT_NO_LISTEN;
  info.options = LWS_SERVER_OPTION_EXPLICIT_VHOSTS;
  info.pt_serv_buf_size = 65536;
  context = lws_create_context (&info);
  protocols[0] = (struct lws_protocols){ .name = "peers",
                                         .callback = on_event,
                                         .rx_buffer_size = 65536 };
  server = new_vhost (0);
  responder_port = lws_get_vhost_listen_port (server);
  init_owner (&initiator, "a", "key-of-the-cluster");
  init_owner (&responder, "b", "key-of-the-cluster");
  initiator.owner.vhost = new_vhost (CONTEXT_PORT_NO_LISTEN);
  relay = malloc (sizeof *relay);
  relay_start (relay, responder_port);
}

static void
tear_down (void)
{
  lws_context_destroy (context);
  relay_stop (relay);
}

static void
service (void)
{
  fq_time_t now = lws_now_usecs ();

  lws_cancel_service (context);
  lws_service (context, 0);
  usleep (200);
  FQ_LIST_FOREACH_SAFE (link, following, &connections)
  fq_peer_connection_tick (FQ_LIST_ENTRY (link, fq_peer_connection_t, link), now);
}

static bool
wait_for (const size_t *count, size_t wanted, int ms)
{
  fq_time_t until = lws_now_usecs () + (fq_time_t)ms * FQ_MICROSECONDS_PER_MS;

  while (*count < wanted && lws_now_usecs () < until)
    service ();
  return *count >= wanted;
}

static void
service_for_ms (int ms)
{
  static const size_t never;

  wait_for (&never, 1, ms);
}

static void
open_connection (const char *node)
{
  char address[FQ_ADDRESS_BYTES];
  fq_peer_connection_t *connection;

  snprintf (address, sizeof address, "127.0.0.1:%d", relay->port);
  ck_assert_int_eq (fq_peer_connection_open (&connection, &initiator.owner, node, address,
                                             lws_now_usecs ()),
                    FQ_OK);
  fq_list_append (&connections, &connection->link);
}

static void
connect_both (void)
{
  size_t opened = initiator.ready;
  size_t accepted = responder.ready;

  open_connection ("b");
  ck_assert (wait_for (&initiator.ready, opened + 1, 2000));
  ck_assert (wait_for (&responder.ready, accepted + 1, 2000));
}

static void
send_call (fq_id_t attempt, size_t body_size)
{
  fq_peer_call_effect_t effect
      = { .attempt = attempt, .remaining_ms = 1000, .retry_allowance = 2 };
  fq_blob_t *body = NULL;
  uint8_t *data;
  size_t size;

  ck_assert_int_eq (fq_request_new (&effect.request), FQ_OK);
  strcpy (effect.request->method, "POST");
  strcpy (effect.request->path, "/x");
  if (body_size > 0)
    {
      ck_assert_int_eq (fq_blob_new (&body, NULL, body_size), FQ_OK);
      for (size_t i = 0; i < body_size; i++)
        body->data[i] = (uint8_t)(i * 7 + attempt);
    }
  effect.request->body = body;
  ck_assert_int_eq (fq_frame_pack_call (&data, &size, &effect), FQ_OK);
  ck_assert_int_eq (
      fq_peer_connection_send_call (initiator.connection, data, size, attempt, 2,
                                    body_size > FQ_FRAME_INLINE_BODY_MAX ? body : NULL,
                                    lws_now_usecs ()),
      FQ_OK);
  fq_request_unref (effect.request);
}

static const struct
{
  const char *name;
  const char *initiator_node;
  const char *expected; /* the node that the initiator connects to */
  const char *initiator_keys[FQ_AUTH_KEYS_MAX];
  const char *responder_keys[FQ_AUTH_KEYS_MAX];
  bool ready;
} handshakes[] = {
  { "same key", "a", "b", { "k1" }, { "k1" }, true },
  { "wrong key", "a", "b", { "k2" }, { "k1" }, false },
  { "initiator rotated its keys first", "a", "b", { "k2", "k1" }, { "k1", "k2" }, true },
  { "responder rotated its keys first", "a", "b", { "k1", "k2" }, { "k2", "k1" }, true },
  { "the old key is no longer accepted", "a", "b", { "k1" }, { "k2" }, false },
  { "no key", "a", "b", { "" }, { "" }, false },
  { "another node answers", "a", "c", { "k1" }, { "k1" }, false },
  { "the initiator has the responder's name", "b", "b", { "k1" }, { "k1" }, false },
};

START_TEST (test_handshake_requires_shared_key_and_expected_name)
{
  memcpy (initiator.owner.keys.keys, handshakes[_i].initiator_keys,
          sizeof handshakes[_i].initiator_keys);
  memcpy (responder.owner.keys.keys, handshakes[_i].responder_keys,
          sizeof handshakes[_i].responder_keys);
  initiator.owner.node = handshakes[_i].initiator_node;
  open_connection (handshakes[_i].expected);
  service_for_ms (200);
  ck_assert_msg ((initiator.ready == 1) == handshakes[_i].ready,
                 "%s: initiator ready %zu", handshakes[_i].name, initiator.ready);
  ck_assert_msg (handshakes[_i].ready || responder.ready == 0 || initiator.ended == 1,
                 "%s: the responder accepted the handshake", handshakes[_i].name);
  if (!handshakes[_i].ready)
    ck_assert_msg (initiator.ended == 1 && responder.ended == 1, "%s: still open",
                   handshakes[_i].name);
}
END_TEST

static const size_t body_sizes[]
    = { FQ_FRAME_INLINE_BODY_MAX + 1, FQ_BODY_CHUNK_BYTES * 3, FQ_BODY_WINDOW_BYTES,
        FQ_BODY_WINDOW_BYTES + 1, MEGABYTES (16) };

START_TEST (test_body_is_received_complete)
{
  uint64_t sum = 0;

  connect_both ();
  for (size_t i = 0; i < body_sizes[_i]; i++)
    sum = sum * 31 + (uint8_t)(i * 7 + 5);
  send_call (5, body_sizes[_i]);
  ck_assert (wait_for (&responder.bodies, 1, 10000));
  ck_assert_uint_eq (responder.body_sum, sum);
}
END_TEST

START_TEST (test_small_call_overtakes_large_body)
{
  connect_both ();
  send_call (1, MEGABYTES (16));
  service_for_ms (2);
  send_call (2, 10);
  ck_assert (wait_for (&responder.calls, 1, 10000));
  ck_assert_uint_eq (responder.bodies, 0);
  ck_assert (wait_for (&responder.bodies, 1, 10000));
}
END_TEST

static const struct
{
  const char *name;
  int idle_ms; /* from the handshake until the relay discards all traffic */
} idle_times[] = {
  { "no idle time", 0 },
  { "two idle seconds", 2000 },
};

/* A connection whose traffic a middlebox discards must end within two ping periods, with
 * only the calls reported as not run that were not written completely; a new connection
 * works. */
START_TEST (test_unresponsive_connection_times_out)
{
  fq_time_t started_at;

  connect_both ();
  service_for_ms (idle_times[_i].idle_ms);
  relay_discard_traffic (relay);
  started_at = lws_now_usecs ();
  send_call (1, 10);
  send_call (2, MEGABYTES (4));
  ck_assert_msg (wait_for (&initiator.ended, 1, 5000), "%s: not timed out",
                 idle_times[_i].name);
  ck_assert_int_eq (initiator.why, FQ_PEER_END_TIMEOUT);
  ck_assert_int_le (initiator.ended_at - started_at, 2 * FQ_PEER_PING_US + 100000);
  ck_assert_uint_eq (initiator.not_written, 1);
  ck_assert_uint_eq (initiator.last_not_written, 2);
  connect_both ();
  send_call (3, 10);
  ck_assert (wait_for (&responder.calls, 1, 1000));
}
END_TEST

START_TEST (test_idle_unresponsive_connection_times_out)
{
  connect_both ();
  relay_discard_traffic (relay);
  ck_assert (wait_for (&initiator.ended, 1, 12000));
  ck_assert (wait_for (&responder.ended, 1, 2000));
}
END_TEST

START_TEST (test_slow_answer_does_not_time_out)
{
  connect_both ();
  send_call (1, 10);
  service_for_ms (4500);
  ck_assert_uint_eq (initiator.ended, 0);
  ck_assert_uint_eq (responder.ended, 0);
}
END_TEST

/* Input of an attacker or a faulty node; @authenticated: after a valid handshake. */
typedef enum
{
  ATTACK_RAW_BYTES,
  ATTACK_HELLO,
  ATTACK_HELLO_TWICE,
  ATTACK_REFLECTED_PROOF,
  ATTACK_INVALID_PROOF,
  ATTACK_PROOF_FIRST,
} attack_kind_t;

static const struct
{
  const char *name;
  bool authenticated;
  attack_kind_t kind;
  const char *bytes;
  size_t size;
  bool stays_open;
} attacks[] = {
  { "garbage", false, ATTACK_RAW_BYTES, "\x00\x00\x00\x05hello", 9, false },
  { "HTTP", false, ATTACK_RAW_BYTES, "GET / HTTP/1.1\r\n\r\n", 18, false },
  { "oversized length", false, ATTACK_RAW_BYTES, "\xff\xff\xff\xff", 4, false },
  { "frame longer than the handshake limit", false, ATTACK_RAW_BYTES, "\x00\x00\x08\x00",
    4, false },
  { "empty frame", false, ATTACK_RAW_BYTES, "\x00\x00\x00\x00", 4, false },
  { "ping before proof", false, ATTACK_RAW_BYTES, "\x00\x00\x00\x04\x42\x02\x08\x01", 8,
    false },
  { "cancel before proof", false, ATTACK_RAW_BYTES, "\x00\x00\x00\x04\x2a\x02\x08\x01", 8,
    false },
  { "incomplete frame", false, ATTACK_RAW_BYTES, "\x00\x00\x00\x09\x0a", 5, false },
  { "no input", false, ATTACK_RAW_BYTES, "", 0, false },
  { "hello without proof", false, ATTACK_HELLO, NULL, 0, false },
  { "hello twice", false, ATTACK_HELLO_TWICE, NULL, 0, false },
  { "reflected proof of the responder", false, ATTACK_REFLECTED_PROOF, NULL, 0, false },
  { "invalid proof", false, ATTACK_INVALID_PROOF, NULL, 0, false },
  { "proof before hello", false, ATTACK_PROOF_FIRST, NULL, 0, false },
  { "unknown kind of frame", true, ATTACK_RAW_BYTES,
    "\x00\x00\x00\x05\xfa\x06\x02\x08\x01", 9, true },
  { "empty frame after the handshake", true, ATTACK_RAW_BYTES, "\x00\x00\x00\x00", 4,
    true },
  { "data for an unknown attempt", true, ATTACK_RAW_BYTES,
    "\x00\x00\x00\x07\x32\x05\x08\x09\x1a\x01x", 11, true },
  { "garbage after the handshake", true, ATTACK_RAW_BYTES, "\x00\x00\x00\x05hello", 9,
    false },
  { "oversized length after the handshake", true, ATTACK_RAW_BYTES, "\x7f\xff\xff\xff", 4,
    false },
  { "credit beyond the window", true, ATTACK_RAW_BYTES,
    "\x00\x00\x00\x04\x3a\x02\x08\x09", 8, false },
  { "hello after the handshake", true, ATTACK_HELLO, NULL, 0, false },
};

typedef struct
{
  size_t row;
  bool closed;
  size_t done;
} attack_t;

static void
attack_send (int fd, const Fq__Wire__Frame *frame)
{
  uint8_t *data;
  size_t size;

  if (fq_frame_pack (&data, &size, frame) < 0)
    abort ();
  (void)!send (fd, data, size, MSG_NOSIGNAL);
  free (data);
}

static Fq__Wire__Frame *
attack_receive (int fd)
{
  uint8_t space[2048];
  size_t length;

  if (recv (fd, space, FQ_FRAME_LENGTH_BYTES, MSG_WAITALL) != FQ_FRAME_LENGTH_BYTES)
    return NULL;
  length = fq_frame_length (space);
  if (length > sizeof space || recv (fd, space, length, MSG_WAITALL) != (ssize_t)length)
    return NULL;
  return fq__wire__frame__unpack (NULL, length, space);
}

static void
attack_send_hello (int fd, const uint8_t nonce[FQ_AUTH_NONCE_BYTES])
{
  Fq__Wire__Frame frame = FQ__WIRE__FRAME__INIT;
  Fq__Wire__Hello hello = FQ__WIRE__HELLO__INIT;

  hello.version = 2;
  hello.node = (char *)"a";
  hello.nonce.data = (uint8_t *)nonce;
  hello.nonce.len = FQ_AUTH_NONCE_BYTES;
  frame.kind_case = FQ__WIRE__FRAME__KIND_HELLO;
  frame.hello = &hello;
  attack_send (fd, &frame);
}

static void
attack_send_proof (int fd, const uint8_t *mac, size_t size)
{
  Fq__Wire__Frame frame = FQ__WIRE__FRAME__INIT;
  Fq__Wire__Proof proof = FQ__WIRE__PROOF__INIT;

  proof.mac.data = (uint8_t *)mac;
  proof.mac.len = size;
  frame.kind_case = FQ__WIRE__FRAME__KIND_PROOF;
  frame.proof = &proof;
  attack_send (fd, &frame);
}

static void
attack_authenticate (int fd, const Fq__Wire__Frame *hello, const uint8_t *own_nonce)
{
  const fq_auth_keys_t keys = { { "key-of-the-cluster" } };
  fq_auth_handshake_t handshake = { .initiator = "a", .responder = "b" };
  uint8_t mac[FQ_AUTH_PROOF_BYTES];

  memcpy (handshake.initiator_nonce, own_nonce, FQ_AUTH_NONCE_BYTES);
  memcpy (handshake.responder_nonce, hello->hello->nonce.data, FQ_AUTH_NONCE_BYTES);
  if (fq_auth_compute_proof (mac, &keys, FQ_AUTH_INITIATOR, &handshake) < 0)
    abort ();
  attack_send_proof (fd, mac, sizeof mac);
}

static void
attack_execute (int fd, size_t row, const Fq__Wire__Frame *hello)
{
  uint8_t nonce[FQ_AUTH_NONCE_BYTES] = { 1 };
  Fq__Wire__Frame *answer;

  if (attacks[row].authenticated)
    {
      attack_send_hello (fd, nonce);
      attack_authenticate (fd, hello, nonce);
    }
  switch (attacks[row].kind)
    {
    case ATTACK_RAW_BYTES:
      (void)!send (fd, attacks[row].bytes, attacks[row].size, MSG_NOSIGNAL);
      break;
    case ATTACK_HELLO_TWICE:
      attack_send_hello (fd, nonce);
      attack_send_hello (fd, nonce);
      break;
    case ATTACK_HELLO:
      attack_send_hello (fd, nonce);
      break;
    case ATTACK_REFLECTED_PROOF:
      /* Sends the responder's own nonce and proof back to it. */
      attack_send_hello (fd, hello->hello->nonce.data);
      answer = attack_receive (fd);
      if (answer != NULL)
        attack_send_proof (fd, answer->proof->mac.data, answer->proof->mac.len);
      if (answer != NULL)
        fq__wire__frame__free_unpacked (answer, NULL);
      break;
    case ATTACK_INVALID_PROOF:
      attack_send_hello (fd, nonce);
      attack_send_proof (fd, nonce, sizeof nonce);
      break;
    case ATTACK_PROOF_FIRST:
      attack_send_proof (fd, nonce, sizeof nonce);
      break;
    }
}

static void *
attack_thread (void *argument)
{
  attack_t *attack = argument;
  struct timeval timeout = { .tv_sec = 3 };
  int fd = relay_connect (responder_port);
  Fq__Wire__Frame *hello;
  uint8_t space[256];
  ssize_t got;

  setsockopt (fd, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof timeout);
  hello = attack_receive (fd);
  if (hello == NULL)
    abort ();
  attack_execute (fd, attack->row, hello);
  while ((got = recv (fd, space, sizeof space, 0)) > 0)
    continue;
  attack->closed = got == 0 || errno == ECONNRESET;
  close (fd);
  fq__wire__frame__free_unpacked (hello, NULL);
  __atomic_store_n (&attack->done, 1, __ATOMIC_SEQ_CST);
  return NULL;
}

START_TEST (test_invalid_input_does_not_affect_other_connections)
{
  attack_t attack = { .row = (size_t)_i };
  pthread_t thread;

  pthread_create (&thread, NULL, attack_thread, &attack);
  ck_assert (wait_for (&attack.done, 1, 10000));
  pthread_join (thread, NULL);
  ck_assert_msg (attack.closed != attacks[_i].stays_open, "%s: closed %d",
                 attacks[_i].name, attack.closed);
  ck_assert_msg (responder.ready == attacks[_i].authenticated, "%s: ready %zu",
                 attacks[_i].name, responder.ready);
  connect_both ();
  send_call (1, 10);
  ck_assert (wait_for (&responder.calls, 1, 1000));
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("peer_connection");
  TCase *tcase = tcase_create ("peer_connection");
  SRunner *runner = srunner_create (suite);
  int failed;

  tcase_add_checked_fixture (tcase, set_up, tear_down);
  tcase_set_timeout (tcase, 60);
  tcase_add_loop_test (tcase, test_handshake_requires_shared_key_and_expected_name, 0,
                       sizeof handshakes / sizeof handshakes[0]);
  tcase_add_loop_test (tcase, test_body_is_received_complete, 0,
                       sizeof body_sizes / sizeof body_sizes[0]);
  tcase_add_test (tcase, test_small_call_overtakes_large_body);
  tcase_add_loop_test (tcase, test_unresponsive_connection_times_out, 0,
                       sizeof idle_times / sizeof idle_times[0]);
  tcase_add_test (tcase, test_idle_unresponsive_connection_times_out);
  tcase_add_test (tcase, test_slow_answer_does_not_time_out);
  tcase_add_loop_test (tcase, test_invalid_input_does_not_affect_other_connections, 0,
                       sizeof attacks / sizeof attacks[0]);
  suite_add_tcase (suite, tcase);
  srunner_run_all (runner, CK_NORMAL);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
