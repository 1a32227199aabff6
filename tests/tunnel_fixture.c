#include "tunnel_fixture.h"

#include "hornbeamwall/net/channel.h"

#include <check.h>
#include <unistd.h>

#define PORT_MIN 12000
#define PORT_MAX 32000

/* Last byte of the IP address from which the instance without a path connects. */
#define CUT_SOURCE 2

/* Returns a port of 127.0.0.1 at which nothing listens, below those that the kernel
   gives to sockets by itself. */
static guint
find_closed_port (void)
{
  HbwError error;
  int fd = -1;
  guint port = 0;
  while (fd < 0)
    {
      char address[HBW_ADDRESS_MAX];
      port = (guint) g_random_int_range (PORT_MIN, PORT_MAX + 1);
      g_snprintf (address, sizeof address, "127.0.0.1:%u", port);
      fd = hbw_listen (address, &error);
    }
  close (fd);
  return port;
}

static void
start_instance (PlatformFixture *fixture, guint source, guint peer_port,
                guint tunnel_port, guint seed_port)
{
  HbwError error = { HBW_ERROR_NONE, "" };
  char *text = g_strdup_printf (
      "{\"name\":\"i%u\",\"data_centre\":\"z\",\"interface\":\"platform\","
      "\"policy\":\"direct\",\"caller_address\":\"127.0.0.1:0\","
      "\"admin_address\":\"127.0.0.1:0\",\"peer_address\":\"127.0.0.1:%u\","
      "\"tunnel_address\":\"127.0.0.1:%u\",\"platform_address\":\"127.0.0.1:%u\","
      "\"source_address\":\"127.0.0.%u\",\"load_in_answers\":true,"
      "\"connect_timeout_ms\":500,\"stop_grace_s\":8,\"retry_ratio\":1.0,"
      "\"retry_extra\":1000,\"seeds\":[\"127.0.0.1:%u\"]}",
      source, peer_port, tunnel_port, objects_port (fixture->object_store), source,
      seed_port);
  fixture->settings = hbw_settings_parse (text, strlen (text), &error);
  ck_assert_msg (fixture->settings != NULL, "%s", error.message);
  g_free (text);
  fixture->clock = hbw_clock_create_system ();
  platform_fixture_start_instance (fixture);
}

void
tunnel_fixture_cut (TunnelFixture *fixture, ProxyMode mode)
{
  for (guint i = 0; i < PLATFORM_FIXTURE_SERVERS; i++)
    proxy_set_cut (fixture->proxies[i], CUT_SOURCE, mode);
}

TunnelFixture
tunnel_fixture_create (void)
{
  TunnelFixture fixture = { .tunnel_port = find_closed_port () };
  guint ports[] = { find_closed_port (), find_closed_port () };
  fixture.peer = platform_fixture_create_without_instance ();
  fixture.cut = g_new0 (PlatformFixture, 1);
  fixture.cut->object_store = fixture.peer->object_store;
  for (guint i = 0; i < PLATFORM_FIXTURE_SERVERS; i++)
    {
      fixture.proxies[i] = proxy_create (replica_port (fixture.peer->replicas[i]));
      objects_set_server (fixture.peer->object_store, i,
                          proxy_port (fixture.proxies[i]), 8, "ready", 1);
    }
  start_instance (fixture.peer, CUT_SOURCE + 1, ports[0], fixture.tunnel_port,
                  ports[1]);
  start_instance (fixture.cut, CUT_SOURCE, ports[1], find_closed_port (), ports[0]);
  g_usleep (2000000); /* they are ready, and know each other */
  return fixture;
}

void
tunnel_fixture_destroy (TunnelFixture *fixture)
{
  hbw_instance_destroy (fixture->cut->instance);
  hbw_settings_destroy (fixture->cut->settings);
  hbw_clock_destroy (fixture->cut->clock);
  g_free (fixture->cut);
  platform_fixture_destroy (fixture->peer);
  for (guint i = 0; i < PLATFORM_FIXTURE_SERVERS; i++)
    proxy_destroy (fixture->proxies[i]);
}

void
tunnel_fixture_use_tunnels (TunnelFixture *fixture)
{
  tunnel_fixture_cut (fixture, PROXY_RESET);
  for (guint i = 0; i < TUNNEL_FIXTURE_SETTLING_REQUESTS; i++)
    g_free (
        platform_fixture_post (fixture->cut, "/safe/a/ok", API_KEY_FIELD, "b").text);
}
