#include "rig.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <libgen.h>
#include <limits.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#define PIDS_MAX 128

/* As on an Ethernet: the loopback device has segments of 64 KB. */
#define SEGMENT_SIZE 1448

#define PROGRAM "target/hornbeamwall"

static FILE *record_file;
static pthread_mutex_t record_lock = PTHREAD_MUTEX_INITIALIZER;
static char folder_path[PATH_MAX];
static char temporary[64];
static char runs_path[128];
static pid_t pids[PIDS_MAX];
static unsigned pid_count;
static int64_t began_ms;
static pid_t main_pid;

int64_t
rig_now_ms (void)
{
  struct timespec now;
  clock_gettime (CLOCK_MONOTONIC, &now);
  return (int64_t) now.tv_sec * 1000 + now.tv_nsec / 1000000;
}

void
rig_sleep_ms (int64_t duration_ms)
{
  struct timespec left = { duration_ms / 1000, (duration_ms % 1000) * 1000000 };
  while (nanosleep (&left, &left) != 0 && errno == EINTR)
    continue;
}

bool
rig_has_trouble (void)
{
  const char *value = getenv ("TROUBLE");
  return value == NULL || strcmp (value, "0") != 0;
}

void
rig_record (const char *format, ...)
{
  va_list arguments;
  pthread_mutex_lock (&record_lock);
  fprintf (record_file, "%8.3f s  ", (double) (rig_now_ms () - began_ms) / 1000);
  va_start (arguments, format);
  vfprintf (record_file, format, arguments);
  va_end (arguments);
  fputc ('\n', record_file);
  fflush (record_file);
  pthread_mutex_unlock (&record_lock);
}

static void
end_processes (void)
{
  for (unsigned i = 0; i < pid_count; i++)
    if (pids[i] > 0)
      {
        kill (pids[i], SIGKILL);
        waitpid (pids[i], NULL, 0);
      }
}

static void
remove_temporary (void)
{
  char command[256];
  snprintf (command, sizeof command, "rm -rf '%s'", temporary);
  if (system (command) != 0)
    return;
}

static void
handle_alarm (int number)
{
  (void) number;
  static const char text[] = "the time limit of the case has passed\n";
  if (getpid () != main_pid)
    _exit (0);
  for (unsigned i = 0; i < pid_count; i++)
    if (pids[i] > 0)
      kill (pids[i], SIGKILL);
  if (write (STDERR_FILENO, text, sizeof text - 1) < 0)
    _exit (RIG_NOT_RUN);
  _exit (RIG_NOT_RUN);
}

void
rig_begin (const char *record, unsigned limit_s)
{
  char folder[PATH_MAX];
  began_ms = rig_now_ms ();
  main_pid = getpid ();
  snprintf (folder, sizeof folder, "%s", record);
  if (realpath (dirname (folder), folder_path) == NULL)
    exit (RIG_NOT_RUN);
  record_file = fopen (record, "w");
  strcpy (temporary, "/tmp/review-XXXXXX");
  if (record_file == NULL || mkdtemp (temporary) == NULL)
    exit (RIG_NOT_RUN);
  snprintf (runs_path, sizeof runs_path, "%s/runs", temporary);
  signal (SIGPIPE, SIG_IGN);
  signal (SIGALRM, handle_alarm);
  alarm (limit_s);
  rig_record ("begin, trouble %s", rig_has_trouble () ? "on" : "off");
  if (access (PROGRAM, X_OK) == 0)
    return;
  rig_record ("%s is missing: run the build command of deploy/system.toml", PROGRAM);
  rig_finish (RIG_NOT_RUN);
}

/* Adds what ran at the servers to the record. */
static void
record_runs (void)
{
  char line[1024];
  FILE *file = fopen (runs_path, "r");
  if (file == NULL)
    return;
  fprintf (record_file, "run at the servers (time, id, server, method, path):\n");
  while (fgets (line, sizeof line, file) != NULL)
    fprintf (record_file, "%s", line);
  fclose (file);
}

void
rig_finish (int result)
{
  static const char *const names[]
      = { "the rule held", "the rule was broken", "the case could not run" };
  end_processes ();
  record_runs ();
  rig_record ("result %d: %s", result, names[result]);
  remove_temporary ();
  fprintf (stderr, "result %d: %s\n", result, names[result]);
  fclose (record_file);
  _exit (result);
}

