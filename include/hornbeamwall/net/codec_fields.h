/*
 * codec_fields - packs and unpacks the fields of each kind of peer message
 *
 * Private to the codec.
 */
#ifndef HORNBEAMWALL_NET_CODEC_FIELDS_H
#define HORNBEAMWALL_NET_CODEC_FIELDS_H

#include "hornbeamwall/core/message.h"

#include <msgpack.h>

/* Largest numbers in a message, which a receiver accepts: free slots of a shard, and
   requests and prompt tokens on a server. */
#define HBW_FREE_SLOTS_MAX ((guint) G_MAXUINT16)
#define HBW_LOAD_REQUESTS_MAX ((guint) G_MAXUINT16)
#define HBW_LOAD_TOKENS_MAX ((guint) G_MAXINT32)

/* Reads the fields of one array in order; FAILED stays set after an error. */
typedef struct
{
  const msgpack_object *items;
  guint count;
  guint next;
  gboolean failed;
} HbwFieldReader;

/* What a report of a suspect says to earlier versions, which read a change instead
   of the list of failures. */
typedef enum
{
  HBW_LEGACY_SUSPICION_FAILED,  /* another server failed */
  HBW_LEGACY_SUSPICION_CLEARED, /* the request completed */
  HBW_LEGACY_SUSPICION_ENDED,   /* it ended without another attempt */
  HBW_LEGACY_SUSPICION_COUNT,
} HbwLegacySuspicion;

/* Packs MESSAGE as an array of its kind and its fields. */
void hbw_message_pack (msgpack_packer *packer, const HbwMessage *message);

/* Unpack the next field: an unsigned integer of at most MAX, or an array of at most
   MAX items.  Any other field sets FAILED. */
guint64 hbw_field_reader_unpack_uint (HbwFieldReader *reader, guint64 max);
HbwFieldReader hbw_field_reader_unpack_array (HbwFieldReader *reader, guint max);

/* Unpacks the fields of MESSAGE, whose kind must be set. */
void hbw_message_unpack (HbwFieldReader *reader, HbwMessage *message);

#endif
