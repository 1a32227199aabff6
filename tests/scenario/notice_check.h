/*
 * notice_check - checks that instances follow what a server says of itself
 *
 * Records when each instance received a notice of the server, and each request that
 * the server gets from it.
 */
#ifndef HORNBEAMWALL_TESTS_NOTICE_CHECK_H
#define HORNBEAMWALL_TESTS_NOTICE_CHECK_H

#include <glib.h>

/* Time after which all instances follow a new limit. */
#define NOTICE_SETTLE_US (3 * G_USEC_PER_SEC)

/* Time after which an instance follows what it was told itself. */
#define NOTICE_TOLD_US (G_USEC_PER_SEC / 2)

/* Window in which a limit is checked. */
#define NOTICE_WINDOW_US (4 * G_USEC_PER_SEC)

/* Time after which a server that said that it is leaving gets no request that was
   sent later. */
#define NOTICE_LEAVE_US (2 * G_USEC_PER_SEC)

/* Requests in a pause of which the instance was told. */
#define NOTICE_PAUSE_REQUESTS_MAX 2

/* What a server says of itself in its responses. */
typedef struct
{
  double limit; /* requests per second; negative is none */
  gboolean leaving;
  gint64
      pause_us;  /* it turns requests away, and wants none for so long; 0 is none */
  guint brittle; /* more requests turned away in a second make it fail; 0 is none */
} NoticeCheckSays;

typedef struct NoticeCheck NoticeCheck;

NoticeCheck *notice_check_create (void);
void notice_check_destroy (NoticeCheck *check);

/* What the server says from now on. */
NoticeCheckSays *notice_check_says (NoticeCheck *check);
void notice_check_set_limit (NoticeCheck *check, double limit, gint64 now_us);

/* Records that INSTANCE has received a response with SAYS. */
void notice_check_told (NoticeCheck *check, guint64 instance,
                        const NoticeCheckSays *says, gint64 now_us);

/* Records a request that INSTANCE has sent, which its caller sent at SENT_US.
   Returns what it violates, owned by the caller, or NULL. */
char *notice_check_request (NoticeCheck *check, guint64 instance, gint64 sent_us,
                            gint64 now_us);

/* Returns the requests that came once the limit was followed. */
guint notice_check_limited_count (const NoticeCheck *check);

#endif