static unsigned
add_pid (pid_t pid)
{
  if (pid_count == PIDS_MAX)
    rig_finish (RIG_NOT_RUN);
  pids[pid_count] = pid;
  return pid_count++;
}

static void
remove_pid (pid_t pid)
{
  for (unsigned i = 0; i < pid_count; i++)
    if (pids[i] == pid)
      pids[i] = 0;
}

static struct sockaddr_in
loopback (unsigned port)
{
  struct sockaddr_in address = { .sin_family = AF_INET };
  address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  address.sin_port = htons ((uint16_t) port);
  return address;
}

/* Returns a socket that listens, and its port in PORT. */
static int
listen_on_free_port (unsigned *port)
{
  struct sockaddr_in address = loopback (0);
  socklen_t size = sizeof address;
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (bind (fd, (struct sockaddr *) &address, sizeof address) != 0
      || listen (fd, 512) != 0
      || getsockname (fd, (struct sockaddr *) &address, &size) != 0)
    rig_finish (RIG_NOT_RUN);
  *port = ntohs (address.sin_port);
  return fd;
}

static unsigned
find_free_port (void)
{
  unsigned port;
  close (listen_on_free_port (&port));
  return port;
}

/* --- processes -------------------------------------------------------------------
 */

void
rig_router_prepare (RigRouter *router, unsigned index, const RigSettings *settings)
{
  char log_path[PATH_MAX + 32];
  char seeds[64] = "";
  memset (router, 0, sizeof *router);
  router->index = index;
  router->caller_port = find_free_port ();
  router->ready_port = find_free_port ();
  router->admin_port = find_free_port ();
  router->peer_port = find_free_port ();
  router->tunnel_port = find_free_port ();
  snprintf (router->settings, sizeof router->settings, "%s/settings-%u.json",
            temporary, index);
  snprintf (log_path, sizeof log_path, "%s/router-%u.log", folder_path, index);
  unlink (log_path);
  snprintf (seeds, sizeof seeds, "\"127.0.0.1:%u\"",
            settings->seed_port != 0 ? settings->seed_port : router->peer_port);
  FILE *file = fopen (router->settings, "w");
  if (file == NULL)
    rig_finish (RIG_NOT_RUN);
  fprintf (file,
           "{\"name\": \"edge-%u\", \"data_centre\": \"z\", "
           "\"interface\": \"platform\", \"policy\": \"direct\", "
           "\"caller_address\": \"127.0.0.1:%u\", "
           "\"ready_address\": \"127.0.0.1:%u\", "
           "\"tunnel_address\": \"127.0.0.1:%u\", "
           "\"peer_address\": \"127.0.0.1:%u\", "
           "\"admin_address\": \"127.0.0.1:%u\", "
           "\"platform_address\": \"127.0.0.1:%u\", "
           "\"retry_ratio\": 0.2, \"retry_extra\": 54, \"retry_window_s\": 10, "
           "\"revocation_ms\": %u, \"stop_grace_s\": %u, \"link_mbps\": 1000.0, "
           "\"processor_cores\": 0.25, \"load_in_answers\": true, "
           "\"connect_timeout_ms\": 150, \"connection_limit\": 3000, "
           "\"caller_timeout_s\": 60, \"seeds\": [%s]}\n",
           index, router->caller_port, router->ready_port, router->tunnel_port,
           router->peer_port, router->admin_port, settings->store_port,
           settings->revocation_ms, settings->stop_grace_s, seeds);
  fclose (file);
}

void
rig_router_start (RigRouter *router)
{
  char log_path[PATH_MAX + 32];
  snprintf (log_path, sizeof log_path, "%s/router-%u.log", folder_path,
            router->index);
  pid_t pid = fork ();
  if (pid == 0)
    {
      prctl (PR_SET_PDEATHSIG, SIGKILL);
      int log = open (log_path, O_CREAT | O_WRONLY | O_APPEND, 0644);
      dup2 (log, STDOUT_FILENO);
      dup2 (log, STDERR_FILENO);
      execl (PROGRAM, PROGRAM, "serve", "--config", router->settings, (char *) NULL);
      _exit (127);
    }
  router->pid = pid;
  add_pid (pid);
  rig_record ("router edge-%u starts as process %d", router->index, (int) pid);
}

