/*
 * stream_versions - the version of the servers that began streams
 *
 * What servers of different versions write does not fit together, so a stream may be
 * resumed only on a server of the version that sent its first event.  The instance
 * that forwards the first event records the version, and sends it to
 * HBW_STREAM_HOLDERS other instances: rendezvous hashing of the request's
 * fingerprint selects them, in different data centres first.  An instance at which
 * the caller resumes the stream, and that does not know its version, asks those that
 * come first in the same order.
 *
 * A version is recorded under two keys: the caller's id of the request that began
 * the stream, and the request's fingerprint, for callers that do not name the
 * former. Streams with the same fingerprint that were begun by different versions
 * cannot be told apart by the latter, and an instance may know of one of them only.
 *
 * At most HBW_STREAM_VERSIONS_MAX versions are kept, each for
 * HBW_STREAM_VERSION_KEEP_US after it was last heard of.  The oldest is dropped
 * first.
 */
#ifndef HORNBEAMWALL_CORE_STREAM_VERSIONS_H
#define HORNBEAMWALL_CORE_STREAM_VERSIONS_H

#include "hornbeamwall/common/clock.h"
#include "hornbeamwall/core/context.h"

#define HBW_STREAM_VERSIONS_MAX 8192
#define HBW_STREAM_VERSION_KEEP_US (60 * HBW_US_PER_S)

/* Other instances that are told the version of a stream. */
#define HBW_STREAM_HOLDERS 3

/* Instances that are asked for it, at first and in all.  The order of those that
   were told may have changed since, as instances have started or stopped. */
#define HBW_STREAM_ASKED_FIRST 6
#define HBW_STREAM_ASKED_MAX 16

/* Answers to a question that wants one in any case, in place of a version. */
#define HBW_STREAM_VERSION_SEVERAL G_MAXUINT64
#define HBW_STREAM_VERSION_NONE (G_MAXUINT64 - 1)

/* Who has answered a question that went to ASKED_COUNT instances. */
typedef struct
{
  guint asked_count;
  guint count;
  guint64 instances[HBW_STREAM_ASKED_MAX];
} HbwStreamAnswers;

void hbw_stream_answers_add (HbwStreamAnswers *answers, guint64 instance);
gboolean hbw_stream_answers_are_complete (const HbwStreamAnswers *answers);

typedef struct HbwStreamVersions HbwStreamVersions;

HbwStreamVersions *hbw_stream_versions_create (void);
void hbw_stream_versions_destroy (HbwStreamVersions *versions);

/* Returns the key of the stream that the request with the caller's id REQUEST_ID
   began; 0 if the id is empty. */
guint64 hbw_stream_key (const char *organisation, const char *request_id);

/* Returns the key of the streams of requests with that fingerprint. */
guint64 hbw_stream_fingerprint_key (const HbwFingerprint *fingerprint);

/* Records that VERSION_HASH began the stream with the keys KEY, or 0, and
   FINGERPRINT_KEY, and tells the other holders. */
void hbw_stream_versions_tell (HbwStreamVersions *versions, HbwContext *context,
                               guint64 key, guint64 fingerprint_key,
                               guint64 version_hash);

/* Asks the first COUNT holders for the version of the stream KEY, which is
   FINGERPRINT_KEY itself or another key of it. */
void hbw_stream_versions_ask (HbwStreamVersions *versions, HbwContext *context,
                              guint64 key, guint64 fingerprint_key, guint count);

/* Asks all other instances, HBW_STREAM_ASKED_MAX at most, for the version of the
   streams with FINGERPRINT_KEY; each answers, also if it knows of none or of
   several. Returns how many were asked. */
guint hbw_stream_versions_ask_all (HbwStreamVersions *versions, HbwContext *context,
                                   guint64 fingerprint_key);

/* Handles STREAM_VERSION: records a version, or sends it to the instance that asks.
 */
void hbw_stream_versions_handle_message (HbwStreamVersions *versions,
                                         HbwContext *context,
                                         const HbwMessage *message);

/* Returns whether anything is known of the stream KEY, and sets VERSION_HASH; to 0
   if several versions are said to have begun it. */
gboolean hbw_stream_versions_find (HbwStreamVersions *versions, guint64 key,
                                   gint64 now_us, guint64 *version_hash);

guint hbw_stream_versions_count (const HbwStreamVersions *versions);

#endif
