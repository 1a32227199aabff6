/*
 * message - typed messages between instances
 *
 * Durations cross the wire, never points in time.  Every message carries the
 * identity of what it speaks of, so that a lost, doubled, late or reordered one
 * changes nothing but a wait.
 */
#ifndef HORNBEAMWALL_CORE_MESSAGE_H
#define HORNBEAMWALL_CORE_MESSAGE_H

#include "hornbeamwall/core/directory.h"

/* Most items of each list that one ping carries. */
#define HBW_PING_MEMBERS_MAX 8
#define HBW_PING_SUMMARIES_MAX 4

/* Largest number of shards of a pool in a data centre. */
#define HBW_SHARDS_MAX 256

/* Documents that every instance holds in its newest known version. */
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

/* One instance as others speak of it. */
typedef struct
{
  guint64 identity; /* random start number */
  char name[HBW_NAME_MAX];
  char data_centre[HBW_NAME_MAX];
  char address[HBW_ADDRESS_MAX];
  HbwMemberState state;
  guint32 incarnation; /* raised by the instance itself to refute a suspicion */
} HbwMemberUpdate;

/* Which shard: a pool's part in one data centre. */
typedef struct
{
  char pool[HBW_NAME_MAX];
  char data_centre[HBW_NAME_MAX];
  guint index;
} HbwShardKey;

/* What an owner tells of its shard. */
typedef struct
{
  HbwShardKey key;
  gint64 age_us;
  guint free_slots;
  guint draining; /* requests in progress on servers that stop */
  gint64 expected_wait_us[HBW_TIER_COUNT];
} HbwShardSummary;

/* A part of a prompt that other requests may share. */
typedef struct
{
  guint64 hash; /* of this part and all before it */
  guint tokens;
} HbwPromptPart;

/* Most parts of one prompt that are looked at. */
#define HBW_PROMPT_PARTS_MAX 4

/* What a request asks for, as durations that remain. */
typedef struct
{
  char organisation[HBW_NAME_MAX];
  char class_name[HBW_NAME_MAX];
  char pool[HBW_NAME_MAX];
  HbwTier tier;
  gboolean idempotent;
  guint weight;
  guint cost_tokens;
  guint queue_bound;
  gint64 target_us;      /* until the first token is due */
  gint64 inter_token_us; /* target between tokens */
  gint64 deadline_us;    /* until the answer is of no use; 0 is none */
  guint64 prefix;        /* hash of the prompt's beginning; 0 is none */
  HbwFingerprint fingerprint;
  guint failures;      /* servers that failed while they ran it */
  gint64 timeout_us;   /* until the caller must have a whole answer; 0 is none */
  guint attempts_max;  /* servers that it may be sent to; 0 is HBW_ATTEMPTS_MAX */
  gboolean resumable;  /* a stream that another server may go on with */
  guint prompt_tokens; /* 0 is not known */
  guint part_count;
  HbwPromptPart parts[HBW_PROMPT_PARTS_MAX]; /* in the order of the prompt */
} HbwRequestSpec;

typedef enum
{
  HBW_MESSAGE_PING,
  HBW_MESSAGE_ACK,
  HBW_MESSAGE_PROBE_FOR, /* please ping a third instance for me */
  HBW_MESSAGE_WANT,
  HBW_MESSAGE_WITHDRAW,
  HBW_MESSAGE_GRANT,
  HBW_MESSAGE_REFUSAL,
  HBW_MESSAGE_ACTIVE, /* an attempt is in progress */
  HBW_MESSAGE_DONE,
  HBW_MESSAGE_DOCUMENT_ASK,
  HBW_MESSAGE_DOCUMENT,
  HBW_MESSAGE_SUSPECT, /* a fingerprint's failures */
  HBW_MESSAGE_DEMAND,  /* an instance's demand for an organisation's limit */
  HBW_MESSAGE_SHARE,   /* the limit keeper's answer */
  HBW_MESSAGE_BEGUN,   /* the first token of an attempt has come */
  HBW_MESSAGE_LOADS,   /* what an instance has in progress on servers */
  HBW_MESSAGE_COUNT,
} HbwMessageKind;

typedef struct
{
  guint64 number;
  guint64 on_behalf_of; /* identity that asked for the probe, or 0 */
  guint64 subject;      /* identity whose liveness the ACK or PROBE_FOR is about */
  gint64 versions[HBW_DOCUMENT_COUNT];
  guint member_count;
  HbwMemberUpdate members[HBW_PING_MEMBERS_MAX];
  guint summary_count;
  HbwShardSummary summaries[HBW_PING_SUMMARIES_MAX];
  gint64 confirmed_age_us; /* since the catalogue was known to be the newest; -1 is
                              not known */
} HbwPing;

