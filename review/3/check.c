/* A config that grows by many routes, within the size that the store allows, is
   rejected as a whole: no machine ever puts it into force, and all refuse keys. */
#include "rig.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define ROUTERS 2
#define SERVERS 4

/* As many tenants as the users' aim names, each with as many keys. */
#define TENANTS 1200
#define KEYS_PER_TENANT 11
#define TENANTS_WITH_ONE_MORE 400

/* Dose of big_config on the site. */
#define ROUTES_MORE 350

#define VALUE_BYTES_MAX 1048576
#define CONFIG_APPLY_MS 2000
#define REQUEST_INTERVAL_MS 500
#define ROUNDS 24

#define TIME_LIMIT_MS 1500

/* The service that runs a request names itself by the id of its server. */
#define OLD_SERVICE "old"
#define NEW_SERVICE "new"

static bool
handle (int fd, const RigRequest *request, const char *server)
{
  rig_note_run (server, request);
  rig_sleep_ms (15);
  return rig_answer_ok (fd, request, server, 800);
}

typedef struct
{
  char *text;
  size_t length;
} Text;

static void
add (Text *text, const char *part)
{
  size_t length = strlen (part);
  memcpy (text->text + text->length, part, length + 1);
  text->length += length;
}

static void
add_route (Text *text, const char *name, const char *path, const char *service,
           bool anonymous)
{
  char part[512];
  snprintf (part, sizeof part,
            "%s{\"name\":\"%s\",\"hostname\":\"ficu95.example\","
            "\"path_prefix\":\"/%s/\",\"route_type\":\"unsafe\","
            "\"timeout_ms\":1500,\"latency_goal_ms\":100,\"priority\":2,"
            "\"backend\":\"%s\",\"max_attempts\":1,\"anonymous\":%s}",
            text->text[text->length - 1] == '[' ? "" : ",", name, path, service,
            anonymous ? "true" : "false");
  add (text, part);
}

static void
add_tenants (Text *text)
{
  char part[128];
  for (int i = 0; i < TENANTS; i++)
    {
      snprintf (part, sizeof part, "%s{\"name\":\"hule%04d\",\"api_keys\":[%s",
                i == 0 ? "" : ",", i, i == 0 ? "\"" RIG_KEY "\"," : "");
      add (text, part);
      int keys = KEYS_PER_TENANT + (i < TENANTS_WITH_ONE_MORE);
      for (int k = 0; k < keys; k++)
        {
          snprintf (part, sizeof part, "%s\"n2ctnfzs%05d%07d\"", k == 0 ? "" : ",",
                    i, k);
          add (text, part);
        }
      add (text, "]}");
    }
}

/* Returns the config; the two routes that are used lead to SERVICE. */
static Text
make_config (int version, const char *service, int routes_more)
{
  Text text = { malloc (2 * VALUE_BYTES_MAX), 0 };
  char part[256];
  snprintf (part, sizeof part, "{\"version\":%d,\"routes\":[", version);
  add (&text, part);
  add_route (&text, "r-keyed", "keyed", service, false);
  add_route (&text, "r-open", "open", service, true);
  for (int i = 0; i < routes_more; i++)
    {
      snprintf (part, sizeof part, "r-%07d", i);
      add_route (&text, part, part, service, false);
    }
  add (&text,
       "],\"backends\":[{\"name\":\"" OLD_SERVICE "\",\"health_path\":\"/healthz\","
       "\"max_connections\":110,\"protocol\":\"h1\",\"tls\":false},"
       "{\"name\":\"" NEW_SERVICE "\",\"health_path\":\"/healthz\","
       "\"max_connections\":110,\"protocol\":\"h1\",\"tls\":false}],"
       "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,"
       "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},\"tenants\":[");
  add_tenants (&text);
  add (&text, "]}");
  return text;
}

typedef struct
{
  int old_service;
  int new_service;
  int refused;
} Counts;

