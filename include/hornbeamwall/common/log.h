/*
 * log - numbered log events
 *
 * Every line that the program logs belongs to one numbered event of the list
 * below; docs/EVENTS.md is checked against it.  A line is one JSON object on
 * standard output: time, level, number, event and the key=value pairs of its text.
 * Lines go through log4c and never wait for their reader; what is too much in one
 * second is counted instead.  A test may catch them with a hook.
 */
#ifndef HORNBEAMWALL_COMMON_LOG_H
#define HORNBEAMWALL_COMMON_LOG_H

#include <glib.h>

/* X (number, identifier, level, meaning, what to do) */
#define HBW_LOG_EVENTS(X)                                                           \
  X (1001, INSTANCE_STARTED, INFO, "The instance listens and runs.", "Nothing.")    \
  X (1002, INSTANCE_STOPPED, INFO, "The instance has ended its planned stop.",      \
     "Nothing.")                                                                    \
  X (1003, INSTANCE_DRAINING, INFO, "The instance takes no new requests.",          \
     "Wait until it has ended.")                                                    \
  X (1004, SETTINGS_RELOADED, INFO, "The settings file was read again.",            \
     "Nothing; addresses change with the next start.")                              \
  X (1005, SETTINGS_REJECTED, ERROR,                                                \
     "The settings file was read again and is not valid.",                          \
     "Correct it as the line says; the settings before stay in force.")             \
  X (2001, DOCUMENT_ADOPTED, INFO, "A newer platform document is in force.",        \
     "Nothing.")                                                                    \
  X (2002, DOCUMENT_REJECTED, ERROR,                                                \
     "A platform document is not valid and was not adopted.",                       \
     "Correct the document as the line says; the one before stays in force.")       \
  X (2003, DOCUMENT_OLDER, WARN,                                                    \
     "An older version of a document was offered and ignored.",                     \
     "Look at the platform's store if it lasts.")                                   \
  X (2004, STORE_DOWN, WARN, "The platform's object API does not answer.",          \
     "Traffic goes on; edits are refused until it answers.")                        \
  X (2005, STORE_UP, INFO, "The platform's object API answers again.", "Nothing.")  \
  X (2006, ENTRY_IGNORED, WARN,                                                     \
     "An object of the platform's store, or a part of one, cannot be used.",        \
     "Correct the named entry; the others hold.")                                   \
  X (3001, PEER_JOINED, INFO, "An instance has joined.", "Nothing.")                \
  X (3002, PEER_SUSPECT, INFO, "An instance does not answer probes.",               \
     "Nothing; it is confirmed or cleared within a second.")                        \
  X (3003, PEER_LOST, WARN, "An instance is taken for dead.",                       \
     "Look at the instance if it was not stopped on purpose.")                      \
  X (3004, PEER_LEFT, INFO, "An instance has left after a planned stop.",           \
     "Nothing.")                                                                    \
  X (3005, CLOCK_JUMP, WARN, "This process was paused.",                            \
     "Look for an overloaded machine if it happens often.")                         \
  X (3006, MESSAGE_REJECTED, WARN, "A peer message was not valid and was dropped.", \
     "Check that all instances run versions that go together.")                     \
  X (4001, OWNER_GAINED, INFO, "This instance now schedules a shard.", "Nothing.")  \
  X (4002, OWNER_LOST, INFO, "This instance no longer schedules a shard.",          \
     "Nothing.")                                                                    \
  X (5001, SERVER_DOWN, WARN,                                                       \
     "A backend server gets no work until a probe passes.",                         \
     "Look at the backend server.")                                                 \
  X (5002, SERVER_UP, INFO, "A backend server gets work again.", "Nothing.")        \
  X (5003, SERVER_STRAGGLER, WARN,                                                  \
     "A backend server is much slower than its shard and gets less work.",          \
     "Look at the backend server.")                                                 \
  X (5004, SERVER_LEAVING, INFO, "A backend server gets no new work.", "Nothing.")  \
  X (5005, SERVER_DRAINED, INFO,                                                    \
     "A leaving backend server has no work in progress here.",                      \
     "It can be stopped once every data centre says so.")                           \
  X (6010, REQUEST_ADMITTED, INFO, "A caller's request may go on.", "Nothing.")     \
  X (6011, REQUEST_DENIED, INFO,                                                    \
     "A caller's request may not go on, by the catalogue that is known here.",      \
     "Compare catalogue and catalogue_age_ms with the operator's newest version.")  \
  X (6012, ATTEMPT_STARTED, INFO,                                                   \
     "A backend server was chosen and gets the request.", "Nothing.")               \
  X (6013, ATTEMPT_ENDED, INFO,                                                     \
     "An attempt ended; next says what becomes of the request.",                    \
     "Look at the backend server if outcome is broken, timed_out or failed.")       \
  X (6014, REQUEST_REFUSED, INFO, "The caller is told that its request has ended.", \
     "The reason is in the line; executed says whether it may have run.")           \
  X (6015, REQUEST_ENDED, INFO, "The caller has its answer, or is gone.",           \
     "Nothing.")                                                                    \
  X (6001, REQUEST_SUSPECT, INFO,                                                   \
     "A request was in progress when its backend server failed.", "Nothing.")       \
  X (6002, REQUEST_QUARANTINED, ERROR,                                              \
     "A request failed two backend servers and is refused for some minutes.",       \
     "Find the request by its fingerprint in REQUEST_SUSPECT.")                     \
  X (7001, LEASE_TAKEN, INFO, "This instance holds the lease for orders.",          \
     "Nothing.")                                                                    \
  X (7002, LEASE_LOST, WARN, "The lease for orders has lapsed; no order is sent.",  \
     "Nothing; another instance takes it.")                                         \
  X (7003, ORDER_SENT, INFO, "An order went to a backend server.", "Nothing.")      \
  X (7004, ORDER_REFUSED, WARN, "A backend server refused an order.",               \
     "Look at the backend server's answer.")                                        \
  X (8001, ADMIN_CHANGE, INFO, "An operator's change was accepted.", "Nothing.")    \
  X (8002, ADMIN_REFUSED, INFO, "An operator's change was refused.",                \
     "The operator has the reason.")                                                \
  X (9002, LINES_FOLDED, INFO,                                                      \
     "Lines of one event were counted and not written, as there were too many.",    \
     "Take the counters on the metrics address for how many there were.")           \
  X (9001, INTERNAL_LIMIT, WARN, "A bound of the program was met.",                 \
     "See docs/OPERATORS.md for the bound named in the line.")