typedef struct
{
  HbwRequestId id;
  guint attempt;
  HbwShardKey shard;
  HbwRequestSpec spec;
  char avoid[HBW_NAME_MAX]; /* server that failed the attempt before, or "" */
} HbwWant;

/* What the choice of a server rested on, for the log. */
typedef struct
{
  guint in_progress; /* this instance's or owner's requests there */
  guint others;
  guint unread_tokens;
  guint waiting; /* requests that wait in the shard */
  gint64 report_age_us;
} HbwGrantFacts;

typedef struct
{
  HbwRequestId id;
  guint attempt;
  HbwShardKey shard;
  char server[HBW_NAME_MAX];
  char address[HBW_ADDRESS_MAX];
  gint64 valid_us;
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
} HbwActive;

typedef struct
{
  HbwRequestId id;
  guint attempt;
  HbwShardKey shard;
  gint64 first_token_us;
} HbwBegun;

typedef struct
{
  HbwRequestId id;
  guint attempt;
  HbwShardKey shard;
  char server[HBW_NAME_MAX];
  HbwOutcome outcome;
  gint64 first_token_us;
  gint64 inter_token_us; /* mean over the answer; 0 where unknown */
  guint tokens;
} HbwDone;

typedef struct
{
  HbwDocumentKind kind;
  gint64 version;
  gint64 base;  /* version that the body is the difference to; 0: it is whole */
  GBytes *body; /* owned; NULL in a DOCUMENT_ASK */
} HbwDocument;

/* What became of a request that was in progress on a server which failed. */
typedef enum
{
  HBW_SUSPICION_FAILED,  /* one more server failed */
  HBW_SUSPICION_CLEARED, /* it succeeded */
  HBW_SUSPICION_LEFT,    /* it ended without another attempt */
  HBW_SUSPICION_COUNT,
} HbwSuspicion;

typedef struct
{
  HbwFingerprint fingerprint;
  HbwSuspicion change;
  guint failures;
  guint64 server; /* hash of the server that failed last; 0 is not known */
  gint64 remaining_us;
} HbwSuspect;

/* Between an instance and the limit keeper of its data centre (level 0), or
   between that one and the keeper for all data centres (level 1). */
typedef struct
{
  guint level;
  char organisation[HBW_NAME_MAX];
  double requests_per_s;
  double tokens_per_s;
  double in_progress;
} HbwRates;

/* Most servers, and most prompt parts, that one message tells of. */
#define HBW_LOADS_MAX 32
#define HBW_LOAD_PARTS_MAX 32

/* What instances have in progress on a server. */
typedef struct
{
  guint in_progress;
  guint unread_tokens; /* of prompts */
} HbwLoadSum;

typedef struct
{
  guint64 server; /* hash of its id */
  HbwLoadSum load;
} HbwServerLoad;

typedef struct
{
  guint64 server; /* hash of its id */
  guint64 hash;   /* of the part and all before it */
} HbwLoadPart;

typedef struct
{
  guint load_count;
  HbwServerLoad loads[HBW_LOADS_MAX];
  guint part_count;
  HbwLoadPart parts[HBW_LOAD_PARTS_MAX];
} HbwLoads;

typedef struct
{
  HbwMessageKind kind;
  guint64 from; /* sender's identity */
  union
  {
    HbwPing ping; /* PING, ACK, PROBE_FOR */
    HbwWant want;
    HbwGrant grant;
    HbwRefusal refusal; /* REFUSAL, WITHDRAW */
    HbwActive active;
    HbwBegun begun;
    HbwLoads loads;
    HbwDone done;
    HbwDocument document; /* DOCUMENT_ASK, DOCUMENT */
    HbwSuspect suspect;
    HbwRates rates; /* DEMAND, SHARE */
  };
} HbwMessage;

/* Copies SOURCE into TARGET, taking a reference where it holds one. */
void hbw_message_copy (HbwMessage *target, const HbwMessage *source);

/* Drops what MESSAGE holds. */
void hbw_message_clear (HbwMessage *message);

const char *hbw_message_kind_name (HbwMessageKind kind);
const char *hbw_document_kind_name (HbwDocumentKind kind);

/* Writes "pool/data_centre/index" into BUFFER of SIZE bytes. */
void hbw_shard_key_format (const HbwShardKey *key, char *buffer, gsize size);

/* Longest text of a shard key, in bytes, with its end mark. */
#define HBW_SHARD_KEY_TEXT_MAX (2 * HBW_NAME_MAX + 8)

#endif
