/*
 * listen - HTTP listener and socket helpers of the simulated servers
 */
#ifndef HORNBEAMWALL_TESTS_STANDIN_LISTEN_H
#define HORNBEAMWALL_TESTS_STANDIN_LISTEN_H

#include <microhttpd.h>
#include <netinet/in.h>

/* Listens on ADDRESS, an IP address and port (0 selects a free one), with one thread
   per connection.  DATA is passed to HANDLER.  Returns NULL on failure. */
struct MHD_Daemon *standin_listen (const char *address,
                                   MHD_AccessHandlerCallback handler,
                                   MHD_RequestCompletedCallback completed,
                                   void *data);

/* Returns the loopback address with PORT. */
struct sockaddr_in standin_loopback (unsigned port);

/* Returns the port on which DAEMON listens. */
unsigned standin_port (struct MHD_Daemon *daemon);

/* Returns a port that was free at the time of the call. */
unsigned standin_free_port (void);

/* Returns a socket that listens on ADDRESS; waits for its port if it is in use, for
   instance by an outgoing connection. */
int standin_listen_socket (const struct sockaddr_in *address);

#endif
