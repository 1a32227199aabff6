/*
 * duty_record - the object with the duty lease in the platform's store
 */
#ifndef HORNBEAMWALL_CORE_DUTY_DUTY_RECORD_H
#define HORNBEAMWALL_CORE_DUTY_DUTY_RECORD_H

#include "hornbeamwall/core/types.h"

#include <jansson.h>

/* Values of HbwDutyRecord.holder that are not instances. */
#define HBW_DUTY_HOLDER_NONE 0 /* the lease was released */
#define HBW_DUTY_HOLDER_UNKNOWN                                                     \
  G_MAXUINT64 /* the object is absent or unreadable                                 \
               */

/* Largest token and sequence number: every JSON parser reads them exactly. */
#define HBW_DUTY_NUMBER_MAX ((G_GUINT64_CONSTANT (1) << 53) - 1)

typedef struct
{
  guint64 holder;          /* identity */
  char name[HBW_NAME_MAX]; /* of the instance that wrote it */
  guint64 fencing_token;
  guint64 sequence; /* rises with each write */
  json_t *tasks;    /* object: state of each task by name; owned, may be NULL */
} HbwDutyRecord;

/* Sets RECORD, which must be cleared or zero, to what BODY says.  A body that is no
   such record has an unknown holder, a number that is not valid is 0. */
void hbw_duty_record_parse (HbwDutyRecord *record, GBytes *body);

/* Returns RECORD as JSON text. */
GBytes *hbw_duty_record_format (const HbwDutyRecord *record);

/* Copies SOURCE into TARGET, which takes a reference to the tasks. */
void hbw_duty_record_copy (HbwDutyRecord *target, const HbwDutyRecord *source);

/* Releases the tasks. */
void hbw_duty_record_clear (HbwDutyRecord *record);

#endif
