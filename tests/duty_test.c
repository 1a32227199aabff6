/*
 * duty_test - the holder of the duty lease and the tasks that it works for
 */
#include "suite.h"

#include "hornbeamwall/core/duty/duty.h"
#include "hornbeamwall/core/membership/membership.h"

#include <string.h>

#define SELF 50
#define LEASE_US (3 * HBW_US_PER_S)
#define STEP_US (25 * HBW_US_PER_MS)

/* A task that calls once for each state that is stored. */
typedef struct
{
  HbwDutyTask base;
  guint64 number;
  guint64 loaded;
  guint64 called;
  HbwDutyOutcome outcome; /* of the last call */
} CountingTask;

typedef struct
{
  HbwContext context;
  HbwDuty *duty;
  CountingTask *task;
  GBytes *stored; /* object in the store, or NULL */
  gint64 revision;
  gint64 era;
  guint writes;
  guint calls;
  HbwDutyCall last_call;
  guint64 last_token;
  gint64 last_call_us;
  gint64 shortest_call_interval_us;
  guint statuses;
  HbwDutyOutcome outcome;
  gboolean holds_calls; /* calls stay without a result */
  gboolean drains;
} Fixture;

static void
tick_task (HbwDutyTask *task G_GNUC_UNUSED, HbwContext *context G_GNUC_UNUSED,
           gboolean is_holder G_GNUC_UNUSED)
{
}

static void
load_task (HbwDutyTask *base, HbwContext *context G_GNUC_UNUSED, json_t *state)
{
  CountingTask *task = (CountingTask *) base;
  task->loaded = (guint64) json_integer_value (state);
}

static json_t *
save_task (const HbwDutyTask *base)
{
  return json_integer ((json_int_t) ((const CountingTask *) base)->number);
}

static guint64
task_number (const HbwDutyTask *base)
{
  return ((const CountingTask *) base)->number;
}

static gboolean
next_task_call (HbwDutyTask *base, HbwContext *context G_GNUC_UNUSED,
                guint64 stored_number, HbwDutyCall *call)
{
  CountingTask *task = (CountingTask *) base;
  if (task->called >= stored_number)
    return FALSE;
  *call = (HbwDutyCall){ .kind = HBW_DUTY_CALL_USAGE, .id = task->called + 1 };
  call->usage.counts = g_bytes_new_static ("{}", 2);
  return TRUE;
}

static void
handle_task_result (HbwDutyTask *base, HbwContext *context G_GNUC_UNUSED,
                    const HbwDutyResult *result)
{
  CountingTask *task = (CountingTask *) base;
  task->outcome = result->outcome;
  if (result->outcome == HBW_DUTY_ACCEPTED)
    task->called = result->id;
}

static void
destroy_task (HbwDutyTask *task)
{
  g_free (task);
}

static const HbwDutyTaskClass counting_class
    = { "count",     tick_task,      load_task,          save_task,
        task_number, next_task_call, handle_task_result, destroy_task };

static Fixture
fixture_create (double calls_per_s)
{
  const HbwMemberUpdate self = { .identity = SELF, .state = HBW_MEMBER_ALIVE };
  const HbwDutyConfig config = { SELF, "self", LEASE_US, calls_per_s };
  Fixture fixture = { .era = 1, .shortest_call_interval_us = G_MAXINT64 };
  HbwContext *context = &fixture.context;
  context->self = SELF;
  context->now_us = HBW_US_PER_S;
  context->random = g_rand_new_with_seed (1);
  context->membership = hbw_membership_create (&self);
  context->loopback = g_queue_new ();
  context->effects = hbw_effects_create ();
  fixture.duty = hbw_duty_create (&config, context->now_us);
  fixture.task = g_new0 (CountingTask, 1);
  fixture.task->base.class = &counting_class;
  hbw_duty_add_task (fixture.duty, &fixture.task->base);
  return fixture;
}

static void
fixture_destroy (Fixture *fixture)
{
  hbw_duty_destroy (fixture->duty);
  hbw_membership_destroy (fixture->context.membership);
  hbw_effects_destroy (fixture->context.effects);
  g_queue_free (fixture->context.loopback);
  g_rand_free (fixture->context.random);
  g_clear_pointer (&fixture->stored, g_bytes_unref);
  hbw_duty_call_clear (&fixture->last_call);
}

