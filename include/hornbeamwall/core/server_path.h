/*
 * server_path - whether this instance can reach backend servers, and the way round
 *
 * An instance can lose the path to all servers while other instances reach them.  If
 * connections to several servers fail, or several servers are silent at once, the
 * path is doubtful until one of the servers that are then checked accepts a
 * connection.  Meanwhile requests go through a tunnel: a connection to another
 * instance, which connects it with the server.
 *
 * The servers may have failed instead.  The path is lost only once a server has
 * answered through a tunnel and accepts no connection from this instance after that.
 * What happens to the attempts of an instance whose path is lost is no evidence
 * against a server.
 *
 * Connections may be accepted on a path that carries no answers.  If the doubt is
 * due to silence, and a server accepts a connection, the path is silent: requests go
 * through tunnels, one a second that may be sent again tries the path, and the first
 * bytes from a server on a direct connection end it.  The servers may be silent
 * instead, so that all failures count as ever, and none is withdrawn.  Answers
 * through tunnels decide nothing then.
 */
#ifndef HORNBEAMWALL_CORE_SERVER_PATH_H
#define HORNBEAMWALL_CORE_SERVER_PATH_H

#include "hornbeamwall/common/clock.h"
#include "hornbeamwall/core/context.h"
#include "hornbeamwall/core/event.h"
#include "hornbeamwall/core/topology.h"

/* Requests at two servers, at once or in turn, without any byte from a server
   for this long make the path doubtful. */
#define HBW_PATH_SILENT_US (500 * HBW_US_PER_MS)

typedef enum
{
  HBW_PATH_DIRECT,
  HBW_PATH_DOUBTFUL,
  HBW_PATH_SILENT,
  HBW_PATH_LOST,
} HbwPathState;

/* The way of one attempt. */
typedef struct
{
  guint64 peer;                  /* instance at the end of the tunnel; 0: direct */
  char address[HBW_ADDRESS_MAX]; /* where it accepts tunnels */
  gint64 opened_since_us; /* older connections to the server must not be used */
} HbwPathChoice;

HbwServerPath *hbw_server_path_create (void);
void hbw_server_path_destroy (HbwServerPath *path);

HbwPathState hbw_server_path_state (const HbwServerPath *path);

/* Handles that a server has sent bytes on a direct connection. */
void hbw_server_path_handle_heard (HbwServerPath *path, gint64 now_us);

/* Handles that no direct connection to SERVER could be opened. */
void hbw_server_path_handle_unconnected (HbwServerPath *path, HbwContext *context,
                                         const char *server);

/* Handles that a request has waited for SERVER, on a direct connection, for
   HBW_PATH_SILENT_US. */
void hbw_server_path_handle_silent (HbwServerPath *path, HbwContext *context,
                                    const char *server);

void hbw_server_path_handle_check (HbwServerPath *path, HbwContext *context,
                                   const HbwServerCheckResult *result);

/* Handles that SERVER, at ADDRESS, has answered through a tunnel of PEER. */
void hbw_server_path_handle_tunnel (HbwServerPath *path, HbwContext *context,
                                    guint64 peer, const char *server,
                                    const char *address);

/* Handles that PEER has not opened a tunnel. */
void hbw_server_path_handle_no_tunnel (HbwServerPath *path, guint64 peer,
                                       gint64 now_us);

/* Requests the checks that are due of servers in TOPOLOGY, or NULL. */
void hbw_server_path_tick (HbwServerPath *path, HbwContext *context,
                           const HbwTopology *topology);

/* Chooses the way of the next attempt, which ends after SILENCE_US without a byte,
   so that the request can be sent again; 0: it may not.  UNEXECUTED attempts of it
   were not sent. */
void hbw_server_path_choose (HbwServerPath *path, HbwContext *context,
                             gint64 silence_us, guint unexecuted,
                             HbwPathChoice *choice);

/* Returns whether requests can reach servers, by whatever way. */
gboolean hbw_server_path_is_usable (const HbwServerPath *path, gint64 now_us);

/* Returns the time from which on failures may be due to the path; meaningful unless
   it is direct. */
gint64 hbw_server_path_doubted_us (const HbwServerPath *path);

#endif
