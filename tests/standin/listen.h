/*
 * listen - the listener that all stand-ins share
 */
#ifndef HORNBEAMWALL_TESTS_STANDIN_LISTEN_H
#define HORNBEAMWALL_TESTS_STANDIN_LISTEN_H

#include <microhttpd.h>
#include <netinet/in.h>

/* Listens at ADDRESS, an IP number and port (0 takes any), with a thread for each
   connection; DATA goes to HANDLER.  Returns NULL where it cannot. */
struct MHD_Daemon *standin_listen (const char *address,
                                   MHD_AccessHandlerCallback handler,
                                   MHD_RequestCompletedCallback completed,
                                   void *data);

/* Returns the address of PORT on this machine. */
struct sockaddr_in standin_loopback (unsigned port);

/* Returns the port that was bound. */
unsigned standin_port (struct MHD_Daemon *daemon);

/* Returns a port that nobody listened at a moment ago. */
unsigned standin_free_port (void);

#endif
