/*
 * replica - a small stand-in for a backend server of the users' platform
 *
 * It speaks HTTP/1.1 on plain sockets, so that it can break every rule of it.  What
 * it does with a request stands in the last part of the path:
 *
 *   ok         200 with the request's method, target and body
 *   events     200 with six events
 *   fail       500 of its own
 *   shed       503, not executed
 *   reset      runs it, then resets the connection
 *   close      runs it, then closes the connection
 *   hang       runs it and never answers
 *   short      announces more bytes than it sends
 *   open       an answer without a length, ended by its connection
 *   torn       an answer without a length, ended by a reset
 *   cut        events that break off in the middle of the third one
 *   mute       the same, but the connection stays open and silent
 *   extra      answers twice
 *   early      answers before it has read the body
 *   noseal     200 that does not bear the server's mark
 *
 * A name with a number, as "reset1", misbehaves so often, at all stand-ins of the
 * process together, and then does "ok", or "events" for "cut" and "mute".
 */
#ifndef HORNBEAMWALL_TESTS_STANDIN_REPLICA_H
#define HORNBEAMWALL_TESTS_STANDIN_REPLICA_H

#include <glib.h>

typedef struct Replica Replica;

/* Listens at ADDRESS as the server ID; port 0 takes any. */
Replica *replica_create (const char *address, const char *id);
void replica_destroy (Replica *replica);
guint replica_port (const Replica *replica);

/* Returns how often a request of PATH (with its query) began to run here. */
guint replica_runs (Replica *replica, const char *path);

/* Returns the sum of it over COUNT stand-ins. */
guint replica_runs_at_all (Replica *const *replicas, guint count, const char *path);

/* Returns how many connections were accepted. */
guint replica_connections (Replica *replica);

/* Returns how many requests are being worked on. */
guint replica_busy (Replica *replica);

/* Returns a copy of the head of the last request, or NULL. */
char *replica_last_head (Replica *replica);

#endif
