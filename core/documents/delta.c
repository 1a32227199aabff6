#include "hornbeamwall/core/documents/delta.h"

#include <jansson.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#define CANONICAL_FLAGS (JSON_COMPACT | JSON_SORT_KEYS)

static json_t *
load_object (GBytes *bytes)
{
  gsize length;
  const char *text = g_bytes_get_data (bytes, &length);
  json_t *root = json_loadb (text, length, 0, NULL);
  if (json_is_object (root))
    return root;
  json_decref (root);
  return NULL;
}

static GBytes *
dump_canonical (json_t *root)
{
  char *text = json_dumps (root, CANONICAL_FLAGS);
  GBytes *bytes = g_bytes_new (text, strlen (text));
  free (text);
  return bytes;
}

static char *
hash_bytes (GBytes *bytes)
{
  gsize length;
  const void *text = g_bytes_get_data (bytes, &length);
  return g_strdup_printf ("%016" G_GINT64_MODIFIER "x",
                          (guint64) XXH3_64bits (text, length));
}

/* Returns the merge patch from OLD to NEW, empty if they are equal. */
static json_t *
create_patch (json_t *old, json_t *new)
{
  const char *key;
  json_t *value;
  json_t *patch = json_object ();
  json_object_foreach (old, key, value)
    {
      if (json_object_get (new, key) == NULL)
        json_object_set_new (patch, key, json_null ());
    }
  json_object_foreach (new, key, value)
    {
      json_t *before = json_object_get (old, key);
      if (before != NULL && json_equal (before, value))
        continue;
      json_t *inner = json_is_object (before) && json_is_object (value)
                          ? create_patch (before, value)
                          : json_incref (value);
      json_object_set_new (patch, key, inner);
    }
  return patch;
}

static void
apply_patch (json_t *target, json_t *patch)
{
  const char *key;
  json_t *value;
  json_object_foreach (patch, key, value)
    {
      json_t *before = json_object_get (target, key);
      if (json_is_null (value))
        json_object_del (target, key);
      else if (json_is_object (value) && json_is_object (before))
        apply_patch (before, value);
      else
        json_object_set (target, key, value);
    }
}

static GBytes *
create_delta (json_t *old, json_t *new, gsize size_limit)
{
  GBytes *canonical = dump_canonical (new);
  char *hash = hash_bytes (canonical);
  json_t *root
      = json_pack ("{s:o, s:s}", "patch", create_patch (old, new), "hash", hash);
  GBytes *delta = dump_canonical (root);
  json_decref (root);
  g_free (hash);
  g_bytes_unref (canonical);
  if (g_bytes_get_size (delta) >= size_limit)
    g_clear_pointer (&delta, g_bytes_unref);
  return delta;
}

GBytes *
hbw_delta_create (GBytes *old_bytes, GBytes *new_bytes)
{
  json_t *old = load_object (old_bytes);
  json_t *new = load_object (new_bytes);
  GBytes *delta = old != NULL && new != NULL
                      ? create_delta (old, new, g_bytes_get_size (new_bytes))
                      : NULL;
  json_decref (old);
  json_decref (new);
  return delta;
}

GBytes *
hbw_delta_apply (GBytes *old_bytes, GBytes *delta_bytes)
{
  json_t *root = load_object (old_bytes);
  json_t *delta = load_object (delta_bytes);
  json_t *patch = json_object_get (delta, "patch");
  const char *expected = json_string_value (json_object_get (delta, "hash"));
  GBytes *result = NULL;
  if (root != NULL && json_is_object (patch) && expected != NULL)
    {
      apply_patch (root, patch);
      result = dump_canonical (root);
      char *hash = hash_bytes (result);
      if (strcmp (hash, expected) != 0)
        g_clear_pointer (&result, g_bytes_unref);
      g_free (hash);
    }
  json_decref (delta);
  json_decref (root);
  return result;
}
