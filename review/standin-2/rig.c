#include "rig.h"

#include "listen.h"

#include <errno.h>
#include <fcntl.h>
#include <poll.h>
#include <pthread.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

/* The program of the deploy file, relative to the repository. */
#define PROGRAM "target/hornbeamwall"

/* Bounds of a test that hangs, in seconds. */
#define RUN_MAX_S 115

static FILE *record;
static gint64 start_us;
static char *directory; /* temporary */
static pthread_mutex_t record_lock = PTHREAD_MUTEX_INITIALIZER;
static Rig *active;

gint64
rig_now_ms (void)
{
  return (g_get_monotonic_time () - start_us) / 1000;
}

void
rig_record (const char *format, ...)
{
  va_list arguments;
  pthread_mutex_lock (&record_lock);
  fprintf (record, "%9.3f  ", (double) rig_now_ms () / 1000);
  va_start (arguments, format);
  vfprintf (record, format, arguments);
  va_end (arguments);
  fputc ('\n', record);
  fflush (record);
  pthread_mutex_unlock (&record_lock);
}

static void
kill_instances (Rig *rig)
{
  for (guint i = 0; i < rig->instance_count; i++)
    if (rig->instances[i].pid > 0)
      {
        kill (rig->instances[i].pid, SIGKILL);
        waitpid (rig->instances[i].pid, NULL, 0);
        rig->instances[i].pid = 0;
      }
}

static void
remove_directory (void)
{
  GDir *dir = g_dir_open (directory, 0, NULL);
  const char *name;
  if (g_getenv ("KEEP_LOGS") != NULL)
    {
      rig_record ("logs are in %s", directory);
      return;
    }
  while (dir != NULL && (name = g_dir_read_name (dir)) != NULL)
    {
      char *path = g_build_filename (directory, name, NULL);
      unlink (path);
      g_free (path);
    }
  if (dir != NULL)
    g_dir_close (dir);
  rmdir (directory);
}

static void
handle_alarm (int number G_GNUC_UNUSED)
{
  if (active != NULL)
    for (guint i = 0; i < active->instance_count; i++)
      if (active->instances[i].pid > 0)
        kill (active->instances[i].pid, SIGKILL);
  _exit (RIG_NOT_RUN);
}

void
rig_destroy (Rig *rig)
{
  active = NULL;
  kill_instances (rig);
  remove_directory ();
}

void
rig_finish (Rig *rig, int status)
{
  rig_record ("verdict: %s", status == RIG_HELD     ? "the rule held"
                             : status == RIG_BROKEN ? "the rule was broken"
                                                    : "the case could not run");
  rig_destroy (rig);
  fclose (record);
  _exit (status);
}

static void
set_up_instance (RigInstance *instance)
{
  instance->zone = 'a';
  instance->caller_port = standin_free_port ();
  instance->ready_port = standin_free_port ();
  instance->tunnel_port = standin_free_port ();
  instance->peer_port = standin_free_port ();
  instance->admin_port = standin_free_port ();
}

Rig *
rig_create (const char *path, guint replica_count, guint instance_count)
{
  const char *trouble = g_getenv ("TROUBLE");
  Rig *rig = g_new0 (Rig, 1);
  start_us = g_get_monotonic_time ();
  record = fopen (path, "w");
  directory = g_dir_make_tmp ("review-XXXXXX", NULL);
  if (record == NULL || directory == NULL || access (PROGRAM, X_OK) != 0)
    {
      fprintf (stderr, "cannot run: %s, %s\n", path, PROGRAM);
      exit (RIG_NOT_RUN);
    }
  signal (SIGPIPE, SIG_IGN);
  signal (SIGALRM, handle_alarm);
  alarm (RUN_MAX_S);
  active = rig;
  rig->with_trouble = g_strcmp0 (trouble, "0") != 0;
  rig->timeout_ms = 3000;
  rig->connection_limit = 3000;
  rig->replica_count = replica_count;
  rig->instance_count = instance_count;
  rig->store = objects_create ("127.0.0.1:0", 500);
  for (guint i = 0; i < replica_count; i++)
    {
      char id[16];
      g_snprintf (id, sizeof id, "i-%u", i);
      rig->replicas[i] = replica_create ("127.0.0.1:0", id);
      rig_put_server (rig, i, "ready");
    }
  for (guint i = 0; i < instance_count; i++)
    set_up_instance (&rig->instances[i]);
  rig_record ("%u servers, %u instances, %s", replica_count, instance_count,
              rig->with_trouble ? "with the disruption" : "without the disruption");
  return rig;
}