static void
send_request (const RigRouter *router, const char *path, int round, int64_t since_ms,
              Counts *counts)
{
  char id[64];
  char target[64];
  int64_t sent_ms = rig_now_ms ();
  snprintf (id, sizeof id, "%s-%u-%d", path, router->index, round);
  snprintf (target, sizeof target, "/%s/x", path);
  int fd = rig_connect (router->caller_port, 0);
  rig_send_request (fd, "POST", "ficu95.example", target, id, TIME_LIMIT_MS, "",
                    100);
  RigAnswer answer = rig_read_answer (fd, 3000, 4096, 0);
  close (fd);
  const char *by = strstr (answer.head, "s." OLD_SERVICE) != NULL   ? OLD_SERVICE
                   : strstr (answer.head, "s." NEW_SERVICE) != NULL ? NEW_SERVICE
                                                                    : "nobody";
  rig_record (
      "%s, sent %lld ms after the ack: status %d, run by %s, edge-%u ready %d", id,
      (long long) (sent_ms - since_ms), answer.status, by, router->index,
      rig_router_is_ready (router));
  if (sent_ms - since_ms <= CONFIG_APPLY_MS)
    return;
  counts->old_service += strcmp (by, OLD_SERVICE) == 0;
  counts->new_service += strcmp (by, NEW_SERVICE) == 0;
  counts->refused += answer.status == 503;
}

int
main (int argc, char **argv)
{
  RigServer servers[SERVERS];
  RigRouter routers[ROUTERS];
  Counts counts = { 0, 0, 0 };
  rig_begin (argc > 1 ? argv[1] : "review/3/record.txt", 90);
  for (int i = 0; i < SERVERS; i++)
    {
      char id[16];
      snprintf (id, sizeof id, "%s-%d", i % 2 == 0 ? OLD_SERVICE : NEW_SERVICE, i);
      rig_server_start (&servers[i], id, handle);
    }
  Objects *store = objects_create ("127.0.0.1:0", 500);
  for (int i = 0; i < SERVERS; i++)
    rig_put_server (store, &servers[i], i % 2 == 0 ? OLD_SERVICE : NEW_SERVICE,
                    "ready", 6);
  Text config = make_config (3, OLD_SERVICE, 0);
  objects_set (store, "config", "main", config.text);
  rig_record ("config version 3 has %zu bytes", config.length);
  RigSettings settings = { objects_port (store), 0, 5000, 8 };
  for (unsigned i = 0; i < ROUTERS; i++)
    {
      rig_router_prepare (&routers[i], i, &settings);
      settings.seed_port = routers[0].peer_port;
      rig_router_start (&routers[i]);
    }
  for (unsigned i = 0; i < ROUTERS; i++)
    if (!rig_router_wait_ready (&routers[i], 20000))
      rig_finish (RIG_NOT_RUN);
  rig_sleep_ms (4000);
  Text grown = make_config (7, NEW_SERVICE, rig_has_trouble () ? ROUTES_MORE : 0);
  if (grown.length > VALUE_BYTES_MAX)
    rig_finish (RIG_NOT_RUN);
  objects_set (store, "config", "main", grown.text);
  int64_t ack_ms = rig_now_ms ();
  rig_record ("config version 7 has %zu bytes and is acknowledged", grown.length);
  for (int round = 0; round < ROUNDS; round++)
    {
      for (unsigned i = 0; i < ROUTERS; i++)
        {
          send_request (&routers[i], "open", round, ack_ms, &counts);
          send_request (&routers[i], "keyed", round, ack_ms, &counts);
        }
      rig_sleep_ms (REQUEST_INTERVAL_MS);
    }
  rig_record (
      "sent later than %d ms after the ack: %d run by the old service, %d by "
      "the new one, %d refused with 503",
      CONFIG_APPLY_MS, counts.old_service, counts.new_service, counts.refused);
  if (counts.old_service + counts.new_service + counts.refused == 0)
    rig_finish (RIG_NOT_RUN);
  rig_finish (counts.old_service > 0 ? RIG_BROKEN : RIG_HELD);
}