typedef enum
{
#define HBW_LOG_ENUM(number, name, level, meaning, action) HBW_LOG_##name = (number),
  HBW_LOG_EVENTS (HBW_LOG_ENUM)
#undef HBW_LOG_ENUM
} HbwLogEvent;

typedef enum
{
  HBW_LOG_LEVEL_ERROR,
  HBW_LOG_LEVEL_WARN,
  HBW_LOG_LEVEL_INFO,
} HbwLogLevel;

typedef struct
{
  HbwLogEvent number;
  const char *name;
  HbwLogLevel level;
  const char *meaning;
  const char *action;
} HbwLogEntry;

typedef void (*HbwLogHook) (const HbwLogEntry *entry, const char *text, void *data);

/* Returns the list of events and its length. */
const HbwLogEntry *hbw_log_entries (gsize *count);

/* Returns the entry of NUMBER, or NULL. */
const HbwLogEntry *hbw_log_find (HbwLogEvent number);

/* Opens log4c for the process, writing to standard output. */
void hbw_log_open (void);
void hbw_log_close (void);

/* Sends every line to HOOK instead of log4c; NULL undoes it.  Not thread-safe. */
void hbw_log_set_hook (HbwLogHook hook, void *data);

/* Writes one line; thread-safe. */
void hbw_log_write (HbwLogEvent number, const char *text);

#endif
