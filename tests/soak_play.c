#include "soak_play.h"

#include "soak_connection.h"
#include "soak_drain.h"
#include "soak_duty.h"
#include "soak_part.h"
#include "soak_path.h"
#include "soak_site.h"

#include <poll.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

/* Time for all instances to start, and of sound requests alone. */
#define START_US 6000000
#define BEFORE_US 5000000

/* Time of the harmful requests. */
#define HARMFUL_US 28000000

#define DIRECTORY_INTERVAL_US 100000
#define KILL_INTERVAL_US 3000000
#define CONFIG_INTERVAL_US 4000000

/* Servers of the plays of parts, and of a single request. */
#define PART_SERVERS 12
#define REQUEST_SERVERS 3

#define OUTAGE_US 3400000
#define WORK_US 40000

/* Connections of an idle play, and the slack for a close that crosses a request. */
#define IDLE_CONNECTIONS 40
#define LOSS_SLACK_US 200000

/* Time between the first requests of the connections. */
#define IDLE_STAGGER_US 500

#define RECEIVE_TIMEOUT_S 8

typedef enum
{
  DISTURBANCE_NONE,
  DISTURBANCE_KILLS,
  DISTURBANCE_CONFIGS,
} Disturbance;

typedef struct
{
  const char *name;
  SoakPartConfig config;
  Disturbance disturbance;
  gboolean keeps_ids;
} PartPlay;

#define PARTS_SECOND "f0:100,h1:50,u%u:30"

#define PART_CONFIG(kind, format, what)                                             \
  {                                                                                 \
    .path_kind = (kind), .parts = (format), .part = "h1", .end = (what),            \
    .crashes_counted = 5, .interval_ms = 720, .sound_callers = 12, .is_calm = TRUE  \
  }

static const PartPlay part_plays[] = {
  { "part-second", PART_CONFIG ("safe", PARTS_SECOND, HARMFUL_RESET),
    DISTURBANCE_NONE, FALSE },
  { "part-first", PART_CONFIG ("safe", "h1:100,s1:80,u%u:30", HARMFUL_RESET),
    DISTURBANCE_NONE, FALSE },
  { "part-unsafe", PART_CONFIG ("unsafe", PARTS_SECOND, HARMFUL_RESET),
    DISTURBANCE_NONE, FALSE },
  { "part-silent", PART_CONFIG ("safe", PARTS_SECOND, HARMFUL_SILENT),
    DISTURBANCE_NONE, FALSE },
  { "part-close", PART_CONFIG ("safe", PARTS_SECOND, HARMFUL_CLOSE),
    DISTURBANCE_NONE, FALSE },
  { "part-open", PART_CONFIG ("safe", PARTS_SECOND, HARMFUL_OPEN), DISTURBANCE_NONE,
    FALSE },
  { "part-same", PART_CONFIG ("safe", PARTS_SECOND, HARMFUL_RESET), DISTURBANCE_NONE,
    TRUE },
  { "part-killed", PART_CONFIG ("safe", PARTS_SECOND, HARMFUL_RESET),
    DISTURBANCE_KILLS, FALSE },
  { "part-config", PART_CONFIG ("safe", PARTS_SECOND, HARMFUL_RESET),
    DISTURBANCE_CONFIGS, FALSE },
  { "open-request",
    { .path_kind = "safe",
      .part = "x",
      .end = HARMFUL_OPEN,
      .crashes_counted = 3,
      .interval_ms = 600,
      .sound_callers = 12,
      .is_calm = TRUE },
    DISTURBANCE_NONE,
    FALSE },
};

typedef struct
{
  const char *name;
  guint timeout_ms;         /* at first */
  guint changed_timeout_ms; /* after CHANGE_US; 0 if it isn't changed */
  gint64 change_us;
  gint64 send_first_us; /* second requests are sent in this span after the first */
  gint64 send_last_us;
  gint64 stop_us; /* 0 if the instance isn't stopped */
  gint64 go_on_us;
  gint64 work_us;            /* of the servers for each request; 0: as they are */
  gint64 terminate_us;       /* SIGTERM; 0 is none */
  gint64 terminate_again_us; /* a second SIGTERM */
} IdlePlay;

static const IdlePlay idle_plays[] = {
  { "idle-stop", 2000, 0, 0, 1600000, 1600000, 1450000, 2450000 },
  { "idle-edge", 2000, 0, 0, 1970000, 2010000, 0, 0 },
  { "idle-lower", 6000, 1000, 500000, 100000, 4800000, 0, 0 },
  { "idle-raise", 1000, 6000, 500000, 100000, 1600000, 0, 0 },
  { "idle-terminate", 2000, 0, 0, 100000, 100000, 0, 0, 200000, 450000, 500000 },
};

