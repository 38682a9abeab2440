// What the request handlers of one process share.
//
//   Serving serving{ .m_executor = executor, .m_clock = clock, ... };
//   EntryHandler entry(serving);
//   PeerHandler peer(serving, control);
//
// All of it belongs to the process and outlives the handlers. For one thread.

#pragma once

#include "rattanweir/base/asio/asio.h"
#include "rattanweir/base/clock/clock.h"
#include "rattanweir/base/endpoint/endpoint.h"
#include "rattanweir/base/ids/ids.h"
#include "rattanweir/base/random/random.h"
#include "rattanweir/process/backend_view/backend_view.h"
#include "rattanweir/process/idempotency/idempotency_ledger.h"
#include "rattanweir/process/in_flight/in_flight.h"
#include "rattanweir/process/in_flight/peer_attempts.h"
#include "rattanweir/process/membership/membership.h"
#include "rattanweir/process/metrics/metrics.h"
#include "rattanweir/process/prefix_view/prefix_view.h"
#include "rattanweir/process/rate/rate_ledger.h"
#include "rattanweir/request/exchange/exchange.h"
#include "rattanweir/request/pipeline/share_borrower.h"
#include "rattanweir/request/rate_queue/rate_queue.h"
#include "rattanweir/request/retry/retry.h"
#include "rattanweir/version/catalog/catalog.h"

namespace rattanweir {

struct Serving
{
  Executor m_executor;
  const Clock& m_clock;
  RandomEngine& m_random;
  InstanceId m_self;
  RegionId m_region;
  Catalog& m_catalog;
  Membership& m_membership;
  RateLedger& m_rates;
  RateQueue& m_rateQueue;
  IdempotencyLedger& m_keys;
  BackendView& m_backends;
  PrefixView& m_prefixes;
  InFlightRequests& m_inFlight;
  PeerAttempts& m_peerAttempts;
  RetryBudget& m_retries;
  Metrics& m_metrics;
  Upstream& m_upstream;
  ShareBorrower& m_borrower;
  // Where callers reach this instance; known once it listens.
  Endpoint m_callerAddress;
  // The configuration is complete and as new as that of its peers.
  bool m_isReady = false;
  // The process shuts down: it is named to no caller and issues no key.
  bool m_isDraining = false;
};

// Throws RequestError if this instance takes no request now: InstanceNotReady
// or InstancePaused.
void
CheckTakesRequests(const Serving& aServing);

// Ends the attempts at peers that are silent or not listed any more.
void
EndAttemptsAtLostPeers(const Serving& aServing);

// Whether a request in flight still has its rights: its key is granted and
// its client account exists. For InFlightRequests::CancelWithdrawn.
bool
IsStillEntitled(const Catalog& aCatalog, const InFlightRequest& aRequest);

} // namespace rattanweir
