/*
 * message - typed messages between instances
 *
 * Messages carry durations and never timestamps, because instances do not share a
 * clock; the exception is USAGE_COUNTS, from which the common time of the usage
 * windows is derived.  Each message identifies its subject, so a lost, duplicated,
 * late or reordered message causes a delay at most.
 */
#ifndef HORNBEAMWALL_CORE_MESSAGE_H
#define HORNBEAMWALL_CORE_MESSAGE_H

#include "hornbeamwall/core/directory.h"

/* Maximum number of items in each list of a ping. */
#define HBW_PING_MEMBERS_MAX 8
#define HBW_PING_SUMMARIES_MAX 4

/* Maximum number of shards of a pool in a data centre. */
#define HBW_SHARDS_MAX 256

/* Documents of which every instance holds the newest version that it knows. */
typedef enum
{
  HBW_DOCUMENT_CATALOGUE,
  HBW_DOCUMENT_SERVERS,
  HBW_DOCUMENT_INSTANCES,
  HBW_DOCUMENT_STOPS,
  HBW_DOCUMENT_COUNT,
} HbwDocumentKind;

typedef enum
{
  HBW_MEMBER_ALIVE,
  HBW_MEMBER_SUSPECT,
  HBW_MEMBER_DEAD,
  HBW_MEMBER_LEFT,
} HbwMemberState;

/* State of one instance, as disseminated by gossip. */
typedef struct
{
  /* Start time in the high bits, random number in the low bits; higher after each
     restart. */
  guint64 identity;
  char name[HBW_NAME_MAX];
  char data_centre[HBW_NAME_MAX];
  char address[HBW_ADDRESS_MAX];
  guint16 tunnel_port;       /* where it accepts tunnels; 0: it does not */
  guint32 link_mbps;         /* bandwidth of its machine, in Mbit/s; 0: not known */
  guint32 processor_percent; /* of one core that it may use; 0: not known */
  HbwMemberState state;
  guint32 incarnation; /* incremented by the instance to refute a suspicion */
} HbwMemberUpdate;

/* Identifies a shard: part of a pool in one data centre. */
typedef struct
{
  char pool[HBW_NAME_MAX];
  char data_centre[HBW_NAME_MAX];
  guint index;
} HbwShardKey;

/* State of a shard, as reported by its owner: the instance that schedules it. */
typedef struct
{
  HbwShardKey key;
  gint64 age_us;
  guint free_slots;
  guint draining_requests; /* requests in progress on servers with a planned stop */
  gint64 expected_wait_us[HBW_TIER_COUNT];
} HbwShardSummary;

/* A part of a prompt that other requests may share, for cache affinity. */
typedef struct
{
  guint64 hash; /* of this part and all parts before it */
  guint tokens;
} HbwPromptPart;

/* Maximum number of parts of one prompt. */
#define HBW_PROMPT_PARTS_MAX 4

/* Maximum number of parts of one prompt that are known by their ids. */
#define HBW_PART_IDS_MAX 16

/* The parts of a prompt that other requests may share: all but the last, in the
   order of the prompt. */
typedef struct
{
  guint count;
  guint64 ids[HBW_PART_IDS_MAX]; /* of each part, without those before it */
} HbwPartIds;

