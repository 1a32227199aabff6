#include "hornbeamwall/core/effect.h"

#include <stdarg.h>

struct HbwEffects
{
  GPtrArray *items; /* HbwEffect */
};

static void
effect_free (gpointer data)
{
  HbwEffect *effect = data;
  if (effect->kind == HBW_EFFECT_SEND_MESSAGE)
    hbw_message_clear (&effect->send.message);
  else if (effect->kind == HBW_EFFECT_PUBLISH_CATALOGUE)
    hbw_catalogue_unref (effect->catalogue);
  else if (effect->kind == HBW_EFFECT_STORE_SUSPECTS)
    g_bytes_unref (effect->suspects.body);
  else if (effect->kind == HBW_EFFECT_DUTY_STORE)
    g_clear_pointer (&effect->duty_store.body, g_bytes_unref);
  else if (effect->kind == HBW_EFFECT_DUTY_CALL)
    hbw_duty_call_clear (&effect->duty_call.call);
  else if (effect->kind == HBW_EFFECT_LOG)
    g_free (effect->log.text);
  g_free (effect);
}

HbwEffects *
hbw_effects_create (void)
{
  HbwEffects *effects = g_new0 (HbwEffects, 1);
  effects->items = g_ptr_array_new_with_free_func (effect_free);
  return effects;
}

void
hbw_effects_destroy (HbwEffects *effects)
{
  g_ptr_array_free (effects->items, TRUE);
  g_free (effects);
}

void
hbw_effects_clear (HbwEffects *effects)
{
  g_ptr_array_set_size (effects->items, 0);
}

guint
hbw_effects_count (const HbwEffects *effects)
{
  return effects->items->len;
}

HbwEffect *
hbw_effects_edit (HbwEffects *effects, guint index)
{
  return g_ptr_array_index (effects->items, index);
}

void
hbw_effects_remove (HbwEffects *effects, guint index)
{
  g_ptr_array_remove_index (effects->items, index);
}

const HbwEffect *
hbw_effects_get (const HbwEffects *effects, guint index)
{
  return g_ptr_array_index (effects->items, index);
}

HbwEffect *
hbw_effects_add (HbwEffects *effects, HbwEffectKind kind)
{
  HbwEffect *effect = g_new0 (HbwEffect, 1);
  effect->kind = kind;
  g_ptr_array_add (effects->items, effect);
  return effect;
}

void
hbw_effects_log (HbwEffects *effects, HbwLogEvent number, const char *format, ...)
{
  va_list args;
  va_start (args, format);
  char *text = g_strdup_vprintf (format, args);
  va_end (args);
  HbwEffect *effect = hbw_effects_add (effects, HBW_EFFECT_LOG);
  effect->log.number = number;
  effect->log.text = text;
}
