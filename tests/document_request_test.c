/*
 * Tests of requests between instances for newer versions of the platform's
 * documents, on the reducer without I/O: which peer is asked, and who is asked next.
 */
#include "suite.h"

#include "hornbeamwall/common/clock.h"
#include "hornbeamwall/core/documents/document_offers.h"
#include "hornbeamwall/core/documents/documents.h"
#include "hornbeamwall/core/membership/membership.h"
#include "hornbeamwall/core/policy.h"
#include "hornbeamwall/core/reducer.h"

#include <string.h>

#define SELF 1
#define DATA_CENTRE "a"

/* Versions of the list of servers. */
#define HELD 1
#define OFFERED 2

#define SERVERS "{\"servers\":[]}"

typedef struct
{
  HbwReducer *reducer;
  HbwEffects *effects; /* of the most recent step */
  gint64 now_us;
} Instance;

static void
step (Instance *instance, HbwEvent *event)
{
  event->now_us = instance->now_us;
  hbw_effects_clear (instance->effects);
  hbw_reducer_step (instance->reducer, event, instance->effects);
}

static void
read_from_store (Instance *instance, HbwDocumentKind kind, gint64 version,
                 const char *text)
{
  HbwEvent event = { .kind = HBW_EVENT_DOCUMENT_READ };
  event.document.kind = kind;
  event.document.version = version;
  event.document.body = g_bytes_new_static (text, strlen (text));
  step (instance, &event);
  g_bytes_unref (event.document.body);
}

/* Creates an instance that holds the version HELD of the list of servers. */
static Instance
instance_create (void)
{
  Instance instance = { .now_us = HBW_US_PER_S };
  HbwReducerConfig config = { .policy = hbw_policy_find ("direct"), .seed = 1 };
  config.now_us = instance.now_us;
  config.self.identity = SELF;
  config.max_revocation_delay_us = 5 * HBW_US_PER_S;
  config.drain_grace_us = 2 * HBW_US_PER_S;
  g_strlcpy (config.self.data_centre, DATA_CENTRE, HBW_NAME_MAX);
  g_strlcpy (config.self.address, "10.1.0.1:1", HBW_ADDRESS_MAX);
  instance.reducer = hbw_reducer_create (&config);
  instance.effects = hbw_effects_create ();
  read_from_store (&instance, HBW_DOCUMENT_SERVERS, HELD, SERVERS);
  return instance;
}

static void
instance_destroy (Instance *instance)
{
  hbw_effects_destroy (instance->effects);
  hbw_reducer_destroy (instance->reducer);
}

static void
tick (Instance *instance, gint64 elapsed_us)
{
  HbwEvent event = { .kind = HBW_EVENT_TICK };
  instance->now_us += elapsed_us;
  step (instance, &event);
}

/* Delivers a ping of the instance FROM, which says that it is in STATE, has VERSION
   of the list of servers and listens on the host HOST. */
static void
deliver_ping_from_address (Instance *instance, guint64 from, HbwMemberState state,
                           gint64 version, guint64 host)
{
  HbwEvent event = { .kind = HBW_EVENT_MESSAGE };
  HbwPing *ping = &event.message.ping;
  event.message.kind = HBW_MESSAGE_PING;
  event.message.from = from;
  for (guint i = 0; i < HBW_DOCUMENT_COUNT; i++)
    ping->versions[i] = HBW_VERSION_UNKNOWN;
  ping->versions[HBW_DOCUMENT_SERVERS] = version;
  ping->catalogue_age_us = -1;
  ping->member_count = 1;
  HbwMemberUpdate *member = &ping->members[0];
  member->identity = from;
  member->state = state;
  g_strlcpy (member->data_centre, DATA_CENTRE, HBW_NAME_MAX);
  g_snprintf (member->address, HBW_ADDRESS_MAX, "10.1.0.%" G_GUINT64_FORMAT ":1",
              host);
  step (instance, &event);
}

