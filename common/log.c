#include "hornbeamwall/common/log.h"

#include <ctype.h>
#include <errno.h>
#include <jansson.h>
#include <log4c.h>
#include <poll.h>
#include <pthread.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

/* Maximum number of lines of one event per second; further ones are only counted. */
#define LINES_PER_SECOND_MAX 200

/* Maximum length of a line, in bytes.  A pipe that polls as writable accepts this
   many bytes without blocking. */
#define LINE_MAX_BYTES 4096

static const HbwLogEventInfo event_infos[] = {
#define LOG_EVENT_INFO(number, name, level, meaning, action)                        \
  { HBW_LOG_##name, #name, HBW_LOG_LEVEL_##level, meaning, action },
  HBW_LOG_EVENTS (LOG_EVENT_INFO)
#undef LOG_EVENT_INFO
};

static const char *const level_names[] = {
  [HBW_LOG_LEVEL_ERROR] = "error",
  [HBW_LOG_LEVEL_WARN] = "warn",
  [HBW_LOG_LEVEL_INFO] = "info",
};

/* Number of lines of an event that were written or suppressed in one second. */
typedef struct
{
  gint64 second;
  guint written;
  guint suppressed;
} LineCounter;

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static log4c_category_t *category;
static HbwLogHook active_hook;
static void *hook_data;
static LineCounter counters[G_N_ELEMENTS (event_infos)];
static guint64 lost_lines; /* could not be written */

static int
get_priority (HbwLogLevel level)
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

/* --- appender: standard output, without blocking ------------------------------- */

static gboolean
is_writable (int fd)
{
  struct pollfd output = { fd, POLLOUT, 0 };
  return poll (&output, 1, 0) > 0 && (output.revents & POLLOUT) != 0;
}

static int
append (log4c_appender_t *appender G_GNUC_UNUSED, const log4c_logging_event_t *event)
{
  gsize length = strlen (event->evt_msg);
  if (!is_writable (STDOUT_FILENO)
      || write (STDOUT_FILENO, event->evt_msg, length) != (ssize_t) length)
    lost_lines++;
  return 0;
}

static const log4c_appender_type_t appender_type
    = { .name = "hornbeamwall_stdout", .append = append };

/* --- formatting ---------------------------------------------------------------- */

static json_t *
parse_value (const char *text)
{
  char *end;
  errno = 0;
  long long number = strtoll (text, &end, 10);
  gboolean is_integer = *text != '\0' && *end == '\0' && errno == 0;
  json_t *value = is_integer ? json_integer (number) : json_string (text);
  return value != NULL ? value : json_string ("(not text)");
}

/* Adds the first key=value or key="quoted value" pair of TEXT to LINE.  Returns the
   text after it, or NULL if TEXT does not begin with a pair. */
static const char *
parse_pair (const char *text, json_t *line)
{
  gsize key_length = strcspn (text, "= ");
  if (text[key_length] != '=')
    return NULL;
  const char *value = text + key_length + 1;
  gboolean quoted = *value == '"';
  const char *end = quoted ? strstr (value + 1, "\" ") : strchr (value, ' ');
  gsize length = end != NULL ? (gsize) (end - value) : strlen (value);
  if (quoted && end == NULL && length > 1 && value[length - 1] == '"')
    length--;
  char *key = g_strndup (text, key_length);
  char *copy
      = quoted ? g_strndup (value + 1, length - 1) : g_strndup (value, length);
  json_object_set_new (line, key, quoted ? json_string (copy) : parse_value (copy));
  g_free (copy);
  g_free (key);
  if (end == NULL)
    return value + strlen (value);
  return end + (quoted ? 2 : 1);
}

static void
add_pairs (json_t *line, const char *text)
{
  const char *remaining = text;
  while (remaining != NULL && *remaining != '\0')
    {
      const char *next = parse_pair (remaining, line);
      if (next == NULL)
        json_object_set_new (line, "text", parse_value (remaining));
      remaining = next;
    }
}

static double
time_of_day (void)
{
  struct timespec now;
  clock_gettime (CLOCK_REALTIME, &now);
  return (double) now.tv_sec + (double) now.tv_nsec / 1e9;
}

static void
write_line (const HbwLogEventInfo *info, const char *text)
{
  char buffer[LINE_MAX_BYTES];
  json_t *line = json_pack ("{s:f, s:s, s:i, s:s}", "time", time_of_day (), "level",
                            level_names[info->level], "number", (int) info->number,
                            "event", info->name);
  add_pairs (line, text);
  size_t length
      = json_dumpb (line, buffer, sizeof buffer - 2,
                    JSON_COMPACT | JSON_PRESERVE_ORDER | JSON_REAL_PRECISION (13));
  json_decref (line);
  if (length == 0 || length > sizeof buffer - 2)
    {
      lost_lines++; /* too long, or not valid UTF-8 */
      return;
    }
  buffer[length] = '\n';
  buffer[length + 1] = '\0';
  log4c_category_log (category, get_priority (info->level), "%s", buffer);
}

static void
log_suppressed_lines (const HbwLogEventInfo *info, LineCounter *counter)
{
  char text[128];
  g_snprintf (text, sizeof text, "of=%s lines=%u lost=%" G_GUINT64_FORMAT,
              info->name, counter->suppressed, lost_lines);
  counter->suppressed = 0;
  write_line (hbw_log_find_event (HBW_LOG_LINES_FOLDED), text);
}

/* Returns whether the rate limit allows another line of the event; counts the line
   as suppressed if not. */
static gboolean
count_line (const HbwLogEventInfo *info)
{
  LineCounter *counter = &counters[info - event_infos];
  gint64 second = g_get_monotonic_time () / G_USEC_PER_SEC;
  if (counter->second != second)
    {
      if (counter->suppressed > 0)
        log_suppressed_lines (info, counter);
      counter->second = second;
      counter->written = 0;
    }
  if (counter->written >= LINES_PER_SECOND_MAX)
    {
      counter->suppressed++;
      return FALSE;
    }
  counter->written++;
  return TRUE;
}

const HbwLogEventInfo *
hbw_log_event_list (gsize *count)
{
  *count = G_N_ELEMENTS (event_infos);
  return event_infos;
}

const HbwLogEventInfo *
hbw_log_find_event (HbwLogEvent number)
{
  for (gsize i = 0; i < G_N_ELEMENTS (event_infos); i++)
    if (event_infos[i].number == number)
      return &event_infos[i];
  return NULL;
}

void
hbw_log_open (void)
{
  log4c_init ();
  log4c_appender_type_set (&appender_type);
  category = log4c_category_get ("hornbeamwall");
  log4c_appender_t *appender = log4c_appender_get ("hornbeamwall");
  log4c_appender_set_type (appender, &appender_type);
  log4c_category_set_appender (category, appender);
  log4c_category_set_priority (category, LOG4C_PRIORITY_INFO);
  log4c_category_set_additivity (category, 0);
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
  const HbwLogEventInfo *info = hbw_log_find_event (number);
  if (info == NULL)
    return;
  pthread_mutex_lock (&lock);
  if (active_hook != NULL)
    active_hook (info, text, hook_data);
  else if (category != NULL && count_line (info))
    write_line (info, text);
  pthread_mutex_unlock (&lock);
}
