#include "harmful.h"
#include "replica_internal.h"

#include <errno.h>
#include <poll.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define ID_FIELD "X-Hornbeamwall-Attempt-Id"
#define SEAL "X-Hornbeamwall-Response-Seal: 1.2.3\r\n"
#define EVENTS 6
/* Bytes of an event that are sent with a pause before each. */
#define DRIBBLED_BYTES 30
#define DRIBBLE_PAUSE_US 200000

#define EVENT_PAUSE_US 2000

/* Responses that a faulty replica adds, and the pause after them. */
#define ADDED_RESPONSES 3
#define ADDED_PAUSE_US 1000
#define HEAD_MAX 32768

typedef struct
{
  Replica *replica;
  guint crash_count; /* of the replica when the connection was accepted */
  int fd;
  GString *input;
  char method[16];
  char target[1024];
  char attempt_id[64];
  char *head;
  gsize body_length;
  char *body;
  gboolean has_served; /* an earlier request */
  char *refused_id;    /* of the last request, if it was turned away; else NULL */
} Session;

/* Returns whether the replica crashed since the connection was accepted. */
static gboolean
has_crashed (const Session *session)
{
  return session->crash_count != atomic_load (&session->replica->crash_count);
}

static gboolean
read_more (Session *session)
{
  char bytes[4096];
  struct pollfd input = { session->fd, POLLIN, 0 };
  while (!atomic_load (&session->replica->stopping) && !has_crashed (session))
    if (poll (&input, 1, 20) > 0)
      {
        replica_wait_while_silent (session->replica);
        ssize_t count = recv (session->fd, bytes, sizeof bytes, 0);
        if (count < 0 && errno == ECONNRESET)
          atomic_fetch_add (&session->replica->reset_count, 1);
        if (count <= 0)
          return FALSE;
        g_string_append_len (session->input, bytes, count);
        return TRUE;
      }
  return FALSE;
}

static char *
find_field (const char *head, const char *name)
{
  char *pattern = g_strconcat ("\r\n", name, ":", NULL);
  char *lower_head = g_ascii_strdown (head, -1);
  char *lower = g_ascii_strdown (pattern, -1);
  const char *found = strstr (lower_head, lower);
  char *value = NULL;
  if (found != NULL)
    {
      const char *start = head + (found - lower_head) + strlen (lower);
      value = g_strstrip (g_strndup (start, strcspn (start, "\r")));
    }
  g_free (pattern);
  g_free (lower_head);
  g_free (lower);
  return value;
}

static gboolean
read_head (Session *session)
{
  const char *end;
  while ((end = strstr (session->input->str, "\r\n\r\n")) == NULL)
    if (session->input->len > HEAD_MAX || !read_more (session))
      return FALSE;
  gsize length = (gsize) (end - session->input->str) + 4;
  g_free (session->head);
  session->head = g_strndup (session->input->str, length);
  g_string_erase (session->input, 0, (gssize) length);
  sscanf (session->head, "%15s %1023s", session->method, session->target);
  char *attempt_id = find_field (session->head, ID_FIELD);
  char *content_length = find_field (session->head, "Content-Length");
  g_strlcpy (session->attempt_id, attempt_id != NULL ? attempt_id : "",
             sizeof session->attempt_id);
  session->body_length
      = content_length != NULL ? strtoul (content_length, NULL, 10) : 0;
  g_free (attempt_id);
  g_free (content_length);
  return TRUE;
}

/* Reads COUNT bytes of the body without keeping them. */
static gboolean
skip_bytes (Session *session, gsize count)
{
  gsize left = count;
  while (left > session->input->len)
    {
      left -= session->input->len;
      g_string_truncate (session->input, 0);
      if (!read_more (session))
        return FALSE;
    }
  g_string_erase (session->input, 0, (gssize) left);
  return TRUE;
}

static gboolean
read_body (Session *session)
{
  if (g_str_has_suffix (session->target, "/sink"))
    return skip_bytes (session, session->body_length);
  while (session->input->len < session->body_length)
    if (!read_more (session))
      return FALSE;
  g_free (session->body);
  session->body = g_strndup (session->input->str, session->body_length);
  g_string_erase (session->input, 0, (gssize) session->body_length);
  return TRUE;
}

