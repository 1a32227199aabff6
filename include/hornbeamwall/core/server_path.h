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
 */
#ifndef HORNBEAMWALL_CORE_SERVER_PATH_H
#define HORNBEAMWALL_CORE_SERVER_PATH_H

#include "hornbeamwall/common/clock.h"
#include "hornbeamwall/core/context.h"
#include "hornbeamwall/core/event.h"
#include "hornbeamwall/core/topology.h"

/* Requests at several servers without any byte from a server for this long make the
   path doubtful. */
#define HBW_PATH_SILENT_US (500 * HBW_US_PER_MS)

/* Servers whose failures or silence make it doubtful. */
#define HBW_PATH_SERVERS_MIN 2

typedef enum
{
  HBW_PATH_DIRECT,
  HBW_PATH_DOUBTFUL,
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

/* Handles that requests have been in progress on COUNT servers for
   HBW_PATH_SILENT_US. */
void hbw_server_path_handle_waiting (HbwServerPath *path, HbwContext *context,
                                     guint count);

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

/* Chooses the way of the next attempt. */
void hbw_server_path_choose (HbwServerPath *path, HbwContext *context,
                             HbwPathChoice *choice);

/* Returns whether requests can reach servers, by whatever way. */
gboolean hbw_server_path_is_usable (const HbwServerPath *path, gint64 now_us);

/* Returns the time from which on failures may be due to the path; meaningful unless
   it is direct. */
gint64 hbw_server_path_doubted_us (const HbwServerPath *path);

#endif