/* Parameters of a request.  Times are remaining durations. */
typedef struct
{
  char organisation[HBW_NAME_MAX];
  char class_name[HBW_NAME_MAX];
  char pool[HBW_NAME_MAX];
  HbwTier tier;
  HbwTier class_tier; /* tier of its class, which orders the requests of one tier */
  gboolean idempotent;
  guint weight;
  guint cost_tokens;
  guint queue_bound;
  gint64 first_token_target_us; /* until the first token is due */
  gint64 inter_token_target_us; /* target between tokens */
  gint64 deadline_us;  /* until the response is no longer useful; 0 is none */
  guint64 prefix_hash; /* hash of the start of the prompt; 0 is none */
  HbwFingerprint fingerprint;
  guint server_failures; /* servers that failed while running it, as the sender knows
                          */
  gint64 timeout_us;     /* until the response must be complete; 0 is none */
  guint attempts_max;    /* servers it may be sent to; 0 selects HBW_ATTEMPTS_MAX */
  gboolean resumable;    /* another server may continue its stream */
  guint64 version_hash;  /* of the servers that may run it; 0: of any version */
  guint prompt_tokens;   /* 0 if unknown */
  guint part_count;
  HbwPromptPart parts[HBW_PROMPT_PARTS_MAX]; /* in the order of the prompt */
  HbwPartIds part_ids;                       /* for the entry instance only */
  guint max_tokens;    /* of the output; 0 if unknown; this and the next two are for
                          the entry instance only */
  guint length_hint;   /* the caller's estimate of the output's tokens; 0: none */
  guint output_tokens; /* expected; 0 if the pool's memory is not known */
} HbwRequestSpec;

typedef enum
{
  HBW_MESSAGE_PING,
  HBW_MESSAGE_ACK,
  HBW_MESSAGE_PROBE_FOR,    /* indirect probe: ping a third instance */
  HBW_MESSAGE_WANT,         /* to a shard's owner: a request waits for a grant */
  HBW_MESSAGE_WITHDRAW,     /* a request no longer waits for a grant */
  HBW_MESSAGE_GRANT,        /* an attempt may start on a server */
  HBW_MESSAGE_REFUSAL,      /* the shard's owner refuses the request */
  HBW_MESSAGE_ACTIVE,       /* an attempt is in progress */
  HBW_MESSAGE_DONE,         /* an attempt has ended */
  HBW_MESSAGE_DOCUMENT_ASK, /* requests a version newer than the given one */
  HBW_MESSAGE_DOCUMENT,
  HBW_MESSAGE_SUSPECT,        /* server failures attributed to a fingerprint */
  HBW_MESSAGE_DEMAND,         /* demand for an organisation's limits */
  HBW_MESSAGE_SHARE,          /* the limit coordinator's response to a demand */
  HBW_MESSAGE_BEGUN,          /* first token of an attempt received */
  HBW_MESSAGE_LOADS,          /* work that an instance has in progress on servers */
  HBW_MESSAGE_SERVER_NOTICE,  /* what a server says of itself, and permits */
  HBW_MESSAGE_CLEARED_PARTS,  /* parts of prompts that did not make servers fail */
  HBW_MESSAGE_STREAM_VERSION, /* which version began a stream, or who knows it */
  HBW_MESSAGE_LOAD_SUMS,      /* loads of several instances together, from a relay */
  HBW_MESSAGE_DUTY_STATUS,    /* from the holder of the duty lease to all */
  HBW_MESSAGE_USAGE_COUNTS,   /* requests that began to run, by organisation */
  HBW_MESSAGE_POOL_DEMAND,    /* demand for servers of a pool, at one instance */
  HBW_MESSAGE_COUNT,
} HbwMessageKind;

typedef struct
{
  guint64 probe_number;
  guint64 on_behalf_of; /* instance that requested an indirect probe, or 0 */
  guint64 subject;      /* instance that an ACK or PROBE_FOR refers to */
  gint64 versions[HBW_DOCUMENT_COUNT];
  guint member_count;
  HbwMemberUpdate members[HBW_PING_MEMBERS_MAX];
  guint summary_count;
  HbwShardSummary summaries[HBW_PING_SUMMARIES_MAX];
  gint64 catalogue_age_us; /* since the catalogue was last confirmed to be the
                              newest; -1 if unknown */
  guint64 suspects_digest; /* of the sender's quarantine; 0 if it is incomplete */
  gint64 store_era;        /* as in the last response of the store; 0 if unknown */
  gint64 store_era_age_us; /* how long it has lasted at least */
} HbwPing;