static void
deliver_ping (Instance *instance, guint64 from, HbwMemberState state, gint64 version)
{
  deliver_ping_from_address (instance, from, state, version, from);
}

/* Delivers VERSION of the list of servers from the instance FROM: the delta BODY
   from BASE_VERSION, or the complete BODY if that is 0. */
static void
deliver_document (Instance *instance, guint64 from, gint64 version,
                  gint64 base_version, const char *body)
{
  HbwEvent event = { .kind = HBW_EVENT_MESSAGE };
  event.message.kind = HBW_MESSAGE_DOCUMENT;
  event.message.from = from;
  event.message.document.kind = HBW_DOCUMENT_SERVERS;
  event.message.document.version = version;
  event.message.document.base_version = base_version;
  event.message.document.body = g_bytes_new_static (body, strlen (body));
  step (instance, &event);
  g_bytes_unref (event.message.document.body);
}

/* Returns the message of KIND about DOCUMENT that the most recent step sent, or
 * NULL.
 */
static const HbwSendMessage *
find_message_about (const Instance *instance, HbwMessageKind kind,
                    HbwDocumentKind document)
{
  for (guint i = 0; i < hbw_effects_count (instance->effects); i++)
    {
      const HbwEffect *effect = hbw_effects_get (instance->effects, i);
      if (effect->kind == HBW_EFFECT_SEND_MESSAGE
          && effect->send.message.kind == kind
          && effect->send.message.document.kind == document)
        return &effect->send;
    }
  return NULL;
}

/* The same about the list of servers. */
static const HbwSendMessage *
find_message (const Instance *instance, HbwMessageKind kind)
{
  return find_message_about (instance, kind, HBW_DOCUMENT_SERVERS);
}

/* Returns the instance that was asked for the list, or 0. */
static guint64
asked_peer (const Instance *instance)
{
  const HbwSendMessage *request = find_message (instance, HBW_MESSAGE_DOCUMENT_ASK);
  return request != NULL ? request->to : 0;
}

/* Returns the version than which a newer one was asked for. */
static gint64
asked_version (const Instance *instance)
{
  const HbwSendMessage *request = find_message (instance, HBW_MESSAGE_DOCUMENT_ASK);
  ck_assert_ptr_nonnull (request);
  return request->message.document.version;
}

/* Guards against review/9: an instance that stops pinged a new one, which did not
   know its address, asked it again and again, and followed an old list of servers.
 */
START_TEST (peer_without_an_address_does_not_keep_others_from_being_asked)
{
  Instance instance = instance_create ();
  deliver_ping (&instance, 3, HBW_MEMBER_ALIVE, HELD);
  for (guint i = 0; i < 4; i++)
    {
      deliver_ping (&instance, 2, HBW_MEMBER_LEFT, OFFERED);
      tick (&instance, HBW_DOCUMENT_REQUEST_INTERVAL_US / 2);
    }
  deliver_ping (&instance, 2, HBW_MEMBER_LEFT, OFFERED);
  deliver_ping (&instance, 3, HBW_MEMBER_ALIVE, OFFERED);
  ck_assert_uint_eq (asked_peer (&instance), 3);
  instance_destroy (&instance);
}
END_TEST

/* The same for each document, as all of them are asked for in this way. */
START_TEST (peer_without_an_address_holds_up_no_document)
{
  for (guint kind = 0; kind < HBW_DOCUMENT_COUNT; kind++)
    {
      Instance instance = instance_create ();
      HbwEvent offer = { .kind = HBW_EVENT_MESSAGE };
      deliver_ping (&instance, 3, HBW_MEMBER_ALIVE, HELD);
      offer.message.kind = HBW_MESSAGE_PING;
      for (guint i = 0; i < HBW_DOCUMENT_COUNT; i++)
        offer.message.ping.versions[i] = i == kind ? OFFERED : HBW_VERSION_UNKNOWN;
      offer.message.from = 2; /* not known, as it does not say who it is */
      step (&instance, &offer);
      offer.message.from = 3;
      step (&instance, &offer);
      const HbwSendMessage *request = find_message_about (
          &instance, HBW_MESSAGE_DOCUMENT_ASK, (HbwDocumentKind) kind);
      ck_assert_msg (request != NULL && request->to == 3, "%s",
                     hbw_document_kind_name ((HbwDocumentKind) kind));
      instance_destroy (&instance);
    }
}
END_TEST

