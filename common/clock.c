#include "hornbeamwall/common/clock.h"

#include <stdatomic.h>
#include <time.h>

typedef struct
{
  gint64 (*now) (HbwClock *clock);
  void (*advance) (HbwClock *clock, gint64 step_us);
} HbwClockVtable;

struct HbwClock
{
  const HbwClockVtable *vtable;
  _Atomic gint64 manual_us;
};

static gint64
system_now (HbwClock *clock G_GNUC_UNUSED)
{
  struct timespec now;
  clock_gettime (CLOCK_BOOTTIME, &now);
  return (gint64) now.tv_sec * HBW_US_PER_S + now.tv_nsec / 1000;
}

static void
system_advance (HbwClock *clock G_GNUC_UNUSED, gint64 step_us G_GNUC_UNUSED)
{
}

static gint64
manual_now (HbwClock *clock)
{
  return atomic_load (&clock->manual_us);
}

static void
manual_advance (HbwClock *clock, gint64 step_us)
{
  atomic_fetch_add (&clock->manual_us, step_us);
}

static const HbwClockVtable system_vtable = { system_now, system_advance };
static const HbwClockVtable manual_vtable = { manual_now, manual_advance };

static HbwClock *
clock_create (const HbwClockVtable *vtable, gint64 start_us)
{
  HbwClock *clock = g_new0 (HbwClock, 1);
  clock->vtable = vtable;
  atomic_store (&clock->manual_us, start_us);
  return clock;
}

HbwClock *
hbw_clock_create_system (void)
{
  return clock_create (&system_vtable, 0);
}

HbwClock *
hbw_clock_create_manual (gint64 start_us)
{
  return clock_create (&manual_vtable, start_us);
}

void
hbw_clock_destroy (HbwClock *clock)
{
  g_free (clock);
}

gint64
hbw_clock_now (HbwClock *clock)
{
  return clock->vtable->now (clock);
}

void
hbw_clock_advance (HbwClock *clock, gint64 step_us)
{
  clock->vtable->advance (clock, step_us);
}
