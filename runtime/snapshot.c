#include "hornbeamwall/runtime/snapshot.h"

#include "hornbeamwall/common/tsan.h"

#include <urcu-bp.h>

struct HbwSnapshot
{
  HbwCatalogue *catalogue; /* protected by RCU */
};

HbwSnapshot *
hbw_snapshot_create (void)
{
  return g_new0 (HbwSnapshot, 1);
}

void
hbw_snapshot_destroy (HbwSnapshot *snapshot)
{
  g_clear_pointer (&snapshot->catalogue, hbw_catalogue_unref);
  g_free (snapshot);
}

void
hbw_snapshot_publish (HbwSnapshot *snapshot, HbwCatalogue *catalogue)
{
  HbwCatalogue *previous = snapshot->catalogue;
  HBW_TSAN_RELEASE (snapshot);
  rcu_assign_pointer (snapshot->catalogue, hbw_catalogue_ref (catalogue));
  if (previous == NULL)
    return;
  synchronize_rcu ();
  hbw_catalogue_unref (previous);
}

HbwCatalogue *
hbw_snapshot_acquire (HbwSnapshot *snapshot)
{
  rcu_read_lock ();
  HbwCatalogue *catalogue = rcu_dereference (snapshot->catalogue);
  HBW_TSAN_ACQUIRE (snapshot);
  if (catalogue != NULL)
    hbw_catalogue_ref (catalogue);
  rcu_read_unlock ();
  return catalogue;
}
