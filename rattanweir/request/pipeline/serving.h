// The state shared by the request handlers of one process, for the product's
// own interface. The users' platform uses `request/gateway`.
//
//   ServingContext serving{ .m_executor = executor, .m_clock = clock, ... };
//   KeyedRuns keyedRuns(serving);
//   EntryHandler entry(serving, keyedRuns);
//
// The referenced objects belong to the process and outlive the handlers. Not
// thread-safe.

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

struct ServingContext
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
  IdempotencyLedger& m_idempotencyLedger;
  BackendView& m_backends;
  PrefixView& m_prefixes;
  InFlightRequests& m_inFlight;
  PeerAttempts& m_peerAttempts;
  RetryBudget& m_retryBudget;
  Metrics& m_metrics;
  Upstream& m_upstream;
  ShareBorrower& m_borrower;
  // Address at which callers reach this instance; set once the server listens.
  Endpoint m_callerAddress;
  // Whether the configuration is complete and as new as that of the peers.
  bool m_isReady = false;
  // Whether the process is shutting down. A draining instance is not listed to
  // callers and issues no idempotency keys.
  bool m_isDraining = false;
};

// Throws RequestError with InstanceNotReady or InstancePaused if this instance
// accepts no requests at present.
void
CheckAcceptsRequests(const ServingContext& aServing);

// Cancels the attempts at peers that are stale or no longer listed.
void
CancelAttemptsToLostPeers(const ServingContext& aServing);

// Returns whether a request in flight is still authorized: its key is granted
// and its client account exists. Used by InFlightRequests::CancelWithdrawn.
bool
IsStillAuthorized(const Catalog& aCatalog, const InFlightRequest& aRequest);

} // namespace rattanweir