typedef struct
{
  HbwRequestId id;
  guint attempt;
  HbwShardKey shard;
  HbwRequestSpec spec;
  char avoid_server[HBW_NAME_MAX]; /* that failed the previous attempt, or "" */
} HbwGrantRequest;

/* Facts on which the choice of a server was based, for the log. */
typedef struct
{
  guint in_progress;    /* requests of the granting instance on the server */
  guint others;         /* requests of other instances on the server */
  guint unread_tokens;  /* unprocessed prompt tokens on the server */
  guint waiting;        /* requests that are waiting in the shard */
  gint64 report_age_us; /* of the server's last load report; -1 if none */
} HbwGrantFacts;

typedef struct
{
  HbwRequestId id;
  guint attempt;
  HbwShardKey shard;
  char server[HBW_NAME_MAX];
  char address[HBW_ADDRESS_MAX];
  gint64 valid_for_us;
  HbwGrantFacts facts;
} HbwGrant;

typedef struct
{
  HbwRequestId id;
  guint attempt;
  HbwReason reason;
  gint64 retry_after_us;
} HbwRefusal;

typedef struct
{
  HbwRequestId id;
  guint attempt;
  HbwShardKey shard;
  char server[HBW_NAME_MAX];
  HbwTier tier;
  HbwFingerprint fingerprint;
} HbwActiveAttempt;

typedef struct
{
  HbwRequestId id;
  guint attempt;
  HbwShardKey shard;
  gint64 first_token_us;
  gboolean is_error; /* of a response that reports an error; not sent to others */
} HbwFirstTokenReport;

typedef struct
{
  HbwRequestId id;
  guint attempt;
  HbwShardKey shard;
  char server[HBW_NAME_MAX];
  HbwOutcome outcome;
  gint64 first_token_us;
  gint64 inter_token_us; /* mean over the response; 0 if unknown */
  guint tokens;
} HbwAttemptResult;

typedef struct
{
  HbwDocumentKind kind;
  gint64 version;
  gint64 base_version; /* that the delta applies to; 0 if the body is complete */
  GBytes *body;        /* owned; NULL in a DOCUMENT_ASK */
} HbwDocument;

/* What an instance is doing with a request that may make servers fail. */
typedef enum
{
  HBW_SUSPECT_IDLE,    /* it has no request with this fingerprint */
  HBW_SUSPECT_WAITING, /* it has one that is not in progress on a server */
  HBW_SUSPECT_RUNNING, /* it has one that is in progress on a server */
  HBW_SUSPECT_ACTIVITY_COUNT,
} HbwSuspectActivity;

/* Whether a request with two failures is refused. */
typedef enum
{
  HBW_VERDICT_NONE,      /* it is not quarantined */
  HBW_VERDICT_UNDECIDED, /* it is: it cannot be told from others that may be the
                            cause */
  HBW_VERDICT_CAUSE,     /* it is: it made a server fail */
  HBW_VERDICT_COUNT,
} HbwVerdict;

/* Maximum number of failures that are kept for one fingerprint. */
#define HBW_SUSPECT_FAILURES_MAX 4

/* Failure of a server during an attempt. */
typedef struct
{
  guint64 id;            /* of the attempt, unique in all instances */
  guint64 server_hash;   /* hash of the server's id */
  gint64 started_ago_us; /* since the attempt started */
  gint64 failed_ago_us;  /* since it ended */
  gboolean is_dismissed; /* the server had not failed */
  gboolean is_refused;   /* it refused a connection afterwards */
  guint64 source; /* lower half of the fingerprint of the request whose parts may
                     have caused it; 0: none may, or unknown */
} HbwFailureReport;

/* Upper half of the fingerprint of a part of prompts; the lower half is its id. */
#define HBW_PART_FINGERPRINT_HIGH G_GUINT64_CONSTANT (0x7061727470617274)

/* All that the sender knows about a request, or a part of prompts, that was in
   progress on a server that failed. */
