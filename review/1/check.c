/* A planned stop of one router cuts an answer without a length that another router
   has fetched through it; the caller gets what came so far as a complete answer. */
#include "rig.h"

#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define SERVERS 4

/* A stream has this many events, and its first one comes after a pause, as when a
   long prompt is read. */
#define EVENTS 80
#define EVENT_PAUSE_MS 100
#define FIRST_EVENT_MS 300

/* Requests that occupy two servers; their answers take this long. */
#define LONG_REQUESTS 2
#define LONG_WORK_MS 6000

/* Streams are sent in this interval after the long requests, one each STEP_MS. */
#define FIRST_STREAM_MS 400
#define STREAMS 40
#define STEP_MS 8

/* When the other router gets SIGTERM, after the long requests were sent. */
#define STOP_MS 1500

#define TIME_LIMIT_MS 15000

static const char config[]
    = "{\"version\":3,\"routes\":["
      "{\"name\":\"narration\",\"hostname\":\"h.example\","
      "\"path_prefix\":\"/stream/\",\"route_type\":\"streaming\","
      "\"timeout_ms\":15000,\"latency_goal_ms\":300,\"priority\":0,"
      "\"backend\":\"b\",\"max_attempts\":1,\"anonymous\":false,\"sticky\":true,"
      "\"resumable\":false,\"gap_target_ms\":250},"
      "{\"name\":\"task\",\"hostname\":\"h.example\",\"path_prefix\":\"/task/\","
      "\"route_type\":\"unsafe\",\"timeout_ms\":15000,\"latency_goal_ms\":8000,"
      "\"priority\":0,\"backend\":\"b\",\"max_attempts\":1,\"anonymous\":false}],"
      "\"backends\":[{\"name\":\"b\",\"health_path\":\"/healthz\","
      "\"max_connections\":360,\"protocol\":\"h1\",\"tls\":false}],"
      "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,"
      "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},"
      "\"tenants\":[{\"name\":\"t\",\"api_keys\":[\"" RIG_KEY "\"]}]}";

static bool
answer_stream (int fd, const RigRequest *request, const char *server)
{
  char text[512];
  rig_sleep_ms (FIRST_EVENT_MS);
  /* No length: the answer ends with its connection. */
  snprintf (text, sizeof text,
            "HTTP/1.1 200 OK\r\nX-Hornbeamwall-Attempt-Id: %s\r\n"
            "X-Hornbeamwall-Response-Seal: s.%s\r\n"
            "Content-Type: text/event-stream\r\nConnection: close\r\n\r\n",
            request->id, server);
  if (!rig_send_all (fd, text, strlen (text)))
    return false;
  for (int i = 1; i <= EVENTS; i++)
    {
      snprintf (text, sizeof text, "id: %d\ndata: piece %d of %d\n\n", i, i, EVENTS);
      if (!rig_send_all (fd, text, strlen (text)))
        return false;
      rig_sleep_ms (EVENT_PAUSE_MS);
    }
  return false;
}

static bool
handle (int fd, const RigRequest *request, const char *server)
{
  rig_note_run (server, request);
  if (strncmp (request->path, "/stream/", 8) == 0)
    return answer_stream (fd, request, server);
  rig_sleep_ms (LONG_WORK_MS);
  return rig_answer_ok (fd, request, server, 800);
}

static unsigned caller_port;
static int64_t start_ms;
static int cut_count;
static int whole_count;
static int other_count;
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;

static void *
run_long_request (void *data)
{
  char id[32];
  snprintf (id, sizeof id, "long-%ld", (long) data);
  int fd = rig_connect (caller_port, 0);
  rig_send_request (fd, "POST", "h.example", "/task/x", id, TIME_LIMIT_MS, "", 100);
  RigAnswer answer = rig_read_answer (fd, TIME_LIMIT_MS, 4096, 0);
  rig_record ("%s: status %d, complete %d", id, answer.status, answer.complete);
  close (fd);
  return NULL;
}

