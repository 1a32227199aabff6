/*
 * Tests that the days in deploy/days play every kind of trouble that is known.
 */
#include "suite.h"

#include <glib.h>
#include <string.h>

/* Every kind that the users' bench names for its deployments. */
static const char *const kinds[] = {
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
read_days (void)
{
  GString *all = g_string_new (NULL);
  GDir *days = g_dir_open (DAYS_DIR, 0, NULL);
  ck_assert (days != NULL);
  const char *name;
  while ((name = g_dir_read_name (days)) != NULL)
    {
      char *text = NULL;
      char *path = g_build_filename (DAYS_DIR, name, NULL);
      ck_assert (g_file_get_contents (path, &text, NULL, NULL));
      g_string_append (all, text);
      g_free (text);
      g_free (path);
    }
  g_dir_close (days);
  return g_string_free (all, FALSE);
}

START_TEST (every_kind_has_a_day)
{
  char *days = read_days ();
  for (gsize i = 0; i < G_N_ELEMENTS (kinds); i++)
    {
      char *entry = g_strdup_printf ("kind = \"%s\"", kinds[i]);
      ck_assert_msg (strstr (days, entry) != NULL, "%s", kinds[i]);
      g_free (entry);
    }
  g_free (days);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("days");
  TCase *tests = tcase_create ("days");
  tcase_add_test (tests, every_kind_has_a_day);
  suite_add_tcase (suite, tests);
  return suite_run (suite);
}
