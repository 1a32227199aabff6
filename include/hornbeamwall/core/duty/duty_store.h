/*
 * duty_store - calls to the platform's store for the object with the duty lease
 */
#ifndef HORNBEAMWALL_CORE_DUTY_DUTY_STORE_H
#define HORNBEAMWALL_CORE_DUTY_DUTY_STORE_H

#include "hornbeamwall/core/types.h"

typedef enum
{
  HBW_DUTY_STORE_READ,
  HBW_DUTY_STORE_READ_STALE, /* costs less, and may return an older revision */
  HBW_DUTY_STORE_WRITE,
} HbwDutyStoreCallKind;

typedef struct
{
  HbwDutyStoreCallKind kind;
  gint64 base_revision; /* WRITE: that is replaced; 0 creates the object */
  GBytes *body;         /* WRITE: the record, a JSON object; owned */
} HbwDutyStoreCall;

typedef enum
{
  HBW_DUTY_STORE_OK,       /* READ: it exists; WRITE: it was written */
  HBW_DUTY_STORE_ABSENT,   /* the object does not exist */
  HBW_DUTY_STORE_CONFLICT, /* WRITE: another revision is the current one */
  HBW_DUTY_STORE_UNKNOWN,  /* WRITE: it may or may not have been written, or may be
                              written later */
  HBW_DUTY_STORE_FAILED,   /* nothing was changed */
} HbwDutyStoreOutcome;

typedef struct
{
  HbwDutyStoreCallKind kind;
  HbwDutyStoreOutcome outcome;
  gint64 revision; /* OK, and CONFLICT if body is not NULL */
  gint64 era;      /* of the store, see core/store_era.h; 0 if it sent none */
  GBytes *body;    /* READ and CONFLICT: the record as it is; may be NULL */
} HbwDutyStoreResult;

#endif