static void
send_text (Session *session, const char *text)
{
  gsize length = strlen (text);
  while (length > 0)
    {
      replica_wait_while_silent (session->replica);
      ssize_t count = send (session->fd, text, length, MSG_NOSIGNAL);
      if (count <= 0)
        return;
      text += count;
      length -= (gsize) count;
    }
}

/* Sends a head without an id if ID is NULL. */
static void
send_head_with_id (Session *session, const char *id, const char *status,
                   const char *fields)
{
  Replica *replica = session->replica;
  char *id_line
      = id != NULL ? g_strdup_printf (ID_FIELD ": %s\r\n", id) : g_strdup ("");
  pthread_mutex_lock (&replica->lock);
  char *text = g_strdup_printf (
      "HTTP/1.1 %s\r\n%sX-Hornbeamwall-Replica-Load: 1,0,8\r\n%s%s\r\n", status,
      id_line, replica->fields != NULL ? replica->fields : "", fields);
  pthread_mutex_unlock (&replica->lock);
  send_text (session, text);
  g_free (text);
  g_free (id_line);
}

static void
send_head (Session *session, const char *status, const char *fields)
{
  send_head_with_id (session, session->attempt_id, status, fields);
}

static void
send_refusal (Session *session, const char *id)
{
  send_head_with_id (session, id, "503 Full",
                     "X-Hornbeamwall-Not-Executed: 1\r\nContent-Length: 0\r\n");
}

/* Turns the request away. */
static void
refuse (Session *session)
{
  send_refusal (session, session->attempt_id);
  g_free (session->refused_id);
  session->refused_id = g_strdup (session->attempt_id);
}

static void
add_responses (Session *session, const char *status)
{
  for (guint i = 0; i < ADDED_RESPONSES; i++)
    {
      char *text
          = g_strdup_printf ("HTTP/1.1 %s\r\nContent-Length: 0\r\n\r\n", status);
      send_text (session, text);
      g_free (text);
    }
  g_usleep (ADDED_PAUSE_US);
  atomic_fetch_add (&session->replica->repetition_count, 1);
}

/* Sends what a faulty replica sends before its response. */
static void
send_repetition (Session *session)
{
  int repetition = atomic_load (&session->replica->repetition);
  gboolean is_first = !session->has_served;
  session->has_served = TRUE;
  if (repetition == REPLICA_ADDS_FAILURES && !is_first)
    add_responses (session, "500 Failed");
  if (repetition == REPLICA_ADDS_UNBACKED_REFUSALS && !is_first)
    add_responses (session, "503 Full");
  if (session->refused_id == NULL
      || (repetition != REPLICA_REPEATS_REFUSALS
          && repetition != REPLICA_REPEATS_REFUSALS_WITHOUT_ID))
    return;
  send_refusal (session,
                repetition == REPLICA_REPEATS_REFUSALS ? session->refused_id : NULL);
  g_clear_pointer (&session->refused_id, g_free);
  atomic_fetch_add (&session->replica->repetition_count, 1);
}

static void
send_response (Session *session, const char *status, const char *seal,
               const char *body, gsize content_length)
{
  char *fields = g_strdup_printf (
      "%sKeep-Alive: timeout=5\r\nContent-Length: %zu\r\n", seal, content_length);
  send_head (session, status, fields);
  send_text (session, body);
  g_free (fields);
}

static void
reset_on_close (Session *session)
{
  const struct linger linger = { 1, 0 };
  setsockopt (session->fd, SOL_SOCKET, SO_LINGER, &linger, sizeof linger);
}

/* Executions by target, over all replicas of the process. */
static pthread_mutex_t total_lock = PTHREAD_MUTEX_INITIALIZER;
static GHashTable *total_runs;

static guint
count_run_anywhere (const char *target)
{
  pthread_mutex_lock (&total_lock);
  if (total_runs == NULL)
    total_runs = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  guint count = GPOINTER_TO_UINT (g_hash_table_lookup (total_runs, target));
  g_hash_table_replace (total_runs, g_strdup (target), GUINT_TO_POINTER (count + 1));
  pthread_mutex_unlock (&total_lock);
  return count;
}

/* Counts an execution of the request's target.  Returns how many times it was
   executed before at any replica. */
static guint
count_run (Session *session)
{
  Replica *replica = session->replica;
  pthread_mutex_lock (&replica->lock);
  guint run_count = GPOINTER_TO_UINT (
      g_hash_table_lookup (replica->run_counts, session->target));
  g_hash_table_replace (replica->run_counts, g_strdup (session->target),
                        GUINT_TO_POINTER (run_count + 1));
  pthread_mutex_unlock (&replica->lock);
  atomic_fetch_add (&replica->request_count, 1);
  return count_run_anywhere (session->target);
}

