#include "hornbeamwall/net/key_claim.h"

#include "hornbeamwall/net/document_edit.h"

#include <string.h>
#include <xxhash.h>

typedef struct
{
  char hash[33];
  const char *owner;
  gint64 now_s;
  gboolean release;
} Claim;

static Claim
make_claim (const char *organisation, const char *key, const char *owner)
{
  char *text = g_strconcat (organisation, "\n", key, NULL);
  XXH128_hash_t hash = XXH3_128bits (text, strlen (text));
  Claim claim = { .owner = owner };
  claim.now_s = g_get_real_time () / G_USEC_PER_SEC;
  g_snprintf (claim.hash, sizeof claim.hash,
              "%016" G_GINT64_MODIFIER "x%016" G_GINT64_MODIFIER "x",
              (guint64) hash.high64, (guint64) hash.low64);
  g_free (text);
  return claim;
}

static void
drop_expired (json_t *claims, gint64 now_s)
{
  const char *hash;
  json_t *value;
  void *next;
  json_object_foreach_safe (claims, next, hash, value)
  {
    if (json_integer_value (json_object_get (value, "until")) < now_s)
      json_object_del (claims, hash);
  }
}

static gboolean
change_claims (json_t *root, void *data, HbwError *error)
{
  const Claim *claim = data;
  json_t *claims = json_object_get (root, "claims");
  if (!json_is_object (claims))
    {
      claims = json_object ();
      json_object_set_new (root, "claims", claims);
    }
  drop_expired (claims, claim->now_s);
  json_t *existing = json_object_get (claims, claim->hash);
  const char *owner = json_string_value (json_object_get (existing, "owner"));
  gboolean is_own = g_strcmp0 (owner, claim->owner) == 0;
  if (claim->release && is_own)
    json_object_del (claims, claim->hash);
  if (claim->release || is_own)
    return TRUE;
  if (existing != NULL)
    {
      hbw_error_set (error, HBW_ERROR_USAGE, "the key is claimed by %s", owner);
      return FALSE;
    }
  json_int_t until_s = claim->now_s + HBW_KEY_CLAIM_TTL_S;
  json_object_set_new (
      claims, claim->hash,
      json_pack ("{s:s, s:I}", "owner", claim->owner, "until", until_s));
  return TRUE;
}

static gboolean
check_size (const char *text G_GNUC_UNUSED, gsize length, HbwError *error)
{
  if (length <= HBW_DOCUMENT_SIZE_MAX)
    return TRUE;
  hbw_error_set (error, HBW_ERROR_STORE, "too many claims; try again later");
  return FALSE;
}

static HbwClaimResult
edit_claims (HbwStoreClient *client, Claim *claim)
{
  char object[64];
  guint64 slot
      = g_ascii_strtoull (claim->hash + 16, NULL, 16) % HBW_KEY_CLAIM_OBJECTS;
  g_snprintf (object, sizeof object, "hornbeamwall-keys-%u", (guint) slot);
  const HbwDocumentEdit edit = { .object_name = object,
                                 .initial_text = "{\"claims\":{}}",
                                 .change = change_claims,
                                 .data = claim,
                                 .check = check_size };
  HbwError error = { HBW_ERROR_NONE, "" };
  HbwDocumentEditResult result = hbw_document_edit_run (client, &edit, &error);
  g_free (result.body);
  if (result.accepted)
    return HBW_CLAIM_GRANTED;
  return error.kind == HBW_ERROR_USAGE ? HBW_CLAIM_DUPLICATE : HBW_CLAIM_UNAVAILABLE;
}

HbwClaimResult
hbw_key_claim_acquire (HbwStoreClient *client, const char *organisation,
                       const char *key, const char *owner)
{
  Claim claim = make_claim (organisation, key, owner);
  return edit_claims (client, &claim);
}

void
hbw_key_claim_release (HbwStoreClient *client, const char *organisation,
                       const char *key, const char *owner)
{
  Claim claim = make_claim (organisation, key, owner);
  claim.release = TRUE;
  edit_claims (client, &claim);
}
