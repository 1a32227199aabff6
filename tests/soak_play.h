/*
 * soak_play - plays of one kind of trouble each, of real processes
 *
 *   idle-stop    whole requests on idle connections wait to be read at an instance
 *                that is stopped over the end of the idle timeout
 *   idle-edge    the same requests around the end of the idle timeout
 *   idle-lower   a config shortens the idle timeout meanwhile
 *   idle-raise   a config lengthens it meanwhile
 *   idle-terminate  the instance gets two SIGTERMs while requests are in progress
 *   part-*       requests with a part of a prompt that crashes servers
 * (soak_part.h): "first", "second", "unsafe", "silent", "close", "open" (answers
 * with neither a length nor chunks), "same" (servers keep their ids), "killed" (an
 * instance every 3 s), "config" (a change every 4 s) open-request one request that
 * crashes each server within such an answer
 *   versions, cut   see soak_path.h
 *   usage   see soak_duty.h
 *   drain   see soak_drain.h
 */
#ifndef HORNBEAMWALL_TESTS_SOAK_PLAY_H
#define HORNBEAMWALL_TESTS_SOAK_PLAY_H

#include "soak_state.h"

/* Sets the servers and the like that the play NAME needs.  Returns FALSE if there is
   no such play. */
gboolean soak_play_prepare (Soak *soak, const char *name);

/* Runs the play NAME. */
void soak_play_run (Soak *soak, const char *name, guint32 seed);

#endif
