/*
 * replica - simulated backend server of the users' platform (interface "platform" in
 * the settings)
 *
 * It implements HTTP/1.1 on plain sockets, so that it can violate the protocol.  The
 * last segment of the path selects the response:
 *
 *   ok         200 with the request's method, target and body
 *   nobody     204 without a length
 *   large      200 with a body of REPLICA_LARGE_BYTES
 *   sink       200 without a body; the request's body is not kept
 *   events     200 with a stream of six events
 *   fail       500 from the server itself
 *   shed       503, not executed
 *   reset      executes the request, then resets the connection
 *   close      executes the request, then closes the connection
 *   hang       executes the request and never responds
 *   short      Content-Length larger than the body sent
 *   open       response without a length, ended by closing the connection
 *   torn       response without a length, ended by a reset
 *   cut        stream that ends in the middle of the third event
 *   cutbody    as "cut"; then, for a stream that goes on, as "ok"
 *   cutempty   the same, but then a stream without events
 *   mute       as "cut", but the connection stays open without data
 *   dribble    as "mute", but a byte follows now and then
 *   pause      as "events", with a pause of REPLICA_PAUSE_US after the second event
 *              of a stream that begins with the first one
 *   extra      responds twice
 *   early      responds before it has read the body
 *   crash      executes the request, then the server fails: it resets all
 *              connections, and accepts new ones after REPLICA_OUTAGE_US
 *   silent     the same, but the connections stay open until then
 *   openok     as "ok", without a length, ended by closing the connection
 *   openevents as "events", without chunks, ended by closing the connection
 *   openpause  the same, with a pause of REPLICA_PAUSE_US after the second event
 *   opencrash  begins "openok", then the server fails: it closes all connections
 *              without a reset
 *   opencut    the same after two events of "openevents"
 *   openlast   "openpause", then the same
 *   flood      bytes that are no response, until the connection is closed
 *   headflood  the same, as header fields without end
 *   bodyflood  the same, as a body without end and without the server's mark
 *   noseal     200 without the header field that marks a server's own response
 *   canned     what the responder of replica_set_responder() sends
 *   earlycanned   the same, before it has read the body
 *   halfcanned    the same after half of the body; then it ends the connection
 *   cutcanned     as "cut"; then, for a stream that goes on, as "canned"
 *
 * A number after the name, as in "reset1", limits how many requests fail in this
 * way, counted over all replicas of the process.  Later requests are handled as
 * "ok", or as "events" for "cut", "opencut", "mute" and "dribble".
 */
#ifndef HORNBEAMWALL_TESTS_STANDIN_REPLICA_H
#define HORNBEAMWALL_TESTS_STANDIN_REPLICA_H

#include <glib.h>

/* How long a replica that crashed refuses connections, in microseconds. */
#define REPLICA_OUTAGE_US (1500 * 1000)

/* How long a stream "pause" pauses, in microseconds. */
#define REPLICA_PAUSE_US (1000 * 1000)

/* More than the buffers of a connection hold. */
#define REPLICA_LARGE_BYTES ((gsize) 7 * 1024 * 1024)

typedef struct Replica Replica;

/* Listens on ADDRESS as the server ID; port 0 selects a free port. */
Replica *replica_create (const char *address, const char *id);
void replica_destroy (Replica *replica);
guint replica_port (const Replica *replica);

/* Sets complete header lines for all further responses, or "". */
void replica_set_fields (Replica *replica, const char *fields);

/* Sends responses in place of a replica.  Created by g_rc_box_new0(). */
typedef struct ReplicaResponder ReplicaResponder;

typedef struct
{
  /* Sends the response to the request ATTEMPT_ID on the socket FD.  Returns whether
     the connection is kept open. */
  gboolean (*respond) (const ReplicaResponder *responder, int fd,
                       const char *attempt_id);
  void (*clear) (ReplicaResponder *responder);
} ReplicaResponderClass;

struct ReplicaResponder
{
  const ReplicaResponderClass *class;
};

/* Sets what sends the response of the behaviour "canned", and takes over the
   reference. */
void replica_set_responder (Replica *replica, ReplicaResponder *responder);

/* Turns further requests away, not executed, with 503 and the header lines of
   replica_set_fields(). */
void replica_set_refusing (Replica *replica, gboolean refusing);

/* What a replica sends before its response to the next request on the connection, as
   a faulty one does: its last response once more, or bytes that belong to no request
   (REPLICA_ADDS_*: a response that says nothing but its status, three times). */
typedef enum
{
  REPLICA_REPEATS_NOTHING,
  REPLICA_REPEATS_REFUSALS,
  REPLICA_REPEATS_REFUSALS_WITHOUT_ID,
  REPLICA_ADDS_FAILURES,
  REPLICA_ADDS_UNBACKED_REFUSALS,
} ReplicaRepetition;
void replica_set_repetition (Replica *replica, ReplicaRepetition repetition);

/* Returns how often that happened. */
guint replica_repetition_count (Replica *replica);

/* Sets how long a crash lasts, REPLICA_OUTAGE_US at first, and whether the replica
   has a new id afterwards. */
void replica_set_outage (Replica *replica, gint64 outage_us, gboolean renames);

/* Returns the id of the replica; the caller frees it. */
char *replica_copy_id (Replica *replica);

/* Executes each request for DURATION_US before it answers. */
void replica_set_work (Replica *replica, gint64 duration_us);

/* Neither accepts connections, nor receives or sends anything, for DURATION_US. */
void replica_fall_silent (Replica *replica, gint64 duration_us);

/* Returns how many requests came, executed or not. */
guint replica_received_count (Replica *replica);

/* Returns how many times a request for PATH, including its query, was executed. */
guint replica_run_count (Replica *replica, const char *path);

/* Returns how many requests were executed. */
guint replica_request_count (Replica *replica);

/* Returns the sum of replica_run_count() over COUNT replicas. */
guint replica_total_run_count (Replica *const *replicas, guint count,
                               const char *path);

/* Returns the number of connections accepted so far. */
guint replica_connection_count (Replica *replica);

/* Returns the number of connections that the peer has reset. */
guint replica_reset_count (Replica *replica);

/* Returns how many times the replica crashed. */
guint replica_crash_count (Replica *replica);

/* Returns how many of these crashes closed the connections without a reset. */
guint replica_closing_crash_count (Replica *replica);

/* Returns whether the replica accepts connections. */
gboolean replica_is_up (Replica *replica);

/* Returns the number of requests in progress. */
guint replica_active_requests (Replica *replica);

/* Returns a copy of the request line and header fields of the last request, or NULL.
   The caller frees it. */
char *replica_last_request_head (Replica *replica);

#endif