typedef struct
{
  HbwFingerprint fingerprint;
  gint64 remaining_us; /* until the suspicion expires */
  HbwVerdict verdict;
  gboolean is_stored; /* the platform's store has these failures and this verdict */
  HbwSuspectActivity activity; /* of the sender */
  guint64 running_server_hash; /* server on which the sender runs it, or 0 */
  gint64 completed_ago_us;     /* since its last complete response; -1 is none */
  guint failure_count;
  HbwFailureReport failures[HBW_SUSPECT_FAILURES_MAX]; /* that are not cleared */
  guint64 pool_hash;   /* of the request's pool; 0 of a part, or unknown */
  HbwPartIds part_ids; /* of a request */
} HbwSuspicionReport;

/* Maximum number of parts in one message. */
#define HBW_CLEARED_PARTS_MAX 32

/* A part of prompts with which a request was completely answered. */
typedef struct
{
  guint64 id;
  gint64 completed_ago_us;
} HbwClearedPart;

typedef struct
{
  guint count;
  HbwClearedPart parts[HBW_CLEARED_PARTS_MAX];
} HbwClearedParts;

/* Demand for an organisation's limits, or share of them.  Exchanged by an instance
   and the limit coordinator of its data centre (level 0), or by that coordinator and
   the global one (level 1). */
typedef struct
{
  guint level;
  char organisation[HBW_NAME_MAX];
  double requests_per_s;
  double tokens_per_s;
  double in_progress;
} HbwRates;

/* Demand of one tier for servers of a pool.  Rates are means over the last second.
 */
typedef struct
{
  double prompt_tokens_per_s; /* that arrived and have to be processed */
  double output_tokens_per_s; /* that were sent to callers */
  double requests_per_s;      /* that arrived */
  double refused_per_s;       /* requests refused for lack of room */
  double late_per_s;          /* first tokens after their target */
  double memory_tokens;       /* of requests in progress and waiting */
  guint in_progress;          /* requests */
  guint waiting;              /* requests without a server */
} HbwTierDemand;

/* Demand at one instance, or at several together. */
typedef struct
{
  char pool[HBW_NAME_MAX];
  double pace_tokens_per_s; /* at which a server processes prompts; 0 if unknown */
  HbwTierDemand tiers[HBW_TIER_COUNT];
} HbwPoolDemand;

/* Maximum number of servers in one message of loads, and of sums, and of prompt
   parts in one of either. */
#define HBW_LOADS_MAX 32
#define HBW_LOAD_SUMS_MAX 64
#define HBW_LOAD_PARTS_MAX 32

/* Work that instances have in progress on a server. */
typedef struct
{
  guint in_progress;
  guint unread_tokens; /* unprocessed prompt tokens */
  guint waiting;       /* requests that wait for a slot */
  guint target_ms;     /* shortest inter-token target of those in progress with a
                          prompt; 0: none, or unknown */
  guint memory_tokens; /* that requests in progress will hold in the engine's memory,
                          without shared prompt parts; 0: unknown */
} HbwServerWork;

typedef struct
{
  guint64 server_hash; /* hash of its id */
  HbwServerWork load;
  guint pace_percent; /* time that work takes there now, of the usual */
  guint pace_left_ms; /* for which that is valid; 0: unknown */
} HbwServerLoad;

/* A prompt part that was sent to a server, which may have it in its cache. */
typedef struct
{
  guint64 server_hash; /* hash of its id */
  guint64 part_hash;   /* of the part and all parts before it */
  guint tokens; /* of the part, which it holds in the server's memory; 0: unknown */
} HbwPromptPlacement;

typedef struct
{
  guint load_count;
  HbwServerLoad loads[HBW_LOAD_SUMS_MAX];
  guint part_count;
  HbwPromptPlacement parts[HBW_LOAD_PARTS_MAX];
} HbwLoadUpdate;

/* What a server has said of itself in its responses since its start, and permits for
   requests to it while it is limited. */