static const PartPlay *
find_part_play (const char *name)
{
  for (gsize i = 0; i < G_N_ELEMENTS (part_plays); i++)
    if (strcmp (part_plays[i].name, name) == 0)
      return &part_plays[i];
  return NULL;
}

static const IdlePlay *
find_idle_play (const char *name)
{
  for (gsize i = 0; i < G_N_ELEMENTS (idle_plays); i++)
    if (strcmp (idle_plays[i].name, name) == 0)
      return &idle_plays[i];
  return NULL;
}

gboolean
soak_play_prepare (Soak *soak, const char *name)
{
  const PartPlay *play = find_part_play (name);
  soak->outage_us = OUTAGE_US;
  soak->has_zones = TRUE;
  soak->servers = REQUEST_SERVERS;
  if (play == NULL)
    return find_idle_play (name) != NULL || strcmp (name, "usage") == 0
           || soak_path_prepare (soak, name) || soak_drain_prepare (soak, name);
  soak->renames_servers = !play->keeps_ids;
  if (play->config.parts != NULL)
    soak->servers = PART_SERVERS;
  return TRUE;
}

/* --- plays of harmful requests -------------------------------------------- */

/* Kills an instance, or writes a config.  Returns the time until the next one. */
static gint64
disturb (Soak *soak, Disturbance disturbance, guint number)
{
  if (disturbance == DISTURBANCE_KILLS)
    {
      soak_processes_signal (soak->processes, number % soak->instances, SIGKILL);
      return KILL_INTERVAL_US;
    }
  soak_put_config (soak, soak->config_version + 1);
  return CONFIG_INTERVAL_US;
}

static void
keep_directory (Soak *soak, gint64 duration_us, Disturbance disturbance)
{
  gint64 now_us = g_get_monotonic_time ();
  gint64 end_us = now_us + duration_us;
  gint64 next_us = now_us;
  guint number = 0;
  for (; now_us < end_us; now_us = g_get_monotonic_time ())
    {
      soak_update_directory (soak);
      if (disturbance != DISTURBANCE_NONE && now_us >= next_us)
        next_us += disturb (soak, disturbance, number++);
      g_usleep (DIRECTORY_INTERVAL_US);
    }
}

static void
run_part_play (Soak *soak, const PartPlay *play, guint32 seed)
{
  for (guint i = 0; i < soak->servers; i++)
    replica_set_work (soak->replicas[i], WORK_US);
  g_usleep (START_US);
  SoakPart *part = soak_part_create (soak, &play->config, seed);
  keep_directory (soak, BEFORE_US, DISTURBANCE_NONE);
  soak_part_begin (part);
  keep_directory (soak, HARMFUL_US, play->disturbance);
  soak_part_end (part);
  atomic_store (&soak->stopping, TRUE);
  soak_part_destroy (part);
}

/* --- plays of idle connections --------------------------------------------- */

typedef struct
{
  const IdlePlay *play;
  Soak *soak;
  pthread_t thread;
  guint number;
  gint64 begin_us;
  enum
  {
    IDLE_ANSWERED,
    IDLE_CLOSED_BEFORE,
    IDLE_CROSSED,
    IDLE_LOST,
    IDLE_FAILED, /* the first request */
    IDLE_RESULT_COUNT,
  } result;
} IdleConnection;

static void
sleep_until (gint64 time_us)
{
  gint64 rest_us = time_us - g_get_monotonic_time ();
  if (rest_us > 0)
    g_usleep ((gulong) rest_us);
}

static void
reuse_connection (IdleConnection *connection, int fd)
{
  struct pollfd input = { fd, POLLIN, 0 };
  char path[32];
  char trace[32];
  connection->result = IDLE_CLOSED_BEFORE;
  if (poll (&input, 1, 0) != 0)
    return;
  g_snprintf (path, sizeof path, "/safe/second-%u/ok", connection->number);
  g_snprintf (trace, sizeof trace, "second-%u", connection->number);
  if (!soak_send (fd, path, trace, "k1", "", "b"))
    return;
  gint64 sent_us = g_get_monotonic_time ();
  SoakResponse response = soak_receive (fd);
  gboolean crossed = g_get_monotonic_time () - sent_us <= LOSS_SLACK_US
                     && replica_total_run_count (connection->soak->replicas,
                                                 connection->soak->servers, path)
                            == 0;
  if (response.text->len > 0)
    connection->result = IDLE_ANSWERED;
  else
    connection->result = crossed ? IDLE_CROSSED : IDLE_LOST;
  g_string_free (response.text, TRUE);
}