/* Guards against the same where an address is not known for another reason: the peer
   has a lower identity than the instance that is known at its address. */
START_TEST (peer_with_a_rejected_identity_does_not_keep_others_from_being_asked)
{
  Instance instance = instance_create ();
  deliver_ping (&instance, 3, HBW_MEMBER_ALIVE, HELD);
  deliver_ping (&instance, 4, HBW_MEMBER_ALIVE, HELD);
  deliver_ping_from_address (&instance, 2, HBW_MEMBER_ALIVE, OFFERED, 4);
  ck_assert_uint_eq (asked_peer (&instance), 0);
  deliver_ping (&instance, 3, HBW_MEMBER_ALIVE, OFFERED);
  ck_assert_uint_eq (asked_peer (&instance), 3);
  instance_destroy (&instance);
}
END_TEST

/* Guards against an instance that stops and follows an old list of servers, as the
   process that it asks has started since, does not know its address and drops the
   answer. */
START_TEST (instance_that_was_first_heard_when_it_left_is_answered)
{
  Instance instance = instance_create ();
  deliver_ping (&instance, 2, HBW_MEMBER_LEFT, HBW_VERSION_UNKNOWN);
  HbwEvent request = { .kind = HBW_EVENT_MESSAGE };
  request.message.kind = HBW_MESSAGE_DOCUMENT_ASK;
  request.message.from = 2;
  request.message.document.kind = HBW_DOCUMENT_SERVERS;
  request.message.document.version = HBW_VERSION_UNKNOWN;
  step (&instance, &request);
  const HbwSendMessage *answer = find_message (&instance, HBW_MESSAGE_DOCUMENT);
  ck_assert_ptr_nonnull (answer);
  ck_assert_str_eq (answer->address, "10.1.0.2:1");
  instance_destroy (&instance);
}
END_TEST

/* Guards against an old list of servers beside a peer that is heard and does not
   answer: it is paused after its ping, or cut off in one direction. */
START_TEST (silent_peer_is_followed_by_the_next)
{
  Instance instance = instance_create ();
  deliver_ping (&instance, 2, HBW_MEMBER_ALIVE, HELD);
  deliver_ping (&instance, 3, HBW_MEMBER_ALIVE, HELD);
  deliver_ping (&instance, 2, HBW_MEMBER_ALIVE, OFFERED);
  ck_assert_uint_eq (asked_peer (&instance), 2);
  deliver_ping (&instance, 3, HBW_MEMBER_ALIVE, OFFERED);
  ck_assert_uint_eq (asked_peer (&instance), 0);
  tick (&instance, HBW_DOCUMENT_DELTA_TIMEOUT_US - 1);
  ck_assert_uint_eq (asked_peer (&instance), 0);
  tick (&instance, 1);
  ck_assert_uint_eq (asked_peer (&instance), 3);
  instance_destroy (&instance);
}
END_TEST

/* Guards against a peer that is asked again and again as its pings come first. */
START_TEST (silent_peer_is_not_waited_for_again)
{
  Instance instance = instance_create ();
  deliver_ping (&instance, 2, HBW_MEMBER_ALIVE, OFFERED);
  tick (&instance, HBW_DOCUMENT_REQUEST_INTERVAL_US);
  ck_assert_uint_eq (asked_peer (&instance), 2);
  deliver_ping (&instance, 3, HBW_MEMBER_ALIVE, OFFERED);
  ck_assert_uint_eq (asked_peer (&instance), 3);
  instance_destroy (&instance);
}
END_TEST