void
rig_put_server (Rig *rig, guint index, const char *state)
{
  char name[16];
  g_snprintf (name, sizeof name, "i-%u", index);
  if (state == NULL)
    objects_set (rig->store, "servers", name, NULL);
  else
    objects_set_server (rig->store, index, replica_port (rig->replicas[index]), 64,
                        state, 1);
}

static void
append_route (GString *text, const char *name, const char *type, guint timeout_ms,
              guint attempts_max)
{
  g_string_append_printf (
      text,
      "%s{\"name\":\"%s\",\"hostname\":\"h.example\",\"path_prefix\":\"/%s/\","
      "\"route_type\":\"%s\",\"timeout_ms\":%u,\"latency_goal_ms\":150,"
      "\"gap_target_ms\":250,\"priority\":1,\"backend\":\"b\",\"max_attempts\":%u,"
      "\"resumable\":%s,\"anonymous\":false}",
      text->str[text->len - 1] == '[' ? "" : ",", name, name, type, timeout_ms,
      attempts_max, strcmp (type, "streaming") == 0 ? "true" : "false");
}

/* The limits are those that `fleetbench wire` shows. */
void
rig_put_config (Rig *rig, guint version, const char *keys)
{
  GString *text = g_string_new (NULL);
  g_string_append_printf (text, "{\"version\":%u,\"routes\":[", version);
  append_route (text, "safe", "safe", rig->timeout_ms, 2);
  append_route (text, "unsafe", "unsafe", rig->timeout_ms, 1);
  append_route (text, "stream", "streaming", 15000, 2);
  g_string_append_printf (
      text,
      "],\"backends\":[{\"name\":\"b\",\"health_path\":\"/healthz\","
      "\"max_connections\":1000}],\"limits\":{\"max_header_bytes\":16384,"
      "\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,"
      "\"idle_timeout_ms\":15000},\"tenants\":[{\"name\":\"t\",\"api_keys\":[%s],"
      "\"priority\":1}]}",
      keys);
  objects_set (rig->store, "config", "main", text->str);
  g_string_free (text, TRUE);
}

/* As deploy/settings.json, with the bounds of the site file. */
static char *
write_settings (const Rig *rig, guint index)
{
  const RigInstance *instance = &rig->instances[index];
  GString *seeds = g_string_new (NULL);
  for (guint i = 0; i < rig->instance_count && i < 3; i++)
    g_string_append_printf (seeds, "%s\"127.0.0.1:%u\"", i > 0 ? "," : "",
                            rig->instances[i].peer_port);
  char *text = g_strdup_printf (
      "{\"name\":\"edge-%u\",\"data_centre\":\"hall-%c\",\"interface\":\"platform\","
      "\"policy\":\"direct\",\"caller_address\":\"127.0.0.1:%u\","
      "\"ready_address\":\"127.0.0.1:%u\",\"tunnel_address\":\"127.0.0.1:%u\","
      "\"peer_address\":\"127.0.0.1:%u\",\"admin_address\":\"127.0.0.1:%u\","
      "\"platform_address\":\"127.0.0.1:%u\",\"retry_ratio\":0.2,\"retry_extra\":56,"
      "\"retry_window_s\":10,\"revocation_ms\":5000,\"stop_grace_s\":8,"
      "\"link_mbps\":1000,\"memory_mb\":260,\"processor_cores\":0.25,"
      "\"load_in_answers\":true,\"connect_timeout_ms\":150,\"connection_limit\":%u,"
      "\"caller_timeout_s\":60,\"seeds\":[%s]}",
      index, instance->zone, instance->caller_port, instance->ready_port,
      instance->tunnel_port, instance->peer_port, instance->admin_port,
      objects_port (rig->store), rig->connection_limit, seeds->str);
  char *path = g_strdup_printf ("%s/edge-%u.json", directory, index);
  g_file_set_contents (path, text, -1, NULL);
  g_free (text);
  g_string_free (seeds, TRUE);
  return path;
}

