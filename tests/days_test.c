/*
 * Tests that the fault schedules in deploy/days contain every known kind of fault.
 */
#include "suite.h"

#include <glib.h>
#include <string.h>

/* All kinds that the fault injection of the users' test bench supports. */
static const char *const fault_kinds[] = {
  "add_nodes",
  "after_ack_kill",
  "answer_lost",
  "big_config",
  "burst",
  "clock_step",
  "config_change",
  "config_storm",
  "core_cut",
  "garble",
  "give_up",
  "herd_kill",
  "hot_key",
  "hot_tenant",
  "hup",
  "lossy",
  "node_cut",
  "node_freeze",
  "node_kill",
  "node_slow",
  "platform_compact",
  "platform_down",
  "platform_lost",
  "platform_slow",
  "release",
  "replace_with_reuse",
  "reset_conns",
  "retry_abuse",
  "revoke",
  "roll_term",
  "scale_in",
  "scale_out",
  "srv_crash",
  "srv_cut",
  "srv_flap",
  "srv_grey",
  "srv_lying_health",
  "srv_slow",
  "zone_cut",
};

static char *
read_schedules (void)
{
  GString *content = g_string_new (NULL);
  GDir *directory = g_dir_open (DAYS_DIR, 0, NULL);
  ck_assert (directory != NULL);
  const char *name;
  while ((name = g_dir_read_name (directory)) != NULL)
    {
      char *text = NULL;
      char *path = g_build_filename (DAYS_DIR, name, NULL);
      ck_assert (g_file_get_contents (path, &text, NULL, NULL));
      g_string_append (content, text);
      g_free (text);
      g_free (path);
    }
  g_dir_close (directory);
  return g_string_free (content, FALSE);
}

START_TEST (every_fault_kind_is_scheduled)
{
  char *schedules = read_schedules ();
  for (gsize i = 0; i < G_N_ELEMENTS (fault_kinds); i++)
    {
      char *assignment = g_strdup_printf ("kind = \"%s\"", fault_kinds[i]);
      ck_assert_msg (strstr (schedules, assignment) != NULL, "%s", fault_kinds[i]);
      g_free (assignment);
    }
  g_free (schedules);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("days");
  TCase *tests = tcase_create ("days");
  tcase_add_test (tests, every_fault_kind_is_scheduled);
  suite_add_tcase (suite, tests);
  return suite_run (suite);
}
