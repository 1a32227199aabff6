/*
 * server_check - finds out by a new connection whether a server has failed
 *
 * An attempt that ends while its server is silent tells nothing: the server may
 * be slow, the link to it may be cut, or it may have failed and left its connections
 * open.  If a new connection is refused, no process listens any more: the server has
 * failed, and each request that was in progress on it becomes a suspect
 * (core/quarantine.h).  Any other result is no evidence.
 *
 * A response that breaks off makes a suspect at once.  A connection that is refused
 * then confirms the failure; one that is accepted and stays open shows that the
 * server works.
 */
#ifndef HORNBEAMWALL_CORE_SERVER_CHECK_H
#define HORNBEAMWALL_CORE_SERVER_CHECK_H

#include "hornbeamwall/core/context.h"
#include "hornbeamwall/core/event.h"
#include "hornbeamwall/core/quarantine.h"

/* A server that sent nothing for a shorter time is not called silent. */
#define HBW_SERVER_SILENT_MIN_US (50 * HBW_US_PER_MS)

/* The same for a server whose response broke off.  Longer than an instance waits for
   processor time under a quota, during which it reads nothing. */
#define HBW_SERVER_SILENT_BEFORE_BREAK_MIN_US (150 * HBW_US_PER_MS)

/* Attempts at one server that wait for the result of a check. */
#define HBW_SILENT_ATTEMPTS_MAX 64

typedef struct HbwServerChecks HbwServerChecks;

/* An attempt that ended while its server was silent. */
typedef struct
{
  char server[HBW_NAME_MAX];
  char address[HBW_ADDRESS_MAX];
  char caller_request_id[HBW_CALLER_REQUEST_ID_MAX];
  HbwFingerprint fingerprint;
  HbwPartIds part_ids;
  guint64 pool_hash;
  HbwServerFailure failure; /* that of the server, if it has failed */
} HbwSilentAttempt;

/* Records that the server of ATTEMPT has failed, for its request and the parts of
   its prompt.  Returns how many failures of the request are known. */
guint hbw_silent_attempt_record_failure (const HbwSilentAttempt *attempt,
                                         HbwContext *context);

HbwServerChecks *hbw_server_checks_create (void);
void hbw_server_checks_destroy (HbwServerChecks *checks);

/* Has the server of ATTEMPT checked, now or after the check in progress. */
void hbw_server_checks_add (HbwServerChecks *checks, HbwContext *context,
                            const HbwSilentAttempt *attempt);

/* The same after a response that ended with its connection and need not be whole: a
   process that is ending has some time to stop to listen. */
void hbw_server_checks_add_unproved (HbwServerChecks *checks, HbwContext *context,
                                     const HbwSilentAttempt *attempt);

/* Has the server checked after a response of it broke off.  If it WAS_SILENT before,
   it may have failed and started again meanwhile: an accepted connection then shows
   nothing. */
void hbw_server_checks_add_broken (HbwServerChecks *checks, HbwContext *context,
                                   const char *server, const char *address,
                                   gboolean was_silent);

/* Handles the result of a check, and calls HANDLE_SUSPECT for each request that
   becomes a suspect by it. */
void hbw_server_checks_handle_result (
    HbwServerChecks *checks, HbwContext *context, const HbwServerCheckResult *result,
    void (*handle_suspect) (const HbwSilentAttempt *attempt, void *data),
    void *data);

/* Requests the checks that are due, and drops those without a result. */
void hbw_server_checks_tick (HbwServerChecks *checks, HbwContext *context);

#endif
