/*
 * log - numbered log events
 *
 * Every log line belongs to one numbered event of the list below; a test compares
 * docs/EVENTS.md with the list.  A line is one JSON object on standard output with
 * time, level, number, event, and the key=value pairs of its text.  Lines are
 * written through log4c and never block: lines that exceed the rate limit or that
 * standard output cannot take are counted and dropped.  Tests can intercept lines
 * with a hook.
 */
#ifndef HORNBEAMWALL_COMMON_LOG_H
#define HORNBEAMWALL_COMMON_LOG_H

#include <glib.h>

/* X (number, name, level, meaning, action for the operator) */
#define HBW_LOG_EVENTS(X)                                                           \
  X (1001, INSTANCE_STARTED, INFO,                                                  \
     "The instance has started and accepts connections.", "Nothing.")               \
  X (1002, INSTANCE_STOPPED, INFO, "The instance has stopped as planned.",          \
     "Nothing.")                                                                    \
  X (1003, INSTANCE_DRAINING, INFO,                                                 \
     "The instance is draining and will refuse new requests.",                      \
     "Wait for INSTANCE_STOPPED.")                                                  \
  X (1004, SETTINGS_RELOADED, INFO, "The settings file was reloaded.",              \
     "Nothing; changed addresses take effect after a restart.")                     \
  X (1005, SETTINGS_REJECTED, ERROR, "The reloaded settings file is invalid.",      \
     "Correct the error in the line; the previous settings remain active.")         \
  X (2001, DOCUMENT_ADOPTED, INFO, "A newer platform document is active.",          \
     "Nothing.")                                                                    \
  X (2002, DOCUMENT_REJECTED, ERROR,                                                \
     "A platform document is invalid and was not adopted.",                         \
     "Correct the error in the line; the previous document remains active.")        \
  X (2003, DOCUMENT_OLDER, WARN,                                                    \
     "An older version of a document was received and ignored.",                    \
     "Check the platform's store if this persists.")                                \
  X (2004, STORE_DOWN, WARN, "The platform's object API does not respond.",         \
     "Check the platform; traffic continues, changes are refused meanwhile.")       \
  X (2005, STORE_UP, INFO, "The platform's object API responds again.", "Nothing.") \
  X (2006, ENTRY_IGNORED, WARN,                                                     \
     "An object of the platform's store was ignored, in whole or in part.",         \
     "Correct the named entry; the others remain active.")                          \
  X (2007, STORE_ERA, INFO,                                                         \
     "The platform's store has another era: it was restored from an older copy, "   \
     "or this instance has just started.",                                          \
     "Check that all writers have written again what the store lost.")              \
  X (2008, CATALOGUE_CONFIRMED, INFO,                                               \
     "The active catalogue is confirmed to be the newest again, or by another "     \
     "source.",                                                                     \
     "Nothing.")                                                                    \
  X (2009, CATALOGUE_UNCONFIRMED, WARN,                                             \
     "The platform's store has another catalogue than the active one.",             \
     "Write the newest catalogue again if this persists; keys are refused then.")   \
  X (2010, DOCUMENT_REQUESTED, INFO,                                                \
     "A peer was asked for a newer version of a platform document.", "Nothing.")    \
  X (2011, DOCUMENT_UNANSWERED, WARN,                                               \
     "A peer that has a newer version of a platform document did not send it in "   \
     "time.",                                                                       \
     "Check the peer, and the network to it, if this persists.")                    \
  X (2012, STORE_OUTAGE, INFO,                                                      \
     "The platform's store responds again after failed calls for a document; "      \
     "entries that are missing now may have lapsed and are kept for a while.",      \
     "Check the store if away_ms is large or this repeats.")                        \
  X (2013, ENTRY_KEPT, INFO,                                                        \
     "An entry is missing from the platform's store, and is kept as it may have "   \
     "lapsed in the outage before.",                                                \
     "Nothing; ENTRY_KEPT_END follows.")                                            \
  X (2014, ENTRY_KEPT_END, INFO,                                                    \
     "An entry that was kept is in the platform's store again, or was dropped.",    \
     "Check the backend server if the outcome is expired and it still runs.")       \
  X (3001, PEER_JOINED, INFO, "An instance has joined.", "Nothing.")                \
  X (3002, PEER_SUSPECT, INFO, "An instance does not respond to probes.",           \
     "Nothing; it is marked failed or alive again within a second.")                \
  X (3003, PEER_LOST, WARN, "An instance is marked failed.",                        \
     "Check the instance if it was not stopped on purpose.")                        \
  X (3004, PEER_LEFT, INFO, "An instance has left after a planned stop.",           \
     "Nothing.")                                                                    \
  X (3005, CLOCK_JUMP, WARN, "This process was paused.",                            \
     "Check the machine for overload if this happens often.")                       \
  X (3006, MESSAGE_REJECTED, WARN, "A peer message was invalid and was dropped.",   \
     "Check that all instances run compatible versions.")                           \
  X (3007, MESSAGE_DROPPED, INFO,                                                   \
     "A message was not sent, as the address of its receiver is not known.",        \
     "Nothing if the receiver has ended.")                                          \
  X (4001, OWNER_GAINED, INFO, "This instance now schedules a shard.", "Nothing.")  \
  X (4002, OWNER_LOST, INFO, "This instance no longer schedules a shard.",          \
     "Nothing.")                                                                    \
  X (5001, SERVER_DOWN, WARN,                                                       \
     "A backend server gets no work until a half-open probe succeeds.",             \
     "Check the backend server.")                                                   \
  X (5002, SERVER_UP, INFO, "A backend server gets work again.", "Nothing.")        \
  X (5003, SERVER_STRAGGLER, WARN,                                                  \
     "A backend server is much slower than its shard and gets less work.",          \
     "Check the backend server.")                                                   \
  X (5004, SERVER_LEAVING, INFO, "A backend server gets no new work.", "Nothing.")  \
  X (5005, SERVER_DRAINED, INFO,                                                    \
     "A leaving backend server has no work in progress from this instance.",        \
     "Stop it once every data centre reports this.")                                \
  X (5006, SERVER_CHECKED, INFO,                                                    \
     "A silent backend server, or one whose response broke off, was checked.",      \
     "Check the backend server if result is refused or no_answer.")                 \
  X (5007, SERVER_LIMITED, WARN,                                                    \
     "A backend server has named the requests per second that it takes.",           \
     "Check the backend server's load; its limit is kept by all instances.")        \
  X (5008, SERVER_LIMIT_LIFTED, INFO, "A backend server names no limit any more.",  \
     "Nothing.")                                                                    \
  X (5009, SERVER_PAUSED, INFO,                                                     \
     "A backend server turned a request away and wants none for a while.",          \
     "Check the backend server's load if this repeats.")                            \
  X (5010, PATH_LOST, WARN,                                                         \
     "This instance reaches no backend server; requests go through others.",        \
     "Check the network between this instance and the backend servers.")            \
  X (5011, PATH_FOUND, INFO, "This instance reaches backend servers again.",        \
     "Nothing.")                                                                    \
  X (5012, SERVER_BRITTLE, INFO,                                                    \
     "A backend server says that it fails if it turns many requests away.",         \
     "Nothing; it gets fewer requests than usual.")                                 \
  X (5013, SERVER_RAMP_ENDED, INFO,                                                 \
     "A backend server that started or recovered gets work as the others.",         \
     "Nothing; ramp_ms says how long it was limited.")                              \
  X (6010, REQUEST_ADMITTED, INFO, "A caller's request was admitted.", "Nothing.")  \
  X (6011, REQUEST_DENIED, INFO,                                                    \
     "A caller's request was denied by the catalogue that is active here.",         \
     "Compare catalogue and catalogue_age_ms with the newest version.")             \
  X (6012, ATTEMPT_STARTED, INFO, "A backend server was chosen for the request.",   \
     "Nothing.")                                                                    \
  X (6013, ATTEMPT_ENDED, INFO,                                                     \
     "An attempt ended; next says what happens to the request.",                    \
     "Check the backend server if outcome is broken, timed_out or failed.")         \
  X (6014, REQUEST_REFUSED, INFO,                                                   \
     "The request was refused, and the caller was informed.",                       \
     "See reason; executed tells whether the request may have run.")                \
  X (6015, REQUEST_ENDED, INFO,                                                     \
     "The caller has received its response or has disconnected.", "Nothing.")       \
  X (6016, CONNECTION_CLOSED, INFO,                                                 \
     "A caller's connection was closed by this instance, or by the caller within "  \
     "a "                                                                           \
     "request.",                                                                    \
     "See cause; state tells what had been read from it since the last response.")  \
  X (6017, RESPONSE_FAULTY, WARN,                                                   \
     "A backend server's response was malformed, rejected or cut off.",             \
     "Check the backend server; fault and part tell what was wrong, and where.")    \
  X (6001, REQUEST_SUSPECT, INFO,                                                   \
     "A request was in progress when its backend server failed.", "Nothing.")       \
  X (6002, REQUEST_QUARANTINED, ERROR,                                              \
     "A request that failed two backend servers is refused for some minutes.",      \
     "Find the request by its fingerprint in REQUEST_SUSPECT lines.")               \
  X (6003, SUSPECT_HEARD, INFO,                                                     \
     "A peer reported a server failure that a request may have caused.",            \
     "Nothing; find the failure by its fingerprint in REQUEST_SUSPECT lines.")      \
  X (6004, SUSPECTS_STORED, INFO,                                                   \
     "This instance has written the suspects to the platform's store, or tried "    \
     "to.",                                                                         \
     "If written is 0 again and again, check the platform's store.")                \
  X (6005, REQUEST_RELEASED, WARN,                                                  \
     "A request is not refused any more: its backend servers only broke off "       \
     "responses and did not fail.",                                                 \
     "Check why these backend servers break off responses.")                        \
  X (6006, PART_QUARANTINED, ERROR,                                                 \
     "Requests with a part in their prompts failed three backend servers or more, " \
     "one after the other, and are refused for some minutes.",                      \
     "Find the requests by their fingerprints, or the part, in REQUEST_SUSPECT "    \
     "lines.")                                                                      \
  X (6007, PART_RELEASED, WARN,                                                     \
     "Requests with a part in their prompts are not refused any more: one was "     \
     "answered, its backend servers did not fail, or another part is the cause.",   \
     "Nothing.")                                                                    \
  X (6008, PART_REFUSED, INFO,                                                      \
     "A request was refused because of a part of its prompt.",                      \
     "Find the part in PART_QUARANTINED lines.")                                    \
  X (7001, LEASE_TAKEN, INFO, "This instance holds the lease for orders.",          \
     "Nothing.")                                                                    \
  X (7002, LEASE_LOST, WARN,                                                        \
     "The lease for orders has expired; this instance sends no orders.",            \
     "Nothing; another instance acquires it.")                                      \
  X (7003, ORDER_SENT, INFO, "An order was sent to a backend server.", "Nothing.")  \
  X (7004, ORDER_REFUSED, WARN, "A backend server refused an order.",               \
     "Check the backend server's response.")                                        \
  X (7101, DUTY_LEASE_TAKEN, INFO,                                                  \
     "This instance holds the lease for duties and makes their calls.", "Nothing.") \
  X (7102, DUTY_LEASE_LOST, WARN,                                                   \
     "This instance does not hold the lease for duties any more.",                  \
     "Nothing; another instance takes it. If it is lost often, check the "          \
     "platform's store.")                                                           \
  X (7103, DUTY_LEASE_RELEASED, INFO,                                               \
     "This instance gave up the lease for duties: it stops, cannot reach half of "  \
     "the "                                                                         \
     "other instances, or is not among the largest any more.",                      \
     "Nothing; another instance takes it.")                                         \
  X (7104, DUTY_CALL, INFO, "A call of the duty interface ended.",                  \
     "If the outcome is often not \"accepted\", check the duty interface.")         \
  X (7021, USAGE_TIME_KNOWN, INFO,                                                  \
     "This instance knows the number of the current usage window.",                 \
     "Check the clocks of the machines if step_ms is large.")                       \
  X (7022, USAGE_TIME_STEPPED, WARN,                                                \
     "The time of the usage windows was set to another one, as most clocks "        \
     "differ.",                                                                     \
     "Check the clocks of the machines; the windows around the step may be "        \
     "missing.")                                                                    \
  X (7023, USAGE_WINDOW_FROZEN, INFO, "The counts of a usage window are final.",    \
     "Nothing; some instances sent no final counts in time if missing is not "      \
     "0.")                                                                          \
  X (7024, USAGE_WINDOW_INCOMPLETE, WARN,                                           \
     "The counts of a usage window are final without those of many "                \
     "instances.",                                                                  \
     "Check the network between the instances; the report may be too low.")         \
  X (7025, USAGE_WINDOW_REPORTED, INFO,                                             \
     "The platform has accepted the report of a usage window.", "Nothing.")         \
  X (7026, USAGE_WINDOW_DROPPED, WARN,                                              \
     "Usage windows were not reported in time and will not be.",                    \
     "See reason; check the platform and its store, or whether an instance "        \
     "held the lease.")                                                             \
  X (7201, SERVERS_ORDERED, INFO, "Backend servers were ordered or given back.",    \
     "Nothing.")                                                                    \
  X (7202, SERVERS_UNAVAILABLE, WARN,                                               \
     "Backend servers of one kind are not to be had in a data centre now.",         \
     "Nothing; others are ordered instead. Check the platform if this persists.")   \
  X (7203, SCALING_REJECTED, ERROR,                                                 \
     "Limits or prices for orders of servers are invalid.",                         \
     "Correct the error in the line; the last valid ones remain in force.")         \
  X (8001, ADMIN_CHANGE, INFO, "An operator's change was accepted.", "Nothing.")    \
  X (8002, ADMIN_REFUSED, INFO, "An operator's change was refused.",                \
     "Nothing; the operator was given the reason.")                                 \
  X (9002, LINES_FOLDED, INFO,                                                      \
     "Lines of one event were counted but not written, to limit the log rate.",     \
     "See the counters on the metrics address for totals.")                         \
  X (9001, INTERNAL_LIMIT, WARN, "A limit of the program was reached.",             \
     "See docs/OPERATORS.md for the limit named in the line.")

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
} HbwLogEventInfo;

typedef void (*HbwLogHook) (const HbwLogEventInfo *info, const char *text,
                            void *data);

/* Returns the static list of events, and its length in COUNT. */
const HbwLogEventInfo *hbw_log_event_list (gsize *count);

/* Returns the event with NUMBER, or NULL. */
const HbwLogEventInfo *hbw_log_find_event (HbwLogEvent number);

/* Initialises log4c, with standard output as its destination. */
void hbw_log_open (void);
void hbw_log_close (void);

/* Passes every line to HOOK instead of log4c; NULL removes it.  Not thread-safe. */
void hbw_log_set_hook (HbwLogHook hook, void *data);

/* Logs one line; TEXT has the key=value pairs.  Thread-safe. */
void hbw_log_write (HbwLogEvent number, const char *text);

#endif
