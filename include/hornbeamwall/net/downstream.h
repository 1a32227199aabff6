/*
 * downstream - one caller's connection
 *
 * It reads requests one after another and hands each to an exchange; while one is
 * being answered it only watches for the caller to go away.
 */
#ifndef HORNBEAMWALL_NET_DOWNSTREAM_H
#define HORNBEAMWALL_NET_DOWNSTREAM_H

#include "hornbeamwall/net/parser.h"
#include "hornbeamwall/net/traffic_state.h"

/* Bytes that wait for a slow caller before the server's answer is read on. */
#define HBW_DOWNSTREAM_PENDING_MAX ((gsize) 256 * 1024)

/* Serves the connected socket FD of a caller. */
void hbw_downstream_adopt (HbwTraffic *traffic, int fd);

/* Closes the connection at once, with no end to an answer in progress. */
void hbw_downstream_abort (HbwDownstream *downstream);

/* Closes all connections at once. */
void hbw_downstream_abort_all (HbwTraffic *traffic);

/* Begins an answer: its status and fields (each line ended by CRLF).  LENGTH of -1
   stands for a body of unknown length. */
void hbw_downstream_begin (HbwDownstream *downstream, guint status,
                           const char *fields, gint64 length);

void hbw_downstream_write (HbwDownstream *downstream, const guint8 *bytes,
                           gsize length);

/* Ends the answer as complete and goes on to the caller's next request. */
void hbw_downstream_end (HbwDownstream *downstream);

/* Returns whether so much waits to be sent that the server should wait. */
gboolean hbw_downstream_is_full (const HbwDownstream *downstream);

#endif
