#include "hornbeamwall/core/catalogue_diff.h"

#include "hornbeamwall/common/json_reader.h"
#include "hornbeamwall/core/catalogue_check.h"

#include <string.h>

/* Characters of a key's hash that are shown. */
#define HASH_SHOWN 8

static const char *const kind_names[] = {
  [HBW_DIFFERENCE_ADDED] = "added",
  [HBW_DIFFERENCE_REMOVED] = "removed",
  [HBW_DIFFERENCE_CHANGED] = "changed",
};

static void
difference_free (gpointer data)
{
  HbwDifference *difference = data;
  g_free (difference->path);
  json_decref (difference->old_value);
  json_decref (difference->new_value);
  g_free (difference);
}

/* Returns a copy of VALUE in which hashes are shortened; NULL if VALUE is NULL. */
static json_t *
copy_masked (json_t *value)
{
  const char *text = json_string_value (value);
  if (text != NULL && hbw_is_sha256_hex (text))
    return json_sprintf ("%.*s...", HASH_SHOWN, text);
  if (json_is_array (value))
    {
      json_t *copy = json_array ();
      size_t index;
      json_t *item;
      json_array_foreach (value, index, item)
        json_array_append_new (copy, copy_masked (item));
      return copy;
    }
  if (json_is_object (value))
    {
      json_t *copy = json_object ();
      const char *key;
      json_t *member;
      json_object_foreach (value, key, member)
        json_object_set_new (copy, key, copy_masked (member));
      return copy;
    }
  return json_incref (value);
}

static void
add_difference (GPtrArray *differences, const char *path, json_t *old_value,
                json_t *new_value)
{
  HbwDifference *difference = g_new0 (HbwDifference, 1);
  difference->kind = old_value == NULL   ? HBW_DIFFERENCE_ADDED
                     : new_value == NULL ? HBW_DIFFERENCE_REMOVED
                                         : HBW_DIFFERENCE_CHANGED;
  difference->path = g_strdup (path);
  difference->old_value = copy_masked (old_value);
  difference->new_value = copy_masked (new_value);
  g_ptr_array_add (differences, difference);
}

static gboolean
list_contains (json_t *list, json_t *wanted)
{
  size_t index;
  json_t *item;
  json_array_foreach (list, index, item)
    if (json_equal (item, wanted))
      return TRUE;
  return FALSE;
}

static void
compare_keys (GPtrArray *differences, const char *path, json_t *old_keys,
              json_t *new_keys)
{
  size_t index;
  json_t *key;
  json_array_foreach (old_keys, index, key)
    if (!list_contains (new_keys, key))
      add_difference (differences, path, key, NULL);
  json_array_foreach (new_keys, index, key)
    if (!list_contains (old_keys, key))
      add_difference (differences, path, NULL, key);
}

static void compare (GPtrArray *differences, const char *path, json_t *old_value,
                     json_t *new_value);

static void
compare_member (GPtrArray *differences, const char *parent, const char *key,
                json_t *old_value, json_t *new_value)
{
  char *escaped = hbw_json_pointer_escape (key);
  char *path = g_strconcat (parent, "/", escaped, NULL);
  if (json_is_array (old_value) && json_is_array (new_value)
      && strcmp (key, "keys") == 0)
    compare_keys (differences, path, old_value, new_value);
  else
    compare (differences, path, old_value, new_value);
  g_free (path);
  g_free (escaped);
}

/* The documents have few levels: hbw_catalogue_parse() rejects unknown members. */
static void
compare (GPtrArray *differences, const char *path, json_t *old_value,
         json_t *new_value)
{
  const char *key;
  json_t *member;
  if (!json_is_object (old_value) || !json_is_object (new_value))
    {
      if (!json_equal (old_value, new_value))
        add_difference (differences, path, old_value, new_value);
      return;
    }
  json_object_foreach (old_value, key, member)
    compare_member (differences, path, key, member,
                    json_object_get (new_value, key));
  json_object_foreach (new_value, key, member)
    if (json_object_get (old_value, key) == NULL)
      compare_member (differences, path, key, NULL, member);
}

/* A limit of 0 is the same as none. */
static void
remove_default_limits (json_t *limits)
{
  void *next;
  const char *key;
  json_t *value;
  json_object_foreach_safe (limits, next, key,
                            value) if (json_integer_value (value) == 0)
      json_object_del (limits, key);
}

/* Returns a copy of ROOT with all sections, in which the additions to pools are
   members of the pools and the ids of changes are left out. */
static json_t *
copy_normalized (json_t *root)
{
  json_t *copy = json_deep_copy (root);
  json_t *pools = json_object_get (copy, "pools");
  size_t index;
  json_t *addition;
  json_array_foreach (json_object_get (root, "changes"), index, addition)
    {
      const char *name = json_string_value (json_object_get (addition, "pool"));
      json_t *pool = name != NULL ? json_object_get (pools, name) : NULL;
      json_t *tokens = json_object_get (addition, "engine_memory_tokens");
      if (pool != NULL && tokens != NULL)
        json_object_set (pool, "engine_memory_tokens", tokens);
    }
  json_object_del (copy, "changes");
  json_t *optional_sections
      = json_pack ("{s:{}, s:{}}", "endpoints", "caller_limits");
  json_object_update_missing (copy, optional_sections);
  json_decref (optional_sections);
  remove_default_limits (json_object_get (copy, "caller_limits"));
  return copy;
}

static gint
compare_paths (gconstpointer a, gconstpointer b)
{
  const HbwDifference *const *first = a;
  const HbwDifference *const *second = b;
  return strcmp ((*first)->path, (*second)->path);
}

const char *
hbw_difference_kind_name (HbwDifferenceKind kind)
{
  return kind_names[kind];
}

GPtrArray *
hbw_catalogue_diff (json_t *old_root, json_t *new_root)
{
  GPtrArray *differences = g_ptr_array_new_with_free_func (difference_free);
  json_t *old_copy = copy_normalized (old_root);
  json_t *new_copy = copy_normalized (new_root);
  compare (differences, "", old_copy, new_copy);
  json_decref (old_copy);
  json_decref (new_copy);
  g_ptr_array_sort (differences, compare_paths);
  return differences;
}