typedef struct
{
  char server[HBW_NAME_MAX];
  guint64 start_number; /* as in its entry in the list of servers */
  gboolean has_limit;
  double limit; /* requests per second, from all instances together */
  gint64
      limit_age_us; /* since the response that named it, or none; -1: no response */
  gboolean is_leaving;
  guint brittle;             /* requests that it can turn away in a second; 0: any */
  gint64 turned_away_ago_us; /* since it last did while brittle; -1: never */
  guint permits_wanted;      /* the sender asks its owner for them */
  guint permits_given;       /* the owner gives them to the receiver */
} HbwServerNoticeReport;

/* The version of the server that sent the first event of a stream. */
typedef struct
{
  guint64 key;             /* as by hbw_stream_key(), or 0 */
  guint64 fingerprint_key; /* as by hbw_stream_fingerprint_key(), or 0 */
  guint64 version_hash;    /* 0: the sender asks for that of KEY */
} HbwStreamVersion;

/* What the holder of the duty lease, which sends it, tells all instances. */
typedef struct
{
  guint64 fencing_token;
  guint64 deputy;       /* identity of the next candidate for the lease, or 0 */
  gint64 window;        /* number of the current usage window; 0 if unknown */
  gint64 window_age_us; /* since it began */
} HbwDutyStatus;
/* Maximum number of organisations in one message. */
#define HBW_USAGE_COUNTS_MAX 32

/* Largest number of requests in one count. */
#define HBW_USAGE_REQUESTS_MAX ((guint64) G_MAXUINT32)

typedef struct
{
  char organisation[HBW_NAME_MAX];
  guint64 requests; /* that began to run at the sender in the window so far */
} HbwOrganisationCount;

/* Requests that began to run at the sender in one usage window, or the receipt for
   them. */
typedef struct
{
  gint64 window;          /* its number; 0: the message has only the clock */
  gint64 first_window;    /* in which the sender counted; 0 if it is not known */
  gint64 wall_us;         /* sender's clock, microseconds since 1970; 0: unknown */
  gboolean is_final;      /* the window is over */
  gboolean is_receipt;    /* the sender has all final counts of the receiver */
  guint64 total_requests; /* final: of all organisations together */
  guint count;
  HbwOrganisationCount counts[HBW_USAGE_COUNTS_MAX];
} HbwUsageCounts;

typedef struct
{
  HbwMessageKind kind;
  guint64 from; /* sender's identity */
  union
  {
    HbwPing ping; /* PING, ACK, PROBE_FOR */
    HbwGrantRequest want;
    HbwGrant grant;
    HbwRefusal refusal; /* REFUSAL, WITHDRAW */
    HbwActiveAttempt active;
    HbwFirstTokenReport begun;
    HbwLoadUpdate loads;
    HbwAttemptResult done;
    HbwDocument document; /* DOCUMENT_ASK, DOCUMENT */
    HbwSuspicionReport suspect;
    HbwRates rates; /* DEMAND, SHARE */
    HbwServerNoticeReport notice;
    HbwClearedParts cleared_parts;
    HbwStreamVersion stream_version;
    HbwDutyStatus duty_status;
    HbwUsageCounts usage;
    HbwPoolDemand pool_demand;
  };
} HbwMessage;

/* Copies SOURCE into TARGET, which takes a reference to the body if there is one. */
void hbw_message_copy (HbwMessage *target, const HbwMessage *source);

/* Releases the references that MESSAGE holds. */
void hbw_message_clear (HbwMessage *message);

const char *hbw_message_kind_name (HbwMessageKind kind);
const char *hbw_document_kind_name (HbwDocumentKind kind);

/* Writes "pool/data_centre/index" into BUFFER of SIZE bytes. */
void hbw_shard_key_format (const HbwShardKey *key, char *buffer, gsize size);

/* Size of the text of a shard key, in bytes, including the terminating NUL. */
#define HBW_SHARD_KEY_TEXT_MAX (2 * HBW_NAME_MAX + 8)

#endif
