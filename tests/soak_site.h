/*
 * soak_site - what the soak's operator and servers write to the store, and the
 * settings of its instances
 */
#ifndef HORNBEAMWALL_TESTS_SOAK_SITE_H
#define HORNBEAMWALL_TESTS_SOAK_SITE_H

#include "soak_state.h"

/* Starts the store, SOAK's servers and the duty interface with SEED, and writes the
   first config and the settings of the instances. */
void soak_set_up (Soak *soak, guint32 seed);
void soak_tear_down (Soak *soak);

/* Writes the newest config, again if VERSION was written before. */
void soak_put_config (Soak *soak, guint version);

/* Takes a key away, or gives it back.  The key counts as removed from the
   acknowledgement of the config on. */
void soak_change_key (Soak *soak);

/* Changes the time after which idle connections are closed.  Callers follow it from
   the acknowledgement of the config on. */
void soak_set_idle_timeout (Soak *soak, guint timeout_ms);

void soak_put_server (Soak *soak, guint index, const char *state);

/* Removes the entry of a server, if it has one. */
void soak_remove_server (Soak *soak, guint index);

/* Writes the entries of all servers that are up, and removes those of earlier
   starts, which a store that was restored has again. */
void soak_put_servers (Soak *soak);

/* Removes the entries of servers that crashed, and writes those of servers that have
   started again. */
void soak_update_directory (Soak *soak);

#endif