static void
run_instance (const Rig *rig, guint index, const char *settings)
{
  char *log = g_strdup_printf ("%s/edge-%u.log", directory, index);
  int fd = open (log, O_WRONLY | O_CREAT | O_APPEND, 0644);
  if (fd >= 0)
    {
      dup2 (fd, STDOUT_FILENO);
      dup2 (fd, STDERR_FILENO);
    }
  if (rig->descriptors_max > 0)
    {
      const struct rlimit limit = { rig->descriptors_max, rig->descriptors_max };
      setrlimit (RLIMIT_NOFILE, &limit);
    }
  execl (PROGRAM, PROGRAM, "serve", "--config", settings, NULL);
  _exit (127);
}

void
rig_start_instance (Rig *rig, guint index)
{
  char *settings = write_settings (rig, index);
  pid_t pid = fork ();
  if (pid == 0)
    run_instance (rig, index, settings);
  rig->instances[index].pid = pid;
  rig_record ("instance %u starts", index);
  g_free (settings);
}

gboolean
rig_is_alive (Rig *rig, guint index)
{
  int status;
  RigInstance *instance = &rig->instances[index];
  if (instance->pid <= 0)
    return FALSE;
  if (waitpid (instance->pid, &status, WNOHANG) == 0)
    return TRUE;
  rig_record ("instance %u has ended: %s %d", index,
              WIFSIGNALED (status) ? "signal" : "status",
              WIFSIGNALED (status) ? WTERMSIG (status) : WEXITSTATUS (status));
  instance->pid = 0;
  return FALSE;
}

gboolean
rig_wait_until_ready (Rig *rig, guint index, guint timeout_ms)
{
  static const char probe[] = "GET /hornbeamwall/readyz HTTP/1.1\r\nHost: r\r\n\r\n";
  gint64 end_ms = rig_now_ms () + timeout_ms;
  while (rig_now_ms () < end_ms)
    {
      RigCaller *caller = rig_caller_connect (rig->instances[index].ready_port);
      guint status = 0;
      if (caller != NULL)
        {
          rig_caller_send (caller, probe, strlen (probe));
          RigResponse response = rig_caller_receive (caller, "GET", 500);
          status = response.status;
          g_free (response.text);
          rig_caller_close (caller);
        }
      if (status == 200)
        {
          rig_record ("instance %u is ready", index);
          return TRUE;
        }
      g_usleep (50000);
    }
  return FALSE;
}

/* --- callers ---------------------------------------------------------------- */

RigCaller *
rig_caller_connect (guint port)
{
  const struct sockaddr_in address = standin_loopback (port);
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (fd < 0)
    return NULL;
  if (connect (fd, (const struct sockaddr *) &address, sizeof address) != 0)
    {
      close (fd);
      return NULL;
    }
  RigCaller *caller = g_new0 (RigCaller, 1);
  caller->fd = fd;
  caller->input = g_string_new (NULL);
  return caller;
}

void
rig_caller_close (RigCaller *caller)
{
  close (caller->fd);
  g_string_free (caller->input, TRUE);
  g_free (caller);
}

gboolean
rig_caller_send (RigCaller *caller, const char *bytes, gsize length)
{
  while (length > 0)
    {
      ssize_t count = send (caller->fd, bytes, length, MSG_NOSIGNAL);
      if (count <= 0)
        return FALSE;
      bytes += count;
      length -= (gsize) count;
    }
  return TRUE;
}