/* Reads all bytes up to the last chunk or the end of the connection. */
static size_t
read_chunked (int fd, char *text, size_t size, bool *has_last_chunk)
{
  size_t length = 0;
  *has_last_chunk = false;
  while (length + 1 < size && !*has_last_chunk)
    {
      ssize_t count = read (fd, text + length, size - 1 - length);
      if (count <= 0)
        break;
      length += (size_t) count;
      text[length] = '\0';
      *has_last_chunk = strstr (text, "\r\n0\r\n\r\n") != NULL;
    }
  return length;
}

static int
count_events (const char *text)
{
  int count = 0;
  for (const char *at = strstr (text, "data: piece"); at != NULL;
       at = strstr (at + 1, "data: piece"))
    count++;
  return count;
}

static void
judge (const char *id, const char *text, bool has_last_chunk)
{
  int status = 0;
  int events = count_events (text);
  sscanf (text, "HTTP/1.1 %d", &status);
  bool says_whole = status == 200 && has_last_chunk;
  bool is_cut = says_whole && events < EVENTS;
  rig_record ("%s: status %d, %d of %d events, %s%s", id, status, events, EVENTS,
              has_last_chunk ? "ends as complete" : "does not end as complete",
              is_cut ? ": BROKEN" : "");
  pthread_mutex_lock (&lock);
  cut_count += is_cut;
  whole_count += says_whole && !is_cut;
  other_count += !says_whole;
  pthread_mutex_unlock (&lock);
}

static void *
run_stream (void *data)
{
  char id[32];
  long number = (long) data;
  bool has_last_chunk;
  static const size_t size = 64 * 1024;
  char *text = calloc (1, size);
  rig_sleep_ms (start_ms + FIRST_STREAM_MS + number * STEP_MS - rig_now_ms ());
  snprintf (id, sizeof id, "stream-%ld", number);
  int fd = rig_connect (caller_port, 0);
  rig_send_request (fd, "POST", "h.example", "/stream/x", id, TIME_LIMIT_MS, "",
                    100);
  read_chunked (fd, text, size, &has_last_chunk);
  judge (id, text, has_last_chunk);
  close (fd);
  free (text);
  return NULL;
}

int
main (int argc, char **argv)
{
  RigServer servers[SERVERS];
  RigRouter routers[2];
  pthread_t threads[LONG_REQUESTS + STREAMS];
  rig_begin (argc > 1 ? argv[1] : "review/1/record.txt", 60);
  for (int i = 0; i < SERVERS; i++)
    {
      char id[16];
      snprintf (id, sizeof id, "i-%d", i);
      rig_server_start (&servers[i], id, handle);
    }
  Objects *store = objects_create ("127.0.0.1:0", 500);
  for (int i = 0; i < SERVERS; i++)
    rig_put_server (store, &servers[i], "b", "ready", 64);
  objects_set (store, "config", "main", config);
  RigSettings settings = { objects_port (store), 0, 5000, 8 };
  for (unsigned i = 0; i < 2; i++)
    {
      rig_router_prepare (&routers[i], i, &settings);
      settings.seed_port = routers[0].peer_port;
      rig_router_start (&routers[i]);
    }
  for (unsigned i = 0; i < 2; i++)
    if (!rig_router_wait_ready (&routers[i], 20000))
      rig_finish (RIG_NOT_RUN);
  rig_sleep_ms (4000);
  caller_port = routers[0].caller_port;
  rig_record ("all requests go to edge-0");
  for (long i = 0; i < LONG_REQUESTS; i++)
    pthread_create (&threads[i], NULL, run_long_request, (void *) i);
  start_ms = rig_now_ms ();
  for (long i = 0; i < STREAMS; i++)
    pthread_create (&threads[LONG_REQUESTS + i], NULL, run_stream, (void *) i);
  rig_sleep_ms (STOP_MS);
  if (rig_has_trouble ())
    rig_router_signal (&routers[1], SIGTERM);
  for (int i = 0; i < LONG_REQUESTS + STREAMS; i++)
    pthread_join (threads[i], NULL);
  rig_router_has_ended (&routers[1]);
  rig_record ("%d whole, %d cut that end as complete, %d others", whole_count,
              cut_count, other_count);
  if (whole_count + cut_count == 0)
    rig_finish (RIG_NOT_RUN);
  rig_finish (cut_count > 0 ? RIG_BROKEN : RIG_HELD);
}
