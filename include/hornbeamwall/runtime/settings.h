/*
 * settings - the settings file of one instance
 */
#ifndef HORNBEAMWALL_RUNTIME_SETTINGS_H
#define HORNBEAMWALL_RUNTIME_SETTINGS_H

#include "hornbeamwall/common/error.h"
#include "hornbeamwall/core/directory.h"
#include "hornbeamwall/core/retry_budget.h"

/* Longest token of the administration API, in bytes, with its end mark. */
#define HBW_TOKEN_MAX 128

/* Part of the time to stop in which requests are still taken: a load balancer needs
   a while to send its callers elsewhere. */
#define HBW_STOP_LINGER_PERCENT 35

/* Names of the interfaces. */
#define HBW_INTERFACE_NATIVE "native"
#define HBW_INTERFACE_PLATFORM "platform"

typedef struct
{
  char name[HBW_NAME_MAX];
  char data_centre[HBW_NAME_MAX];
  char caller_address[HBW_ADDRESS_MAX];
  char admin_address[HBW_ADDRESS_MAX];
  char peer_address[HBW_ADDRESS_MAX];
  char platform_address[HBW_ADDRESS_MAX];
  char admin_token_hash[HBW_TOKEN_MAX]; /* SHA-256 in hexadecimal */
  GPtrArray *seeds;                     /* peer addresses; NULL at the end */
  guint connection_limit;
  guint body_max;                      /* bytes of a caller's request */
  guint answer_max;                    /* bytes of a buffered answer */
  guint connect_timeout_ms;            /* to a backend server */
  guint first_byte_timeout_ms;         /* of an answer */
  guint stall_timeout_ms;              /* between two pieces of an answer */
  guint caller_timeout_s;              /* a caller that sends or takes nothing */
  char interface[HBW_NAME_MAX];        /* how callers and servers speak */
  char ready_address[HBW_ADDRESS_MAX]; /* of the load balancer's question; "" none */
  char policy[HBW_NAME_MAX];           /* see policy.h */
  HbwRetryLimits retry_limits;
  gint64 revocation_us;     /* a key that was taken away is refused at latest then */
  gboolean load_in_answers; /* servers tell their load with each answer */
  gint64 stop_grace_us;     /* from the signal to stop until the process is killed */
} HbwSettings;

/* Reads and checks the file at PATH as a whole. */
HbwSettings *hbw_settings_load (const char *path, HbwError *error);

/* Checks TEXT, as hbw_settings_load() does with a file. */
HbwSettings *hbw_settings_parse (const char *text, gsize length, HbwError *error);

void hbw_settings_destroy (HbwSettings *settings);

#endif