static void *
run_idle_connection (void *data)
{
  IdleConnection *connection = data;
  const IdlePlay *play = connection->play;
  char path[32];
  char trace[32];
  sleep_until (connection->begin_us);
  int fd = soak_connect (connection->soak->ports[0], RECEIVE_TIMEOUT_S);
  connection->result = IDLE_FAILED;
  g_snprintf (path, sizeof path, "/safe/first-%u/ok", connection->number);
  g_snprintf (trace, sizeof trace, "first-%u", connection->number);
  if (fd < 0 || !soak_send (fd, path, trace, "k1", "", "b"))
    return NULL;
  SoakResponse response = soak_receive (fd);
  gint64 answered_us = g_get_monotonic_time ();
  if (soak_status (response.text) == 200)
    {
      gint64 span_us = play->send_last_us - play->send_first_us;
      sleep_until (answered_us + play->send_first_us
                   + span_us * connection->number / IDLE_CONNECTIONS);
      reuse_connection (connection, fd);
    }
  g_string_free (response.text, TRUE);
  close (fd);
  return NULL;
}

static void
terminate_at (Soak *soak, gint64 time_us)
{
  sleep_until (time_us);
  soak_processes_signal (soak->processes, 0, SIGTERM);
}

static void
run_idle_play (Soak *soak, const IdlePlay *play)
{
  IdleConnection connections[IDLE_CONNECTIONS];
  guint counts[IDLE_RESULT_COUNT] = { 0 };
  soak_set_idle_timeout (soak, play->timeout_ms);
  for (guint i = 0; i < soak->servers && play->work_us > 0; i++)
    replica_set_work (soak->replicas[i], play->work_us);
  g_usleep (START_US);
  gint64 begin_us = g_get_monotonic_time () + 100000;
  for (guint i = 0; i < IDLE_CONNECTIONS; i++)
    {
      connections[i] = (IdleConnection){ .play = play, .soak = soak, .number = i };
      connections[i].begin_us = begin_us + (gint64) i * IDLE_STAGGER_US;
      pthread_create (&connections[i].thread, NULL, run_idle_connection,
                      &connections[i]);
    }
  if (play->stop_us > 0)
    {
      sleep_until (begin_us + play->stop_us);
      soak_processes_pause (soak->processes, 0, play->go_on_us - play->stop_us);
    }
  if (play->terminate_us > 0)
    {
      terminate_at (soak, begin_us + play->terminate_us);
      terminate_at (soak, begin_us + play->terminate_again_us);
    }
  if (play->changed_timeout_ms > 0)
    {
      sleep_until (begin_us + play->change_us);
      soak_set_idle_timeout (soak, play->changed_timeout_ms);
    }
  for (guint i = 0; i < IDLE_CONNECTIONS; i++)
    {
      pthread_join (connections[i].thread, NULL);
      counts[connections[i].result]++;
    }
  char *text = g_strdup_printf ("%u answered, %u closed before, %u crossed, %u "
                                "lost, %u without a first answer",
                                counts[IDLE_ANSWERED], counts[IDLE_CLOSED_BEFORE],
                                counts[IDLE_CROSSED], counts[IDLE_LOST],
                                counts[IDLE_FAILED]);
  printf ("kept connections: %s\n", text);
  if (counts[IDLE_FAILED] > 0)
    soak_report_violation (soak, "first request gets no answer", play->name, text);
  if (counts[IDLE_LOST] > 0)
    soak_report_violation (soak, "kept connection closed without an answer",
                           play->name, text);
  g_free (text);
}

void
soak_play_run (Soak *soak, const char *name, guint32 seed)
{
  const PartPlay *part_play = find_part_play (name);
  if (part_play != NULL)
    run_part_play (soak, part_play, seed);
  else if (find_idle_play (name) != NULL)
    run_idle_play (soak, find_idle_play (name));
  else if (strcmp (name, "usage") == 0)
    soak_duty_run_play (soak->duty, seed);
  else if (strcmp (name, "drain") == 0)
    soak_drain_run (soak, seed);
  else
    soak_path_run (soak, name, seed);
  printf ("seed %u: play %s, %u breaches\n", seed, name,
          atomic_load (&soak->violations));
}
