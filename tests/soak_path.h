/*
 * soak_path - plays of servers of two versions, and of instances that lose all
 * servers
 *
 *   versions   half of the streams break, and instances are killed, while callers
 * take streams up at other instances: none holds events of two versions cut half of
 * the instances lose the path to all servers, twice: by resets, and with old
 * connections that fall silent
 */
#ifndef HORNBEAMWALL_TESTS_SOAK_PATH_H
#define HORNBEAMWALL_TESTS_SOAK_PATH_H

#include "soak_state.h"

/* Last byte of the IP address from which instance 0 connects to servers; the next
   instances have the next ones. */
#define SOAK_SOURCE_MIN 10

/* Sets the servers that the play NAME needs.  Returns FALSE if there is no such
 * play.
 */
gboolean soak_path_prepare (Soak *soak, const char *name);

void soak_path_run (Soak *soak, const char *name, guint32 seed);

#endif