bool
rig_router_is_ready (const RigRouter *router)
{
  static const char request[] = "GET /hornbeamwall/readyz HTTP/1.1\r\nHost: "
                                "ready\r\nConnection: close\r\n\r\n";
  int fd = rig_connect (router->ready_port, 0);
  if (fd < 0)
    return false;
  bool sent = rig_send_all (fd, request, sizeof request - 1);
  RigAnswer answer = { 0 };
  if (sent)
    answer = rig_read_answer (fd, 1000, 4096, 0);
  close (fd);
  return answer.status == 200;
}

bool
rig_router_wait_ready (const RigRouter *router, int64_t timeout_ms)
{
  int64_t end_ms = rig_now_ms () + timeout_ms;
  while (rig_now_ms () < end_ms)
    {
      if (rig_router_is_ready (router))
        {
          rig_record ("router edge-%u is ready", router->index);
          return true;
        }
      rig_sleep_ms (50);
    }
  rig_record ("router edge-%u is not ready", router->index);
  return false;
}

void
rig_router_signal (RigRouter *router, int number)
{
  rig_record ("signal %d to router edge-%u", number, router->index);
  if (router->pid > 0)
    kill (router->pid, number);
}

bool
rig_router_has_ended (RigRouter *router)
{
  int status;
  if (router->pid == 0)
    return true;
  if (waitpid (router->pid, &status, WNOHANG) != router->pid)
    return false;
  if (WIFSIGNALED (status))
    rig_record ("router edge-%u was ended by signal %d", router->index,
                WTERMSIG (status));
  else
    rig_record ("router edge-%u exited with %d", router->index,
                WEXITSTATUS (status));
  remove_pid (router->pid);
  router->pid = 0;
  return true;
}

long
rig_router_memory_kb (const RigRouter *router, const char *field)
{
  char path[64];
  char line[256];
  long value = -1;
  size_t length = strlen (field);
  snprintf (path, sizeof path, "/proc/%d/status", (int) router->pid);
  FILE *file = fopen (path, "r");
  if (file == NULL)
    return -1;
  while (fgets (line, sizeof line, file) != NULL)
    if (strncmp (line, field, length) == 0 && line[length] == ':')
      value = strtol (line + length + 1, NULL, 10);
  fclose (file);
  return value;
}

/* --- backend servers
 * --------------------------------------------------------------- */

bool
rig_send_all (int fd, const void *bytes, size_t length)
{
  const char *at = bytes;
  while (length > 0)
    {
      ssize_t count = send (fd, at, length, MSG_NOSIGNAL);
      if (count < 0 && errno == EINTR)
        continue;
      if (count <= 0)
        return false;
      at += count;
      length -= (size_t) count;
    }
  return true;
}

static const char *
find_field (const char *head, const char *name, char *value, size_t size)
{
  size_t length = strlen (name);
  *value = '\0';
  for (const char *line = strstr (head, "\r\n"); line != NULL;
       line = strstr (line, "\r\n"))
    {
      line += 2;
      if (strncasecmp (line, name, length) != 0 || line[length] != ':')
        continue;
      const char *text = line + length + 1;
      while (*text == ' ')
        text++;
      size_t count = strcspn (text, "\r\n");
      if (count >= size)
        count = size - 1;
      memcpy (value, text, count);
      value[count] = '\0';
      return value;
    }
  return NULL;
}

/* Reads the head of a message, byte by byte beyond what matters here. */
static bool
read_head (int fd, char *head, size_t size)
{
  size_t length = 0;
  while (length + 1 < size)
    {
      ssize_t count = recv (fd, head + length, 1, 0);
      if (count <= 0)
        return false;
      length++;
      head[length] = '\0';
      if (length >= 4 && memcmp (head + length - 4, "\r\n\r\n", 4) == 0)
        return true;
    }
  return false;
}

static bool
skip_bytes (int fd, size_t length)
{
  char buffer[65536];
  while (length > 0)
    {
      size_t size = length < sizeof buffer ? length : sizeof buffer;
      ssize_t count = recv (fd, buffer, size, 0);
      if (count <= 0)
        return false;
      length -= (size_t) count;
    }
  return true;
}

typedef struct
{
  int fd;
  char server[32];
  RigHandler handler;
} Session;

