#include "hornbeamwall/common/error.h"

#include <stdarg.h>
#include <stdio.h>

static const char *const kind_names[] = {
  [HBW_ERROR_NONE] = "none",           [HBW_ERROR_USAGE] = "usage",
  [HBW_ERROR_SETTINGS] = "settings",   [HBW_ERROR_DOCUMENT] = "document",
  [HBW_ERROR_MESSAGE] = "message",     [HBW_ERROR_NETWORK] = "network",
  [HBW_ERROR_STORE] = "store",         [HBW_ERROR_CONFLICT] = "conflict",
  [HBW_ERROR_NOT_FOUND] = "not-found",
};

void
hbw_error_set (HbwError *error, HbwErrorKind kind, const char *format, ...)
{
  if (error == NULL)
    return;
  error->kind = kind;
  va_list args;
  va_start (args, format);
  vsnprintf (error->message, sizeof error->message, format, args);
  va_end (args);
}

const char *
hbw_error_kind_name (HbwErrorKind kind)
{
  if ((gsize) kind >= G_N_ELEMENTS (kind_names))
    return "unknown";
  return kind_names[kind];
}
