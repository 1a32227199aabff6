#include "hornbeamwall/core/suspect_placement.h"

#include "hornbeamwall/core/quarantine_state.h"

/* Returns whether ACTIVITY since SINCE_US counts: the request waits for a server, or
   other instances may not know yet that it has one. */
static gboolean
takes_slice (HbwSuspectActivity activity, gint64 since_us, gint64 now_us)
{
  return activity == HBW_SUSPECT_WAITING
         || (activity == HBW_SUSPECT_RUNNING
             && now_us - since_us < HBW_QUARANTINE_SETTLE_US);
}

/* Returns whether a request with the fingerprint of SUSPECT is placed now. */
static gboolean
is_placed_now (const HbwSuspect *suspect, gint64 now_us)
{
  if (hbw_suspect_count_failures (suspect) == 0 || hbw_suspect_is_held (suspect)
      || hbw_suspect_is_quarantined (suspect))
    return FALSE;
  if (takes_slice (suspect->own_activity, suspect->own_since_us, now_us))
    return TRUE;
  for (guint i = 0; i < HBW_SUSPECT_PEERS_MAX; i++)
    {
      const HbwPeerActivity *peer = &suspect->peers[i];
      if (hbw_peer_activity_is_current (peer, now_us)
          && takes_slice (peer->activity, peer->since_us, now_us))
        return TRUE;
    }
  return FALSE;
}

static gboolean
is_before (const HbwFingerprint *a, const HbwFingerprint *b)
{
  return a->high < b->high || (a->high == b->high && a->low < b->low);
}

HbwServerSlice
hbw_suspect_find_slice (HbwQuarantine *quarantine, const HbwFingerprint *fingerprint,
                        gint64 now_us)
{
  HbwServerSlice slice = { 0, 1 };
  const HbwSuspect *suspect;
  const HbwSuspect *self = hbw_quarantine_find (quarantine, fingerprint, now_us);
  if (self == NULL || now_us - self->own_since_us >= HBW_SUSPECT_ALONE_MAX_US)
    return slice;
  cds_list_for_each_entry (suspect, &quarantine->by_age, link)
    {
      if (suspect == self || !is_placed_now (suspect, now_us))
        continue;
      slice.count++;
      slice.index += is_before (&suspect->fingerprint, fingerprint);
    }
  return slice;
}

gboolean
hbw_server_slice_has (const HbwServerSlice *slice, guint position,
                      guint server_count)
{
  guint count = MIN (slice->count, server_count);
  return count <= 1 || position % count == slice->index % count;
}
