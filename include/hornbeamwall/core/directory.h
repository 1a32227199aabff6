/*
 * directory - the platform's lists of backend servers and instances, and the
 * declared planned stops
 *
 * Each is an immutable value parsed from one platform document.  The lists lag
 * behind the truth; nothing is inferred from an entry that is missing except
 * that it gets no new work.
 */
#ifndef HORNBEAMWALL_CORE_DIRECTORY_H
#define HORNBEAMWALL_CORE_DIRECTORY_H

#include "hornbeamwall/common/error.h"
#include "hornbeamwall/core/types.h"

/* Longest address with its port, in bytes, with its end mark. */
#define HBW_ADDRESS_MAX 64

typedef struct
{
  char id[HBW_NAME_MAX];
  char pool[HBW_NAME_MAX];
  char data_centre[HBW_NAME_MAX];
  char address[HBW_ADDRESS_MAX]; /* IP number and port of its HTTP interface */
  guint slots;                   /* requests it can run at once, as reported */
  gboolean leaving;
  gboolean lapsed; /* gone from the list, but perhaps only for want of renewal */
  guint64 start;   /* another number after each restart */
} HbwServerEntry;

typedef struct
{
  char name[HBW_NAME_MAX];
  char data_centre[HBW_NAME_MAX];
  char address[HBW_ADDRESS_MAX]; /* IP number and port for peer messages */
} HbwInstanceEntry;

/* Parses {"servers": [...]} into a GPtrArray of HbwServerEntry, or NULL. */
GPtrArray *hbw_directory_parse_servers (const char *text, gsize length,
                                        HbwError *error);

/* Parses {"instances": [...]} into a GPtrArray of HbwInstanceEntry, or NULL. */
GPtrArray *hbw_directory_parse_instances (const char *text, gsize length,
                                          HbwError *error);

/* Parses {"stops": [names]} into a set of server and instance names, or NULL. */
GHashTable *hbw_directory_parse_stops (const char *text, gsize length,
                                       HbwError *error);

#endif
