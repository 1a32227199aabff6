/*
 * metrics - counters and histograms by class and by organisation
 *
 * The reducer updates the metrics and renders them in the Prometheus text format.
 */
#ifndef HORNBEAMWALL_CORE_METRICS_H
#define HORNBEAMWALL_CORE_METRICS_H

#include "hornbeamwall/common/histogram.h"
#include "hornbeamwall/core/context.h"
#include "hornbeamwall/core/event.h"

typedef struct
{
  HbwHistogram queue_wait;
  HbwHistogram first_token;
  HbwHistogram inter_token;
  HbwHistogram total;
  guint64 arrived;
  guint64 completed;
  guint64 in_target;   /* completed within the first-token and inter-token targets */
  guint64 failed;      /* ended without a complete response; may have run */
  guint64 caller_gone; /* the caller disconnected */
  guint64 refused[HBW_REASON_COUNT];
  guint64 retries;
  guint64 good_tokens;
  guint64 wasted_tokens;
} HbwRequestMetrics;

HbwMetrics *hbw_metrics_create (void);
void hbw_metrics_destroy (HbwMetrics *metrics);

/* Returns the metrics (borrowed) of a class or organisation; creates them on first
   use. */
HbwRequestMetrics *hbw_metrics_for_class (HbwMetrics *metrics, const char *name);
HbwRequestMetrics *hbw_metrics_for_organisation (HbwMetrics *metrics,
                                                 const char *name);

/* Control-plane counters. */
typedef struct
{
  guint64 messages_sent[HBW_MESSAGE_COUNT];
  guint64 messages_received[HBW_MESSAGE_COUNT];
  guint64 messages_dropped[HBW_MESSAGE_COUNT]; /* address of the receiver unknown */
  guint64 store_call_count[HBW_DOCUMENT_COUNT];
  guint64 store_failures[HBW_DOCUMENT_COUNT]; /* calls without a usable response */
  guint64 store_cut_watches[HBW_DOCUMENT_COUNT]; /* that failed after a wait */
  guint64 store_outages[HBW_DOCUMENT_COUNT];     /* that have ended */
  gint64 store_kept_entries[HBW_DOCUMENT_COUNT]; /* missing there, and kept */
  guint64 server_checks[HBW_SERVER_CHECK_COUNT]; /* by result */
  guint64 server_pauses;                         /* that servers asked for */
  guint64 tunnelled_attempts;                    /* sent through other instances */
  guint64 tunnels_opened;                        /* for other instances */
  guint64 stream_questions;                      /* for the versions of streams */
  guint64 permits_asked;       /* for requests to limited servers */
  guint64 permits_given;       /* to any instance, by this one */
  guint64 suspect_store_calls; /* to read and write the suspects */
  guint64 grants_handed_back;  /* returned unused */
  guint64 spilled;             /* sent to another data centre */
  guint64 servers_compared;    /* estimates of one server for one request */
  guint64 usage_requests;      /* that began to run here */
  guint64 usage_windows_frozen;
  guint64 usage_windows_incomplete; /* frozen without the counts of some instances */
  guint64 usage_windows_reported;   /* accepted by the platform */
  guint64 usage_windows_dropped;    /* not reported in time */
  guint64 usage_late_messages;      /* with counts of a window that was frozen */
  guint64 usage_time_steps;
  gint64 usage_reports_waiting; /* frozen, not yet accepted; 0 if another instance
                                   holds the lease */
  HbwCallerMemory caller_memory;
  gint64 servers_ramping; /* that have started or recovered and are limited */
} HbwControlMetrics;

HbwControlMetrics *hbw_metrics_control (HbwMetrics *metrics);

/* Appends the metrics to TEXT in the Prometheus text format, sorted by class and
   organisation. */
void hbw_metrics_render (HbwMetrics *metrics, GString *text);

#endif