/* Returns FALSE at the end of the connection, or at the time limit. */
static gboolean
receive_more (RigCaller *caller, gint64 end_ms, gboolean *is_closed)
{
  char bytes[16384];
  struct pollfd input = { caller->fd, POLLIN, 0 };
  gint64 left_ms = end_ms - rig_now_ms ();
  if (left_ms <= 0 || poll (&input, 1, (int) left_ms) <= 0)
    return FALSE;
  ssize_t count = recv (caller->fd, bytes, sizeof bytes, 0);
  if (count > 0)
    g_string_append_len (caller->input, bytes, count);
  *is_closed = count <= 0;
  return count > 0;
}

static char *
find_field (const char *head, const char *name)
{
  char *pattern = g_strdup_printf ("\r\n%s: ", name);
  const char *found = strcasestr (head, pattern);
  gsize skipped = strlen (pattern);
  g_free (pattern);
  if (found == NULL)
    return NULL;
  return g_strndup (found + skipped, strcspn (found + skipped, "\r"));
}

/* Returns the length of a chunked body that begins at TEXT, 0 if it is incomplete.
 */
static gsize
find_chunked_end (const char *text, gsize length)
{
  gsize at = 0;
  while (at < length)
    {
      const char *line_end = memmem (text + at, length - at, "\r\n", 2);
      if (line_end == NULL)
        return 0;
      gsize size = strtoul (text + at, NULL, 16);
      at = (gsize) (line_end - text) + 2 + size + 2;
      if (size == 0)
        return at <= length ? at : 0;
    }
  return 0;
}

/* Returns the length of the response at the beginning of the input as its head and
   METHOD tell it, 0 if it is incomplete. */
static gsize
find_response_end (const RigCaller *caller, const char *method)
{
  const char *text = caller->input->str;
  const char *end = strstr (text, "\r\n\r\n");
  if (end == NULL)
    return 0;
  gsize head_length = (gsize) (end - text) + 4;
  char *head = g_strndup (text, head_length);
  char *length = find_field (head, "Content-Length");
  char *coding = find_field (head, "Transfer-Encoding");
  gsize total = 0;
  if (strcmp (method, "HEAD") == 0)
    total = head_length;
  else if (coding != NULL)
    {
      gsize body
          = find_chunked_end (text + head_length, caller->input->len - head_length);
      total = body > 0 ? head_length + body : 0;
    }
  else
    total = head_length + (length != NULL ? strtoul (length, NULL, 10) : 0);
  g_free (head);
  g_free (length);
  g_free (coding);
  return total <= caller->input->len ? total : 0;
}

RigResponse
rig_caller_receive (RigCaller *caller, const char *method, guint timeout_ms)
{
  RigResponse response = { 0 };
  gint64 end_ms = rig_now_ms () + timeout_ms;
  gsize length;
  while ((length = find_response_end (caller, method)) == 0
         && receive_more (caller, end_ms, &response.is_closed))
    continue;
  response.is_complete = length > 0;
  if (length == 0)
    length = caller->input->len;
  response.text = g_strndup (caller->input->str, length);
  g_string_erase (caller->input, 0, (gssize) length);
  response.is_answer = g_str_has_prefix (response.text, "HTTP/1.1 ");
  if (response.is_answer)
    response.status = (guint) strtoul (response.text + 9, NULL, 10);
  return response;
}

char *
rig_format_request (const char *method, const char *path, const char *key,
                    const char *attempt_id, guint deadline_ms, const char *body)
{
  char *key_line
      = key != NULL ? g_strdup_printf ("X-Hornbeamwall-Key: %s\r\n", key) : NULL;
  char *length_line
      = *body != '\0' || strcmp (method, "POST") == 0
            ? g_strdup_printf ("Content-Length: %zu\r\n", strlen (body))
            : NULL;
  char *text = g_strdup_printf ("%s %s HTTP/1.1\r\nHost: h.example\r\n"
                                "X-Hornbeamwall-Attempt-Id: %s\r\n"
                                "X-Hornbeamwall-Deadline-Ms: %u\r\n%s%s\r\n%s",
                                method, path, attempt_id, deadline_ms,
                                key_line != NULL ? key_line : "",
                                length_line != NULL ? length_line : "", body);
  g_free (key_line);
  g_free (length_line);
  return text;
}
