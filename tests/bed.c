#include "bed.h"

#include "standin/listen.h"
#include "suite.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

void
bed_put_config (Bed *fixture, guint version, const char *keys)
{
  char *text = g_strdup_printf (
      "{\"version\":%u,\"routes\":["
      "{\"name\":\"safe\",\"hostname\":\"h.example\",\"path_prefix\":\"/safe/\","
      "\"route_type\":\"safe\",\"timeout_ms\":3000,\"latency_goal_ms\":100,"
      "\"priority\":0,\"backend\":\"b\",\"max_attempts\":2},"
      "{\"name\":\"unsafe\",\"hostname\":\"h.example\",\"path_prefix\":\"/unsafe/\","
      "\"route_type\":\"unsafe\",\"timeout_ms\":3000,\"latency_goal_ms\":100,"
      "\"priority\":0,\"backend\":\"b\",\"max_attempts\":1},"
      "{\"name\":\"brief\",\"hostname\":\"h.example\",\"path_prefix\":\"/brief/\","
      "\"route_type\":\"unsafe\",\"timeout_ms\":200,\"latency_goal_ms\":100,"
      "\"priority\":0,\"backend\":\"b\",\"max_attempts\":1},"
      "{\"name\":\"stream\",\"hostname\":\"h.example\",\"path_prefix\":\"/stream/\","
      "\"route_type\":\"streaming\",\"resumable\":true,\"timeout_ms\":3000,"
      "\"latency_goal_ms\":100,\"gap_target_ms\":250,\"priority\":0,"
      "\"backend\":\"b\",\"max_attempts\":2},"
      "{\"name\":\"once\",\"hostname\":\"h.example\",\"path_prefix\":\"/once/\","
      "\"route_type\":\"streaming\",\"resumable\":false,\"timeout_ms\":3000,"
      "\"latency_goal_ms\":100,\"gap_target_ms\":250,\"priority\":0,"
      "\"backend\":\"b\",\"max_attempts\":2},"
      "{\"name\":\"open\",\"hostname\":\"h.example\",\"path_prefix\":\"/open/\","
      "\"route_type\":\"safe\",\"timeout_ms\":3000,\"latency_goal_ms\":100,"
      "\"priority\":0,\"backend\":\"b\",\"max_attempts\":2,\"anonymous\":true}],"
      "\"backends\":[{\"name\":\"b\",\"health_path\":\"/healthz\"}],"
      "\"limits\":{\"max_header_bytes\":4096,\"max_body_bytes\":100000,"
      "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},"
      "\"tenants\":[{\"name\":\"t\",\"api_keys\":[%s]}]}",
      version, keys);
  objects_set (fixture->objects, "config", "main", text);
  g_free (text);
}

void
bed_put_server (Bed *fixture, guint index, const char *state)
{
  objects_set_server (fixture->objects, index,
                      replica_port (fixture->replicas[index]), 8, state);
}

char *
bed_settings (const Bed *fixture, guint caller_port)
{
  return g_strdup_printf (
      "{\"name\":\"i1\",\"data_centre\":\"z\",\"interface\":\"platform\","
      "\"policy\":\"direct\",\"caller_address\":\"127.0.0.1:%u\","
      "\"admin_address\":\"127.0.0.1:0\",\"peer_address\":\"127.0.0.1:0\","
      "\"platform_address\":\"127.0.0.1:%u\",\"load_in_answers\":true,"
      "\"revocation_ms\":60000,\"retry_ratio\":1.0,\"retry_extra\":1000,"
      "\"connect_timeout_ms\":500,\"stop_grace_s\":8}",
      caller_port, objects_port (fixture->objects));
}

static gboolean
is_ready (Bed *fixture)
{
  return hbw_control_is_ready (hbw_instance_control (fixture->instance));
}

Bed *
bed_create_around (void)
{
  Bed *fixture = g_new0 (Bed, 1);
  fixture->objects = objects_create ("127.0.0.1:0", 1);
  for (guint i = 0; i < BED_SERVERS; i++)
    {
      char id[16];
      g_snprintf (id, sizeof id, "i-%u", i);
      fixture->replicas[i] = replica_create ("127.0.0.1:0", id);
    }
  /* Malformed entries of other writers, which must not affect the valid ones. */
  objects_set (fixture->objects, "servers", "a-odd",
               "{\"backend\":[],\"slots\":null}");
  objects_set (fixture->objects, "servers", "z-odd", "\"text\"");
  for (guint i = 0; i < BED_SERVERS; i++)
    bed_put_server (fixture, i, "ready");
  bed_put_config (fixture, 3, "\"k1\",\"k2\"");
  return fixture;
}

