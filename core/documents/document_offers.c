#include "hornbeamwall/core/documents/document_offers.h"

#include "hornbeamwall/core/documents/documents.h"
#include "hornbeamwall/core/membership/membership.h"

/* Returns the index of the offer of PEER, or the number of offers. */
static guint
find_index (const HbwDocumentOffers *offers, guint64 peer)
{
  guint index = 0;
  while (index < offers->count && offers->offers[index].peer != peer)
    index++;
  return index;
}

static HbwDocumentOffer *
find_offer (HbwDocumentOffers *offers, guint64 peer)
{
  guint index = find_index (offers, peer);
  return index < offers->count ? &offers->offers[index] : NULL;
}

/* Returns an unused offer, or the one that was repeated longest ago. */
static HbwDocumentOffer *
take_oldest_offer (HbwDocumentOffers *offers)
{
  if (offers->count < HBW_DOCUMENT_OFFERS_MAX)
    return &offers->offers[offers->count++];
  HbwDocumentOffer *oldest = &offers->offers[0];
  for (guint i = 1; i < offers->count; i++)
    if (offers->offers[i].heard_us < oldest->heard_us)
      oldest = &offers->offers[i];
  return oldest;
}

void
hbw_document_offers_add (HbwDocumentOffers *offers, guint64 peer, gint64 version,
                         gint64 now_us)
{
  HbwDocumentOffer *offer = find_offer (offers, peer);
  if (offer == NULL)
    {
      offer = take_oldest_offer (offers);
      *offer = (HbwDocumentOffer){ .peer = peer };
    }
  offer->version = version;
  offer->heard_us = now_us;
}

static gboolean
is_usable (const HbwDocumentOffer *offer, const HbwContext *context, gint64 version)
{
  gint64 asked_ago_us = context->now_us - offer->asked_us;
  gboolean was_asked
      = offer->asked_us != 0 && asked_ago_us < HBW_DOCUMENT_REQUEST_INTERVAL_US;
  return offer->version > version && !was_asked
         && context->now_us - offer->heard_us < HBW_DOCUMENT_OFFER_LIFETIME_US
         && hbw_membership_find_address (context->membership, offer->peer) != NULL;
}

static gboolean
is_better (const HbwDocumentOffer *offer, const HbwDocumentOffer *other)
{
  if (offer->is_silent != other->is_silent)
    return other->is_silent;
  if (offer->asked_us != other->asked_us)
    return offer->asked_us < other->asked_us;
  return offer->heard_us > other->heard_us;
}

guint64
hbw_document_offers_select (const HbwDocumentOffers *offers,
                            const HbwContext *context, gint64 version)
{
  const HbwDocumentOffer *best = NULL;
  for (guint i = 0; i < offers->count; i++)
    {
      const HbwDocumentOffer *offer = &offers->offers[i];
      if (is_usable (offer, context, version)
          && (best == NULL || is_better (offer, best)))
        best = offer;
    }
  return best != NULL ? best->peer : 0;
}

void
hbw_document_offers_begin_request (HbwDocumentOffers *offers, guint64 peer,
                                   gint64 now_us)
{
  HbwDocumentOffer *offer = find_offer (offers, peer);
  if (offer != NULL)
    offer->asked_us = now_us;
  offers->asked_peer = peer;
  offers->asked_us = now_us;
}

void
hbw_document_offers_handle_timeout (HbwDocumentOffers *offers)
{
  HbwDocumentOffer *offer = find_offer (offers, offers->asked_peer);
  if (offer != NULL)
    offer->is_silent = TRUE;
  offers->asked_peer = 0;
  offers->unanswered++;
}

void
hbw_document_offers_cancel_request (HbwDocumentOffers *offers)
{
  offers->asked_peer = 0;
  offers->unanswered = 0;
}

gboolean
hbw_document_offers_is_silent (const HbwDocumentOffers *offers, guint64 peer)
{
  guint index = find_index (offers, peer);
  return index < offers->count && offers->offers[index].is_silent;
}

gint64
hbw_document_offers_version (const HbwDocumentOffers *offers, guint64 peer)
{
  guint index = find_index (offers, peer);
  return index < offers->count ? offers->offers[index].version : HBW_VERSION_UNKNOWN;
}

void
hbw_document_offers_handle_answer (HbwDocumentOffers *offers, guint64 peer)
{
  HbwDocumentOffer *offer = find_offer (offers, peer);
  if (offer != NULL)
    {
      offer->is_silent = FALSE;
      offer->asked_us = 0;
    }
  offers->unanswered = 0;
  if (offers->asked_peer == peer)
    offers->asked_peer = 0;
}