/* Waits until the peer closes the connection. */
static void
wait_for_close (Session *session)
{
  while (read_more (session))
    continue;
}

static gboolean
is_closed (const Session *session)
{
  char byte;
  return recv (session->fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
}

/* Sends a byte of an event now and then, and never the whole of it. */
static void
dribble_bytes (Session *session)
{
  for (guint i = 0; i < DRIBBLED_BYTES && !is_closed (session); i++)
    {
      g_usleep (DRIBBLE_PAUSE_US);
      send_text (session, "x");
    }
}

/* Sends the events after the one in Last-Event-Id.  CUT ends the stream in the
   middle of the third event.  PAUSE_US is a pause before it, if the stream begins
   with the first one.  Returns whether the stream was completed. */
static gboolean
send_events (Session *session, gboolean cut, gulong pause_us)
{
  char *last = find_field (session->head, "Last-Event-Id");
  guint first = last != NULL ? (guint) strtoul (last, NULL, 10) + 1 : 1;
  g_free (last);
  send_head (session, "200 OK",
             SEAL
             "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n");
  for (guint i = first;
       i <= EVENTS && !is_closed (session) && !has_crashed (session); i++)
    {
      char *event
          = g_strdup_printf (":%s\nid: %u\ndata: %s %u\n\n", session->replica->id, i,
                             session->attempt_id, i);
      gboolean truncated = cut && i == 3;
      if (i == 3 && first == 1)
        g_usleep (pause_us);
      char *chunk = g_strdup_printf ("%zx\r\n%.*s", strlen (event),
                                     truncated ? 8 : (int) strlen (event), event);
      send_text (session, chunk);
      g_free (chunk);
      g_free (event);
      if (truncated)
        return FALSE;
      send_text (session, "\r\n");
      g_usleep (EVENT_PAUSE_US);
    }
  if (has_crashed (session))
    return FALSE;
  send_text (session, "0\r\n\r\n");
  return TRUE;
}

static gboolean
send_ok (Session *session)
{
  char *body = g_strdup_printf ("%s %s %s", session->method, session->target,
                                session->body != NULL ? session->body : "");
  send_response (session, "200 OK", SEAL, body, strlen (body));
  g_free (body);
  return TRUE;
}

/* Breaks a stream off, and answers a request to continue it with a stream without
   events, or with no stream. */
static gboolean
send_canned_continuation (Session *session, gboolean is_empty)
{
  char *last = find_field (session->head, "Last-Event-Id");
  gboolean is_continuation = last != NULL;
  g_free (last);
  if (!is_continuation)
    return send_events (session, TRUE, 0);
  if (!is_empty)
    return send_ok (session);
  send_response (session, "200 OK", SEAL "Content-Type: text/event-stream\r\n", "",
                 0);
  return TRUE;
}

/* Sends BEGIN, and then REPEATED until the connection is closed. */
static void
send_without_end (Session *session, const char *begin, const char *repeated)
{
  gsize length = strlen (repeated);
  send_text (session, begin);
  while (!atomic_load (&session->replica->stopping)
         && send (session->fd, repeated, length, MSG_NOSIGNAL) > 0)
    continue;
}

static gboolean
send_flood (Session *session, const char *behaviour)
{
  if (strcmp (behaviour, "flood") == 0)
    send_without_end (session, "", "no response at all ");
  else if (strcmp (behaviour, "headflood") == 0)
    send_without_end (session, "HTTP/1.1 200 OK\r\n", "X-More: and more\r\n");
  else if (strcmp (behaviour, "bodyflood") == 0)
    send_without_end (session, "HTTP/1.1 200 OK\r\n\r\n", "no body of a response ");
  else
    return FALSE;
  return TRUE;
}

/* Sends the events of a stream without chunks, COUNT at most.  PAUSE_US is a pause
   after the second one. */
static void
send_open_events (Session *session, guint count, gulong pause_us)
{
  char *last = find_field (session->head, "Last-Event-Id");
  guint first = last != NULL ? (guint) strtoul (last, NULL, 10) + 1 : 1;
  g_free (last);
  send_head (session, "200 OK", SEAL "Content-Type: text/event-stream\r\n");
  for (guint i = first; i <= EVENTS && i < first + count && !is_closed (session)
                        && !has_crashed (session);
       i++)
    {
      char *event
          = g_strdup_printf ("id: %u\ndata: %s %u\n\n", i, session->attempt_id, i);
      send_text (session, event);
      g_free (event);
      g_usleep (EVENT_PAUSE_US + (i == 2 ? pause_us : 0));
    }
}

/* Sends the answer selected by BEHAVIOUR, if it has neither a length nor chunks. */
static gboolean
send_open (Session *session, const char *behaviour)
{
  if (strcmp (behaviour, "openok") == 0 || strcmp (behaviour, "opencrash") == 0)
    {
      char *body = g_strdup_printf ("%s %s %s", session->method, session->target,
                                    session->body);
      send_head (session, "200 OK", SEAL);
      send_text (session, body);
      g_free (body);
    }
  else if (strcmp (behaviour, "openevents") == 0)
    send_open_events (session, EVENTS, 0);
  else if (strcmp (behaviour, "openpause") == 0
           || strcmp (behaviour, "openlast") == 0)
    send_open_events (session, EVENTS, REPLICA_PAUSE_US);
  else if (strcmp (behaviour, "opencut") == 0)
    send_open_events (session, 2, 0);
  else
    return FALSE;
  if (strcmp (behaviour, "opencrash") == 0 || strcmp (behaviour, "opencut") == 0
      || strcmp (behaviour, "openlast") == 0)
    replica_crash (session->replica, REPLICA_CRASH_CLOSE);
  return TRUE;
}

/* Returns whether the connection is kept open. */
static gboolean
send_canned (const Session *session)
{
  ReplicaResponder *responder = replica_acquire_responder (session->replica);
  gboolean keeps
      = responder->class->respond (responder, session->fd, session->attempt_id);
  replica_release_responder (session->replica, responder);
  return keeps;
}

/* Breaks a stream off, and answers a request to continue it with the canned
 * response. */
static gboolean
send_canned_after_cut (Session *session)
{
  char *last = find_field (session->head, "Last-Event-Id");
  gboolean is_continuation = last != NULL;
  g_free (last);
  return is_continuation ? send_canned (session) : send_events (session, TRUE, 0);
}

/* Begins an answer, and crashes as the part of the prompt in the request wants. */
static void
crash_in_answer (Session *session, HarmfulEnd end)
{
  static const ReplicaCrash kinds[] = { [HARMFUL_RESET] = REPLICA_CRASH_RESET,
                                        [HARMFUL_CLOSE] = REPLICA_CRASH_CLOSE,
                                        [HARMFUL_SILENT] = REPLICA_CRASH_SILENT,
                                        [HARMFUL_OPEN] = REPLICA_CRASH_CLOSE };
  send_head (session, "200 OK",
             end == HARMFUL_OPEN ? SEAL : SEAL "Content-Length: 1000\r\n");
  send_text (session, "begun");
  harmful_note_crash ();
  replica_crash (session->replica, kinds[end]);
}

/* Sends the response selected by BEHAVIOUR.  Returns whether the connection is kept
   open. */
static gboolean
respond (Session *session, const char *behaviour)
{
  if (send_flood (session, behaviour) || send_open (session, behaviour))
    return FALSE;
  if (strcmp (behaviour, "ok") == 0)
    return send_ok (session);
  if (strcmp (behaviour, "events") == 0)
    return send_events (session, FALSE, 0);
  if (strcmp (behaviour, "pause") == 0)
    return send_events (session, FALSE, REPLICA_PAUSE_US);
  if (strcmp (behaviour, "cut") == 0)
    return send_events (session, TRUE, 0);
  if (strcmp (behaviour, "canned") == 0)
    return send_canned (session);
  if (strcmp (behaviour, "cutcanned") == 0)
    return send_canned_after_cut (session);
  if (strcmp (behaviour, "cutbody") == 0 || strcmp (behaviour, "cutempty") == 0)
    return send_canned_continuation (session, strcmp (behaviour, "cutempty") == 0);
  if (strcmp (behaviour, "mute") == 0 || strcmp (behaviour, "dribble") == 0)
    {
      send_events (session, TRUE, 0);
      if (strcmp (behaviour, "dribble") == 0)
        dribble_bytes (session);
      wait_for_close (session);
      return FALSE;
    }
  if (strcmp (behaviour, "nobody") == 0)
    send_head (session, "204 No Content", SEAL "Keep-Alive: timeout=5\r\n");
  else if (strcmp (behaviour, "large") == 0)
    {
      char *body = g_strnfill (REPLICA_LARGE_BYTES, 'x');
      send_response (session, "200 OK", SEAL, body, REPLICA_LARGE_BYTES);
      g_free (body);
    }
  else if (strcmp (behaviour, "sink") == 0)
    send_response (session, "200 OK", SEAL, "", 0);
  else if (strcmp (behaviour, "fail") == 0)
    send_response (session, "500 Failed", SEAL, "own", 3);
  else if (strcmp (behaviour, "noseal") == 0)
    send_response (session, "200 OK", "", "unmarked", 8);
  else if (strcmp (behaviour, "extra") == 0)
    {
      send_ok (session);
      g_usleep (EVENT_PAUSE_US);
      send_ok (session);
    }
  else if (strcmp (behaviour, "hang") == 0)
    wait_for_close (session);
  else if (strcmp (behaviour, "crash") == 0 || strcmp (behaviour, "silent") == 0)
    replica_crash (session->replica, strcmp (behaviour, "silent") == 0
                                         ? REPLICA_CRASH_SILENT
                                         : REPLICA_CRASH_RESET);
  else if (strcmp (behaviour, "reset") == 0)
    reset_on_close (session);
  else if (strcmp (behaviour, "short") == 0)
    send_response (session, "200 OK", SEAL, "half", 8);
  else if (strcmp (behaviour, "open") == 0 || strcmp (behaviour, "torn") == 0)
    {
      send_head (session, "200 OK", SEAL);
      send_text (session, "unframed");
      g_usleep (10 * EVENT_PAUSE_US);
      if (strcmp (behaviour, "torn") == 0)
        reset_on_close (session);
    }
  static const char *const closing[]
      = { "hang", "reset", "close", "short", "open", "torn", "crash", "silent" };
  for (gsize i = 0; i < G_N_ELEMENTS (closing); i++)
    if (strcmp (behaviour, closing[i]) == 0)
      return FALSE;
  return TRUE;
}

/* Returns the behaviour for a request that was executed RUN_COUNT times before. */
static char *
select_behaviour (const Session *session, guint run_count)
{
  char *path = g_strndup (session->target, strcspn (session->target, "?"));
  char *behaviour
      = g_strdup (strrchr (path, '/') != NULL ? strrchr (path, '/') + 1 : path);
  g_free (path);
  char *digits = behaviour + strcspn (behaviour, "0123456789");
  if (*digits == '\0')
    return behaviour;
  guint limit = (guint) strtoul (digits, NULL, 10);
  *digits = '\0';
  if (run_count < limit)
    return behaviour;
  gboolean streams
      = strcmp (behaviour, "cut") == 0 || strcmp (behaviour, "opencut") == 0
        || strcmp (behaviour, "mute") == 0 || strcmp (behaviour, "dribble") == 0;
  const char *fallback = streams ? "events" : "ok";
  g_free (behaviour);
  return g_strdup (fallback);
}

static gboolean
is_expected_server (const Session *session)
{
  char *expected = find_field (session->head, "X-Hornbeamwall-Expect-Instance");
  char *id = replica_copy_id (session->replica);
  gboolean same = expected == NULL || strcmp (expected, id) == 0;
  g_free (id);
  g_free (expected);
  return same;
}

/* Executes the request for a while, if it takes time.  Returns FALSE if the replica
   has crashed meanwhile. */
static gboolean
work (Session *session)
{
  gint64 work_us = atomic_load (&session->replica->work_us);
  if (work_us > 0)
    g_usleep ((gulong) work_us);
  return !has_crashed (session);
}

/* Returns what the parts of the request's prompt do to the server, and notes that
   such a request has reached it. */
static HarmfulEnd
find_harmful_end (const Session *session)
{
  char *prefix_hash = find_field (session->head, "X-Hornbeamwall-Prefix-Hash");
  HarmfulEnd end = harmful_find (session->target, prefix_hash);
  g_free (prefix_hash);
  if (end != HARMFUL_NONE)
    harmful_note_run (session->attempt_id);
  return end;
}

/* Frees what the last request took, as the connection may be kept open. */
static void
release_body (Session *session)
{
  g_clear_pointer (&session->body, g_free);
  if (session->input->len > 0)
    return;
  g_string_free (session->input, TRUE);
  session->input = g_string_new (NULL);
}

/* Sends the answer to a request whose body is not read yet, if the request wants
   that.  Returns whether it did; KEEP_OPEN is set to whether the connection is kept
   open. */
static gboolean
respond_early (Session *session, gboolean *keep_open)
{
  gboolean is_early = g_str_has_suffix (session->target, "/early");
  gboolean is_half = g_str_has_suffix (session->target, "/halfcanned");
  gboolean is_canned = is_half || g_str_has_suffix (session->target, "/earlycanned");
  *keep_open = TRUE;
  if (!(is_early || is_canned) || !is_expected_server (session))
    return FALSE;
  if (is_half && !skip_bytes (session, session->body_length / 2))
    {
      *keep_open = FALSE;
      return TRUE;
    }
  count_run (session);
  if (is_canned)
    *keep_open = send_canned (session);
  else
    send_response (session, "200 OK", SEAL, "early", 5);
  return TRUE;
}

static gboolean
serve_request (Session *session)
{
  Replica *replica = session->replica;
  if (!read_head (session))
    return FALSE;
  gboolean keep_open;
  gboolean has_responded = respond_early (session, &keep_open);
  if (!keep_open || !read_body (session))
    return FALSE;
  if (has_responded)
    return TRUE;
  pthread_mutex_lock (&replica->lock);
  g_free (replica->last_request_head);
  replica->last_request_head = g_strdup (session->head);
  pthread_mutex_unlock (&replica->lock);
  if (!is_expected_server (session))
    {
      send_head (session, "421 Misdirected Request", "Content-Length: 0\r\n");
      return TRUE;
    }
  atomic_fetch_add (&replica->received_count, 1);
  HarmfulEnd harmful_end = find_harmful_end (session);
  send_repetition (session);
  if (g_str_has_suffix (session->target, "/shed")
      || atomic_load (&replica->is_refusing))
    {
      refuse (session);
      return TRUE;
    }
  if (has_crashed (session))
    return FALSE;
  guint run_count = count_run (session);
  char *behaviour = select_behaviour (session, run_count);
  atomic_fetch_add (&replica->active_requests, 1);
  keep_open = work (session);
  if (keep_open && harmful_end != HARMFUL_NONE)
    {
      crash_in_answer (session, harmful_end);
      keep_open = FALSE;
    }
  else if (keep_open)
    keep_open = respond (session, behaviour);
  atomic_fetch_sub (&replica->active_requests, 1);
  g_free (behaviour);
  release_body (session);
  return keep_open;
}

/* A process that is killed accepts no connections by the time the others end. */
static void
wait_for_closed_listener (const Session *session)
{
  const Replica *replica = session->replica;
  while (session->crash_count == atomic_load (&replica->handled_crash_count)
         && !atomic_load (&replica->stopping))
    g_usleep (1000);
}

static void *
run_session (void *data)
{
  Session *session = data;
  Replica *replica = session->replica;
  session->input = g_string_new (NULL);
  while (serve_request (session))
    continue;
  while (has_crashed (session)
         && atomic_load (&replica->crash_kind) == REPLICA_CRASH_SILENT
         && !atomic_load (&replica->is_up) && !atomic_load (&replica->stopping))
    g_usleep (10000);
  if (has_crashed (session)
      && atomic_load (&replica->crash_kind) != REPLICA_CRASH_CLOSE)
    reset_on_close (session);
  else if (has_crashed (session))
    wait_for_closed_listener (session);
  close (session->fd);
  g_string_free (session->input, TRUE);
  g_free (session->head);
  g_free (session->body);
  g_free (session->refused_id);
  g_free (session);
  pthread_mutex_lock (&replica->lock);
  replica->open_connections--;
  pthread_cond_signal (&replica->connection_ended);
  pthread_mutex_unlock (&replica->lock);
  return NULL;
}

void
replica_serve_connection (Replica *replica, int fd, guint crash_count)
{
  pthread_t thread;
  Session *session = g_new0 (Session, 1);
  session->replica = replica;
  session->fd = fd;
  session->crash_count = crash_count;
  atomic_fetch_add (&replica->connection_count, 1);
  pthread_mutex_lock (&replica->lock);
  replica->open_connections++;
  pthread_mutex_unlock (&replica->lock);
  if (pthread_create (&thread, NULL, run_session, session) == 0)
    pthread_detach (thread);
}