Bed *
bed_create (void)
{
  HbwError error = { HBW_ERROR_NONE, "" };
  Bed *fixture = bed_create_around ();
  char *text = bed_settings (fixture, 0);
  fixture->settings = hbw_settings_parse (text, strlen (text), &error);
  ck_assert_msg (fixture->settings != NULL, "%s", error.message);
  g_free (text);
  fixture->clock = hbw_clock_create_system ();
  fixture->instance
      = hbw_instance_create (fixture->settings, fixture->clock, &error);
  ck_assert_msg (fixture->instance != NULL, "%s", error.message);
  for (guint i = 0; i < BED_WAIT_STEPS && !is_ready (fixture); i++)
    g_usleep (10000);
  ck_assert (is_ready (fixture));
  return fixture;
}

void
bed_destroy (Bed *fixture)
{
  g_clear_pointer (&fixture->instance, hbw_instance_destroy);
  g_clear_pointer (&fixture->settings, hbw_settings_destroy);
  g_clear_pointer (&fixture->clock, hbw_clock_destroy);
  for (guint i = 0; i < BED_SERVERS; i++)
    replica_destroy (fixture->replicas[i]);
  objects_destroy (fixture->objects);
  g_free (fixture);
}

guint
bed_runs (Bed *fixture, const char *path)
{
  return replica_total_run_count (fixture->replicas, BED_SERVERS, path);
}

guint
bed_connections (Bed *fixture)
{
  guint count = 0;
  for (guint i = 0; i < BED_SERVERS; i++)
    count += replica_connection_count (fixture->replicas[i]);
  return count;
}

int
caller_dial (guint port)
{
  const struct sockaddr_in address = standin_loopback (port);
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (connect (fd, (struct sockaddr *) &address, sizeof address) == 0)
    return fd;
  close (fd);
  return -1;
}

int
bed_dial (Bed *fixture)
{
  int fd = caller_dial (hbw_instance_caller_port (fixture->instance));
  ck_assert_int_ge (fd, 0);
  return fd;
}

void
caller_say (int fd, const char *text)
{
  ssize_t length = (ssize_t) strlen (text);
  g_assert_cmpint (send (fd, text, (gsize) length, MSG_NOSIGNAL), ==, length);
}

gboolean
answer_is_whole (const char *text)
{
  const char *end = strstr (text, "\r\n\r\n");
  if (end == NULL)
    return FALSE;
  const char *length = strstr (text, "Content-Length: ");
  if (length != NULL && length < end)
    return strlen (end + 4) >= strtoul (length + 16, NULL, 10);
  return g_str_has_suffix (text, "0\r\n\r\n") && strlen (end) > 4;
}

Answer
caller_hear (int fd)
{
  Answer response = { 0, NULL, FALSE, FALSE };
  GString *text = g_string_new (NULL);
  struct pollfd input = { fd, POLLIN, 0 };
  while (!answer_is_whole (text->str))
    {
      char bytes[4096];
      g_assert_cmpint (poll (&input, 1, 20000), >, 0);
      ssize_t count = recv (fd, bytes, sizeof bytes, 0);
      response.reset = count < 0;
      response.closed = count <= 0;
      if (count <= 0)
        break;
      g_string_append_len (text, bytes, count);
    }
  sscanf (text->str, "HTTP/1.1 %u", &response.status);
  response.text = g_string_free (text, FALSE);
  return response;
}

static guint last_attempt_id;

char *
caller_request (const char *method, const char *path, const char *extra_fields,
                const char *body)
{
  return g_strdup_printf ("%s %s HTTP/1.1\r\nHost: h.example\r\n"
                          "X-Hornbeamwall-Attempt-Id: id%u\r\n"
                          "X-Hornbeamwall-Deadline-Ms: 2500\r\n"
                          "%sContent-Length: %zu\r\n\r\n%s",
                          method, path, ++last_attempt_id, extra_fields,
                          strlen (body), body);
}

Answer
caller_ask (int fd, const char *path, const char *extra_fields, const char *body)
{
  char *request = caller_request ("POST", path, extra_fields, body);
  caller_say (fd, request);
  g_free (request);
  return caller_hear (fd);
}

Answer
bed_ask (Bed *fixture, const char *path, const char *extra_fields, const char *body)
{
  int fd = bed_dial (fixture);
  Answer response = caller_ask (fd, path, extra_fields, body);
  close (fd);
  return response;
}

void
answer_expect (Answer response, guint status, const char *text)
{
  ck_assert_msg (response.status == status, "%u: %s", response.status,
                 response.text);
  if (text != NULL)
    ck_assert_msg (strstr (response.text, text) != NULL, "%s", response.text);
  g_free (response.text);
}

gboolean
bed_wait_until_idle (Bed *fixture)
{
  for (guint i = 0; i < BED_WAIT_STEPS; i++)
    {
      if (replica_active_requests (fixture->replicas[0])
              + replica_active_requests (fixture->replicas[1])
          == 0)
        return TRUE;
      g_usleep (10000);
    }
  return FALSE;
}
