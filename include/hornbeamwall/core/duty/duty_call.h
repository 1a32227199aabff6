/*
 * duty_call - calls to the platform that only one instance makes at a time
 *
 * The instance that holds the duty lease makes them, each with its name and its
 * fencing token.
 */
#ifndef HORNBEAMWALL_CORE_DUTY_DUTY_CALL_H
#define HORNBEAMWALL_CORE_DUTY_DUTY_CALL_H

#include "hornbeamwall/core/types.h"

typedef enum
{
  HBW_DUTY_CALL_USAGE, /* reports the usage of one window */
  HBW_DUTY_CALL_ORDER, /* orders backend servers */
  HBW_DUTY_CALL_COUNT,
} HbwDutyCallKind;

/* Usage of one window.  A window has one report, which may be repeated. */
typedef struct
{
  gint64 window;  /* its number */
  GBytes *counts; /* JSON object: organisation -> requests; sent byte for byte */
} HbwUsageReport;

/* Size of the platform's own name of a service, in bytes, including the terminating
   NUL. */
#define HBW_SERVICE_NAME_MAX 256

/* Number of backend servers of one kind that a service shall have in a data centre.
 */
typedef struct
{
  char service[HBW_SERVICE_NAME_MAX]; /* as the platform spells it */
  char data_centre[HBW_NAME_MAX];
  guint desired;
  gboolean reclaimable; /* servers that the platform may take back */
} HbwServerOrder;

typedef struct
{
  HbwDutyCallKind kind;
  guint64 id; /* chosen by the task, never reused by it */
  union
  {
    HbwUsageReport usage; /* owned reference */
    HbwServerOrder order;
  };
} HbwDutyCall;

typedef enum
{
  HBW_DUTY_ACCEPTED,
  HBW_DUTY_UNAVAILABLE,  /* the platform has no such servers there now */
  HBW_DUTY_RATE_LIMITED, /* not executed */
  HBW_DUTY_NOT_SENT,     /* the lease was about to end, or no connection */
  HBW_DUTY_UNKNOWN,      /* sent, but no response came */
  HBW_DUTY_REJECTED,     /* any other response */
  HBW_DUTY_OUTCOME_COUNT,
} HbwDutyOutcome;

typedef struct
{
  HbwDutyCallKind kind;
  guint64 id;
  HbwDutyOutcome outcome;
} HbwDutyResult;

/* Copies SOURCE into TARGET, which takes a reference to the counts of a report. */
void hbw_duty_call_copy (HbwDutyCall *target, const HbwDutyCall *source);

/* Releases the reference that CALL holds. */
void hbw_duty_call_clear (HbwDutyCall *call);

const char *hbw_duty_call_kind_name (HbwDutyCallKind kind);
const char *hbw_duty_outcome_name (HbwDutyOutcome outcome);

#endif
