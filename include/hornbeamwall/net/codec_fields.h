/*
 * codec_fields - the fields of each kind of peer message, for the codec alone
 */
#ifndef HORNBEAMWALL_NET_CODEC_FIELDS_H
#define HORNBEAMWALL_NET_CODEC_FIELDS_H

#include "hornbeamwall/core/message.h"

#include <msgpack.h>

/* Reads the fields of one array in order; every error sticks. */
typedef struct
{
  const msgpack_object *items;
  guint count;
  guint next;
  gboolean failed;
} HbwFields;

/* Writes MESSAGE as an array of its kind and fields. */
void hbw_fields_pack (msgpack_packer *packer, const HbwMessage *message);

/* Take the next field, or mark FIELDS as failed where it is not one of at most MAX.
 */
guint64 hbw_fields_take_uint (HbwFields *fields, guint64 max);
HbwFields hbw_fields_take_array (HbwFields *fields, guint max);

/* Takes the fields of a message whose kind is set. */
void hbw_fields_take (HbwFields *fields, HbwMessage *message);

#endif
