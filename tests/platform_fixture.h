/*
 * platform_fixture - test fixture for the users' platform
 *
 * The users' platform is what the setting "interface": "platform" selects instead of
 * the native interface: its header fields for requests, and its object store for the
 * config and the entries of the backend servers.
 *
 * Runs an object store, two backend servers and one instance in the test process.
 * Requests are sent on plain sockets, so that a test controls every byte.
 */
#ifndef HORNBEAMWALL_TESTS_PLATFORM_FIXTURE_H
#define HORNBEAMWALL_TESTS_PLATFORM_FIXTURE_H

#include "hornbeamwall/runtime/instance.h"
#include "standin/objects.h"
#include "standin/replica.h"

/* Polls, 10 ms apart, before a test gives up waiting. */
#define PLATFORM_FIXTURE_POLLS_MAX 1000

#define PLATFORM_FIXTURE_SERVERS 2

/* Header field with the API key of a caller; the key is in the default config. */
#define API_KEY_FIELD "X-Hornbeamwall-Key: k1\r\n"

typedef struct
{
  Objects *object_store;
  Replica *replicas[PLATFORM_FIXTURE_SERVERS];
  HbwClock *clock;
  HbwSettings *settings;
  HbwInstance *instance;
  guint revocation_ms;     /* bound for refusing a removed key */
  guint header_timeout_ms; /* limits of the config */
  guint idle_timeout_ms;
  guint memory_mb;  /* of the instance's settings; 0 is no limit */
  guint header_max; /* limits of the config, in bytes */
  guint body_max;
  guint unused_routes; /* routes of the config that no test requests */
} PlatformFixture;

/* Creates a fixture with config version 3, which has the API keys k1 and k2, and
   with all servers ready; waits until the instance is ready. */
PlatformFixture *platform_fixture_create (void);
void platform_fixture_destroy (PlatformFixture *fixture);

/* The same with a bound for refusing a removed key. */
PlatformFixture *platform_fixture_create_with_bound (guint revocation_ms);

/* The same with MEMORY_MB for the instance, and heads and bodies of up to HEADER_MAX
   and BODY_MAX bytes. */
PlatformFixture *platform_fixture_create_with_memory (guint memory_mb,
                                                      guint header_max,
                                                      guint body_max);

/* Creates a fixture without an instance, which another process runs. */
PlatformFixture *platform_fixture_create_without_instance (void);

/* Returns settings for an instance that uses the fixture, as JSON; the caller frees
   them. CALLER_PORT 0 lets the system choose the port. */
char *platform_fixture_make_settings (const PlatformFixture *fixture,
                                      guint caller_port);

/* Ends the instance, if there is one, and starts another one with the same settings,
   without waiting until it is ready. */
void platform_fixture_start_instance (PlatformFixture *fixture);

/* Ends the instance and starts another one with the same settings; waits until it is
   ready. */
void platform_fixture_restart_instance (PlatformFixture *fixture);

/* Writes the config. KEYS are its API keys: JSON strings, separated by commas. */
void platform_fixture_put_config (PlatformFixture *fixture, guint version,
                                  const char *keys);

/* Writes a config of VERSION with these limits, and waits until it is in force. */
void platform_fixture_set_timeouts (PlatformFixture *fixture, guint version,
                                    guint header_timeout_ms, guint idle_timeout_ms);

/* Writes the entry of a server to the store; STATE is "ready" or "draining". */
void platform_fixture_put_server (PlatformFixture *fixture, guint index,
                                  const char *state);

/* Returns how often all servers together have executed requests for PATH. */
guint platform_fixture_count_runs (PlatformFixture *fixture, const char *path);

/* Returns how many connections all servers together have accepted. */
guint platform_fixture_count_connections (PlatformFixture *fixture);

/* Waits until no server executes a request; returns FALSE on timeout. */
gboolean platform_fixture_wait_until_idle (PlatformFixture *fixture);

typedef struct
{
  guint status;
  char *text;              /* head and body as received, with the chunk framing */
  gboolean closed_by_peer; /* the instance closed or reset the connection */
  gboolean reset;
} RawResponse;

/* Connects to the instance; returns the socket. */
int platform_fixture_connect (PlatformFixture *fixture);

/* Connects to PORT of 127.0.0.1; returns the socket, or -1. */
int caller_connect (guint port);
void caller_send (int fd, const char *text);

/* Sends TEXT; returns FALSE if the connection was reset, so that nothing is sent. */
gboolean caller_try_send (int fd, const char *text);

/* Receives one response, or the bytes up to the end of the connection. The caller
   frees its text. */
RawResponse caller_receive (int fd);

/* Returns a request with a new attempt id and a deadline of 2500 ms; the caller
   frees it. EXTRA_FIELDS are complete header lines, or "". */
char *caller_format_request (const char *method, const char *path,
                             const char *extra_fields, const char *body);

/* Posts a request on the connection FD and receives the response. */
RawResponse caller_post (int fd, const char *path, const char *extra_fields,
                         const char *body);

/* Posts a request on a new connection and receives the response. */
RawResponse platform_fixture_post (PlatformFixture *fixture, const char *path,
                                   const char *extra_fields, const char *body);

/* Returns whether TEXT is a complete response. */
gboolean raw_response_is_complete (const char *text);

/* Checks the status and that the response contains TEXT, unless TEXT is NULL. Frees
   the text of the response. */
void raw_response_check (RawResponse response, guint status, const char *text);

#endif
