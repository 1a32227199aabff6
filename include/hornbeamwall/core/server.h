/*
 * server - what the owner of a shard knows of one backend server
 *
 * The concurrency limit starts from the reported slots and follows measured
 * inter-token times by additive increase and multiplicative decrease.  A server
 * that fails gets nothing until a single probe has passed; the wait before each
 * probe doubles.
 */
#ifndef HORNBEAMWALL_CORE_SERVER_H
#define HORNBEAMWALL_CORE_SERVER_H

#include "hornbeamwall/core/event.h"
#include "hornbeamwall/core/prompt_cache.h"

/* Prompt prefixes that are remembered for each server. */
#define HBW_SERVER_PREFIXES 128

typedef enum
{
  HBW_SERVER_UP,
  HBW_SERVER_DOWN,    /* no work before probe_at_us, then one probe */
  HBW_SERVER_PROBING, /* one request is under way to find out */
} HbwServerState;

typedef struct
{
  HbwServerEntry entry;
  guint64 hash; /* of its id */
  HbwServerState state;
  gboolean stopping; /* planned stop or leaving: no new work */
  gboolean straggler;
  double straggler_limit; /* for requests whose target it is too slow for */
  double limit;           /* requests in progress */
  guint in_progress;
  guint suspects; /* suspect requests in progress */
  guint failures; /* in a row */
  gint64 probe_at_us;
  gint64 lowered_at_us;  /* last multiplicative decrease */
  double first_token_us; /* moving averages; 0 is nothing measured */
  double inter_token_us;
  guint reported_running;
  guint reported_waiting;
  gint64 reported_at_us;
  gint64 polled_at_us; /* last time a report was asked for */
  guint granted_since_report;
  guint others;        /* requests of other instances, by the last report */
  guint unread_tokens; /* of the prompts that were sent here */
  double failing;      /* part of the answers that were failures, moving average */
  guint64 prefixes[HBW_SERVER_PREFIXES];
  guint next_prefix;
  HbwPromptCache *prompts; /* what it has read lately */
} HbwServer;

HbwServer *hbw_server_create (const HbwServerEntry *entry);
void hbw_server_destroy (HbwServer *server);

/* Takes over what the platform's list says now; a new start number is another
   server, of which nothing is known. */
void hbw_server_update (HbwServer *server, const HbwServerEntry *entry);

/* Returns whether it stays, and is not taken for failed. */
gboolean hbw_server_is_usable (const HbwServer *server);

/* Returns whether a request of SPEC fits now; with OVERCOMMIT the limit may be
   exceeded by HBW_SERVER_OVERCOMMIT_PERCENT, or by less where the measured
   inter-token time leaves less room below the request's target. */
gboolean hbw_server_has_room (const HbwServer *server, const HbwRequestSpec *spec,
                              gboolean overcommit, gint64 now_us);
#define HBW_SERVER_OVERCOMMIT_PERCENT 20

/* Notes that a request of SPEC was granted. */
void hbw_server_begin (HbwServer *server, const HbwRequestSpec *spec);

/* Notes that an attempt ended as DONE says; INTER_TOKEN_TARGET_US is its class's. */
void hbw_server_end (HbwServer *server, const HbwDone *done,
                     gint64 inter_token_target_us, gint64 now_us);

/* Lowers the limit where a recent report shows requests waiting inside.  A server
   that is down and due for a probe has passed it by answering. */
void hbw_server_report (HbwServer *server, const HbwLoadReport *load, gint64 now_us);

/* Caps a server that is slower than MEDIAN_US between tokens by the ratio, for those
   requests whose inter-token target it does not meet.  Returns whether its standing
   as a straggler changed. */
gboolean hbw_server_compare (HbwServer *server, double median_us);

gboolean hbw_server_knows_prefix (const HbwServer *server, guint64 prefix);

/* Returns how many tokens of the prompt of SPEC the server has not read lately. */
guint hbw_server_uncached (const HbwServer *server, const HbwRequestSpec *spec);

/* Returns the free slots for all tiers. */
guint hbw_server_free (const HbwServer *server);

const char *hbw_server_state_name (HbwServerState state);

#endif
