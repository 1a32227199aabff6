#include "hornbeamwall/commands.h"
#include "hornbeamwall/common/log.h"

#include <stdio.h>

static const char *const levels[] = { "error", "warn", "info" };

int
hbw_command_events (int argc, char **argv)
{
  const GOptionEntry entries[] = { { NULL } };
  if (!hbw_command_parse (&argc, &argv, entries, "",
                          "Prints the list of log events as the page "
                          "docs/EVENTS.md."))
    return HBW_EXIT_USAGE;
  gsize count;
  const HbwLogEventInfo *list = hbw_log_event_list (&count);
  printf (
      "# Log events\n\nMade by `hornbeamwall events`; a test compares the two.\n\n"
      "| number | name | level | meaning | what to do |\n"
      "| --- | --- | --- | --- | --- |\n");
  for (gsize i = 0; i < count; i++)
    printf ("| %d | %s | %s | %s | %s |\n", (int) list[i].number, list[i].name,
            levels[list[i].level], list[i].meaning, list[i].action);
  return HBW_EXIT_OK;
}
