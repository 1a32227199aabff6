/*
 * notice_reporter - reports to the reducer what servers say of themselves
 *
 * Responses that say something are all reported; of those that say nothing, one in a
 * while for each server, which is enough to learn that a limit is lifted.
 */
#ifndef HORNBEAMWALL_NET_NOTICE_REPORTER_H
#define HORNBEAMWALL_NET_NOTICE_REPORTER_H

#include "hornbeamwall/core/event.h"
#include "hornbeamwall/runtime/control.h"

typedef struct HbwNoticeReporter HbwNoticeReporter;

HbwNoticeReporter *hbw_notice_reporter_create (HbwControl *control);
void hbw_notice_reporter_destroy (HbwNoticeReporter *reporter);

/* Reports NOTICE, from the head of a response that came at NOW_US. */
void hbw_notice_reporter_report (HbwNoticeReporter *reporter,
                                 const HbwServerNotice *notice, gint64 now_us);

#endif
