/*
 * settings - reads and validates the settings file of an instance
 */
#ifndef HORNBEAMWALL_RUNTIME_SETTINGS_H
#define HORNBEAMWALL_RUNTIME_SETTINGS_H

#include "hornbeamwall/common/error.h"
#include "hornbeamwall/core/directory.h"
#include "hornbeamwall/core/retry_budget.h"

/* Buffer size for the hash of the administration token, in bytes with the
   terminating NUL. */
#define HBW_ADMIN_TOKEN_HASH_MAX 128

/* Percentage of the stop grace period during which new requests are still accepted,
   because a load balancer needs time to redirect its callers. */
#define HBW_STOP_ACCEPTING_PERCENT 35

/* Percentage of the stop grace period after which requests that wait for a server
   are refused: their callers have time to go elsewhere. */
#define HBW_STOP_WAITING_PERCENT 75

/* Values of HbwSettings.interface. */
#define HBW_INTERFACE_NATIVE "native"
#define HBW_INTERFACE_PLATFORM "platform"

/* One part in this many of the memory of the machine holds what callers send and
   receive; the rest is for the state of the process and for the system. */
#define HBW_MEMORY_SHARE_DIVISOR 3

typedef struct
{
  char name[HBW_NAME_MAX];
  char data_centre[HBW_NAME_MAX];
  char caller_address[HBW_ADDRESS_MAX];
  char admin_address[HBW_ADDRESS_MAX];
  char peer_address[HBW_ADDRESS_MAX];
  char platform_address[HBW_ADDRESS_MAX];
  char admin_token_hash[HBW_ADMIN_TOKEN_HASH_MAX]; /* SHA-256 in hexadecimal */
  GPtrArray *seeds;                     /* peer addresses; NULL-terminated */
  guint connection_limit;               /* connections of callers */
  guint request_body_max;               /* request body of a caller, in bytes */
  guint buffered_response_max;          /* buffered response, in bytes */
  guint connect_timeout_ms;             /* connecting to a backend server */
  guint first_byte_timeout_ms;          /* until the first byte of a response */
  guint stall_timeout_ms;               /* between two reads of a response */
  guint caller_timeout_s;               /* caller that neither sends nor receives */
  char interface[HBW_NAME_MAX];         /* protocol of callers and servers */
  char ready_address[HBW_ADDRESS_MAX];  /* readiness checks; "" is none */
  char tunnel_address[HBW_ADDRESS_MAX]; /* where other instances ask for a way to
                                           servers; "" is none */
  char source_address[HBW_ADDRESS_MAX]; /* IP address of connections to servers; ""
                                           is any */
  char policy[HBW_NAME_MAX];            /* see policy.h */
  HbwRetryLimits retry_limits;
  gint64 max_revocation_delay_us; /* until a revoked key is refused; 0 is no bound */
  gboolean load_in_responses;     /* servers report their load in each response */
  gboolean
      ramps_servers; /* servers that start or recover get their load step by step */
  guint link_mbps;   /* bandwidth of the machine, in Mbit/s; 0: not known */
  guint processor_percent;    /* of one core that it may use; 0: not known */
  gsize memory_bytes;         /* of the machine, for this process; 0: no limit */
  gint64 server_heartbeat_us; /* interval at which servers renew their entries */
  gint64 stop_grace_us;       /* from the stop signal until the process is killed */
  char duty_address[HBW_ADDRESS_MAX]; /* of the duty interface; "" is none */
  gboolean reports_usage;             /* duty "metering" */
  gboolean orders_servers;            /* duty "autoscale" */
  double duty_calls_per_s; /* to the duty interface, from the fleet; 0: no limit */
  gint64 duty_lease_us;
  gint64 usage_window_us;
  double usage_tolerance; /* of a count, as a part of it */
  gint64 usage_late_us;   /* from the end of a window until its report is due */
} HbwSettings;

/* Reads and validates the file at PATH.  If it is not valid, returns NULL and sets
   ERROR to a report of all errors that were found. */
HbwSettings *hbw_settings_load (const char *path, HbwError *error);

/* Parses and validates TEXT as hbw_settings_load() does with a file. */
HbwSettings *hbw_settings_parse (const char *text, gsize length, HbwError *error);

void hbw_settings_destroy (HbwSettings *settings);

#endif
