/*
 * part_watch - a part of prompts that makes servers fail, in the simulation
 *
 * It counts the servers that fail because of the part, the requests with it that
 * still reach servers when they should not, and how the requests without it are
 * served meanwhile.
 */
#ifndef HORNBEAMWALL_TESTS_PART_WATCH_H
#define HORNBEAMWALL_TESTS_PART_WATCH_H

#include "hornbeamwall/core/message.h"

typedef struct PartWatch PartWatch;

PartWatch *part_watch_create (void);
void part_watch_destroy (PartWatch *watch);

/* Makes the part with ID harmful. */
void part_watch_set_harmful (PartWatch *watch, guint64 id);

/* Returns whether a request with SPEC has the harmful part. */
gboolean part_watch_is_harmful (const PartWatch *watch, const HbwRequestSpec *spec);

/* Gives SPEC the shared parts that TEXT lists: ids, and ranges of ids, from each of
   which one is drawn. */
void part_watch_fill (const char *text, GRand *random, HbwRequestSpec *spec);

/* Records that a server failed because of the part. */
void part_watch_record_failure (PartWatch *watch, gint64 now_us);

/* Records that an attempt with the part, sent at SENT_US, reached a server. */
void part_watch_record_reached (PartWatch *watch, gint64 sent_us);

/* Records a request without the part that arrived now. */
void part_watch_record_arrival (PartWatch *watch, gint64 now_us);

/* Records that such a request, which arrived at ARRIVED_US, was served by its first
   attempt. */
void part_watch_record_served (PartWatch *watch, gint64 arrived_us);

/* Returns how many servers failed because of the part. */
guint part_watch_failed_count (const PartWatch *watch);

/* Returns how many attempts reached servers that were sent later than the time that
   an installation has after the fifth failure. */
guint part_watch_late_count (const PartWatch *watch);

/* Records that a request was refused because of a part that is not harmful. */
void part_watch_record_refused (PartWatch *watch);

/* Returns how many such requests there were. */
guint part_watch_refused_count (const PartWatch *watch);

/* Returns how often requests without the part were served by their first attempt
   after that, compared with before the first failure; 1 if too few came. */
double part_watch_sound_share (const PartWatch *watch);

#endif
