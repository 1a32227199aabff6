#include "hornbeamwall/common/log.h"

#include <log4c.h>
#include <pthread.h>

static const HbwLogEntry entries[] = {
#define LOG_ENTRY(number, name, level, meaning, action)                             \
  { HBW_LOG_##name, #name, HBW_LOG_LEVEL_##level, meaning, action },
  HBW_LOG_EVENTS (LOG_ENTRY)
#undef LOG_ENTRY
};

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static log4c_category_t *category;
static HbwLogHook active_hook;
static void *hook_data;

static int
priority_of (HbwLogLevel level)
{
  switch (level)
    {
    case HBW_LOG_LEVEL_ERROR:
      return LOG4C_PRIORITY_ERROR;
    case HBW_LOG_LEVEL_WARN:
      return LOG4C_PRIORITY_WARN;
    default:
      return LOG4C_PRIORITY_INFO;
    }
}

const HbwLogEntry *
hbw_log_entries (gsize *count)
{
  *count = G_N_ELEMENTS (entries);
  return entries;
}

const HbwLogEntry *
hbw_log_find (HbwLogEvent number)
{
  for (gsize i = 0; i < G_N_ELEMENTS (entries); i++)
    if (entries[i].number == number)
      return &entries[i];
  return NULL;
}

void
hbw_log_open (void)
{
  log4c_init ();
  category = log4c_category_get ("hornbeamwall");
  log4c_appender_t *appender = log4c_appender_get ("stderr");
  log4c_layout_t *layout = log4c_layout_get ("hornbeamwall");
  log4c_layout_set_type (layout, log4c_layout_type_get ("dated"));
  log4c_appender_set_layout (appender, layout);
  log4c_category_set_appender (category, appender);
  log4c_category_set_priority (category, LOG4C_PRIORITY_INFO);
}

void
hbw_log_close (void)
{
  category = NULL;
  log4c_fini ();
}

void
hbw_log_set_hook (HbwLogHook hook, void *data)
{
  active_hook = hook;
  hook_data = data;
}

void
hbw_log_write (HbwLogEvent number, const char *text)
{
  const HbwLogEntry *entry = hbw_log_find (number);
  if (entry == NULL)
    return;
  pthread_mutex_lock (&lock);
  if (active_hook != NULL)
    active_hook (entry, text, hook_data);
  else if (category != NULL)
    log4c_category_log (category, priority_of (entry->level), "event=%d name=%s %s",
                        (int) entry->number, entry->name, text);
  pthread_mutex_unlock (&lock);
}
