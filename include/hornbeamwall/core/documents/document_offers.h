/*
 * document_offers - peers that offer a newer version of a document
 *
 * Each instance pings others with the versions of its documents.  The newest offers
 * are kept, and one peer at a time is asked.  If it does not answer in time, the
 * next one is: a peer may be heard that cannot be reached, or that is paused.
 */
#ifndef HORNBEAMWALL_CORE_DOCUMENTS_DOCUMENT_OFFERS_H
#define HORNBEAMWALL_CORE_DOCUMENTS_DOCUMENT_OFFERS_H

#include "hornbeamwall/core/context.h"

/* Maximum number of peers whose offers are kept. */
#define HBW_DOCUMENT_OFFERS_MAX 8

/* An offer is not used any more after this time without a ping that repeats it. */
#define HBW_DOCUMENT_OFFER_LIFETIME_US (3 * HBW_US_PER_S)

typedef struct
{
  guint64 peer;
  gint64 version;
  gint64 heard_us;
  gint64 asked_us;    /* 0: never */
  gboolean is_silent; /* it did not answer the last request in time */
} HbwDocumentOffer;

typedef struct
{
  HbwDocumentOffer offers[HBW_DOCUMENT_OFFERS_MAX];
  guint count;
  guint64 asked_peer; /* whose answer is outstanding; 0: none */
  gint64 asked_us;
  guint unanswered; /* requests in a row that were not answered in time */
} HbwDocumentOffers;

/* Records that PEER has VERSION. */
void hbw_document_offers_add (HbwDocumentOffers *offers, guint64 peer,
                              gint64 version, gint64 now_us);

/* Returns the peer to ask for a version newer than VERSION, or 0 if none can be
   asked now.  Peers that have not been silent come first, then those that have not
   been asked for longest; none is asked again within
   HBW_DOCUMENT_REQUEST_INTERVAL_US, or without an address. */
guint64 hbw_document_offers_select (const HbwDocumentOffers *offers,
                                    const HbwContext *context, gint64 version);

/* Records that PEER is asked now. */
void hbw_document_offers_begin_request (HbwDocumentOffers *offers, guint64 peer,
                                        gint64 now_us);

/* Records that the peer that was asked has not answered in time. */
void hbw_document_offers_handle_timeout (HbwDocumentOffers *offers);

/* Records that the answer that is outstanding, if there is one, is not needed. */
void hbw_document_offers_cancel_request (HbwDocumentOffers *offers);

/* Returns whether PEER did not answer its last request in time. */
gboolean hbw_document_offers_is_silent (const HbwDocumentOffers *offers,
                                        guint64 peer);

/* Returns the version that PEER has offered, or HBW_VERSION_UNKNOWN. */
gint64 hbw_document_offers_version (const HbwDocumentOffers *offers, guint64 peer);

/* Records that PEER has sent the document, whether it was asked last or before. */
void hbw_document_offers_handle_answer (HbwDocumentOffers *offers, guint64 peer);

#endif