static void
answer_store (Fixture *fixture, const HbwDutyStoreCall *call)
{
  HbwDutyStoreResult result = { .kind = call->kind, .era = fixture->era };
  if (call->kind != HBW_DUTY_STORE_WRITE)
    {
      result.body = fixture->stored;
      if (fixture->stored == NULL)
        result.outcome = HBW_DUTY_STORE_ABSENT;
    }
  else
    {
      ck_assert_int_eq (call->base_revision, fixture->revision);
      g_clear_pointer (&fixture->stored, g_bytes_unref);
      fixture->stored = g_bytes_ref (call->body);
      fixture->revision++;
      fixture->writes++;
    }
  result.revision = fixture->revision;
  hbw_duty_handle_store (fixture->duty, &fixture->context, &result);
}

static void
answer_call (Fixture *fixture, const HbwSendDutyCall *send)
{
  gint64 now_us = fixture->context.now_us;
  if (fixture->calls++ > 0)
    fixture->shortest_call_interval_us
        = MIN (fixture->shortest_call_interval_us, now_us - fixture->last_call_us);
  fixture->last_call_us = now_us;
  fixture->last_token = send->fencing_token;
  ck_assert_int_gt (send->send_before_us, now_us);
  hbw_duty_call_clear (&fixture->last_call);
  hbw_duty_call_copy (&fixture->last_call, &send->call);
  if (fixture->holds_calls)
    return;
  const HbwDutyResult result = { send->call.kind, send->call.id, fixture->outcome };
  hbw_duty_handle_call (fixture->duty, &fixture->context, &result);
}

static void
run (Fixture *fixture, gint64 duration_us)
{
  HbwContext *context = &fixture->context;
  gint64 until_us = context->now_us + duration_us;
  for (; context->now_us < until_us; context->now_us += STEP_US)
    {
      hbw_duty_tick (fixture->duty, context, fixture->drains);
      for (guint i = 0; i < hbw_effects_count (context->effects); i++)
        {
          const HbwEffect *effect = hbw_effects_get (context->effects, i);
          if (effect->kind == HBW_EFFECT_DUTY_STORE)
            answer_store (fixture, &effect->duty_store);
          else if (effect->kind == HBW_EFFECT_DUTY_CALL)
            answer_call (fixture, &effect->duty_call);
          else if (effect->kind == HBW_EFFECT_SEND_MESSAGE)
            fixture->statuses++;
        }
      hbw_effects_clear (context->effects);
    }
}

static void
set_stored (Fixture *fixture, const char *text)
{
  fixture->stored = g_bytes_new (text, strlen (text));
  fixture->revision = 5;
}

static gboolean
is_holder (const Fixture *fixture)
{
  return hbw_duty_is_holder (fixture->duty, fixture->context.now_us);
}

static char *
stored_text (const Fixture *fixture)
{
  gsize length;
  const char *text = g_bytes_get_data (fixture->stored, &length);
  return g_strndup (text, length);
}

static void
add_member (Fixture *fixture, guint64 identity, guint mbps)
{
  HbwMessage ping = { .kind = HBW_MESSAGE_PING, .from = identity };
  HbwMemberUpdate *member = &ping.ping.members[ping.ping.member_count++];
  member->identity = identity;
  g_snprintf (member->name, sizeof member->name, "n%u", (guint) identity);
  g_snprintf (member->address, sizeof member->address, "127.0.0.1:%u",
              (guint) identity);
  member->link_mbps = mbps;
  member->processor_percent = 10;
  hbw_membership_handle_message (fixture->context.membership, &fixture->context,
                                 &ping);
  hbw_effects_clear (fixture->context.effects);
}

/* Guards against a call that is made before the state that it depends on is stored,
   and against the loss of a state that only another build knows. */
