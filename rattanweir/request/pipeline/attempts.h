// Makes attempts at one admitted request of the product's own interface until
// one returns a complete response.
//
//   Attempts attempts(options);
//   co_await attempts.Run();
//
// Each attempt has its own id. Before each attempt, checks again that the
// request is not cancelled, the instance is not paused, the key is still
// granted, the deadline has not passed and the region is still permitted.
// `request/retry` decides whether a failed attempt is retried. The error that
// is thrown in the end states whether any attempt may have run.

#pragma once

#include "rattanweir/request/pipeline/request_plan.h"
#include "rattanweir/request/pipeline/routing_input.h"
#include "rattanweir/request/pipeline/serving.h"
#include "rattanweir/request/relay/response_relay.h"
#include "rattanweir/request/routing/request_router.h"

#include <optional>

namespace rattanweir {

// All referenced objects must outlive the attempts.
struct AttemptsOptions
{
  ServingContext& m_serving;
  const RequestPlan& m_plan;
  ResponseSink& m_sink;
  CancelSource& m_cancel;
  InFlightRequests::Registration& m_registration;
};

// A summary of the attempts, for the log record and the token settlement.
struct AttemptsReport
{
  unsigned m_attempts = 0;
  // Whether a backend server may have run the request in any attempt.
  Ran m_ran = Ran::No;
  // Tokens that the response reports as generated, if any.
  std::optional<std::int64_t> m_generatedTokens;
};

class Attempts
{
public:
  explicit Attempts(const AttemptsOptions& aOptions);

  // Throws RequestError if no attempt returned a complete response.
  Task<void> Run();

  // Makes one attempt at this peer, without retries. Throws RequestError if the
  // attempt fails.
  Task<void> RunAtPeer(PeerView aPeer);

  AttemptsReport Report() const;

private:
  using Failure = std::optional<RequestError>;

  // Throws RequestError if the request must no longer be dispatched.
  void CheckBeforeDispatch() const;
  // Chooses a destination that was not tried yet. If every one was tried, waits
  // for the retry delay and chooses among all of them.
  Task<RoutingDecision> ChooseDestination();
  // Returns the failure of the attempt, or nullopt if the attempt succeeded.
  Task<Failure> Attempt(RoutingDecision aDecision);
  Task<void> AttemptAtServer(BackendServerId aId);
  Task<void> AttemptAtPeer(PeerView aPeer);
  Task<std::unique_ptr<UpstreamExchange>> Send(Endpoint aEndpoint,
                                               HeaderFields aFields,
                                               CancelSource& aCancel);
  Task<void> Relay(UpstreamExchange& aExchange,
                   ResponseHead aHead,
                   ResponseOrigin aOrigin);
  void ThrowUnlessRetryAllowed(const RequestError& aFailure);
  // Returns the error with the highest Ran of all attempts so far.
  RequestError WithAccumulatedRan(const RequestError& aError) const;
  std::chrono::nanoseconds TimeLeft() const;
  std::string MillisecondsLeft() const;

  AttemptsOptions m_options;
  ServingContext& m_serving;
  const RequestPlan& m_plan;
  BackendSelector m_backendSelector;
  RequestRouter m_requestRouter;
  TriedDestinations m_tried;
  ResponseProgress m_progress;
  AttemptsReport m_report;
  Failure m_lastFailure;
};

} // namespace rattanweir
