/*
 * tunnel_fixture - an instance without a path to the servers, and another one with
 */
#ifndef HORNBEAMWALL_TESTS_TUNNEL_FIXTURE_H
#define HORNBEAMWALL_TESTS_TUNNEL_FIXTURE_H

#include "platform_fixture.h"
#include "standin/proxy.h"

/* Requests after which an instance knows of a change of its path. */
#define TUNNEL_FIXTURE_SETTLING_REQUESTS 4

typedef struct
{
  PlatformFixture *peer; /* its instance reaches the servers */
  PlatformFixture
      *cut; /* with the same store and servers; see tunnel_fixture_cut() */
  Proxy *proxies[PLATFORM_FIXTURE_SERVERS];
  guint tunnel_port; /* of the peer */
} TunnelFixture;

/* Starts both instances, and waits until they know each other. */
TunnelFixture tunnel_fixture_create (void);
void tunnel_fixture_destroy (TunnelFixture *fixture);

/* Ends the path of one instance to all servers. */
void tunnel_fixture_cut (TunnelFixture *fixture, ProxyMode mode);

/* Makes that instance send through the other one. */
void tunnel_fixture_use_tunnels (TunnelFixture *fixture);

#endif