static void *
run_session (void *data)
{
  Session *session = data;
  RigRequest *request = calloc (1, sizeof *request);
  bool kept = true;
  while (kept && read_head (session->fd, request->head, sizeof request->head))
    {
      char value[64];
      sscanf (request->head, "%15s %511s", request->method, request->path);
      find_field (request->head, "X-Hornbeamwall-Attempt-Id", request->id,
                  sizeof request->id);
      find_field (request->head, "Content-Length", value, sizeof value);
      request->body_length = strtoul (value, NULL, 10);
      if (!skip_bytes (session->fd, request->body_length))
        break;
      kept = session->handler (session->fd, request, session->server);
    }
  close (session->fd);
  free (request);
  free (session);
  return NULL;
}

static void
run_server (int listener, const char *id, RigHandler handler)
{
  const int on = 1;
  pthread_attr_t attributes;
  pthread_attr_init (&attributes);
  pthread_attr_setstacksize (&attributes, 512 * 1024);
  pthread_attr_setdetachstate (&attributes, PTHREAD_CREATE_DETACHED);
  while (true)
    {
      pthread_t thread;
      int fd = accept (listener, NULL, NULL);
      if (fd < 0)
        continue;
      setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
      Session *session = calloc (1, sizeof *session);
      session->fd = fd;
      session->handler = handler;
      snprintf (session->server, sizeof session->server, "%s", id);
      if (pthread_create (&thread, &attributes, run_session, session) != 0)
        close (fd);
    }
}

void
rig_server_start (RigServer *server, const char *id, RigHandler handler)
{
  int listener = listen_on_free_port (&server->port);
  snprintf (server->id, sizeof server->id, "%s", id);
  server->pid = fork ();
  if (server->pid == 0)
    {
      prctl (PR_SET_PDEATHSIG, SIGKILL);
      alarm (0);
      run_server (listener, server->id, handler);
    }
  close (listener);
  add_pid (server->pid);
  rig_record ("server %s is process %d on port %u", id, (int) server->pid,
              server->port);
}

void
rig_server_signal (RigServer *server, int number)
{
  rig_record ("signal %d to server %s", number, server->id);
  if (server->pid > 0)
    kill (server->pid, number);
  if (number != SIGKILL)
    return;
  waitpid (server->pid, NULL, 0);
  remove_pid (server->pid);
  server->pid = 0;
}

void
rig_note_answered (const char *server, const RigRequest *request)
{
  RigRequest answered = *request;
  snprintf (answered.method, sizeof answered.method, "answered");
  rig_note_run (server, &answered);
}

void
rig_note_run (const char *server, const RigRequest *request)
{
  char line[1024];
  int length = snprintf (line, sizeof line, "%8.3f %s %s %s %s\n",
                         (double) (rig_now_ms () - began_ms) / 1000, request->id,
                         server, request->method, request->path);
  int fd = open (runs_path, O_CREAT | O_WRONLY | O_APPEND, 0644);
  if (write (fd, line, (size_t) length) < 0)
    perror ("runs");
  close (fd);
}

unsigned
rig_count_runs (const char *id)
{
  char line[1024];
  unsigned count = 0;
  FILE *file = fopen (runs_path, "r");
  if (file == NULL)
    return 0;
  while (fgets (line, sizeof line, file) != NULL)
    {
      char run_id[128];
      char method[16];
      if (sscanf (line, "%*s %127s %*s %15s", run_id, method) == 2
          && strcmp (run_id, id) == 0 && strcmp (method, "answered") != 0)
        count++;
    }
  fclose (file);
  return count;
}

bool
rig_answer_ok (int fd, const RigRequest *request, const char *server, size_t length)
{
  char head[512];
  char block[65536];
  memset (block, 'a', sizeof block);
  snprintf (head, sizeof head,
            "HTTP/1.1 200 OK\r\nX-Hornbeamwall-Attempt-Id: %s\r\n"
            "X-Hornbeamwall-Response-Seal: s.%s\r\nContent-Type: text/plain\r\n"
            "Keep-Alive: timeout=20\r\nContent-Length: %zu\r\n\r\n",
            request->id, server, length);
  if (!rig_send_all (fd, head, strlen (head)))
    return false;
  while (length > 0)
    {
      size_t count = length < sizeof block ? length : sizeof block;
      if (!rig_send_all (fd, block, count))
        return false;
      length -= count;
    }
  return true;
}

