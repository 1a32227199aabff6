/*
 * codec_fields - packs and unpacks the fields of each kind of peer message
 *
 * Private to the codec.
 */
#ifndef HORNBEAMWALL_NET_CODEC_FIELDS_H
#define HORNBEAMWALL_NET_CODEC_FIELDS_H

#include "hornbeamwall/core/message.h"

#include <msgpack.h>

/* Reads the fields of one array in order; FAILED stays set after an error. */
typedef struct
{
  const msgpack_object *items;
  guint count;
  guint next;
  gboolean failed;
} HbwFields;

/* Packs MESSAGE as an array of its kind and its fields. */
void hbw_fields_pack (msgpack_packer *packer, const HbwMessage *message);

/* Unpack the next field: an unsigned integer of at most MAX, or an array of at most
   MAX items.  Any other field sets FAILED. */
guint64 hbw_fields_take_uint (HbwFields *reader, guint64 max);
HbwFields hbw_fields_take_array (HbwFields *reader, guint max);

/* Unpacks the fields of MESSAGE, whose kind must be set. */
void hbw_fields_take (HbwFields *reader, HbwMessage *message);

#endif