START_TEST (state_is_stored_before_its_call)
{
  Fixture fixture = fixture_create (0);
  set_stored (&fixture, "{\"holder\":\"9\",\"name\":\"x\",\"fencing_token\":4,"
                        "\"sequence\":8,\"tasks\":{\"count\":7,\"new\":[1]}}");
  run (&fixture, 5 * HBW_US_PER_S);
  ck_assert (is_holder (&fixture));
  ck_assert_uint_eq (fixture.task->loaded, 7);
  ck_assert_uint_eq (fixture.calls, 0);
  fixture.task->number = 1;
  run (&fixture, HBW_US_PER_S);
  ck_assert_uint_eq (fixture.calls, 1);
  ck_assert_uint_eq (fixture.last_token, (G_GUINT64_CONSTANT (1) << 32) + 1);
  char *text = stored_text (&fixture);
  ck_assert_ptr_nonnull (strstr (text, "\"count\":1"));
  ck_assert_ptr_nonnull (strstr (text, "\"new\":[1]"));
  ck_assert_ptr_nonnull (strstr (text, "\"holder\":\"50\",\"name\":\"self\""));
  g_free (text);
  fixture_destroy (&fixture);
}
END_TEST

/* Guards against a store that is written more often than needed: each third of the
   lease, and five times a second while the state changes. */
START_TEST (writes_are_few)
{
  Fixture fixture = fixture_create (0);
  run (&fixture, 5 * HBW_US_PER_S);
  ck_assert (is_holder (&fixture));
  fixture.writes = 0;
  run (&fixture, 10 * HBW_US_PER_S);
  ck_assert_uint_ge (fixture.writes, 9);
  ck_assert_uint_le (fixture.writes, 10);
  fixture.writes = 0;
  for (guint i = 0; i < 100; i++)
    {
      fixture.task->number++;
      run (&fixture, 2 * STEP_US);
    }
  ck_assert_uint_le (fixture.writes, 26);
  ck_assert_uint_eq (fixture.task->called, fixture.calls);
  fixture_destroy (&fixture);
}
END_TEST

/* Guards against calls above the fleet's rate limit, which are charged and refused,
   and against retries without a pause. */
START_TEST (calls_keep_the_rate_and_back_off)
{
  Fixture fixture = fixture_create (4);
  fixture.task->number = 100;
  run (&fixture, 10 * HBW_US_PER_S);
  ck_assert_uint_ge (fixture.calls, 20);
  ck_assert_int_ge (fixture.shortest_call_interval_us, HBW_US_PER_S / 4);
  fixture.outcome = HBW_DUTY_UNKNOWN;
  guint before = fixture.calls;
  run (&fixture, 10 * HBW_US_PER_S);
  ck_assert_uint_ge (fixture.calls - before, 6);
  ck_assert_uint_le (fixture.calls - before, 9);
  ck_assert_uint_eq (fixture.task->outcome, HBW_DUTY_UNKNOWN);
  fixture_destroy (&fixture);
}
END_TEST

/* Guards against a successor that acts while the last call of a stopping holder is
   on its way. */
START_TEST (lease_is_released_after_the_last_call)
{
  Fixture fixture = fixture_create (0);
  fixture.holds_calls = TRUE;
  fixture.task->number = 1;
  run (&fixture, 6 * HBW_US_PER_S);
  ck_assert_uint_eq (fixture.calls, 1);
  fixture.drains = TRUE;
  run (&fixture, 3 * HBW_US_PER_S);
  ck_assert (is_holder (&fixture));
  const HbwDutyResult result = { HBW_DUTY_CALL_USAGE, 1, HBW_DUTY_ACCEPTED };
  hbw_duty_handle_call (fixture.duty, &fixture.context, &result);
  run (&fixture, HBW_US_PER_S);
  ck_assert (!is_holder (&fixture));
  char *text = stored_text (&fixture);
  ck_assert_ptr_nonnull (strstr (text, "\"holder\":\"\""));
  g_free (text);
  guint writes = fixture.writes;
  run (&fixture, 10 * HBW_US_PER_S);
  ck_assert_uint_eq (fixture.writes, writes);
  ck_assert_uint_eq (hbw_duty_holder (fixture.duty), 0);
  fixture_destroy (&fixture);
}
END_TEST

/* Guards against a call without a response that is executed after the first call of
   the next holder, whose token is higher. */