void
rig_put_server (Objects *store, const RigServer *server, const char *backend,
                const char *state, unsigned slots)
{
  char text[512];
  snprintf (text, sizeof text,
            "{\"backend\":\"%s\",\"address\":\"127.0.0.1:%u\",\"zone\":\"z\","
            "\"version\":\"v1\",\"slots\":%u,\"state\":\"%s\","
            "\"warmup_left_ms\":0,\"sequence\":1}",
            backend, server->port, slots, state);
  objects_set (store, "servers", server->id, text);
  rig_record ("entry of server %s: %s", server->id, state);
}

/* --- clients
 * ------------------------------------------------------------------------ */

int
rig_connect (unsigned port, int receive_buffer)
{
  const int on = 1;
  const int segment = SEGMENT_SIZE;
  struct sockaddr_in address = loopback (port);
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (receive_buffer > 0)
    setsockopt (fd, SOL_SOCKET, SO_RCVBUF, &receive_buffer, sizeof receive_buffer);
  setsockopt (fd, IPPROTO_TCP, TCP_MAXSEG, &segment, sizeof segment);
  setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  if (connect (fd, (struct sockaddr *) &address, sizeof address) == 0)
    return fd;
  close (fd);
  return -1;
}

/* Returns the number of bytes, 0 at the end, -1 on a reset, -2 at the time limit. */
static ssize_t
receive_some (int fd, char *buffer, size_t size, int64_t end_ms)
{
  struct pollfd item = { .fd = fd, .events = POLLIN };
  int64_t left_ms = end_ms - rig_now_ms ();
  if (left_ms <= 0 || poll (&item, 1, (int) left_ms) <= 0)
    return -2;
  ssize_t count = recv (fd, buffer, size, 0);
  return count < 0 ? -1 : count;
}

RigAnswer
rig_read_answer (int fd, int64_t timeout_ms, size_t read_size, int64_t read_pause_ms)
{
  RigAnswer answer = { 0 };
  char value[64];
  char *buffer = malloc (read_size);
  int64_t end_ms = rig_now_ms () + timeout_ms;
  size_t head_length = 0;
  bool has_head = false;
  ssize_t count = 0;
  while (!has_head && head_length + 1 < sizeof answer.head
         && (count = receive_some (fd, answer.head + head_length, 1, end_ms)) > 0)
    {
      head_length++;
      has_head = head_length >= 4
                 && memcmp (answer.head + head_length - 4, "\r\n\r\n", 4) == 0;
    }
  if (has_head)
    {
      sscanf (answer.head, "HTTP/1.1 %d", &answer.status);
      if (find_field (answer.head, "Content-Length", value, sizeof value) != NULL)
        answer.announced = strtoul (value, NULL, 10);
      while (answer.length < answer.announced)
        {
          size_t left = answer.announced - answer.length;
          count = receive_some (fd, buffer, left < read_size ? left : read_size,
                                end_ms);
          if (count <= 0)
            break;
          for (ssize_t i = 0;
               i < count && answer.length + (size_t) i + 1 < sizeof answer.body; i++)
            answer.body[answer.length + (size_t) i] = buffer[i];
          answer.length += (size_t) count;
          if (read_pause_ms > 0)
            rig_sleep_ms (read_pause_ms);
        }
      answer.complete = answer.length == answer.announced;
    }
  answer.ended = !answer.complete && (count == 0 || count == -1);
  answer.reset = !answer.complete && count == -1;
  answer.timed_out = !answer.complete && count == -2;
  free (buffer);
  return answer;
}

bool
rig_send_request (int fd, const char *method, const char *host, const char *path,
                  const char *id, unsigned deadline_ms, const char *fields,
                  size_t body_length)
{
  char head[2048];
  static const char block[65536];
  snprintf (head, sizeof head,
            "%s %s HTTP/1.1\r\nHost: %s\r\nX-Hornbeamwall-Attempt-Id: %s\r\n"
            "X-Hornbeamwall-Deadline-Ms: %u\r\nX-Hornbeamwall-Key: " RIG_KEY
            "\r\n%sContent-Length: %zu\r\n\r\n",
            method, path, host, id, deadline_ms, fields, body_length);
  if (!rig_send_all (fd, head, strlen (head)))
    return false;
  while (body_length > 0)
    {
      size_t count = body_length < sizeof block ? body_length : sizeof block;
      if (!rig_send_all (fd, block, count))
        return false;
      body_length -= count;
    }
  return true;
}