/* Guards against a list that stays old for longer than the rules allow while many
   peers are heard and do not answer.  Of drain_ms, 2 s, the watch of the store, its
   pause and a poll take half. */
START_TEST (answering_peer_is_asked_within_a_second_beside_silent_ones)
{
  const gint64 bound_us = HBW_US_PER_S;
  const guint64 answering = 1 + HBW_DOCUMENT_OFFERS_MAX;
  gboolean is_asked = FALSE;
  Instance instance = instance_create ();
  gint64 start_us = instance.now_us;
  for (guint64 peer = answering; peer > SELF; peer--)
    deliver_ping (&instance, peer, HBW_MEMBER_ALIVE, HELD);
  for (guint64 peer = 2; peer <= answering; peer++)
    deliver_ping (&instance, peer, HBW_MEMBER_ALIVE, OFFERED);
  while (!is_asked && instance.now_us - start_us < bound_us)
    {
      tick (&instance, 25 * HBW_US_PER_MS);
      is_asked = asked_peer (&instance) == answering;
      for (guint64 peer = answering; peer > SELF; peer--)
        deliver_ping (&instance, peer, HBW_MEMBER_ALIVE, OFFERED);
    }
  ck_assert (is_asked);
  instance_destroy (&instance);
}
END_TEST

START_TEST (only_peer_is_asked_again)
{
  Instance instance = instance_create ();
  deliver_ping (&instance, 2, HBW_MEMBER_ALIVE, OFFERED);
  ck_assert_uint_eq (asked_peer (&instance), 2);
  tick (&instance, HBW_DOCUMENT_REQUEST_INTERVAL_US - 1);
  ck_assert_uint_eq (asked_peer (&instance), 0);
  tick (&instance, 1);
  ck_assert_uint_eq (asked_peer (&instance), 2);
  instance_destroy (&instance);
}
END_TEST

/* Guards against an old list of servers for another interval where a delta was made
   from a version that is not held here. */
START_TEST (complete_document_is_asked_for_after_a_delta_that_does_not_apply)
{
  Instance instance = instance_create ();
  deliver_ping (&instance, 2, HBW_MEMBER_ALIVE, OFFERED);
  deliver_document (&instance, 2, OFFERED, HELD + 5, "delta");
  tick (&instance, 1);
  ck_assert_uint_eq (asked_peer (&instance), 2);
  ck_assert_int_eq (asked_version (&instance), HBW_VERSION_UNKNOWN);
  deliver_document (&instance, 2, OFFERED, 0, SERVERS);
  ck_assert_int_eq (
      hbw_reducer_document_version (instance.reducer, HBW_DOCUMENT_SERVERS),
      OFFERED);
  instance_destroy (&instance);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("document requests");
  suite_add_test (suite, "peer_without_an_address_does_not_keep_others",
                  peer_without_an_address_does_not_keep_others_from_being_asked);
  suite_add_test (suite, "peer_without_an_address_holds_up_no_document",
                  peer_without_an_address_holds_up_no_document);
  suite_add_test (
      suite, "peer_with_a_rejected_identity_does_not_keep_others",
      peer_with_a_rejected_identity_does_not_keep_others_from_being_asked);
  suite_add_test (suite, "instance_that_was_first_heard_when_it_left_is_answered",
                  instance_that_was_first_heard_when_it_left_is_answered);
  suite_add_test (suite, "silent_peer_is_followed_by_the_next",
                  silent_peer_is_followed_by_the_next);
  suite_add_test (suite, "silent_peer_is_not_waited_for_again",
                  silent_peer_is_not_waited_for_again);
  suite_add_test (suite, "answering_peer_is_asked_within_a_second",
                  answering_peer_is_asked_within_a_second_beside_silent_ones);
  suite_add_test (suite, "only_peer_is_asked_again", only_peer_is_asked_again);
  suite_add_test (suite, "complete_document_is_asked_for_after_a_delta",
                  complete_document_is_asked_for_after_a_delta_that_does_not_apply);
  return suite_run (suite);
}
