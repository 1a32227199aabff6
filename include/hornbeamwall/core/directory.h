/*
 * directory - lists of backend servers, instances and planned stops
 *
 * Each list is parsed from one platform document.  The lists may be out of date, so
 * a missing entry only means that the server gets no new work.
 */
#ifndef HORNBEAMWALL_CORE_DIRECTORY_H
#define HORNBEAMWALL_CORE_DIRECTORY_H

#include "hornbeamwall/common/error.h"
#include "hornbeamwall/core/types.h"

/* Size of an address with its port, in bytes, including the terminating NUL. */
#define HBW_ADDRESS_MAX 64

/* Size of the version of a server's software, in bytes, including the terminating
   NUL. */
#define HBW_VERSION_MAX 32

typedef struct
{
  char id[HBW_NAME_MAX];
  char pool[HBW_NAME_MAX];
  char data_centre[HBW_NAME_MAX];
  char address[HBW_ADDRESS_MAX]; /* IP address and port of its HTTP interface */
  guint slots;                   /* reported number of concurrent requests */
  char version[HBW_VERSION_MAX]; /* of its software; "" if unknown */
  guint64 version_hash; /* of the pool and the version; 0 if that is unknown */
  gboolean leaving;
  gboolean expired;     /* its entry was not renewed; it may still be running */
  guint64 start_number; /* changes with each restart */
  gboolean reclaimable; /* the platform may take it back at short notice */
  gint64 leaves_in_us;  /* until it leaves, when the entry was written; 0: unknown */
} HbwServerEntry;

typedef struct
{
  char name[HBW_NAME_MAX];
  char data_centre[HBW_NAME_MAX];
  char address[HBW_ADDRESS_MAX]; /* IP address and port for peer messages */
} HbwInstanceEntry;

/* Parses {"servers": [...]}.  Returns a new GPtrArray of HbwServerEntry, or NULL. */
GPtrArray *hbw_directory_parse_servers (const char *text, gsize length,
                                        HbwError *error);

/* Parses {"instances": [...]}.  Returns a new GPtrArray of HbwInstanceEntry, or
   NULL. */
GPtrArray *hbw_directory_parse_instances (const char *text, gsize length,
                                          HbwError *error);

/* Parses {"stops": [names]}.  Returns a new set of server and instance names, or
   NULL. */
GHashTable *hbw_directory_parse_stops (const char *text, gsize length,
                                       HbwError *error);

#endif