START_TEST (lease_is_kept_while_a_call_may_be_executed)
{
  Fixture fixture = fixture_create (0);
  fixture.outcome = HBW_DUTY_UNKNOWN;
  fixture.task->number = 1;
  while (fixture.calls == 0)
    run (&fixture, STEP_US);
  fixture.drains = TRUE;
  run (&fixture, LEASE_US - 4 * STEP_US);
  ck_assert (is_holder (&fixture));
  ck_assert_uint_eq (fixture.calls, 1);
  run (&fixture, HBW_US_PER_S / 2);
  ck_assert (!is_holder (&fixture));
  fixture_destroy (&fixture);
}
END_TEST

/* Guards against a holder that goes on after another one has a higher token, and
   against an older holder's status that replaces the newer one. */
START_TEST (higher_token_ends_the_lease)
{
  Fixture fixture = fixture_create (0);
  run (&fixture, 5 * HBW_US_PER_S);
  ck_assert_uint_eq (hbw_duty_holder (fixture.duty), SELF);
  HbwMessage status = { .kind = HBW_MESSAGE_DUTY_STATUS, .from = 9 };
  status.duty_status.fencing_token = 3;
  hbw_duty_handle_status (fixture.duty, &fixture.context, &status);
  ck_assert_uint_eq (hbw_duty_holder (fixture.duty), SELF);
  status.duty_status.fencing_token = G_GUINT64_CONSTANT (1) << 33;
  status.duty_status.deputy = 7;
  hbw_duty_handle_status (fixture.duty, &fixture.context, &status);
  ck_assert (!is_holder (&fixture));
  ck_assert_uint_eq (hbw_duty_holder (fixture.duty), 9);
  ck_assert_uint_eq (hbw_duty_deputy (fixture.duty), 7);
  fixture_destroy (&fixture);
}
END_TEST

/* Guards against store calls of instances that are not among the three largest. */
START_TEST (only_the_largest_call_the_store)
{
  Fixture fixture = fixture_create (0);
  for (guint64 identity = 1; identity <= 3; identity++)
    add_member (&fixture, identity, 100);
  run (&fixture, 5 * HBW_US_PER_S);
  ck_assert (!is_holder (&fixture));
  ck_assert_uint_eq (fixture.writes, 0);
  fixture_destroy (&fixture);
}
END_TEST

/* Guards against a holder that the others cannot reach: nobody hears its status. */
START_TEST (holder_that_hears_nobody_releases)
{
  Fixture fixture = fixture_create (0);
  run (&fixture, 5 * HBW_US_PER_S);
  add_member (&fixture, 90, 0);
  add_member (&fixture, 91, 0);
  hbw_duty_set_window (fixture.duty, 8, 0);
  run (&fixture, HBW_US_PER_S / 4);
  ck_assert (is_holder (&fixture));
  for (guint i = 0; i < 6 * 40; i++)
    {
      hbw_membership_tick (fixture.context.membership, &fixture.context);
      run (&fixture, STEP_US);
    }
  ck_assert (!is_holder (&fixture));
  ck_assert_uint_ge (fixture.statuses, 1);
  ck_assert_int_eq (hbw_duty_last_status (fixture.duty)->window, 8);
  fixture_destroy (&fixture);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("duty");
  suite_add_test (suite, "state_is_stored_before_its_call",
                  state_is_stored_before_its_call);
  suite_add_test (suite, "writes_are_few", writes_are_few);
  suite_add_test (suite, "calls_keep_the_rate_and_back_off",
                  calls_keep_the_rate_and_back_off);
  suite_add_test (suite, "lease_is_released_after_the_last_call",
                  lease_is_released_after_the_last_call);
  suite_add_test (suite, "lease_is_kept_while_a_call_may_be_executed",
                  lease_is_kept_while_a_call_may_be_executed);
  suite_add_test (suite, "higher_token_ends_the_lease", higher_token_ends_the_lease);
  suite_add_test (suite, "only_the_largest_call_the_store",
                  only_the_largest_call_the_store);
  suite_add_test (suite, "holder_that_hears_nobody_releases",
                  holder_that_hears_nobody_releases);
  return suite_run (suite);
}
